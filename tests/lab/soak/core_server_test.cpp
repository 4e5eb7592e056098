// What a core server of a soak has told, and what only left its hands.
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
#include "lab/soak/ledger.hpp"
#include "net/loop.hpp"
#include "platform/core_codec.hpp"

namespace mintrock::lab::soak {
namespace {

constexpr std::uint64_t kCall = 7;
constexpr const char* kServer = "s-1";
constexpr const char* kNotTold = "over at s-1, and its caller was not told in time";
constexpr std::size_t kMostUnsent = 1 << 16;  // bytes
constexpr double kPlayed = 1.0;               // s, five times as long as the call holds

// Calls back, once, when this text has been written.
class TextWatcher : public std::streambuf {
 public:
  TextWatcher(std::string text, std::function<void()> found)
      : text_(std::move(text)), found_(std::move(found)) {}

 protected:
  int overflow(int character) override {
    written_.push_back(static_cast<char>(character));
    if (!told_ && written_.find(text_) != std::string::npos) {
      told_ = true;
      found_();
    }
    return character;
  }

 private:
  std::string text_;
  std::function<void()> found_;
  std::string written_;
  bool told_ = false;
};

// One call, which stands at the server and ends; `at_its_end` is done in the turn of that, before anything is
// written to the network.
struct EndedCall {
  explicit EndedCall(const std::function<void(CoreServer&)>& at_its_end)
      : watcher("7 over s-1\n", [&, at_its_end] { loop.defer([&, at_its_end] { at_its_end(server); }); }) {
    ledger.taken(kCall, 0, 1.0, loop.now());
    const auto edge = net::Stream::connect(loop, server.address(0), kMostUnsent);
    edge->set({{}, [this](std::string_view bytes) { heard(bytes); }, {}});
    edge->write(platform::write_core_setup(kCall, "voice", "7", 1000, "offer"));
    loop.after(kPlayed, [this] { loop.stop(); });
    loop.run();
    edge->close();
  }

  void heard(std::string_view bytes) {
    cutter.feed(bytes);
    while (const auto line = cutter.next()) {
      const char* fault = nullptr;
      const auto message = platform::read_core_message(*line, fault);
      if (!message) continue;
      if (message->type == platform::CoreMessage::Type::kAnswer) {
        ledger.answered(kCall, FinalAnswer::kServed, message->description, loop.now());
      }
      released = released || message->type == platform::CoreMessage::Type::kRelease;
    }
  }

  // The rules that will be broken by then if nothing more is told.
  std::vector<std::string> broken_within(double seconds) {
    ledger.judge(loop.now() + seconds);
    std::vector<std::string> out;
    for (const Violation& each : ledger.violations()) out.push_back(each.what);
    return out;
  }

  static CoreBehaviour always_well() {
    CoreBehaviour behaviour{0, 0, 0, 0, 0, 0, 0, 0};
    behaviour.longest_hold_s = 0.2;
    return behaviour;
  }

  net::Loop loop;
  TextWatcher watcher;
  std::ostream trace{&watcher};
  Ledger ledger{Limits{}, &trace};
  CoreServer server{loop, loopback_for_process(getpid()), ledger, kServer, 1, always_well(), 1};
  platform::LineCutter cutter;
  bool released = false;
};

TEST(CoreServer, AnEndThatPassedIsDueSoon) {
  EndedCall call([](CoreServer&) {});
  EXPECT_TRUE(call.released);
  EXPECT_EQ(call.broken_within(2.0), std::vector<std::string>{kNotTold});
}

// Soak seeds 116, 172 and 527: the end was written, and its machine vanished before the bytes had left it.
TEST(CoreServer, AnEndThatIsWrittenAsItsMachineVanishesHasNotPassed) {
  EndedCall call([](CoreServer& server) { server.vanish(); });
  EXPECT_FALSE(call.released);
  EXPECT_EQ(call.broken_within(2.0), std::vector<std::string>{});
  EXPECT_EQ(call.broken_within(9.0), std::vector<std::string>{kNotTold});
}

}  // namespace
}  // namespace mintrock::lab::soak
