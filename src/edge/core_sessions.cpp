#include "edge/core_sessions.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mintrock::edge {
namespace {

bool same_attempt(const CoreSessions::Attempt& a, const CoreSessions::Attempt& b) {
  return a.call == b.call && a.number == b.number;
}

}  // namespace

// ---- Set-ups that wait for a connection ----

void CoreSessions::queue_setup(Attempt attempt, double give_up_after_s, RecordPtr record, double now) {
  const double wait_until = now + std::min(settings_.connect_s, give_up_after_s);
  queued_.push_back({attempt, now + give_up_after_s, wait_until, std::move(record)});
}

std::vector<CoreSessions::Attempt> CoreSessions::drop_queued() {
  std::vector<Attempt> out;
  for (const QueuedSetup& each : std::exchange(queued_, {})) out.push_back(each.attempt);
  return out;
}

std::vector<CoreSessions::QueuedSetup> CoreSessions::take_queued() {
  std::vector<QueuedSetup> out(std::make_move_iterator(queued_.begin()),
                               std::make_move_iterator(queued_.end()));
  queued_.clear();
  return out;
}

// ---- Requests over the connection ----

void CoreSessions::on_setup_sent(Attempt attempt, RecordPtr record, std::uint32_t hop_by_hop) {
  const auto old = sessions_.find(record->session_id);
  if (old != sessions_.end()) erase_session(old);
  sessions_[record->session_id] = {attempt, false, hop_by_hop, record};
  pending_requests_[hop_by_hop] = {attempt, false, false, std::move(record)};
}

void CoreSessions::on_release_sent(RecordPtr record, std::uint32_t hop_by_hop, double now) {
  pending_requests_[hop_by_hop] = {{}, true, true, std::move(record)};
  expire_later(hop_by_hop, now);
}

// If a release were dropped because there was no connection, or because its answer was lost with one, a
// server that lost only its connection would hold the call's lines for good.
void CoreSessions::queue_release(RecordPtr record, double now) {
  while (!pending_releases_.empty() &&
         (pending_releases_.front().expires_at <= now || pending_releases_.size() >= settings_.max_kept))
    pending_releases_.pop_front();
  pending_releases_.push_back({std::move(record), now + settings_.linger_s});
}

bool CoreSessions::end_attempt(Attempt attempt, const std::string& session_id, double now) {
  const auto queued = std::find_if(queued_.begin(), queued_.end(), [&](const QueuedSetup& each) {
    return same_attempt(each.attempt, attempt);
  });
  if (queued != queued_.end()) {  // never sent: the server holds nothing
    queued_.erase(queued);
    return false;
  }
  const auto session = sessions_.find(session_id);
  if (session == sessions_.end() || !same_attempt(session->second.attempt, attempt)) return false;
  give_up_setup(session->second, now);
  erase_session(session);
  return true;
}

CoreSessions::Answer CoreSessions::on_answer(std::uint32_t hop_by_hop, const std::string& session_id,
                                             bool established) {
  const auto found = pending_requests_.find(hop_by_hop);
  // An error answer may lack the Session-Id (RFC 6733 section 7.2).
  const bool session_differs = !session_id.empty() && found != pending_requests_.end() &&
                               found->second.record->session_id != session_id;
  if (found == pending_requests_.end() || session_differs) return {};
  const PendingRequest request = std::move(found->second);
  pending_requests_.erase(found);
  Answer out{Answer::Kind::kSetup, request.attempt, request.record};
  const auto session = sessions_.find(request.record->session_id);
  if (request.is_release) {
    out.kind = Answer::Kind::kRelease;
  } else if (request.given_up) {
    // The attempt has been released. If the server established the call nevertheless, it must be released
    // again, unless the session ID is in use again.
    out.kind =
        established && session == sessions_.end() ? Answer::Kind::kLateEstablished : Answer::Kind::kLate;
  } else if (session != sessions_.end() && same_attempt(session->second.attempt, request.attempt)) {
    if (established) {
      session->second.established = true;
      established_ += 1;
    } else {
      erase_session(session);
    }
  }
  return out;
}

