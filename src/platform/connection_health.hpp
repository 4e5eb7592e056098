// Judges a connection to a core server by what it has carried.
//
// An answer that never came, or stopped short, says nothing of the server, which may have sent it, nor of the
// call, which may have run. It says that the connection may be of no further use, for set-ups, releases and
// the ends of calls alike, until it carries a whole line again. A server that is silent on every connection
// is no reason to doubt one of them.
//
// | state   | means                                 | set-ups go there      | usable for ends | a new one is
// due | | new     | no line was received yet              | yes                   | yes             | no | |
// proven  | the last thing seen of it is a line   | yes                   | yes             | no | | doubted
// | a set-up waits or was given up there, | if there is no other  | no              | yes              | | |
// and only others carried lines since   |                       |                 |                  |
//
// | event                                               | new     | proven  | doubted |
// | a whole line, also an answer that came too late     | proven  | proven  | proven  |
// | a part of a line                                    | new     | proven  | doubted |
// | kGivenUpSilence after the last line or, if later,   | doubted | doubted | doubted |
// | the first set-up that was given up since, or        |         |         |         |
// | kWaitingSilence after one that still waits; the     |         |         |         |
// | server has sent a line on another connection        |         |         |         |
// | the same, but the server was silent throughout      | new     | proven  | doubted |
// | a line that can't be read                           | closed  | closed  | closed  |
//
// Pure: does no I/O and reads no clock. All times are in seconds on the monotonic clock.
#ifndef MINTROCK_SRC_PLATFORM_CONNECTION_HEALTH_HPP_
#define MINTROCK_SRC_PLATFORM_CONNECTION_HEALTH_HPP_

#include <cstddef>
#include <limits>

namespace mintrock::platform {

class ConnectionHealth {
 public:
  enum class State { kNew, kProven, kDoubted };
  // How long a connection may carry no line once a set-up on it was given up.
  static constexpr double kGivenUpSilence = 1.5;  // s
  // The same while a set-up waits: a busy server may take some seconds, and states come on a few connections
  // only.
  static constexpr double kWaitingSilence = 4.0;  // s

  void setup_written(double now) {
    if (!is_owed_an_answer()) silent_since_ = now;
    waiting_ += 1;
  }
  // A line has ended the set-up; line_received() was called for it.
  void setup_answered() { waiting_ -= 1; }
  void setup_given_up() {
    waiting_ -= 1;
    given_up_ = true;
  }
  void line_received(double now) {
    state_ = State::kProven;
    heard_ = true;
    given_up_ = false;
    silent_since_ = now;
  }
  // To be called when time has passed. `server_line_at`: when the server last sent a line, on any connection.
  // Returns true if the connection has become doubted.
  bool update(double now, double server_line_at) {
    if (state_ == State::kDoubted || now < doubted_at() || server_line_at <= silent_since_) return false;
    state_ = State::kDoubted;
    return true;
  }
  State state() const { return state_; }
  bool heard() const { return heard_; }  // a line was received
  bool is_doubted() const { return state_ == State::kDoubted; }
  // When update() may return true without another event; infinity: never.
  double next_update_at(double server_line_at) const {
    return is_doubted() || server_line_at <= silent_since_ ? std::numeric_limits<double>::infinity()
                                                           : doubted_at();
  }

 private:
  bool is_owed_an_answer() const { return waiting_ > 0 || given_up_; }
  double doubted_at() const {
    if (!is_owed_an_answer()) return std::numeric_limits<double>::infinity();
    return silent_since_ + (given_up_ ? kGivenUpSilence : kWaitingSilence);
  }

  State state_ = State::kNew;
  bool heard_ = false;
  std::size_t waiting_ = 0;  // set-ups that were written and are not answered
  bool given_up_ = false;    // one of them was given up, and no line was received since
  double silent_since_ = 0;  // the last line or, if later, the first set-up that is owed an answer
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CONNECTION_HEALTH_HPP_
