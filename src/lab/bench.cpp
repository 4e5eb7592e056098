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
#include "lab/line.hpp"
#include "lab/process.hpp"
#include "lab/scenario.hpp"
#include "list/server_list.hpp"

namespace mintrock::lab {
namespace {

namespace avp = diameter::avp;
using diameter::Builder;
using diameter::MessageView;

constexpr const char* kCore = "core-0.lab.test";
// Not counted: after a pause the proxy lets traffic to a server grow only as it answers.
constexpr double kWarmUp = 1.0;  // s
// Of the proxy's own most: the generator sends as much to the relay besides.
constexpr double kPairedShare = 0.25;

void put_u32(std::string& frame, std::size_t at, std::uint32_t value) {
  for (int i = 0; i < 4; ++i)
    frame[at + static_cast<std::size_t>(i)] = static_cast<char>(value >> (24 - 8 * i));
}

// Sends calls over one connection: set up, and ended as soon as they stand.
class Generator {
 public:
  struct Result {
    double rate = 0;  // calls that stood, a second
    std::uint64_t tries = 0;
    std::uint64_t refused = 0;
    std::vector<double> delays;  // s, sorted
  };

  Generator(net::Loop& loop, std::uint16_t port, std::string name) : loop_(loop), name_(std::move(name)) {
    Line::Handlers handlers;
    handlers.on_open = [this] { line_->send(make_cer(name_, 1, 1)); };
    handlers.on_message = [this](const MessageView& view) { message(view); };
    handlers.on_closed = [this](const std::string& why) {
      std::fprintf(stderr, "mintrock-lab: connection of the measurement closed: %s\n", why.c_str());
      loop_.stop();
    };
    line_ = std::make_unique<Line>(loop_, net::Stream::connect(loop_, {0x7F000001, port}, 64 << 20), trace_,
                                   name_, 1, std::move(handlers));
    loop_.run();
    if (!ready_) throw std::runtime_error("the measured part takes no connection");
  }

  // As many calls as can be with so many at once.
  Result closed(std::uint32_t outstanding, double seconds) {
    begin(seconds);
    closed_ = true;
    by_place_.clear();
    for (std::uint32_t i = 0; i < outstanding; ++i) dial(loop_.now(), 0);
    return finish(seconds);
  }
  // A burst at once, then so many calls a second from the first moment on: what a proxy just started refuses.
  Result from_nothing(std::uint32_t burst, double rate, double seconds) {
    begin(seconds);
    counted_ = loop_.now();
    until_ = counted_ + seconds;
    closed_ = false;
    by_place_.clear();
    for (std::uint32_t i = 0; i < burst; ++i) dial(counted_, 0);
    std::uint64_t sent = 0;
    std::function<void()> tick = [&] {
      const auto due = [&] { return counted_ + static_cast<double>(sent) / rate; };
      for (; due() <= loop_.now() && due() < until_; ++sent) dial(due(), 0);
      if (due() < until_) loop_.timers().at(due(), tick);
    };
    tick();
    Result out = finish(seconds);
    out.tries = burst + sent;
    return out;
  }

  // So many calls a second through each of the two, evenly spaced and in turns, for so long. Delays are
  // counted from the moment at which a call was to be sent, whether or not the sender came to it in time:
  // else what a stall holds up is left out ("coordinated omission"). The delays of a pair stand at one place;
  // NaN: refused, unanswered, or of the time before it counts.
  static std::pair<std::vector<double>, std::vector<double>> paired(Generator& one, Generator& other,
                                                                    double rate, double seconds) {
    net::Loop& loop = one.loop_;
    Generator* const both[] = {&one, &other};
    const double start = loop.now();
    const auto count = static_cast<std::size_t>((kWarmUp + seconds) * rate);
    for (Generator* each : both) {
      each->begin(seconds);
      each->closed_ = false;
      each->by_place_.assign(count, std::numeric_limits<double>::quiet_NaN());
    }
    std::size_t sent = 0;  // of both together
    std::function<void()> tick = [&] {
      const double now = loop.now();
      const auto due = [&] { return start + static_cast<double>(sent) / (2 * rate); };
      while (sent < 2 * count && due() <= now) {
        // Who of the two goes first changes with each pair.
        both[(sent + sent / 2) % 2]->dial(due(), sent / 2);
        sent += 1;
      }
      if (sent < 2 * count) loop.timers().at(due(), tick);
    };
    tick();
    one.finish(seconds);
    const auto warm = static_cast<std::ptrdiff_t>(kWarmUp * rate);
    std::pair<std::vector<double>, std::vector<double>> out;
    out.first.assign(one.by_place_.begin() + warm, one.by_place_.end());
    out.second.assign(other.by_place_.begin() + warm, other.by_place_.end());
    other.open_.clear();
    return out;
  }

