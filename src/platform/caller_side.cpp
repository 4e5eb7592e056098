#include "platform/caller_side.hpp"

#include <algorithm>
#include <functional>
#include <limits>
#include <tuple>
#include <utility>
#include <vector>

namespace mintrock::platform {
namespace {

// A caller that has said nothing usable is told so, by a close, within 3 s of its connecting; this is sooner
// by what a busy core may add.
constexpr double kSilent = 2.0;  // s
// A message that has begun to arrive is waited for, within those 3 s on a new connection; no longer than
// this, since a trickle need not end.
constexpr double kSilentHalf = 2.4;  // s
constexpr double kHalf = 2.0;        // s
constexpr double kFresh = 0.1;       // s after connecting, when the process ends: a set-up may lie unread
// Callers close a connection after 4 s without a call; one that is held beyond is closed here. One whose call
// stands is not idle: it may be the only one left on which the call's end can be told.
constexpr double kIdle = 6.0;        // s
constexpr double kReadFirst = 0.01;  // s that a close is put off for what has arrived unread
constexpr std::uint32_t kMostPutOff = 3;
constexpr std::uint32_t kMostFaults = 3;  // unusable messages until the connection is closed
// An end is told within 8 s of the call's; one that came late is kept no longer than that.
constexpr double kKeepEnd = 8.0;  // s
constexpr std::size_t kMostEnds = 4096;
// An end that was written to a connection shortly before its loss may not have been read: it is told again.
constexpr double kEndInDoubt = 1.0;  // s
constexpr double kNever = std::numeric_limits<double>::infinity();

}  // namespace

CallerSide::Connection* CallerSide::find(ConnectionId which) {
  const auto found = connections_.find(which);
  return found == connections_.end() ? nullptr : &found->second;
}

double CallerSide::due_of(const Connection& connection) const {
  if (!connection.open.empty()) return kNever;
  if (!connection.standing.empty() && !leaving_) return kNever;
  const bool half = connection.cutter.partial();
  if (leaving_)
    return half ? connection.partial + kHalf : std::max(connection.active, connection.since + kFresh);
  if (!connection.answered) return connection.since + (half ? kSilentHalf : kSilent);
  const double idle = connection.active + kIdle;
  return half ? std::clamp(connection.partial + kHalf, idle, idle + kHalf) : idle;
}

void CallerSide::watch(ConnectionId which, Connection& connection) {
  const double due = due_of(connection);
  if (connection.due == due) return;
  due_.erase({connection.due, which});
  connection.due = due;
  if (due < kNever) due_.emplace(due, which);
}

double CallerSide::deadline() const {
  const double ends = ends_.empty() ? kNever : ends_.front().until;
  return std::min(ends, due_.empty() ? kNever : due_.begin()->first);
}

void CallerSide::tick(double now) {
  while (!ends_.empty() && ends_.front().until <= now) {
    ends_.pop_front();
    counters_.ends_dropped += 1;
  }
  while (!due_.empty() && due_.begin()->first <= now) {
    const ConnectionId which = due_.begin()->second;
    if (put_off_close(which, now)) continue;
    const bool answered = find(which)->answered;
    (answered ? counters_.closed_idle : counters_.closed_silent) += 1;
    close(which, leaving_ ? CloseReason::kShutdown : answered ? CloseReason::kIdle : CloseReason::kSilent);
  }
}

// What has arrived unread may be a set-up, and is read in the next turn. A trickle need not end.
bool CallerSide::put_off_close(ConnectionId which, double now) {
  Connection& connection = *find(which);
  if (connection.put_off >= kMostPutOff || !delegate_.has_unread(which)) return false;
  connection.put_off += 1;
  due_.erase({connection.due, which});
  connection.due = now + kReadFirst;
  due_.emplace(connection.due, which);
  return true;
}

void CallerSide::opened(ConnectionId which, double now) {
  counters_.connections += 1;
  Connection& connection = connections_[which];
  connection.since = connection.active = now;
  watch(which, connection);
}

void CallerSide::received(ConnectionId from, std::string_view bytes, double now) {
  Connection* connection = find(from);
  if (connection == nullptr) return;
  if (!connection->cutter.partial()) connection->partial = now;
  connection->cutter.feed(bytes);
  while (connection != nullptr) {
    const auto message = connection->cutter.next();
    if (!message) break;
    counters_.messages += 1;
    take(from, *message, now);
    connection = find(from);  // a fault may have closed it
    if (connection != nullptr) connection->partial = now;
  }
  if (connection == nullptr) return;
  if (const char* what = connection->cutter.fault()) {
    counters_.faults += 1;
    delegate_.caller_fault(from, what);
    return close(from, CloseReason::kInvalidMessages);
  }
  watch(from, *connection);
}

void CallerSide::take(ConnectionId from, const CallerMessage& message, double now) {
  Connection& connection = *find(from);
  switch (static_cast<CallerMessageType>(message.type)) {
    case CallerMessageType::kSetup:
      return take_setup(from, message, now);
    case CallerMessageType::kRelease: {
      const auto owner = open_.find(message.call);
      if (owner != open_.end() && owner->second != from) {
        // Somebody else's open set-up.
        return fault(from, message.call, "a release of another's set-up");
      }
      if (owner != open_.end()) {
        connection.open.erase(message.call);
        open_.erase(owner);
        delegate_.hang_up(message.call);
        connection.active = now;
        return;
      }
      if (delegate_.hang_up(message.call)) {
        stands_no_more(message.call, now);
        delegate_.send_to_caller(from, write_released(message.call));
        connection.answered = true;
        connection.active = now;
      }
      return;  // one that is over already: its end has been told, or is not owed
    }
    case CallerMessageType::kTest:
      delegate_.send_to_caller(from, write_test_passed(message.call, true));
      connection.answered = true;
      connection.active = now;
      return;
    case CallerMessageType::kProgress:
      return;
    case CallerMessageType::kReleased:
      connection.told.erase(std::remove_if(connection.told.begin(), connection.told.end(),
                                           [&](const ToldEnd& each) { return each.id == message.call; }),
                            connection.told.end());
      return;
    default:
      return fault(from, message.call, "unknown type");
  }
}

void CallerSide::take_setup(ConnectionId from, const CallerMessage& message, double now) {
  Connection& connection = *find(from);
  const char* why = nullptr;
  std::optional<CallSetup> setup = read_setup(message, why);
  if (!setup) return fault(from, message.call, why);
  const std::uint64_t id = setup->id;
  const auto owner = open_.find(id);
  if (owner != open_.end()) {
    counters_.duplicates += 1;
    if (owner->second == from) {
      // Which of the two an answer was for could not be told: neither is served.
      connection.open.erase(id);
      open_.erase(owner);
      delegate_.hang_up(id);
    }
    return fault(from, id, "the id of an open set-up");
  }
  if (!setup->established_server.empty()) {
    connection.answered = true;    // none is owed
    stands(id, from, connection);  // first: it may be over already, and its end told at once
    if (const char* bad = delegate_.take_over(*setup)) {
      stands_no_more(id, now);
      return fault(from, id, bad);
    }
    return carry(from, connection, now);
  }
  counters_.setups += 1;
  connection.open.insert(id);
  open_.emplace(id, from);
  connection.active = now;
  if (const char* bad = delegate_.offer(std::move(*setup))) {
    open_.erase(id);
    if (Connection* again = find(from)) again->open.erase(id);
    return fault(from, id, bad);
  }
  if (Connection* again = find(from)) carry(from, *again, now);
}

// Calls come on it: what ended meanwhile is told here.
void CallerSide::carry(ConnectionId which, Connection& connection, double now) {
  connection.carries = true;
  connection.active = now;
  for (const End& each : std::exchange(ends_, {})) {
    tell_end(each.id, each.cause, which, now);
    connection.answered = true;
  }
}

void CallerSide::fault(ConnectionId from, std::uint64_t id, const char* what) {
  counters_.faults += 1;
  delegate_.caller_fault(from, what);
  Connection& connection = *find(from);
  connection.faults += 1;
  if (id != 0) {
    delegate_.send_to_caller(from, write_release(id, kCauseInvalid));
    connection.answered = true;
  }
  if (id == 0 || connection.faults >= kMostFaults) close(from, CloseReason::kInvalidMessages);
}

CallerSide::Connection CallerSide::remove(ConnectionId which) {
  const auto found = connections_.find(which);
  Connection gone = std::move(found->second);
  connections_.erase(found);
  due_.erase({gone.due, which});
  for (const std::uint64_t id : gone.standing) standing_.erase(id);
  if (teller_ == which) teller_ = 0;
  for (const std::uint64_t id : gone.open) {
    open_.erase(id);
    delegate_.hang_up(id);
  }
  return gone;
}

void CallerSide::lost(ConnectionId which, double now) {
  if (connections_.count(which) == 0) return;
  const Connection gone = remove(which);
  // What was written as the other side closed was not read.
  for (const ToldEnd& each : gone.told) {
    if (each.at + kEndInDoubt <= now) continue;
    counters_.ends_resent += 1;
    report_end(each.id, each.cause, now);
  }
}

void CallerSide::begin_shutdown() {
  leaving_ = true;
  for (auto& [which, connection] : connections_) watch(which, connection);
}

void CallerSide::close_all() {
  while (!connections_.empty()) close(connections_.begin()->first, CloseReason::kShutdown);
}

void CallerSide::close(ConnectionId which, CloseReason reason) {
  delegate_.caller_closed(which, reason, find(which)->standing.size());
  remove(which);
  delegate_.close_caller(which);
}

ConnectionId CallerSide::eviction_candidate() const {
  using Rank = std::tuple<bool, bool, bool, double, ConnectionId>;
  std::vector<Rank> spare;
  for (const auto& [which, connection] : connections_) {
    if (!connection.open.empty()) continue;
    spare.emplace_back(connection.cutter.partial(), !connection.standing.empty(), connection.answered,
                       connection.active, which);
  }
  const auto lowest_last = std::greater<>();
  std::make_heap(spare.begin(), spare.end(), lowest_last);
  for (; !spare.empty(); spare.pop_back()) {
    std::pop_heap(spare.begin(), spare.end(), lowest_last);
    const ConnectionId which = std::get<ConnectionId>(spare.back());
    if (!delegate_.has_unread(which)) return which;
  }
  return 0;
}

void CallerSide::evict(ConnectionId which) {
  counters_.evicted += 1;
  close(which, CloseReason::kEvicted);
}

void CallerSide::answer(std::uint64_t id, std::string_view description, double now) {
  const ConnectionId to = settle(id, write_answer(id, description), now);
  Connection* const connection = find(to);
  if (connection == nullptr) return;
  connection->served = true;
  teller_ = to;
  stands(id, to, *connection);
  watch(to, *connection);
}

void CallerSide::stands(std::uint64_t id, ConnectionId on, Connection& connection) {
  const auto [place, fresh] = standing_.emplace(id, on);
  if (!fresh && place->second != on) {  // its caller names it anew, on another connection
    if (Connection* const before = find(place->second)) {
      before->standing.erase(id);
      watch(place->second, *before);
    }
    place->second = on;
  }
  connection.standing.insert(id);
}

void CallerSide::stands_no_more(std::uint64_t id, double now) {
  const auto found = standing_.find(id);
  if (found == standing_.end()) return;
  const ConnectionId on = found->second;
  standing_.erase(found);
  Connection& connection = *find(on);  // one that is lost takes its calls with it
  connection.standing.erase(id);
  connection.active = now;
  watch(on, connection);
}

void CallerSide::refuse(std::uint64_t id, int cause, std::optional<std::uint32_t> retry_after_ms,
                        double now) {
  settle(id, write_release(id, cause, retry_after_ms), now);
}

ConnectionId CallerSide::settle(std::uint64_t id, std::string_view bytes, double now) {
  const auto owner = open_.find(id);
  if (owner == open_.end()) return 0;
  const ConnectionId to = owner->second;
  open_.erase(owner);
  Connection& connection = *find(to);  // one that is lost takes its open set-ups with it
  connection.open.erase(id);
  connection.answered = true;
  connection.active = now;
  delegate_.send_to_caller(to, bytes);
  watch(to, connection);
  return to;
}

void CallerSide::tell_end(std::uint64_t id, int cause, ConnectionId to, double now) {
  std::deque<ToldEnd>& told = find(to)->told;
  while (!told.empty() && (told.front().at + kEndInDoubt <= now || told.size() >= kMostEnds)) {
    told.pop_front();
  }
  told.push_back({id, cause, now});
  delegate_.end_reported(id, to);
  delegate_.send_to_caller(to, write_release(id, cause));
}

void CallerSide::report_end(std::uint64_t id, int cause, double now) {
  const auto own = standing_.find(id);
  ConnectionId to = own != standing_.end() ? own->second : teller_;
  stands_no_more(id, now);
  if (to == 0) {
    std::pair<bool, double> best{false, -1};
    for (const auto& [which, connection] : connections_) {
      const std::pair<bool, double> rank{connection.served, connection.active};
      if (!connection.carries || rank <= best) continue;
      best = rank;
      to = which;
    }
    if (best.first) teller_ = to;  // one that none was served on may be no caller's
  }
  if (to != 0) return tell_end(id, cause, to, now);
  delegate_.end_reported(id, 0);
  counters_.ends_queued += 1;
  if (ends_.size() >= kMostEnds) {
    ends_.pop_front();
    counters_.ends_dropped += 1;
  }
  ends_.push_back({id, cause, now + kKeepEnd});
}

}  // namespace mintrock::platform
