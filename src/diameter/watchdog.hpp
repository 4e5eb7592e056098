// The watchdog of one peer's connection: the state machine of RFC 3539 section 3.4.1, and nothing else.
//
// Pure: times in, actions out. The owner sends the watchdog requests, opens and closes connections.
#ifndef MINTROCK_SRC_DIAMETER_WATCHDOG_HPP_
#define MINTROCK_SRC_DIAMETER_WATCHDOG_HPP_

#include <cstdint>
#include <random>

namespace mintrock::diameter {

class Watchdog {
 public:
  enum class State { kInitial, kOkay, kSuspect, kDown, kReopen };

  // What the owner is to do, in this order. Fields are independent.
  struct Actions {
    bool attempt_open = false;
    bool close_connection = false;
    bool send_watchdog = false;
    bool failover = false;         // send nothing new here until failback
    bool failback = false;         // the connection may be used again
    bool discard_message = false;  // the message just received counts for nothing (REOPEN)
  };

  // `tw_init_s`: seconds, 6 or more (section 3.4.1: not lower); each use is jittered by up to 2 s either way.
  Watchdog(double tw_init_s, std::uint64_t seed) : tw_init_(tw_init_s), random_(seed) {}

  State state() const { return state_; }
  bool answer_pending() const { return pending_; }
  // When `on_timer` is due.
  double deadline() const { return deadline_; }

  // Begins in INITIAL, with the timer set.
  void start(double now) { set_timer(now); }
  Actions on_timer(double now);
  Actions on_connection_up(double now);
  Actions on_connection_down(double now);
  Actions on_dwa(double now);      // a DWA came
  Actions on_non_dwa(double now);  // anything but a DWA came
  // After a disconnection that both sides agreed on (DPR), the next connection begins anew in INITIAL.
  void reset(double now);

 private:
  void set_timer(double now);
  State state_ = State::kInitial;
  bool pending_ = false;
  int num_dwa_ = 0;  // NumDWA
  double tw_init_;
  double deadline_ = 0;
  std::mt19937_64 random_;
};

const char* name(Watchdog::State state);

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_WATCHDOG_HPP_
