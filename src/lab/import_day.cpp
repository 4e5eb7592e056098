#include "lab/import_day.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace mintrock::lab {
namespace {

using nlohmann::json;

constexpr double kMicrosecond = 1e-6;  // s
constexpr double kFirstFaultAt = 2;    // s from the start of the run to the earliest fault
// Share of a call's work; the day gives only the sum of set-up and release.
constexpr double kReleaseShare = 0.15;
constexpr double kProxyDowntime = 1;  // s until a restarted proxy is up again

std::string format_seconds(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3fs", value);
  return text;
}

std::string format_number(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

double require_number(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end() || !found->is_number()) {
    throw std::runtime_error(std::string("the day has no number '") + key + "'");
  }
  return found->get<double>();
}

const json& require_member(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end()) throw std::runtime_error(std::string("the day has no '") + key + "'");
  return *found;
}

class Importer {
 public:
  Importer(const json& day, std::uint32_t cores, std::uint32_t proxies)
      : day_(day),
        cores_(std::min<std::uint32_t>(
            cores, static_cast<std::uint32_t>(std::lround(require_number(require_member(day, "fam"), "n"))))),
        proxies_(std::min<std::uint32_t>(
            proxies, static_cast<std::uint32_t>(require_member(day, "balancers").size()))) {
    if (cores_ == 0 || proxies_ == 0) throw std::runtime_error("the day has no servers, or no proxies");
  }

  std::string scenario() {
    length_ = std::min(600.0, require_number(day_, "length") * kMicrosecond);
    for (const json& fault : require_member(day_, "troubles")) add_fault(fault);
    const json& clients = require_member(day_, "clients");
    const json& allow = require_member(day_, "allow");
    const json& server_group = require_member(day_, "fam");
    const json& kind = require_member(day_, "tiers").at(0).at("kinds").at(0);
    // Each of the scenario's servers gets the mean capacity of the day's servers.
    const double server_capacity =
        require_number(server_group, "capacity") / std::max<double>(1, require_number(server_group, "n"));
    const double work = 1 / server_capacity;
    const double rate = require_number(require_member(day_, "traffic"), "load") * server_capacity * cores_;
    double deadline = 0;
    for (const json& c : require_member(day_, "classes"))
      deadline = std::max(deadline, require_number(c, "deadline") * kMicrosecond);
    std::string out =
        "# From a bench day: its kinds of faults, sizes and rates, scaled to the figures below.\n";
    for (const std::string& note : notes_) out += "# " + note + "\n";
    out += "name: imported-day\nduration: " + format_seconds(length_) +
           "\nproxies: " + std::to_string(proxies_) + "\ncallers: " + std::to_string(3 * proxies_) +
           "\ncores: " + std::to_string(cores_) + "\n";
    out +=
        "load: {rate: " + format_number(rate) +
        ", patience: " + format_seconds(deadline * require_number(clients, "try_share")) +
        ", redials: " + std::to_string(static_cast<int>(require_number(clients, "retries"))) +
        ", redial_after: " +
        format_seconds(std::max(0.01, require_number(clients, "backoff_us") * kMicrosecond)) +
        ", abandon: " + format_number(std::min(1.0, abandon_share_ + require_number(clients, "impatient"))) +
        "}\n";
    out += "processor: {setup_work: " + format_seconds(work * (1 - kReleaseShare)) +
           ", release_work: " + format_seconds(work * kReleaseShare) +
           ", full_after: " + format_seconds(require_number(server_group, "queue") * kMicrosecond) + "}\n";
    out += "rules: {release_wait: " + format_seconds(require_number(server_group, "release") * kMicrosecond) +
           ", start_capacity: " + format_number(require_number(kind, "cold_from")) +
           ", warm_up: " + format_seconds(require_number(kind, "cold") * kMicrosecond) +
           ", overload_factor: " + format_number(require_number(day_, "fall_multiple")) +
           ", fall_time: " + format_seconds(require_number(day_, "fall_for") * kMicrosecond) +
           ", attempt_limit: " + std::to_string(static_cast<int>(require_number(allow, "max_attempts"))) +
           ", max_retry_after: " + format_seconds(require_number(clients, "max_retry_after") * kMicrosecond) +
           ", cancel: " + (allow.value("cancel", false) ? "true" : "false") +
           ", callers_mark_redials: " + (clients.value("marks_retry", false) ? "true" : "false") +
           ", drain_grace: " + format_seconds(require_number(day_, "drain_grace") * kMicrosecond) + "}\n";
    out += "list_delay: " +
           format_seconds(require_number(require_member(day_, "discovery"), "notice") * kMicrosecond) +
           "\nclasses:\n";
    std::uint32_t service = 0;
    for (const json& c : require_member(day_, "classes")) {
      const double hold = require_number_at(require_member(server_group, "hold"), service) * kMicrosecond;
      const std::string effect = c.value("effect", "safe");
      out += "  - {name: " + json(c.value("name", "class")).dump() +
             ", service_identifier: " + std::to_string(++service) +
             ", share: " + format_number(require_number(c, "share")) + ", hold: " + format_seconds(hold) +
             ", aim: " + format_seconds(require_number(c, "aim") * kMicrosecond) +
             ", deadline: " + format_seconds(require_number(c, "deadline") * kMicrosecond) +
             ", value: " + format_number(require_number(c, "worth")) + ", effect: " +
             (effect == "unsafe"  ? "once"
              : effect == "keyed" ? "by_key"
                                  : "repeatable") +
             "}\n";
    }
    return out + "events:" + (events_.empty() ? " []\n" : "\n" + events_);
  }

