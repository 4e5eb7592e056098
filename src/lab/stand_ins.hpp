// The stand-ins of a run: core servers, server list and callers, each kind in a process of its own. They
// share only the scenario, the port numbers and the time at which the script starts.
#ifndef MINTROCK_SRC_LAB_STAND_INS_HPP_
#define MINTROCK_SRC_LAB_STAND_INS_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "lab/scenario.hpp"
#include "net/loop.hpp"

namespace mintrock::lab {

// The contents of run.json, which the runner writes into the run's folder for the stand-ins.
struct RunFile {
  double epoch = 0;       // CLOCK_MONOTONIC time at which the script starts
  double epoch_wall = 0;  // the same moment in seconds since the Unix epoch
  std::uint16_t list_port = 0;
  std::vector<std::uint16_t> core_ports;
  std::vector<std::uint16_t> proxy_ports;
  std::vector<std::uint16_t> admin_ports;
  std::vector<std::uint16_t> fleet_ports;
};
void save_run_file(const RunFile& run, const std::string& dir);
RunFile load_run_file(const std::string& dir);

// Each runs until SIGTERM and writes DIR/NAME.trace. The callers also stop by themselves once their last call
// has ended.
int run_core_servers(const Scenario& scenario, const std::string& dir);
int run_list_server(const Scenario& scenario, const std::string& dir);
int run_callers(const Scenario& scenario, const std::string& dir);

// Options of run_scenario.
struct RunOptions {
  std::string scenario_file;
  std::string report_file;
  std::string trace_dir;  // keeps traces and logs; empty: a new folder, removed after a good run
  std::string plot_dir;   // folder for the plots; empty: none are drawn
  bool quiet = false;
  std::string edge_program;
  double slack_s = 0.02;  // see check_traces
};
// Starts the stand-ins and the proxies, runs the scenario, checks the rules and returns the exit status.
int run_scenario(const RunOptions& options);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_STAND_INS_HPP_
