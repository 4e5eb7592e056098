// Remembers the calls that are over at this proxy, and decides what becomes of a core server's message that a
// call is over when the call is not open here.
//
// A core server repeats the end of a call on the next connection that is opened to it, whenever that is. So
// the age of an end does not tell whether its caller still waits for it; what this process knows of the call
// does:
//
// | state     | what this process knows of the call                  | an end             | `at` names the
// call | | unknown   | nothing; a former process may have owed its caller   | reported; closed   | open | |
// | the end, until the callers of that one have come     |                    |                     | |
// unknown   | nothing, and no former process's caller is left      | kept; unclaimed    | open | | open |
// waiting, established, or named by its caller (these  | reported; closed   | open                | | | are
// kept by their owners)                            |                    |                     | | closed    |
// its caller was given the last word, or has left      | ignored            | reported again      | |
// unclaimed | its end, but no caller                               | kept               | reported; closed |
//
// A final answer, a hang-up or a reported end closes an open call. The ids of closed calls are bounded: the
// earliest are forgotten. From then on an unknown call may be one of those, and its end is kept instead of
// reported. A former process held at most as many calls as this one may, so no more ends are kept unclaimed.
//
// Pure: does no I/O and reads no clock.
#ifndef MINTROCK_SRC_PLATFORM_ENDED_CALLS_HPP_
#define MINTROCK_SRC_PLATFORM_ENDED_CALLS_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>
#include <unordered_set>

namespace mintrock::platform {

class EndedCalls {
 public:
  // Callers of a former process may be owed ends until `owed_until`, in seconds on the monotonic clock.
  // `max_calls` is the number of calls that one process may hold.
  EndedCalls(double owed_until, std::size_t max_calls)
      : owed_until_(owed_until), max_closed_(kClosedPerCall * max_calls), max_unclaimed_(max_calls) {}

  // The caller of an open call was given the last word, or has left. `may_have_run`: an attempt was sent to a
  // core server.
  void close(std::uint64_t id, bool may_have_run);
  // A core server reports the end of a call that is not open. Returns whether a caller is to be told.
  bool handle_end(std::uint64_t id, double now);
  // A caller names the call as established. Returns whether it is over; its caller is to be told then.
  bool claim(std::uint64_t id);
  // Whether the call is over and may have run: a set-up with its id must not be sent.
  bool may_have_run(std::uint64_t id) const;

  std::size_t size() const { return closed_.size() + unclaimed_.size(); }

 private:
  static constexpr std::size_t kClosedPerCall = 4;

  double owed_until_;
  std::size_t max_closed_;
  std::size_t max_unclaimed_;
  std::unordered_map<std::uint64_t, bool> closed_;  // whether it may have run
  std::deque<std::uint64_t> closed_order_;          // the earliest first
  std::unordered_set<std::uint64_t> unclaimed_;
  std::deque<std::uint64_t> unclaimed_order_;
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_ENDED_CALLS_HPP_
