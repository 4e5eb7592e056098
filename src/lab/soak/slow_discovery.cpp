#include "lab/soak/slow_discovery.hpp"

#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <nlohmann/json.hpp>
#include <vector>

#include "lab/process.hpp"
#include "lab/soak/discovery.hpp"
#include "lab/soak/discovery_crowd.hpp"
#include "lab/soak/edge_process.hpp"
#include "net/loop.hpp"

namespace mintrock::lab::soak {
namespace {

using nlohmann::json;

constexpr double kTroubleAt = 2.5;     // s from the start of the proxies
constexpr double kPublishDelay = 0.5;  // s from the begin of the trouble to the change
constexpr double kWatched = 14;        // s from the begin of the trouble
constexpr double kSlack = 0.3;         // s
constexpr double kOutage = 2;          // s
constexpr std::size_t kMaxUnsentBytes = 1 << 20;

enum class Trouble { kNone, kStart, kMove, kBreak, kStop, kOutage };

struct Kind {
  const char* name;
  Trouble trouble;
  double bound_s;  // from the begin of the trouble; it is the platform's, for when a change counts as told
  ResponsePace pace;
};

// The bounds: at once on an open subscription, 2 s after a break, 4 s after a stop or SIGHUP, 6 s after
// discovery could be reached again after a failed call.
std::vector<Kind> all_kinds() {
  const auto pace = [](double ResponsePace::*member, double value) {
    ResponsePace out;
    out.*member = value;
    return out;
  };
  ResponsePace forgetful;
  forgetful.forgotten = 1;
  ResponsePace serial = pace(&ResponsePace::service_time_s, 1.0);
  const auto delay = [&](double s) { return pace(&ResponsePace::delay_s, s); };
  return {
      {"prompt, moved", Trouble::kMove, 4, {}},
      {"answers after 1 s, moved", Trouble::kMove, 4, delay(1)},
      {"answers after 3 s, moved", Trouble::kMove, 4, delay(3)},
      {"answers after 3.9 s, moved", Trouble::kMove, 4, delay(3.9)},
      {"read 3 s late, moved", Trouble::kMove, 4, pace(&ResponsePace::read_delay_s, 3)},
      {"head byte by byte over 3 s, moved", Trouble::kMove, 4, pace(&ResponsePace::head_duration_s, 3)},
      {"head at once, then nothing for 3 s, moved", Trouble::kMove, 4,
       pace(&ResponsePace::first_comment_delay_s, 3)},
      {"each event in pieces over 3 s, moved", Trouble::kMove, 4, pace(&ResponsePace::event_duration_s, 3)},
      {"one request a second, moved", Trouble::kMove, 4, serial},
      {"five requests a second, moved", Trouble::kMove, 4, pace(&ResponsePace::service_time_s, 0.2)},
      {"forgets the first request, moved", Trouble::kMove, 4, forgetful},
      {"comments every 3 s", Trouble::kNone, 0, pace(&ResponsePace::comment_interval_s, 3)},
      {"answers after 3 s from the start on", Trouble::kStart, 4, delay(3)},
      {"breaks, then prompt", Trouble::kBreak, 2, {}},
      {"breaks, then answers after 1 s", Trouble::kBreak, 2, delay(1)},
      {"breaks, then answers after 3 s", Trouble::kBreak, 2, delay(3)},
      {"breaks, then forgets a request", Trouble::kBreak, 2, forgetful},
      {"stops, then prompt", Trouble::kStop, 4, {}},
      {"stops, then answers after 1 s", Trouble::kStop, 4, delay(1)},
      {"stops, then answers after 3 s", Trouble::kStop, 6, delay(3)},  // the call that stopped is given up
      {"stops, then forgets a request", Trouble::kStop, 4, forgetful},
      {"down for 2 s, then answers after 3 s", Trouble::kOutage, kOutage + 6, delay(3)},
  };
}

// One kind of slowness, with one discovery service for all of its proxies.
class Trial {
 public:
  Trial(net::Loop& loop, std::uint32_t ip, PortFinder& ports, const Kind& kind, std::size_t edges,
        const std::string& program, const std::string& dir)
      : loop_(loop), kind_(kind), discovery_(loop, ip), first_(loop, ip), second_(loop, ip) {
    if (kind.trouble == Trouble::kNone || kind.trouble == Trouble::kStart) discovery_.set_pace(kind.pace);
    const json known = discovery_.start({{"s-1", first_.address(), "SERVING"}});
    for (std::size_t i = 0; i < edges; ++i) {
      listens_.push_back({ip, ports.next()});
      edges_.push_back(std::make_unique<EdgeProcess>(program, dir, "n" + std::to_string(i)));
      configs_.push_back(config(known, listens_.back(), i));
      edges_.back()->start(configs_.back());
    }
    loop_.after(kind.trouble == Trouble::kStart ? 0 : kTroubleAt, [this] { begin_trouble(); });
  }

