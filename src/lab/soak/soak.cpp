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
#include <limits>
#include <memory>
#include <random>
#include <utility>

#include "lab/process.hpp"
#include "lab/soak/discovery.hpp"
#include "lab/soak/edge_process.hpp"

namespace mintrock::lab::soak {
namespace {

using nlohmann::json;

constexpr double kPollInterval = 0.05;  // s between checks of the processes and the rules
constexpr double kMaxFinalWait = 11;    // s for what is pending at the end: the limit of 8 s and slack
constexpr double kMaxShutdownWait = 3;  // s: upper bound of the wait for the longest deadline after SIGTERM
constexpr double kKillDelay = 0.7;      // s from the end of that wait to SIGKILL
constexpr double kConnectAfterSigterm = 0.3;  // s after SIGTERM in which callers still open connections
constexpr double kMaxDiscoveryDelay = 6.0;  // s until a change counts as reported while discovery has faults
constexpr double kMaxMoveDelay = 4.0;       // s, the same after SIGHUP alone
constexpr double kMaxResponseDelay = 3.9;   // s, of a discovery service that is slow
constexpr double kSlowDuration = 8.0;       // s
constexpr double kLongDrain = 8.0;          // s
constexpr double kMaxServiceTime = 1.3;     // s for each request, served one after another
constexpr double kFirstFaultDelay = 0.8;    // s until the first fault
constexpr std::size_t kSocketLimit = 512;   // file descriptors of an edge proxy
constexpr std::size_t kFloodConnections = kSocketLimit / 3;  // maximum held by its callers
constexpr double kReplacementDelay = 0.8;  // s until the server list reports a stopped server as gone

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
    bool terminating = false;            // was sent SIGTERM, or killed
    bool planned = false;                // was sent SIGTERM
    std::uint64_t generation = 0;        // number of starts
    std::uint64_t slow_phase = 0;        // number of times that its discovery became slow
    double discovery_reliable_from = 0;  // from then on a change counts as reported at once
  };
  struct Server {
    std::unique_ptr<CoreServer> process;
    std::string health = "SERVING";
    std::int64_t start_time_ms = 0;
  };

  double draw(double min, double max) { return std::uniform_real_distribution<>(min, max)(random_); }
  std::size_t pick(std::size_t below) { return random_() % below; }
  void log_step(const std::string& step);
  void run_after(double delay_s, std::function<void()> task) { loop_.after(delay_s, std::move(task)); }
  json config(Edge& edge, const json& server_list) const;
  std::vector<Host> hosts(const Edge& edge) const;
  Host host(const Server& server, std::size_t edge) const;
  void add_server(bool joins_late);
  void publish(const Server& server);
  void start_edge(std::size_t edge);
  void restart_exited();
  // Runs `task` from within the event loop; a StartError that it throws ends the trial.
  void run_guarded(const std::function<void()>& task);
  void poll();
  void inject_fault();
  void shut_down_edge(std::size_t edge);
  void kill_edge(std::size_t edge);
  void reload_edge(std::size_t edge, int times);
  void inject_core_server_fault();
  void replace_server(Server& server);
  void schedule_dense_faults();
  void run_signal_series();
  void schedule_slow_discovery();
  void slow_down_discovery(std::size_t edge);
  void drain_for_long();
  void note_discovery_fault(std::size_t edge, double max_delay_s);
  void note_move(std::size_t edge);
  void send_more_signals(std::size_t edge, int times);
  void flood_connections();
  double draw_slow(double min, double max) {
    return std::uniform_real_distribution<>(min, max)(slow_random_);
  }
  double draw_dense(double min, double max) {
    return std::uniform_real_distribution<>(min, max)(dense_random_);
  }
  void inject_network_fault();
  void inject_discovery_fault();
  std::vector<Server*> serving_servers();

  Options options_;
  net::Loop loop_;
  std::uint32_t ip_ = loopback_for_process(getpid());
  PortFinder ports_{ip_};
  std::mt19937_64 random_;
  std::mt19937_64 dense_random_;
  std::mt19937_64 slow_random_;
  std::ofstream trace_;
  RuleChecker checker_;
  std::vector<CallClass> classes_;
  double longest_deadline_ = 0;
  std::vector<Edge> edges_;
  std::vector<std::unique_ptr<Server>> servers_;
  double started_at_ = 0;
  Report report_;
  std::exception_ptr start_error_;
};

