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

constexpr double kMicro = 1e-6;
constexpr double kStart = 2;           // s that a run is given before the first trouble
constexpr double kReleasePart = 0.15;  // of a call's work, where the day tells no more than their sum
constexpr double kProxyBack = 1;       // s until a restarted proxy is up again

std::string seconds(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3fs", value);
  return text;
}

std::string figure(double value) {
  char text[32];
  std::snprintf(text, sizeof text, "%.4g", value);
  return text;
}

double number(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end() || !found->is_number()) {
    throw std::runtime_error(std::string("the day has no figure '") + key + "'");
  }
  return found->get<double>();
}

const json& member(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end()) throw std::runtime_error(std::string("the day has no '") + key + "'");
  return *found;
}

class Importer {
 public:
  Importer(const json& day, std::uint32_t cores, std::uint32_t proxies)
      : day_(day),
        cores_(std::min<std::uint32_t>(
            cores, static_cast<std::uint32_t>(std::lround(number(member(day, "fam"), "n"))))),
        proxies_(
            std::min<std::uint32_t>(proxies, static_cast<std::uint32_t>(member(day, "balancers").size()))) {
    if (cores_ == 0 || proxies_ == 0) throw std::runtime_error("the day has no servers, or no proxies");
  }

  std::string scenario() {
    length_ = std::min(600.0, number(day_, "length") * kMicro);
    for (const json& trouble : member(day_, "troubles")) read(trouble);
    const json& clients = member(day_, "clients");
    const json& allow = member(day_, "allow");
    const json& fam = member(day_, "fam");
    const json& kind = member(day_, "tiers").at(0).at("kinds").at(0);
    // The day's servers as many as are wanted here, each with the mean of what theirs take.
    const double each = number(fam, "capacity") / std::max<double>(1, number(fam, "n"));
    const double work = 1 / each;
    const double rate = number(member(day_, "traffic"), "load") * each * cores_;
    double deadline = 0;
    for (const json& c : member(day_, "classes"))
      deadline = std::max(deadline, number(c, "deadline") * kMicro);
    std::string out =
        "# From a bench day: its kinds of trouble, sizes and rates, scaled to what stands below.\n";
    for (const std::string& note : notes_) out += "# " + note + "\n";
    out += "name: imported-day\nduration: " + seconds(length_) + "\nproxies: " + std::to_string(proxies_) +
           "\ncallers: " + std::to_string(3 * proxies_) + "\ncores: " + std::to_string(cores_) + "\n";
    out += "load: {rate: " + figure(rate) +
           ", patience: " + seconds(deadline * number(clients, "try_share")) +
           ", redials: " + std::to_string(static_cast<int>(number(clients, "retries"))) +
           ", redial_after: " + seconds(std::max(0.01, number(clients, "backoff_us") * kMicro)) +
           ", abandon: " + figure(std::min(1.0, abandon_ + number(clients, "impatient"))) + "}\n";
    out += "processor: {setup_work: " + seconds(work * (1 - kReleasePart)) +
           ", release_work: " + seconds(work * kReleasePart) +
           ", full_after: " + seconds(number(fam, "queue") * kMicro) + "}\n";
    out += "rules: {release_wait: " + seconds(number(fam, "release") * kMicro) +
           ", start_capacity: " + figure(number(kind, "cold_from")) +
           ", warm_up: " + seconds(number(kind, "cold") * kMicro) +
           ", overload_factor: " + figure(number(day_, "fall_multiple")) +
           ", fall_time: " + seconds(number(day_, "fall_for") * kMicro) +
           ", attempt_limit: " + std::to_string(static_cast<int>(number(allow, "max_attempts"))) +
           ", max_retry_after: " + seconds(number(clients, "max_retry_after") * kMicro) +
           ", cancel: " + (allow.value("cancel", false) ? "true" : "false") +
           ", callers_mark_redials: " + (clients.value("marks_retry", false) ? "true" : "false") +
           ", drain_grace: " + seconds(number(day_, "drain_grace") * kMicro) + "}\n";
    out += "list_delay: " + seconds(number(member(day_, "discovery"), "notice") * kMicro) + "\nclasses:\n";
    std::uint32_t service = 0;
    for (const json& c : member(day_, "classes")) {
      const double hold = number_at(member(fam, "hold"), service) * kMicro;
      const std::string effect = c.value("effect", "safe");
      out += "  - {name: " + json(c.value("name", "class")).dump() +
             ", service_identifier: " + std::to_string(++service) + ", share: " + figure(number(c, "share")) +
             ", hold: " + seconds(hold) + ", aim: " + seconds(number(c, "aim") * kMicro) +
             ", deadline: " + seconds(number(c, "deadline") * kMicro) +
             ", value: " + figure(number(c, "worth")) + ", effect: " +
             (effect == "unsafe"  ? "once"
              : effect == "keyed" ? "by_key"
                                  : "repeatable") +
             "}\n";
    }
    return out + "events:" + (events_.empty() ? " []\n" : "\n" + events_);
  }

 private:
  static double number_at(const json& list, std::size_t place) {
    if (!list.is_array() || place >= list.size() || !list[place].is_number()) {
      throw std::runtime_error("the day has no holding time for a class");
    }
    return list[place].get<double>();
  }