  // Prints one row; returns whether every proxy learned of the change in time.
  bool report() const {
    double last = 0;
    std::size_t heard = 0;
    for (const auto& each : edges_) {
      const double at = learned_at(*each);
      if (at < 0) continue;
      heard += 1;
      last = std::max(last, at);
    }
    const double due = std::max(kind_.bound_s, client_at_ < 0 ? 0 : client_at_);
    const bool in_time = heard == edges_.size() && last <= due + kSlack;
    std::printf("%-42s | %6.2f | %6.2f | %5.2f | %3zu of %zu | %4zu | %s\n", kind_.name, client_at_, last,
                kind_.bound_s, heard, edges_.size(), requests_ - client_requests_,
                in_time ? "in time" : "LATE");
    return in_time;
  }
  void finish() { requests_ = discovery_.requests() - requests_before_; }

 private:
  // A core server that accepts connections and says nothing.
  class SilentCore {
   public:
    SilentCore(net::Loop& loop, std::uint32_t ip)
        : listener_(loop, net::Address{ip, 0}, [this, &loop](int fd, net::Address from) {
            streams_.push_back(net::Stream::adopt(loop, fd, from, kMaxUnsentBytes));
            streams_.back()->set_handlers({});
          }) {}
    net::Address address() const { return listener_.local(); }

   private:
    std::vector<std::shared_ptr<net::Stream>> streams_;
    net::Listener listener_;
  };

  json config(const json& known, const net::Address& listen, std::size_t number) const {
    return {{"bus", discovery_.address().str()},
            {"known", known},
            {"limits", {{"cores", 0.3}, {"memory_mb", 32}, {"sockets", 256}}},
            {"listen", listen.str()},
            {"name", "n" + std::to_string(number)},
            {"seed", std::to_string(number + 1)},
            {"settings",
             {{"classes",
               {{{"deadline_s", 3},
                 {"effect", "repeatable"},
                 {"goal_time_s", 1},
                 {"name", "status"},
                 {"value", 1}}}},
              {"fleet_size", 1},
              {"limits", {{"connect_timeout_s", 0.5}, {"try_limit", 3}}},
              {"rules", {{"fall_s", 1}, {"overload_factor", 3}, {"start_capacity", 0.5}, {"warm_up_s", 10}}},
              {"skus", {"small"}}}}};
  }
  void begin_trouble() {
    began_wall_ = net::wall_now();
    began_ = loop_.now();
    requests_before_ = kind_.trouble == Trouble::kStart ? 0 : discovery_.requests();
    discovery_.set_pace(kind_.pace);
    switch (kind_.trouble) {
      case Trouble::kMove:
        discovery_.change_address();
        for (std::size_t i = 0; i < edges_.size(); ++i) {
          configs_[i]["bus"] = discovery_.address().str();
          edges_[i]->write_config(configs_[i].dump());
          edges_[i]->signal(SIGHUP);
        }
        break;
      case Trouble::kBreak:
        discovery_.break_connections();
        break;
      case Trouble::kStop:
        discovery_.go_silent();
        break;
      case Trouble::kOutage:
        discovery_.set_down(true);
        loop_.after(kOutage, [this] {
          discovery_.set_down(false);
          connect_client();
        });
        break;
      case Trouble::kNone:
      case Trouble::kStart:
        break;
    }
    // A forgotten request is to be a proxy's; the client then has no part in it.
    if (kind_.trouble != Trouble::kOutage && kind_.pace.forgotten == 0)
      loop_.after(0.02, [this] { connect_client(); });
    const double delay = kind_.trouble == Trouble::kNone ? kWatched / 2 : kPublishDelay;
    loop_.after(delay, [this] {
      discovery_.publish({{"s-2", second_.address(), "SERVING"}});
      if (kind_.trouble != Trouble::kNone) return;
      began_wall_ = net::wall_now();
      began_ = loop_.now();
    });
  }
  // A client that waits for its answer, to see when discovery tells.
  void connect_client() {
    client_requests_ = 1;
    client_ = net::Stream::connect(loop_, discovery_.address(), kMaxUnsentBytes);
    client_->set_handlers({[this] { client_->write("GET /bus/read HTTP/1.1\r\nLast-Event-ID: 1\r\n\r\n"); },
                           [this](std::string_view bytes) {
                             client_text_ += bytes;
                             const std::size_t event = client_text_.find("s-2");
                             if (client_at_ < 0 && event != std::string::npos &&
                                 client_text_.find("\n\n", event) != std::string::npos)
                               client_at_ = loop_.now() - began_;
                           },
                           {}});
  }
  // s from the begin of the trouble until the proxy's log tells of the change; negative: not at all.
  double learned_at(const EdgeProcess& edge) const {
    const double at = edge.logged_at(R"("event":"list","revision":"2")");
    return at <= 0 ? -1 : at - began_wall_;
  }

