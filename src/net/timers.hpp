// Timers of one loop: an ordered queue, from which a cancelled timer is gone at once.
//
// Pure: times in, callbacks out. Bounded by what its users keep; nothing is left behind by a cancelled timer.
#ifndef MINTROCK_SRC_NET_TIMERS_HPP_
#define MINTROCK_SRC_NET_TIMERS_HPP_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <utility>

namespace mintrock::net {

// Names one timer; the default, or 0, is none.
struct TimerId {
  TimerId() = default;
  TimerId(int) {}  // NOLINT: 0 is how none is written
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
  // Calls `fn` once, at the first `run` at or after `when` (seconds, monotonic).
  TimerId schedule(double when, std::function<void()> fn) {
    const TimerId id(when, ++last_);
    queue_.emplace(id, std::move(fn));
    return id;
  }

  // True if it was still to come. 0 and ids that have fired are ignored.
  bool cancel(TimerId id) { return queue_.erase(id) != 0; }

  // Runs those due, earliest first. Those added meanwhile wait for the next run, even if due already: a timer
  // that sets itself anew can't hold the loop.
  void run(double now) {
    const std::uint64_t newest = last_;
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
  std::uint64_t last_ = 0;
};

}  // namespace mintrock::net

#endif  // MINTROCK_SRC_NET_TIMERS_HPP_
