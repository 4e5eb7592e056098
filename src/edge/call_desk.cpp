#include "edge/call_desk.hpp"

#include <algorithm>
#include <utility>

namespace mintrock::edge {
namespace {

constexpr const char* kRanUnseen = "it ran, or may have, and that has ended, and its answer was not seen";

}  // namespace

CallDesk::CallDesk(const Settings& settings, std::uint64_t seed, std::uint32_t max_calls, DeskPorts& ports)
    : settings_(settings), controller_(settings, seed), max_calls_(max_calls), ports_(ports) {}

// Events that come while one is being carried out wait for their turn: an attempt that fails at once must not
// be told to the Controller from inside the action that began it.
void CallDesk::decide(double now, Event event) {
  events_.emplace_back(now, std::move(event));
  if (deciding_) return;
  deciding_ = true;
  std::vector<Action> actions;
  while (!events_.empty()) {
    const auto [time, next] = std::move(events_.front());
    events_.pop_front();
    actions.clear();
    controller_.handle(time, next, actions);
    for (const Action& action : actions) {
      std::visit([&, at = time](const auto& a) { act(a, at); }, action);
    }
  }
  deciding_ = false;
}

void CallDesk::start(double now) { decide(now, Started{}); }
void CallDesk::list(const ServerList& news, double now) { decide(now, news); }
void CallDesk::peer_news(const PeerNews& news, double now) { decide(now, news); }
void CallDesk::load(ServerId server, const Report& report, double now) {
  decide(now, LoadNotice{server, report});
}

void CallDesk::offer(CallId id, const Offer& offer, double now) {
  counts_.offered += 1;
  if (draining_ || offer.peer_on_trial || calls_.size() >= max_calls_) {
    // Told at once, with the longest time that callers heed: there is no room for its state, which is no
    // question of the servers that the Controller could answer.
    counts_.turned_away += 1;
    counts_.refused += 1;
    ports_.answer(id, {Verdict::Kind::kRefused, longest_advice(), 0,
                       draining_             ? "draining"
                       : offer.peer_on_trial ? "the connection is on trial"
                                             : "the table of calls is full"});
    ports_.forget(id);
    return;
  }
  Call& call = calls_[id];
  call.begun = now;
  call.overdue = timers_.schedule(now + offer.ttl_s, [this, id] {  // few bytes: no allocation
    const auto found = calls_.find(id);
    if (found == calls_.end()) return;
    found->second.overdue = 0;
    counts_.overdue += 1;
    decide(timer_now_, CallAbandoned{id});
    finish(id, {Verdict::Kind::kFailed, 0, 0, "overdue"}, timer_now_);
  });
  NewCall event;
  event.call = id;
  event.call_class = offer.call_class;
  event.key = offer.key;
  event.ttl_s = offer.ttl_s;
  event.lines = offer.lines;
  event.first_choice = offer.first_choice;
  event.redialled = offer.redialled;
  event.was_cut = offer.was_cut;
  decide(now, event);
}

void CallDesk::act(const SendSetup& action, double now) {
  const auto found = calls_.find(action.call);
  if (found == calls_.end()) return;
  Call& call = found->second;
  const std::uint32_t attempt = call.attempts++;
  call.server = action.server;
  call.sent = now;
  call.state = View::State::kOut;
  counts_.attempts += 1;
  call.give_up = timers_.schedule(now + action.give_up_after_s,
                                  [this, id = action.call, attempt] { give_up(id, attempt); });
  const Handover handover = ports_.send_setup(action.call, attempt, action.server, action.give_up_after_s);
  if (handover == Handover::kTaken) return;
  const auto again = calls_.find(action.call);
  if (again == calls_.end() || again->second.attempts != attempt + 1) return;
  attempt_over(action.call, again->second,
               handover == Handover::kNoWay ? Outcome::kConnectFailed : Outcome::kNotSent, Cause::kNone, 0,
               {}, now);
}

void CallDesk::give_up(CallId id, std::uint32_t attempt) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.attempts != attempt + 1) return;
  Call& call = found->second;
  call.give_up = 0;
  if (call.state != View::State::kOut) return;
  counts_.timed_out += 1;
  ports_.release(id, attempt, call.server);
  attempt_over(id, call, Outcome::kTimedOut, Cause::kNone, 0, {}, timer_now_);
}

