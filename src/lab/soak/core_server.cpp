#include "lab/soak/core_server.hpp"

#include <nlohmann/json.hpp>

#include "platform/caller_codec.hpp"
#include "platform/causes.hpp"

namespace mintrock::lab::soak {
namespace {

using nlohmann::json;
using platform::hex_id;

constexpr std::size_t kMostUnsent = 1 << 20;  // bytes
constexpr std::size_t kMostStates = 4;        // connections of one edge proxy that are told the state unasked
constexpr double kStateEvery = 0.5;           // s
constexpr double kFastest = 0.01;             // s that a set-up takes
constexpr double kSlowest = 0.25;
constexpr double kShortestHold = 0.2;
constexpr double kLongestLate = 3.0;     // s after its call's end that a late answer comes
constexpr double kRepeatUnsure = 1.0;    // s in which the loss of its connection takes a repeated end along
constexpr double kLongestSilence = 5.0;  // of a fault line
constexpr double kNeverComes = 0.3;      // share of late answers

std::string release_line(std::uint64_t id, int cause, const std::string& note = "") {
  json fields = json::object();
  if (!note.empty()) fields["note"] = note;
  return json{{"type", "release"}, {"id", hex_id(id)}, {"fields", fields}, {"cause", cause}}.dump();
}

}  // namespace

CoreServer::CoreServer(net::Loop& loop, std::uint32_t ip, Ledger& ledger, std::string name, std::size_t edges,
                       const CoreBehaviour& behaviour, std::uint64_t seed)
    : loop_(loop), ledger_(ledger), name_(std::move(name)), behaviour_(behaviour), random_(seed) {
  for (std::size_t edge = 0; edge < edges; ++edge) {
    listeners_.push_back(std::make_unique<net::Listener>(
        loop, net::Address{ip, 0}, [this, edge](int fd, net::Address from) { accept(edge, fd, from); }));
    lines_.push_back(std::make_unique<FaultLine>(loop, listeners_.back()->local()));
    lines_.back()->on_line_passed([this](std::string_view line) { line_passed(line); });
  }
  later(kStateEvery, [this] { say_states(); });
}

CoreServer::~CoreServer() {
  *alive_ = false;
  for (auto& [id, connection] : connections_) connection.stream->close();
}

void CoreServer::later(double seconds, std::function<void()> what) {
  loop_.after(seconds, [this, alive = alive_, what = std::move(what)] {
    if (*alive && running_) run(what);
  });
}

void CoreServer::run(const std::function<void()>& what) {
  if (hung_) {
    held_.push_back(what);
  } else {
    what();
  }
}

void CoreServer::hang(double seconds) {
  if (hung_ || !running_) return;
  hung_ = true;
  loop_.after(seconds, [this, alive = alive_] {
    if (!*alive || !running_) return;
    hung_ = false;
    catching_up_ = true;
    for (const auto& what : std::exchange(held_, {})) what();
    catching_up_ = false;
  });
}

void CoreServer::die() { stop(true); }
void CoreServer::vanish() { stop(false); }

void CoreServer::stop(bool heard) {
  if (!running_) return;
  running_ = false;
  const double now = loop_.now();
  for (const auto& [key, call] : calls_) ledger_.over(key.second, name_, now);
  calls_.clear();
  for (const auto& line : lines_) {
    if (heard) {
      line->refuse(true);
      line->cut();
    } else {
      line->vanish();
    }
  }
  for (auto& [id, connection] : connections_) connection.stream->close();
  connections_.clear();
  listeners_.clear();
}

void CoreServer::accept(std::size_t edge, int fd, net::Address from) {
  const std::size_t id = ++last_connection_;
  Connection& connection = connections_[id];
  connection.edge = edge;
  connection.stream = net::Stream::adopt(loop_, fd, from, kMostUnsent);
  connection.stream->set_handlers({{},
                                   [this, id](std::string_view bytes) {
                                     run([this, id, text = std::string(bytes)] {
                                       const auto found = connections_.find(id);
                                       if (found == connections_.end()) return;
                                       found->second.cutter.feed(text);
                                       while (connections_.count(id) != 0) {
                                         const auto line = connections_.at(id).cutter.next();
                                         if (!line) return;
                                         take(id, std::string(*line));
                                       }
                                     });
                                   },
                                   [this, id](const std::string&) {
                                     give_up_open(id);  // whether the process runs or hangs
                                     run([this, id] { connection_lost(id); });
                                   }});
  run([this, id, edge] {
    say_state(id);
    const auto found = connections_.find(id);
    if (found == connections_.end()) return;
    for (const std::string& line : std::exchange(repeats_[edge], {})) {
      say(id, line);
      const double passes = lines_[edge]->silent() ? kLongestSilence : 0;
      found->second.repeated.emplace_back(loop_.now() + passes, line);
    }
  });
}

void CoreServer::connection_lost(std::size_t connection) {
  const auto found = connections_.find(connection);
  if (found == connections_.end()) return;
  for (const auto& [at, line] : found->second.repeated) {
    if (loop_.now() < at + kRepeatUnsure) repeats_[found->second.edge].push_back(line);
  }
  connections_.erase(found);
  give_up_open(connection);
}

void CoreServer::line_passed(std::string_view line) {
  const char* fault = nullptr;
  const auto message = platform::read_core_message(line, fault);
  if (!message || message->type != platform::CoreMessage::Type::kRelease) return;
  ledger_.release_passed(message->id, name_, loop_.now());
}

// Closing a connection gives up the set-ups open on it.
void CoreServer::give_up_open(std::size_t connection) {
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (it->second.connection != connection || it->second.answered) {
      ++it;
      continue;
    }
    ledger_.let_go(it->first.second, name_, loop_.now());
    it = calls_.erase(it);
  }
}

