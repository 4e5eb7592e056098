// Shows the progress of a run: one line per second on a terminal, one every ten seconds otherwise.
#ifndef MINTROCK_SRC_LAB_PROGRESS_HPP_
#define MINTROCK_SRC_LAB_PROGRESS_HPP_

#include <deque>
#include <string>
#include <vector>

#include "lab/checker.hpp"
#include "lab/scenario.hpp"
#include "lab/trace.hpp"

namespace mintrock::lab {

// Formats one progress line. Pure: does no I/O and reads no clock. `at` is in seconds since the start of the
// script.
std::string format_progress_line(const Scenario& scenario, double at, const Checker::Snapshot& previous,
                                 const Checker::Snapshot& current);

class ProgressDisplay {
 public:
  // Follows the traces that the stand-ins write into `dir`. `epoch` is the start of the script on the
  // monotonic clock.
  ProgressDisplay(const Scenario& scenario, const std::string& dir, double epoch, double slack_s);
  // Must be called regularly; prints a line when one is due.
  void update(double now);
  void finish();

 private:
  const Scenario& scenario_;
  double epoch_;
  bool is_terminal_;
  Checker checker_;
  Checker::Snapshot previous_;
  std::vector<TraceTail> tails_;
  std::vector<v1::Record> pending_records_;  // too recent: older records may still arrive
  double next_update_ = 0;
};

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_PROGRESS_HPP_
