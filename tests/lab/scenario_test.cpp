// Scenario files: random kills are reproducible from the seed, and invalid ranges are rejected.
#include "lab/scenario.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>

#include "config/yaml.hpp"

namespace mintrock::lab {
namespace {

Scenario load(const std::string& extra) {
  const std::string path =
      std::string(::testing::TempDir()) + "scenario-" + std::to_string(getpid()) + ".yaml";
  std::ofstream(path) << "name: t\nduration: 60s\nproxies: 3\n"
                         "classes: [{name: a, service_identifier: 1, aim: 1s, deadline: 2s}]\n"
                      << extra;
  struct Remove {
    std::string path;
    ~Remove() { std::remove(path.c_str()); }
  } const remove{path};
  return load_scenario(path);
}

TEST(Scenario, RandomKillsAreReproducibleAndLeaveOneProxyUp) {
  const std::string kills = "kills: {every: 200ms, down: [300ms, 1500ms]}\n";
  const Scenario one = load("seed: 5\n" + kills);
  const Scenario again = load("seed: 5\n" + kills);
  const Scenario other = load("seed: 6\n" + kills);
  ASSERT_GT(one.events.size(), 50u);
  ASSERT_EQ(one.events.size(), again.events.size());
  bool differs = one.events.size() != other.events.size();
  for (std::size_t i = 0; i < one.events.size(); ++i) {
    EXPECT_EQ(one.events[i].at_s, again.events[i].at_s);
    EXPECT_EQ(one.events[i].target, again.events[i].target);
    if (i < other.events.size()) differs |= one.events[i].at_s != other.events[i].at_s;
    int down = 1;
    for (std::size_t k = 0; k < i; ++k) {
      const Event& before = one.events[k];
      const bool still_down = before.at_s + before.duration_s > one.events[i].at_s;
      down += still_down;
      EXPECT_FALSE(still_down && before.target == one.events[i].target) << "killed while down";
    }
    EXPECT_LT(down, 3);
  }
  EXPECT_TRUE(differs);
}

TEST(Scenario, AnInvalidKillDowntimeRangeIsRejected) {
  EXPECT_THROW(load("kills: {every: 1s, down: [2s, 1s]}\n"), config::Error);
  EXPECT_THROW(load("kills: {every: 1s, down: [2s]}\n"), config::Error);
  EXPECT_THROW(load("kills: {every: 1s, down: [a, b]}\n"), config::Error);
}

}  // namespace
}  // namespace mintrock::lab