Trial::Trial(const Options& options)
    : options_(options),
      random_(options.seed),
      dense_random_(~options.seed),
      slow_random_(options.seed ^ 0x510),
      trace_(options.dir + "/calls.trace"),
      checker_(options.limits, &trace_) {
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
    edge.callers = std::make_unique<Callers>(loop_, checker_, i, edge.listen, classes_,
                                             options_.caller_behaviour, random_());
    edges_.push_back(std::move(edge));
  }
}

void Trial::log_step(const std::string& step) {
  char time[32];
  std::snprintf(time, sizeof time, "%.3f ", loop_.now() - started_at_);
  report_.timeline.push_back(time + step);
  checker_.trace_step(step, loop_.now());
}

// ---- Settings and server list ----

json Trial::config(Edge& edge, const json& server_list) const {
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
          {"known", server_list},
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
  return {server.process->name(), server.process->address(edge), server.health, server.start_time_ms};
}

std::vector<Host> Trial::hosts(const Edge& edge) const {
  const std::size_t index = static_cast<std::size_t>(&edge - edges_.data());
  std::vector<Host> result;
  for (const auto& server : servers_) {
    if (server->health != "DELETED") result.push_back(host(*server, index));
  }
  return result;
}

void Trial::add_server(bool joins_late) {
  auto server = std::make_unique<Server>();
  char id[16];
  std::snprintf(id, sizeof id, "s-%08x", static_cast<unsigned>(random_()));
  server->process = std::make_unique<CoreServer>(loop_, ip_, checker_, id, options_.edges,
                                                 options_.core_behaviour, random_());
  if (joins_late) server->start_time_ms = static_cast<std::int64_t>(net::wall_now() * 1000);
  servers_.push_back(std::move(server));
}

void Trial::publish(const Server& server) {
  log_step(server.process->name() + " " + server.health);
  for (std::size_t i = 0; i < edges_.size(); ++i) edges_[i].discovery->publish({host(server, i)});
  if (server.health == "SERVING") return;
  const double now = loop_.now();
  for (std::size_t i = 0; i < edges_.size(); ++i) {
    const double due = std::min(now + kMaxDiscoveryDelay, edges_[i].discovery_reliable_from);
    checker_.server_unavailable(server.process->name(), i, now, std::max(now, due));
  }
}

std::vector<Trial::Server*> Trial::serving_servers() {
  std::vector<Server*> result;
  for (const auto& each : servers_) {
    if (each->process->running() && each->health == "SERVING") result.push_back(each.get());
  }
  return result;
}

// ---- Edge proxies ----

void Trial::start_edge(std::size_t i) {
  Edge& edge = edges_[i];
  edge.terminating = edge.planned = false;
  edge.generation += 1;
  log_step(edge.name + " started");
  edge.process->start(config(edge, edge.discovery->start(hosts(edge))));
  if (options_.faults.slow_discovery) note_discovery_fault(i, kMaxDiscoveryDelay);
  edge.callers->edge_started();
}

void Trial::shut_down_edge(std::size_t i) {
  Edge& edge = edges_[i];
  if (edge.terminating || !edge.callers->ready()) return;
  log_step(edge.name + " SIGTERM");
  edge.terminating = edge.planned = true;
  edge.process->signal(SIGTERM);
  const auto same_generation = [this, i, generation = edge.generation] {
    return edges_[i].generation == generation;
  };
  run_after(kConnectAfterSigterm, [this, i, same_generation] {
    if (same_generation()) edges_[i].callers->edge_terminating();
  });
  run_after(std::min(kMaxShutdownWait, longest_deadline_) + kKillDelay, [this, i, same_generation] {
    if (!same_generation() || !edges_[i].process->running()) return;
    log_step(edges_[i].name + " SIGKILL");
    edges_[i].process->signal(SIGKILL);
  });
}

void Trial::kill_edge(std::size_t i) {
  Edge& edge = edges_[i];
  if (edge.terminating || !edge.callers->ready()) return;
  log_step(edge.name + " killed");
  edge.terminating = true;
  edge.process->signal(SIGKILL);
  edge.callers->edge_stopped(false);  // a killed proxy need not answer or report anything for its calls
}

