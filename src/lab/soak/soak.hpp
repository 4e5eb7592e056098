// A soak: one short, dense, seeded trial of a few real edge proxies on the platform route, with faults that
// overlap, and the verdict of the ledger over what passed on the sockets.
#ifndef MINTROCK_SRC_LAB_SOAK_SOAK_HPP_
#define MINTROCK_SRC_LAB_SOAK_SOAK_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "lab/soak/callers.hpp"
#include "lab/soak/core_server.hpp"
#include "lab/soak/ledger.hpp"

namespace mintrock::lab::soak {

// Which kinds of trouble a trial's script may draw from.
struct Troubles {
  bool shutdowns = true;     // SIGTERM in series, SIGKILL at the earliest time, and starts again
  bool kills = true;         // SIGKILL without notice
  bool reloads = true;       // new configurations that move discovery, in quick succession
  bool core_servers = true;  // hang, die, vanish, are replaced and drained
  bool network = true;       // cuts, silence, connections that come up late or are closed early
  bool discovery = true;     // silent, down, broken off
  // Drawn apart from the others, whose script they leave as it is.
  bool signal_series = false;  // every edge proxy is ended, one after another, with more signals on the way
  bool crowds = false;         // for a while, many times the calls and connections; in some trials
};

struct Options {
  std::uint64_t seed = 1;
  std::size_t edges = 3;
  std::size_t core_servers = 4;
  double seconds = 12;         // with calls and trouble; then what is open is waited for
  double trouble_every = 0.5;  // s between two draws of the script, in the mean
  std::string edge_program;
  std::string dir;  // logs and configurations
  Troubles troubles;
  CoreBehaviour behaviour;
  CallerHabits habits;
  Limits limits;
};

struct Report {
  std::vector<Violation> violations;
  std::vector<std::string> timeline;  // the script's steps, with their times
  std::size_t taken = 0;
  std::size_t served = 0;
  std::size_t ended = 0;
  bool settled = false;
  bool good() const { return violations.empty() && settled; }
};

// Throws StartError where a proxy or the trial's files can't be started or written.
Report run(const Options& options);

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_SOAK_HPP_
