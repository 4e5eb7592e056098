// What the proxy costs: calls a second through one proxy at one core server, and the delay that it adds,
// beside a bare relay (same loop, same framing, frames passed on by session, no decisions) and no proxy at
// all, in turns within one run.
#ifndef MINTROCK_SRC_LAB_BENCH_HPP_
#define MINTROCK_SRC_LAB_BENCH_HPP_

#include <cstdint>
#include <string>

namespace mintrock::lab {

struct BenchOptions {
  std::string edge_program;
  double seconds = 3;  // of each measurement
  std::uint32_t rounds = 3;
  double paired_rate = 0;  // calls a second of the paired measurement; 0: a quarter of the proxy's most
  std::uint32_t outstanding = 64;  // calls at once, where the highest rate is sought
  std::string report_file;         // JSON
};
int run_bench(const BenchOptions& options);
// What a proxy just started refuses, with a core server that is idle and fast: `outstanding` calls at once,
// and 200, 1,000 and 5,000 calls a second.
int run_restart_bench(const BenchOptions& options);

// Parts of it, each a process of its own.
int run_bench_core(std::uint16_t port);
int run_bench_relay(std::uint16_t port, std::uint16_t to);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_BENCH_HPP_