void CoreServer::say(std::size_t connection, const std::string& line) {
  const auto found = connections_.find(connection);
  if (found != connections_.end()) found->second.stream->write(line + "\n");
}

void CoreServer::say_state(std::size_t connection) {
  say(connection, R"({"type":"state","fields":{"load":"spare:40;total:50"}})");
}

void CoreServer::say_states() {
  std::map<std::size_t, std::size_t> told;
  for (const auto& [id, connection] : connections_) {
    if (++told[connection.edge] <= kMostStates) say_state(id);
  }
  later(kStateEvery, [this] { say_states(); });
}

void CoreServer::take(std::size_t connection, const std::string& line) {
  const json message = json::parse(line);
  const std::uint64_t id = platform::read_hex_id(message.at("id").get<std::string>()).value_or(0);
  if (message.at("type") == "setup") return set_up(connection, id);
  if (message.at("type") != "release") return;
  const CallKey key{connections_.at(connection).edge, id};
  ledger_.let_go(id, name_, loop_.now());
  calls_.erase(key);
  say(connection, json{{"type", "released"}, {"id", hex_id(id)}, {"fields", json::object()}}.dump());
}

CoreServer::Call* CoreServer::find(const CallKey& key, std::uint64_t serial) {
  const auto found = calls_.find(key);
  return found == calls_.end() || found->second.serial != serial ? nullptr : &found->second;
}

void CoreServer::set_up(std::size_t connection, std::uint64_t id) {
  const std::size_t edge = connections_.at(connection).edge;
  const CallKey key{edge, id};
  ledger_.attempt(id, name_, catching_up_ || lines_[edge]->delayed(), loop_.now());
  const std::uint64_t serial = ++last_serial_;
  calls_[key] = {serial, connection, false, false};
  double left = draw(0, 1);
  const auto falls = [&left](double share) {
    left -= share;
    return left < 0;
  };
  const double takes = draw(kFastest, kSlowest);
  if (falls(behaviour_.full)) {
    later(kFastest, [=] { refuse(key, serial, platform::kCauseNoCircuit, "cpu_full"); });
  } else if (falls(behaviour_.error)) {
    later(takes, [=] { refuse(key, serial, platform::kCauseUnavailable, ""); });
  } else if (falls(behaviour_.late_answer)) {
    later(takes, [=] { answer_late(key, serial); });
  } else if (falls(behaviour_.reset)) {
    later(takes, [=] {
      const auto found = connections_.find(connection);
      if (found == connections_.end()) return;
      const auto stream = found->second.stream;
      connection_lost(connection);
      stream->reset();
    });
  } else if (falls(behaviour_.unreadable)) {
    later(takes, [=] { say(connection, "\x01 noise"); });
  } else {
    const bool doubled = falls(behaviour_.doubled);
    const bool cut = !doubled && falls(behaviour_.cut);
    later(takes, [=] { answer_well(key, serial, doubled, cut); });
  }
}

void CoreServer::refuse(const CallKey& key, std::uint64_t serial, int cause, const char* note) {
  const Call* const call = find(key, serial);
  if (call == nullptr) return;
  const std::size_t connection = call->connection;
  calls_.erase(key);
  ledger_.attempt_over(key.second, name_, loop_.now());
  say(connection, release_line(key.second, cause, note));
}

// The call stands from now on; its answer.
std::string CoreServer::stand(const CallKey& key) {
  Call& call = calls_.at(key);
  call.stands = true;
  const std::string description =
      "answer " + hex_id(key.second) + " " + name_ + " " + std::to_string(call.serial);
  ledger_.stands(key.second, name_, description, loop_.now());
  return json{
      {"type", "answer"}, {"id", hex_id(key.second)}, {"fields", json::object()}, {"sdp", description}}
      .dump();
}

void CoreServer::answer_well(const CallKey& key, std::uint64_t serial, bool doubled, bool cut) {
  Call* const call = find(key, serial);
  if (call == nullptr) return;
  const std::string line = stand(key);
  call->answered = true;
  ledger_.attempt_over(key.second, name_, loop_.now());
  say(call->connection, line);
  if (doubled) say(call->connection, line);
  later(draw(kShortestHold, behaviour_.longest_hold_s), [=] {
    if (find(key, serial) == nullptr) return;
    end_call(key, cut ? platform::kCauseTemporaryFailure : platform::kCauseNormal);
  });
}

void CoreServer::answer_late(const CallKey& key, std::uint64_t serial) {
  if (find(key, serial) == nullptr) return;
  const std::string line = stand(key);
  const double holds = draw(kShortestHold, 1.0);
  const bool comes = draw(0, 1) >= kNeverComes;
  const double late = draw(0, kLongestLate);
  later(holds, [=] {
    const Call* const call = find(key, serial);
    if (call == nullptr) return;
    const std::size_t connection = call->connection;
    end_call(key, platform::kCauseNormal);
    if (comes) later(late, [=] { say(connection, line); });
  });
}

void CoreServer::end_call(const CallKey& key, int cause) {
  const std::string line = release_line(key.second, cause);
  std::size_t on = calls_.at(key).connection;
  calls_.erase(key);
  if (connections_.count(on) == 0) {
    on = 0;
    for (const auto& [id, connection] : connections_) {
      if (connection.edge == key.first) on = id;
    }
  }
  ledger_.over(key.second, name_, loop_.now());
  say(on, line);
  repeats_[key.first].push_back(line);
}

}  // namespace mintrock::lab::soak
