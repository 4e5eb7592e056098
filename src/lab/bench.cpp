#include "lab/bench.hpp"

#include <signal.h>
#include <stdlib.h>
#include <sys/wait.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <limits>
#include <map>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <vector>

#include "diameter/dictionary.hpp"
#include "diameter/peer.hpp"
#include "edge/credit_control.hpp"
#include "lab/process.hpp"
#include "lab/scenario.hpp"
#include "lab/traced_connection.hpp"
#include "list/server_list.hpp"

namespace mintrock::lab {
namespace {

namespace avp = diameter::avp;
using diameter::Builder;
using diameter::MessageView;

constexpr const char* kCore = "core-0.lab.test";
// Excluded from the results: after a pause the proxy increases traffic to a server only as it answers.
constexpr double kWarmUp = 1.0;  // s
// Of the proxy's highest rate: the generator sends the same rate to the relay at the same time.
constexpr double kPairedRateShare = 0.25;

void put_u32(std::string& frame, std::size_t at, std::uint32_t value) {
  for (int i = 0; i < 4; ++i)
    frame[at + static_cast<std::size_t>(i)] = static_cast<char>(value >> (24 - 8 * i));
}

// Sends calls over one connection and ends each as soon as it is established.
class Generator {
 public:
  struct Result {
    double rate = 0;  // calls established per second
    std::uint64_t tries = 0;
    std::uint64_t refused = 0;
    std::vector<double> delays;  // s, sorted
  };

  Generator(net::Loop& loop, std::uint16_t port, std::string name) : loop_(loop), name_(std::move(name)) {
    TracedConnection::Handlers handlers;
    handlers.on_open = [this] { connection_->send(make_cer(name_, 1, 1)); };
    handlers.on_message = [this](const MessageView& view) { on_message(view); };
    handlers.on_closed = [this](const std::string& reason) {
      std::fprintf(stderr, "mintrock-lab: measured connection closed: %s\n", reason.c_str());
      loop_.stop();
    };
    connection_ =
        std::make_unique<TracedConnection>(loop_, net::Stream::connect(loop_, {0x7F000001, port}, 64 << 20),
                                           trace_, name_, 1, std::move(handlers));
    loop_.run();
    if (!ready_) throw std::runtime_error("the measured process accepts no connection");
  }

  // Closed loop: keeps `outstanding` calls in flight and measures the rate that results.
  Result run_closed_loop(std::uint32_t outstanding, double seconds) {
    begin(seconds);
    closed_loop_ = true;
    delay_by_index_.clear();
    for (std::uint32_t i = 0; i < outstanding; ++i) send_setup(loop_.now(), 0);
    return finish(seconds);
  }
  // Sends a burst at once and, from the same moment on, `rate` calls per second, without a warm-up.
  Result run_cold_start(std::uint32_t burst, double rate, double seconds) {
    begin(seconds);
    measure_from_ = loop_.now();
    measure_until_ = measure_from_ + seconds;
    closed_loop_ = false;
    delay_by_index_.clear();
    for (std::uint32_t i = 0; i < burst; ++i) send_setup(measure_from_, 0);
    std::uint64_t sent = 0;
    std::function<void()> tick = [&] {
      const auto due = [&] { return measure_from_ + static_cast<double>(sent) / rate; };
      for (; due() <= loop_.now() && due() < measure_until_; ++sent) send_setup(due(), 0);
      if (due() < measure_until_) loop_.timers().schedule(due(), tick);
    };
    tick();
    Result out = finish(seconds);
    out.tries = burst + sent;
    return out;
  }

