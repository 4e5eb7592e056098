// Whether the end of a call may have been lost on its way from one core server.
//
// A core server tells the end of a call once, and once more on the next connection that is opened to it. An
// end that was lost, with a connection or in a cut of the network, is heard again only over a connection that
// the server sees opened after that end: one that is begun after the loss, and on which the server speaks as
// soon as it is up. Where it speaks late, the connection was opened while the server could not hear or be
// heard, and ends may have been sent after it; another one is needed.
//
// A server may not know of a connection's end: of those of the process that ran here before, or of one closed
// here while it was silent. Until it has been heard again it may write ends to such a connection, and only
// one begun after that settles them.
//
// Pure: the owner tells of its connections, whose numbers grow.
#ifndef MINTROCK_SRC_PLATFORM_MISSED_END_TRACKER_HPP_
#define MINTROCK_SRC_PLATFORM_MISSED_END_TRACKER_HPP_

#include <cstdint>

namespace mintrock::platform {

using ConnectionId = std::uint64_t;  // never used again

class MissedEndTracker {
 public:
  // A server that is well tells its state at once on a new connection; this leaves it a busy moment.
  static constexpr double kPrompt = 0.2;  // s

  void connection_begun(ConnectionId which) { last_begun_ = which; }
  // The process that ran here before held calls of this server.
  void former_life_had_calls() { former_life_had_calls_ = true; }
  // Any line has come from the server.
  void heard() {
    if (!awaits_word_) return;
    awaits_word_ = false;
    doubted_up_to_ = last_begun_;
  }
  // The first line has come on a connection that was up since then. Called after heard().
  void first_line(ConnectionId which, double up_since, double now) {
    if (!may_settle(which)) return;
    if (now <= up_since + kPrompt) {
      loss_doubted_ = false;
      start_doubted_ = false;
    } else {
      doubted_up_to_ = last_begun_;
    }
  }
  // An end that was sent up to now may be lost.
  void doubt() {
    loss_doubted_ = true;
    doubted_up_to_ = last_begun_;
  }
  // The same, and the server may go on sending ends to where nobody hears them until it is heard.
  void doubt_until_heard() {
    doubt();
    awaits_word_ = true;
  }
  // A new connection is needed now.
  bool doubted() const {
    return !awaits_word_ && (loss_doubted_ || (start_doubted_ && former_life_had_calls_));
  }
  // The first line on this connection may show that nothing is lost any more.
  bool may_settle(ConnectionId which) const { return !awaits_word_ && which > doubted_up_to_; }

 private:
  bool former_life_had_calls_ = false;
  bool start_doubted_ = true;  // ends sent before this process knew the server
  bool loss_doubted_ = false;
  bool awaits_word_ = true;
  ConnectionId doubted_up_to_ = 0;
  ConnectionId last_begun_ = 0;
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_MISSED_END_TRACKER_HPP_