void CallDesk::attempt_over(CallId id, Call& call, Outcome outcome, Cause cause, double told_wait_s,
                            const Report& report, double now) {
  timers_.cancel(std::exchange(call.give_up, 0));
  AttemptEnded event;
  event.call = id;
  event.attempt = call.attempts - 1;
  event.server = call.server;
  event.spent_s = now - call.sent;
  event.outcome = outcome;
  event.cause = cause;
  event.told_wait_s = told_wait_s;
  event.report = report;
  call.state = View::State::kDeciding;
  decide(now, event);
}

void CallDesk::stood(CallId id, std::uint32_t attempt, const Report& report, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.attempts != attempt + 1 ||
      found->second.state != View::State::kOut) {
    counts_.late += 1;
    return;
  }
  Call& call = found->second;
  timers_.cancel(std::exchange(call.give_up, 0));
  timers_.cancel(std::exchange(call.overdue, 0));
  call.state = View::State::kStands;
  standing_ += 1;
  counts_.stood += 1;
  const ServerId server = call.server;
  const double spent = now - call.sent;
  ports_.answer(id, {Verdict::Kind::kStands, 0, server, ""});
  decide(now, SetupStood{id, attempt, server, spent});
  decide(now, LoadNotice{server, report});
}

void CallDesk::ended(CallId id, std::uint32_t attempt, Outcome outcome, Cause cause, double told_wait_s,
                     const Report& report, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.attempts != attempt + 1 ||
      found->second.state == View::State::kDeciding) {
    counts_.late += 1;
    return;
  }
  Call& call = found->second;
  if (call.state == View::State::kOut && outcome == Outcome::kEnded) {
    return ended_unanswered(id, call, report, now);
  }
  if (call.state == View::State::kOut)
    return attempt_over(id, call, outcome, cause, told_wait_s, report, now);
  standing_over(id, call, outcome, report, now);
}

void CallDesk::ended_unanswered(CallId id, Call& call, const Report& report, double now) {
  AttemptEnded event;
  event.call = id;
  event.attempt = call.attempts - 1;
  event.server = call.server;
  event.spent_s = now - call.sent;
  event.outcome = Outcome::kEnded;
  event.call_over = true;
  event.report = report;
  call.state = View::State::kDeciding;  // nothing is out that had to be released
  finish(id, {Verdict::Kind::kFailed, 0, call.server, kRanUnseen}, now);
  decide(now, event);
}

void CallDesk::ran_elsewhere(CallId id, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.state == View::State::kStands) return;
  decide(now, CallAbandoned{id});
  finish(id, {Verdict::Kind::kFailed, 0, 0, kRanUnseen}, now);
}

void CallDesk::ended_standing(CallId id, Outcome outcome, const Report& report, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.state != View::State::kStands) {
    counts_.late += 1;
    return;
  }
  standing_over(id, found->second, outcome, report, now);
}

void CallDesk::standing_over(CallId id, const Call& call, Outcome outcome, const Report& report, double now) {
  AttemptEnded event;
  event.call = id;
  event.attempt = call.attempts - 1;
  event.server = call.server;
  event.spent_s = now - call.sent;
  event.outcome = outcome;
  event.call_over = true;
  event.report = report;
  counts_.cut += 1;
  ports_.cut(id);
  drop(id);
  decide(now, event);
}

