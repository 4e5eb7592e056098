#include "lab/live.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <iterator>

namespace mintrock::lab {
namespace {

constexpr double kBehind = 1.0;  // s that the checker stays behind, since traces are written in lumps
constexpr double kOnTerminal = 1.0;
constexpr double kElsewhere = 10.0;

// Short names for one line.
const char* short_name(const std::string& rule) {
  if (rule == "one answer") return "answer";
  if (rule == "one attempt") return "attempt";
  if (rule == "drains kept") return "drain";
  if (rule == "release awaited") return "release";
  return "cold";
}

}  // namespace

std::string progress_line(const Scenario& scenario, double at, const Checker::Progress& before,
                          const Checker::Progress& now) {
  char text[160];
  const std::uint64_t stood = now.established - before.established;
  const std::uint64_t answered = stood + now.unsuccessful - before.unsuccessful;
  std::snprintf(text, sizeof text, "%4.0f s  %7llu calls  %5.1f%% stand  ", at,
                static_cast<unsigned long long>(now.tries),
                answered > 0 ? 100.0 * static_cast<double>(stood) / static_cast<double>(answered) : 100.0);
  std::string out = text;
  for (const RuleResult& rule : now.rules) {
    std::snprintf(text, sizeof text, "%s %.0f%% ", short_name(rule.name), rule.worst_ratio * 100);
    out += text;
    if (rule.violations > 0) out += "BROKEN " + std::to_string(rule.violations) + " ";
  }
  std::string faults;
  for (const Event& event : scenario.events) {
    if (at < event.at_s || at >= event.at_s + std::max(event.for_s, 1.0)) continue;
    faults += faults.empty() ? "| " : ", ";
    faults += name(event.kind);
    if (event.kind == Event::Kind::kSurge) {
      std::snprintf(text, sizeof text, " x%g", event.factor);
      faults += text;
    } else if (event.kind != Event::Kind::kListDown && event.kind != Event::Kind::kHotNumber) {
      faults += " " + std::to_string(event.target);
    }
  }
  return out + faults;
}

Live::Live(const Scenario& scenario, const std::string& dir, double epoch, double slack_s)
    : scenario_(scenario), epoch_(epoch), terminal_(isatty(STDOUT_FILENO) == 1), checker_(scenario, slack_s) {
  for (const char* each : {"core", "list", "call", "run"}) tails_.emplace_back(dir + "/" + each + ".trace");
  before_ = checker_.progress();
  next_ = epoch_ + (terminal_ ? kOnTerminal : kElsewhere);
}

void Live::look(double now) {
  if (now < next_) return;
  next_ += terminal_ ? kOnTerminal : kElsewhere;
  try {
    for (TraceTail& tail : tails_) {
      std::vector<v1::Record> part = tail.read_new();
      std::move(part.begin(), part.end(), std::back_inserter(waiting_));
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "mintrock-lab: %s\n", error.what());
    next_ = 1e18;
    return;
  }
  std::stable_sort(waiting_.begin(), waiting_.end(),
                   [](const auto& a, const auto& b) { return a.time() < b.time(); });
  auto at = waiting_.begin();
  for (; at != waiting_.end() && at->time() < now - kBehind; ++at) checker_.add_record(*at);
  waiting_.erase(waiting_.begin(), at);
  const Checker::Progress progress = checker_.progress();
  const std::string line = progress_line(scenario_, now - epoch_, before_, progress);
  before_ = progress;
  std::printf(terminal_ ? "\r\x1b[K%s" : "%s\n", line.c_str());
  std::fflush(stdout);
}

void Live::end() {
  if (terminal_) std::printf("\n");
  next_ = 1e18;
}

}  // namespace mintrock::lab
