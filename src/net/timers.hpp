// Timers of one loop: an ordered queue, from which a cancelled timer is gone at once.
//
// Pure: times in, callbacks out. Bounded by what its users keep; nothing is left behind by a cancelled timer.
#ifndef MINTROCK_SRC_NET_TIMERS_HPP_
#define MINTROCK_SRC_NET_TIMERS_HPP_

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <unordered_map>
#include <utility>

namespace mintrock::net {

using TimerId = std::uint64_t;  // 0: none

class Timers {
 public:
  // Calls `fn` once, at the first `run` at or after `when` (seconds, monotonic).
  TimerId at(double when, std::function<void()> fn) {
    const TimerId id = ++last_;
    const auto place = queue_.emplace(Key{when, id}, std::move(fn)).first;
    index_.emplace(id, place);
    return id;
  }

  // True if it was still to come. 0 and ids that have fired are ignored.
  bool cancel(TimerId id) {
    const auto found = index_.find(id);
    if (found == index_.end()) return false;
    queue_.erase(found->second);
    index_.erase(found);
    return true;
  }

  // Runs those due, earliest first. Those added meanwhile wait for the next run, even if due already: a timer
  // that sets itself anew can't hold the loop.
  void run(double now) {
    const TimerId newest = last_;
    while (!queue_.empty() && queue_.begin()->first.first <= now) {
      auto first = queue_.begin();
      while (first != queue_.end() && first->first.second > newest) ++first;
      if (first == queue_.end() || first->first.first > now) return;
      const std::function<void()> fn = std::move(first->second);
      index_.erase(first->first.second);
      queue_.erase(first);
      fn();
    }
  }

  double next() const {
    return queue_.empty() ? std::numeric_limits<double>::infinity() : queue_.begin()->first.first;
  }
  std::size_t size() const { return queue_.size(); }

 private:
  using Key = std::pair<double, TimerId>;
  using Queue = std::map<Key, std::function<void()>>;
  Queue queue_;
  std::unordered_map<TimerId, Queue::iterator> index_;
  TimerId last_ = 0;
};

}  // namespace mintrock::net

#endif  // MINTROCK_SRC_NET_TIMERS_HPP_