std::optional<CoreSessions::Attempt> CoreSessions::on_abort(const std::string& session_id, double now) {
  const auto session = sessions_.find(session_id);
  if (session == sessions_.end()) return std::nullopt;
  const Attempt attempt = session->second.attempt;
  give_up_setup(session->second, now);
  erase_session(session);
  return attempt;
}

// ---- The connection ----

std::vector<CoreSessions::Attempt> CoreSessions::on_connection_lost(double now) {
  expiring_requests_.clear();
  std::vector<Attempt> out;
  for (const auto& [hop, each] : std::exchange(pending_requests_, {})) {
    queue_release(each.record, now);  // it may be established, with the answer lost
    if (each.given_up) continue;
    const auto session = sessions_.find(each.record->session_id);
    if (session != sessions_.end()) erase_session(session);
    out.push_back(each.attempt);
  }
  std::sort(out.begin(), out.end());
  if (!sessions_.empty()) hold_until_ = now + settings_.session_hold_s;
  return out;
}

CoreSessions::Reconnection CoreSessions::on_connected(std::uint32_t origin_state, double now) {
  Reconnection out;
  hold_until_ = 0;
  // On first contact, the server may hold calls that a previous process of this proxy set up.
  const bool first = origin_state_id_ == 0;
  const bool same_process = origin_state == std::exchange(origin_state_id_, origin_state) || first;
  if (!same_process) out.cut = cut_all(now);
  for (PendingRelease& each : std::exchange(pending_releases_, {})) {
    const bool session_in_use = sessions_.count(each.record->session_id) != 0;
    if (!same_process) {
      out.obsolete_releases.push_back(
          std::move(each.record));  // its call ended with the process that held it
    } else if (each.expires_at > now && !session_in_use) {
      out.releases_to_send.push_back(std::move(each.record));
    }
  }
  return out;
}

// ---- Time ----

double CoreSessions::deadline() const {
  double due = hold_until_ > 0 ? hold_until_ : std::numeric_limits<double>::infinity();
  for (const QueuedSetup& each : queued_) due = std::min(due, each.wait_until);
  return due;
}

CoreSessions::Expired CoreSessions::tick(double now) {
  Expired out;
  const auto expired = std::stable_partition(queued_.begin(), queued_.end(),
                                             [&](const QueuedSetup& each) { return each.wait_until > now; });
  for (auto at = expired; at != queued_.end(); ++at) out.no_connection.push_back(at->attempt);
  queued_.erase(expired, queued_.end());
  if (hold_until_ > 0 && hold_until_ <= now) {
    hold_until_ = 0;
    out.cut = cut_all(now);
  }
  return out;
}

// ---- Helpers ----

void CoreSessions::erase_session(Sessions::iterator session) {
  established_ -= session->second.established ? 1 : 0;
  sessions_.erase(session);
}

// Marks the session's set-up as given up if its answer is still to come.
void CoreSessions::give_up_setup(const Session& session, double now) {
  const auto found = pending_requests_.find(session.hop_by_hop);
  if (found == pending_requests_.end() || found->second.is_release) return;
  found->second.given_up = true;
  expire_later(session.hop_by_hop, now);
}

// Keeps a given-up request for linger_s, and at most max_kept of them, to recognise its answer.
void CoreSessions::expire_later(std::uint32_t hop_by_hop, double now) {
  expiring_requests_.emplace_back(now + settings_.linger_s, hop_by_hop);
  while (!expiring_requests_.empty()) {
    const auto found = pending_requests_.find(expiring_requests_.front().second);
    const bool answered = found == pending_requests_.end() || !found->second.given_up;
    const bool drop =
        expiring_requests_.front().first <= now || expiring_requests_.size() > settings_.max_kept;
    if (!answered && !drop) break;
    if (!answered) pending_requests_.erase(found);
    expiring_requests_.pop_front();
  }
}

std::vector<CoreSessions::Attempt> CoreSessions::cut_all(double now) {
  std::vector<Attempt> out;
  for (const auto& [session_id, session] : std::exchange(sessions_, {})) {
    out.push_back(session.attempt);
    queue_release(session.record, now);  // the process may be alive and hold the lines
  }
  established_ = 0;
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace mintrock::edge
