#include "edge/call_manager.hpp"

#include <algorithm>
#include <utility>

namespace mintrock::edge {
namespace {

constexpr const char* kEndedUnanswered =
    "it ran, or may have, and that has ended, and its answer was not seen";

}  // namespace

CallManager::CallManager(const Settings& settings, std::uint64_t seed, std::uint32_t max_calls,
                         CallManagerDelegate& delegate)
    : settings_(settings), controller_(settings, seed), max_calls_(max_calls), delegate_(delegate) {}

// Events that arrive while another one is processed are queued: an attempt that fails immediately must not be
// reported to the Controller from within the action that started it.
void CallManager::process(double now, Event event) {
  queued_events_.emplace_back(now, std::move(event));
  if (processing_) return;
  processing_ = true;
  std::vector<Action> actions;
  while (!queued_events_.empty()) {
    const auto [time, next] = std::move(queued_events_.front());
    queued_events_.pop_front();
    actions.clear();
    controller_.handle(time, next, actions);
    for (const Action& action : actions) {
      std::visit([&, at = time](const auto& a) { execute(a, at); }, action);
    }
  }
  processing_ = false;
}

void CallManager::start(double now) { process(now, Started{}); }
void CallManager::update_servers(const ServerList& update, double now) { process(now, update); }
void CallManager::on_peer_news(const PeerNews& news, double now) { process(now, news); }
void CallManager::update_load(ServerId server, const Report& report, double now) {
  process(now, LoadNotice{server, report});
}

void CallManager::offer(CallId id, const CallRequest& request, double now) {
  counters_.offered += 1;
  if (draining_ || request.peer_reopening || calls_.size() >= max_calls_) {
    // Refused immediately, with the longest retry time that callers respect. The reason is local to the proxy
    // and independent of the servers, so the Controller is not asked.
    counters_.turned_away += 1;
    counters_.refused += 1;
    delegate_.answer(id, {SetupResult::Kind::kRefused, max_advised_wait(), 0,
                          draining_                ? "draining"
                          : request.peer_reopening ? "the connection is on trial"
                                                   : "the table of calls is full"});
    delegate_.forget(id);
    return;
  }
  Call& call = calls_[id];
  call.offered_at = now;
  call.overdue_timer =
      timers_.schedule(now + request.ttl_s, [this, id] {  // small capture: std::function does not allocate
        const auto found = calls_.find(id);
        if (found == calls_.end()) return;
        found->second.overdue_timer = 0;
        counters_.overdue += 1;
        process(timer_now_, CallAbandoned{id});
        finish_setup(id, {SetupResult::Kind::kFailed, 0, 0, "overdue"}, timer_now_);
      });
  NewCall event;
  event.call = id;
  event.call_class = request.call_class;
  event.key = request.key;
  event.ttl_s = request.ttl_s;
  event.lines = request.lines;
  event.first_choice = request.first_choice;
  event.redialled = request.redialled;
  event.was_cut = request.was_cut;
  process(now, event);
}

void CallManager::execute(const SendSetup& action, double now) {
  const auto found = calls_.find(action.call);
  if (found == calls_.end()) return;
  Call& call = found->second;
  const std::uint32_t attempt = call.attempts++;
  call.server = action.server;
  call.attempt_sent_at = now;
  call.state = View::State::kInFlight;
  counters_.attempts += 1;
  call.give_up_timer = timers_.schedule(now + action.give_up_after_s,
                                        [this, id = action.call, attempt] { give_up(id, attempt); });
  const SendResult send_result =
      delegate_.send_setup(action.call, attempt, action.server, action.give_up_after_s);
  if (send_result == SendResult::kAccepted) return;
  const auto current = calls_.find(action.call);
  if (current == calls_.end() || current->second.attempts != attempt + 1) return;
  end_attempt(action.call, current->second,
              send_result == SendResult::kNoConnection ? Outcome::kConnectFailed : Outcome::kNotSent,
              Cause::kNone, 0, {}, now);
}

void CallManager::give_up(CallId id, std::uint32_t attempt) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.attempts != attempt + 1) return;
  Call& call = found->second;
  call.give_up_timer = 0;
  if (call.state != View::State::kInFlight) return;
  counters_.timed_out += 1;
  delegate_.release(id, attempt, call.server);
  end_attempt(id, call, Outcome::kTimedOut, Cause::kNone, 0, {}, timer_now_);
}

