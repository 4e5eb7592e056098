// Starts a whole installation, one process a part, plays the script and checks the rules.
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
#include "lab/line.hpp"
#include "lab/live.hpp"
#include "lab/parts.hpp"
#include "lab/plot.hpp"
#include "lab/process.hpp"
#include "lab/trace.hpp"

namespace mintrock::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

constexpr double kStartUp = 1.5;  // s from the start of the parts to the script's beginning
constexpr double kGrace = 25;     // s for a part to stop; the callers take up to 15 s for their last ends

std::string yaml_time(double seconds) { return std::to_string(seconds) + "s"; }

std::string proxy_config(const Scenario& s, const RunFile& run, std::uint32_t number,
                         const std::string& dir) {
  const auto at = [](std::uint16_t port) { return "\"" + net::Address{0x7F000001, port}.str() + "\""; };
  std::string out = "node: {identity: " + proxy_name(number) + ", realm: " + kRealm +
                    ", listen: " + at(run.proxies[number]) + ", admin: " + at(run.admins[number]) + "}\n";
  out += std::string("core: {watchdog: ") + (s.core_watchdog ? "true" : "false") +
         ", watchdog_interval: " + yaml_time(s.watchdog_s) + ", reconnect: 300ms}\n";
  out += "callers: {watchdog_interval: " + yaml_time(s.watchdog_s) + "}\n";
  out += "list: {server: " + at(run.list) + ", path: \"/list?proxy=" + proxy_name(number) +
         "\", cache_file: \"" + dir + "/list-" + std::to_string(number) +
         ".json\", reconnect: 500ms, idle: 10s}\n";
  out += "fleet: {size: " + std::to_string(s.proxies) + ", own_number: " + std::to_string(number);
  if (s.proxies > 1) {
    out += ", listen: " + at(run.fleet[number]) + ", peers: [";
    for (std::uint32_t i = 0; i < s.proxies; ++i) out += (i > 0 ? ", " : "") + at(run.fleet[i]);
    out += "]";
  }
  out += "}\nclasses:\n";
  static const char* const kEffects[] = {"repeatable", "by_key", "once"};
  for (const auto& each : s.classes) {
    out += "  - {name: " + each.name + ", service_identifier: " + std::to_string(each.service_identifier) +
           ", aim: " + yaml_time(each.told.aim_s) + ", deadline: " + yaml_time(each.told.deadline_s) +
           ", value: " + std::to_string(each.told.value) +
           ", effect: " + kEffects[static_cast<int>(each.told.effect)] + "}\n";
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
    for (const auto& [pid, what] : alive_) kill(pid, SIGKILL);
    for (const auto& [pid, what] : alive_) waitpid(pid, nullptr, 0);
  }

  bool play() {
    std::error_code ignored;
    fs::copy_file(options_.scenario_file, dir_ + "/scenario.yaml", fs::copy_options::overwrite_existing,
                  ignored);
    PortFinder ports;
    run_.list = ports.next();
    for (std::uint32_t i = 0; i < scenario_.cores; ++i) run_.cores.push_back(ports.next());
    for (std::uint32_t i = 0; i < scenario_.proxies; ++i) {
      run_.proxies.push_back(ports.next());
      run_.admins.push_back(ports.next());
      run_.fleet.push_back(ports.next());
    }
    run_.epoch = net::monotonic_now() + kStartUp;
    run_.epoch_wall = net::wall_now() + kStartUp;
    save_run_file(run_, dir_);
    if (!options_.quiet) live_ = std::make_unique<Live>(scenario_, dir_, run_.epoch, options_.slack_s);
    const pid_t list = part("list");
    const pid_t core = part("core");
    proxies_.resize(scenario_.proxies);
    for (std::uint32_t i = 0; i < scenario_.proxies; ++i) {
      std::ofstream(dir_ + "/edge-" + std::to_string(i) + ".yaml") << proxy_config(scenario_, run_, i, dir_);
      start_proxy(i);
    }
    sleep_until(run_.epoch - 0.8);
    const pid_t call = part("call");
    struct Step {
      double at;
      std::function<void()> act;
    };
    std::vector<Step> steps;
    for (const Event& event : scenario_.events) {
      const bool killed = event.kind == Event::Kind::kKillProxy;
      if (!killed && event.kind != Event::Kind::kTermProxy) continue;
      steps.push_back({event.at_s, [this, &event, killed] {
                         stop_proxy(event.target, killed ? SIGKILL : SIGTERM, event.for_s);
                       }});
      steps.push_back({event.at_s + event.for_s, [this, &event] {
                         wait_for(proxies_[event.target]);
                         start_proxy(event.target);
                       }});
    }
    std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.at < b.at; });
    for (const Step& step : steps) {
      sleep_until(run_.epoch + step.at);
      step.act();
    }
    bool good = wait_for(call);
    if (live_) live_->end();
    for (std::uint32_t i = 0; i < scenario_.proxies; ++i) {
      if (alive_.count(proxies_[i]) != 0) kill(proxies_[i], SIGTERM);
    }
    for (const pid_t pid : proxies_) good &= alive_.count(pid) == 0 || wait_for(pid);
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
  pid_t part(const char* name) {
    const pid_t pid = spawn({"/proc/self/exe", name, "--scenario", dir_ + "/scenario.yaml", "--dir", dir_});
    alive_[pid] = name;
    return pid;
  }

  void note(std::uint32_t proxy, const json& text) {
    write_note(trace_, net::monotonic_now(), proxy_name(proxy), "", text.dump());
  }

  void start_proxy(std::uint32_t number) {
    note(number, {{"event", "proxy_started"}});
    const pid_t pid =
        spawn({options_.edge_program, "--config", dir_ + "/edge-" + std::to_string(number) + ".yaml"});
    alive_[pid] = proxy_name(number);
    proxies_[number] = pid;
  }

  void stop_proxy(std::uint32_t number, int signal, double for_s) {
    if (signal == SIGKILL) expected_.insert(proxies_[number]);
    note(number,
         {{"event", "fault"}, {"kind", signal == SIGKILL ? "kill_proxy" : "term_proxy"}, {"for", for_s}});
    kill(proxies_[number], signal);
  }

  // True if it ended well, or was killed on purpose. Bounded: what doesn't stop is killed and named.
  bool wait_for(pid_t pid) {
    const auto found = alive_.find(pid);
    if (found == alive_.end()) return true;
    const std::string name = found->second;
    const double until =
        std::max(net::monotonic_now(), run_.epoch + scenario_.duration_s + scenario_.patience_s) + kGrace;
    int status = 0;
    while (waitpid(pid, &status, WNOHANG) == 0) {
      if (net::monotonic_now() > until) {
        std::fprintf(stderr, "mintrock-lab: %s does not stop\n", name.c_str());
        kill(pid, SIGKILL);
        waitpid(pid, &status, 0);
        alive_.erase(pid);
        return false;
      }
      look();
      std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }
    alive_.erase(pid);
    const bool good = (WIFEXITED(status) && WEXITSTATUS(status) == 0) || expected_.count(pid) != 0;
    if (!good) std::fprintf(stderr, "mintrock-lab: %s ended with status %d\n", name.c_str(), status);
    return good;
  }

  void sleep_until(double when) {
    constexpr double kLook = 0.1;  // s
    for (double left = when - net::monotonic_now(); left > 0; left = when - net::monotonic_now()) {
      std::this_thread::sleep_for(std::chrono::duration<double>(std::min(left, kLook)));
      look();
    }
  }

  void look() {
    if (!live_) return;
    trace_.flush();
    live_->look(net::monotonic_now());
  }

  const RunOptions& options_;
  std::string dir_;
  Scenario scenario_;
  RunFile run_;
  TraceWriter trace_;
  std::unique_ptr<Live> live_;
  std::map<pid_t, std::string> alive_;
  std::set<pid_t> expected_;
  std::vector<pid_t> proxies_;
};

}  // namespace

