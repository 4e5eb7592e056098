#include "platform/core_connections.hpp"

#include <iterator>
#include <utility>

#include "platform/causes.hpp"

namespace mintrock::platform {
namespace {

// Delay until a lost connection is reopened; doubles up to the maximum.
constexpr double kInitialRetryDelay = 0.1;  // s
constexpr double kMaxRetryDelay = 1.0;      // s
// A server that holds calls and has sent nothing for this long is probed with a new connection.
constexpr double kQuietTimeout = 1.5;        // s
constexpr double kPendingReleaseTtl = 30.0;  // s; by then the call has ended at the server by itself
constexpr std::size_t kMaxPendingReleases = 4096;
constexpr std::size_t kMaxAbandoned = 1024;  // ids of abandoned attempts that one connection remembers
constexpr std::size_t kMaxSentReleases = 256;
// A process may accept connections this shortly before the start that the list tells of it.
constexpr double kStartTolerance = 0.1;  // s

}  // namespace

CoreConnections::Connection& CoreConnections::open_connection(double now) {
  const ConnectionId id = delegate_.connect_core(server_);
  counters_.connections += 1;
  delegate_.core_connection_changed(server_, id, ConnectionChange::kStarted);
  missed_ends_.connection_started(id, now);
  Connection& connection = connections_[id];
  connection.started_at = now;
  if (first_connection_at_ == kNever) first_connection_at_ = last_line_at_ = now;  // the silence starts here
  return connection;
}

ConnectionId CoreConnections::select_connection(double now) {
  const SetupChoice choice = choose_for_setup(connections_);
  const bool may_open = !address_reassigned_ && may_open_connection(connections_, settings_.max_connections);
  if (choice.idle || (choice.connection != 0 && !may_open)) return choice.connection;
  if (address_reassigned_) return 0;
  open_connection(now);
  return connections_.rbegin()->first;
}

void CoreConnections::set_up(const AttemptId& attempt, std::uint64_t id, std::string message, double now) {
  review_connections(now);
  const ConnectionId on = select_connection(now);
  if (on == 0) return delegate_.core_attempt_ended(attempt, Outcome::kConnectFailed, Cause::kNone, 0, {});
  Connection& connection = connections_[on];
  InFlight& entry = in_flight_[id];
  entry = {attempt, on, connection.up, std::move(message)};
  // An earlier attempt of the same call may have been abandoned on this connection: a late answer to it came
  // before this set-up, and an answer that follows belongs to the new attempt.
  connection.abandoned.erase(id);
  if (connection.up) {
    connection.in_flight.insert(id);
    connection.health.setup_written(now);
    delegate_.send_to_core(on, entry.message);
    entry.message.clear();
  } else {
    connection.queued.push_back(id);
  }
}

void CoreConnections::send_or_queue_release(std::uint64_t id, ConnectionId on, double now) {
  if (on == 0) on = any_usable();
  if (on != 0) return send_release(id, on, now);
  if (pending_releases_.size() >= kMaxPendingReleases) pending_releases_.pop_front();
  pending_releases_.push_back({id, now + kPendingReleaseTtl});
  maintain_connections(now);
}

void CoreConnections::send_release(std::uint64_t id, ConnectionId on, double now) {
  std::deque<SentRelease>& sent_releases = connections_.at(on).sent_releases;
  while (!sent_releases.empty() && (sent_releases.front().sent_at + kReleaseUnconfirmed <= now ||
                                    sent_releases.size() >= kMaxSentReleases)) {
    sent_releases.pop_front();
  }
  sent_releases.push_back({id, now});
  delegate_.send_to_core(on, write_core_release(id, kCauseNormal));
}

std::size_t CoreConnections::unconfirmed_releases(double now) const {
  std::size_t count = 0;
  for (const auto& [which, connection] : connections_) {
    for (const SentRelease& each : connection.sent_releases)
      count += now < each.sent_at + kReleaseUnconfirmed;
  }
  return count;
}

void CoreConnections::release_call(std::uint64_t id, double now) {
  const auto found = in_flight_.find(id);
  if (found == in_flight_.end()) {
    if (remove_established(id)) send_or_queue_release(id, 0, now);
    return;
  }
  const ConnectionId on = found->second.connection;
  const bool written = found->second.written;
  // The connection may be removed already: the end of one set-up on it can make the call manager release the
  // next one.
  const auto connection = connections_.find(on);
  if (written) {
    const double held_since = connection == connections_.end() ? now : connection->second.up_since;
    unconfirmed_attempts_.add(found->second.attempt, id, held_since, now);
  }
  in_flight_.erase(found);
  if (!written) {
    if (connection == connections_.end()) return;
    std::deque<std::uint64_t>& queued = connection->second.queued;
    queued.erase(std::remove(queued.begin(), queued.end(), id), queued.end());
    return;
  }
  if (connection == connections_.end()) return send_or_queue_release(id, 0, now);
  connection->second.in_flight.erase(id);
  connection->second.health.setup_given_up();
  std::unordered_set<std::uint64_t>& abandoned = connection->second.abandoned;
  if (abandoned.size() >= kMaxAbandoned) abandoned.clear();
  abandoned.insert(id);
  send_or_queue_release(id, on, now);
  // A release on a doubted connection may not arrive.
  if (connection->second.health.is_doubted()) send_or_queue_release(id, 0, now);
}

void CoreConnections::end_attempt(std::uint64_t id, Outcome outcome, double) {
  const auto found = in_flight_.find(id);
  if (found == in_flight_.end()) return;
  const AttemptId attempt = found->second.attempt;
  in_flight_.erase(found);
  delegate_.core_attempt_ended(attempt, outcome, Cause::kNone, 0, {});
}

bool CoreConnections::needs_connections() const {
  if (address_reassigned_) return false;
  return state_ == ServerEntry::State::kReady || !idle();
}

void CoreConnections::maintain_connections(double now) {
  const std::size_t target =
      state_ == ServerEntry::State::kReady ? std::min(kMinConnections, settings_.max_connections) : 1;
  if (!needs_connections() || count_active(connections_) >= target || now < retry_at_) return;
  while (count_active(connections_) < target) open_connection(now);
  retry_delay_ = retry_delay_ == 0 ? kInitialRetryDelay : std::min(2 * retry_delay_, kMaxRetryDelay);
  // Jitter, so that proxies that lost their connections at the same time don't reconnect together.
  constexpr double kMinShare = 0.5;  // share of the delay
  retry_at_ = now + retry_delay_ * std::uniform_real_distribution<>(kMinShare, 1.0)(random_);
}

void CoreConnections::set_state(ServerEntry::State state, double now) {
  state_ = state;
  if (state != ServerEntry::State::kReady) {
    // A set-up that is queued for a connection must not be sent once the connection is up: a draining server
    // gets nothing new (rule three).
    std::vector<std::uint64_t> queued;
    for (auto& [id, connection] : connections_) {
      queued.insert(queued.end(), connection.queued.begin(), connection.queued.end());
      connection.queued.clear();
    }
    for (const std::uint64_t id : queued) end_attempt(id, Outcome::kNotSent, now);
    if (state == ServerEntry::State::kGone && idle()) {
      while (!connections_.empty()) {
        const ConnectionId id = connections_.begin()->first;
        connections_.erase(connections_.begin());
        delegate_.core_connection_changed(server_, id, ConnectionChange::kServerLeft);
        delegate_.close_core(id);
      }
    }
  }
  maintain_connections(now);
}

void CoreConnections::address_reassigned(double started_at, double now) {
  address_reassigned_ = true;
  if (started_at > 0) {
    address_taken_before_ = started_at - kStartTolerance;
    may_hold_earlier_ = true;
  }
  end_if_gone(now);
}

void CoreConnections::address_restored() {
  address_reassigned_ = false;
  address_taken_before_ = 0;
}

void CoreConnections::restarted(double started_at, double now) {
  restarted_before_ = started_at - kStartTolerance;
  may_hold_earlier_ = true;
  end_if_gone(now);
}

void CoreConnections::listed_with_start(double started_at, StartSource source) {
  if (source != StartSource::kFirstProcess && started_at > 0)
    restarted_before_ = started_at - kStartTolerance;
}

void CoreConnections::take_over(std::uint64_t id, double now) {
  const double held_since = reported_call_held_since(restarted_before_, settings_.proxy_started_at, now);
  established_[id] = {held_since, true, 0};
  may_hold_earlier_ = may_hold_earlier_ || replaced_before() > 0;
  missed_ends_.previous_process_had_calls();
}

void CoreConnections::note_serving(double now) {
  last_serving_at_ = now;
  refused_ = false;
}

// While the server holds calls and may be gone, a new connection is opened from time to time to find out.
// After a network partition a new connection is needed although the old ones carry lines again: the server
// repeats ends that were lost in the partition on a new connection only.
double CoreConnections::next_probe_at() const {
  if (idle() || address_reassigned_) return kNever;
  if (refused_) return retry_at_;
  const double renewal_at = std::max(missed_ends_.next_renewal_at(), retry_at_);
  if (!missed_ends_.needs_new_connection() || established_.empty())
    return std::min(renewal_at, std::max(last_activity_ + kQuietTimeout, retry_at_));
  double due = retry_at_;
  for (const auto& [id, connection] : connections_) {
    if (missed_ends_.can_confirm(id)) due = std::max(due, confirmation_deadline(connection));
  }
  return std::min(due, renewal_at);
}

// The time until which the connection may still come up or deliver its first line.
double CoreConnections::confirmation_deadline(const Connection& connection) const {
  return connection.up ? connection.up_since + kGoneTimeout
                       : connection.started_at + settings_.connect_timeout_s;
}

// A call that a caller reports is held by the process with this server's identity, not by another one at its
// address.
bool CoreConnections::held_by_earlier_process(const EstablishedCall& call) const {
  return call.held_since < replaced_before() || (call.reported_by_caller && address_taken_before_ > 0);
}

// A connection that is not established yet belongs to whichever process accepts it.
bool CoreConnections::held_by_earlier_process(const Connection& connection) const {
  return connection.up && connection.up_since < replaced_before();
}

ProcessEvidence CoreConnections::evidence(ConnectionEnd latest_end) const {
  ProcessEvidence out;
  out.left_list = state_ == ServerEntry::State::kGone;
  out.address_reassigned = address_reassigned_;
  out.latest_end = latest_end;
  out.usable_connection = any_usable() != 0;
  out.connects_time_out = unreachable_since_ >= 0;
  out.established_calls = !established_.empty();
  if (heard_) out.last_activity_at = last_activity_;
  out.first_connection_at = first_connection_at_;
  if (first_connection_at_ != kNever) out.last_line_at = last_line_at_;
  out.last_serving_at = last_serving_at_;
  if (!may_hold_earlier_) return out;
  for (const auto& [id, connection] : connections_) {
    if (!held_by_earlier_process(connection)) continue;
    out.replaced = true;
    const double line_at = connection.last_line_at;
    const bool first = out.older_connection_line_at == kNever;
    if (line_at >= replaced_before() + kStartTolerance && (first || line_at > out.older_connection_line_at))
      out.older_connection_line_at = line_at;
  }
  out.replaced = out.replaced || std::any_of(established_.begin(), established_.end(), [&](const auto& each) {
                   return held_by_earlier_process(each.second);
                 });
  return out;
}

ProcessEnd CoreConnections::end_if_gone(double now, ConnectionEnd latest_end) {
  const ProcessEvidence known = evidence(latest_end);
  may_hold_earlier_ = known.replaced;  // what is added from now on is held by a later process
  const ProcessEnd end = find_process_end(known, now);
  if (end != ProcessEnd::kNone) end_process(end, now);
  return end;
}

void CoreConnections::connected(ConnectionId which, double now) {
  const auto found = connections_.find(which);
  if (found == connections_.end()) return;
  delegate_.core_connection_changed(server_, which, ConnectionChange::kEstablished);
  Connection& connection = found->second;
  connection.up = true;
  connection.up_since = now;
  last_activity_ = now;
  heard_ = true;
  note_serving(now);
  unreachable_since_ = -1;
  retry_delay_ = 0;
  // Pending releases go before queued set-ups: a call may be set up again at this server under the same id.
  for (const PendingRelease& each : std::exchange(pending_releases_, {})) send_release(each.id, which, now);
  for (const std::uint64_t id : std::exchange(connection.queued, {})) {
    const auto entry = in_flight_.find(id);
    if (entry == in_flight_.end()) continue;
    connection.in_flight.insert(id);
    connection.health.setup_written(now);
    entry->second.written = true;
    delegate_.send_to_core(which, entry->second.message);
    entry->second.message.clear();
  }
}

void CoreConnections::disconnected(ConnectionId which, ConnectionLoss loss, double now) {
  const auto found = connections_.find(which);
  if (found == connections_.end()) return;
  const bool refused = loss == ConnectionLoss::kRefused;
  (refused ? counters_.refused : counters_.lost) += 1;
  delegate_.core_connection_changed(server_, which,
                                    refused ? ConnectionChange::kRefused : ConnectionChange::kLost);
  remove_connection(which, loss, now);
}

void CoreConnections::remove_connection(ConnectionId which, ConnectionLoss loss, double now) {
  const bool refused = loss == ConnectionLoss::kRefused;
  const auto found = connections_.find(which);
  const Connection lost = std::move(found->second);
  connections_.erase(found);
  if (loss == ConnectionLoss::kClosedByServer) mark_calls(which, false);  // it sends their ends on others
  for (const std::uint64_t id : lost.in_flight) {
    const auto entry = in_flight_.find(id);
    if (entry != in_flight_.end()) unconfirmed_attempts_.add(entry->second.attempt, id, lost.up_since, now);
  }
  // A retired connection loses no end: the server saw the half-close and wrote all it had before it closed.
  if (!lost.retired || loss == ConnectionLoss::kUnreadable) missed_ends_.suspect_loss();
  refused_ = refused_ || refused;
  const ConnectionEnd latest_end = refused                           ? ConnectionEnd::kRefused
                                   : lost.up && !lost.health.heard() ? ConnectionEnd::kClosedWithoutLine
                                                                     : ConnectionEnd::kOther;
  const ProcessEnd end = end_if_gone(now, latest_end);
  const bool process_gone = end != ProcessEnd::kNone && end != ProcessEnd::kReplaced;
  if (!process_gone && refused && now >= last_activity_ + kQuietTimeout) {
    abandon_attempts(now);
  }
  for (const SentRelease& each : lost.sent_releases) {
    if (process_gone || each.sent_at + kReleaseUnconfirmed <= now) continue;
    // A later attempt of the call is in flight at this server, or has established it: it must not be
    // released.
    if (in_flight_.count(each.id) != 0 || established_.count(each.id) != 0) continue;
    send_or_queue_release(each.id, 0, now);
  }
  for (const std::uint64_t id : lost.in_flight) {
    // The call may be established there although its answer was lost: it is released.
    if (!process_gone) send_or_queue_release(id, 0, now);
    end_attempt(id, Outcome::kReset, now);
  }
  // Queued set-ups were never written, so they never ran.
  for (const std::uint64_t id : lost.queued) end_attempt(id, Outcome::kConnectFailed, now);
  maintain_connections(now);
}

void CoreConnections::abandon_attempts(double now) {
  std::vector<std::uint64_t> written;
  for (const auto& [id, entry] : in_flight_) {
    if (entry.written && connections_.count(entry.connection) != 0) written.push_back(id);
  }
  for (const std::uint64_t id : written) {
    const auto found = in_flight_.find(id);
    if (found == in_flight_.end()) continue;  // the end of another attempt made the call manager release it
    const AttemptId attempt = found->second.attempt;
    release_call(id, now);
    delegate_.core_attempt_ended(attempt, Outcome::kReset, Cause::kNone, 0, {});
  }
}

// Takes out the calls that have ended.
std::map<std::uint64_t, CoreConnections::EstablishedCall> CoreConnections::take_calls(ProcessEnd end) {
  std::map<std::uint64_t, EstablishedCall> out;
  for (auto it = established_.begin(); it != established_.end();) {
    const bool ended = end != ProcessEnd::kReplaced || held_by_earlier_process(it->second);
    if (ended) out.insert(*it);
    if (ended) missed_ends_.call_safe(it->first);
    it = ended ? established_.erase(it) : std::next(it);
  }
  return out;
}

// Takes out the connections whose process has ended.
CoreConnectionMap CoreConnections::take_connections(ProcessEnd end) {
  CoreConnectionMap out;
  for (auto it = connections_.begin(); it != connections_.end();) {
    const auto each = it++;
    if (end != ProcessEnd::kReplaced || held_by_earlier_process(each->second))
      out.insert(connections_.extract(each));
  }
  return out;
}

// The process is gone: its calls are cut, releases are pointless, and its connections are closed.
void CoreConnections::end_process(ProcessEnd end, double now) {
  const bool replaced = end == ProcessEnd::kReplaced;
  const auto cut = take_calls(end);
  if (replaced || !cut.empty() || !idle()) delegate_.core_gone(server_, name(end), cut.size());
  const auto closed = take_connections(end);
  // In case the process is alive after all, it must not keep calls that are reported as ended. If a later
  // process is running, only a call that a caller reported may be held by that.
  const ConnectionId usable = replaced ? any_usable() : first_usable(closed);
  for (const auto& [id, call] : cut) {
    if (replaced && !call.reported_by_caller) continue;
    if (replaced && !address_reassigned_)
      send_or_queue_release(id, usable, now);
    else if (usable != 0)
      delegate_.send_to_core(usable, write_core_release(id, kCauseNormal));
  }
  double last_line_at = replaced ? 0 : last_line_at_;
  for (const auto& [id, connection] : closed) {
    last_line_at = std::max(last_line_at, connection.last_line_at);
    close_connection_of_gone(id, connection, now);
  }
  if (!replaced) {
    pending_releases_.clear();
    unreachable_since_ = -1;
  }
  for (const auto& [id, call] : cut) delegate_.core_call_ended(server_, id, true, {});
  report_unconfirmed_ended(replaced ? replaced_before() : kNever, last_line_at);
  // Queued set-ups go last. One can be the next attempt of a call that has just been reported as ended;
  // failed before that report, it would make the call look refused.
  for (const auto& [id, connection] : closed) {
    for (const std::uint64_t setup : connection.queued) end_attempt(setup, Outcome::kConnectFailed, now);
  }
}

void CoreConnections::close_connection_of_gone(ConnectionId which, const Connection& connection, double now) {
  delegate_.core_connection_changed(server_, which, ConnectionChange::kServerGone);
  delegate_.close_core(which);
  for (const std::uint64_t id : connection.in_flight) {
    const auto entry = in_flight_.find(id);
    if (entry != in_flight_.end())
      unconfirmed_attempts_.add(entry->second.attempt, id, connection.up_since, now);
    end_attempt(id, Outcome::kReset, now);
  }
}

// A call that was established there without the proxy seeing it has ended with the process and must not be
// set up again.
void CoreConnections::report_unconfirmed_ended(double held_before, double last_line_at) {
  for (const AttemptId& each : unconfirmed_attempts_.take_ended(held_before, last_line_at))
    delegate_.core_unconfirmed_attempt_ended(each);
}

void CoreConnections::close_unreadable(ConnectionId which, const char* error, double now) {
  counters_.unreadable += 1;
  delegate_.core_fault(server_, error);
  delegate_.core_connection_changed(server_, which, ConnectionChange::kUnreadable);
  delegate_.close_core(which);
  remove_connection(which, ConnectionLoss::kUnreadable, now);
}

void CoreConnections::received(ConnectionId from, std::string_view bytes, double now) {
  auto found = connections_.find(from);
  if (found == connections_.end()) return;
  last_activity_ = now;
  found->second.splitter.feed(bytes);
  while (found != connections_.end()) {
    const auto line = found->second.splitter.next();
    if (!line) {
      if (found->second.splitter.too_long()) close_unreadable(from, "line too long", now);
      return;
    }
    last_line_at_ = found->second.last_line_at = now;
    missed_ends_.line_received();
    ConnectionHealth& health = found->second.health;
    if (!health.heard()) missed_ends_.first_line_received(from, found->second.up_since, now);
    if (health.is_doubted() && !found->second.retired) mark_calls(from, false);
    health.line_received(now);
    const char* error = nullptr;
    const auto message = read_core_message(*line, error);
    if (!message) return close_unreadable(from, error, now);
    handle_message(from, *message, now);
    found = connections_.find(from);
  }
}

MessageOwner CoreConnections::find_owner(ConnectionId from, std::uint64_t id) const {
  const auto entry = in_flight_.find(id);
  // A message on another connection than the attempt's own belongs to an earlier attempt.
  if (entry != in_flight_.end() && entry->second.connection == from && entry->second.written)
    return MessageOwner::kAttempt;
  if (established_.count(id) != 0) return MessageOwner::kEstablishedCall;
  if (connections_.at(from).abandoned.count(id) != 0) return MessageOwner::kAbandoned;
  return MessageOwner::kUnknown;
}

void CoreConnections::handle_message(ConnectionId from, const CoreMessage& message, double now) {
  using Type = CoreMessage::Type;
  switch (message.type) {
    case Type::kProgress:
    case Type::kTestResult:
      return;
    case Type::kReleased: {
      unconfirmed_attempts_.confirm_ended(message.id);
      std::deque<SentRelease>& sent_releases = connections_.at(from).sent_releases;
      const auto acknowledged = std::find_if(sent_releases.begin(), sent_releases.end(),
                                             [&](const SentRelease& each) { return each.id == message.id; });
      if (acknowledged != sent_releases.end()) sent_releases.erase(acknowledged);
      return;
    }
    case Type::kState:
      note_serving(now);
      return delegate_.core_load_reported(server_, message.report);
    case Type::kAnswer:
      return handle_answer(from, message);
    case Type::kRelease:
      return handle_release(from, message, now);
  }
}

void CoreConnections::handle_answer(ConnectionId from, const CoreMessage& message) {
  const MessageOwner owner = find_owner(from, message.id);
  delegate_.core_message_received(server_, from, message, owner);
  switch (owner) {
    case MessageOwner::kEstablishedCall:
      counters_.duplicate_answers += 1;
      return;
    case MessageOwner::kAbandoned:
      counters_.late_answers += 1;
      return;
    case MessageOwner::kUnknown:
      counters_.unsolicited_answers += 1;
      return;
    case MessageOwner::kAttempt:
      break;
  }
  const AttemptId attempt = in_flight_.at(message.id).attempt;
  Connection& connection = connections_.at(from);
  connection.in_flight.erase(message.id);
  connection.health.setup_answered();
  in_flight_.erase(message.id);
  established_[message.id] = {connection.up_since, false, from};
  delegate_.core_call_established(attempt, message.description, message.report);
}

void CoreConnections::handle_release(ConnectionId from, const CoreMessage& message, double now) {
  const MessageOwner owner = find_owner(from, message.id);
  delegate_.core_message_received(server_, from, message, owner);
  Connection& connection = connections_.at(from);
  if (owner == MessageOwner::kAttempt) {
    const AttemptId attempt = in_flight_.at(message.id).attempt;
    connection.in_flight.erase(message.id);
    connection.health.setup_answered();
    in_flight_.erase(message.id);
    const AttemptResult result = result_before_answer(message.cause, message.note);
    if (result.outcome == Outcome::kReset) send_or_queue_release(message.id, from, now);
    return delegate_.core_attempt_ended(attempt, result.outcome, result.cause, message.waited_s,
                                        message.report);
  }
  unconfirmed_attempts_.confirm_ended(message.id);
  connection.abandoned.erase(message.id);
  const bool ended = message.cause == kCauseNormal;
  // The release refers to an earlier attempt of a call that is in flight at this server again: only its
  // normal end is reported.
  if (owner == MessageOwner::kAbandoned || (in_flight_.count(message.id) != 0 && !ended)) {
    return delegate_.core_load_reported(server_, message.report);
  }
  note_serving(now);
  remove_established(message.id);
  delegate_.core_call_ended(server_, message.id, !ended, message.report);
}

double CoreConnections::deadline() const {
  double due = kNever;
  for (const auto& [id, connection] : connections_) {
    if (!connection.up) due = std::min(due, connection.started_at + settings_.connect_timeout_s);
    if (connection.retired) due = std::min(due, connection.retired_at + kGoneTimeout);
    if (connection.up && !connection.retired) due = std::min(due, next_review_at(connection));
  }
  if (needs_connections()) {
    const std::size_t target =
        state_ == ServerEntry::State::kReady ? std::min(kMinConnections, settings_.max_connections) : 1;
    if (count_active(connections_) < target) due = std::min(due, retry_at_);
  }
  return std::min({due, next_probe_at(), next_process_check_at(evidence())});
}

void CoreConnections::tick(double now) {
  std::vector<ConnectionId> timed_out;
  for (const auto& [id, connection] : connections_) {
    if (!connection.up && now >= connection.started_at + settings_.connect_timeout_s) timed_out.push_back(id);
  }
  for (const ConnectionId id : timed_out) {
    if (connections_.count(id) == 0) continue;  // the one before showed that the server is gone
    counters_.connect_timeouts += 1;
    if (unreachable_since_ < 0) unreachable_since_ = now;
    delegate_.core_connection_changed(server_, id, ConnectionChange::kConnectTimeout);
    delegate_.close_core(id);
    remove_connection(id, ConnectionLoss::kNotEstablished, now);
  }
  end_if_gone(now);
  while (!pending_releases_.empty() && pending_releases_.front().expires_at <= now)
    pending_releases_.pop_front();
  review_connections(now);
  close_retired_connections(now);
  maintain_connections(now);
  if (now < next_probe_at()) return;
  // A new connection shows whether the server is alive, and makes it send its group's state and lost ends.
  if (now >= last_activity_ + kQuietTimeout || now >= missed_ends_.next_renewal_at())
    missed_ends_.suspect_loss();
  if (count_active(connections_) >= std::min(kMinConnections, settings_.max_connections))
    retire(choose_to_retire(connections_), now);
  if (may_open_connection(connections_, settings_.max_connections)) open_connection(now);
  retry_at_ = now + kMaxRetryDelay;
}

// Half-closes the connection, if it is not 0; what the server still sends on it is read.
void CoreConnections::retire(ConnectionId which, double now) {
  if (which == 0) return;
  Connection& connection = connections_.at(which);
  connection.retired = true;
  connection.retired_at = now;
  delegate_.core_connection_changed(server_, which, ConnectionChange::kRetired);
  delegate_.retire_core(which);
}

double CoreConnections::next_review_at(const Connection& connection) const {
  if (connection.health.is_doubted()) return connection.is_unused() ? 0 : kNever;
  return connection.health.next_update_at(last_line_at_);
}

void CoreConnections::review_connections(double now) {
  std::vector<ConnectionId> doubted;
  for (auto& [id, connection] : connections_) {
    if (connection.up && connection.health.update(now, last_line_at_)) doubted.push_back(id);
  }
  for (const ConnectionId id : doubted) on_connection_doubted(id, now);
  for (const ConnectionId id : doubted_and_unused(connections_)) retire(id, now);
}

// What was written to it lately may not have arrived, and ends that the server writes to it are not received.
void CoreConnections::on_connection_doubted(ConnectionId which, double now) {
  delegate_.core_connection_changed(server_, which, ConnectionChange::kDoubted);
  missed_ends_.suspect_loss();
  mark_calls(which, true);
  for (const SentRelease& each : std::exchange(connections_.at(which).sent_releases, {})) {
    if (in_flight_.count(each.id) == 0 && established_.count(each.id) == 0)
      send_or_queue_release(each.id, 0, now);
  }
}

void CoreConnections::mark_calls(ConnectionId which, bool at_risk) {
  for (const auto& [id, call] : established_) {
    if (!at_risk && call.connection == which) missed_ends_.call_safe(id);
    // Without a connection of its own, its end may be written to any that the server takes for open.
    if (at_risk && (call.connection == which || connections_.count(call.connection) == 0))
      missed_ends_.call_at_risk(id);
  }
}

void CoreConnections::close_retired_connections(double now) {
  for (const ConnectionId which : expired_retired(connections_, kGoneTimeout, now)) {
    delegate_.core_connection_changed(server_, which, ConnectionChange::kRetiredClosed);
    delegate_.close_core(which);
    connections_.erase(which);
    missed_ends_.suspect_loss_until_line_received();
  }
}

}  // namespace mintrock::platform
