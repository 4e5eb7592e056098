// The program as the platform starts it: signals, descriptor limit, and restart after a kill.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/loop.hpp"
#include "platform/caller_codec.hpp"

namespace mintrock::platform {
namespace {

using nlohmann::json;

class Program {
 public:
  Program() {
    {
      const net::Listener probe(loop, net::Address{}, [](int, net::Address) {});
      address = probe.local();  // free once the probe is closed
    }
    file = "program_test." + std::to_string(getpid()) + ".json";
    const json config{{"bus", "127.0.0.1:1"},
                      {"known", {{"offset", 0}, {"batch", json::array()}}},
                      {"limits", {{"memory_mb", 32}, {"sockets", 64}}},
                      {"listen", address.str()},
                      {"name", "n0"},
                      {"seed", "1"},
                      {"settings",
                       {{"classes",
                         {{{"deadline_s", 1},
                           {"effect", "repeatable"},
                           {"goal_time_s", 1},
                           {"name", "status"},
                           {"value", 1}}}},
                        {"fleet_size", 1},
                        {"limits", {{"try_limit", 3}}},
                        {"skus", {"small"}}}}};
    write(config.dump());
  }
  ~Program() {
    if (pid > 0) {
      kill(pid, SIGKILL);
      waitpid(pid, nullptr, 0);
    }
    std::remove(file.c_str());
  }
  void write(const std::string& text) const { std::ofstream(file, std::ios::trunc) << text; }
  void start() {
    pid = fork();
    if (pid != 0) return;
    const rlimit descriptors{64, 64};
    setrlimit(RLIMIT_NOFILE, &descriptors);
    setenv("LB_CONFIG", file.c_str(), 1);
    if (std::freopen("/dev/null", "w", stderr) == nullptr) _exit(126);
    execl(MINTROCK_EDGE, MINTROCK_EDGE, "--platform", nullptr);
    _exit(127);
  }
  int wait_end() {
    int status = 0;
    waitpid(pid, &status, 0);
    pid = 0;
    return status;
  }
  template <typename Done>
  bool until(Done done, double max_s = 20) {
    const double end = loop.now() + max_s;
    std::function<void()> poll = [&] {
      if (done() || loop.now() > end) return loop.stop();
      loop.after(0.005, poll);
    };
    loop.after(0, poll);
    loop.run();
    return done();
  }
  // Returns whether the program answers a test message with success; reconnects until it accepts.
  bool passes_test() {
    bool passed = false;
    bool failed = true;
    std::shared_ptr<net::Stream> stream;
    MessageParser parser;
    const bool done = until([&] {
      if (failed && !passed) {
        failed = false;
        parser = MessageParser();
        stream = net::Stream::connect(loop, address, 1 << 16);
        stream->set_handlers({[&] { stream->write(write_message(CallerMessageType::kTest, 5, {})); },
                              [&](std::string_view bytes) {
                                parser.feed(bytes);
                                const auto message = parser.next();
                                passed =
                                    passed || (message && message->type == 53 && read_cause(*message) == 1);
                              },
                              [&](const std::string&) { failed = true; }});
      }
      return passed;
    });
    stream->close();
    return done;
  }

  net::Loop loop;
  net::Address address;
  std::string file;
  pid_t pid = 0;
};

TEST(Program, RestartsOnItsAddressAfterKill) {
  Program program;
  for (int run = 0; run < 3; ++run) {
    program.start();
    ASSERT_TRUE(program.passes_test()) << run;
    kill(program.pid, SIGKILL);
    EXPECT_TRUE(WIFSIGNALED(program.wait_end()));
  }
}

TEST(Program, HangupWithUnreadableFileIsHarmlessAndTermExitsWithZero) {
  Program program;
  program.start();
  ASSERT_TRUE(program.passes_test());
  for (const char* text : {"", "{\"bus\": 17}", "half writ"}) {
    program.write(text);
    kill(program.pid, SIGHUP);
    ASSERT_TRUE(program.passes_test());
  }
  kill(program.pid, SIGTERM);
  const int status = program.wait_end();
  ASSERT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 0);
}

// With a limit of 64 descriptors, silent connections must not prevent a test message from being answered.
TEST(Program, SilentConnectionsDoNotExhaustDescriptors) {
  Program program;
  program.start();
  ASSERT_TRUE(program.passes_test());
  std::vector<std::shared_ptr<net::Stream>> silent;
  for (int i = 0; i < 300; ++i) {
    silent.push_back(net::Stream::connect(program.loop, program.address, 1 << 16));
    silent.back()->set_handlers({});
  }
  EXPECT_TRUE(program.passes_test());
}

TEST(Program, InvalidConfigurationFailsTheStart) {
  Program program;
  program.write("{}");
  program.start();
  const int status = program.wait_end();
  ASSERT_TRUE(WIFEXITED(status));
  EXPECT_EQ(WEXITSTATUS(status), 1);
}

}  // namespace
}  // namespace mintrock::platform