void Trial::reload_edge(std::size_t i, int times) {
  Edge& edge = edges_[i];
  if (edge.terminating || !edge.callers->ready() || times == 0) return;
  log_step(edge.name + " SIGHUP");
  note_move(i);
  edge.discovery->change_address();
  const std::string text = config(edge, {{"offset", 0}, {"batch", json::array()}}).dump();
  run_guarded([&] { edge.process->write_config(text.substr(0, text.size() / 2)); });
  edge.process->signal(SIGHUP);
  run_after(0.03, [this, i, text] { run_guarded([&] { edges_[i].process->write_config(text); }); });
  run_after(draw(0.1, 0.6), [this, i, times] { reload_edge(i, times - 1); });
}

void Trial::run_guarded(const std::function<void()>& task) {
  try {
    task();
  } catch (const StartError&) {
    start_error_ = std::current_exception();
    loop_.stop();
  }
}

void Trial::poll() {
  run_guarded([this] { restart_exited(); });
  checker_.check(loop_.now());
  run_after(kPollInterval, [this] { poll(); });
}

// Restarts at once the processes that have exited.
void Trial::restart_exited() {
  for (std::size_t i = 0; i < edges_.size(); ++i) {
    Edge& edge = edges_[i];
    const auto status = edge.process->poll_exit();
    if (!status) continue;
    log_step(edge.name + " ended");
    if (!edge.terminating && !edge.callers->ready()) {
      throw StartError(edge.name + " ended before it was ready: " + edge.process->last_log_line());
    }
    if (!edge.terminating)
      report_.violations.push_back({Rule::kLost, loop_.now() - started_at_, 0, edge.name + " crashed"});
    if (edge.planned) edge.callers->edge_stopped(true);
    start_edge(i);
  }
}

// ---- Faults ----

void Trial::inject_fault() {
  if (loop_.now() - started_at_ > options_.duration_s) return;
  std::vector<std::function<void()>> kinds;
  if (options_.faults.shutdowns) kinds.push_back([this] { shut_down_edge(pick(edges_.size())); });
  if (options_.faults.kills && pick(3) == 0) kinds.push_back([this] { kill_edge(pick(edges_.size())); });
  if (options_.faults.reloads) {
    kinds.push_back([this] { reload_edge(pick(edges_.size()), 1 + static_cast<int>(pick(3))); });
  }
  if (options_.faults.core_servers) kinds.push_back([this] { inject_core_server_fault(); });
  if (options_.faults.network) kinds.push_back([this] { inject_network_fault(); });
  if (options_.faults.discovery) kinds.push_back([this] { inject_discovery_fault(); });
  if (kinds.empty()) return;
  kinds[pick(kinds.size())]();
  run_after(std::exponential_distribution<>(1 / options_.mean_fault_interval_s)(random_),
            [this] { inject_fault(); });
}

void Trial::inject_core_server_fault() {
  const auto candidates = serving_servers();
  if (candidates.size() < 2) return;
  Server& server = *candidates[pick(candidates.size())];
  const std::string name = server.process->name();
  switch (pick(4)) {
    case 0: {
      const double duration_s = draw(0.3, 4.0);
      log_step(name + " hangs for " + std::to_string(duration_s));
      return server.process->hang(duration_s);
    }
    case 1:
      log_step(name + " crashes");
      server.process->crash();
      return replace_server(server);
    case 2:
      log_step(name + " vanishes");
      server.process->vanish();
      return replace_server(server);
    default:
      server.health = "DRAINING";
      publish(server);
      run_after(draw(0.5, 4.0), [this, &server] {
        log_step(server.process->name() + " stops after its drain");
        server.process->crash();
        replace_server(server);
      });
  }
}

void Trial::schedule_dense_faults() {
  constexpr double kSeriesInterval = 7.0;  // s
  constexpr double kFloodShare = 0.3;
  if (options_.faults.signal_series) {
    for (double start = draw_dense(kFirstFaultDelay, kSeriesInterval); start < options_.duration_s;
         start += kSeriesInterval) {
      run_after(start, [this] { run_signal_series(); });
    }
  }
  if (options_.faults.connection_floods && draw_dense(0, 1) < kFloodShare) {
    run_after(draw_dense(kFirstFaultDelay, options_.duration_s / 2), [this] { flood_connections(); });
  }
}

