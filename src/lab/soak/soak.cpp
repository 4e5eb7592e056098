#include "lab/soak/soak.hpp"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <exception>
#include <fstream>
#include <functional>
#include <iterator>
#include <memory>
#include <random>
#include <utility>

#include "lab/process.hpp"
#include "lab/soak/discovery.hpp"
#include "lab/soak/edge_process.hpp"

namespace mintrock::lab::soak {
namespace {

using nlohmann::json;

constexpr double kLook = 0.05;             // s between two looks at processes and the ledger
constexpr double kLongestWait = 11;        // s for what is open at the end: 8 s and their slack
constexpr double kLongestShutdown = 3;     // s that count of the longest deadline
constexpr double kKillAfter = 0.7;         // s more until SIGKILL
constexpr double kConnectsOn = 0.3;        // s after SIGTERM that new connections still come
constexpr double kToldLate = 6.0;          // s until a change counts as told while discovery has faults
constexpr double kBegins = 0.8;            // s until the first trouble
constexpr std::size_t kSocketLimit = 512;  // descriptors of an edge proxy
constexpr std::size_t kCrowdConnections = kSocketLimit / 3;  // callers hold no more
constexpr double kReplacedAfter = 0.8;                       // s until the list tells that a server has gone

class Trial {
 public:
  explicit Trial(const Options& options);
  Report run();

 private:
  struct Edge {
    std::string name;
    net::Address listen;
    std::unique_ptr<EdgeProcess> process;
    std::unique_ptr<Discovery> discovery;
    std::unique_ptr<Callers> callers;
    bool ending = false;  // told to, or killed
    bool planned = false;
    std::uint64_t life = 0;
  };
  struct Server {
    std::unique_ptr<CoreServer> process;
    std::string health = "SERVING";
    std::int64_t born_ms = 0;
  };

  double draw(double least, double most) { return std::uniform_real_distribution<>(least, most)(random_); }
  std::size_t pick(std::size_t below) { return random_() % below; }
  void note(const std::string& what);
  void later(double seconds, std::function<void()> what) { loop_.after(seconds, std::move(what)); }
  json config(Edge& edge, const json& known) const;
  std::vector<Host> hosts(const Edge& edge) const;
  Host host(const Server& server, std::size_t edge) const;
  void add_server(bool late);
  void tell(const Server& server);
  void start_edge(std::size_t edge);
  void replace_ended();
  // Does what may throw StartError from within the loop; such an error ends the trial.
  void guarded(const std::function<void()>& what);
  void look();
  void trouble();
  void shut_down(std::size_t edge);
  void kill_edge(std::size_t edge);
  void reload(std::size_t edge, int times);
  void trouble_core_server();
  void replace(Server& server);
  void draw_dense_troubles();
  void signal_series();
  void signal_again(std::size_t edge, int times);
  void crowd();
  double draw_dense(double least, double most) {
    return std::uniform_real_distribution<>(least, most)(dense_random_);
  }
  void trouble_network();
  void trouble_discovery();
  std::vector<Server*> serving();

