// Tracks whether one core server may have sent the end of a call that never arrived.
//
// A core server sends the end of a call once, and repeats it once on the next connection that is opened to
// it. An end that is lost with a connection or in a network partition arrives only over a connection that the
// server accepts after sending that end. A connection qualifies if it is started after the loss and the
// server sends a line as soon as it is established. If the first line comes late, the connection was opened
// while server and proxy could not reach each other, and the server may have sent ends after accepting it:
// another connection is needed.
//
// A server may not know that a connection is closed: one of the previous process of this proxy, or one that
// this process closed while the server was silent. Until the server sends a line again, it may write ends to
// such a connection, and only a connection that is started after that line recovers them.
//
// A connection that is of no further use (ConnectionHealth) may look open to the server for as long as the
// process lives, and the end of a call may be written to it at any time. While such calls are established, a
// new connection is due from time to time.
//
// Pure: does no I/O and reads no clock. The owner reports the events of its connections, whose ids increase.
#ifndef MINTROCK_SRC_PLATFORM_MISSED_END_TRACKER_HPP_
#define MINTROCK_SRC_PLATFORM_MISSED_END_TRACKER_HPP_

#include <cstdint>
#include <limits>
#include <unordered_set>

namespace mintrock::platform {

using ConnectionId = std::uint64_t;  // never reused

class MissedEndTracker {
 public:
  // A healthy server sends its state at once on a new connection; this allows for a short load peak.
  static constexpr double kPromptFirstLine = 0.2;  // s

  // The time between new connections while calls are at risk. An end is due 8 s after the call's end; this
  // leaves time for a connection that comes up late.
  static constexpr double kRenewalInterval = 4.0;  // s

  void connection_started(ConnectionId which, double now) {
    last_started_ = which;
    last_started_at_ = now;
  }
  // The end of this call may be written to a connection that is of no use.
  void call_at_risk(std::uint64_t id) { calls_at_risk_.insert(id); }
  // The call has ended, or its end will be written to a connection that carries it.
  void call_safe(std::uint64_t id) { calls_at_risk_.erase(id); }
  // When a new connection is due for the sake of the calls at risk; infinity: there is none.
  double next_renewal_at() const {
    return calls_at_risk_.empty() ? std::numeric_limits<double>::infinity()
                                  : last_started_at_ + kRenewalInterval;
  }
  // The previous process of this proxy held calls at this server.
  void previous_process_had_calls() { previous_process_had_calls_ = true; }
  // The server sent a line on any connection.
  void line_received() {
    if (!awaiting_line_) return;
    awaiting_line_ = false;
    unconfirmed_up_to_ = last_started_;
  }
  // The first line arrived on a connection that was established at `up_since`. To be called after
  // line_received().
  void first_line_received(ConnectionId which, double up_since, double now) {
    if (!can_confirm(which)) return;
    if (now <= up_since + kPromptFirstLine) {
      loss_suspected_ = false;
      start_unconfirmed_ = false;
    } else {
      unconfirmed_up_to_ = last_started_;
    }
  }
  // An end that was sent before now may be lost.
  void suspect_loss() {
    loss_suspected_ = true;
    unconfirmed_up_to_ = last_started_;
  }
  // As suspect_loss(); in addition, the server may keep sending ends to a closed connection until it sends a
  // line on an open one.
  void suspect_loss_until_line_received() {
    suspect_loss();
    awaiting_line_ = true;
  }
  // A new connection is needed now.
  bool needs_new_connection() const {
    return !awaiting_line_ && (loss_suspected_ || (start_unconfirmed_ && previous_process_had_calls_));
  }
  // The first line on this connection can show that no end is missing any more.
  bool can_confirm(ConnectionId which) const { return !awaiting_line_ && which > unconfirmed_up_to_; }

 private:
  bool previous_process_had_calls_ = false;
  bool start_unconfirmed_ = true;  // ends sent before this process connected may be missing
  bool loss_suspected_ = false;
  bool awaiting_line_ = true;
  ConnectionId unconfirmed_up_to_ = 0;  // connections up to this id were started too early to confirm
  ConnectionId last_started_ = 0;
  double last_started_at_ = 0;
  std::unordered_set<std::uint64_t> calls_at_risk_;
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_MISSED_END_TRACKER_HPP_
