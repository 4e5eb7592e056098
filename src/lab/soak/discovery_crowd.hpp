// A fleet that subscribes anew, all at once, to a discovery service that serves one request after another.
//
// Pure: a simulation on a clock of its own.
#ifndef MINTROCK_SRC_LAB_SOAK_DISCOVERY_CROWD_HPP_
#define MINTROCK_SRC_LAB_SOAK_DISCOVERY_CROWD_HPP_

#include <cstddef>
#include <cstdint>

namespace mintrock::lab::soak {

// How a proxy treats a request that is late.
enum class LatePolicy {
  kReplace,  // list::Subscription: it stays open beside another one
  kGiveUp,   // closed after a fixed time and sent again, with growing delays
};

struct Crowd {
  std::size_t proxies = 300;
  double requests_per_s = 100;  // served one after another; a closed request takes its time too
  std::size_t moves = 1;        // changes of address in a row, served by the same service
  double move_interval_s = 1;   // between two of them
  LatePolicy policy = LatePolicy::kReplace;
  std::uint64_t seed = 1;
};

struct CrowdReport {
  std::size_t requests = 0;      // that reached the service
  std::size_t subscribed = 0;    // proxies, at the end
  double last_subscribed_s = 0;  // s from the last change of address until the last of them was served
};

// Plays 60 s from the last change of address.
CrowdReport simulate(const Crowd& crowd);

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_DISCOVERY_CROWD_HPP_
