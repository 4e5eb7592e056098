#include "lab/soak/command.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <memory>

#include "lab/process.hpp"
#include "lab/soak/soak.hpp"

namespace mintrock::lab::soak {
namespace {

struct CommandLine {
  Options options;
  std::size_t runs = 1;
  bool dense = false;
  bool slow_discovery = true;
};

void print(const Options& options, const Report& report) {
  std::printf("seed %llu: %zu taken, %zu served, %zu ends told, %zu violations%s; logs in %s\n",
              static_cast<unsigned long long>(options.seed), report.setups_sent, report.calls_served,
              report.ends_notified, report.violations.size(), report.settled ? "" : ", not settled",
              options.dir.c_str());
  if (!report.passed()) {
    for (const std::string& each : report.timeline) std::printf("  %s\n", each.c_str());
    for (const Violation& each : report.violations) {
      std::printf("  BROKEN %.3f %s: call %016llx %s\n", each.time, name(each.rule),
                  static_cast<unsigned long long>(each.call), each.description.c_str());
    }
  }
  std::fflush(stdout);
}

// Runs one trial and prints its report; returns 0 if no rule was broken, 1 otherwise.
int run_trial(Options options) {
  if (options.dir.empty()) options.dir = make_temporary_folder("mintrock-soak");
  const Report report = run(options);
  print(options, report);
  return report.passed() ? 0 : 1;
}

int run_trials(const CommandLine& line) {
  Options options = line.options;
  options.faults.signal_series = line.dense;
  options.faults.connection_floods = line.dense;
  options.faults.slow_discovery = line.slow_discovery;
  int status = 0;
  for (std::size_t i = 0; i < line.runs; ++i, ++options.seed) status = std::max(status, run_trial(options));
  return status;
}

}  // namespace

void add_command(CLI::App& app, const std::string& edge_program, int& status) {
  const auto line = std::make_shared<CommandLine>();
  Options& options = line->options;
  options.edge_program = edge_program;
  CLI::App* const command =
      app.add_subcommand("soak", "short, dense, seeded trials of edge proxies in platform mode");
  command->add_option("--seed", options.seed, "seed of the first trial; each further trial adds 1");
  command->add_option("--runs", line->runs, "number of trials, run one after another")
      ->check(CLI::Range(1, 10000));
  command->add_option("--seconds", options.duration_s, "duration of a trial's calls and faults")
      ->check(CLI::Range(1.0, 3600.0));
  command->add_option("--edges", options.edges, "number of edge proxies")->check(CLI::Range(1, 8));
  command->add_option("--edge", options.edge_program, "path of the mintrock-edge program to run");
  command->add_flag("--dense", line->dense, "also signals in series and, in some trials, a connection flood");
  command->add_flag("!--no-slow-discovery", line->slow_discovery, "without discovery that answers late");
  command->add_option("--dir", options.dir, "folder for logs; default: a new temporary folder");
  command->callback([line, &status] { status = std::max(status, run_trials(*line)); });
}

}  // namespace mintrock::lab::soak
