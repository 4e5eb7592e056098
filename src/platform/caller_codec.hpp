// Parses and writes the binary messages between callers and an edge proxy.
//
// Pure: does no I/O and reads no clock. Every malformed form is reported under a name, and no input makes the
// parser buffer more than one message.
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

inline constexpr std::size_t kMaxMessageSize = 16 << 10;  // bytes, including the length field

enum class CallerMessageType : std::uint8_t {
  kSetup = 1,
  kProgress = 6,
  kAnswer = 9,
  kRelease = 12,
  kReleased = 16,
  kTest = 52,
  kTestResult = 53
};

// Codes of message parameters.
enum class Parameter : std::uint8_t {
  kClass = 3,
  kTimeLeft = 5,
  kRedial = 9,
  kCalledNumber = 11,
  kAttributes = 13,  // name:value pairs, separated by semicolons
  kRetryAfter = 15,
  kCause = 31,
  kDescription = 33
};

struct CallerMessage {
  std::uint8_t type = 0;
  std::uint64_t call = 0;
  std::vector<std::pair<std::uint8_t, std::string_view>> parameters;  // views into the parser's buffer
  // Returns the value of the first parameter with this code, empty if there is none.
  std::string_view find(Parameter code) const;
};

// Splits a byte stream into messages. After a fault the rest of the stream cannot be parsed.
class MessageParser {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // Returns the next complete message. Its parameters stay valid until the next call of feed() or next().
  std::optional<CallerMessage> next();
  const char* fault() const { return fault_; }  // null if none
  bool has_partial_message() const { return position_ < buffer_.size(); }
  std::size_t buffered() const { return buffer_.capacity(); }  // bytes of memory

 private:
  void discard_parsed();
  std::string buffer_;
  std::size_t position_ = 0;
  const char* fault_ = nullptr;
};

// A set-up request, validated except for what depends on the settings.
struct CallSetup {
  std::uint64_t id = 0;
  std::string service_class;
  double time_left_s = 0;
  bool redialled = false;
  std::string number;              // called number, passed on unchanged
  std::uint64_t key = 0;           // called number as the controller's key; 0: none
  double lines = 1;                // number of lines that the call occupies
  std::int64_t first_choice = -1;  // preferred node; -1: none
  bool was_cut = false;            // the call was established, was cut, and is set up again
  std::string established_server;  // core server where the call is already established; empty for a new call
  std::string description;
};

// Returns nullopt and sets `error` to the name of the fault if the message is not a valid set-up.
std::optional<CallSetup> read_setup(const CallerMessage& message, const char*& error);
// Returns the cause of a release, kCauseNormal if it has none.
int read_cause(const CallerMessage& message);

std::string write_answer(std::uint64_t call, std::string_view description);
std::string write_release(std::uint64_t call, int cause, std::optional<std::uint32_t> retry_after_ms = {});
std::string write_released(std::uint64_t call);
std::string write_test_result(std::uint64_t call, bool passed);

// Writes any message, for tests and simulated callers.
std::string write_message(CallerMessageType type, std::uint64_t call,
                          const std::vector<std::pair<Parameter, std::string>>& parameters);

std::string hex_id(std::uint64_t id);                             // 16 digits
std::optional<std::uint64_t> read_hex_id(std::string_view text);  // exactly 16 digits

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CALLER_CODEC_HPP_
