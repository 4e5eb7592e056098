#include "lab/import_day.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "lab/scenario.hpp"

namespace mintrock::lab {
namespace {

using nlohmann::json;

json small_day() {
  return {{"length", 40000000},
          {"drain_grace", 250000},
          {"fall_multiple", 3.0},
          {"fall_for", 2000000},
          {"traffic", {{"load", 0.5}}},
          {"clients",
           {{"retries", 2},
            {"try_share", 0.3},
            {"backoff_us", 700000.0},
            {"impatient", 0.01},
            {"max_retry_after", 2000000},
            {"marks_retry", true}}},
          {"discovery", {{"notice", 1100000}}},
          {"allow", {{"max_attempts", 4}, {"cancel", true}}},
          {"classes", json::array({{{"name", "a"},
                                    {"share", 2.0},
                                    {"aim", 1000000},
                                    {"deadline", 9000000},
                                    {"worth", 1.0},
                                    {"effect", "unsafe"}}})},
          {"tiers", json::array({{{"kinds", json::array({{{"cold_from", 0.3}, {"cold", 12000000}}})}}})},
          {"balancers", json::array({1, 2, 3, 4, 5, 6, 7, 8})},
          {"fam",
           {{"n", 6},
            {"capacity", 300.0},
            {"queue", 2000000},
            {"release", 500000},
            {"hold", json::array({8e6})}}},
          {"troubles", json::array()}};
}

json make_fault(const char* kind, double size, double extra, json on, json steps = json::array()) {
  return {{"kind", kind},   {"at", 5000000}, {"len", 4000000}, {"size", size},
          {"extra", extra}, {"on", on},      {"steps", steps}};
}

struct ImportResult {
  std::string text;
  Scenario scenario;
  std::string error;
};

ImportResult import(const json& day) {
  const std::string base = ::testing::TempDir() + "day-" + std::to_string(getpid());
  std::ofstream(base + ".json") << day.dump();
  ImportResult out;
  try {
    out.text = import_day(base + ".json", 3, 4);
    std::ofstream(base + ".yaml") << out.text;
    out.scenario = load_scenario(base + ".yaml");  // the output must be a valid scenario
  } catch (const std::exception& exception) {
    out.error = exception.what();
  }
  std::remove((base + ".json").c_str());
  std::remove((base + ".yaml").c_str());
  return out;
}

TEST(ImportDay, ScalesSizesRatesAndRules) {
  const ImportResult result = import(small_day());
  ASSERT_EQ(result.error, "");
  EXPECT_EQ(result.scenario.cores, 3u);
  EXPECT_EQ(result.scenario.proxies, 4u);
  EXPECT_NEAR(result.scenario.rate, 0.5 * 50 * 3, 0.1);
  EXPECT_NEAR(result.scenario.setup_work_s + result.scenario.release_work_s, 0.02, 0.001);
  EXPECT_EQ(result.scenario.rules.overload_factor, 3.0);
  EXPECT_EQ(result.scenario.classes[0].settings.effect, Effect::kOnce);
  EXPECT_NEAR(result.scenario.patience_s, 2.7, 1e-6);
}

TEST(ImportDay, MapsEachKindOfFault) {
  json day = small_day();
  const json step =
      json::array({{{"at", 6000000}, {"stop", {0, 1, 2, 3, 4, 5, 6, 7}}, {"start", json::array()}}});
  day["troubles"] = {make_fault("burst", 1.5, 0, json::array()),
                     make_fault("slow", 2, 0, {4}),
                     make_fault("hang", 0, 0, {1}),
                     make_fault("crash", 0, 0, {2}),
                     make_fault("answer_lost", 0.2, 0, {0}),
                     make_fault("pauses", 300, 2, {1}),
                     make_fault("ageing", 5, 3, {5}),
                     make_fault("deploy", 0.1, 7, json::array(), step),
                     make_fault("balancer_roll", 0.2, 0, json::array(), step),
                     make_fault("shared_slow", 2, 0, {0, 1, 2, 3, 4, 5}),
                     make_fault("give_up", 0.1, 0, json::array()),
                     make_fault("meteor", 1, 1, json::array())};
  const ImportResult result = import(day);
  ASSERT_EQ(result.error, "");
  std::map<Event::Kind, int> kinds;
  for (const Event& event : result.scenario.events) kinds[event.kind] += 1;
  EXPECT_EQ(kinds[Event::Kind::kSurge], 1);
  EXPECT_EQ(kinds[Event::Kind::kSlow], 1 + 4 + 3) << "slow, the steps of ageing, all three of shared_slow";
  EXPECT_EQ(kinds[Event::Kind::kSwallow], 1);
  EXPECT_EQ(kinds[Event::Kind::kCrash], 2);
  EXPECT_EQ(kinds[Event::Kind::kLoseAnswers], 1);
  EXPECT_EQ(kinds[Event::Kind::kPause], 2);
  EXPECT_EQ(kinds[Event::Kind::kKillProxy], 4);
  EXPECT_GE(kinds[Event::Kind::kDrain], 1);
  EXPECT_NEAR(result.scenario.abandon_share, 0.11, 1e-6);
  EXPECT_NE(result.text.find("# meteor: left out"), std::string::npos);
}

TEST(ImportDay, ErrorsNameWhatIsMissing) {
  json day = small_day();
  day.erase("fam");
  EXPECT_NE(import(day).error.find("the day has no 'fam'"), std::string::npos);
  EXPECT_NE(import(json::array()).error.find("is not a JSON object"), std::string::npos);
  EXPECT_THROW(import_day("/nowhere/day.json", 1, 1), std::runtime_error);
}

}  // namespace
}  // namespace mintrock::lab
