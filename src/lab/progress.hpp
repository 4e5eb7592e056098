// A run as it goes on: a line each second on a terminal, one every ten seconds elsewhere.
#ifndef MINTROCK_SRC_LAB_PROGRESS_HPP_
#define MINTROCK_SRC_LAB_PROGRESS_HPP_

#include <deque>
#include <string>
#include <vector>

#include "lab/checker.hpp"
#include "lab/scenario.hpp"
#include "lab/trace.hpp"

namespace mintrock::lab {

// The line itself. Pure: `at` in s since the script's beginning.
std::string format_progress_line(const Scenario& scenario, double at, const Checker::Progress& before,
                                 const Checker::Progress& now);

class ProgressDisplay {
 public:
  // Reads along what the parts write into `dir`; `epoch` is the script's beginning on the monotonic clock.
  ProgressDisplay(const Scenario& scenario, const std::string& dir, double epoch, double slack_s);
  // To be called now and then; prints when a line is due.
  void update(double now);
  void finish();

 private:
  const Scenario& scenario_;
  double epoch_;
  bool terminal_;
  Checker checker_;
  Checker::Progress before_;
  std::vector<TraceTail> tails_;
  std::vector<v1::Record> waiting_;  // not old enough to be sure that nothing older is still to come
  double next_ = 0;
};

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_PROGRESS_HPP_
