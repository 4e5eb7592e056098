// The JSON lines between an edge proxy and core servers: splits a byte stream into lines, parses and formats
// messages.
//
// Pure: does no I/O and reads no clock. A line that is not a valid message of the protocol yields one error
// text; nothing throws. A line that exceeds the protocol's size limit is an error.
#ifndef MINTROCK_SRC_PLATFORM_CORE_CODEC_HPP_
#define MINTROCK_SRC_PLATFORM_CORE_CODEC_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "mintrock/controller.hpp"

namespace mintrock::platform {

struct CoreMessage {
  enum class Type { kAnswer, kRelease, kReleased, kProgress, kState, kTestResult };
  Type type = Type::kProgress;
  std::uint64_t id = 0;
  int cause = 0;  // of a release
  std::string description;
  std::string note;     // reason for a release before the answer, in the server's terms
  double waited_s = 0;  // how long the call waited at the server
  Report report;
};

class LineSplitter {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // Returns the next complete line, valid until the next call.
  std::optional<std::string_view> next();
  bool too_long() const { return too_long_; }

 private:
  std::string buffer_;
  std::size_t position_ = 0;
  bool too_long_ = false;
};

// Parses a message from a core server. Returns nullopt and sets `error` if the line is malformed.
std::optional<CoreMessage> read_core_message(std::string_view line, const char*& error);

// Parses a load report such as "spare:12;total:40"; unknown names and negative values are ignored.
Report read_report(std::string_view text);

std::string write_core_setup(std::uint64_t id, std::string_view service_class, std::string_view number,
                             std::uint32_t time_left_ms, std::string_view description);
std::string write_core_release(std::uint64_t id, int cause);

// The result of an attempt that a release ended before the answer, as the Controller takes it.
struct AttemptResult {
  Outcome outcome = Outcome::kReset;
  Cause cause = Cause::kNone;
};
AttemptResult result_before_answer(int cause, std::string_view note);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CORE_CODEC_HPP_
