#include "platform/caller_codec.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cmath>

#include "instance/bytes.hpp"

namespace mintrock::platform {
namespace {

constexpr std::size_t kLengthSize = 2;
constexpr std::size_t kMinLength = 9;  // type and call id
constexpr std::size_t kMaxTextSize = 255;
constexpr double kMaxTimeLeftMs = 600000;  // no caller waits longer than ten minutes
constexpr double kMaxLines = 1000;
constexpr double kMaxNode = 65535;

std::size_t read_u16(std::string_view text, std::size_t at) {
  return static_cast<std::size_t>(static_cast<unsigned char>(text[at])) << 8 |
         static_cast<unsigned char>(text[at + 1]);
}

// Returns the called number as the controller's key: its value if it is hexadecimal, else a hash of its text.
std::uint64_t number_key(std::string_view number) {
  std::uint64_t key = 0;
  const auto [end, error] = std::from_chars(number.data(), number.data() + number.size(), key, 16);
  if (error == std::errc() && end == number.data() + number.size()) return key;
  return XXH64(number.data(), number.size(), 0);
}

const char* read_attributes(std::string_view text, CallSetup& out) {
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(';'), text.size());
    const std::string_view item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (item.empty()) continue;
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos) return "attribute is not name:value";
    const std::string_view name = item.substr(0, colon);
    const std::string_view value = item.substr(colon + 1);
    if (name == "at") {
      if (value.empty() || value.size() > kMaxTextSize) return "at is not a valid core server name";
      out.established_server = std::string(value);
      continue;
    }
    const auto read = instance::read_finite(value);
    if (!read) return "attribute value is not a number";
    const double number = *read;
    if (name == "dest") {
      if (number < -1 || number > kMaxNode || number != std::floor(number)) return "dest is out of range";
      out.first_choice = static_cast<std::int64_t>(number);
    } else if (name == "width") {
      if (number <= 0 || number > kMaxLines) return "width is out of range";
      out.lines = number;
    } else if (name == "via") {
      if (number < -1 || number > kMaxNode) return "via is out of range";
    } else if (name == "again") {
      if (number != 0 && number != 1) return "again must be 0 or 1";
      out.was_cut = number == 1;
    }
  }
  return nullptr;
}

void append_u16(std::string& out, std::size_t value) {
  out.push_back(static_cast<char>(value >> 8 & 0xFF));
  out.push_back(static_cast<char>(value & 0xFF));
}

}  // namespace

std::string_view CallerMessage::find(Parameter code) const {
  for (const auto& [each, value] : parameters) {
    if (each == static_cast<std::uint8_t>(code)) return value;
  }
  return {};
}

// Connections, of which there can be thousands, keep no more memory than the message that they wait for.
void MessageParser::discard_parsed() {
  if (position_ == 0) return;
  buffer_.erase(0, position_);
  position_ = 0;
  if (buffer_.capacity() > 2 * buffer_.size()) buffer_.shrink_to_fit();
}

std::optional<CallerMessage> MessageParser::next() {
  if (fault_ != nullptr) return std::nullopt;
  if (position_ == buffer_.size() || position_ >= kMaxMessageSize) discard_parsed();
  const std::string_view rest = std::string_view(buffer_).substr(position_);
  if (rest.size() < kLengthSize) {
    discard_parsed();
    return std::nullopt;
  }
  const std::size_t length = read_u16(rest, 0);
  if (length < kMinLength) {
    fault_ = "length too small";
    return std::nullopt;
  }
  if (length + kLengthSize > kMaxMessageSize) {
    fault_ = "length too large";
    return std::nullopt;
  }
  if (rest.size() < kLengthSize + length) {
    discard_parsed();
    return std::nullopt;
  }
  const std::string_view body = rest.substr(kLengthSize, length);
  CallerMessage message;
  message.type = static_cast<std::uint8_t>(body[0]);
  for (std::size_t i = 1; i < kMinLength; ++i) {
    message.call = message.call << 8 | static_cast<unsigned char>(body[i]);
  }
  std::size_t at = kMinLength;
  while (at < body.size()) {
    if (body.size() - at < 3) {
      fault_ = "truncated parameter header";
      return std::nullopt;
    }
    const auto code = static_cast<std::uint8_t>(body[at]);
    const std::size_t size = read_u16(body, at + 1);
    if (size > body.size() - at - 3) {
      fault_ = "parameter exceeds its message";
      return std::nullopt;
    }
    message.parameters.emplace_back(code, body.substr(at + 3, size));
    at += 3 + size;
  }
  position_ += kLengthSize + length;
  return message;
}