void CallManager::end_attempt(CallId id, Call& call, Outcome outcome, Cause cause, double advised_wait_s,
                              const Report& report, double now) {
  timers_.cancel(std::exchange(call.give_up_timer, 0));
  AttemptEnded event;
  event.call = id;
  event.attempt = call.attempts - 1;
  event.server = call.server;
  event.spent_s = now - call.attempt_sent_at;
  event.outcome = outcome;
  event.cause = cause;
  event.advised_wait_s = advised_wait_s;
  event.report = report;
  call.state = View::State::kDeciding;
  process(now, event);
}

void CallManager::on_established(CallId id, std::uint32_t attempt, const Report& report, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.attempts != attempt + 1 ||
      found->second.state != View::State::kInFlight) {
    counters_.late_answers += 1;
    return;
  }
  Call& call = found->second;
  timers_.cancel(std::exchange(call.give_up_timer, 0));
  timers_.cancel(std::exchange(call.overdue_timer, 0));
  call.state = View::State::kEstablished;
  established_ += 1;
  counters_.established += 1;
  const ServerId server = call.server;
  const double spent = now - call.attempt_sent_at;
  delegate_.answer(id, {SetupResult::Kind::kEstablished, 0, server, ""});
  process(now, SetupStood{id, attempt, server, spent});
  process(now, LoadNotice{server, report});
}

void CallManager::on_ended(CallId id, std::uint32_t attempt, Outcome outcome, Cause cause,
                           double advised_wait_s, const Report& report, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.attempts != attempt + 1 ||
      found->second.state == View::State::kDeciding) {
    counters_.late_answers += 1;
    return;
  }
  Call& call = found->second;
  if (call.state == View::State::kInFlight && outcome == Outcome::kEnded) {
    return end_unanswered(id, call, report, now);
  }
  if (call.state == View::State::kInFlight)
    return end_attempt(id, call, outcome, cause, advised_wait_s, report, now);
  end_established(id, call, outcome, report, now);
}

void CallManager::end_unanswered(CallId id, Call& call, const Report& report, double now) {
  AttemptEnded event;
  event.call = id;
  event.attempt = call.attempts - 1;
  event.server = call.server;
  event.spent_s = now - call.attempt_sent_at;
  event.outcome = Outcome::kEnded;
  event.call_ended = true;
  event.report = report;
  call.state = View::State::kDeciding;  // prevents a release: the server holds nothing
  finish_setup(id, {SetupResult::Kind::kFailed, 0, call.server, kEndedUnanswered}, now);
  process(now, event);
}

void CallManager::on_earlier_attempt_ended(CallId id, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.state == View::State::kEstablished) return;
  process(now, CallAbandoned{id});
  finish_setup(id, {SetupResult::Kind::kFailed, 0, 0, kEndedUnanswered}, now);
}

void CallManager::on_established_call_ended(CallId id, Outcome outcome, const Report& report, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.state != View::State::kEstablished) {
    counters_.late_answers += 1;
    return;
  }
  end_established(id, found->second, outcome, report, now);
}

void CallManager::end_established(CallId id, const Call& call, Outcome outcome, const Report& report,
                                  double now) {
  AttemptEnded event;
  event.call = id;
  event.attempt = call.attempts - 1;
  event.server = call.server;
  event.spent_s = now - call.attempt_sent_at;
  event.outcome = outcome;
  event.call_ended = true;
  event.report = report;
  counters_.cut += 1;
  delegate_.cut(id);
  erase_call(id);
  process(now, event);
}

