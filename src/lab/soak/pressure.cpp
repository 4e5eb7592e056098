#include "lab/soak/pressure.hpp"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "lab/process.hpp"
#include "lab/soak/discovery.hpp"
#include "lab/soak/edge_process.hpp"
#include "net/loop.hpp"
#include "platform/caller_codec.hpp"
#include "platform/core_codec.hpp"

namespace mintrock::lab::soak {
namespace {

using nlohmann::json;
using platform::CallerMessageType;
using platform::Parameter;

constexpr std::size_t kMaxUnsentBytes = 64 << 20;
constexpr std::size_t kLargeDescription = 15000;  // bytes
constexpr double kGoodInterval = 0.1;             // s between the set-ups of one good client
constexpr std::size_t kGoodClients = 10;
constexpr const char* kClassName = "status";

struct PressureOptions {
  std::string edge_program;
  std::string load = "large-setups";
  std::size_t clients = 60;
  double seconds = 10;
  std::size_t memory_mb = 32;
  std::size_t sockets = 256;
};

std::string setup(std::uint64_t id, const std::string& description,
                  const std::string& service_class = kClassName,
                  const std::string& attributes = "dest:0;width:1;via:-1") {
  return write_message(CallerMessageType::kSetup, id,
                       {{Parameter::kClass, service_class},
                        {Parameter::kTimeLeft, "3000"},
                        {Parameter::kCalledNumber, platform::hex_id(id)},
                        {Parameter::kAttributes, attributes},
                        {Parameter::kDescription, description}});
}

// A core server that answers each set-up at once, with a description as long as the set-up's, and ends the
// call two seconds later.
class AnsweringCore {
 public:
  AnsweringCore(net::Loop& loop, std::uint32_t ip)
      : loop_(loop),
        listener_(loop, net::Address{ip, 0}, [this](int fd, net::Address from) { accept(fd, from); }) {
    send_states();
  }
  net::Address address() const { return listener_.local(); }
  std::uint64_t setups() const { return setups_; }

 private:
  struct Connection {
    std::shared_ptr<net::Stream> stream;
    platform::LineSplitter lines;
  };
  void accept(int fd, net::Address from) {
    const std::size_t id = ++last_id_;
    Connection& connection = connections_[id];
    connection.stream = net::Stream::adopt(loop_, fd, from, kMaxUnsentBytes);
    connection.stream->set_handlers({{},
                                     [this, id](std::string_view bytes) {
                                       platform::LineSplitter& lines = connections_.at(id).lines;
                                       lines.feed(bytes);
                                       while (const auto line = lines.next()) handle(id, json::parse(*line));
                                     },
                                     [this, id](const std::string&) { connections_.erase(id); }});
    send(id, {{"type", "state"}, {"fields", {{"load", "spare:1000;total:1000"}}}});
  }
  void handle(std::size_t connection, const json& message) {
    if (message["type"] == "release")
      return send(connection, {{"type", "released"}, {"id", message["id"]}, {"fields", json::object()}});
    if (message["type"] != "setup") return;
    setups_ += 1;
    send(connection, {{"type", "answer"},
                      {"id", message["id"]},
                      {"fields", json::object()},
                      {"sdp", message.value("sdp", "answer")}});
    loop_.after(2, [this, connection, id = message["id"]] {
      send(connection, {{"type", "release"}, {"id", id}, {"fields", json::object()}, {"cause", 16}});
    });
  }
  void send(std::size_t connection, const json& line) {
    const auto found = connections_.find(connection);
    if (found != connections_.end()) found->second.stream->write(line.dump() + "\n");
  }
  void send_states() {
    for (const auto& [id, connection] : connections_)
      send(id, {{"type", "state"}, {"fields", {{"load", "spare:1000;total:1000"}}}});
    loop_.after(0.5, [this] { send_states(); });
  }
  net::Loop& loop_;
  std::map<std::size_t, Connection> connections_;
  std::size_t last_id_ = 0;
  std::uint64_t setups_ = 0;
  net::Listener listener_;
};

// An event bus that writes without end: a head of many short lines, or one event.
class EndlessBus {
 public:
  EndlessBus(net::Loop& loop, std::uint32_t ip, std::string begin, std::string repeated)
      : loop_(loop),
        repeated_(std::move(repeated)),
        listener_(loop, net::Address{ip, 0}, [this, begin = std::move(begin)](int fd, net::Address from) {
          streams_.push_back(net::Stream::adopt(loop_, fd, from, kMaxUnsentBytes));
          streams_.back()->set_handlers({});
          streams_.back()->write(begin);
        }) {
    fill();
  }
  ~EndlessBus() { loop_.timers().cancel(timer_); }
  net::Address address() const { return listener_.local(); }