// At intervals, one edge proxy's discovery service is slow for a while. The proxy has to ask it anew: it is
// moved elsewhere, once or several times, breaks off or falls silent. Then a core server drains for long.
void Trial::schedule_slow_discovery() {
  constexpr double kInterval = 2.5;  // s
  for (double start = draw_slow(0.0, kInterval); start < options_.duration_s; start += kInterval) {
    run_after(start, [this] { slow_down_discovery(slow_random_() % edges_.size()); });
  }
}

void Trial::slow_down_discovery(std::size_t i) {
  ResponsePace pace;
  if (slow_random_() % 4 != 0) {
    pace.delay_s = draw_slow(0, kMaxResponseDelay);
  } else {
    pace.service_time_s = draw_slow(0, kMaxServiceTime);
    pace.max_wait_s = kMaxResponseDelay;
  }
  const std::string name = edges_[i].name;
  log_step(name + "'s discovery answers after " + std::to_string(pace.delay_s) + ", takes " +
           std::to_string(pace.service_time_s) + " for each request");
  Discovery& discovery = *edges_[i].discovery;
  discovery.set_pace(pace);
  const std::uint64_t phase = ++edges_[i].slow_phase;
  run_after(kSlowDuration, [this, i, phase] {
    if (edges_[i].slow_phase == phase) edges_[i].discovery->set_pace({});
  });
  const int moves = static_cast<int>(slow_random_() % 5) - 1;
  if (moves > 0) {
    reload_edge(i, moves);
  } else {
    log_step(name + "'s discovery " + (moves == 0 ? "breaks off" : "falls silent"));
    note_discovery_fault(i, kMaxDiscoveryDelay);
    moves == 0 ? discovery.break_connections() : discovery.go_silent();
  }
  run_after(draw_slow(0, 1), [this] { drain_for_long(); });
}

// Until after the time at which every edge proxy counts as told.
void Trial::drain_for_long() {
  const auto candidates = serving_servers();
  if (candidates.size() < 2) return;
  Server& server = *candidates[slow_random_() % candidates.size()];
  server.health = "DRAINING";
  publish(server);
  run_after(kLongDrain, [this, &server] {
    log_step(server.process->name() + " stops after its drain");
    server.process->crash();
    replace_server(server);
  });
}

void Trial::run_signal_series() {
  double start = 0;
  for (std::size_t i = 0; i < edges_.size(); ++i) {
    run_after(start, [this, i] {
      shut_down_edge(i);
      send_more_signals(i, static_cast<int>(dense_random_() % 4));
    });
    start += draw_dense(0.0, 1.5);
  }
}

// Sends more signals to an edge proxy that is shutting down: to shut down, and to read its configuration.
void Trial::send_more_signals(std::size_t i, int times) {
  if (times == 0) return;
  run_after(draw_dense(0.01, 1.0), [this, i, times, generation = edges_[i].generation] {
    Edge& edge = edges_[i];
    if (edge.generation != generation || !edge.planned || !edge.process->running()) return;
    constexpr int kSignals[] = {SIGTERM, SIGINT, SIGHUP};
    const int number = kSignals[dense_random_() % std::size(kSignals)];
    log_step(edge.name + " signal " + std::to_string(number) + " while it ends");
    edge.process->signal(number);
    send_more_signals(i, times - 1);
  });
}

void Trial::flood_connections() {
  const std::size_t i = dense_random_() % edges_.size();
  const double factor = draw_dense(5, 15);
  const double duration_s = draw_dense(1, 4);
  log_step(edges_[i].name + " gets a connection flood, " + std::to_string(factor) + " times the calls, for " +
           std::to_string(duration_s));
  edges_[i].callers->flood(factor, kFloodConnections, duration_s);
}

void Trial::replace_server(Server& server) {
  run_after(kReplacementDelay, [this, &server] {
    server.health = "DELETED";
    publish(server);
    add_server(true);
    publish(*servers_.back());
  });
}