void CallManager::answer_pending_calls(double now) {
  for (const View& each : calls()) {
    const auto found = calls_.find(each.call);
    if (found == calls_.end() || found->second.state == View::State::kEstablished) continue;
    const bool never_sent = found->second.attempts == 0;
    process(now, CallAbandoned{each.call});
    finish_setup(each.call,
                 never_sent
                     ? SetupResult{SetupResult::Kind::kRefused, max_advised_wait(), 0, "the process ends"}
                     : SetupResult{SetupResult::Kind::kFailed, 0, 0, "the process ends"},
                 now);
  }
}

bool CallManager::hang_up(CallId id, double now) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return false;
  Call& call = found->second;
  const View::State state = call.state;
  const std::uint32_t attempt = call.attempts - 1;
  const ServerId server = call.server;
  const double spent = now - call.attempt_sent_at;
  if (state == View::State::kEstablished) {
    counters_.ended += 1;
  } else {
    counters_.abandoned += 1;
  }
  if (state != View::State::kDeciding) delegate_.release(id, attempt, server);
  erase_call(id);
  if (state == View::State::kEstablished) {
    AttemptEnded event;
    event.call = id;
    event.attempt = attempt;
    event.server = server;
    event.spent_s = spent;
    event.call_ended = true;
    process(now, event);
  } else {
    process(now, CallAbandoned{id});
  }
  return true;
}

void CallManager::finish_setup(CallId id, const SetupResult& result, double) {
  const auto found = calls_.find(id);
  // Each call is answered once: an established call has had its answer.
  if (found == calls_.end() || found->second.state == View::State::kEstablished) return;
  Call& call = found->second;
  if (call.state == View::State::kInFlight) delegate_.release(id, call.attempts - 1, call.server);
  (result.kind == SetupResult::Kind::kRefused    ? counters_.refused
   : result.kind == SetupResult::Kind::kRejected ? counters_.rejected
                                                 : counters_.failed) += 1;
  delegate_.answer(id, result);
  erase_call(id);
}

void CallManager::erase_call(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  timers_.cancel(found->second.give_up_timer);
  timers_.cancel(found->second.overdue_timer);
  if (found->second.state == View::State::kEstablished) established_ -= 1;
  calls_.erase(found);
  delegate_.forget(id);
}

void CallManager::execute(const RefuseCall& action, double now) {
  if (action.permanent) {
    const auto found = calls_.find(action.call);
    const ServerId server = found != calls_.end() ? found->second.server : 0;
    return finish_setup(action.call, {SetupResult::Kind::kRejected, 0, server, "rejected"}, now);
  }
  finish_setup(action.call, {SetupResult::Kind::kRefused, action.retry_after_s, 0, "no room"}, now);
}

void CallManager::execute(const FailCall& action, double now) {
  finish_setup(action.call, {SetupResult::Kind::kFailed, 0, 0, "may have run, and can't be repeated"}, now);
}

void CallManager::execute(const CancelAttempt& action, double now) {
  const auto found = calls_.find(action.call);
  if (found == calls_.end() || found->second.attempts != action.attempt + 1 ||
      found->second.state != View::State::kInFlight) {
    return;
  }
  counters_.cancelled += 1;
  delegate_.release(action.call, action.attempt, found->second.server);
  end_attempt(action.call, found->second, Outcome::kCancelled, Cause::kNone, 0, {}, now);
}

void CallManager::execute(const SetTimer& action, double now) {
  const double due = now + action.after_s;
  timers_.schedule(due, [this, token = action.token] { process(timer_now_, TimerFired{token}); });
}

void CallManager::execute(const Subscribe&, double) { delegate_.subscribe(); }
void CallManager::execute(const TellPeer& action, double) {
  delegate_.send_gossip(action.peer, action.entries);
}
void CallManager::execute(const Log& action, double) { delegate_.log(action.text); }

std::vector<CallManager::View> CallManager::calls() const {
  std::vector<View> out;
  out.reserve(calls_.size());
  for (const auto& [id, call] : calls_) {
    out.push_back({id, call.state, call.attempts, call.attempts > 0 ? call.server : 0, call.offered_at});
  }
  std::sort(out.begin(), out.end(), [](const View& a, const View& b) { return a.call < b.call; });
  return out;
}

}  // namespace mintrock::edge
