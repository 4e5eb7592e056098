// Rule four by the sum of the fleet, without sockets: 30 and 300 Controllers before the same servers, with
// uneven traffic, news that reaches each at its own time, and proxies that start again during the ramp.
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

constexpr ServerId kCold = 100;    // a new server, with a new id
constexpr ServerId kReturned = 1;  // one that starts again under its id
constexpr double kCapacity = 40;   // calls a second of a warm server
constexpr int kWarm = 8;
constexpr Time kBorn = 12;
constexpr Time kEnd = 24;

Settings settings_of(std::uint32_t fleet) {
  Settings out = usual();
  out.start_capacity = 0.1;
  out.warm_up_s = 30;
  out.fleet_size = fleet;
  return out;
}

class Fleet {
 public:
  Fleet(std::uint32_t size, std::uint64_t seed, bool told_of_starts)
      : settings_(settings_of(size)), random_(seed), told_of_starts_(told_of_starts), proxies_(size) {
    std::lognormal_distribution<> uneven(0, 0.8);
    double sum = 0;
    for (Proxy& each : proxies_) sum += each.share = uneven(random_);
    for (std::uint32_t i = 0; i < size; ++i) {
      start(i);
      later(gap(proxies_[i].share / sum), [this, i, rate = proxies_[i].share / sum] { offer(i, rate); });
      // News is late, by up to two seconds, and one in ten proxies starts again during the ramp.
      proxies_[i].hears = kBorn + 2 * uniform();
      later(proxies_[i].hears, [this, i] { tell(i); });
      if (uniform() < 0.1) {
        const Time again = kBorn + 1 + 6 * uniform();
        later(again, [this, i] { start(i); });
      }
    }
    while (!events_.empty() && events_.top().at < kEnd) {
      const Entry next = events_.top();
      events_.pop();
      now_ = next.at;
      next.fn();
    }
  }

  // The fullest window of the server's, over what it may take then; above 1 it would have fallen.
  double worst(ServerId server) const {
    std::deque<Time> window;
    double out = 0;
    for (const Time at : arrivals_.at(server)) {
      window.push_back(at);
      while (window.front() <= at - settings_.fall_s) window.pop_front();
      const double warm = std::min(1.0, (at - kBorn) / settings_.warm_up_s);
      const double present = settings_.start_capacity + (1 - settings_.start_capacity) * warm;
      const double n = settings_.overload_factor * present * kCapacity * settings_.fall_s;
      out = std::max(out, static_cast<double>(window.size()) / (n + 2 * std::sqrt(n) + 2));
    }
    return out;
  }
  std::size_t sent(ServerId server) const { return arrivals_.at(server).size(); }
  std::size_t stood() const { return stood_; }

 private:
  struct Proxy {
    std::unique_ptr<Controller> controller;
    double share = 0;
    Time hears = 0;
    std::uint32_t life = 0;
    std::map<CallId, std::uint32_t> attempts;
  };
  struct Entry {
    Time at;
    std::uint64_t order;
    std::function<void()> fn;
    bool operator<(const Entry& other) const { return at != other.at ? at > other.at : order > other.order; }
  };

  double uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  double gap(double share) {
    return std::exponential_distribution<>(0.8 * kWarm * kCapacity * share)(random_);
  }
  void later(Time at, std::function<void()> fn) { events_.push({at, ++order_, std::move(fn)}); }

  ServerEntry entry(ServerId id, bool fresh) const {
    ServerEntry out;
    out.id = id;
    out.node = static_cast<std::uint32_t>(id);
    if (fresh && told_of_starts_) out.since = kBorn;
    return out;
  }
  void start(std::uint32_t i) {
    Proxy& proxy = proxies_[i];
    Settings own = settings_;
    own.own_number = i;
    proxy.controller = std::make_unique<Controller>(own, random_());
    proxy.life += 1;
    proxy.attempts.clear();
    handle(i, Started{});
    ServerList list;
    const bool told = now_ >= kBorn;  // a list at start is the newest one
    for (ServerId id = 1; id <= kWarm; ++id) list.entries.push_back(entry(id, told && id == kReturned));
    if (told) list.entries.push_back(entry(kCold, true));
    handle(i, list);
  }
  void tell(std::uint32_t i) {
    ServerList list;
    list.mode = ServerList::Mode::kDelta;
    list.entries = {entry(kCold, true), entry(kReturned, true)};
    handle(i, list);
  }
  void offer(std::uint32_t i, double share) {
    NewCall call;
    call.call = ++last_;
    call.key = last_;
    call.ttl_s = 2;
    handle(i, call);
    later(now_ + gap(share), [this, i, share] { offer(i, share); });
  }
  void handle(std::uint32_t i, const Event& event) {
    std::vector<Action> actions;
    proxies_[i].controller->handle(now_, event, actions);
    const std::uint32_t life = proxies_[i].life;
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendSetup>(&action)) {
        sent_to(i, life, *send);
      } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
        later(now_ + timer->after_s, [this, i, life, token = timer->token] {
          if (proxies_[i].life == life) handle(i, TimerFired{token});
        });
      }
    }
  }
  void sent_to(std::uint32_t i, std::uint32_t life, const SendSetup& send) {
    // Only what comes of proxies that had been told of the start counts: the others can't know.
    if (now_ >= kBorn && (send.server == kCold || now_ >= proxies_[i].hears || life > 1)) {
      arrivals_[send.server].push_back(now_);
    }
    const std::uint32_t attempt = proxies_[i].attempts[send.call]++;
    later(now_ + 0.02, [this, i, life, send, attempt] {
      if (proxies_[i].life != life) return;
      stood_ += 1;
      handle(i, SetupStood{send.call, attempt, send.server, 0.02});
    });
    later(now_ + 1, [this, i, life, send, attempt] {
      if (proxies_[i].life != life) return;
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
  bool told_of_starts_;
  Time now_ = 0;
  std::uint64_t order_ = 0;
  CallId last_ = 0;
  std::size_t stood_ = 0;
  std::vector<Proxy> proxies_;
  std::priority_queue<Entry> events_;
  std::map<ServerId, std::vector<Time>> arrivals_{{kCold, {}}, {kReturned, {}}};
};

class ColdFleet : public testing::TestWithParam<std::uint32_t> {};

TEST_P(ColdFleet, NoColdServerFallsUnderTheSumOfAllProxies) {
  constexpr std::uint64_t kSeeds = 12;
  double worst = 0;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const Fleet fleet(GetParam(), seed, true);
    for (const ServerId server : {kCold, kReturned}) {
      EXPECT_LE(fleet.worst(server), 1) << "seed " << seed << ", server " << server;
      worst = std::max(worst, fleet.worst(server));
    }
    EXPECT_GT(fleet.sent(kCold), 0u) << "it is used at all";
    EXPECT_GT(fleet.stood(), 1000u);
  }
  RecordProperty("worst_share_of_bound", std::to_string(worst));
  std::printf("%u proxies, %u seeds: the fullest window is %.2f of its bound\n", GetParam(),
              static_cast<unsigned>(kSeeds), worst);
}

// The guard off: with the starts untold, nothing holds the fleet back. Else the test above shows nothing.
TEST_P(ColdFleet, WithoutTheBudgetTheSameFleetWouldPushItOver) {
  const Fleet fleet(GetParam(), 1, false);
  EXPECT_GT(std::max(fleet.worst(kCold), fleet.worst(kReturned)), 1);
}

INSTANTIATE_TEST_SUITE_P(Sizes, ColdFleet, testing::Values(30u, 300u));

}  // namespace
}  // namespace mintrock