 private:
  void fill() {
    constexpr std::size_t kBatch = 256 << 10;  // bytes
    for (const auto& stream : streams_) {
      while (stream->is_open() && stream->unsent() < kBatch) stream->write(repeated_);
    }
    timer_ = loop_.after(0.001, [this] { fill(); });
  }
  net::Loop& loop_;
  net::TimerId timer_ = 0;
  std::string repeated_;
  std::vector<std::shared_ptr<net::Stream>> streams_;
  net::Listener listener_;
};

// ---- Loads, each in a process of its own ----

// Writes messages from `next` on each connection as fast as it takes them, and reads what comes if `reads`.
void flood(net::Loop& loop, const net::Address& to, std::size_t clients, bool reads,
           const std::function<std::string()>& next) {
  constexpr std::size_t kBatch = 64 << 10;  // bytes
  std::vector<std::shared_ptr<net::Stream>> streams(clients);
  const std::function<void(std::size_t)> open = [&](std::size_t i) {
    streams[i] = net::Stream::connect(loop, to, kMaxUnsentBytes);
    streams[i]->set_handlers({[&, i] { streams[i]->pause_reading(!reads); }, [](std::string_view) {},
                              [&, i](const std::string&) { loop.after(0.01, [&, i] { open(i); }); }});
  };
  for (std::size_t i = 0; i < clients; ++i) open(i);
  const std::function<void()> fill = [&] {
    for (const auto& stream : streams) {
      std::string batch;
      while (stream->is_open() && stream->unsent() + batch.size() < kBatch) batch += next();
      if (!batch.empty()) stream->write(batch);
    }
    loop.after(0.001, fill);
  };
  fill();
  loop.run();
}

// A set-up filled up to the longest message with parameters that have no value.
std::string short_parameters(std::uint64_t id) {
  constexpr std::size_t kCount = 5300;  // of 3 bytes
  constexpr Parameter kUnknown{200};
  return write_message(CallerMessageType::kSetup, id,
                       std::vector<std::pair<Parameter, std::string>>(kCount, {kUnknown, ""}));
}

void run_load(const PressureOptions& options, const net::Address& to) {
  net::Loop loop;
  std::uint64_t id = 0x7000000000000000;
  const std::string large(kLargeDescription, 'x');
  const std::string& load = options.load;
  const auto sized = [&](bool reads, const std::function<std::string()>& next) {
    flood(loop, to, options.clients, reads, next);
  };
  if (load == "large-setups") return sized(true, [&] { return setup(++id, large); });
  if (load == "large-setups-unread") return sized(false, [&] { return setup(++id, large); });
  if (load == "tests") return sized(true, [&] { return write_message(CallerMessageType::kTest, 1, {}); });
  if (load == "small-setups") return sized(true, [&] { return setup(++id, "offer"); });
  if (load == "new-classes")
    return sized(true, [&] {
      id += 1;
      return setup(id, "offer", "class-" + std::to_string(id));
    });
  if (load == "releases") return sized(true, [&] { return platform::write_release(++id, 16); });
  if (load == "unknown-messages")
    return sized(true, [&] { return write_message(static_cast<CallerMessageType>(99), ++id, {}); });
  if (load == "reported-calls")
    return sized(true, [&] { return setup(++id, "offer", kClassName, "at:s-1"); });
  if (load == "reported-at-new-servers")
    return sized(true, [&] {
      id += 1;
      return setup(id, "offer", kClassName, "at:s-" + std::to_string(id));
    });
  if (load == "short-parameters") return sized(true, [&] { return short_parameters(++id); });
  if (load == "half-sent") {
    const std::string whole = setup(1, large + std::string(1200, 'x'));
    std::vector<std::shared_ptr<net::Stream>> streams;
    for (std::size_t i = 0; i < options.clients; ++i) {
      streams.push_back(net::Stream::connect(loop, to, kMaxUnsentBytes));
      streams.back()->set_handlers(
          {[&, i] { streams[i]->write(whole.substr(0, whole.size() - 1)); }, {}, {}});
    }
    return loop.run();
  }
  throw std::runtime_error("unknown load " + load);
}

// ---- The measurement ----

class Measurement {
 public:
  explicit Measurement(const PressureOptions& options)
      : options_(options), ip_(loopback_for_process(getpid())), core_(loop_, ip_), discovery_(loop_, ip_) {
    listen_ = {ip_, PortFinder(ip_).next()};
  }
  ~Measurement() {
    if (load_ <= 0) return;
    kill(load_, SIGKILL);
    waitpid(load_, nullptr, 0);
  }