void Trial::inject_network_fault() {
  const auto candidates = serving_servers();
  if (candidates.empty()) return;
  CoreServer& server = *candidates[pick(candidates.size())]->process;
  const std::size_t edge = pick(edges_.size());
  FaultyLink& link = server.link(edge);
  const std::string where = edges_[edge].name + " to " + server.name();
  switch (pick(4)) {
    case 0:
      log_step(where + " cut");
      return link.cut();
    case 1: {
      const double duration_s = draw(0.3, 4.0);
      log_step(where + " silent for " + std::to_string(duration_s));
      link.set_silent(true);
      return run_after(duration_s, [&link, &server] {
        if (server.running()) link.set_silent(false);
      });
    }
    case 2:
      log_step(where + " opens late and is cut");
      link.set_connect_delay(draw(0.05, 1.0));
      link.cut();
      return run_after(2.0, [&link] { link.set_connect_delay(0); });
    default:
      log_step(where + " closes early");
      return link.close_next(1 + pick(3));
  }
}

// A change counts as reported to the edge proxy `max_delay_s` from now at the latest. To be called before the
// fault: what has been delivered by then is not delayed by it.
void Trial::note_discovery_fault(std::size_t i, double max_delay_s) {
  const double due = loop_.now() + max_delay_s;
  edges_[i].discovery_reliable_from = std::max(edges_[i].discovery_reliable_from, due);
  if (!edges_[i].discovery->up_to_date()) checker_.delay_reports(i, due, kMaxDiscoveryDelay);
}

// The same for a change of discovery's address. What was asked for at the earlier address is not answered any
// more, however long ago it was published: it counts as reported 4 s after SIGHUP.
void Trial::note_move(std::size_t i) {
  const double due = loop_.now() + kMaxMoveDelay;
  edges_[i].discovery_reliable_from = std::max(edges_[i].discovery_reliable_from, due);
  constexpr double kAnyAge = std::numeric_limits<double>::infinity();
  if (!edges_[i].discovery->up_to_date()) checker_.delay_reports(i, due, kAnyAge);
}

void Trial::inject_discovery_fault() {
  const std::size_t i = pick(edges_.size());
  const std::string name = edges_[i].name;
  Discovery& discovery = *edges_[i].discovery;
  note_discovery_fault(i, kMaxDiscoveryDelay);
  switch (pick(3)) {
    case 0:
      log_step(name + "'s discovery falls silent");
      return discovery.go_silent();
    case 1:
      log_step(name + "'s discovery breaks off");
      return discovery.break_connections();
    default: {
      const double duration_s = draw(0.5, 3.0);
      log_step(name + "'s discovery is down for " + std::to_string(duration_s));
      note_discovery_fault(i, duration_s + kMaxDiscoveryDelay);
      discovery.set_down(true);
      run_after(duration_s, [&discovery] { discovery.set_down(false); });
    }
  }
}

Report Trial::run() {
  started_at_ = loop_.now();
  for (std::size_t i = 0; i < edges_.size(); ++i) start_edge(i);
  poll();
  run_after(kFirstFaultDelay, [this] { inject_fault(); });
  schedule_dense_faults();
  if (options_.faults.slow_discovery) schedule_slow_discovery();
  run_after(options_.duration_s, [this] {
    for (Edge& edge : edges_) edge.callers->stop_calling();
  });
  std::function<void()> wait = [&] {
    const double overtime = loop_.now() - started_at_ - options_.duration_s;
    report_.settled = checker_.settled();
    if (overtime > kMaxFinalWait || (overtime > 1 && report_.settled)) return loop_.stop();
    run_after(kPollInterval, wait);
  };
  run_after(options_.duration_s, wait);
  loop_.run();
  if (start_error_) std::rethrow_exception(start_error_);
  checker_.check(loop_.now());
  for (Violation each : checker_.violations()) {
    each.time -= started_at_;
    report_.violations.push_back(each);
  }
  for (const Edge& edge : edges_) report_.setups_sent += edge.callers->setups_sent();
  report_.calls_served = checker_.calls_served();
  report_.ends_notified = checker_.ends_notified();
  return std::move(report_);
}

}  // namespace

Report run(const Options& options) { return Trial(options).run(); }

}  // namespace mintrock::lab::soak
