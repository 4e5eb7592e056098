#include "platform/core_connections.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include "platform/causes.hpp"

namespace mintrock::platform {
namespace {

constexpr std::size_t kKept = 2;     // connections kept up to a ready server: the group's state comes on them
constexpr double kRetryFirst = 0.1;  // s until a lost connection is made anew, doubling
constexpr double kRetryLongest = 1.0;
// With this long nothing heard from a server that holds calls, a new connection shows whether it is there.
constexpr double kQuiet = 1.5;  // s
// A process that serves nobody, or a machine that takes no connection, for so long is gone: ends are due
// within 8 s.
constexpr double kGone = 5.0;         // s
constexpr double kOweRelease = 30.0;  // s; by then the call has ended there by itself
constexpr std::size_t kMostOwed = 4096;
constexpr std::size_t kMostGivenUp = 1024;  // ids of late answers that one connection remembers
// A release that was written on a connection shortly before its loss may not have arrived: it is sent again.
constexpr double kReleaseInDoubt = 1.0;  // s
constexpr std::size_t kMostReleased = 256;
constexpr std::size_t kMostUnsettled = 256;
constexpr double kNever = std::numeric_limits<double>::infinity();

}  // namespace

CoreConnections::Connection& CoreConnections::open_connection(double now) {
  const ConnectionId id = ports_.connect_core(server_);
  counts_.connections += 1;
  ports_.core_connection(server_, id, ConnectionChange::kBegun);
  repeats_.connection_begun(id);
  Connection& connection = connections_[id];
  connection.since = now;
  if (spoke_ == 0) spoke_ = now;  // counted from when it was first called
  return connection;
}

// An idle connection, else a new one, else the one with the fewest set-ups.
ConnectionId CoreConnections::pick(double now) {
  ConnectionId best = 0;
  std::size_t fewest = 0;
  for (const auto& [id, connection] : connections_) {
    if (connection.retired) continue;
    const std::size_t load = connection.open.size() + connection.waiting.size() + (connection.up ? 0 : 1);
    if (best == 0 || load < fewest) {
      best = id;
      fewest = load;
    }
  }
  if (best != 0 && (fewest == 0 || in_use() >= settings_.most)) return best;
  if (address_lost_) return best;
  open_connection(now);
  return connections_.rbegin()->first;
}

ConnectionId CoreConnections::any_up() const {
  for (const auto& [id, connection] : connections_) {
    if (connection.up && !connection.retired) return id;
  }
  return 0;
}

std::size_t CoreConnections::in_use() const {
  std::size_t count = 0;
  for (const auto& [id, connection] : connections_) count += !connection.retired;
  return count;
}

void CoreConnections::set_up(const Attempt& who, std::uint64_t id, std::string line, double now) {
  const ConnectionId on = pick(now);
  if (on == 0) return ports_.core_ended(who, Outcome::kConnectFailed, Cause::kNone, 0, {});
  Connection& connection = connections_[on];
  Out& out = out_[id];
  out = {who, on, connection.up, std::move(line)};
  // An earlier attempt of the same call may have been given up here: its late answer came before this one.
  connection.given_up.erase(id);
  if (connection.up) {
    connection.open.insert(id);
    ports_.send_to_core(on, out.line);
    out.line.clear();
  } else {
    connection.waiting.push_back(id);
  }
}

void CoreConnections::release(std::uint64_t id, ConnectionId on, double now) {
  if (on == 0) on = any_up();
  if (on != 0) return send_release(id, on, now);
  if (owed_.size() >= kMostOwed) owed_.pop_front();
  owed_.push_back({id, now + kOweRelease});
  keep_up(now);
}

void CoreConnections::send_release(std::uint64_t id, ConnectionId on, double now) {
  std::deque<Released>& released = connections_.at(on).released;
  while (!released.empty() &&
         (released.front().at + kReleaseInDoubt <= now || released.size() >= kMostReleased)) {
    released.pop_front();
  }
  released.push_back({id, now});
  ports_.send_to_core(on, write_core_release(id, kCauseNormal));
}

std::size_t CoreConnections::releases_in_doubt(double now) const {
  std::size_t count = 0;
  for (const auto& [which, connection] : connections_) {
    for (const Released& each : connection.released) count += now < each.at + kReleaseInDoubt;
  }
  return count;
}

void CoreConnections::give_up(std::uint64_t id, double now) {
  const auto found = out_.find(id);
  if (found == out_.end()) {
    if (standing_.erase(id) != 0) release(id, 0, now);
    return;
  }
  const ConnectionId on = found->second.on;
  const bool written = found->second.written;
  if (written) note_unsettled(found->second.who, id, now);
  out_.erase(found);
  // Its connection may be gone already: the end of one set-up on it can make the desk give up the next.
  const auto connection = connections_.find(on);
  if (!written) {
    if (connection == connections_.end()) return;
    std::deque<std::uint64_t>& waiting = connection->second.waiting;
    waiting.erase(std::remove(waiting.begin(), waiting.end(), id), waiting.end());
    return;
  }
  if (connection == connections_.end()) return release(id, 0, now);
  connection->second.open.erase(id);
  std::unordered_set<std::uint64_t>& given_up = connection->second.given_up;
  if (given_up.size() >= kMostGivenUp) given_up.clear();
  given_up.insert(id);
  release(id, on, now);
}

void CoreConnections::end(std::uint64_t id, Outcome outcome, double) {
  const auto found = out_.find(id);
  if (found == out_.end()) return;
  const Attempt who = found->second.who;
  out_.erase(found);
  ports_.core_ended(who, outcome, Cause::kNone, 0, {});
}

bool CoreConnections::wanted() const {
  if (address_lost_) return false;
  return state_ == ServerEntry::State::kReady || !idle();
}

void CoreConnections::keep_up(double now) {
  const std::size_t want = state_ == ServerEntry::State::kReady ? std::min(kKept, settings_.most) : 1;
  if (!wanted() || in_use() >= want || now < retry_at_) return;
  while (in_use() < want) open_connection(now);
  retry_gap_ = retry_gap_ == 0 ? kRetryFirst : std::min(2 * retry_gap_, kRetryLongest);
  // Not in step with all the other proxies that lost theirs at the same time.
  constexpr double kLeast = 0.5;  // share of the gap
  retry_at_ = now + retry_gap_ * std::uniform_real_distribution<>(kLeast, 1.0)(random_);
}

void CoreConnections::set_state(ServerEntry::State state, double now) {
  state_ = state;
  if (state != ServerEntry::State::kReady) {
    // A set-up that waits for its connection must not go out once the connection stands (rule three).
    std::vector<std::uint64_t> waiting;
    for (auto& [id, connection] : connections_) {
      waiting.insert(waiting.end(), connection.waiting.begin(), connection.waiting.end());
      connection.waiting.clear();
    }
    for (const std::uint64_t id : waiting) end(id, Outcome::kNotSent, now);
    if (state == ServerEntry::State::kGone && idle()) {
      while (!connections_.empty()) {
        const ConnectionId id = connections_.begin()->first;
        connections_.erase(connections_.begin());
        ports_.core_connection(server_, id, ConnectionChange::kServerLeft);
        ports_.close_core(id);
      }
    }
  }
  keep_up(now);
}

void CoreConnections::moved_away(double now) {
  address_lost_ = true;
  if (any_up() == 0) dead("its address is another's", now);
}

void CoreConnections::note_serves(double now) {
  serves_ = now;
  refused_ = false;
}

// While it may be gone with calls that stand there, a new connection is begun now and then: it tells. After a
// cut it is needed though the old ones speak again: ends that the cut swallowed are repeated on a new one
// only.
double CoreConnections::probe_at() const {
  if (idle() || address_lost_) return kNever;
  if (refused_) return retry_at_;
  if (!repeats_.doubted() || standing_.empty()) return std::max(heard_ + kQuiet, retry_at_);
  double due = retry_at_;
  for (const auto& [id, connection] : connections_) {
    if (repeats_.may_settle(id)) due = std::max(due, settles_by(connection));
  }
  return due;
}

// Until then it may come up, or its first line come.
double CoreConnections::settles_by(const Connection& connection) const {
  return connection.up ? connection.up_since + kGone : connection.since + settings_.connect_s;
}

// One that the list or its address has given up, with calls that stand: it cannot be called any more, and
// silence is all that tells of its end.
double CoreConnections::silence_ends_at() const {
  const bool left = address_lost_ || state_ == ServerEntry::State::kGone;
  return left && !standing_.empty() ? spoke_ + kGone : kNever;
}

void CoreConnections::up(ConnectionId which, double now) {
  const auto found = connections_.find(which);
  if (found == connections_.end()) return;
  ports_.core_connection(server_, which, ConnectionChange::kUp);
  Connection& connection = found->second;
  connection.up = true;
  connection.up_since = now;
  heard_ = now;
  note_serves(now);
  silent_since_ = -1;
  retry_gap_ = 0;
  // Before anything new goes out: a call may be set up here again under its own id.
  for (const Owed& each : std::exchange(owed_, {})) send_release(each.id, which, now);
  for (const std::uint64_t id : std::exchange(connection.waiting, {})) {
    const auto out = out_.find(id);
    if (out == out_.end()) continue;
    connection.open.insert(id);
    out->second.written = true;
    ports_.send_to_core(which, out->second.line);
    out->second.line.clear();
  }
}

void CoreConnections::down(ConnectionId which, ConnectionLoss loss, double now) {
  const auto found = connections_.find(which);
  if (found == connections_.end()) return;
  const bool refused = loss == ConnectionLoss::kRefused;
  (refused ? counts_.refused : counts_.lost) += 1;
  ports_.core_connection(server_, which, refused ? ConnectionChange::kRefused : ConnectionChange::kLost);
  drop(which, loss, now);
}

void CoreConnections::drop(ConnectionId which, ConnectionLoss loss, double now) {
  const bool refused = loss == ConnectionLoss::kRefused;
  const auto found = connections_.find(which);
  const Connection gone = std::move(found->second);
  connections_.erase(found);
  for (const std::uint64_t id : gone.open) {
    const auto out = out_.find(id);
    if (out != out_.end()) note_unsettled(out->second.who, id, now);
  }
  // Of a retired one the server had heard, and has said its last on it.
  if (!gone.retired || loss == ConnectionLoss::kUnreadable) repeats_.doubt();
  // Nobody takes connections there, and none is open: what stood was cut with the process. While one is open
  // it may be a draining server that finishes its calls, unless it has been quiet for too long.
  const bool quiet = any_up() == 0 || now >= serves_ + kGone;
  refused_ = refused_ || refused;
  // Connections that are taken and ended without a word: something answers for a process that is not there.
  const bool wordless = gone.up && !gone.spoke && any_up() == 0 && now >= spoke_ + kGone;
  const bool process_gone = (refused && quiet) || wordless || (address_lost_ && any_up() == 0);
  if (process_gone) {
    dead(refused    ? "refused"
         : wordless ? "ends connections without a word"
                    : "its address is another's",
         now);
  } else if (refused && now >= heard_ + kQuiet) {
    give_up_attempts(now);
  }
  for (const Released& each : gone.released) {
    if (process_gone || each.at + kReleaseInDoubt <= now) continue;
    // A later attempt of the call is out here, or has made it stand: that is not to be released.
    if (out_.count(each.id) != 0 || standing_.count(each.id) != 0) continue;
    release(each.id, 0, now);
  }
  for (const std::uint64_t id : gone.open) {
    // It may stand there, unheard: whoever may hold it is told to let go.
    if (!process_gone) release(id, 0, now);
    end(id, Outcome::kReset, now);
  }
  // Written to nobody: they never ran.
  for (const std::uint64_t id : gone.waiting) end(id, Outcome::kConnectFailed, now);
  keep_up(now);
}

void CoreConnections::give_up_attempts(double now) {
  std::vector<std::uint64_t> written;
  for (const auto& [id, out] : out_) {
    if (out.written && connections_.count(out.on) != 0) written.push_back(id);
  }
  for (const std::uint64_t id : written) {
    const auto found = out_.find(id);
    if (found == out_.end()) continue;  // the end of another one made the desk give it up
    const Attempt who = found->second.who;
    give_up(id, now);
    ports_.core_ended(who, Outcome::kReset, Cause::kNone, 0, {});
  }
}

// The process is gone: its calls are cut, nothing there can be released any more, and what is still open
// leads nowhere.
void CoreConnections::dead(const char* why, double now) {
  if (!idle()) ports_.core_gone(server_, why, standing_.size());
  // Should it be there after all, it must not hold what is told over here.
  const ConnectionId last_word = any_up();
  for (const std::uint64_t id : standing_) {
    if (last_word != 0) ports_.send_to_core(last_word, write_core_release(id, kCauseNormal));
  }
  const auto closed = std::exchange(connections_, {});
  for (const auto& [id, connection] : closed) {
    ports_.core_connection(server_, id, ConnectionChange::kServerGone);
    ports_.close_core(id);
    for (const std::uint64_t setup : connection.open) {
      const auto out = out_.find(setup);
      if (out != out_.end()) note_unsettled(out->second.who, setup, now);
      end(setup, Outcome::kReset, now);
    }
  }
  owed_.clear();
  silent_since_ = -1;
  for (const std::uint64_t id : std::exchange(standing_, {})) ports_.core_over(server_, id, true, {});
  tell_runs_over();
  // Last: of those that are over now, a next attempt that waits here must not make a refusal.
  for (const auto& [id, connection] : closed) {
    for (const std::uint64_t setup : connection.waiting) end(setup, Outcome::kConnectFailed, now);
  }
}

// A call that stood there unseen has ended with the process: it is not to be set up again. Where the server
// has spoken since its release, it had that.
void CoreConnections::tell_runs_over() {
  for (const Unsettled& each : std::exchange(unsettled_, {})) {
    if (spoke_ < each.since + kReleaseInDoubt) ports_.core_run_over(each.who);
  }
}

void CoreConnections::note_unsettled(const Attempt& who, std::uint64_t id, double now) {
  if (unsettled_.size() >= kMostUnsettled) unsettled_.pop_front();
  unsettled_.push_back({who, id, now});
}

// The server has said that it holds nothing of the call's earlier attempts.
void CoreConnections::settle_attempts(std::uint64_t id) {
  unsettled_.erase(std::remove_if(unsettled_.begin(), unsettled_.end(),
                                  [id](const Unsettled& each) { return each.id == id; }),
                   unsettled_.end());
}

void CoreConnections::spoilt(ConnectionId which, const char* what, double now) {
  counts_.spoilt += 1;
  ports_.core_fault(server_, what);
  ports_.core_connection(server_, which, ConnectionChange::kUnreadable);
  ports_.close_core(which);
  drop(which, ConnectionLoss::kUnreadable, now);
}

void CoreConnections::received(ConnectionId from, std::string_view bytes, double now) {
  auto found = connections_.find(from);
  if (found == connections_.end()) return;
  heard_ = now;
  found->second.cutter.feed(bytes);
  while (found != connections_.end()) {
    const auto line = found->second.cutter.next();
    if (!line) {
      if (found->second.cutter.too_long()) spoilt(from, "a line without end", now);
      return;
    }
    spoke_ = now;
    repeats_.heard();
    if (!std::exchange(found->second.spoke, true)) {
      repeats_.first_line(from, found->second.up_since, now);
    }
    const char* why = nullptr;
    const auto message = read_core_message(*line, why);
    if (!message) return spoilt(from, why, now);
    take(from, *message, now);
    found = connections_.find(from);
  }
}

MessageOwner CoreConnections::owner(ConnectionId from, std::uint64_t id) const {
  const auto out = out_.find(id);
  // What comes on another connection than the attempt's own belongs to an earlier attempt.
  if (out != out_.end() && out->second.on == from && out->second.written) return MessageOwner::kAttempt;
  if (standing_.count(id) != 0) return MessageOwner::kStanding;
  if (connections_.at(from).given_up.count(id) != 0) return MessageOwner::kGivenUp;
  return MessageOwner::kUnknown;
}

void CoreConnections::take(ConnectionId from, const CoreMessage& message, double now) {
  using Type = CoreMessage::Type;
  switch (message.type) {
    case Type::kProgress:
    case Type::kTestResult:
      return;
    case Type::kReleased: {
      settle_attempts(message.id);
      std::deque<Released>& released = connections_.at(from).released;
      const auto heard = std::find_if(released.begin(), released.end(),
                                      [&](const Released& each) { return each.id == message.id; });
      if (heard != released.end()) released.erase(heard);
      return;
    }
    case Type::kState:
      note_serves(now);
      return ports_.core_load(server_, message.report);
    case Type::kAnswer:
      return take_answer(from, message);
    case Type::kRelease:
      return take_release(from, message, now);
  }
}

void CoreConnections::take_answer(ConnectionId from, const CoreMessage& message) {
  const MessageOwner whose = owner(from, message.id);
  ports_.core_message(server_, from, message, whose);
  switch (whose) {
    case MessageOwner::kStanding:
      counts_.doubled += 1;
      return;
    case MessageOwner::kGivenUp:
      counts_.late += 1;
      return;
    case MessageOwner::kUnknown:
      counts_.stranger += 1;
      return;
    case MessageOwner::kAttempt:
      break;
  }
  const Attempt who = out_.at(message.id).who;
  connections_.at(from).open.erase(message.id);
  out_.erase(message.id);
  standing_.insert(message.id);
  ports_.core_stood(who, message.description, message.report);
}

void CoreConnections::take_release(ConnectionId from, const CoreMessage& message, double now) {
  const MessageOwner whose = owner(from, message.id);
  ports_.core_message(server_, from, message, whose);
  Connection& connection = connections_.at(from);
  if (whose == MessageOwner::kAttempt) {
    const Attempt who = out_.at(message.id).who;
    connection.open.erase(message.id);
    out_.erase(message.id);
    const Ending ending = ending_before_answer(message.cause, message.note);
    if (ending.outcome == Outcome::kReset) release(message.id, from, now);
    return ports_.core_ended(who, ending.outcome, ending.cause, message.waited_s, message.report);
  }
  settle_attempts(message.id);
  connection.given_up.erase(message.id);
  const bool ended = message.cause == kCauseNormal;
  // Of an earlier attempt of a call that is out here again: only its end is news.
  if (whose == MessageOwner::kGivenUp || (out_.count(message.id) != 0 && !ended)) {
    return ports_.core_load(server_, message.report);
  }
  note_serves(now);
  standing_.erase(message.id);
  ports_.core_over(server_, message.id, !ended, message.report);
}

double CoreConnections::deadline() const {
  double due = kNever;
  for (const auto& [id, connection] : connections_) {
    if (!connection.up) due = std::min(due, connection.since + settings_.connect_s);
    if (connection.retired) due = std::min(due, connection.retired_at + kGone);
  }
  if (wanted()) {
    const std::size_t want = state_ == ServerEntry::State::kReady ? std::min(kKept, settings_.most) : 1;
    if (in_use() < want) due = std::min(due, retry_at_);
  }
  if (silent_since_ >= 0) due = std::min(due, heard_ + kGone);
  return std::min({due, probe_at(), silence_ends_at()});
}

void CoreConnections::tick(double now) {
  std::vector<ConnectionId> not_up;
  for (const auto& [id, connection] : connections_) {
    if (!connection.up && now >= connection.since + settings_.connect_s) not_up.push_back(id);
  }
  for (const ConnectionId id : not_up) {
    counts_.not_up += 1;
    if (silent_since_ < 0) silent_since_ = now;
    ports_.core_connection(server_, id, ConnectionChange::kNotUp);
    ports_.close_core(id);
    drop(id, ConnectionLoss::kNotUp, now);
  }
  if (silent_since_ >= 0 && now >= heard_ + kGone) dead("no connection comes up", now);
  if (now >= silence_ends_at()) dead("silent since it left the list or its address", now);
  while (!owed_.empty() && owed_.front().until <= now) owed_.pop_front();
  close_retired(now);
  keep_up(now);
  if (now < probe_at()) return;
  // Is it there at all? A new connection tells, and brings the group's state and lost ends.
  if (now >= heard_ + kQuiet) repeats_.doubt();
  if (in_use() >= std::min(kKept, settings_.most)) retire_one(now);
  if (in_use() < settings_.most) open_connection(now);
  retry_at_ = now + kRetryLongest;
}

// One without set-ups that has been spoken on: what the server says on it meanwhile is still read.
void CoreConnections::retire_one(double now) {
  for (auto& [id, connection] : connections_) {
    const bool unused = connection.open.empty() && connection.waiting.empty();
    if (!unused || !connection.up || !connection.spoke || connection.retired) continue;
    connection.retired = true;
    connection.retired_at = now;
    ports_.core_connection(server_, id, ConnectionChange::kRetired);
    return ports_.retire_core(id);
  }
}

// A server that does not close what is retired can't be heard, or does not care: few are kept for it.
void CoreConnections::close_retired(double now) {
  std::vector<ConnectionId> over;
  std::size_t kept = 0;
  for (auto it = connections_.rbegin(); it != connections_.rend(); ++it) {
    if (!it->second.retired) continue;
    kept += 1;
    if (kept > kKept || now >= it->second.retired_at + kGone) over.push_back(it->first);
  }
  for (const ConnectionId which : over) {
    ports_.core_connection(server_, which, ConnectionChange::kRetiredClosed);
    ports_.close_core(which);
    connections_.erase(which);
    repeats_.doubt_until_heard();
  }
}

}  // namespace mintrock::platform
