// mintrock-edge: the edge proxy's command line.
#include <CLI/CLI.hpp>
#include <csignal>
#include <cstdio>
#include <exception>
#include <string>

#include "edge/config.hpp"
#include "edge/edge.hpp"
#include "edge/logging.hpp"
#include "net/loop.hpp"

int main(int argc, char** argv) {
  CLI::App app{"mintrock-edge: sets calls up at core servers, over Diameter"};
  std::string file;
  bool check = false;
  app.add_option("--config", file, "settings, a YAML file (docs/configuration.md)")->required();
  app.add_flag("--check", check, "read and check the settings, then exit");
  CLI11_PARSE(app, argc, argv);
  try {
    mintrock::edge::Config config = mintrock::edge::load_config(file);
    if (check) {
      std::printf("%s: good\n", file.c_str());
      return 0;
    }
    mintrock::edge::init_logging(config.log.level, config.log.file);
    std::signal(SIGPIPE, SIG_IGN);
    mintrock::net::Loop loop;
    mintrock::edge::Edge edge(loop, std::move(config), file);
    loop.on_signal(SIGHUP, [&] { edge.reload(); });
    loop.on_signal(SIGTERM, [&] { edge.drain(); });
    loop.on_signal(SIGINT, [&] { edge.drain(); });
    edge.start();
    loop.run();
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "mintrock-edge: %s\n", error.what());
    return 1;
  }
}
