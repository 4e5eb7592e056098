// The stand-ins of a run, each started as a process of its own: core servers, pool list, callers. They share
// nothing but the scenario, the ports and the moment at which it all begins.
#ifndef MINTROCK_SRC_LAB_STAND_INS_HPP_
#define MINTROCK_SRC_LAB_STAND_INS_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/scenario.hpp"
#include "net/loop.hpp"

namespace mintrock::lab {

// What a run's folder holds for its parts (run.json).
struct RunFile {
  double epoch = 0;       // CLOCK_MONOTONIC at which the script begins
  double epoch_wall = 0;  // the same, since the Unix epoch
  std::uint16_t list_port = 0;
  std::vector<std::uint16_t> core_ports;
  std::vector<std::uint16_t> proxy_ports;
  std::vector<std::uint16_t> admin_ports;
  std::vector<std::uint16_t> fleet_ports;
};
void save_run_file(const RunFile& run, const std::string& dir);
RunFile load_run_file(const std::string& dir);

// Each runs until SIGTERM (the callers, until their last call is over) and writes DIR/NAME.trace.
int run_core_servers(const Scenario& scenario, const std::string& dir);
int run_list_server(const Scenario& scenario, const std::string& dir);
int run_callers(const Scenario& scenario, const std::string& dir);

// Starts all of it, waits, checks. `keep`: the folder of the traces; empty: a new one, removed if all is
// well.
struct RunOptions {
  std::string scenario_file;
  std::string report_file;
  std::string trace_dir;
  std::string plot_dir;  // a folder for the pictures; empty: none
  bool quiet = false;
  std::string edge_program;
  double slack_s = 0.02;  // as of check_traces
};
int run_scenario(const RunOptions& options);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_STAND_INS_HPP_
