// Attempts that have ended at this proxy although the core server may have established their calls.
//
// Such a call ends with the process that may hold it: it must not be set up again then. An attempt is
// confirmed as ended when the server says that it holds nothing of the call, or has sent a line long enough
// after the release of the attempt.
//
// Pure: does no I/O and reads no clock. Bounded: the earliest attempts are dropped first.
#ifndef MINTROCK_SRC_PLATFORM_UNCONFIRMED_ATTEMPTS_HPP_
#define MINTROCK_SRC_PLATFORM_UNCONFIRMED_ATTEMPTS_HPP_

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <utility>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::platform {

struct AttemptId {
  CallId call = 0;
  std::uint32_t number = 0;
};

// A release that was written to a connection shortly before its loss may not have arrived: it is sent again.
constexpr double kReleaseUnconfirmed = 1.0;  // s

class UnconfirmedAttempts {
 public:
  // The process that may hold the call of `id` was running at `held_since`.
  void add(const AttemptId& attempt, std::uint64_t id, double held_since, double now) {
    if (attempts_.size() >= kMaxAttempts) attempts_.pop_front();
    attempts_.push_back({attempt, id, now, held_since});
  }
  // The server has confirmed that it holds no earlier attempt of the call.
  void confirm_ended(std::uint64_t id) {
    attempts_.erase(std::remove_if(attempts_.begin(), attempts_.end(),
                                   [id](const Attempt& each) { return each.id == id; }),
                    attempts_.end());
  }
  // Takes out the attempts that a process held before `held_before` which has ended. Returns those that may
  // have run; it had received the release of the others if it sent a line later, at `last_line_at`.
  std::vector<AttemptId> take_ended(double held_before, double last_line_at) {
    std::vector<AttemptId> ended;
    std::deque<Attempt> kept;
    for (const Attempt& each : std::exchange(attempts_, {})) {
      if (each.held_since >= held_before) {
        kept.push_back(each);
      } else if (last_line_at < each.since + kReleaseUnconfirmed) {
        ended.push_back(each.attempt);
      }
    }
    attempts_ = std::move(kept);
    return ended;
  }

 private:
  static constexpr std::size_t kMaxAttempts = 256;
  struct Attempt {
    AttemptId attempt;
    std::uint64_t id = 0;
    double since = 0;
    double held_since = 0;
  };
  std::deque<Attempt> attempts_;
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_UNCONFIRMED_ATTEMPTS_HPP_
