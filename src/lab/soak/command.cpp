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
};

void print(const Options& options, const Report& report) {
  std::printf("seed %llu: %zu taken, %zu served, %zu ends told, %zu violations%s; logs in %s\n",
              static_cast<unsigned long long>(options.seed), report.taken, report.served, report.ended,
              report.violations.size(), report.settled ? "" : ", not settled", options.dir.c_str());
  if (!report.good()) {
    for (const std::string& each : report.timeline) std::printf("  %s\n", each.c_str());
    for (const Violation& each : report.violations) {
      std::printf("  BROKEN %.3f %s: call %016llx %s\n", each.at, name(each.rule),
                  static_cast<unsigned long long>(each.call), each.what.c_str());
    }
  }
  std::fflush(stdout);
}

// One trial, told on standard output; 0 if all rules were kept.
int play(Options options) {
  if (options.dir.empty()) options.dir = make_temporary_folder("mintrock-soak");
  const Report report = run(options);
  print(options, report);
  return report.good() ? 0 : 1;
}

int play_all(const CommandLine& line) {
  Options options = line.options;
  options.troubles.signal_series = line.dense;
  options.troubles.crowds = line.dense;
  int status = 0;
  for (std::size_t i = 0; i < line.runs; ++i, ++options.seed) status = std::max(status, play(options));
  return status;
}

}  // namespace

void add_command(CLI::App& app, const std::string& edge_program, int& status) {
  const auto line = std::make_shared<CommandLine>();
  Options& options = line->options;
  options.edge_program = edge_program;
  CLI::App* const command = app.add_subcommand("soak", "short, dense, seeded trials of the platform route");
  command->add_option("--seed", options.seed, "of the first trial; each further one has the next");
  command->add_option("--runs", line->runs, "trials, one after another")->check(CLI::Range(1, 10000));
  command->add_option("--seconds", options.seconds, "of calls and trouble")->check(CLI::Range(1.0, 3600.0));
  command->add_option("--edges", options.edges, "edge proxies")->check(CLI::Range(1, 8));
  command->add_option("--edge", options.edge_program, "the mintrock-edge to run");
  command->add_flag("--dense", line->dense, "also signals in series, and in some trials a crowd");
  command->add_option("--dir", options.dir, "logs; a new temporary folder if not told");
  command->callback([line, &status] { status = std::max(status, play_all(*line)); });
}

}  // namespace mintrock::lab::soak