  int run() {
    const std::string dir = make_temporary_folder("mintrock-pressure");
    EdgeProcess edge(options_.edge_program, dir, "n0");
    edge.start(config());
    for (std::size_t i = 0; i < kGoodClients; ++i) connect(i);
    run_for(1.5);
    delays_.clear();
    asked_ = answered_ = 0;
    for (std::size_t i = 0; i < kGoodClients; ++i) ask(i);
    run_for(options_.seconds);
    report("without", edge);
    if (options_.load == "bus-event") {
      move_bus(edge, "HTTP/1.1 200 OK\r\n\r\nid: 2\ndata: ", std::string(16 << 10, 'x'));
    } else if (options_.load == "bus-head") {
      move_bus(edge, "HTTP/1.1 200 OK\r\n", "a:b\r\n");
    } else {
      start_load();
    }
    run_for(options_.seconds);
    report("with", edge);
    bus_.reset();
    if (load_ > 0) {
      kill(load_, SIGKILL);
      waitpid(std::exchange(load_, 0), nullptr, 0);
    }
    run_for(5);
    report("after", edge);
    const bool exited = edge.poll_exit().has_value();
    const std::size_t peak = status_kb(edge, "VmHWM:");
    std::printf("%s %zu clients: peak %.1f MB of %zu%s\n", options_.load.c_str(), options_.clients,
                static_cast<double>(peak) / 1024, options_.memory_mb, exited ? ", EXITED" : "");
    return exited || peak > options_.memory_mb * 1024 ? 1 : 0;
  }