 private:
  static double require_number_at(const json& list, std::size_t place) {
    if (!list.is_array() || place >= list.size() || !list[place].is_number()) {
      throw std::runtime_error("the day has no holding time for a class");
    }
    return list[place].get<double>();
  }

  void add_event(double at, const std::string& kind, const std::string& rest) {
    if (at + kFirstFaultAt >= length_) return;
    events_ += "  - {at: " + format_seconds(at + kFirstFaultAt) + ", kind: " + kind + rest + "}\n";
  }
  std::string core(std::size_t server) const { return ", core: " + std::to_string(server % cores_); }

  // The servers that a fault concerns, as numbers in the scenario, without duplicates.
  std::vector<std::size_t> servers(const json& fault) const {
    std::vector<std::size_t> out;
    for (const json& each : require_member(fault, "on")) {
      const std::size_t server = each.get<std::size_t>() % cores_;
      if (std::find(out.begin(), out.end(), server) == out.end()) out.push_back(server);
    }
    // When scaled down, a fault of only some of the servers must not become a fault of all of them.
    const double share = static_cast<double>(require_member(fault, "on").size()) /
                         require_number(require_member(day_, "fam"), "n");
    const auto max_servers = static_cast<std::size_t>(std::max(1.0, std::round(share * cores_)));
    if (out.size() > max_servers) out.resize(max_servers);
    return out;
  }

  void add_fault(const json& fault) {
    const std::string kind = require_member(fault, "kind").get<std::string>();
    const double at = require_number(fault, "at") * kMicrosecond;
    const double len = require_number(fault, "len") * kMicrosecond;
    const double size = require_number(fault, "size");
    const double extra = require_number(fault, "extra");
    const std::string duration = ", for: " + format_seconds(len);
    if (kind == "burst") {
      add_event(at, "surge", ", factor: " + format_number(size) + duration);
    } else if (kind == "slow" || kind == "shared_slow") {
      for (const auto server : servers(fault))
        add_event(at, "slow", core(server) + ", factor: " + format_number(size) + duration);
    } else if (kind == "hang") {
      for (const auto server : servers(fault)) add_event(at, "swallow", core(server) + duration);
    } else if (kind == "crash" || kind == "mass_restart") {
      for (const auto server : servers(fault)) add_event(at, "crash", core(server) + duration);
    } else if (kind == "answer_lost") {
      for (const auto server : servers(fault)) {
        add_event(at, "lose_answers",
                  core(server) + ", share: " + format_number(std::min(1.0, size)) + duration);
      }
    } else if (kind == "pauses") {
      for (const auto server : servers(fault)) {
        for (double t = at; t < at + len; t += std::max(0.5, extra)) {
          add_event(t, "pause", core(server) + ", for: " + format_seconds(size / 1000));
        }
      }
    } else if (kind == "ageing") {  // slows down in steps, crashes, and comes back cold
      constexpr int kSteps = 4;
      for (const auto server : servers(fault)) {
        for (int i = 0; i < kSteps; ++i) {
          add_event(at + len * i / kSteps, "slow",
                    core(server) + ", factor: " + format_number(1 + (size - 1) * (i + 1) / kSteps) +
                        ", for: " + format_seconds(len / kSteps));
        }
        add_event(at + len, "crash", core(server) + ", for: " + format_seconds(std::max(0.1, extra)));
      }
    } else if (kind == "deploy") {
      std::size_t last = cores_;
      for (const json& step : require_member(fault, "steps")) {
        for (const json& stopped : require_member(step, "stop")) {
          const std::size_t server = stopped.get<std::size_t>() % cores_;
          if (server == last) continue;
          last = server;
          add_event(require_number(step, "at") * kMicrosecond, "drain",
                    core(server) + ", for: " + format_seconds(std::max(0.1, extra)));
        }
      }
    } else if (kind == "balancer_roll") {
      std::size_t next = 0;
      const double share =
          static_cast<double>(proxies_) / static_cast<double>(require_member(day_, "balancers").size());
      double pending_restarts = 0;
      for (const json& step : require_member(fault, "steps")) {
        pending_restarts += share * static_cast<double>(require_member(step, "stop").size());
        for (; pending_restarts >= 0.5 && next < proxies_; pending_restarts -= 1, ++next) {
          add_event(require_number(step, "at") * kMicrosecond, "kill_proxy",
                    ", proxy: " + std::to_string(next) + ", for: " + format_seconds(kProxyDowntime));
        }
      }
    } else if (kind == "give_up") {
      abandon_share_ += std::min(0.5, size);
      notes_.push_back("give_up: the share of callers who hang up applies to the whole run");
    } else if (kind == "hot_key") {
      add_event(at, "hot_number", ", share: " + format_number(std::min(1.0, size)) + ", lines: 1" + duration);
    } else {
      notes_.push_back(kind + ": left out, the lab has no such fault");
    }
  }

  const json& day_;
  std::uint32_t cores_;
  std::uint32_t proxies_;
  double length_ = 0;
  double abandon_share_ = 0;
  std::string events_;
  std::vector<std::string> notes_;
};

}  // namespace

std::string import_day(const std::string& file, std::uint32_t cores, std::uint32_t proxies) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error(file + ": cannot be read");
  const json day = json::parse(in, nullptr, false);
  if (!day.is_object()) throw std::runtime_error(file + ": is not a JSON object");
  try {
    return Importer(day, cores, proxies).scenario();
  } catch (const std::exception& error) {
    throw std::runtime_error(file + ": " + error.what());
  }
}

}  // namespace mintrock::lab
