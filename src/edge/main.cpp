// mintrock-edge: the edge proxy's command line.
#include <malloc.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <string>
#include <utility>

#include "edge/config.hpp"
#include "edge/edge.hpp"
#include "edge/logging.hpp"
#include "net/loop.hpp"
#include "platform/platform_edge.hpp"

namespace {

std::string read_file(const std::string& name) {
  std::ifstream in(name, std::ios::binary);
  std::ostringstream text;
  text << in.rdbuf();
  if (!in) throw std::runtime_error("cannot read " + name);
  return text.str();
}

// Blocks the signals until their handlers are installed, so that early ones stay pending. The loop unblocks
// each signal when its handler is installed.
void block_signals() {
  sigset_t handled;
  sigemptyset(&handled);
  for (const int each : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&handled, each);
  pthread_sigmask(SIG_BLOCK, &handled, nullptr);
}

// Runs either kind of edge until it stops its loop. Both handle the same signals in the same way.
template <typename Edge, typename Config>
void run(Config config, const std::string& file) {
  std::signal(SIGPIPE, SIG_IGN);
  mintrock::net::Loop loop;
  Edge edge(loop, std::move(config), file);
  loop.on_signal(SIGHUP, [&] { edge.reload(); });
  loop.on_signal(SIGTERM, [&] { edge.drain(); });
  loop.on_signal(SIGINT, [&] { edge.drain(); });
  edge.start();
  loop.run();
}

// Large buffers get memory of their own, which goes back to the system when they are freed: the heap would
// keep it, in pieces, after many connections were busy at once.
void return_large_buffers() {
  constexpr int kLargeBuffer = 32 << 10;  // bytes
  mallopt(M_MMAP_THRESHOLD, kLargeBuffer);
  mallopt(M_TRIM_THRESHOLD, 4 * kLargeBuffer);
}

void run_platform() {
  return_large_buffers();
  const char* const file = std::getenv("LB_CONFIG");
  if (file == nullptr) throw std::runtime_error("LB_CONFIG is not set");
  constexpr double kLogLinesPerSecond = 400;
  mintrock::edge::init_nonblocking_logging("info", kLogLinesPerSecond);
  run<mintrock::platform::PlatformEdge>(mintrock::platform::parse_config(read_file(file)), file);
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{"mintrock-edge: sets up calls at core servers, over Diameter or on the users' platform"};
  std::string file;
  bool check = false;
  bool platform = false;
  app.add_option("--config", file, "settings, a YAML file (docs/configuration.md)");
  app.add_flag("--platform", platform,
               "serve the users' platform; LB_CONFIG names the settings file (docs/platform.md)");
  app.add_flag("--check", check, "read and check the settings, then exit");
  CLI11_PARSE(app, argc, argv);
  if (platform != file.empty()) {
    std::fprintf(stderr, "mintrock-edge: one of --config and --platform is needed\n");
    return 2;
  }
  block_signals();
  try {
    if (platform) {
      run_platform();
      return 0;
    }
    mintrock::edge::Config config = mintrock::edge::load_config(file);
    if (check) {
      std::printf("%s: good\n", file.c_str());
      return 0;
    }
    mintrock::edge::init_logging(config.log.level, config.log.file);
    run<mintrock::edge::Edge>(std::move(config), file);
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "mintrock-edge: %s\n", error.what());
    return 1;
  }
}
