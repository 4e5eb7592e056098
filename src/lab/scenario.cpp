#include "lab/scenario.hpp"

#include <algorithm>
#include <random>

#include "config/yaml.hpp"
#include "edge/config.hpp"

namespace mintrock::lab {
namespace {

constexpr double kDay = 86400;  // s

struct KindName {
  Event::Kind kind;
  const char* name;
  char target;  // c: core server, p: proxy, l: caller, *: core server or caller, -: none
};
constexpr KindName kKinds[] = {
    {Event::Kind::kSurge, "surge", '-'},
    {Event::Kind::kSwallow, "swallow", 'c'},
    {Event::Kind::kSlow, "slow", 'c'},
    {Event::Kind::kPause, "pause", 'c'},
    {Event::Kind::kCrash, "crash", 'c'},
    {Event::Kind::kRefuse, "refuse", 'c'},
    {Event::Kind::kReset, "reset", 'c'},
    {Event::Kind::kLoseAnswers, "lose_answers", 'c'},
    {Event::Kind::kLateAnswers, "late_answers", 'c'},
    {Event::Kind::kGarbage, "garbage", 'c'},
    {Event::Kind::kStrayAnswer, "stray_answer", 'c'},
    {Event::Kind::kDoubleAnswers, "double_answers", 'c'},
    {Event::Kind::kWatchdogSilent, "watchdog_silent", '*'},
    {Event::Kind::kReject, "reject", 'c'},
    {Event::Kind::kHotNumber, "hot_number", '-'},
    {Event::Kind::kDrain, "drain", 'c'},
    {Event::Kind::kKillProxy, "kill_proxy", 'p'},
    {Event::Kind::kTermProxy, "term_proxy", 'p'},
    {Event::Kind::kCallerLost, "caller_lost", 'l'},
    {Event::Kind::kListDown, "list_down", '-'},
};

void read_event(config::Section& section, Scenario& out) {
  Event event;
  std::vector<std::string> names;
  for (const KindName& each : kKinds) names.emplace_back(each.name);
  std::size_t kind = 0;
  section.require("kind");
  section.read_choice("kind", names, kind);
  event.kind = kKinds[kind].kind;
  section.require("at");
  section.read_time("at", event.at_s, 0, kDay);
  section.read_time("for", event.duration_s, 0, kDay);
  section.read("factor", event.factor, 0.01, 1000);
  section.read("share", event.share, 0, 1);
  section.read_time("by", event.delay_s, 0, kDay);
  section.read("result", event.result, 3000, 5999);
  section.read("lines", event.lines, 0, 1000000);
  const char target = kKinds[kind].target;
  event.to_caller = target == 'l' || (target == '*' && section.has("caller"));
  if (target == 'c' || (target == '*' && !event.to_caller)) {
    section.require("core");
    section.read("core", event.target, 0, out.cores - 1);
  } else if (target == 'p') {
    section.require("proxy");
    section.read("proxy", event.target, 0, out.proxies - 1);
  } else if (event.to_caller) {
    section.require("caller");
    section.read("caller", event.target, 0, out.callers - 1);
  }
  if (event.at_s > out.duration_s) section.fail("at", "is after the end of the run");
  out.events.push_back(event);
}

void read_class(config::Section& section, Scenario& out) {
  Scenario::Class each;
  section.require("name");
  section.read("name", each.name);
  section.require("service_identifier");
  section.read("service_identifier", each.service_identifier, 0, 0xFFFFFFFFu);
  section.read("share", each.share, 0, 1e6);
  section.read_time("hold", each.hold_s, 0.001, kDay);
  section.require("aim");
  section.read_time("aim", each.settings.target_s, 0.001, kDay);
  section.require("deadline");
  section.read_time("deadline", each.settings.deadline_s, 0.001, kDay);
  section.read("value", each.settings.value, 0, 1e9);
  std::size_t effect = 0;
  section.read_choice("effect", {"repeatable", "by_key", "once"}, effect);
  each.settings.effect = static_cast<Effect>(effect);
  out.classes.push_back(each);
}

// Draws random kills from the seed. Skips proxies that are down, so that none is killed again while down, and
// leaves at least one proxy up at all times.
void add_random_kills(Scenario& out) {
  std::mt19937_64 random(out.seed + 77);
  std::vector<double> killable_at(out.proxies, 0);
  std::exponential_distribution<double> gap(1 / out.mean_kill_interval_s);
  std::uniform_real_distribution<double> downtime(out.min_kill_downtime_s, out.max_kill_downtime_s);
  constexpr double kSettleTime = 0.25;  // s after a restart during which a proxy is not killed again
  for (double at = 1 + gap(random); at < out.duration_s - 1; at += gap(random)) {
    std::vector<std::uint32_t> up;
    for (std::uint32_t i = 0; i < out.proxies; ++i) {
      if (killable_at[i] < at) up.push_back(i);
    }
    if (up.size() < 2) continue;
    Event event;
    event.kind = Event::Kind::kKillProxy;
    event.at_s = at;
    event.duration_s = downtime(random);
    event.target = up[random() % up.size()];
    killable_at[event.target] = at + event.duration_s + kSettleTime;
    out.events.push_back(event);
  }
}

}  // namespace

const char* name(Event::Kind kind) {
  for (const KindName& each : kKinds) {
    if (each.kind == kind) return each.name;
  }
  return "?";
}

Scenario load_scenario(const std::string& file) {
  config::Section top = config::load(file);
  Scenario out;
  top.require("name");
  top.read("name", out.name);
  top.read("seed", out.seed, 0, 0xFFFFFFFFu);
  top.read_time("duration", out.duration_s, 1, kDay);
  top.read("proxies", out.proxies, 1, 64);
  top.read("callers", out.callers, 1, 1000);
  top.read("cores", out.cores, 1, 64);
  top.read_section("load", [&](config::Section& section) {
    section.read("rate", out.rate, 0.1, 1e6);
    section.read_time("patience", out.patience_s, 0.05, kDay);
    section.read("redials", out.redials, 0, 100);
    section.read_time("redial_after", out.redial_after_s, 0.01, kDay);
    section.read("abandon", out.abandon_share, 0, 1);
  });
  top.read_section("processor", [&](config::Section& section) {
    section.read_time("setup_work", out.setup_work_s, 0, 10);
    section.read_time("release_work", out.release_work_s, 0, 10);
    section.read_time("full_after", out.full_after_s, 0.01, kDay);
    section.read_time("reports_every", out.report_interval_s, 0, kDay);
  });
  top.read_section("rules", [&](config::Section& section) {
    edge::read_rules(section, out.rules);
    section.read_time("drain_grace", out.drain_grace_s, 0, kDay);
  });
  top.read_time("list_delay", out.list_delay_s, 0, kDay);
  top.read_time("watchdog_interval", out.watchdog_interval_s, 6, kDay);
  top.read("core_watchdog", out.core_watchdog);
  top.read("log_level", out.log_level);
  top.require("classes");
  top.read_sections("classes", [&](config::Section& section) { read_class(section, out); });
  if (out.classes.empty()) top.fail("classes", "is empty");
  top.read_sections("events", [&](config::Section& section) { read_event(section, out); });
  top.read_section("kills", [&](config::Section& section) {
    section.read_time("every", out.mean_kill_interval_s, 0.01, kDay);
    std::vector<std::string> range;
    section.read_list("down", range);
    if (range.empty()) return;
    if (range.size() != 2) section.fail("down", "must be a list of two times");
    try {
      out.min_kill_downtime_s = config::parse_time(range[0]);
      out.max_kill_downtime_s = config::parse_time(range[1]);
    } catch (const std::exception& error) {
      section.fail("down", error.what());
    }
    if (out.min_kill_downtime_s > out.max_kill_downtime_s)
      section.fail("down", "has a minimum above its maximum");
  });
  if (out.mean_kill_interval_s > 0) add_random_kills(out);
  top.reject_unknown_keys();
  std::stable_sort(out.events.begin(), out.events.end(),
                   [](const Event& a, const Event& b) { return a.at_s < b.at_s; });
  return out;
}

std::string core_name(std::uint32_t number) { return "core-" + std::to_string(number) + "." + kRealm; }
std::string proxy_name(std::uint32_t number) { return "edge-" + std::to_string(number) + "." + kRealm; }
std::string caller_name(std::uint32_t number) { return "dock-" + std::to_string(number) + "." + kRealm; }

}  // namespace mintrock::lab