std::optional<CallSetup> read_setup(const CallerMessage& message, const char*& error) {
  CallSetup out;
  out.id = message.call;
  const auto fault = [&](const char* what) {
    error = what;
    return std::nullopt;
  };
  if (out.id == 0) return fault("missing call id");
  for (std::size_t i = 0; i < message.parameters.size(); ++i) {
    for (std::size_t k = 0; k < i; ++k) {
      if (message.parameters[k].first == message.parameters[i].first) return fault("duplicate parameter");
    }
    if (i > 32) return fault("too many parameters");
  }
  out.service_class = std::string(message.find(Parameter::kClass));
  if (out.service_class.empty() || out.service_class.size() > kMaxTextSize)
    return fault("class is missing or too long");
  const auto left_ms = instance::read_finite(message.find(Parameter::kTimeLeft));
  if (!left_ms) return fault("time left is not a number");
  if (*left_ms <= 0 || *left_ms > kMaxTimeLeftMs) return fault("time left is out of range");
  out.time_left_s = *left_ms / 1000;
  const std::string_view redial = message.find(Parameter::kRedial);
  if (!redial.empty() && redial != "0" && redial != "1") return fault("redial flag must be 0 or 1");
  out.redialled = redial == "1";
  out.number = std::string(message.find(Parameter::kCalledNumber));
  if (out.number.size() > kMaxTextSize) return fault("called number is too long");
  out.key = out.number.empty() ? 0 : number_key(out.number);
  if (const char* bad = read_attributes(message.find(Parameter::kAttributes), out)) return fault(bad);
  out.description = std::string(message.find(Parameter::kDescription));
  if (out.description.empty() && out.established_server.empty()) return fault("missing description");
  // Text that is not valid in a JSON line cannot be passed on: a core server closes the connection over it,
  // along with every call that is open on it.
  for (const std::string* text : {&out.service_class, &out.number, &out.description}) {
    if (!instance::valid_utf8(*text)) return fault("text is not valid UTF-8");
  }
  return out;
}

int read_cause(const CallerMessage& message) {
  const std::string_view value = message.find(Parameter::kCause);
  return value.size() == 1 ? static_cast<unsigned char>(value[0]) : kCauseNormal;
}

std::string write_message(CallerMessageType type, std::uint64_t call,
                          const std::vector<std::pair<Parameter, std::string>>& parameters) {
  std::string body;
  body.push_back(static_cast<char>(type));
  for (int shift = 56; shift >= 0; shift -= 8) body.push_back(static_cast<char>(call >> shift & 0xFF));
  for (const auto& [code, value] : parameters) {
    body.push_back(static_cast<char>(code));
    append_u16(body, value.size());
    body += value;
  }
  std::string out;
  append_u16(out, body.size());
  return out + body;
}

std::string write_answer(std::uint64_t call, std::string_view description) {
  return write_message(CallerMessageType::kAnswer, call,
                       {{Parameter::kDescription, std::string(description)}});
}

std::string write_release(std::uint64_t call, int cause, std::optional<std::uint32_t> retry_after_ms) {
  std::vector<std::pair<Parameter, std::string>> parameters;
  if (retry_after_ms) parameters.emplace_back(Parameter::kRetryAfter, std::to_string(*retry_after_ms));
  parameters.emplace_back(Parameter::kCause, std::string(1, static_cast<char>(cause)));
  return write_message(CallerMessageType::kRelease, call, parameters);
}

std::string write_released(std::uint64_t call) {
  return write_message(CallerMessageType::kReleased, call, {});
}

std::string write_test_result(std::uint64_t call, bool passed) {
  return write_message(CallerMessageType::kTestResult, call,
                       {{Parameter::kCause, std::string(1, static_cast<char>(passed ? 1 : 0))}});
}

std::string hex_id(std::uint64_t id) {
  static const char kDigits[] = "0123456789abcdef";
  std::string out(16, '0');
  for (int i = 15; i >= 0; --i, id >>= 4) out[static_cast<std::size_t>(i)] = kDigits[id & 15];
  return out;
}

std::optional<std::uint64_t> read_hex_id(std::string_view text) {
  std::uint64_t id = 0;
  if (text.size() != 16) return std::nullopt;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), id, 16);
  if (error != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return id;
}

}  // namespace mintrock::platform
