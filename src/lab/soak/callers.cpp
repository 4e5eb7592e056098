#include "lab/soak/callers.hpp"

#include <algorithm>
#include <sstream>
#include <utility>

#include "platform/causes.hpp"

namespace mintrock::lab::soak {
namespace {

using platform::CallerMessageType;
using platform::Parameter;

constexpr std::size_t kMaxUnsentBytes = 1 << 20;
constexpr double kIdleTimeout = 4.0;      // s
constexpr double kReconnectDelay = 0.05;  // s
// A set-up that was written this shortly before the connection's close may have crossed it.
constexpr double kCrossingTime = 0.1;    // s
constexpr double kPieceInterval = 0.01;  // s
constexpr int kTestPassed = 1;           // as the cause in a test result

std::string setup_bytes(std::uint64_t id, const std::string& service_class, double remaining_s,
                        const std::string& attributes) {
  return write_message(CallerMessageType::kSetup, id,
                       {{Parameter::kClass, service_class},
                        {Parameter::kTimeLeft, std::to_string(static_cast<int>(remaining_s * 1000))},
                        {Parameter::kCalledNumber, platform::hex_id(id)},
                        {Parameter::kAttributes, attributes},
                        {Parameter::kDescription, "offer"}});
}

}  // namespace

Callers::Callers(net::Loop& loop, RuleChecker& checker, std::size_t edge, net::Address to,
                 std::vector<CallClass> classes, const CallerBehaviour& behaviour, std::uint64_t seed)
    : loop_(loop),
      checker_(checker),
      edge_(edge),
      to_(to),
      classes_(std::move(classes)),
      behaviour_(behaviour),
      random_(seed) {
  run_after(0, [this] { tick(); });
}

Callers::~Callers() {
  *alive_ = false;
  for (auto& [id, connection] : connections_) connection.stream->close();
}

void Callers::run_after(double seconds, std::function<void()> task) {
  loop_.after(seconds, [alive = alive_, task = std::move(task)] {
    if (*alive) task();
  });
}

void Callers::tick() {
  const double now = loop_.now();
  for (auto it = connections_.begin(); it != connections_.end();) {
    const std::size_t id = it->first;
    const bool busy = std::any_of(open_setups_.begin(), open_setups_.end(),
                                  [&](const auto& each) { return each.second.connection == id; });
    const Connection& connection = it->second;
    // One connection stays open while calls are established, for the callers to be notified of their end.
    const bool keep_open = connections_.size() == 1 && !established_.empty();
    if (busy || keep_open || !connection.unsent.empty() || !connection.up ||
        now < connection.last_active + kIdleTimeout) {
      ++it;
      continue;
    }
    connection.stream->close();
    it = connections_.erase(it);
  }
  if (ready_ && calling_) place_call();
  if (ready_ && may_connect_ && connections_.empty() && !established_.empty()) connect();
  run_after(std::exponential_distribution<>(behaviour_.calls_per_s)(random_), [this] { tick(); });
}

void Callers::flood(double factor, std::size_t connections, double seconds) {
  const CallerBehaviour previous = behaviour_;
  behaviour_.calls_per_s *= factor;
  behaviour_.connections = connections;
  run_after(seconds, [this, previous] { behaviour_ = previous; });
}

void Callers::edge_started() {
  may_connect_ = true;
  connect();
}

void Callers::edge_stopped(bool planned) {
  may_connect_ = false;
  ready_ = false;
  checker_.edge_stopped(edge_, planned, loop_.now());
  open_setups_.clear();
  for (auto& [id, connection] : std::exchange(connections_, {})) {
    connection.stream->set_handlers({});
    connection.stream->close();
  }
}

std::size_t Callers::connect() {
  const std::size_t id = ++last_connection_id_;
  Connection& connection = connections_[id];
  connection.stream = net::Stream::connect(loop_, to_, kMaxUnsentBytes);
  connection.stream->set_handlers({[this, id] { on_connected(id); },
                                   [this, id](std::string_view bytes) {
                                     connections_.at(id).message_reader.feed(bytes);
                                     while (connections_.count(id) != 0) {
                                       const auto message = connections_.at(id).message_reader.next();
                                       if (!message) return;
                                       handle_message(id, *message);
                                     }
                                   },
                                   [this, id](const std::string&) { on_closed(id); }});
  return id;
}

void Callers::on_connected(std::size_t id) {
  Connection& connection = connections_.at(id);
  connection.up = true;
  connection.last_active = loop_.now();
  if (!ready_) connection.stream->write(write_message(CallerMessageType::kTest, 1, {}));
}

std::size_t Callers::pick_connection() {
  std::vector<std::size_t> free;
  for (const auto& [id, connection] : connections_) {
    if (connection.up && connection.unsent.empty()) free.push_back(id);
  }
  if (may_connect_ && connections_.size() < behaviour_.connections) connect();
  if (free.empty()) return 0;
  return free[random_() % free.size()];
}

void Callers::place_call() {
  const std::size_t connection_id = pick_connection();
  if (connection_id == 0) return;
  const std::uint64_t id = random_() | 1;
  const CallClass& call_class = classes_[random_() % classes_.size()];
  const std::string bytes = setup_bytes(id, call_class.name, call_class.deadline_s, "dest:0;width:1;via:-1");
  Connection& connection = connections_.at(connection_id);
  connection.last_active = loop_.now();
  if (draw(0, 1) < behaviour_.closed_mid_setup) {
    connection.stream->write(std::string_view(bytes).substr(0, bytes.size() / 2));
    connection.stream->close_after_flush();
    return abandon_connection(connection_id);
  }
  if (draw(0, 1) < behaviour_.sent_in_pieces)
    return send_in_pieces(connection_id, id, bytes, call_class.deadline_s);
  connection.stream->write(bytes);
  open_setups_[id] = {connection_id, loop_.now()};
  setups_sent_ += 1;
  checker_.setup_sent(id, edge_, call_class.deadline_s, loop_.now());
  const double choice = draw(0, 1);
  const double delay = draw(0.01, std::min(1.0, call_class.deadline_s));
  if (choice < behaviour_.abandoned) {
    run_after(delay, [this, id, connection_id] {
      if (open_setups_.count(id) == 0 || connections_.count(connection_id) == 0 ||
          !connections_.at(connection_id).unsent.empty())
        return;
      connections_.at(connection_id).stream->write(platform::write_release(id, platform::kCauseNormal));
      caller_left(id);
    });
  } else if (choice < behaviour_.abandoned + behaviour_.connection_reset) {
    run_after(delay, [this, id, connection_id] {
      if (open_setups_.count(id) == 0 || connections_.count(connection_id) == 0) return;
      connections_.at(connection_id).stream->reset();
      abandon_connection(connection_id);
    });
  }
}

void Callers::send_in_pieces(std::size_t connection_id, std::uint64_t id, std::string bytes,
                             double deadline_s) {
  const auto found = connections_.find(connection_id);
  if (found == connections_.end()) return;
  const std::size_t piece = std::min<std::size_t>(bytes.size(), 1 + random_() % 40);
  found->second.stream->write(std::string_view(bytes).substr(0, piece));
  found->second.unsent = bytes.substr(piece);
  if (!found->second.unsent.empty()) {
    run_after(kPieceInterval, [this, connection_id, id, unsent = found->second.unsent, deadline_s] {
      send_in_pieces(connection_id, id, unsent, deadline_s);
    });
    return;
  }
  open_setups_[id] = {connection_id, loop_.now()};
  setups_sent_ += 1;
  checker_.setup_sent(id, edge_, deadline_s, loop_.now());
}

// Forgets a connection that the callers' side has closed: the callers of its open set-ups have left.
void Callers::abandon_connection(std::size_t connection) {
  connections_.at(connection).stream->set_handlers({});
  connections_.erase(connection);
  std::vector<std::uint64_t> lost;
  for (const auto& [id, open] : open_setups_) {
    if (open.connection == connection) lost.push_back(id);
  }
  for (const std::uint64_t id : lost) caller_left(id);
}

void Callers::caller_left(std::uint64_t id) {
  open_setups_.erase(id);
  established_.erase(id);
  checker_.caller_left(id, loop_.now());
}

void Callers::handle_message(std::size_t connection, const platform::CallerMessage& message) {
  const double now = loop_.now();
  connections_.at(connection).last_active = now;
  switch (static_cast<CallerMessageType>(message.type)) {
    case CallerMessageType::kTestResult: {
      if (ready_ || read_cause(message) != kTestPassed) return;
      ready_ = true;
      for (const auto& [id, server] : established_) {
        connections_.at(connection)
            .stream->write(setup_bytes(id, classes_[0].name, classes_[0].deadline_s, "dest:0;at:" + server));
        checker_.handed_over(id, now);
      }
      return;
    }
    case CallerMessageType::kAnswer:
      return on_answer(message.call, std::string(message.find(Parameter::kDescription)));
    case CallerMessageType::kRelease: {
      if (established_.erase(message.call) != 0) return checker_.end_notified(message.call, now);
      if (open_setups_.erase(message.call) == 0)
        return;  // a second notification, or it crossed the caller's release
      const int cause = read_cause(message);
      const bool refused = cause == platform::kCauseNoCircuit || cause == platform::kCauseCongestion ||
                           cause == platform::kCauseTimer;
      return checker_.final_answer_received(message.call,
                                            refused ? FinalAnswer::kRefused : FinalAnswer::kFailed, "", now);
    }
    default:
      return;
  }
}

void Callers::on_answer(std::uint64_t id, std::string description) {
  checker_.final_answer_received(id, FinalAnswer::kServed, description, loop_.now());
  if (open_setups_.erase(id) == 0) return;
  std::istringstream words(description);
  std::string word, server;
  words >> word >> word >> server;
  established_[id] = server;
  if (draw(0, 1) >= behaviour_.hung_up) return;
  run_after(draw(0.05, 1.0), [this, id] {
    if (established_.count(id) == 0 || !ready_) return;
    const auto usable = std::find_if(connections_.begin(), connections_.end(), [](const auto& each) {
      return each.second.up && each.second.unsent.empty();
    });
    if (usable == connections_.end()) return;
    usable->second.stream->write(platform::write_release(id, platform::kCauseNormal));
    caller_left(id);
  });
}

void Callers::on_closed(std::size_t connection) {
  const double now = loop_.now();
  connections_.erase(connection);
  std::vector<std::pair<std::uint64_t, OpenSetup>> lost;
  for (const auto& each : open_setups_) {
    if (each.second.connection == connection) lost.push_back(each);
  }
  for (const auto& [id, open] : lost) {
    checker_.closed_unanswered(id, now < open.written_at + kCrossingTime, now);
    open_setups_.erase(id);
  }
  if (!ready_ && may_connect_) {
    run_after(kReconnectDelay, [this] {
      if (!ready_ && may_connect_ && connections_.empty()) connect();
    });
  }
}

}  // namespace mintrock::lab::soak
