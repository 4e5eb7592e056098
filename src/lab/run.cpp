// Starts a whole installation with one process per stand-in and proxy, runs the script and checks the rules.
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <thread>

#include "config/yaml.hpp"
#include "lab/checker.hpp"
#include "lab/plot.hpp"
#include "lab/process.hpp"
#include "lab/progress.hpp"
#include "lab/stand_ins.hpp"
#include "lab/trace.hpp"
#include "lab/traced_connection.hpp"

namespace mintrock::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr double kStartUpTime = 1.5;  // s from the start of the processes to the start of the script
// s for a process to stop; the callers take up to 15 s to get their last ends confirmed.
constexpr double kStopTimeout = 25;

std::string yaml_time(double seconds) { return std::to_string(seconds) + "s"; }

std::string proxy_config(const Scenario& s, const RunFile& run, std::uint32_t number,
                         const std::string& dir) {
  const auto quoted_address = [](std::uint16_t port) {
    return "\"" + net::Address{0x7F000001, port}.str() + "\"";
  };
  std::string out = "node: {identity: " + proxy_name(number) + ", realm: " + kRealm +
                    ", listen: " + quoted_address(run.proxy_ports[number]) +
                    ", admin: " + quoted_address(run.admin_ports[number]) + "}\n";
  out += std::string("core: {watchdog: ") + (s.core_watchdog ? "true" : "false") +
         ", watchdog_interval: " + yaml_time(s.watchdog_interval_s) + ", reconnect: 300ms}\n";
  out += "callers: {watchdog_interval: " + yaml_time(s.watchdog_interval_s) + "}\n";
  out += "list: {server: " + quoted_address(run.list_port) + ", path: \"/list?proxy=" + proxy_name(number) +
         "\", cache_file: \"" + dir + "/list-" + std::to_string(number) +
         ".json\", reconnect: 500ms, idle: 10s}\n";
  out += "fleet: {size: " + std::to_string(s.proxies) + ", own_number: " + std::to_string(number);
  if (s.proxies > 1) {
    out += ", listen: " + quoted_address(run.fleet_ports[number]) + ", peers: [";
    for (std::uint32_t i = 0; i < s.proxies; ++i)
      out += (i > 0 ? ", " : "") + quoted_address(run.fleet_ports[i]);
    out += "]";
  }
  out += "}\nclasses:\n";
  static const char* const kEffects[] = {"repeatable", "by_key", "once"};
  for (const auto& each : s.classes) {
    out += "  - {name: " + each.name + ", service_identifier: " + std::to_string(each.service_identifier) +
           ", aim: " + yaml_time(each.settings.target_s) +
           ", deadline: " + yaml_time(each.settings.deadline_s) +
           ", value: " + std::to_string(each.settings.value) +
           ", effect: " + kEffects[static_cast<int>(each.settings.effect)] + "}\n";
  }
  const Settings& r = s.rules;
  out += "rules: {release_wait: " + yaml_time(r.release_wait_s) +
         ", start_capacity: " + std::to_string(r.start_capacity) + ", warm_up: " + yaml_time(r.warm_up_s) +
         ", overload_factor: " + std::to_string(r.overload_factor) + ", fall_time: " + yaml_time(r.fall_s) +
         ", attempt_limit: " + std::to_string(r.attempt_limit) +
         ", max_retry_after: " + yaml_time(r.max_retry_after_s) +
         ", cancel: " + (r.can_cancel ? "true" : "false") +
         ", callers_mark_redials: " + (r.marks_redials ? "true" : "false") + "}\n";
  out += "log: {level: " + s.log_level + ", file: \"" + dir + "/edge-" + std::to_string(number) + ".log\"}\n";
  return out;
}

class Runner {
 public:
  Runner(const RunOptions& options, std::string dir)
      : options_(options),
        dir_(std::move(dir)),
        scenario_(load_scenario(options.scenario_file)),
        trace_(dir_ + "/run.trace") {}

  ~Runner() {
    for (const auto& [pid, name] : running_) kill(pid, SIGKILL);
    for (const auto& [pid, name] : running_) waitpid(pid, nullptr, 0);
  }

