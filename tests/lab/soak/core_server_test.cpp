// When a release that a simulated core server of a soak has written counts as delivered.
#include "lab/soak/core_server.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <functional>
#include <ostream>
#include <streambuf>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/process.hpp"
#include "lab/soak/rule_checker.hpp"
#include "net/loop.hpp"
#include "platform/core_codec.hpp"

namespace mintrock::lab::soak {
namespace {

constexpr std::uint64_t kCall = 7;
constexpr const char* kServer = "s-1";
constexpr const char* kNotNotified = "ended at s-1, but its caller was not notified in time";
constexpr std::size_t kMaxUnsent = 1 << 16;  // bytes
constexpr double kRunTime = 1.0;             // s, five times the duration of the call

// Calls back once, when this text has been written to the stream.
class TextTrigger : public std::streambuf {
 public:
  TextTrigger(std::string text, std::function<void()> callback)
      : text_(std::move(text)), callback_(std::move(callback)) {}

 protected:
  int overflow(int character) override {
    written_.push_back(static_cast<char>(character));
    if (!triggered_ && written_.find(text_) != std::string::npos) {
      triggered_ = true;
      callback_();
    }
    return character;
  }

 private:
  std::string text_;
  std::function<void()> callback_;
  std::string written_;
  bool triggered_ = false;
};

// One call, which is established at the server and ends. `at_end` is called in the event loop turn in
// which the call ends, before anything is written to the network.
struct EndedCall {
  explicit EndedCall(const std::function<void(CoreServer&)>& at_end)
      : trigger("7 over s-1\n", [&, at_end] { loop.defer([&, at_end] { at_end(server); }); }) {
    checker.setup_sent(kCall, 0, 1.0, loop.now());
    const auto edge = net::Stream::connect(loop, server.address(0), kMaxUnsent);
    edge->set_handlers({{}, [this](std::string_view bytes) { on_bytes(bytes); }, {}});
    edge->write(platform::write_core_setup(kCall, "voice", "7", 1000, "offer"));
    loop.after(kRunTime, [this] { loop.stop(); });
    loop.run();
    edge->close();
  }

  void on_bytes(std::string_view bytes) {
    line_reader.feed(bytes);
    while (const auto line = line_reader.next()) {
      const char* reason = nullptr;
      const auto message = platform::read_core_message(*line, reason);
      if (!message) continue;
      if (message->type == platform::CoreMessage::Type::kAnswer) {
        checker.final_answer_received(kCall, FinalAnswer::kServed, message->description, loop.now());
      }
      release_received = release_received || message->type == platform::CoreMessage::Type::kRelease;
    }
  }

  // The violations that are recorded `seconds` from now if nothing more happens.
  std::vector<std::string> violations_within(double seconds) {
    checker.check(loop.now() + seconds);
    std::vector<std::string> result;
    for (const Violation& each : checker.violations()) result.push_back(each.description);
    return result;
  }

  static CoreBehaviour normal_answers() {
    CoreBehaviour behaviour{0, 0, 0, 0, 0, 0, 0, 0};
    behaviour.max_hold_s = 0.2;
    return behaviour;
  }

  net::Loop loop;
  TextTrigger trigger;
  std::ostream trace{&trigger};
  RuleChecker checker{Limits{}, &trace};
  CoreServer server{loop, loopback_for_process(getpid()), checker, kServer, 1, normal_answers(), 1};
  platform::LineSplitter line_reader;
  bool release_received = false;
};

TEST(CoreServer, ADeliveredReleaseStartsTheShortLimit) {
  EndedCall call([](CoreServer&) {});
  EXPECT_TRUE(call.release_received);
  EXPECT_EQ(call.violations_within(2.0), std::vector<std::string>{kNotNotified});
}

// Soak seeds 116, 172 and 527: the release was written, and the machine vanished before the bytes had left
// it.
TEST(CoreServer, AReleaseThatIsWrittenAsTheMachineVanishesIsNotDelivered) {
  EndedCall call([](CoreServer& server) { server.vanish(); });
  EXPECT_FALSE(call.release_received);
  EXPECT_EQ(call.violations_within(2.0), std::vector<std::string>{});
  EXPECT_EQ(call.violations_within(9.0), std::vector<std::string>{kNotNotified});
}

}  // namespace
}  // namespace mintrock::lab::soak
