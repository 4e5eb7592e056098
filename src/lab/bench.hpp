// Measures the overhead of the proxy: calls per second through one proxy at one core server, and the delay
// that it adds. The same load runs in turns, within one run, through a bare relay (same event loop and
// framing, passes frames on by session, makes no decisions) and directly to the core server.
#ifndef MINTROCK_SRC_LAB_BENCH_HPP_
#define MINTROCK_SRC_LAB_BENCH_HPP_

#include <cstdint>
#include <string>

namespace mintrock::lab {

struct BenchOptions {
  std::string edge_program;
  double seconds = 3;  // length of each measurement
  std::uint32_t rounds = 3;
  // Calls per second of the paired measurement; 0: a quarter of the proxy's highest rate.
  double paired_rate = 0;
  std::uint32_t outstanding = 64;  // calls in flight while the highest rate is measured
  std::string report_file;         // JSON; empty: none
};
int run_bench(const BenchOptions& options);
// Measures how many calls a freshly started proxy refuses in front of an idle, fast core server: at 200,
// 1,000 and 5,000 calls per second, each with and without an initial burst of `outstanding` calls.
int run_restart_bench(const BenchOptions& options);

// The core server and the relay of the benchmark, each run as a separate process.
int run_bench_core(std::uint16_t port);
int run_bench_relay(std::uint16_t port, std::uint16_t core_port);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_BENCH_HPP_
