#include "lab/soak/core_server.hpp"

#include <nlohmann/json.hpp>

#include "platform/caller_codec.hpp"
#include "platform/causes.hpp"

namespace mintrock::lab::soak {
namespace {

using nlohmann::json;
using platform::hex_id;

constexpr std::size_t kMaxUnsentBytes = 1 << 20;
// The number of connections of one edge proxy that get unsolicited load states.
constexpr std::size_t kMaxStateConnections = 4;
constexpr double kStateInterval = 0.5;   // s
constexpr double kMinSetupTime = 0.01;   // s
constexpr double kMaxSetupTime = 0.25;   // s
constexpr double kMinHold = 0.2;         // s
constexpr double kMaxAnswerDelay = 3.0;  // s from the end of the call until its late answer is sent
// s after a retransmission in which the loss of the connection may have lost the release again.
constexpr double kUnconfirmedFor = 1.0;
constexpr double kMaxSilence = 5.0;       // s, of a faulty link
constexpr double kAnswerLostShare = 0.3;  // share of late answers that are never sent

std::string release_line(std::uint64_t id, int cause, const std::string& note = "") {
  json fields = json::object();
  if (!note.empty()) fields["note"] = note;
  return json{{"type", "release"}, {"id", hex_id(id)}, {"fields", fields}, {"cause", cause}}.dump();
}

}  // namespace

CoreServer::CoreServer(net::Loop& loop, std::uint32_t ip, RuleChecker& checker, std::string name,
                       std::size_t edges, const CoreBehaviour& behaviour, std::uint64_t seed)
    : loop_(loop), checker_(checker), name_(std::move(name)), behaviour_(behaviour), random_(seed) {
  for (std::size_t edge = 0; edge < edges; ++edge) {
    listeners_.push_back(std::make_unique<net::Listener>(
        loop, net::Address{ip, 0}, [this, edge](int fd, net::Address from) { accept(edge, fd, from); }));
    links_.push_back(std::make_unique<FaultyLink>(loop, listeners_.back()->local()));
    links_.back()->on_line_delivered([this](std::string_view line) { on_line_delivered(line); });
  }
  run_after(kStateInterval, [this] { send_load_states(); });
}

CoreServer::~CoreServer() {
  *alive_ = false;
  for (auto& [id, connection] : connections_) connection.stream->close();
}

void CoreServer::run_after(double seconds, std::function<void()> task) {
  loop_.after(seconds, [this, alive = alive_, task = std::move(task)] {
    if (*alive && running_) run_or_queue(task);
  });
}

void CoreServer::run_or_queue(const std::function<void()>& task) {
  if (hung_) {
    queued_.push_back(task);
  } else {
    task();
  }
}

void CoreServer::hang(double seconds) {
  if (hung_ || !running_) return;
  hung_ = true;
  loop_.after(seconds, [this, alive = alive_] {
    if (!*alive || !running_) return;
    hung_ = false;
    catching_up_ = true;
    for (const auto& task : std::exchange(queued_, {})) task();
    catching_up_ = false;
  });
}

void CoreServer::crash() { stop(true); }
void CoreServer::vanish() { stop(false); }

void CoreServer::stop(bool reset_connections) {
  if (!running_) return;
  running_ = false;
  const double now = loop_.now();
  for (const auto& [key, call] : calls_) checker_.call_ended(key.second, name_, now);
  calls_.clear();
  for (const auto& link : links_) {
    if (reset_connections) {
      link->refuse(true);
      link->cut();
    } else {
      link->vanish();
    }
  }
  for (auto& [id, connection] : connections_) connection.stream->close();
  connections_.clear();
  listeners_.clear();
}

void CoreServer::accept(std::size_t edge, int fd, net::Address from) {
  const std::size_t id = ++last_connection_id_;
  Connection& connection = connections_[id];
  connection.edge = edge;
  connection.stream = net::Stream::adopt(loop_, fd, from, kMaxUnsentBytes);
  connection.stream->set_handlers({{},
                                   [this, id](std::string_view bytes) {
                                     run_or_queue([this, id, text = std::string(bytes)] {
                                       const auto found = connections_.find(id);
                                       if (found == connections_.end()) return;
                                       found->second.line_reader.feed(text);
                                       while (connections_.count(id) != 0) {
                                         const auto line = connections_.at(id).line_reader.next();
                                         if (!line) return;
                                         handle_line(id, std::string(*line));
                                       }
                                     });
                                   },
                                   [this, id](const std::string&) {
                                     drop_open_setups(id);  // also while the process hangs
                                     run_or_queue([this, id] { connection_lost(id); });
                                   }});
  run_or_queue([this, id, edge] {
    send_load_state(id);
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    for (const std::string& line : std::exchange(pending_ends_[edge], {})) {
      send(id, line);
      const double max_delay = links_[edge]->silent() ? kMaxSilence : 0;
      found->second.retransmitted.emplace_back(loop_.now() + max_delay, line);
    }
  });
}

void CoreServer::connection_lost(std::size_t connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  for (const auto& [sent_at, line] : found->second.retransmitted) {
    if (loop_.now() < sent_at + kUnconfirmedFor) pending_ends_[found->second.edge].push_back(line);
  }
  connections_.erase(found);
  drop_open_setups(connection);
}

void CoreServer::on_line_delivered(std::string_view line) {
  const char* fault = nullptr;
  const auto message = platform::read_core_message(line, fault);
  if (!message || message->type != platform::CoreMessage::Type::kRelease) return;
  checker_.release_delivered(message->id, name_, loop_.now());
}

// The close of a connection cancels the set-ups that are open on it.
void CoreServer::drop_open_setups(std::size_t connection) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (it->second.connection != connection || it->second.answered) {
      ++it;
      continue;
    }
    checker_.call_released(it->first.second, name_, loop_.now());
    it = calls_.erase(it);
  }
}