  // Sends `rate` calls per second through each of the two generators, evenly spaced and alternating. Delays
  // are measured from the time at which a call was due, whether or not it was sent on time; otherwise calls
  // held up by a stall would be left out ("coordinated omission"). Both delays of a pair have the same index;
  // a delay is NaN if the call was refused or got no answer. Calls of the warm-up are left out.
  static std::pair<std::vector<double>, std::vector<double>> run_paired(Generator& first, Generator& second,
                                                                        double rate, double seconds) {
    net::Loop& loop = first.loop_;
    Generator* const both[] = {&first, &second};
    const double start = loop.now();
    const auto count = static_cast<std::size_t>((kWarmUp + seconds) * rate);
    for (Generator* each : both) {
      each->begin(seconds);
      each->closed_loop_ = false;
      each->delay_by_index_.assign(count, std::numeric_limits<double>::quiet_NaN());
    }
    std::size_t sent = 0;  // by both generators together
    std::function<void()> tick = [&] {
      const double now = loop.now();
      const auto due = [&] { return start + static_cast<double>(sent) / (2 * rate); };
      while (sent < 2 * count && due() <= now) {
        // Alternates which generator of a pair goes first.
        both[(sent + sent / 2) % 2]->send_setup(due(), sent / 2);
        sent += 1;
      }
      if (sent < 2 * count) loop.timers().schedule(due(), tick);
    };
    tick();
    first.finish(seconds);
    const auto warm = static_cast<std::ptrdiff_t>(kWarmUp * rate);
    std::pair<std::vector<double>, std::vector<double>> out;
    out.first.assign(first.delay_by_index_.begin() + warm, first.delay_by_index_.end());
    out.second.assign(second.delay_by_index_.begin() + warm, second.delay_by_index_.end());
    second.in_flight_.clear();
    return out;
  }

 private:
  struct InFlight {
    double sent = 0;  // or was due, in run_paired()
    std::size_t index = 0;
  };
  void begin(double seconds) {
    result_ = {};
    measure_from_ = loop_.now() + kWarmUp;
    measure_until_ = measure_from_ + seconds;
  }
  Result finish(double seconds) {
    loop_.timers().schedule(measure_until_ + 0.3, [this] { loop_.stop(); });
    loop_.run();
    result_.rate = static_cast<double>(result_.delays.size()) / seconds;
    std::sort(result_.delays.begin(), result_.delays.end());
    in_flight_.clear();
    return std::move(result_);
  }

  std::string request(const std::string& session, std::uint32_t type) {
    last_hop_by_hop_ += 1;
    Builder out = begin_call_request(name_, session, type, last_hop_by_hop_, last_hop_by_hop_);
    out.text(avp::kDestinationHost, kCore);
    if (type == diameter::kInitial) {
      out.text(avp::kCalledStationId, std::to_string(last_hop_by_hop_)).u32(avp::kServiceIdentifier, 1);
      out.u32(avp::kMaximumWaitTime, 5000);
    }
    return out.finish();
  }

  void send_setup(double sent, std::size_t index) {
    std::string session = name_ + ";" + std::to_string(++last_call_);
    const std::string frame = request(session, diameter::kInitial);
    in_flight_.emplace(std::move(session), InFlight{sent, index});
    connection_->send(frame);
  }

  void on_message(const MessageView& view) {
    if (view.header.command == diameter::kCapabilitiesExchange) {
      ready_ = true;
      return loop_.stop();
    }
    if (view.header.is_request()) {
      if (view.header.command == diameter::kDeviceWatchdog) {
        connection_->send(make_base_answer(view, name_, 1));
      }
      return;
    }
    if (edge::request_type(view) != diameter::kInitial) return;
    const std::string session = edge::session_of(view);
    const auto found = in_flight_.find(session);
    if (found == in_flight_.end()) return;
    const double now = loop_.now();
    const auto* code = view.find(avp::kResultCode.code);
    if (code != nullptr && diameter::as_u32(*code) == diameter::kSuccess) {
      if (found->second.sent >= measure_from_ && now < measure_until_)
        result_.delays.push_back(now - found->second.sent);
      if (found->second.index < delay_by_index_.size())
        delay_by_index_[found->second.index] = now - found->second.sent;
      connection_->send(request(session, diameter::kTermination));
    } else {
      result_.refused += found->second.sent >= measure_from_;
    }
    in_flight_.erase(found);
    if (closed_loop_ && now < measure_until_) send_setup(now, 0);
  }

