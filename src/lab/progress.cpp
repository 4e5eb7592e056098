#include "lab/progress.hpp"

#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <exception>
#include <iterator>

namespace mintrock::lab {
namespace {

constexpr double kCheckerLag = 1.0;  // s that the checker lags behind, since traces are written in batches
constexpr double kTerminalInterval = 1.0;  // s between two lines
constexpr double kDefaultInterval = 10.0;

// Abbreviates a rule's name so that all rules fit on one line.
const char* short_name(const std::string& rule) {
  if (rule == "one answer") return "answer";
  if (rule == "one attempt") return "attempt";
  if (rule == "drains kept") return "drain";
  if (rule == "release awaited") return "release";
  return "cold";
}

}  // namespace

std::string format_progress_line(const Scenario& scenario, double at, const Checker::Snapshot& previous,
                                 const Checker::Snapshot& current) {
  char text[160];
  const std::uint64_t established = current.established - previous.established;
  const std::uint64_t answered = established + current.unsuccessful - previous.unsuccessful;
  std::snprintf(
      text, sizeof text, "%4.0f s  %7llu calls  %5.1f%% set up  ", at,
      static_cast<unsigned long long>(current.tries),
      answered > 0 ? 100.0 * static_cast<double>(established) / static_cast<double>(answered) : 100.0);
  std::string out = text;
  for (const RuleResult& rule : current.rules) {
    std::snprintf(text, sizeof text, "%s %.0f%% ", short_name(rule.name), rule.worst_ratio * 100);
    out += text;
    if (rule.violations > 0) out += "BROKEN " + std::to_string(rule.violations) + " ";
  }
  std::string faults;
  for (const Event& event : scenario.events) {
    if (at < event.at_s || at >= event.at_s + std::max(event.duration_s, 1.0)) continue;
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

ProgressDisplay::ProgressDisplay(const Scenario& scenario, const std::string& dir, double epoch,
                                 double slack_s)
    : scenario_(scenario),
      epoch_(epoch),
      is_terminal_(isatty(STDOUT_FILENO) == 1),
      checker_(scenario, slack_s) {
  for (const char* each : {"core", "list", "call", "run"}) tails_.emplace_back(dir + "/" + each + ".trace");
  previous_ = checker_.snapshot();
  next_update_ = epoch_ + (is_terminal_ ? kTerminalInterval : kDefaultInterval);
}

void ProgressDisplay::update(double now) {
  if (now < next_update_) return;
  next_update_ += is_terminal_ ? kTerminalInterval : kDefaultInterval;
  try {
    for (TraceTail& tail : tails_) {
      std::vector<v1::Record> part = tail.read_new();
      std::move(part.begin(), part.end(), std::back_inserter(pending_records_));
    }
  } catch (const std::exception& error) {
    std::fprintf(stderr, "mintrock-lab: %s\n", error.what());
    next_update_ = 1e18;
    return;
  }
  std::stable_sort(pending_records_.begin(), pending_records_.end(),
                   [](const auto& a, const auto& b) { return a.time() < b.time(); });
  auto at = pending_records_.begin();
  for (; at != pending_records_.end() && at->time() < now - kCheckerLag; ++at) checker_.add_record(*at);
  pending_records_.erase(pending_records_.begin(), at);
  const Checker::Snapshot current = checker_.snapshot();
  const std::string line = format_progress_line(scenario_, now - epoch_, previous_, current);
  previous_ = current;
  std::printf(is_terminal_ ? "\r\x1b[K%s" : "%s\n", line.c_str());
  std::fflush(stdout);
}

void ProgressDisplay::finish() {
  if (is_terminal_) std::printf("\n");
  next_update_ = 1e18;
}

}  // namespace mintrock::lab
