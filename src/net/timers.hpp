// The timers of one event loop, kept in a queue ordered by due time.
//
// Pure: does no I/O and reads no clock. A cancelled timer is removed immediately, so the size is bounded by
// the number of pending timers.
#ifndef MINTROCK_SRC_NET_TIMERS_HPP_
#define MINTROCK_SRC_NET_TIMERS_HPP_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <utility>

namespace mintrock::net {

// Identifies one timer. The default value and 0 mean no timer.
struct TimerId {
  TimerId() = default;
  TimerId(int) {}  // NOLINT: implicit, so that 0 can stand for no timer
  TimerId(double at, std::uint64_t number) : when(at), sequence(number) {}
  bool operator==(const TimerId& other) const { return sequence == other.sequence; }
  bool operator!=(const TimerId& other) const { return sequence != other.sequence; }
  bool operator<(const TimerId& other) const {
    return when != other.when ? when < other.when : sequence < other.sequence;
  }
  double when = 0;
  std::uint64_t sequence = 0;
};

class Timers {
 public:
  // Calls `fn` once, in the first `run` at or after `when` (seconds, monotonic).
  TimerId schedule(double when, std::function<void()> fn) {
    const TimerId id(when, ++last_sequence_);
    queue_.emplace(id, std::move(fn));
    return id;
  }

  // Returns true if the timer was pending. Ignores 0 and the ids of timers that have fired.
  bool cancel(TimerId id) { return queue_.erase(id) != 0; }

  // Runs the due timers, earliest first. Timers added meanwhile wait for the next run even if they are due,
  // so a timer that reschedules itself cannot block the loop.
  void run(double now) {
    const std::uint64_t newest = last_sequence_;
    while (!queue_.empty() && queue_.begin()->first.when <= now) {
      auto first = queue_.begin();
      while (first != queue_.end() && first->first.sequence > newest) ++first;
      if (first == queue_.end() || first->first.when > now) return;
      const std::function<void()> fn = std::move(first->second);
      queue_.erase(first);
      fn();
    }
  }

  double next_due() const {
    return queue_.empty() ? std::numeric_limits<double>::infinity() : queue_.begin()->first.when;
  }
  std::size_t size() const { return queue_.size(); }

 private:
  std::map<TimerId, std::function<void()>> queue_;
  std::uint64_t last_sequence_ = 0;
};

}  // namespace mintrock::net

#endif  // MINTROCK_SRC_NET_TIMERS_HPP_
