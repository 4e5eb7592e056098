// The watchdog of the connection to one peer: the state machine of RFC 3539 section 3.4.1.
//
// A pure module: it does no I/O and reads no clock. The owner passes in events with their times and carries
// out the returned actions: it sends the watchdog requests and opens and closes connections.
#ifndef MINTROCK_SRC_DIAMETER_WATCHDOG_HPP_
#define MINTROCK_SRC_DIAMETER_WATCHDOG_HPP_

#include <cstdint>
#include <random>

namespace mintrock::diameter {

class Watchdog {
 public:
  enum class State { kInitial, kOkay, kSuspect, kDown, kReopen };

  // The actions that the owner must take, in this order. The fields are independent.
  struct Actions {
    bool attempt_open = false;
    bool close_connection = false;
    bool send_watchdog = false;
    bool failover = false;         // send no new requests on this connection until failback
    bool failback = false;         // the connection may be used again
    bool discard_message = false;  // ignore the message just received (REOPEN)
  };

  // `tw_init_s` is TwInit in seconds; section 3.4.1 requires at least 6. A jitter of up to 2 s either way is
  // added each time the timer is set.
  Watchdog(double tw_init_s, std::uint64_t seed) : tw_init_(tw_init_s), rng_(seed) {}

  State state() const { return state_; }
  // Whether a DWR is unanswered (Pending in RFC 3539).
  bool answer_pending() const { return pending_; }
  // When `on_timer` must be called.
  double deadline() const { return deadline_; }

  // Sets the timer. The state is INITIAL.
  void start(double now) { set_timer(now); }
  Actions on_timer(double now);
  Actions on_connection_up(double now);
  Actions on_connection_down(double now);
  Actions on_dwa(double now);      // a DWA was received
  Actions on_non_dwa(double now);  // a message other than a DWA was received
  // Returns to INITIAL. To be called after a disconnection by DPR, so that the next connection skips REOPEN.
  void reset(double now);

 private:
  void set_timer(double now);
  State state_ = State::kInitial;
  bool pending_ = false;
  int num_dwa_ = 0;  // NumDWA of RFC 3539
  double tw_init_;
  double deadline_ = 0;
  std::mt19937_64 rng_;
};

const char* name(Watchdog::State state);

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_WATCHDOG_HPP_