 private:
  struct Open {
    double sent = 0;  // or was to be
    std::size_t place = 0;
  };
  void begin(double seconds) {
    result_ = {};
    counted_ = loop_.now() + kWarmUp;
    until_ = counted_ + seconds;
  }
  Result finish(double seconds) {
    loop_.timers().at(until_ + 0.3, [this] { loop_.stop(); });
    loop_.run();
    result_.rate = static_cast<double>(result_.delays.size()) / seconds;
    std::sort(result_.delays.begin(), result_.delays.end());
    open_.clear();
    return std::move(result_);
  }

  std::string request(const std::string& session, std::uint32_t type) {
    hop_ += 1;
    Builder out = begin_call_request(name_, session, type, hop_, hop_);
    out.text(avp::kDestinationHost, kCore);
    if (type == diameter::kInitial) {
      out.text(avp::kCalledStationId, std::to_string(hop_)).u32(avp::kServiceIdentifier, 1);
      out.u32(avp::kMaximumWaitTime, 5000);
    }
    return out.finish();
  }

  void dial(double sent, std::size_t place) {
    std::string session = name_ + ";" + std::to_string(++calls_);
    const std::string frame = request(session, diameter::kInitial);
    open_.emplace(std::move(session), Open{sent, place});
    line_->send(frame);
  }

  void message(const MessageView& view) {
    if (view.header.command == diameter::kCapabilitiesExchange) {
      ready_ = true;
      return loop_.stop();
    }
    if (view.header.is_request()) {
      if (view.header.command == diameter::kDeviceWatchdog) {
        line_->send(answer_base(view, name_, 1));
      }
      return;
    }
    if (edge::request_type(view) != diameter::kInitial) return;
    const std::string session = edge::session_of(view);
    const auto found = open_.find(session);
    if (found == open_.end()) return;
    const double now = loop_.now();
    const auto* code = view.find(avp::kResultCode.code);
    if (code != nullptr && diameter::as_u32(*code) == diameter::kSuccess) {
      if (found->second.sent >= counted_ && now < until_) result_.delays.push_back(now - found->second.sent);
      if (found->second.place < by_place_.size()) by_place_[found->second.place] = now - found->second.sent;
      line_->send(request(session, diameter::kTermination));
    } else {
      result_.refused += found->second.sent >= counted_;
    }
    open_.erase(found);
    if (closed_ && now < until_) dial(now, 0);
  }

