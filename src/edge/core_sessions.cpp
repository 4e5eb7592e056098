#include "edge/core_sessions.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mintrock::edge {
namespace {

bool same(const CoreSessions::Attempt& a, const CoreSessions::Attempt& b) {
  return a.call == b.call && a.attempt == b.attempt;
}

}  // namespace

// ---- Set-ups that wait for a connection ----

void CoreSessions::wait(Attempt who, double give_up_after_s, RecordPtr record, double now) {
  const double until = now + std::min(settings_.connect_s, give_up_after_s);
  waiting_.push_back({who, now + give_up_after_s, until, std::move(record)});
}

std::vector<CoreSessions::Attempt> CoreSessions::drop_waiting() {
  std::vector<Attempt> out;
  for (const Waiting& each : std::exchange(waiting_, {})) out.push_back(each.who);
  return out;
}

std::vector<CoreSessions::Waiting> CoreSessions::take_waiting() {
  std::vector<Waiting> out(std::make_move_iterator(waiting_.begin()),
                           std::make_move_iterator(waiting_.end()));
  waiting_.clear();
  return out;
}

// ---- Requests over the connection ----

void CoreSessions::sent_setup(Attempt who, RecordPtr record, std::uint32_t hop_by_hop) {
  const auto old = legs_.find(record->session_id);
  if (old != legs_.end()) erase(old);
  legs_[record->session_id] = {who, false, hop_by_hop, record};
  pending_[hop_by_hop] = {who, false, false, std::move(record)};
}

void CoreSessions::sent_release(RecordPtr record, std::uint32_t hop_by_hop, double now) {
  pending_[hop_by_hop] = {{}, true, true, std::move(record)};
  linger(hop_by_hop, now);
}

// A release that met no connection, or whose answer was lost with one, would leave its lines taken for good
// at a server that only lost its connection.
void CoreSessions::owe(RecordPtr record, double now) {
  while (!owed_.empty() && (owed_.front().until <= now || owed_.size() >= settings_.most)) owed_.pop_front();
  owed_.push_back({std::move(record), now + settings_.linger_s});
}

bool CoreSessions::over(Attempt who, const std::string& session, double now) {
  const auto waiting = std::find_if(waiting_.begin(), waiting_.end(),
                                    [&](const Waiting& each) { return same(each.who, who); });
  if (waiting != waiting_.end()) {  // never left: nothing to free
    waiting_.erase(waiting);
    return false;
  }
  const auto leg = legs_.find(session);
  if (leg == legs_.end() || !same(leg->second.who, who)) return false;
  give_up(leg->second, now);
  erase(leg);
  return true;
}

CoreSessions::Answer CoreSessions::answered(std::uint32_t hop_by_hop, const std::string& session,
                                            bool stands) {
  const auto found = pending_.find(hop_by_hop);
  // An error answer may come without a session (RFC 6733 section 7.2).
  const bool other =
      !session.empty() && found != pending_.end() && found->second.record->session_id != session;
  if (found == pending_.end() || other) return {};
  const Pending pending = std::move(found->second);
  pending_.erase(found);
  Answer out{Answer::Kind::kOfSetup, pending.who, pending.record};
  const auto leg = legs_.find(pending.record->session_id);
  if (pending.release) {
    out.kind = Answer::Kind::kOfRelease;
  } else if (pending.given_up) {
    // It was released already. If the server counts it as standing all the same, it must be freed again,
    // unless the session is in use anew.
    out.kind = stands && leg == legs_.end() ? Answer::Kind::kLateAndStands : Answer::Kind::kLate;
  } else if (leg != legs_.end() && same(leg->second.who, pending.who)) {
    if (stands) {
      leg->second.stands = true;
      standing_ += 1;
    } else {
      erase(leg);
    }
  }
  return out;
}

std::optional<CoreSessions::Attempt> CoreSessions::aborted(const std::string& session, double now) {
  const auto leg = legs_.find(session);
  if (leg == legs_.end()) return std::nullopt;
  const Attempt who = leg->second.who;
  give_up(leg->second, now);
  erase(leg);
  return who;
}

// ---- The connection ----

std::vector<CoreSessions::Attempt> CoreSessions::lost(double now) {
  lingering_.clear();
  std::vector<Attempt> out;
  for (const auto& [hop, each] : std::exchange(pending_, {})) {
    owe(each.record, now);  // it may stand there all the same: its answer may be lost
    if (each.given_up) continue;
    const auto leg = legs_.find(each.record->session_id);
    if (leg != legs_.end()) erase(leg);
    out.push_back(each.who);
  }
  std::sort(out.begin(), out.end());
  if (!legs_.empty()) hold_until_ = now + settings_.session_hold_s;
  return out;
}

CoreSessions::Back CoreSessions::back(std::uint32_t origin_state, double now) {
  Back out;
  hold_until_ = 0;
  // At first contact it may be the process that another life of this proxy left calls at.
  const bool first = origin_state_ == 0;
  const bool same_process = origin_state == std::exchange(origin_state_, origin_state) || first;
  if (!same_process) out.cut = cut_all(now);
  for (Owed& each : std::exchange(owed_, {})) {
    const bool in_use = legs_.count(each.record->session_id) != 0;
    if (!same_process) {
      out.released.push_back(std::move(each.record));  // with the process that held it
    } else if (each.until > now && !in_use) {
      out.releases.push_back(std::move(each.record));
    }
  }
  return out;
}

// ---- Time ----

double CoreSessions::deadline() const {
  double due = hold_until_ > 0 ? hold_until_ : std::numeric_limits<double>::infinity();
  for (const Waiting& each : waiting_) due = std::min(due, each.until);
  return due;
}

CoreSessions::Over CoreSessions::tick(double now) {
  Over out;
  const auto over = std::stable_partition(waiting_.begin(), waiting_.end(),
                                          [&](const Waiting& each) { return each.until > now; });
  for (auto at = over; at != waiting_.end(); ++at) out.no_connection.push_back(at->who);
  waiting_.erase(over, waiting_.end());
  if (hold_until_ > 0 && hold_until_ <= now) {
    hold_until_ = 0;
    out.cut = cut_all(now);
  }
  return out;
}

// ---- Small things ----

void CoreSessions::erase(Legs::iterator leg) {
  standing_ -= leg->second.stands ? 1 : 0;
  legs_.erase(leg);
}

// Nobody waits for the answer of its set-up any more, if it is still to come.
void CoreSessions::give_up(const Leg& leg, double now) {
  const auto found = pending_.find(leg.hop_by_hop);
  if (found == pending_.end() || found->second.release) return;
  found->second.given_up = true;
  linger(leg.hop_by_hop, now);
}

// Answers that nobody waits for are known for a while, and not more than a bound of them.
void CoreSessions::linger(std::uint32_t hop_by_hop, double now) {
  lingering_.emplace_back(now + settings_.linger_s, hop_by_hop);
  while (!lingering_.empty()) {
    const auto found = pending_.find(lingering_.front().second);
    const bool answered = found == pending_.end() || !found->second.given_up;
    const bool over = lingering_.front().first <= now || lingering_.size() > settings_.most;
    if (!answered && !over) break;
    if (!answered) pending_.erase(found);
    lingering_.pop_front();
  }
}

std::vector<CoreSessions::Attempt> CoreSessions::cut_all(double now) {
  std::vector<Attempt> out;
  for (const auto& [session, leg] : std::exchange(legs_, {})) {
    out.push_back(leg.who);
    owe(leg.record, now);  // the process may be alive, and hold its lines
  }
  standing_ = 0;
  std::sort(out.begin(), out.end());
  return out;
}

}  // namespace mintrock::edge
