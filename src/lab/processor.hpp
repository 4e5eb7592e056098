// Model of a core server's processor: a work queue, a warm-up after a cold start, and a crash when it
// receives too many set-ups while cold.
//
// Pure: does no I/O and reads no clock. Both the stand-ins and the checker use it.
#ifndef MINTROCK_SRC_LAB_PROCESSOR_HPP_
#define MINTROCK_SRC_LAB_PROCESSOR_HPP_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <limits>

namespace mintrock::lab {

// The share of its capacity that a processor has, as a function of the time since its start.
struct WarmUp {
  double start_share = 1;  // share of the capacity at the start
  double duration_s = 0;   // s until the capacity is full
  double started_at = -1e18;

  double capacity_share(double now) const {
    if (duration_s <= 0 || now >= started_at + duration_s) return 1;
    return start_share + (1 - start_share) * std::max(0.0, now - started_at) / duration_s;
  }
  // Integral of the capacity share over [from, to]; both must be at or after the start.
  double capacity_integral(double from, double to) const {
    const double warm_at = started_at + duration_s;
    if (from >= warm_at) return to - from;
    const double until = std::min(to, warm_at);
    return (capacity_share(from) + (until < warm_at ? capacity_share(until) : 1.0)) / 2 * (until - from) +
           std::max(0.0, to - warm_at);
  }
};

// The budget of rule four: the set-ups within any window of fall_s since the start must not exceed factor
// times what the processor could handle in that window.
class ColdBudget {
 public:
  ColdBudget(WarmUp warm_up, double capacity, double factor, double fall_s)
      : warm_up_(warm_up), capacity_(capacity), factor_(factor), fall_s_(fall_s) {}

  // Records the arrival of a set-up. Returns the ratio of load to limit within the window that ends now, or 0
  // once the processor is warm.
  double record_arrival(double now) {
    if (now >= warm_up_.started_at + warm_up_.duration_s) return 0;
    arrivals_.push_back(now);
    while (arrivals_.front() <= now - fall_s_) arrivals_.pop_front();
    // A window that would begin before the start is shifted to begin at the start: a burst can't be averaged
    // over time in which nothing could be sent.
    const double from = std::max(now - fall_s_, warm_up_.started_at);
    const double limit = factor_ * capacity_ * warm_up_.capacity_integral(from, from + fall_s_);
    return static_cast<double>(arrivals_.size()) / limit;
  }

 private:
  WarmUp warm_up_;
  double capacity_;
  double factor_;
  double fall_s_;
  std::deque<double> arrivals_;
};

// Handles one job at a time, in order of arrival; priority jobs go ahead of the others.
class Processor {
 public:
  explicit Processor(WarmUp warm_up) : warm_up_(warm_up) {}

  // `work_s` is the processing time on a warm processor. The caller chooses the ids.
  void push(double now, std::uint64_t id, double work_s, bool priority) {
    if (priority) {
      priority_queue_.push_back({id, work_s});
    } else {
      queue_.push_back({id, work_s});
    }
    queued_work_s_ += work_s;
    if (!busy_) start_next(now);
  }
  // Removes a queued job; returns false if it has begun or is unknown. Priority jobs can't be cancelled.
  bool cancel(std::uint64_t id) {
    const auto found =
        std::find_if(queue_.begin(), queue_.end(), [&](const Job& job) { return job.id == id; });
    if (found == queue_.end()) return false;
    queued_work_s_ -= found->work_s;
    queue_.erase(found);
    return true;
  }
  // When the current job completes; infinite if there is none.
  double completion_time() const {
    return busy_ ? completion_time_ : std::numeric_limits<double>::infinity();
  }
  // Completes the current job, begins the next one and returns the id of the completed one.
  std::uint64_t complete(double now) {
    const std::uint64_t id = current_.id;
    busy_ = false;
    start_next(now);
    return id;
  }
  // How long a new job would wait at the present speed.
  double estimated_wait(double now) const {
    if (!busy_) return 0;
    return std::max(0.0, completion_time_ - now) +
           std::max(0.0, queued_work_s_) * slowdown_ / warm_up_.capacity_share(now);
  }
  std::size_t queue_length() const { return queue_.size() + priority_queue_.size(); }
  void set_slowdown(double factor) { slowdown_ = factor; }
  // Stops all work, the current job included, for `for_s`.
  void pause(double now, double for_s) {
    paused_until_ = now + for_s;
    if (busy_) completion_time_ += for_s;
  }
  const WarmUp& warm_up() const { return warm_up_; }

 private:
  struct Job {
    std::uint64_t id;
    double work_s;
  };
  void start_next(double now) {
    std::deque<Job>& next_queue = priority_queue_.empty() ? queue_ : priority_queue_;
    if (next_queue.empty()) return;
    current_ = next_queue.front();
    next_queue.pop_front();
    queued_work_s_ -= current_.work_s;
    busy_ = true;
    completion_time_ =
        std::max(now, paused_until_) + current_.work_s * slowdown_ / warm_up_.capacity_share(now);
  }

  WarmUp warm_up_;
  std::deque<Job> queue_, priority_queue_;
  Job current_{};
  bool busy_ = false;
  double completion_time_ = 0;
  double queued_work_s_ = 0;  // total work of the queued jobs
  double slowdown_ = 1;
  double paused_until_ = -1e18;
};

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_PROCESSOR_HPP_
