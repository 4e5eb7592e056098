#include "lab/soak/discovery_crowd.hpp"

#include <algorithm>
#include <deque>
#include <memory>
#include <random>
#include <set>
#include <vector>

#include "list/subscription.hpp"

namespace mintrock::lab::soak {
namespace {

using list::RequestId;
using list::Subscription;

constexpr double kStep = 0.002;         // s of simulated time
constexpr double kWatched = 60;         // s after the last change of address
constexpr double kCommentInterval = 1;  // s
constexpr list::SubscriptionSettings kTimes{/*retry_s=*/0.1, /*silence_s=*/2.0, /*late_silence_s=*/3.5};

// Closes a request that is not answered in time and sends it again.
class GivingUp {
 public:
  explicit GivingUp(std::uint64_t seed) : random_(seed) {}
  Subscription::Steps move(double now) {
    failures_ = 0;
    return replace(now);
  }
  Subscription::Steps received(RequestId, list::Received, double now) {
    due_ = now + kTimeout;
    return {};
  }
  Subscription::Steps tick(double now) {
    if (now < due_) return {};
    if (!open_) return replace(now);
    Subscription::Steps steps;
    steps.close.push_back(id_);
    open_ = false;
    due_ = now + kTimes.retry_s * (1 << std::min(failures_++, 3)) *
                     std::uniform_real_distribution<>(0.5, 1.0)(random_);
    return steps;
  }
  void connected(RequestId, double) {}
  Subscription::Steps start(double now) { return replace(now); }

 private:
  static constexpr double kTimeout = 2.5;  // s without data
  Subscription::Steps replace(double now) {
    Subscription::Steps steps;
    if (open_) steps.close.push_back(id_);
    steps.open = ++id_;
    open_ = true;
    due_ = now + kTimeout;
    return steps;
  }
  std::mt19937_64 random_;
  RequestId id_ = 0;
  bool open_ = false;
  int failures_ = 0;
  double due_ = 0;
};

template <typename Policy>
class Simulation {
 public:
  explicit Simulation(const Crowd& crowd) : crowd_(crowd) {
    for (std::size_t i = 0; i < crowd.proxies; ++i) proxies_.push_back({make(crowd.seed + i), {}});
  }
  CrowdReport run() {
    const double last_move = crowd_.move_interval_s * static_cast<double>(crowd_.moves - 1);
    std::size_t moves = 0;
    for (double now = 0; now < last_move + kWatched; now += kStep) {
      if (moves < crowd_.moves && now >= crowd_.move_interval_s * static_cast<double>(moves)) {
        moves += 1;
        report_.last_subscribed_s = 0;
        for (Proxy& each : proxies_) begin_move(each, moves == 1, now);
      }
      serve(now, last_move);
      for (Proxy& each : proxies_) {
        if (each.subscription != 0 && now >= each.comment_at) send_comment(each, now);
        carry_out(each, each.policy.tick(now), now);
      }
    }
    report_.subscribed = static_cast<std::size_t>(std::count_if(
        proxies_.begin(), proxies_.end(), [](const Proxy& each) { return each.subscription != 0; }));
    return report_;
  }

 private:
  struct Proxy {
    Policy policy;
    std::set<RequestId> open;
    RequestId subscription = 0;  // 0: none
    RequestId last_sent = 0;
    RequestId last_obsolete = 0;  // it and those before were sent to an earlier address, which is silent
    double comment_at = 0;
  };
  struct Queued {
    std::size_t proxy;
    RequestId id;
  };
  static Policy make(std::uint64_t seed);

  void begin_move(Proxy& proxy, bool first, double now) {
    proxy.subscription = 0;
    proxy.last_obsolete = proxy.last_sent;
    carry_out(proxy, first ? proxy.policy.start(now) : proxy.policy.move(now), now);
  }
  void carry_out(Proxy& proxy, const Subscription::Steps& steps, double now) {
    for (const RequestId id : steps.close) {
      proxy.open.erase(id);
      if (proxy.subscription == id) proxy.subscription = 0;
    }
    if (steps.open == 0) return;
    report_.requests += 1;
    proxy.open.insert(steps.open);
    proxy.last_sent = steps.open;
    proxy.policy.connected(steps.open, now);
    queue_.push_back({static_cast<std::size_t>(&proxy - proxies_.data()), steps.open});
  }
  void serve(double now, double last_move) {
    while (!queue_.empty() && now >= served_at_ + 1 / crowd_.requests_per_s) {
      const Queued next = queue_.front();
      queue_.pop_front();
      served_at_ = std::max(served_at_ + 1 / crowd_.requests_per_s, now - kStep);
      Proxy& proxy = proxies_[next.proxy];
      if (proxy.open.count(next.id) == 0 || next.id <= proxy.last_obsolete) continue;
      const bool first = proxy.subscription == 0;
      proxy.subscription = next.id;
      proxy.comment_at = now + kCommentInterval;
      if (first) report_.last_subscribed_s = now - last_move;
      carry_out(proxy, proxy.policy.received(next.id, list::Received::kEvent, now), now);
    }
  }
  void send_comment(Proxy& proxy, double now) {
    proxy.comment_at = now + kCommentInterval;
    carry_out(proxy, proxy.policy.received(proxy.subscription, list::Received::kComment, now), now);
  }

  Crowd crowd_;
  std::vector<Proxy> proxies_;
  std::deque<Queued> queue_;
  double served_at_ = 0;
  CrowdReport report_;
};

template <>
Subscription Simulation<Subscription>::make(std::uint64_t seed) {
  return Subscription(kTimes, seed);
}

template <>
GivingUp Simulation<GivingUp>::make(std::uint64_t seed) {
  return GivingUp(seed);
}

}  // namespace

CrowdReport simulate(const Crowd& crowd) {
  return crowd.policy == LatePolicy::kReplace ? Simulation<Subscription>(crowd).run()
                                              : Simulation<GivingUp>(crowd).run();
}

}  // namespace mintrock::lab::soak