  Options options_;
  net::Loop loop_;
  std::uint32_t ip_ = loopback_for_process(getpid());
  PortFinder ports_{ip_};
  std::mt19937_64 random_;
  std::mt19937_64 dense_random_;
  std::ofstream trace_;
  Ledger ledger_;
  std::vector<CallClass> classes_;
  double longest_deadline_ = 0;
  std::vector<Edge> edges_;
  std::vector<std::unique_ptr<Server>> servers_;
  double begun_ = 0;
  double discovery_well_from_ = 0;
  Report report_;
  std::exception_ptr start_error_;
};

Trial::Trial(const Options& options)
    : options_(options),
      random_(options.seed),
      dense_random_(~options.seed),
      trace_(options.dir + "/calls.trace"),
      ledger_(options.limits, &trace_) {
  if (!trace_) throw StartError(options.dir + "/calls.trace: " + std::strerror(errno));
  const std::size_t count = 1 + pick(3);
  for (std::size_t i = 0; i < count; ++i) {
    classes_.push_back({"class-" + std::to_string(pick(1000)) + "-" + std::to_string(i), draw(0.5, 3.0)});
    longest_deadline_ = std::max(longest_deadline_, classes_.back().deadline_s);
  }
  for (std::size_t i = 0; i < options_.core_servers; ++i) add_server(false);
  for (std::size_t i = 0; i < options_.edges; ++i) {
    Edge edge;
    edge.name = "n" + std::to_string(i);
    edge.listen = {ip_, ports_.next()};
    edge.process = std::make_unique<EdgeProcess>(options_.edge_program, options_.dir, edge.name);
    edge.discovery = std::make_unique<Discovery>(loop_, ip_);
    edge.callers =
        std::make_unique<Callers>(loop_, ledger_, i, edge.listen, classes_, options_.habits, random_());
    edges_.push_back(std::move(edge));
  }
}

void Trial::note(const std::string& what) {
  char time[32];
  std::snprintf(time, sizeof time, "%.3f ", loop_.now() - begun_);
  report_.timeline.push_back(time + what);
  ledger_.note(what, loop_.now());
}

// ---- Settings and list ----

json Trial::config(Edge& edge, const json& known) const {
  json classes = json::array();
  for (const CallClass& each : classes_) {
    classes.push_back({{"name", each.name},
                       {"deadline_s", each.deadline_s},
                       {"goal_time_s", each.deadline_s / 2},
                       {"effect", "repeatable"},
                       {"value", 1}});
  }
  return {{"name", edge.name},
          {"listen", edge.listen.str()},
          {"seed", "1"},
          {"bus", edge.discovery->address().str()},
          {"known", known},
          {"limits", {{"cores", 1}, {"memory_mb", 64}, {"sockets", kSocketLimit}}},
          {"settings",
           {{"classes", classes},
            {"domain", {{"clear_wait_s", 0.3}}},
            {"fleet_size", options_.edges},
            {"limits",
             {{"connect_timeout_s", 0.3}, {"try_limit", 3}, {"retry_after", true}, {"max_retry_after_s", 2}}},
            {"load_info", {{"fields", {"spare", "total"}}}},
            {"rules", {{"fall_s", 1}, {"overload_factor", 3}, {"start_capacity", 0.5}, {"warm_up_s", 5}}},
            {"skus", {"small"}}}}};
}

Host Trial::host(const Server& server, std::size_t edge) const {
  return {server.process->name(), server.process->address(edge), server.health, server.born_ms};
}

std::vector<Host> Trial::hosts(const Edge& edge) const {
  const std::size_t at = static_cast<std::size_t>(&edge - edges_.data());
  std::vector<Host> out;
  for (const auto& server : servers_) {
    if (server->health != "DELETED") out.push_back(host(*server, at));
  }
  return out;
}

void Trial::add_server(bool late) {
  auto server = std::make_unique<Server>();
  char id[16];
  std::snprintf(id, sizeof id, "s-%08x", static_cast<unsigned>(random_()));
  server->process =
      std::make_unique<CoreServer>(loop_, ip_, ledger_, id, options_.edges, options_.behaviour, random_());
  if (late) server->born_ms = static_cast<std::int64_t>(net::wall_now() * 1000);
  servers_.push_back(std::move(server));
}

void Trial::tell(const Server& server) {
  note(server.process->name() + " " + server.health);
  for (std::size_t i = 0; i < edges_.size(); ++i) edges_[i].discovery->tell({host(server, i)});
  if (server.health == "SERVING") return;
  const double now = loop_.now();
  ledger_.told_unavailable(server.process->name(),
                           std::max(now, std::min(now + kToldLate, discovery_well_from_)));
}

std::vector<Trial::Server*> Trial::serving() {
  std::vector<Server*> out;
  for (const auto& each : servers_) {
    if (each->process->running() && each->health == "SERVING") out.push_back(each.get());
  }
  return out;
}

// ---- Edge proxies ----

void Trial::start_edge(std::size_t i) {
  Edge& edge = edges_[i];
  edge.ending = edge.planned = false;
  edge.life += 1;
  note(edge.name + " started");
  edge.process->start(config(edge, edge.discovery->start(hosts(edge))));
  edge.callers->edge_started();
}

void Trial::shut_down(std::size_t i) {
  Edge& edge = edges_[i];
  if (edge.ending || !edge.callers->ready()) return;
  note(edge.name + " SIGTERM");
  edge.ending = edge.planned = true;
  edge.process->signal(SIGTERM);
  const auto same_life = [this, i, life = edge.life] { return edges_[i].life == life; };
  later(kConnectsOn, [this, i, same_life] {
    if (same_life()) edges_[i].callers->edge_ending();
  });
  later(std::min(kLongestShutdown, longest_deadline_) + kKillAfter, [this, i, same_life] {
    if (!same_life() || !edges_[i].process->running()) return;
    note(edges_[i].name + " SIGKILL");
    edges_[i].process->signal(SIGKILL);
  });
}

void Trial::kill_edge(std::size_t i) {
  Edge& edge = edges_[i];
  if (edge.ending || !edge.callers->ready()) return;
  note(edge.name + " killed");
  edge.ending = true;
  edge.process->signal(SIGKILL);
  edge.callers->edge_stopped(false);  // what it held is owed by nobody
}

void Trial::reload(std::size_t i, int times) {
  Edge& edge = edges_[i];
  if (edge.ending || !edge.callers->ready() || times == 0) return;
  note(edge.name + " SIGHUP");
  edge.discovery->move();
  discovery_well_from_ = loop_.now() + kToldLate;
  const std::string text = config(edge, {{"offset", 0}, {"batch", json::array()}}).dump();
  guarded([&] { edge.process->write_config(text.substr(0, text.size() / 2)); });
  edge.process->signal(SIGHUP);
  later(0.03, [this, i, text] { guarded([&] { edges_[i].process->write_config(text); }); });
  later(draw(0.1, 0.6), [this, i, times] { reload(i, times - 1); });
}

void Trial::guarded(const std::function<void()>& what) {
  try {
    what();
  } catch (const StartError&) {
    start_error_ = std::current_exception();
    loop_.stop();
  }
}

void Trial::look() {
  guarded([this] { replace_ended(); });
  ledger_.judge(loop_.now());
  later(kLook, [this] { look(); });
}

// Processes that have ended are started again at once.
void Trial::replace_ended() {
  for (std::size_t i = 0; i < edges_.size(); ++i) {
    Edge& edge = edges_[i];
    const auto status = edge.process->ended();
    if (!status) continue;
    note(edge.name + " ended");
    if (!edge.ending && !edge.callers->ready()) {
      throw StartError(edge.name + " ended before it was ready: " + edge.process->last_words());
    }
    if (!edge.ending)
      report_.violations.push_back({Rule::kLost, loop_.now() - begun_, 0, edge.name + " crashed"});
    if (edge.planned) edge.callers->edge_stopped(true);
    start_edge(i);
  }
}

// ---- Troubles ----

void Trial::trouble() {
  if (loop_.now() - begun_ > options_.seconds) return;
  std::vector<std::function<void()>> kinds;
  if (options_.troubles.shutdowns) kinds.push_back([this] { shut_down(pick(edges_.size())); });
  if (options_.troubles.kills && pick(3) == 0) kinds.push_back([this] { kill_edge(pick(edges_.size())); });
  if (options_.troubles.reloads) {
    kinds.push_back([this] { reload(pick(edges_.size()), 1 + static_cast<int>(pick(3))); });
  }
  if (options_.troubles.core_servers) kinds.push_back([this] { trouble_core_server(); });
  if (options_.troubles.network) kinds.push_back([this] { trouble_network(); });
  if (options_.troubles.discovery) kinds.push_back([this] { trouble_discovery(); });
  if (kinds.empty()) return;
  kinds[pick(kinds.size())]();
  later(std::exponential_distribution<>(1 / options_.trouble_every)(random_), [this] { trouble(); });
}

void Trial::trouble_core_server() {
  const auto running = serving();
  if (running.size() < 2) return;
  Server& server = *running[pick(running.size())];
  const std::string name = server.process->name();
  switch (pick(4)) {
    case 0: {
      const double seconds = draw(0.3, 4.0);
      note(name + " hangs for " + std::to_string(seconds));
      return server.process->hang(seconds);
    }
    case 1:
      note(name + " dies");
      server.process->die();
      return replace(server);
    case 2:
      note(name + " vanishes");
      server.process->vanish();
      return replace(server);
    default:
      server.health = "DRAINING";
      tell(server);
      later(draw(0.5, 4.0), [this, &server] {
        note(server.process->name() + " stops after its drain");
        server.process->die();
        replace(server);
      });
  }
}

void Trial::draw_dense_troubles() {
  constexpr double kSeriesEvery = 7.0;  // s
  constexpr double kTrialsWithACrowd = 0.3;
  if (options_.troubles.signal_series) {
    for (double at = draw_dense(kBegins, kSeriesEvery); at < options_.seconds; at += kSeriesEvery) {
      later(at, [this] { signal_series(); });
    }
  }
  if (options_.troubles.crowds && draw_dense(0, 1) < kTrialsWithACrowd) {
    later(draw_dense(kBegins, options_.seconds / 2), [this] { crowd(); });
  }
}

void Trial::signal_series() {
  double at = 0;
  for (std::size_t i = 0; i < edges_.size(); ++i) {
    later(at, [this, i] {
      shut_down(i);
      signal_again(i, static_cast<int>(dense_random_() % 4));
    });
    at += draw_dense(0.0, 1.5);
  }
}

// What a proxy that is ending is told besides: to end, and to read its configuration.
void Trial::signal_again(std::size_t i, int times) {
  if (times == 0) return;
  later(draw_dense(0.01, 1.0), [this, i, times, life = edges_[i].life] {
    Edge& edge = edges_[i];
    if (edge.life != life || !edge.planned || !edge.process->running()) return;
    constexpr int kSignals[] = {SIGTERM, SIGINT, SIGHUP};
    const int which = kSignals[dense_random_() % std::size(kSignals)];
    note(edge.name + " signal " + std::to_string(which) + " while it ends");
    edge.process->signal(which);
    signal_again(i, times - 1);
  });
}

void Trial::crowd() {
  const std::size_t i = dense_random_() % edges_.size();
  const double times = draw_dense(5, 15);
  const double seconds = draw_dense(1, 4);
  note(edges_[i].name + " has a crowd, " + std::to_string(times) + " times the calls, for " +
       std::to_string(seconds));
  edges_[i].callers->crowd(times, kCrowdConnections, seconds);
}

void Trial::replace(Server& server) {
  later(kReplacedAfter, [this, &server] {
    server.health = "DELETED";
    tell(server);
    add_server(true);
    tell(*servers_.back());
  });
}

void Trial::trouble_network() {
  const auto running = serving();
  if (running.empty()) return;
  CoreServer& server = *running[pick(running.size())]->process;
  const std::size_t edge = pick(edges_.size());
  FaultLine& line = server.line(edge);
  const std::string where = edges_[edge].name + " to " + server.name();
  switch (pick(4)) {
    case 0:
      note(where + " cut");
      return line.cut();
    case 1: {
      const double seconds = draw(0.3, 4.0);
      note(where + " silent for " + std::to_string(seconds));
      line.set_silent(true);
      return later(seconds, [&line, &server] {
        if (server.running()) line.set_silent(false);
      });
    }
    case 2:
      note(where + " opens late, and is cut");
      line.open_late(draw(0.05, 1.0));
      line.cut();
      return later(2.0, [&line] { line.open_late(0); });
    default:
      note(where + " closes early");
      return line.close_early(1 + pick(3));
  }
}

void Trial::trouble_discovery() {
  Edge& edge = edges_[pick(edges_.size())];
  Discovery& discovery = *edge.discovery;
  discovery_well_from_ = std::max(discovery_well_from_, loop_.now() + kToldLate);
  switch (pick(3)) {
    case 0:
      note(edge.name + "'s discovery falls silent");
      return discovery.fall_silent();
    case 1:
      note(edge.name + "'s discovery breaks off");
      return discovery.break_off();
    default: {
      const double seconds = draw(0.5, 3.0);
      note(edge.name + "'s discovery is down for " + std::to_string(seconds));
      discovery.set_down(true);
      discovery_well_from_ = std::max(discovery_well_from_, loop_.now() + seconds + kToldLate);
      later(seconds, [&discovery] { discovery.set_down(false); });
    }
  }
}

Report Trial::run() {
  begun_ = loop_.now();
  for (std::size_t i = 0; i < edges_.size(); ++i) start_edge(i);
  look();
  later(kBegins, [this] { trouble(); });
  draw_dense_troubles();
  later(options_.seconds, [this] {
    for (Edge& edge : edges_) edge.callers->finish();
  });
  std::function<void()> wait = [&] {
    const double over = loop_.now() - begun_ - options_.seconds;
    report_.settled = ledger_.settled();
    if (over > kLongestWait || (over > 1 && report_.settled)) return loop_.stop();
    later(kLook, wait);
  };
  later(options_.seconds, wait);
  loop_.run();
  if (start_error_) std::rethrow_exception(start_error_);
  ledger_.judge(loop_.now());
  for (Violation each : ledger_.violations()) {
    each.at -= begun_;
    report_.violations.push_back(each);
  }
  for (const Edge& edge : edges_) report_.taken += edge.callers->taken();
  report_.served = ledger_.served();
  report_.ended = ledger_.ended();
  return std::move(report_);
}

}  // namespace

Report run(const Options& options) { return Trial(options).run(); }

}  // namespace mintrock::lab::soak
