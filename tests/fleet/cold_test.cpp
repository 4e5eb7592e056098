// Checks the load limit of cold servers (the fourth rule) over a whole fleet, without sockets: 30 and 300
// Controllers in front of the same servers, with uneven traffic, list updates that reach each proxy at a
// different time, and proxies that restart during the warm-up.
#include <gtest/gtest.h>

#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <vector>

#include "mintrock/controller.hpp"
#include "usual_settings.hpp"

namespace mintrock {
namespace {

constexpr ServerId kNewServer = 100;      // a new server with a new id
constexpr ServerId kRestartedServer = 1;  // a server that restarts under its id
constexpr double kCapacity = 40;          // calls/s of a warm server
constexpr int kWarmServers = 8;
constexpr Time kServerStart = 12;
constexpr Time kEnd = 24;

Settings fleet_settings(std::uint32_t fleet) {
  Settings out = usual_settings();
  out.start_capacity = 0.1;
  out.warm_up_s = 30;
  out.fleet_size = fleet;
  return out;
}

class Fleet {
 public:
  Fleet(std::uint32_t size, std::uint64_t seed, bool list_has_starts)
      : settings_(fleet_settings(size)), random_(seed), list_has_starts_(list_has_starts), proxies_(size) {
    std::lognormal_distribution<> share_distribution(0, 0.8);
    double sum = 0;
    for (Proxy& each : proxies_) sum += each.share = share_distribution(random_);
    for (std::uint32_t i = 0; i < size; ++i) {
      start(i);
      schedule(next_gap(proxies_[i].share / sum),
               [this, i, rate = proxies_[i].share / sum] { offer(i, rate); });
      // List updates arrive up to two seconds late, and one in ten proxies restarts during the warm-up.
      proxies_[i].update_at = kServerStart + 2 * uniform();
      schedule(proxies_[i].update_at, [this, i] { send_update(i); });
      if (uniform() < 0.1) {
        const Time restart_at = kServerStart + 1 + 6 * uniform();
        schedule(restart_at, [this, i] { start(i); });
      }
    }
    while (!events_.empty() && events_.top().at < kEnd) {
      const ScheduledEvent next = events_.top();
      events_.pop();
      now_ = next.at;
      next.callback();
    }
  }

  // The highest number of set-ups sent to the server within fall_s, relative to the number that it can take
  // at that time; above 1 it would have failed.
  double max_window_share(ServerId server) const {
    std::deque<Time> window;
    double max_share = 0;
    for (const Time at : arrivals_.at(server)) {
      window.push_back(at);
      while (window.front() <= at - settings_.fall_s) window.pop_front();
      const double warmth = std::min(1.0, (at - kServerStart) / settings_.warm_up_s);
      const double capacity = settings_.start_capacity + (1 - settings_.start_capacity) * warmth;
      const double limit = settings_.overload_factor * capacity * kCapacity * settings_.fall_s;
      max_share =
          std::max(max_share, static_cast<double>(window.size()) / (limit + 2 * std::sqrt(limit) + 2));
    }
    return max_share;
  }
  std::size_t attempts_at(ServerId server) const { return arrivals_.at(server).size(); }
  std::size_t established() const { return established_; }

 private:
  struct Proxy {
    std::unique_ptr<Controller> controller;
    double share = 0;
    Time update_at = 0;
    std::uint32_t run = 0;
    std::map<CallId, std::uint32_t> attempts;
  };
  struct ScheduledEvent {
    Time at;
    std::uint64_t order;
    std::function<void()> callback;
    bool operator<(const ScheduledEvent& other) const {
      return at != other.at ? at > other.at : order > other.order;
    }
  };

  double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  double next_gap(double share) {
    return std::exponential_distribution<>(0.8 * kWarmServers * kCapacity * share)(random_);
  }
  void schedule(Time at, std::function<void()> callback) {
    events_.push({at, ++order_, std::move(callback)});
  }