void CoreServer::send(std::size_t connection, const std::string& line) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) found->second.stream->write(line + "\n");
}

void CoreServer::send_load_state(std::size_t connection) {
  send(connection, R"({"type":"state","fields":{"load":"spare:40;total:50"}})");
}

void CoreServer::send_load_states() {
  std::map<std::size_t, std::size_t> sent;
  for (const auto& [id, connection] : connections_) {
    if (++sent[connection.edge] <= kMaxStateConnections) send_load_state(id);
  }
  run_after(kStateInterval, [this] { send_load_states(); });
}

void CoreServer::handle_line(std::size_t connection, const std::string& line) {
  const json message = json::parse(line);
  const std::uint64_t id = platform::read_hex_id(message.at("id").get<std::string>()).value_or(0);
  if (message.at("type") == "setup") return handle_setup(connection, id);
  if (message.at("type") != "release") return;
  const CallKey key{connections_.at(connection).edge, id};
  checker_.call_released(id, name_, loop_.now());
  calls_.erase(key);
  send(connection, json{{"type", "released"}, {"id", hex_id(id)}, {"fields", json::object()}}.dump());
}

CoreServer::Call* CoreServer::find(const CallKey& key, std::uint64_t serial) {
  const auto found = calls_.find(key);
  return found == calls_.end() || found->second.serial != serial ? nullptr : &found->second;
}

