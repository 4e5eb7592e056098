// The order in which an ending edge proxy closes its connections, from SIGTERM to its exit.
//
// What a core server sends to this process, in particular the end of a call, is not sent to the next one: it
// must be read and passed on here, or not be read at all. So core servers are read only while a caller's
// connection is left to report ends on, and that connection is closed last.
//
// | phase         | begins                          | callers                        | core servers | |
// serving       | at SIGTERM                      | everything goes on             | everything goes on | |
// draining      | kAcceptAfterSignal later        | the listener is closed; each   | everything goes on; ends
// | |               |                                 | connection closes after its    | are reported on the
// | |               |                                 | last answer, but for one that  | connection that is
// kept  | |               |                                 | is kept while calls stand      | | | final
// answers | when the time for answers is up | what is open is answered; new  | as before                | |
// |                                 | set-ups are refused            |                          | | closing
// | when nothing is owed any more,  | the one that was kept closes   | closed: nothing more is  | | | or
// kReadAfterAnswers later      |                                | read                     | | done | when
// all is sent, or            | the process exits              |                          | |               |
// kExitAfterAnswers later         |                                |                          |
//
// Owed are releases that a core server may not have received, and ends of calls at a core server that is
// silent: it sends them when it goes on, and repeats them on the connection that this process opened last.
//
// Pure: does no I/O and reads no clock. All times are in seconds on the monotonic clock.
#ifndef MINTROCK_SRC_PLATFORM_SHUTDOWN_SEQUENCE_HPP_
#define MINTROCK_SRC_PLATFORM_SHUTDOWN_SEQUENCE_HPP_

#include <cstddef>

namespace mintrock::platform {

enum class ShutdownPhase { kServing, kDraining, kFinalAnswers, kClosing, kDone };

// What is still open.
struct ShutdownState {
  std::size_t busy_callers = 0;          // connections to callers, but for an idle one that is kept for ends
  std::size_t unsent_streams = 0;        // closed connections whose last bytes are not sent yet
  bool connection_for_ends = false;      // a caller's connection is left to report ends on
  bool untold_ends = false;              // ends were read that no connection can report
  std::size_t unconfirmed_releases = 0;  // that core servers may not have received
  bool ends_overdue = false;             // a core server that holds calls is silent
};

class ShutdownSequence {
 public:
  // `longest_deadline`: for how long a caller may wait for its answer, in seconds.
  ShutdownSequence(double now, double longest_deadline);

  // Returns the phase that the shutdown is in now; it never goes back.
  ShutdownPhase advance(const ShutdownState& state, double now);
  ShutdownPhase phase() const { return phase_; }
  static constexpr double kAcceptAfterSignal = 0.9;  // s in which new connections still arrive

 private:
  static bool is_nothing_owed(const ShutdownState& state);

  ShutdownPhase phase_ = ShutdownPhase::kServing;
  double accept_until_;
  double answer_until_;
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_SHUTDOWN_SEQUENCE_HPP_
