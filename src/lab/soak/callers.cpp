#include "lab/soak/callers.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "platform/causes.hpp"

namespace mintrock::lab::soak {
namespace {

using platform::CallerType;
using platform::Parameter;

constexpr std::size_t kMostUnsent = 1 << 20;  // bytes
constexpr double kIdleCloses = 4.0;           // s
constexpr double kConnectAgain = 0.05;        // s
// A set-up that was written this short a time before its connection's end may have crossed it.
constexpr double kCrossing = 0.1;     // s
constexpr double kPieceEvery = 0.01;  // s
constexpr int kTestPassed = 1;        // the cause of a test's result

std::string setup_bytes(std::uint64_t id, const std::string& service_class, double left_s,
                        const std::string& figures) {
  return write_message(CallerType::kSetup, id,
                       {{Parameter::kClass, service_class},
                        {Parameter::kLeft, std::to_string(static_cast<int>(left_s * 1000))},
                        {Parameter::kNumber, platform::hex_id(id)},
                        {Parameter::kFigures, figures},
                        {Parameter::kDescription, "offer"}});
}

}  // namespace

Callers::Callers(net::Loop& loop, Ledger& ledger, std::size_t edge, net::Address to,
                 std::vector<CallClass> classes, const CallerHabits& habits, std::uint64_t seed)
    : loop_(loop),
      ledger_(ledger),
      edge_(edge),
      to_(to),
      classes_(std::move(classes)),
      habits_(habits),
      random_(seed) {
  later(0, [this] { tick(); });
}

Callers::~Callers() {
  *alive_ = false;
  for (auto& [id, connection] : connections_) connection.stream->close();
}

void Callers::later(double seconds, std::function<void()> what) {
  loop_.after(seconds, [alive = alive_, what = std::move(what)] {
    if (*alive) what();
  });
}

void Callers::tick() {
  const double now = loop_.now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    const std::size_t id = it->first;
    const bool busy = std::any_of(open_.begin(), open_.end(),
                                  [&](const auto& each) { return each.second.connection == id; });
    const Connection& connection = it->second;
    // A caller whose call stands does not go without hearing of its end: one connection is left.
    const bool last = connections_.size() == 1 && !standing_.empty();
    if (busy || last || !connection.rest.empty() || !connection.up || now < connection.active + kIdleCloses) {
      ++it;
      continue;
    }
    connection.stream->close();
    it = connections_.erase(it);
  }
  if (ready_ && calling_) call();
  if (ready_ && may_connect_ && connections_.empty() && !standing_.empty()) connect();
  later(std::exponential_distribution<>(habits_.calls_per_s)(random_), [this] { tick(); });
}

void Callers::crowd(double times, std::size_t connections, double seconds) {
  const CallerHabits usual = habits_;
  habits_.calls_per_s *= times;
  habits_.connections = connections;
  later(seconds, [this, usual] { habits_ = usual; });
}

void Callers::edge_started() {
  may_connect_ = true;
  connect();
}

void Callers::edge_stopped(bool planned) {
  may_connect_ = false;
  ready_ = false;
  ledger_.edge_stopped(edge_, planned, loop_.now());
  open_.clear();
  for (auto& [id, connection] : std::exchange(connections_, {})) {
    connection.stream->set_handlers({});
    connection.stream->close();
  }
}

std::size_t Callers::connect() {
  const std::size_t id = ++last_connection_;
  Connection& connection = connections_[id];
  connection.stream = net::Stream::connect(loop_, to_, kMostUnsent);
  connection.stream->set_handlers({[this, id] { connected(id); },
                                   [this, id](std::string_view bytes) {
                                     connections_.at(id).cutter.feed(bytes);
                                     while (connections_.count(id) != 0) {
                                       const auto message = connections_.at(id).cutter.next();
                                       if (!message) return;
                                       take(id, *message);
                                     }
                                   },
                                   [this, id](const std::string&) { closed(id); }});
  return id;
}

void Callers::connected(std::size_t id) {
  Connection& connection = connections_.at(id);
  connection.up = true;
  connection.active = loop_.now();
  if (!ready_) connection.stream->write(write_message(CallerType::kTest, 1, {}));
}

std::size_t Callers::usable_connection() {
  std::vector<std::size_t> free;
  for (const auto& [id, connection] : connections_) {
    if (connection.up && connection.rest.empty()) free.push_back(id);
  }
  if (may_connect_ && connections_.size() < habits_.connections) connect();
  if (free.empty()) return 0;
  return free[random_() % free.size()];
}

