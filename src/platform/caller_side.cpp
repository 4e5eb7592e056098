#include "platform/caller_side.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>

namespace mintrock::platform {
namespace {

// A connection without a valid message must be closed within 3 s of its opening; the rest is a margin for a
// busy CPU.
constexpr double kSilentTimeout = 2.0;  // s
// A partly received message is waited for, on a new connection within those 3 s. The wait is bounded because
// a sender can trickle bytes indefinitely.
constexpr double kSilentPartialTimeout = 2.4;  // s
constexpr double kPartialTimeout = 2.0;        // s
// At a shutdown a new connection stays open for this long: a set-up may be unread on it.
constexpr double kNewConnectionGrace = 0.1;  // s
// Callers close a connection after 4 s without a call; one that is open for longer is closed by this side. A
// connection with an established call is not idle: it may be the only one left to report the call's end on.
constexpr double kIdleTimeout = 6.0;  // s
constexpr double kCloseDelay = 0.01;  // s that a close is delayed to read the bytes that have arrived
constexpr std::uint32_t kMaxCloseDelays = 3;
constexpr std::uint32_t kMaxFaults = 3;  // invalid messages until the connection is closed
// An end must be reported within 8 s of the call's end, so a queued one expires after that time.
constexpr double kPendingEndLifetime = 8.0;  // s
constexpr std::size_t kMaxEnds = 4096;
// An end that was written this shortly before the loss of its connection may not have been read, and is sent
// again on another one.
constexpr double kUnacknowledgedWindow = 1.0;  // s
// An end that no connection is known to carry to its caller is offered on one connection after another; all
// that matter are tried within the second in which an end must be reported.
constexpr double kOfferInterval = 0.1;  // s
constexpr std::size_t kMaxOffers = 8;   // for each end
constexpr double kNever = std::numeric_limits<double>::infinity();

}  // namespace

CallerSide::Connection* CallerSide::find(ConnectionId which) {
  const auto found = connections_.find(which);
  return found == connections_.end() ? nullptr : &found->second;
}

bool CallerSide::is_closable(const Connection& connection) {
  return connection.open_setups.empty() && !connection.parser.has_partial_message();
}

std::size_t CallerSide::busy_connections() const {
  const auto kept = connections_.find(kept_for_ends_);
  const bool idle =
      kept != connections_.end() && is_closable(kept->second) && !delegate_.has_unread(kept->first);
  return connections_.size() - (idle ? 1 : 0);
}

double CallerSide::compute_close_check(ConnectionId which, const Connection& connection) const {
  if (!connection.open_setups.empty() || which == kept_for_ends_) return kNever;
  if (!connection.established.empty() && !shutting_down_) return kNever;
  const bool partial = connection.parser.has_partial_message();
  if (shutting_down_)
    return partial ? connection.partial_since + kPartialTimeout
                   : std::max(connection.last_active, connection.opened_at + kNewConnectionGrace);
  if (!connection.replied) return connection.opened_at + (partial ? kSilentPartialTimeout : kSilentTimeout);
  const double idle = connection.last_active + kIdleTimeout;
  return partial ? std::clamp(connection.partial_since + kPartialTimeout, idle, idle + kPartialTimeout)
                 : idle;
}

void CallerSide::update_close_check(ConnectionId which, Connection& connection) {
  const double close_check_at = compute_close_check(which, connection);
  if (connection.close_check_at == close_check_at) return;
  close_checks_.erase({connection.close_check_at, which});
  connection.close_check_at = close_check_at;
  if (close_check_at < kNever) close_checks_.emplace(close_check_at, which);
}

double CallerSide::deadline() const {
  const double ends = pending_ends_.empty() ? kNever : pending_ends_.front().expires_at;
  return std::min({ends, next_offer_at_, close_checks_.empty() ? kNever : close_checks_.begin()->first});
}

void CallerSide::tick(double now) {
  while (!pending_ends_.empty() && pending_ends_.front().expires_at <= now) {
    pending_ends_.pop_front();
    counters_.ends_dropped += 1;
  }
  if (now >= next_offer_at_) offer_pending_ends(now);
  while (!close_checks_.empty() && close_checks_.begin()->first <= now) {
    const ConnectionId which = close_checks_.begin()->second;
    if (delay_close(which, now)) continue;
    const bool replied = find(which)->replied;
    (replied ? counters_.closed_idle : counters_.closed_silent) += 1;
    close(which, shutting_down_ ? CloseReason::kShutdown
                 : replied      ? CloseReason::kIdle
                                : CloseReason::kSilent);
  }
}

// Delays a close while the connection has unread bytes, which may be a set-up and are read in the next turn
// of the event loop. The number of delays is bounded because a sender can trickle bytes indefinitely.
bool CallerSide::delay_close(ConnectionId which, double now) {
  Connection& connection = *find(which);
  if (connection.close_delays >= kMaxCloseDelays || !delegate_.has_unread(which)) return false;
  connection.close_delays += 1;
  close_checks_.erase({connection.close_check_at, which});
  connection.close_check_at = now + kCloseDelay;
  close_checks_.emplace(connection.close_check_at, which);
  return true;
}

void CallerSide::opened(ConnectionId which, double now) {
  counters_.connections += 1;
  Connection& connection = connections_[which];
  connection.opened_at = connection.last_active = now;
  update_close_check(which, connection);
  // Not at once: a set-up that follows would show whose connection it is.
  if (!pending_ends_.empty()) next_offer_at_ = std::min(next_offer_at_, now + kOfferInterval);
}

void CallerSide::received(ConnectionId from, std::string_view bytes, double now) {
  Connection* connection = find(from);
  if (connection == nullptr) return;
  if (!connection->parser.has_partial_message()) connection->partial_since = now;
  connection->parser.feed(bytes);
  while (connection != nullptr) {
    const auto message = connection->parser.next();
    if (!message) break;
    counters_.messages += 1;
    handle_message(from, *message, now);
    connection = find(from);  // may be closed after a fault
    if (connection != nullptr) connection->partial_since = now;
  }
  if (connection == nullptr) return;
  if (const char* error = connection->parser.fault()) {
    counters_.faults += 1;
    delegate_.caller_fault(from, error);
    return close(from, CloseReason::kInvalidMessages);
  }
  update_close_check(from, *connection);
}

void CallerSide::handle_message(ConnectionId from, const CallerMessage& message, double now) {
  Connection& connection = *find(from);
  switch (static_cast<CallerMessageType>(message.type)) {
    case CallerMessageType::kSetup:
      return handle_setup(from, message, now);
    case CallerMessageType::kRelease:
      return handle_release(from, message.call, now);
    case CallerMessageType::kTest:
      delegate_.send_to_caller(from, write_test_result(message.call, true));
      connection.replied = true;
      connection.last_active = now;
      return add_evidence(from, CallerEvidence::kTest, now);
    case CallerMessageType::kProgress:
      return;
    case CallerMessageType::kReleased:
      return handle_acknowledgement(from, message.call, now);
    default:
      return handle_fault(from, message.call, "unknown message type");
  }
}

void CallerSide::handle_release(ConnectionId from, std::uint64_t id, double now) {
  Connection& connection = *find(from);
  const auto owner = open_setups_.find(id);
  if (owner != open_setups_.end() && owner->second != from) {
    return handle_fault(from, id, "release of a set-up that is open on another connection");
  }
  if (owner != open_setups_.end()) {
    connection.open_setups.erase(id);
    open_setups_.erase(owner);
    delegate_.hang_up(id);
    connection.last_active = now;
    return;
  }
  if (delegate_.hang_up(id)) {
    remove_established(id, now);
    delegate_.send_to_caller(from, write_released(id));
    connection.replied = true;
  } else if (!take_pending_end(id)) {
    return;  // the call has ended already, and its end was sent
  }
  connection.last_active = now;
  add_evidence(from, CallerEvidence::kCall, now);
}

void CallerSide::handle_acknowledgement(ConnectionId from, std::uint64_t id, double now) {
  std::deque<SentEnd>& sent = find(from)->unacknowledged_ends;
  sent.erase(std::remove_if(sent.begin(), sent.end(), [&](const SentEnd& each) { return each.id == id; }),
             sent.end());
  const auto end = std::find_if(pending_ends_.begin(), pending_ends_.end(),
                                [&](const PendingEnd& each) { return each.id == id; });
  if (end == pending_ends_.end()) return;
  const std::vector<ConnectionId>& offered_on = end->offered_on;
  if (std::find(offered_on.begin(), offered_on.end(), from) == offered_on.end()) return;
  pending_ends_.erase(end);
  add_evidence(from, CallerEvidence::kCall, now);
}

void CallerSide::handle_setup(ConnectionId from, const CallerMessage& message, double now) {
  Connection& connection = *find(from);
  const char* error = nullptr;
  std::optional<CallSetup> setup = read_setup(message, error);
  if (!setup) return handle_fault(from, message.call, error);
  const std::uint64_t id = setup->id;
  const auto owner = open_setups_.find(id);
  if (owner != open_setups_.end()) {
    counters_.duplicates += 1;
    if (owner->second == from) {
      // The caller could not tell which of the two an answer is for, so neither is served.
      connection.open_setups.erase(id);
      open_setups_.erase(owner);
      delegate_.hang_up(id);
    }
    return handle_fault(from, id, "duplicate id of an open set-up");
  }
  if (!setup->established_server.empty()) {
    connection.replied = true;  // the caller expects no answer
    // Before take_over(), which reports the end at once if the call has ended already.
    add_established(id, from, connection);
    if (const char* take_over_error = delegate_.take_over(*setup)) {
      remove_established(id, now);
      return handle_fault(from, id, take_over_error);
    }
    connection.last_active = now;
    return add_evidence(from, CallerEvidence::kCall, now);
  }
  counters_.setups += 1;
  connection.open_setups.insert(id);
  open_setups_.emplace(id, from);
  connection.last_active = now;
  if (const char* offer_error = delegate_.offer(std::move(*setup))) {
    open_setups_.erase(id);
    if (Connection* current = find(from)) current->open_setups.erase(id);
    return handle_fault(from, id, offer_error);
  }
  Connection* const current = find(from);
  if (current == nullptr) return;
  current->last_active = now;
  add_evidence(from, CallerEvidence::kCall, now);
}

void CallerSide::add_evidence(ConnectionId which, CallerEvidence evidence, double now) {
  Connection& connection = *find(which);
  connection.evidence = std::max(connection.evidence, evidence);
  if (pending_ends_.empty()) return;
  if (connection.evidence >= CallerEvidence::kCall) return send_pending_ends(which, now);
  next_offer_at_ = now;
}

void CallerSide::send_pending_ends(ConnectionId to, double now) {
  next_offer_at_ = kNever;
  for (const PendingEnd& each : std::exchange(pending_ends_, {})) {
    const std::vector<ConnectionId>& offered_on = each.offered_on;
    if (std::find(offered_on.begin(), offered_on.end(), to) != offered_on.end()) {
      keep_until_acknowledged(each.id, each.cause, *find(to), now);  // it was written there already
      continue;
    }
    send_end(each.id, each.cause, to, now);
    find(to)->replied = true;
  }
}

std::optional<CallerSide::PendingEnd> CallerSide::take_pending_end(std::uint64_t id) {
  const auto found = std::find_if(pending_ends_.begin(), pending_ends_.end(),
                                  [&](const PendingEnd& each) { return each.id == id; });
  if (found == pending_ends_.end()) return {};
  std::optional<PendingEnd> out = std::move(*found);
  pending_ends_.erase(found);
  return out;
}

void CallerSide::handle_fault(ConnectionId from, std::uint64_t id, const char* error) {
  counters_.faults += 1;
  delegate_.caller_fault(from, error);
  Connection& connection = *find(from);
  connection.faults += 1;
  if (id != 0) {
    delegate_.send_to_caller(from, write_release(id, kCauseInvalid));
    connection.replied = true;
  }
  if (id == 0 || connection.faults >= kMaxFaults) close(from, CloseReason::kInvalidMessages);
}

CallerSide::Connection CallerSide::remove(ConnectionId which) {
  const auto found = connections_.find(which);
  Connection removed = std::move(found->second);
  connections_.erase(found);
  close_checks_.erase({removed.close_check_at, which});
  for (const std::uint64_t id : removed.established) established_.erase(id);
  if (preferred_for_ends_ == which) preferred_for_ends_ = 0;
  if (kept_for_ends_ == which) kept_for_ends_ = 0;
  for (const std::uint64_t id : removed.open_setups) {
    open_setups_.erase(id);
    delegate_.hang_up(id);
  }
  return removed;
}

void CallerSide::lost(ConnectionId which, double now) {
  if (connections_.count(which) == 0) return;
  const Connection removed = remove(which);
  // The caller has not read what was written while it was closing the connection.
  for (const SentEnd& each : removed.unacknowledged_ends) {
    if (each.sent_at + kUnacknowledgedWindow <= now) continue;
    counters_.ends_resent += 1;
    report_end(each.id, each.cause, now);
  }
}

void CallerSide::begin_shutdown() {
  shutting_down_ = true;
  for (auto& [which, connection] : connections_) update_close_check(which, connection);
}

void CallerSide::keep_connection_for_ends(bool keep) {
  const ConnectionId before = kept_for_ends_;
  if (!keep) kept_for_ends_ = 0;
  if (keep && kept_for_ends_ == 0) kept_for_ends_ = best_for_ends();
  if (kept_for_ends_ == before) return;
  for (const ConnectionId which : {before, kept_for_ends_}) {
    if (Connection* const connection = find(which)) update_close_check(which, *connection);
  }
}

void CallerSide::close_all_but_the_one_for_ends() {
  std::vector<ConnectionId> others;
  for (const auto& [which, connection] : connections_) {
    if (which != kept_for_ends_) others.push_back(which);
  }
  for (const ConnectionId which : others) close(which, CloseReason::kShutdown);
}

void CallerSide::close(ConnectionId which, CloseReason reason) {
  delegate_.caller_closed(which, reason, find(which)->established.size());
  remove(which);
  delegate_.close_caller(which);
}

ConnectionId CallerSide::eviction_candidate() const {
  using Rank = std::tuple<bool, bool, bool, double, ConnectionId>;
  std::vector<Rank> candidates;
  for (const auto& [which, connection] : connections_) {
    if (!connection.open_setups.empty()) continue;
    candidates.emplace_back(connection.parser.has_partial_message(), !connection.established.empty(),
                            connection.replied, connection.last_active, which);
  }
  const auto lowest_on_top = std::greater<>();
  std::make_heap(candidates.begin(), candidates.end(), lowest_on_top);
  for (; !candidates.empty(); candidates.pop_back()) {
    std::pop_heap(candidates.begin(), candidates.end(), lowest_on_top);
    const ConnectionId which = std::get<ConnectionId>(candidates.back());
    if (!delegate_.has_unread(which)) return which;
  }
  return 0;
}

void CallerSide::evict(ConnectionId which) {
  counters_.evicted += 1;
  close(which, CloseReason::kEvicted);
}

void CallerSide::answer(std::uint64_t id, std::string_view description, double now) {
  const ConnectionId to = send_final_answer(id, write_answer(id, description), now);
  Connection* const connection = find(to);
  if (connection == nullptr) return;
  connection->evidence = CallerEvidence::kAnswer;
  preferred_for_ends_ = to;
  add_established(id, to, *connection);
  update_close_check(to, *connection);
}

void CallerSide::add_established(std::uint64_t id, ConnectionId on, Connection& connection) {
  const auto [entry, inserted] = established_.emplace(id, on);
  if (!inserted && entry->second != on) {  // the caller has announced the call again on another connection
    if (Connection* const previous = find(entry->second)) {
      previous->established.erase(id);
      update_close_check(entry->second, *previous);
    }
    entry->second = on;
  }
  connection.established.insert(id);
}

void CallerSide::remove_established(std::uint64_t id, double now) {
  const auto found = established_.find(id);
  if (found == established_.end()) return;
  const ConnectionId on = found->second;
  established_.erase(found);
  Connection& connection = *find(on);  // present: remove() drops the calls of a lost connection
  connection.established.erase(id);
  connection.last_active = now;
  update_close_check(on, connection);
}

void CallerSide::refuse(std::uint64_t id, int cause, std::optional<std::uint32_t> retry_after_ms,
                        double now) {
  send_final_answer(id, write_release(id, cause, retry_after_ms), now);
}

ConnectionId CallerSide::send_final_answer(std::uint64_t id, std::string_view bytes, double now) {
  const auto owner = open_setups_.find(id);
  if (owner == open_setups_.end()) return 0;
  const ConnectionId to = owner->second;
  open_setups_.erase(owner);
  Connection& connection = *find(to);  // present: remove() drops the open set-ups of a lost connection
  connection.open_setups.erase(id);
  connection.replied = true;
  connection.last_active = now;
  delegate_.send_to_caller(to, bytes);
  update_close_check(to, connection);
  return to;
}

void CallerSide::keep_until_acknowledged(std::uint64_t id, int cause, Connection& connection, double now) {
  std::deque<SentEnd>& sent = connection.unacknowledged_ends;
  while (!sent.empty() && (sent.front().sent_at + kUnacknowledgedWindow <= now || sent.size() >= kMaxEnds)) {
    sent.pop_front();
  }
  sent.push_back({id, cause, now});
}

void CallerSide::send_end(std::uint64_t id, int cause, ConnectionId to, double now) {
  keep_until_acknowledged(id, cause, *find(to), now);
  delegate_.end_reported(id, to, EndDelivery::kSent);
  delegate_.send_to_caller(to, write_release(id, cause));
}

void CallerSide::report_end(std::uint64_t id, int cause, double now) {
  const auto found = established_.find(id);
  ConnectionId to = found != established_.end() ? found->second : preferred_for_ends_;
  remove_established(id, now);
  take_pending_end(id);
  if (to == 0) {
    to = best_for_ends();
    // Without an answered set-up it may not belong to a caller.
    if (to != 0 && find(to)->evidence == CallerEvidence::kAnswer) preferred_for_ends_ = to;
  }
  if (to != 0) return send_end(id, cause, to, now);
  queue_end(id, cause, now);
}

ConnectionId CallerSide::best_for_ends() const {
  ConnectionId out = 0;
  std::pair<CallerEvidence, double> best{CallerEvidence::kNone, -1};
  for (const auto& [which, connection] : connections_) {
    const std::pair<CallerEvidence, double> rank{connection.evidence, connection.last_active};
    if (connection.evidence < CallerEvidence::kCall || rank <= best) continue;
    best = rank;
    out = which;
  }
  return out;
}

void CallerSide::queue_end(std::uint64_t id, int cause, double now) {
  delegate_.end_reported(id, 0, EndDelivery::kQueued);
  counters_.ends_queued += 1;
  if (pending_ends_.size() >= kMaxEnds) {
    pending_ends_.pop_front();
    counters_.ends_dropped += 1;
  }
  pending_ends_.push_back({id, cause, now + kPendingEndLifetime, {}});
  if (offer(pending_ends_.back(), connections_to_offer_on()))
    next_offer_at_ = std::min(next_offer_at_, now + kOfferInterval);
}

void CallerSide::offer_pending_ends(double now) {
  next_offer_at_ = kNever;
  const std::vector<ConnectionId> candidates = connections_to_offer_on();
  bool more = false;
  for (PendingEnd& each : pending_ends_) more = offer(each, candidates) || more;
  if (more) next_offer_at_ = now + kOfferInterval;
}

bool CallerSide::offer(PendingEnd& end, const std::vector<ConnectionId>& candidates) {
  std::vector<ConnectionId>& offered_on = end.offered_on;
  const auto is_left = [&](ConnectionId each) {
    return std::find(offered_on.begin(), offered_on.end(), each) == offered_on.end();
  };
  const auto next = std::find_if(candidates.begin(), candidates.end(), is_left);
  if (next == candidates.end() || offered_on.size() >= kMaxOffers) return false;
  offered_on.push_back(*next);
  counters_.ends_offered += 1;
  delegate_.end_reported(end.id, *next, EndDelivery::kOffered);
  delegate_.send_to_caller(*next, write_release(end.id, end.cause));
  return offered_on.size() < kMaxOffers && std::any_of(next + 1, candidates.end(), is_left);
}

// Those that were tested come first, then those without invalid messages, then the latest opened.
std::vector<ConnectionId> CallerSide::connections_to_offer_on() const {
  using Rank = std::tuple<CallerEvidence, bool, double, ConnectionId>;
  std::vector<Rank> ranks;
  for (const auto& [which, connection] : connections_)
    ranks.emplace_back(connection.evidence, connection.faults == 0, connection.opened_at, which);
  std::sort(ranks.begin(), ranks.end(), std::greater<>());
  std::vector<ConnectionId> out;
  for (const Rank& each : ranks) out.push_back(std::get<ConnectionId>(each));
  return out;
}

}  // namespace mintrock::platform
