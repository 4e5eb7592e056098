#include "diameter/watchdog.hpp"

namespace mintrock::diameter {

void Watchdog::set_timer(double now) {
  std::uniform_real_distribution<double> jitter(-2.0, 2.0);
  deadline_ = now + tw_init_ + jitter(rng_);
}

Watchdog::Actions Watchdog::on_timer(double now) {
  Actions actions;
  set_timer(now);
  switch (state_) {
    case State::kInitial:
    case State::kDown:
      actions.attempt_open = true;
      break;
    case State::kOkay:
      if (!pending_) {
        actions.send_watchdog = true;
        pending_ = true;
      } else {
        actions.failover = true;
        state_ = State::kSuspect;
      }
      break;
    case State::kSuspect:
      actions.close_connection = true;
      state_ = State::kDown;
      break;
    case State::kReopen:
      if (!pending_) {
        actions.send_watchdog = true;
        pending_ = true;
      } else if (num_dwa_ < 0) {
        actions.close_connection = true;
        state_ = State::kDown;
      } else {
        num_dwa_ = -1;
      }
      break;
  }
  return actions;
}

Watchdog::Actions Watchdog::on_connection_up(double now) {
  Actions actions;
  set_timer(now);
  if (state_ == State::kDown) {
    num_dwa_ = 0;
    actions.send_watchdog = true;
    pending_ = true;
    state_ = State::kReopen;
  } else {
    pending_ = false;
    state_ = State::kOkay;
    actions.failback = true;
  }
  return actions;
}

Watchdog::Actions Watchdog::on_connection_down(double now) {
  Actions actions;
  if (state_ == State::kInitial || state_ == State::kDown) return actions;
  actions.failover = state_ == State::kOkay;
  actions.close_connection = true;
  state_ = State::kDown;
  set_timer(now);
  return actions;
}

Watchdog::Actions Watchdog::on_dwa(double now) {
  Actions actions;
  switch (state_) {
    case State::kOkay:
      pending_ = false;
      set_timer(now);
      break;
    case State::kSuspect:
      pending_ = false;
      actions.failback = true;
      set_timer(now);
      state_ = State::kOkay;
      break;
    case State::kReopen:
      pending_ = false;
      num_dwa_ += 1;
      if (num_dwa_ >= 3) {  // "until 3 watchdog messages have been received" means that NumDWA was 2
        actions.failback = true;
        state_ = State::kOkay;
      }
      break;
    default:
      break;
  }
  return actions;
}

Watchdog::Actions Watchdog::on_non_dwa(double now) {
  Actions actions;
  switch (state_) {
    case State::kOkay:
      set_timer(now);
      break;
    case State::kSuspect:
      actions.failback = true;
      set_timer(now);
      state_ = State::kOkay;
      break;
    case State::kReopen:
      actions.discard_message = true;
      break;
    default:
      break;
  }
  return actions;
}

void Watchdog::reset(double now) {
  state_ = State::kInitial;
  pending_ = false;
  num_dwa_ = 0;
  set_timer(now);
}

const char* name(Watchdog::State state) {
  switch (state) {
    case Watchdog::State::kInitial:
      return "INITIAL";
    case Watchdog::State::kOkay:
      return "OKAY";
    case Watchdog::State::kSuspect:
      return "SUSPECT";
    case Watchdog::State::kDown:
      return "DOWN";
    case Watchdog::State::kReopen:
      return "REOPEN";
  }
  return "?";
}

}  // namespace mintrock::diameter