  net::Loop& loop_;
  Kind kind_;
  Discovery discovery_;
  SilentCore first_;
  SilentCore second_;
  std::vector<net::Address> listens_;
  std::vector<std::unique_ptr<EdgeProcess>> edges_;
  std::vector<json> configs_;
  std::shared_ptr<net::Stream> client_;
  std::string client_text_;
  double client_at_ = -1;
  double began_ = 0;
  double began_wall_ = 0;
  std::size_t requests_before_ = 0;
  std::size_t requests_ = 0;
  std::size_t client_requests_ = 0;
};

struct CommandLine {
  std::string edge_program;
  std::string kind;
  std::size_t edges = 1;
  bool simulate = false;
};

int measure(const CommandLine& line) {
  net::Loop loop;
  const std::uint32_t ip = loopback_for_process(getpid());
  PortFinder ports(ip);
  std::vector<std::unique_ptr<Trial>> trials;
  for (const Kind& kind : all_kinds()) {
    if (std::string(kind.name).find(line.kind) == std::string::npos) continue;
    trials.push_back(std::make_unique<Trial>(loop, ip, ports, kind, line.edges, line.edge_program,
                                             make_temporary_folder("mintrock-slow-discovery")));
  }
  loop.after(kTroubleAt + kWatched, [&] { loop.stop(); });
  loop.run();
  std::printf("%-42s | %6s | %6s | %5s | %s | %s\n", "discovery", "client", "proxy", "bound", "proxies",
              "requests");
  bool in_time = true;
  for (const auto& trial : trials) {
    trial->finish();
    in_time = trial->report() && in_time;
  }
  return in_time ? 0 : 1;
}

void print_crowds() {
  std::printf("proxies | served a second | moves | policy   | requests | subscribed | last after\n");
  for (const std::size_t moves : {1u, 3u}) {
    for (const std::size_t proxies : {1u, 20u, 300u}) {
      for (const double rate : {1.0, 10.0, 100.0}) {
        for (const LatePolicy policy : {LatePolicy::kGiveUp, LatePolicy::kReplace}) {
          Crowd crowd;
          crowd.proxies = proxies;
          crowd.requests_per_s = rate;
          crowd.moves = moves;
          crowd.policy = policy;
          const CrowdReport report = simulate(crowd);
          std::printf("%7zu | %15.0f | %5zu | %-8s | %8zu | %10zu | %8.2f s\n", proxies, rate, moves,
                      policy == LatePolicy::kGiveUp ? "give up" : "replace", report.requests,
                      report.subscribed, report.last_subscribed_s);
        }
      }
    }
  }
}

}  // namespace

void add_slow_discovery_command(CLI::App& app, const std::string& edge_program, int& status) {
  const auto line = std::make_shared<CommandLine>();
  line->edge_program = edge_program;
  CLI::App* const command = app.add_subcommand(
      "slow-discovery", "measures when edge proxies in platform mode hear a slow discovery service");
  command->add_option("--edge", line->edge_program, "path of the mintrock-edge program to run");
  command->add_option("--edges", line->edges, "number of proxies at each discovery service")
      ->check(CLI::Range(1, 40));
  command->add_option("--kind", line->kind, "only the kinds whose names contain this text");
  command->add_flag("--simulate", line->simulate,
                    "simulates fleets at a service that serves one request after another");
  command->callback([line, &status] {
    if (line->simulate) return print_crowds();
    status = std::max(status, measure(*line));
  });
}

}  // namespace mintrock::lab::soak