  // Returns whether all processes ended cleanly.
  bool play() {
    std::error_code ignored;
    fs::copy_file(options_.scenario_file, dir_ + "/scenario.yaml", fs::copy_options::overwrite_existing,
                  ignored);
    PortFinder ports;
    run_.list_port = ports.next();
    for (std::uint32_t i = 0; i < scenario_.cores; ++i) run_.core_ports.push_back(ports.next());
    for (std::uint32_t i = 0; i < scenario_.proxies; ++i) {
      run_.proxy_ports.push_back(ports.next());
      run_.admin_ports.push_back(ports.next());
      run_.fleet_ports.push_back(ports.next());
    }
    run_.epoch = net::monotonic_now() + kStartUpTime;
    run_.epoch_wall = net::wall_now() + kStartUpTime;
    save_run_file(run_, dir_);
    if (!options_.quiet)
      progress_display_ = std::make_unique<ProgressDisplay>(scenario_, dir_, run_.epoch, options_.slack_s);
    const pid_t list = start_stand_in("list");
    const pid_t core = start_stand_in("core");
    proxies_.resize(scenario_.proxies);
    for (std::uint32_t i = 0; i < scenario_.proxies; ++i) {
      std::ofstream(dir_ + "/edge-" + std::to_string(i) + ".yaml") << proxy_config(scenario_, run_, i, dir_);
      start_proxy(i);
    }
    sleep_until(run_.epoch - 0.8);
    const pid_t call = start_stand_in("call");
    struct Step {
      double at_s;
      std::function<void()> action;
    };
    std::vector<Step> steps;
    for (const Event& event : scenario_.events) {
      const bool killed = event.kind == Event::Kind::kKillProxy;
      if (!killed && event.kind != Event::Kind::kTermProxy) continue;
      steps.push_back({event.at_s, [this, &event, killed] {
                         stop_proxy(event.target, killed ? SIGKILL : SIGTERM, event.duration_s);
                       }});
      steps.push_back({event.at_s + event.duration_s, [this, &event] {
                         wait_for(proxies_[event.target]);
                         start_proxy(event.target);
                       }});
    }
    std::stable_sort(steps.begin(), steps.end(),
                     [](const Step& a, const Step& b) { return a.at_s < b.at_s; });
    for (const Step& step : steps) {
      sleep_until(run_.epoch + step.at_s);
      step.action();
    }
    bool good = wait_for(call);
    if (progress_display_) progress_display_->finish();
    for (std::uint32_t i = 0; i < scenario_.proxies; ++i) {
      if (running_.count(proxies_[i]) != 0) kill(proxies_[i], SIGTERM);
    }
    for (const pid_t pid : proxies_) good &= running_.count(pid) == 0 || wait_for(pid);
    for (const pid_t pid : {list, core}) {
      kill(pid, SIGTERM);
      good &= wait_for(pid);
    }
    trace_.flush();
    return good;
  }

  CheckReport check() const {
    std::vector<v1::Record> records;
    for (const char* each : {"core", "list", "call", "run"}) {
      std::vector<v1::Record> part = read_trace(dir_ + "/" + each + ".trace");
      std::move(part.begin(), part.end(), std::back_inserter(records));
    }
    return check_traces(scenario_, std::move(records), options_.slack_s);
  }

 private:
  pid_t start_stand_in(const char* name) {
    const pid_t pid = spawn({"/proc/self/exe", name, "--scenario", dir_ + "/scenario.yaml", "--dir", dir_});
    running_[pid] = name;
    return pid;
  }

  void note(std::uint32_t proxy, const json& text) {
    write_note(trace_, net::monotonic_now(), proxy_name(proxy), "", text.dump());
  }

  void start_proxy(std::uint32_t number) {
    note(number, {{"event", "proxy_started"}});
    const pid_t pid =
        spawn({options_.edge_program, "--config", dir_ + "/edge-" + std::to_string(number) + ".yaml"});
    running_[pid] = proxy_name(number);
    proxies_[number] = pid;
  }

  void stop_proxy(std::uint32_t number, int signal, double for_s) {
    if (signal == SIGKILL) killed_on_purpose_.insert(proxies_[number]);
    note(number,
         {{"event", "fault"}, {"kind", signal == SIGKILL ? "kill_proxy" : "term_proxy"}, {"for", for_s}});
    kill(proxies_[number], signal);
  }