void save_run_file(const RunFile& run, const std::string& dir) {
  std::ofstream(dir + "/run.json") << json{{"epoch", run.epoch},     {"epoch_wall", run.epoch_wall},
                                           {"list", run.list},       {"cores", run.cores},
                                           {"proxies", run.proxies}, {"admins", run.admins},
                                           {"fleet", run.fleet}}
                                          .dump();
}

RunFile load_run_file(const std::string& dir) {
  std::ifstream in(dir + "/run.json");
  const json from = json::parse(in, nullptr, false);
  if (!from.is_object()) throw std::runtime_error(dir + "/run.json: cannot be read");
  RunFile run;
  from.at("epoch").get_to(run.epoch);
  from.at("epoch_wall").get_to(run.epoch_wall);
  from.at("list").get_to(run.list);
  from.at("cores").get_to(run.cores);
  from.at("proxies").get_to(run.proxies);
  from.at("admins").get_to(run.admins);
  from.at("fleet").get_to(run.fleet);
  return run;
}

int run_all(const RunOptions& options) {
  std::string dir = options.trace_dir;
  const bool own = dir.empty();
  if (own) {
    dir = make_temporary_folder("mintrock-lab");
  } else {
    fs::create_directories(dir);
  }
  bool ended_well = false;
  CheckReport report;
  {
    Runner runner(options, dir);
    ended_well = runner.play();
    report = runner.check();
  }
  std::fputs(report.table().c_str(), stdout);
  if (!options.report.empty()) {
    if (const fs::path in = fs::path(options.report).parent_path(); !in.empty()) fs::create_directories(in);
    std::ofstream(options.report) << report.json() << "\n";
  }
  if (!options.plots.empty()) write_plots(report, options.plots);
  const bool good = ended_well && report.passed();
  if (own && good) {
    fs::remove_all(dir);
  } else {
    std::printf("traces and logs: %s\n", dir.c_str());
  }
  return good ? 0 : 1;
}

}  // namespace mintrock::lab