  ServerEntry entry(ServerId id, bool just_started) const {
    ServerEntry out;
    out.id = id;
    out.node = static_cast<std::uint32_t>(id);
    if (just_started && list_has_starts_) out.since = kServerStart;
    return out;
  }
  void start(std::uint32_t i) {
    Proxy& proxy = proxies_[i];
    Settings own = settings_;
    own.own_number = i;
    proxy.controller = std::make_unique<Controller>(own, random_());
    proxy.run += 1;
    proxy.attempts.clear();
    handle(i, Started{});
    ServerList list;
    const bool started = now_ >= kServerStart;  // a restarted proxy gets the newest list
    for (ServerId id = 1; id <= kWarmServers; ++id)
      list.entries.push_back(entry(id, started && id == kRestartedServer));
    if (started) list.entries.push_back(entry(kNewServer, true));
    handle(i, list);
  }
  void send_update(std::uint32_t i) {
    ServerList list;
    list.mode = ServerList::Mode::kDelta;
    list.entries = {entry(kNewServer, true), entry(kRestartedServer, true)};
    handle(i, list);
  }
  void offer(std::uint32_t i, double share) {
    NewCall call;
    call.call = ++last_call_;
    call.key = last_call_;
    call.ttl_s = 2;
    handle(i, call);
    schedule(now_ + next_gap(share), [this, i, share] { offer(i, share); });
  }
  void handle(std::uint32_t i, const Event& event) {
    std::vector<Action> actions;
    proxies_[i].controller->handle(now_, event, actions);
    const std::uint32_t run = proxies_[i].run;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendSetup>(&action)) {
        simulate_setup(i, run, *send);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        schedule(now_ + timer->after_s, [this, i, run, token = timer->token] {
          if (proxies_[i].run == run) handle(i, TimerFired{token});
        });
      }
    }
  }
  void simulate_setup(std::uint32_t i, std::uint32_t run, const SendSetup& send) {
    // Counts only set-ups of proxies that have received the update: the others can't know of the start.
    if (now_ >= kServerStart && (send.server == kNewServer || now_ >= proxies_[i].update_at || run > 1)) {
      arrivals_[send.server].push_back(now_);
    }
    const std::uint32_t attempt = proxies_[i].attempts[send.call]++;
    schedule(now_ + 0.02, [this, i, run, send, attempt] {
      if (proxies_[i].run != run) return;
      established_ += 1;
      handle(i, SetupStood{send.call, attempt, send.server, 0.02});
    });
    schedule(now_ + 1, [this, i, run, send, attempt] {
      if (proxies_[i].run != run) return;
      AttemptEnded end;
      end.call = send.call;
      end.attempt = attempt;
      end.server = send.server;
      end.call_ended = true;
      handle(i, end);
      proxies_[i].attempts.erase(send.call);
    });
  }

  Settings settings_;
  std::mt19937_64 random_;
  bool list_has_starts_;
  Time now_ = 0;
  std::uint64_t order_ = 0;
  CallId last_call_ = 0;
  std::size_t established_ = 0;
  std::vector<Proxy> proxies_;
  std::priority_queue<ScheduledEvent> events_;
  std::map<ServerId, std::vector<Time>> arrivals_{{kNewServer, {}}, {kRestartedServer, {}}};
};

class ColdFleet : public testing::TestWithParam<std::uint32_t> {};

TEST_P(ColdFleet, NoColdServerIsOverloadedByTheWholeFleet) {
  constexpr std::uint64_t kSeeds = 12;
  double max_share = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Fleet fleet(GetParam(), seed, true);
    for (const ServerId server : {kNewServer, kRestartedServer}) {
      EXPECT_LE(fleet.max_window_share(server), 1) << "seed " << seed << ", server " << server;
      max_share = std::max(max_share, fleet.max_window_share(server));
    }
    EXPECT_GT(fleet.attempts_at(kNewServer), 0u) << "the server gets no calls";
    EXPECT_GT(fleet.established(), 1000u);
  }
  RecordProperty("worst_share_of_bound", std::to_string(max_share));
  std::printf("%u proxies, %u seeds: the fullest window is %.2f of its bound\n", GetParam(),
              static_cast<unsigned>(kSeeds), max_share);
}

// Without start times in the list, nothing limits the fleet. This shows that the test above would fail
// without the limit.
TEST_P(ColdFleet, WithoutStartTimesTheFleetOverloadsTheServer) {
  const Fleet fleet(GetParam(), 1, false);
  EXPECT_GT(std::max(fleet.max_window_share(kNewServer), fleet.max_window_share(kRestartedServer)), 1);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ColdFleet, testing::Values(30u, 300u));

}  // namespace
}  // namespace mintrock