void CallDesk::answer_all(double now) {
  for (const View& each : calls()) {
    const auto found = calls_.find(each.call);
    if (found == calls_.end() || found->second.state == View::State::kStands) continue;
    const bool never_sent = found->second.attempts == 0;
    decide(now, CallAbandoned{each.call});
    finish(each.call,
           never_sent ? Verdict{Verdict::Kind::kRefused, longest_advice(), 0, "the process ends"}
                      : Verdict{Verdict::Kind::kFailed, 0, 0, "the process ends"},
           now);
  }
}

bool CallDesk::hang_up(CallId id, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return false;
  Call& call = found->second;
  const View::State state = call.state;
  const std::uint32_t attempt = call.attempts - 1;
  const ServerId server = call.server;
  const double spent = now - call.sent;
  if (state == View::State::kStands) {
    counts_.ended += 1;
  } else {
    counts_.abandoned += 1;
  }
  if (state != View::State::kDeciding) ports_.release(id, attempt, server);
  drop(id);
  if (state == View::State::kStands) {
    AttemptEnded event;
    event.call = id;
    event.attempt = attempt;
    event.server = server;
    event.spent_s = spent;
    event.call_over = true;
    decide(now, event);
  } else {
    decide(now, CallAbandoned{id});
  }
  return true;
}

void CallDesk::finish(CallId id, const Verdict& verdict, double) {
  const auto found = calls_.find(id);
  // A second verdict for one call would be a second answer.
  if (found == calls_.end() || found->second.state == View::State::kStands) return;
  Call& call = found->second;
  if (call.state == View::State::kOut) ports_.release(id, call.attempts - 1, call.server);
  (verdict.kind == Verdict::Kind::kRefused    ? counts_.refused
   : verdict.kind == Verdict::Kind::kRejected ? counts_.rejected
                                              : counts_.failed) += 1;
  ports_.answer(id, verdict);
  drop(id);
}

void CallDesk::drop(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  timers_.cancel(found->second.give_up);
  timers_.cancel(found->second.overdue);
  if (found->second.state == View::State::kStands) standing_ -= 1;
  calls_.erase(found);
  ports_.forget(id);
}

void CallDesk::act(const RefuseCall& action, double now) {
  if (action.as_answered) {
    const auto found = calls_.find(action.call);
    const ServerId server = found != calls_.end() ? found->second.server : 0;
    return finish(action.call, {Verdict::Kind::kRejected, 0, server, "rejected"}, now);
  }
  finish(action.call, {Verdict::Kind::kRefused, action.retry_after_s, 0, "no room"}, now);
}

void CallDesk::act(const FailCall& action, double now) {
  finish(action.call, {Verdict::Kind::kFailed, 0, 0, "may have run, and can't be repeated"}, now);
}

void CallDesk::act(const CancelAttempt& action, double now) {
  const auto found = calls_.find(action.call);
  if (found == calls_.end() || found->second.attempts != action.attempt + 1 ||
      found->second.state != View::State::kOut) {
    return;
  }
  counts_.cancelled += 1;
  ports_.release(action.call, action.attempt, found->second.server);
  attempt_over(action.call, found->second, Outcome::kCancelled, Cause::kNone, 0, {}, now);
}

void CallDesk::act(const SetTimer& action, double now) {
  const double due = now + action.after_s;
  timers_.schedule(due, [this, token = action.token] { decide(timer_now_, TimerFired{token}); });
}

void CallDesk::act(const Subscribe&, double) { ports_.subscribe(); }
void CallDesk::act(const TellPeer& action, double) { ports_.tell_peer(action.peer, action.hearsay); }
void CallDesk::act(const Log& action, double) { ports_.log(action.text); }

std::vector<CallDesk::View> CallDesk::calls() const {
  std::vector<View> out;
  out.reserve(calls_.size());
  for (const auto& [id, call] : calls_) {
    out.push_back({id, call.state, call.attempts, call.attempts > 0 ? call.server : 0, call.begun});
  }
  std::sort(out.begin(), out.end(), [](const View& a, const View& b) { return a.call < b.call; });
  return out;
}

}  // namespace mintrock::edge
