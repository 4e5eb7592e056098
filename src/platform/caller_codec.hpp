// The binary messages between callers and an edge proxy: cut from a stream of bytes, read, written.
//
// Pure: bytes in, messages out. Every malformed form has a name, and no input makes it hold more than one
// message.
#ifndef MINTROCK_SRC_PLATFORM_CALLER_CODEC_HPP_
#define MINTROCK_SRC_PLATFORM_CALLER_CODEC_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "platform/causes.hpp"

namespace mintrock::platform {

inline constexpr std::size_t kMaxMessageSize = 16 << 10;  // bytes of any message, its length field included

enum class CallerMessageType : std::uint8_t {
  kSetup = 1,
  kProgress = 6,
  kAnswer = 9,
  kRelease = 12,
  kReleased = 16,
  kTest = 52,
  kTestResult = 53
};

enum class Parameter : std::uint8_t {
  kClass = 3,
  kTimeLeft = 5,
  kRedial = 9,
  kCalledNumber = 11,
  kAttributes = 13,
  kRetryAfter = 15,
  kCause = 31,
  kDescription = 33
};

struct CallerMessage {
  std::uint8_t type = 0;
  std::uint64_t call = 0;
  std::vector<std::pair<std::uint8_t, std::string_view>> parameters;  // into the cutter's buffer
  std::string_view find(Parameter code) const;
};

// Cuts a stream into messages. After a fault the stream can't be read any further.
class MessageParser {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next whole message; its parameters are good until the next call of feed or next.
  std::optional<CallerMessage> next();
  const char* fault() const { return fault_; }  // null: none
  bool partial() const { return at_ < buffer_.size(); }

 private:
  std::string buffer_;
  std::size_t at_ = 0;
  const char* fault_ = nullptr;
};

// A set-up as its caller wrote it, checked but for what only the settings tell.
struct CallSetup {
  std::uint64_t id = 0;
  std::string service_class;
  double time_left_s = 0;
  bool redialled = false;
  std::string number;     // passed on as it came
  std::uint64_t key = 0;  // the same for the decisions; 0: none
  double width = 1;
  std::int64_t first_choice = -1;
  bool was_cut = false;
  std::string established_server;  // it stands at this core server already; else empty
  std::string description;
};

// Null with a fault's name in `why` where it can't be used.
std::optional<CallSetup> read_setup(const CallerMessage& message, const char*& why);
// The cause of a release; the normal one where it has none.
int read_cause(const CallerMessage& message);

std::string write_answer(std::uint64_t call, std::string_view description);
std::string write_release(std::uint64_t call, int cause, std::optional<std::uint32_t> retry_after_ms = {});
std::string write_released(std::uint64_t call);
std::string write_test_passed(std::uint64_t call, bool passed);

// For tests and stand-ins.
std::string write_message(CallerMessageType type, std::uint64_t call,
                          const std::vector<std::pair<Parameter, std::string>>& parameters);

std::string hex_id(std::uint64_t id);                             // 16 digits
std::optional<std::uint64_t> read_hex_id(std::string_view text);  // exactly 16 digits

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CALLER_CODEC_HPP_