 private:
  void start_load() {
    load_ = fork();
    if (load_ != 0) return;
    run_load(options_, listen_);
    _exit(1);
  }
  // Names a bus in the configuration that writes without end.
  void move_bus(const EdgeProcess& edge, const std::string& begin, const std::string& repeated) {
    bus_ = std::make_unique<EndlessBus>(loop_, ip_, begin, repeated);
    json moved = config();
    moved["bus"] = bus_->address().str();
    edge.write_config(moved.dump());
    edge.signal(SIGHUP);
  }
  json config() {
    const json classes = {{{"deadline_s", 3},
                           {"effect", "repeatable"},
                           {"goal_time_s", 1},
                           {"name", kClassName},
                           {"value", 1}}};
    return {{"bus", discovery_.address().str()},
            {"known", discovery_.start({{"s-1", core_.address(), "SERVING"}})},
            {"limits", {{"cores", 0.3}, {"memory_mb", options_.memory_mb}, {"sockets", options_.sockets}}},
            {"listen", listen_.str()},
            {"name", "n0"},
            {"seed", "1"},
            {"settings",
             {{"classes", classes},
              {"domain", {{"clear_wait_s", 0.5}}},
              {"fleet_size", 1},
              {"limits",
               {{"connect_timeout_s", 0.5},
                {"try_limit", 3},
                {"retry_after", true},
                {"max_retry_after_s", 2},
                {"open_cap", 20000}}},
              {"load_info", {{"fields", {"spare", "total"}}}},
              {"rules", {{"fall_s", 1}, {"overload_factor", 3}, {"start_capacity", 0.5}, {"warm_up_s", 10}}},
              {"skus", {"small"}}}}};
  }
  void connect(std::size_t i) {
    parsers_[i] = {};
    streams_[i] = net::Stream::connect(loop_, listen_, kMaxUnsentBytes);
    streams_[i]->set_handlers({{},
                               [this, i](std::string_view bytes) {
                                 parsers_[i].feed(bytes);
                                 while (const auto message = parsers_[i].next())
                                   on_answer(i, message->type, message->call);
                               },
                               [this, i](const std::string&) {
                                 closed_ += 1;
                                 loop_.after(0.02, [this, i] { connect(i); });
                               }});
  }
  void ask(std::size_t i) {
    asked_ += 1;
    const std::uint64_t id = ++last_id_;
    asked_at_[id] = loop_.now();
    streams_[i]->write(setup(id, "offer"));
    loop_.after(kGoodInterval, [this, i] { ask(i); });
  }
  void on_answer(std::size_t i, int type, std::uint64_t id) {
    if (type == static_cast<int>(CallerMessageType::kRelease))
      streams_[i]->write(write_message(CallerMessageType::kReleased, id, {}));
    const auto found = asked_at_.find(id);
    if (found == asked_at_.end()) return;
    answered_ += 1;
    if (type == static_cast<int>(CallerMessageType::kAnswer)) served_ += 1;
    delays_.push_back(loop_.now() - found->second);
    asked_at_.erase(found);
  }
  void run_for(double seconds) {
    loop_.after(seconds, [this] { loop_.stop(); });
    loop_.run();
  }
  static std::size_t status_kb(const EdgeProcess& edge, const std::string& field) {
    std::ifstream status("/proc/" + std::to_string(edge.pid()) + "/status");
    std::string word;
    std::size_t value = 0;
    while (status >> word) {
      if (word == field && status >> value) return value;
    }
    return 0;
  }
  void report(const char* name, const EdgeProcess& edge) {
    std::sort(delays_.begin(), delays_.end());
    const auto quantile = [&](double q) {
      return delays_.empty()
                 ? 0.0
                 : 1000 * delays_[static_cast<std::size_t>(q * static_cast<double>(delays_.size() - 1))];
    };
    std::printf(
        "  %-8s asked %zu answered %zu served %zu closed %zu, p50 %.1f ms p99 %.1f ms p99.9 %.1f ms; "
        "resident %.1f MB, peak %.1f MB; %llu set-ups at the core server\n",
        name, asked_, answered_, served_, closed_, quantile(0.5), quantile(0.99), quantile(0.999),
        static_cast<double>(status_kb(edge, "VmRSS:")) / 1024,
        static_cast<double>(status_kb(edge, "VmHWM:")) / 1024,
        static_cast<unsigned long long>(core_.setups()));
    std::fflush(stdout);
    delays_.clear();
    asked_ = answered_ = served_ = closed_ = 0;
  }

  PressureOptions options_;
  net::Loop loop_;
  std::uint32_t ip_;
  AnsweringCore core_;
  Discovery discovery_;
  net::Address listen_;
  std::unique_ptr<EndlessBus> bus_;
  pid_t load_ = 0;
  std::map<std::size_t, std::shared_ptr<net::Stream>> streams_;
  std::map<std::size_t, platform::MessageParser> parsers_;
  std::map<std::uint64_t, double> asked_at_;
  std::vector<double> delays_;
  std::uint64_t last_id_ = 0;
  std::size_t asked_ = 0, answered_ = 0, served_ = 0, closed_ = 0;
};

}  // namespace

void add_pressure_command(CLI::App& app, const std::string& edge_program, int& status) {
  const auto options = std::make_shared<PressureOptions>();
  options->edge_program = edge_program;
  CLI::App* const command = app.add_subcommand(
      "pressure", "measures an edge proxy in platform mode beside clients that send at full speed");
  command->add_option("--edge", options->edge_program, "path of the mintrock-edge program to run");
  command->add_option(
      "--load", options->load,
      "large-setups, large-setups-unread, half-sent, tests, small-setups, new-classes, releases, "
      "unknown-messages, reported-calls, reported-at-new-servers, short-parameters, bus-event or bus-head");
  command->add_option("--clients", options->clients, "number of connections of the load")
      ->check(CLI::Range(1, 1000));
  command->add_option("--seconds", options->seconds, "duration without and with the load")
      ->check(CLI::Range(1.0, 600.0));
  command->add_option("--memory-mb", options->memory_mb, "memory limit told to the proxy")
      ->check(CLI::Range(8, 4096));
  command->add_option("--sockets", options->sockets, "descriptor limit told to the proxy")
      ->check(CLI::Range(64, 4096));
  command->callback([options, &status] { status = std::max(status, Measurement(*options).run()); });
}

}  // namespace mintrock::lab::soak