  // Waits for a process; returns true if it exited with status 0 or was killed on purpose. A process that
  // doesn't stop in time is killed and reported.
  bool wait_for(pid_t pid) {
    const auto found = running_.find(pid);
    if (found == running_.end()) return true;
    const std::string name = found->second;
    const double deadline =
        std::max(net::monotonic_now(), run_.epoch + scenario_.duration_s + scenario_.patience_s) +
        kStopTimeout;
    int status = 0;
    while (waitpid(pid, &status, WNOHANG) == 0) {
      if (net::monotonic_now() > deadline) {
        std::fprintf(stderr, "mintrock-lab: %s did not stop in time and was killed\n", name.c_str());
        kill(pid, SIGKILL);
        waitpid(pid, &status, 0);
        running_.erase(pid);
        return false;
      }
      update_progress();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    running_.erase(pid);
    const bool good = (WIFEXITED(status) && WEXITSTATUS(status) == 0) || killed_on_purpose_.count(pid) != 0;
    if (!good) std::fprintf(stderr, "mintrock-lab: %s ended with status %d\n", name.c_str(), status);
    return good;
  }

  void sleep_until(double when) {
    constexpr double kPollInterval = 0.1;  // s
    for (double left = when - net::monotonic_now(); left > 0; left = when - net::monotonic_now()) {
      std::this_thread::sleep_for(std::chrono::duration<double>(std::min(left, kPollInterval)));
      update_progress();
    }
  }

  void update_progress() {
    if (!progress_display_) return;
    trace_.flush();
    progress_display_->update(net::monotonic_now());
  }

  const RunOptions& options_;
  std::string dir_;
  Scenario scenario_;
  RunFile run_;
  TraceWriter trace_;
  std::unique_ptr<ProgressDisplay> progress_display_;
  std::map<pid_t, std::string> running_;
  std::set<pid_t> killed_on_purpose_;
  std::vector<pid_t> proxies_;
};

}  // namespace

void save_run_file(const RunFile& run, const std::string& dir) {
  std::ofstream(dir + "/run.json") << json{
      {"epoch", run.epoch},      {"epoch_wall", run.epoch_wall}, {"list", run.list_port},
      {"cores", run.core_ports}, {"proxies", run.proxy_ports},   {"admins", run.admin_ports},
      {"fleet", run.fleet_ports}}.dump();
}

RunFile load_run_file(const std::string& dir) {
  std::ifstream in(dir + "/run.json");
  const json parsed = json::parse(in, nullptr, false);
  if (!parsed.is_object()) throw std::runtime_error(dir + "/run.json: cannot be read");
  RunFile run;
  parsed.at("epoch").get_to(run.epoch);
  parsed.at("epoch_wall").get_to(run.epoch_wall);
  parsed.at("list").get_to(run.list_port);
  parsed.at("cores").get_to(run.core_ports);
  parsed.at("proxies").get_to(run.proxy_ports);
  parsed.at("admins").get_to(run.admin_ports);
  parsed.at("fleet").get_to(run.fleet_ports);
  return run;
}

int run_scenario(const RunOptions& options) {
  std::string dir = options.trace_dir;
  const bool temporary = dir.empty();
  if (temporary) {
    dir = make_temporary_folder("mintrock-lab");
  } else {
    fs::create_directories(dir);
  }
  bool ended_cleanly = false;
  CheckReport report;
  {
    Runner runner(options, dir);
    ended_cleanly = runner.play();
    report = runner.check();
  }
  std::fputs(report.table().c_str(), stdout);
  if (!options.report_file.empty()) {
    if (const fs::path in = fs::path(options.report_file).parent_path(); !in.empty())
      fs::create_directories(in);
    std::ofstream(options.report_file) << report.json() << "\n";
  }
  if (!options.plot_dir.empty()) write_plots(report, options.plot_dir);
  const bool good = ended_cleanly && report.passed();
  if (temporary && good) {
    fs::remove_all(dir);
  } else {
    std::printf("traces and logs: %s\n", dir.c_str());
  }
  return good ? 0 : 1;
}

}  // namespace mintrock::lab