  net::Loop& loop_;
  TraceWriter trace_{""};
  std::string name_;
  std::unique_ptr<TracedConnection> connection_;
  bool ready_ = false;
  bool closed_loop_ = false;
  double measure_from_ = 0;  // results count from this time on
  double measure_until_ = 0;
  std::uint32_t last_hop_by_hop_ = 0;
  std::uint64_t last_call_ = 0;
  std::unordered_map<std::string, InFlight> in_flight_;
  std::vector<double> delay_by_index_;
  Result result_;
};

std::string edge_config(std::uint16_t port, std::uint16_t admin, std::uint16_t unused_port,
                        const std::string& dir) {
  const auto at = [](std::uint16_t p) { return "\"127.0.0.1:" + std::to_string(p) + "\""; };
  return std::string("node: {identity: edge-0.lab.test, realm: lab.test, listen: ") + at(port) +
         ", admin: " + at(admin) + "}\nlist: {server: " + at(unused_port) + ", cache_file: \"" + dir +
         "/list.json\", reconnect: 60s}\n" +
         "classes: [{name: a, service_identifier: 1, aim: 2s, deadline: 9s}]\n"
         "rules: {release_wait: 500ms, attempt_limit: 4, max_retry_after: 2s}\n"
         "limits: {calls: 200000}\nlog: {level: error, file: \"" +
         dir + "/edge.log\"}\n";
}

// Expects sorted values.
double quantile(const std::vector<double>& values, double fraction) {
  if (values.empty()) return 0;
  const auto index = static_cast<std::size_t>(fraction * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, index)];
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace

int run_bench_core(std::uint16_t port) {
  net::Loop loop;
  TraceWriter trace("");
  std::map<std::uint64_t, std::unique_ptr<TracedConnection>> connections;
  std::uint64_t last_connection_id = 0;
  diameter::LocalNode local;
  local.host = kCore;
  local.realm = kRealm;
  net::Listener listener(loop, {0x7F000001, port}, [&](int fd, net::Address from) {
    const std::uint64_t id = ++last_connection_id;
    TracedConnection::Handlers handlers;
    handlers.on_message = [&, id](const MessageView& view) {
      if (!view.header.is_request()) return;
      const bool cer = view.header.command == diameter::kCapabilitiesExchange;
      connections.at(id)->send(cer ? make_base_answer(view, kCore, 1) : edge::write_success(view, local));
    };
    handlers.on_closed = [&, id](const std::string&) { loop.defer([&, id] { connections.erase(id); }); };
    connections[id] = std::make_unique<TracedConnection>(loop, net::Stream::adopt(loop, fd, from, 64 << 20),
                                                         trace, kCore, id, std::move(handlers));
  });
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

// Does the minimum that a relay must do: finds the message's session and destination, replaces the hop-by-hop
// id of the request by its own and restores the original one in the answer.
int run_bench_relay(std::uint16_t port, std::uint16_t core_port) {
  net::Loop loop;
  TraceWriter trace("");
  struct Route {
    std::uint64_t caller;
    std::uint32_t hop_by_hop;
    std::string session;
  };
  std::map<std::uint64_t, std::unique_ptr<TracedConnection>> callers;
  std::unordered_map<std::uint32_t, Route> routes;
  std::uint64_t last_connection_id = 0;
  std::uint32_t last_hop_by_hop = 0;
  const auto frame_of = [](const MessageView& view) {
    return std::string(view.avps.front().encoded.data() - diameter::kHeaderSize, view.header.length);
  };
  std::unique_ptr<TracedConnection> core;
  TracedConnection::Handlers from_core;
  from_core.on_open = [&] { core->send(make_cer("relay.lab.test", 1, 1)); };
  from_core.on_message = [&](const MessageView& view) {
    const auto route = routes.find(view.header.hop_by_hop);
    if (view.header.is_request() || route == routes.end()) return;
    const auto caller = callers.find(route->second.caller);
    if (caller != callers.end() && route->second.session == edge::session_of(view)) {
      std::string frame = frame_of(view);
      put_u32(frame, 12, route->second.hop_by_hop);
      caller->second->send(frame);
    }
    routes.erase(route);
  };
  from_core.on_closed = [&](const std::string&) { loop.stop(); };
  core =
      std::make_unique<TracedConnection>(loop, net::Stream::connect(loop, {0x7F000001, core_port}, 64 << 20),
                                         trace, "relay", 0, std::move(from_core));
  net::Listener listener(loop, {0x7F000001, port}, [&](int fd, net::Address from) {
    const std::uint64_t id = ++last_connection_id;
    TracedConnection::Handlers handlers;
    handlers.on_message = [&, id](const MessageView& view) {
      if (!view.header.is_request()) return;
      if (view.header.command == diameter::kCapabilitiesExchange) {
        return callers.at(id)->send(make_base_answer(view, "relay.lab.test", 1));
      }
      std::string frame = frame_of(view);
      put_u32(frame, 12, ++last_hop_by_hop);
      routes[last_hop_by_hop] = {id, view.header.hop_by_hop, edge::session_of(view)};
      core->send(frame);
    };
    handlers.on_closed = [&, id](const std::string&) { loop.defer([&, id] { callers.erase(id); }); };
    callers[id] = std::make_unique<TracedConnection>(loop, net::Stream::adopt(loop, fd, from, 64 << 20),
                                                     trace, "relay", id, std::move(handlers));
  });
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

int run_restart_bench(const BenchOptions& options) {
  const std::string dir = make_temporary_folder("mintrock-restart");
  PortFinder ports;
  const std::uint16_t core = ports.next(), unused_port = ports.next();
  mintrock::list::Update update;
  update.entries = {{kCore, "127.0.0.1:" + std::to_string(core)}};
  std::ofstream(dir + "/list.json") << mintrock::list::print_update(update);
  ChildProcesses children;
  children.spawn({"/proc/self/exe", "bench-core", "--port", std::to_string(core)});
  wait_for_port(core);
  std::printf("a proxy just started, an idle core server; the first %.0f s\n", options.seconds);
  std::printf("%8s %8s | %9s %9s %8s | %8s us\n", "calls/s", "burst", "calls", "refused", "share", "longest");
  for (const double rate : {200.0, 1000.0, 5000.0}) {
    for (const std::uint32_t burst : {0u, options.outstanding}) {
      std::uint64_t tries = 0, refused = 0;
      double longest = 0;
      for (std::uint32_t round = 0; round < options.rounds; ++round) {
        ChildProcesses proxy;
        const std::uint16_t port = ports.next(), admin = ports.next();
        std::ofstream(dir + "/edge.yaml") << edge_config(port, admin, unused_port, dir);
        proxy.spawn({options.edge_program, "--config", dir + "/edge.yaml"});
        wait_for_port(port);
        net::Loop loop;
        Generator generator(loop, port, "restart.lab.test");
        const Generator::Result out = generator.run_cold_start(burst, rate, options.seconds);
        tries += out.tries;
        refused += out.refused;
        if (!out.delays.empty()) longest = std::max(longest, out.delays.back());
      }
      std::printf("%8.0f %8u | %9llu %9llu %7.3f%% | %8.0f\n", rate, burst,
                  static_cast<unsigned long long>(tries), static_cast<unsigned long long>(refused),
                  100.0 * static_cast<double>(refused) / static_cast<double>(tries), longest * 1e6);
      std::fflush(stdout);
    }
  }
  children.stop();
  std::filesystem::remove_all(dir);
  return 0;
}

int run_bench(const BenchOptions& options) {
  const std::string dir = make_temporary_folder("mintrock-bench");
  PortFinder ports;
  const std::uint16_t core = ports.next(), relay = ports.next(), edge = ports.next(), admin = ports.next(),
                      unused_port = ports.next();
  mintrock::list::Update update;
  update.entries = {{kCore, "127.0.0.1:" + std::to_string(core)}};
  std::ofstream(dir + "/list.json") << mintrock::list::print_update(update);
  std::ofstream(dir + "/edge.yaml") << edge_config(edge, admin, unused_port, dir);
  ChildProcesses children;
  children.spawn({"/proc/self/exe", "bench-core", "--port", std::to_string(core)});
  wait_for_port(core);
  children.spawn(
      {"/proc/self/exe", "bench-relay", "--port", std::to_string(relay), "--to", std::to_string(core)});
  children.spawn({options.edge_program, "--config", dir + "/edge.yaml"});
  wait_for_port(relay);
  wait_for_port(edge);
  struct Target {
    const char* name;
    std::uint16_t port;
    std::vector<double> rates;
    std::uint64_t refused = 0;
    std::vector<double> delays;  // s, sorted
  };
  Target targets[] = {{"none", core, {}, 0, {}}, {"relay", relay, {}, 0, {}}, {"edge", edge, {}, 0, {}}};
  net::Loop loop;
  std::vector<std::unique_ptr<Generator>> generators;
  for (Target& target : targets) {
    generators.push_back(
        std::make_unique<Generator>(loop, target.port, "bench-" + std::string(target.name) + ".lab.test"));
    // The proxy increases traffic to a server only as it answers, so reach full speed before measuring.
    for (const std::uint32_t outstanding : {1u, 4u, 16u, options.outstanding})
      generators.back()->run_closed_loop(outstanding, 0.5);
  }
  for (std::uint32_t round = 0; round < options.rounds; ++round) {
    for (std::size_t i = 0; i < 3; ++i) {
      const Generator::Result result = generators[i]->run_closed_loop(options.outstanding, options.seconds);
      targets[i].rates.push_back(result.rate);
      targets[i].refused += result.refused;
    }
  }
  // Measures relay and proxy at the same time and the same rate, call by call.
  const double rate =
      options.paired_rate > 0 ? options.paired_rate : median(targets[2].rates) * kPairedRateShare;
  std::vector<double> added_delays;
  std::uint64_t unpaired = 0;
  for (std::uint32_t round = 0; round < options.rounds; ++round) {
    const auto [relayed, routed] =
        Generator::run_paired(*generators[1], *generators[2], rate, options.seconds);
    for (std::size_t i = 0; i < relayed.size(); ++i) {
      if (std::isnan(relayed[i]) || std::isnan(routed[i])) {
        unpaired += 1;
        continue;
      }
      targets[1].delays.push_back(relayed[i]);
      targets[2].delays.push_back(routed[i]);
      added_delays.push_back(routed[i] - relayed[i]);
    }
  }
  nlohmann::ordered_json json;
  std::printf("%-6s %12s %8s\n", "", "calls/s", "refused");
  for (const Target& t : targets) {
    std::printf("%-6s %12.0f %8llu\n", t.name, median(t.rates), static_cast<unsigned long long>(t.refused));
    json[t.name] = {{"calls_per_s", t.rates}, {"refused", t.refused}};
  }
  std::printf("edge over relay: %.2f of its rate\n\n", median(targets[2].rates) / median(targets[1].rates));
  std::printf(
      "paired, %.0f calls/s through each, from the intended moment of sending; %zu pairs, %llu left out\n",
      rate, added_delays.size(), static_cast<unsigned long long>(unpaired));
  std::printf("%-22s %8s %8s %8s us\n", "", "p50", "p99", "p99.9");
  json["paired"] = {{"calls_per_s", rate}, {"pairs", added_delays.size()}, {"left_out", unpaired}};
  const auto row = [&](const char* name, const char* key, std::vector<double>& values) {
    std::sort(values.begin(), values.end());
    json["paired"][key] = {{"p50_s", quantile(values, 0.5)},
                           {"p99_s", quantile(values, 0.99)},
                           {"p999_s", quantile(values, 0.999)}};
    std::printf("%-22s %8.0f %8.0f %8.0f\n", name, quantile(values, 0.5) * 1e6, quantile(values, 0.99) * 1e6,
                quantile(values, 0.999) * 1e6);
  };
  row("relay", "relay", targets[1].delays);
  row("edge", "edge", targets[2].delays);
  row("edge - relay, by pair", "added", added_delays);
  if (!options.report_file.empty()) std::ofstream(options.report_file) << json.dump(2) << "\n";
  children.stop();
  std::filesystem::remove_all(dir);
  return 0;
}

}  // namespace mintrock::lab
