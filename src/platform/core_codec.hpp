// The JSON lines between an edge proxy and core servers: cut from a stream, read, written.
//
// Pure: bytes in, messages out. Anything that is no message of the protocol is told as one fault; nothing
// throws, and a line that never ends is a fault at the protocol's bound.
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
  std::string note;
  double waited_s = 0;
  Report report;
};

class LineSplitter {
 public:
  void feed(std::string_view bytes) { buffer_.append(bytes); }
  // The next whole line, good until the next call.
  std::optional<std::string_view> next();
  bool too_long() const { return too_long_; }

 private:
  std::string buffer_;
  std::size_t at_ = 0;
  bool too_long_ = false;
};

// Null with a fault's name in `why` for what a core server may not send.
std::optional<CoreMessage> read_core_message(std::string_view line, const char*& why);

// A load report as in "spare:12;total:40"; names that are not known say nothing.
Report read_report(std::string_view text);

std::string write_core_setup(std::uint64_t id, std::string_view service_class, std::string_view number,
                             std::uint32_t left_ms, std::string_view description);
std::string write_core_release(std::uint64_t id, int cause);

// How an attempt that a release ended before the answer is told to the decisions.
struct Ending {
  Outcome outcome = Outcome::kReset;
  Cause cause = Cause::kNone;
};
Ending ending_before_answer(int cause, std::string_view note);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CORE_CODEC_HPP_