  net::Loop& loop_;
  TraceWriter trace_{""};
  std::string name_;
  std::unique_ptr<Line> line_;
  bool ready_ = false;
  bool closed_ = false;
  double counted_ = 0;  // from here on
  double until_ = 0;
  std::uint32_t hop_ = 0;
  std::uint64_t calls_ = 0;
  std::unordered_map<std::string, Open> open_;
  std::vector<double> by_place_;
  Result result_;
};

std::string edge_config(std::uint16_t port, std::uint16_t admin, std::uint16_t nobody,
                        const std::string& dir) {
  const auto at = [](std::uint16_t p) { return "\"127.0.0.1:" + std::to_string(p) + "\""; };
  return std::string("node: {identity: edge-0.lab.test, realm: lab.test, listen: ") + at(port) +
         ", admin: " + at(admin) + "}\nlist: {server: " + at(nobody) + ", cache_file: \"" + dir +
         "/list.json\", reconnect: 60s}\n" +
         "classes: [{name: a, service_identifier: 1, aim: 2s, deadline: 9s}]\n"
         "rules: {release_wait: 500ms, attempt_limit: 4, max_retry_after: 2s}\n"
         "limits: {calls: 200000}\nlog: {level: error, file: \"" +
         dir + "/edge.log\"}\n";
}

// Of sorted values.
double quantile(const std::vector<double>& values, double share) {
  if (values.empty()) return 0;
  const auto place = static_cast<std::size_t>(share * static_cast<double>(values.size()));
  return values[std::min(values.size() - 1, place)];
}

double median(std::vector<double> values) {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

}  // namespace

int run_bench_core(std::uint16_t port) {
  net::Loop loop;
  TraceWriter trace("");
  std::map<std::uint64_t, std::unique_ptr<Line>> lines;
  std::uint64_t last = 0;
  diameter::LocalNode local;
  local.host = kCore;
  local.realm = kRealm;
  net::Listener listener(loop, {0x7F000001, port}, [&](int fd, net::Address from) {
    const std::uint64_t id = ++last;
    Line::Handlers handlers;
    handlers.on_message = [&, id](const MessageView& view) {
      if (!view.header.is_request()) return;
      const bool cer = view.header.command == diameter::kCapabilitiesExchange;
      lines.at(id)->send(cer ? answer_base(view, kCore, 1) : edge::write_success(view, local));
    };
    handlers.on_closed = [&, id](const std::string&) { loop.defer([&, id] { lines.erase(id); }); };
    lines[id] = std::make_unique<Line>(loop, net::Stream::adopt(loop, fd, from, 64 << 20), trace, kCore, id,
                                       std::move(handlers));
  });
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

// The least that a relay must do: find the message's session and where it goes, give it an id of its own on
// the way there, and the first one back on the way here.
int run_bench_relay(std::uint16_t port, std::uint16_t to) {
  net::Loop loop;
  TraceWriter trace("");
  struct Way {
    std::uint64_t line;
    std::uint32_t hop_by_hop;
    std::string session;
  };
  std::map<std::uint64_t, std::unique_ptr<Line>> callers;
  std::unordered_map<std::uint32_t, Way> ways;
  std::uint64_t last = 0;
  std::uint32_t hop = 0;
  const auto frame_of = [](const MessageView& view) {
    return std::string(view.avps.front().encoded.data() - diameter::kHeaderSize, view.header.length);
  };
  std::unique_ptr<Line> core;
  Line::Handlers from_core;
  from_core.on_open = [&] { core->send(make_cer("relay.lab.test", 1, 1)); };
  from_core.on_message = [&](const MessageView& view) {
    const auto way = ways.find(view.header.hop_by_hop);
    if (view.header.is_request() || way == ways.end()) return;
    const auto caller = callers.find(way->second.line);
    if (caller != callers.end() && way->second.session == edge::session_of(view)) {
      std::string frame = frame_of(view);
      put_u32(frame, 12, way->second.hop_by_hop);
      caller->second->send(frame);
    }
    ways.erase(way);
  };
  from_core.on_closed = [&](const std::string&) { loop.stop(); };
  core = std::make_unique<Line>(loop, net::Stream::connect(loop, {0x7F000001, to}, 64 << 20), trace, "relay",
                                0, std::move(from_core));
  net::Listener listener(loop, {0x7F000001, port}, [&](int fd, net::Address from) {
    const std::uint64_t id = ++last;
    Line::Handlers handlers;
    handlers.on_message = [&, id](const MessageView& view) {
      if (!view.header.is_request()) return;
      if (view.header.command == diameter::kCapabilitiesExchange) {
        return callers.at(id)->send(answer_base(view, "relay.lab.test", 1));
      }
      std::string frame = frame_of(view);
      put_u32(frame, 12, ++hop);
      ways[hop] = {id, view.header.hop_by_hop, edge::session_of(view)};
      core->send(frame);
    };
    handlers.on_closed = [&, id](const std::string&) { loop.defer([&, id] { callers.erase(id); }); };
    callers[id] = std::make_unique<Line>(loop, net::Stream::adopt(loop, fd, from, 64 << 20), trace, "relay",
                                         id, std::move(handlers));
  });
  loop.on_signal(SIGTERM, [&] { loop.stop(); });
  loop.run();
  return 0;
}

int run_restart(const BenchOptions& options) {
  const std::string dir = make_temporary_folder("mintrock-restart");
  PortFinder ports;
  const std::uint16_t core = ports.next(), nobody = ports.next();
  mintrock::list::Update news;
  news.entries = {{kCore, "127.0.0.1:" + std::to_string(core)}};
  std::ofstream(dir + "/list.json") << mintrock::list::print_update(news);
  Children children;
  children.spawn({"/proc/self/exe", "bench-core", "--port", std::to_string(core)});
  wait_for_port(core);
  std::printf("a proxy just started, an idle core server; the first %.0f s\n", options.seconds);
  std::printf("%8s %8s | %9s %9s %8s | %8s us\n", "calls/s", "burst", "calls", "refused", "share", "longest");
  for (const double rate : {200.0, 1000.0, 5000.0}) {
    for (const std::uint32_t burst : {0u, options.outstanding}) {
      std::uint64_t tries = 0, refused = 0;
      double longest = 0;
      for (std::uint32_t round = 0; round < options.rounds; ++round) {
        Children proxy;
        const std::uint16_t port = ports.next(), admin = ports.next();
        std::ofstream(dir + "/edge.yaml") << edge_config(port, admin, nobody, dir);
        proxy.spawn({options.edge_program, "--config", dir + "/edge.yaml"});
        wait_for_port(port);
        net::Loop loop;
        Generator generator(loop, port, "restart.lab.test");
        const Generator::Result out = generator.from_nothing(burst, rate, options.seconds);
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
                      nobody = ports.next();
  mintrock::list::Update news;
  news.entries = {{kCore, "127.0.0.1:" + std::to_string(core)}};
  std::ofstream(dir + "/list.json") << mintrock::list::print_update(news);
  std::ofstream(dir + "/edge.yaml") << edge_config(edge, admin, nobody, dir);
  Children children;
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
    // The proxy lets traffic to a server grow as it answers: up to speed before anything counts.
    for (const std::uint32_t some : {1u, 4u, 16u, options.outstanding}) generators.back()->closed(some, 0.5);
  }
  for (std::uint32_t round = 0; round < options.rounds; ++round) {
    for (std::size_t i = 0; i < 3; ++i) {
      const Generator::Result best = generators[i]->closed(options.outstanding, options.seconds);
      targets[i].rates.push_back(best.rate);
      targets[i].refused += best.refused;
    }
  }
  // Relay and proxy at the same time and the same rate, call by call.
  const double rate = options.rate > 0 ? options.rate : median(targets[2].rates) * kPairedShare;
  std::vector<double> added;
  std::uint64_t unpaired = 0;
  for (std::uint32_t round = 0; round < options.rounds; ++round) {
    const auto [relayed, routed] = Generator::paired(*generators[1], *generators[2], rate, options.seconds);
    for (std::size_t i = 0; i < relayed.size(); ++i) {
      if (std::isnan(relayed[i]) || std::isnan(routed[i])) {
        unpaired += 1;
        continue;
      }
      targets[1].delays.push_back(relayed[i]);
      targets[2].delays.push_back(routed[i]);
      added.push_back(routed[i] - relayed[i]);
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
      rate, added.size(), static_cast<unsigned long long>(unpaired));
  std::printf("%-22s %8s %8s %8s us\n", "", "p50", "p99", "p99.9");
  json["paired"] = {{"calls_per_s", rate}, {"pairs", added.size()}, {"left_out", unpaired}};
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
  row("edge - relay, by pair", "added", added);
  if (!options.report.empty()) std::ofstream(options.report) << json.dump(2) << "\n";
  children.stop();
  std::filesystem::remove_all(dir);
  return 0;
}

}  // namespace mintrock::lab