void CoreServer::handle_setup(std::size_t connection, std::uint64_t id) {
  const std::size_t edge = connections_.at(connection).edge;
  const CallKey key{edge, id};
  checker_.attempt_received(id, name_, catching_up_ || links_[edge]->delayed(), loop_.now());
  const std::uint64_t serial = ++last_serial_;
  calls_[key] = {serial, connection, false, false};
  double remaining = draw(0, 1);
  const auto falls_on = [&remaining](double share) {
    remaining -= share;
    return remaining < 0;
  };
  const double setup_time = draw(kMinSetupTime, kMaxSetupTime);
  if (falls_on(behaviour_.no_circuit)) {
    run_after(kMinSetupTime, [=] { refuse(key, serial, platform::kCauseNoCircuit, "cpu_full"); });
  } else if (falls_on(behaviour_.error)) {
    run_after(setup_time, [=] { refuse(key, serial, platform::kCauseUnavailable, ""); });
  } else if (falls_on(behaviour_.late_answer)) {
    run_after(setup_time, [=] { answer_late(key, serial); });
  } else if (falls_on(behaviour_.reset)) {
    run_after(setup_time, [=] {
      const auto found = connections_.find(connection);
      if (found == connections_.end()) return;
      const auto stream = found->second.stream;
      connection_lost(connection);
      stream->reset();
    });
  } else if (falls_on(behaviour_.malformed_answer)) {
    run_after(setup_time, [=] { send(connection, "\x01 noise"); });
  } else {
    const bool duplicate_answer = falls_on(behaviour_.duplicate_answer);
    const bool cut = !duplicate_answer && falls_on(behaviour_.cut);
    run_after(setup_time, [=] { answer_normally(key, serial, duplicate_answer, cut); });
  }
}

void CoreServer::refuse(const CallKey& key, std::uint64_t serial, int cause, const char* note) {
  const Call* const call = find(key, serial);
  if (call == nullptr) return;
  const std::size_t connection = call->connection;
  calls_.erase(key);
  checker_.attempt_ended(key.second, name_, loop_.now());
  send(connection, release_line(key.second, cause, note));
}

// Marks the call as established and returns the line of its answer.
std::string CoreServer::establish(const CallKey& key) {
  Call& call = calls_.at(key);
  call.established = true;
  const std::string description =
      "answer " + hex_id(key.second) + " " + name_ + " " + std::to_string(call.serial);
  checker_.call_established(key.second, name_, description, loop_.now());
  return json{
      {"type", "answer"}, {"id", hex_id(key.second)}, {"fields", json::object()}, {"sdp", description}}
      .dump();
}

void CoreServer::answer_normally(const CallKey& key, std::uint64_t serial, bool duplicate_answer, bool cut) {
  Call* const call = find(key, serial);
  if (call == nullptr) return;
  const std::string line = establish(key);
  call->answered = true;
  checker_.attempt_ended(key.second, name_, loop_.now());
  send(call->connection, line);
  if (duplicate_answer) send(call->connection, line);
  run_after(draw(kMinHold, behaviour_.max_hold_s), [=] {
    if (find(key, serial) == nullptr) return;
    end_call(key, cut ? platform::kCauseTemporaryFailure : platform::kCauseNormal);
  });
}

void CoreServer::answer_late(const CallKey& key, std::uint64_t serial) {
  if (find(key, serial) == nullptr) return;
  const std::string line = establish(key);
  const double hold = draw(kMinHold, 1.0);
  const bool answer_sent = draw(0, 1) >= kAnswerLostShare;
  const double answer_delay = draw(0, kMaxAnswerDelay);
  run_after(hold, [=] {
    const Call* const call = find(key, serial);
    if (call == nullptr) return;
    const std::size_t connection = call->connection;
    end_call(key, platform::kCauseNormal);
    if (answer_sent) run_after(answer_delay, [=] { send(connection, line); });
  });
}

void CoreServer::end_call(const CallKey& key, int cause) {
  const std::string line = release_line(key.second, cause);
  std::size_t target = calls_.at(key).connection;
  calls_.erase(key);
  if (connections_.count(target) == 0) {
    target = 0;
    for (const auto& [id, connection] : connections_) {
      if (connection.edge == key.first) target = id;
    }
  }
  checker_.call_ended(key.second, name_, loop_.now());
  send(target, line);
  pending_ends_[key.first].push_back(line);
}

}  // namespace mintrock::lab::soak