void Callers::call() {
  const std::size_t on = usable_connection();
  if (on == 0) return;
  const std::uint64_t id = random_() | 1;
  const CallClass& kind = classes_[random_() % classes_.size()];
  const std::string bytes = setup_bytes(id, kind.name, kind.deadline_s, "dest:0;width:1;via:-1");
  Connection& connection = connections_.at(on);
  connection.active = loop_.now();
  if (draw(0, 1) < habits_.half_closed) {
    connection.stream->write(std::string_view(bytes).substr(0, bytes.size() / 2));
    connection.stream->close_after_flush();
    return abandon(on);
  }
  if (draw(0, 1) < habits_.in_pieces) return write_in_pieces(on, id, bytes, kind.deadline_s);
  connection.stream->write(bytes);
  open_[id] = {on, loop_.now()};
  taken_ += 1;
  ledger_.taken(id, edge_, kind.deadline_s, loop_.now());
  const double what = draw(0, 1);
  const double when = draw(0.01, std::min(1.0, kind.deadline_s));
  if (what < habits_.gives_up) {
    later(when, [this, id, on] {
      if (open_.count(id) == 0 || connections_.count(on) == 0 || !connections_.at(on).rest.empty()) return;
      connections_.at(on).stream->write(platform::write_release(id, platform::kCauseNormal));
      leave(id);
    });
  } else if (what < habits_.gives_up + habits_.resets) {
    later(when, [this, id, on] {
      if (open_.count(id) == 0 || connections_.count(on) == 0) return;
      connections_.at(on).stream->reset();
      abandon(on);
    });
  }
}

void Callers::write_in_pieces(std::size_t on, std::uint64_t id, std::string bytes, double waits_s) {
  const auto found = connections_.find(on);
  if (found == connections_.end()) return;
  const std::size_t piece = std::min<std::size_t>(bytes.size(), 1 + random_() % 40);
  found->second.stream->write(std::string_view(bytes).substr(0, piece));
  found->second.rest = bytes.substr(piece);
  if (!found->second.rest.empty()) {
    later(kPieceEvery,
          [this, on, id, rest = found->second.rest, waits_s] { write_in_pieces(on, id, rest, waits_s); });
    return;
  }
  open_[id] = {on, loop_.now()};
  taken_ += 1;
  ledger_.taken(id, edge_, waits_s, loop_.now());
}

// Closed from here: the callers whose set-ups are open on it have left with it.
void Callers::abandon(std::size_t connection) {
  connections_.at(connection).stream->set_handlers({});
  connections_.erase(connection);
  std::vector<std::uint64_t> gone;
  for (const auto& [id, open] : open_) {
    if (open.connection == connection) gone.push_back(id);
  }
  for (const std::uint64_t id : gone) leave(id);
}

void Callers::leave(std::uint64_t id) {
  open_.erase(id);
  standing_.erase(id);
  ledger_.caller_left(id, loop_.now());
}

void Callers::take(std::size_t connection, const platform::CallerMessage& message) {
  const double now = loop_.now();
  connections_.at(connection).active = now;
  switch (static_cast<CallerType>(message.type)) {
    case CallerType::kTestResult: {
      if (ready_ || read_cause(message) != kTestPassed) return;
      ready_ = true;
      for (const auto& [id, server] : standing_) {
        connections_.at(connection)
            .stream->write(setup_bytes(id, classes_[0].name, classes_[0].deadline_s, "dest:0;at:" + server));
        ledger_.handed_over(id, now);
      }
      return;
    }
    case CallerType::kAnswer:
      return answered(message.call, std::string(message.find(Parameter::kDescription)));
    case CallerType::kRelease: {
      if (standing_.erase(message.call) != 0) return ledger_.told_over(message.call, now);
      if (open_.erase(message.call) == 0) return;  // told over twice, or it crossed
      const int cause = read_cause(message);
      const bool refused = cause == platform::kCauseNoCircuit || cause == platform::kCauseCongestion ||
                           cause == platform::kCauseTimer;
      return ledger_.answered(message.call, refused ? FinalAnswer::kRefused : FinalAnswer::kFailed, "", now);
    }
    default:
      return;
  }
}

void Callers::answered(std::uint64_t id, std::string description) {
  ledger_.answered(id, FinalAnswer::kServed, description, loop_.now());
  if (open_.erase(id) == 0) return;
  std::istringstream words(description);
  std::string word, server;
  words >> word >> word >> server;
  standing_[id] = server;
  if (draw(0, 1) >= habits_.hangs_up) return;
  later(draw(0.05, 1.0), [this, id] {
    if (standing_.count(id) == 0 || !ready_) return;
    const auto up = std::find_if(connections_.begin(), connections_.end(),
                                 [](const auto& each) { return each.second.up && each.second.rest.empty(); });
    if (up == connections_.end()) return;
    up->second.stream->write(platform::write_release(id, platform::kCauseNormal));
    leave(id);
  });
}

void Callers::closed(std::size_t connection) {
  const double now = loop_.now();
  connections_.erase(connection);
  std::vector<std::pair<std::uint64_t, Open>> gone;
  for (const auto& each : open_) {
    if (each.second.connection == connection) gone.push_back(each);
  }
  for (const auto& [id, open] : gone) {
    ledger_.closed_unanswered(id, now < open.written + kCrossing, now);
    open_.erase(id);
  }
  if (!ready_ && may_connect_) {
    later(kConnectAgain, [this] {
      if (!ready_ && may_connect_ && connections_.empty()) connect();
    });
  }
}

}  // namespace mintrock::lab::soak
