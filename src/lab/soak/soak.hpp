// A soak: one short, dense, seeded trial of a few real edge proxies (mintrock-edge --platform) with
// overlapping faults. The rule checker checks what passes on the sockets.
#ifndef MINTROCK_SRC_LAB_SOAK_SOAK_HPP_
#define MINTROCK_SRC_LAB_SOAK_SOAK_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/soak/callers.hpp"
#include "lab/soak/core_server.hpp"
#include "lab/soak/rule_checker.hpp"

namespace mintrock::lab::soak {

// The kinds of faults that a trial's script may draw from.
struct Faults {
  bool shutdowns = true;     // SIGTERM, SIGKILL at the earliest time that the platform allows, restart
  bool kills = true;         // SIGKILL without notice
  bool reloads = true;       // SIGHUP in quick succession, with configurations that move discovery elsewhere
  bool core_servers = true;  // they hang, crash, vanish, drain and are replaced
  bool network = true;       // resets, silence, connections that open late or are closed at once
  bool discovery = true;     // silent, down, or closed in the middle of an event
  // Drawn from a generator of their own, so that the script of the other faults stays the same for a seed.
  bool signal_series = false;      // SIGTERM to all edge proxies in turn, more signals while they shut down
  bool connection_floods = false;  // in some trials: for a while, many times the calls and connections
  bool slow_discovery = false;     // it answers late, or one request after another, beside moves in a row
};

struct Options {
  std::uint64_t seed = 1;
  std::size_t edges = 3;
  std::size_t core_servers = 4;
  double duration_s = 12;              // of calls and faults; then the trial waits for what is pending
  double mean_fault_interval_s = 0.5;  // between two faults drawn by the script
  std::string edge_program;
  std::string dir;  // for logs and configurations
  Faults faults;
  CoreBehaviour core_behaviour;
  CallerBehaviour caller_behaviour;
  Limits limits;
};

struct Report {
  std::vector<Violation> violations;
  std::vector<std::string> timeline;  // the steps of the script, with their times
  std::size_t setups_sent = 0;
  std::size_t calls_served = 0;
  std::size_t ends_notified = 0;
  bool settled = false;
  bool passed() const { return violations.empty() && settled; }
};

// Throws StartError if an edge proxy can't be started or the trial's files can't be written.
Report run(const Options& options);

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_SOAK_HPP_