  void event(double at, const std::string& kind, const std::string& rest) {
    if (at + kStart >= length_) return;
    events_ += "  - {at: " + seconds(at + kStart) + ", kind: " + kind + rest + "}\n";
  }
  std::string core(std::size_t server) const { return ", core: " + std::to_string(server % cores_); }

  // The servers that a trouble is on, as they are counted here; each once.
  std::vector<std::size_t> servers(const json& trouble) const {
    std::vector<std::size_t> out;
    for (const json& each : member(trouble, "on")) {
      const std::size_t here = each.get<std::size_t>() % cores_;
      if (std::find(out.begin(), out.end(), here) == out.end()) out.push_back(here);
    }
    // Scaled down, a trouble of some of many must not become one of all, unless it was one of all.
    const double part = static_cast<double>(member(trouble, "on").size()) / number(member(day_, "fam"), "n");
    const auto most = static_cast<std::size_t>(std::max(1.0, std::round(part * cores_)));
    if (out.size() > most) out.resize(most);
    return out;
  }

  void read(const json& trouble) {
    const std::string kind = member(trouble, "kind").get<std::string>();
    const double at = number(trouble, "at") * kMicro;
    const double len = number(trouble, "len") * kMicro;
    const double size = number(trouble, "size");
    const double extra = number(trouble, "extra");
    const std::string lasting = ", for: " + seconds(len);
    if (kind == "burst") {
      event(at, "surge", ", factor: " + figure(size) + lasting);
    } else if (kind == "slow" || kind == "shared_slow") {
      for (const auto s : servers(trouble))
        event(at, "slow", core(s) + ", factor: " + figure(size) + lasting);
    } else if (kind == "hang") {
      for (const auto s : servers(trouble)) event(at, "swallow", core(s) + lasting);
    } else if (kind == "crash" || kind == "mass_restart") {
      for (const auto s : servers(trouble)) event(at, "crash", core(s) + lasting);
    } else if (kind == "answer_lost") {
      for (const auto s : servers(trouble)) {
        event(at, "lose_answers", core(s) + ", share: " + figure(std::min(1.0, size)) + lasting);
      }
    } else if (kind == "pauses") {
      for (const auto s : servers(trouble)) {
        for (double t = at; t < at + len; t += std::max(0.5, extra)) {
          event(t, "pause", core(s) + ", for: " + seconds(size / 1000));
        }
      }
    } else if (kind == "ageing") {  // slower and slower, then gone, then back cold
      constexpr int kSteps = 4;
      for (const auto s : servers(trouble)) {
        for (int i = 0; i < kSteps; ++i) {
          event(at + len * i / kSteps, "slow",
                core(s) + ", factor: " + figure(1 + (size - 1) * (i + 1) / kSteps) +
                    ", for: " + seconds(len / kSteps));
        }
        event(at + len, "crash", core(s) + ", for: " + seconds(std::max(0.1, extra)));
      }
    } else if (kind == "deploy") {
      std::size_t last = cores_;
      for (const json& step : member(trouble, "steps")) {
        for (const json& stopped : member(step, "stop")) {
          const std::size_t here = stopped.get<std::size_t>() % cores_;
          if (here == last) continue;
          last = here;
          event(number(step, "at") * kMicro, "drain", core(here) + ", for: " + seconds(std::max(0.1, extra)));
        }
      }
    } else if (kind == "balancer_roll") {
      std::size_t next = 0;
      const double part =
          static_cast<double>(proxies_) / static_cast<double>(member(day_, "balancers").size());
      double owed = 0;
      for (const json& step : member(trouble, "steps")) {
        owed += part * static_cast<double>(member(step, "stop").size());
        for (; owed >= 0.5 && next < proxies_; owed -= 1, ++next) {
          event(number(step, "at") * kMicro, "kill_proxy",
                ", proxy: " + std::to_string(next) + ", for: " + seconds(kProxyBack));
        }
      }
    } else if (kind == "give_up") {
      abandon_ += std::min(0.5, size);
      notes_.push_back("give_up: the share of callers who leave holds for the whole run here");
    } else if (kind == "hot_key") {
      event(at, "hot_number", ", share: " + figure(std::min(1.0, size)) + ", lines: 1" + lasting);
    } else {
      notes_.push_back(kind + ": left out, the lab has no such trouble");
    }
  }

  const json& day_;
  std::uint32_t cores_;
  std::uint32_t proxies_;
  double length_ = 0;
  double abandon_ = 0;
  std::string events_;
  std::vector<std::string> notes_;
};

}  // namespace

std::string import_day(const std::string& file, std::uint32_t cores, std::uint32_t proxies) {
  std::ifstream in(file);
  if (!in) throw std::runtime_error(file + ": cannot be read");
  const json day = json::parse(in, nullptr, false);
  if (!day.is_object()) throw std::runtime_error(file + ": is no JSON object");
  try {
    return Importer(day, cores, proxies).scenario();
  } catch (const std::exception& error) {
    throw std::runtime_error(file + ": " + error.what());
  }
}

}  // namespace mintrock::lab
