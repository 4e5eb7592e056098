#include "platform/core_codec.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "instance/bytes.hpp"
#include "instance/settings.hpp"
#include "platform/caller_codec.hpp"

namespace mintrock::platform {
namespace {

using nlohmann::json;

// Returns a field's text, whether it is a string or a number; none for any other type.
std::optional<std::string> text_of(const json& value) {
  if (value.is_string()) return value.get<std::string>();
  if (value.is_number()) return value.dump();
  return std::nullopt;
}

std::optional<CoreMessage::Type> type_of(const std::string& name) {
  using Type = CoreMessage::Type;
  if (name == "answer") return Type::kAnswer;
  if (name == "release") return Type::kRelease;
  if (name == "released") return Type::kReleased;
  if (name == "progress") return Type::kProgress;
  if (name == "state") return Type::kState;
  if (name == "pong") return Type::kTestResult;
  return std::nullopt;
}

}  // namespace

std::optional<std::string_view> LineSplitter::next() {
  if (too_long_) return std::nullopt;
  if (position_ > 0 && (position_ == buffer_.size() || position_ >= kMaxMessageSize)) {
    buffer_.erase(0, position_);
    position_ = 0;
  }
  const std::size_t end = buffer_.find('\n', position_);
  const std::size_t size = (end == std::string::npos ? buffer_.size() : end) - position_;
  if (size >= kMaxMessageSize) {
    too_long_ = true;
    buffer_.clear();
    buffer_.shrink_to_fit();
    position_ = 0;
    return std::nullopt;
  }
  if (end == std::string::npos) return std::nullopt;
  const std::string_view line = std::string_view(buffer_).substr(position_, size);
  position_ = end + 1;
  return line;
}

Report read_report(std::string_view text) {
  Report report;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find(';'), text.size());
    const std::string_view item = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    const std::size_t colon = item.find(':');
    if (colon == std::string_view::npos) continue;
    const auto value = instance::read_finite(item.substr(colon + 1));
    if (!value || *value < 0) continue;  // a negative value means 'unknown'
    instance::set_field(report, instance::parse_field(item.substr(0, colon)), *value);
  }
  return report;
}

std::optional<CoreMessage> read_core_message(std::string_view line, const char*& error) {
  const auto fault = [&](const char* what) {
    error = what;
    return std::nullopt;
  };
  const json parsed = json::parse(line, nullptr, false);
  if (!parsed.is_object()) return fault("not a JSON object");
  const auto type_text = parsed.find("type");
  if (type_text == parsed.end() || !type_text->is_string()) return fault("missing type");
  const auto type = type_of(type_text->get_ref<const std::string&>());
  if (!type) return fault("unknown type");
  CoreMessage out;
  out.type = *type;
  const bool names_call = out.type != CoreMessage::Type::kState && out.type != CoreMessage::Type::kTestResult;
  const auto id = parsed.find("id");
  if (id != parsed.end() && id->is_string()) {
    out.id = read_hex_id(id->get_ref<const std::string&>()).value_or(0);
  }
  if (names_call && out.id == 0) return fault("missing or invalid id");
  const auto cause = parsed.find("cause");
  if (cause != parsed.end()) {
    if (!cause->is_number_integer()) return fault("cause is not an integer");
    const auto value = cause->get<std::int64_t>();
    if (value < 0 || value > 255) return fault("cause out of range");
    out.cause = static_cast<int>(value);
  }
  const auto description = parsed.find("sdp");
  if (description != parsed.end()) {
    if (!description->is_string()) return fault("sdp is not a string");
    out.description = description->get<std::string>();
  }
  if (out.type == CoreMessage::Type::kAnswer && out.description.empty()) return fault("missing or empty sdp");
  const auto fields = parsed.find("fields");
  if (fields == parsed.end()) return out;
  if (!fields->is_object()) return fault("fields is not an object");
  for (const auto& [name, value] : fields->items()) {
    const auto text = text_of(value);
    if (!text) return fault("a field is neither a string nor a number");
    if (name == "note") {
      out.note = *text;
    } else if (name == "waited") {
      out.waited_s = std::max(0.0, instance::read_finite(*text).value_or(0)) / 1000;
    } else if (name == "load") {
      out.report = read_report(*text);
    }
  }
  return out;
}

std::string write_core_setup(std::uint64_t id, std::string_view service_class, std::string_view number,
                             std::uint32_t time_left_ms, std::string_view description) {
  json fields{{"class", service_class}, {"left", std::to_string(time_left_ms)}};
  if (!number.empty()) fields["key"] = number;
  const json message{{"type", "setup"}, {"id", hex_id(id)}, {"fields", fields}, {"sdp", description}};
  return message.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::string write_core_release(std::uint64_t id, int cause) {
  return R"({"type":"release","id":")" + hex_id(id) + R"(","fields":{},"cause":)" + std::to_string(cause) +
         "}\n";
}

AttemptResult result_before_answer(int cause, std::string_view note) {
  const Cause refusal_cause = note == "all_trunks_busy" ? Cause::kNoLine
                              : note == "cpu_full"      ? Cause::kProcessorFull
                              : note == "number_busy"   ? Cause::kNumberBusy
                                                        : Cause::kNone;
  switch (cause) {
    case kCauseNoCircuit:
      return {Outcome::kFull, refusal_cause};
    case kCauseNumberBusy:
    case kCauseUnavailable:
      return {Outcome::kError, refusal_cause};
    case kCauseTimer:
      return {Outcome::kNotSent, refusal_cause};
    case kCauseNormal:  // the call was established and has ended; its answer is late or lost
      return {Outcome::kEnded, Cause::kNone};
    default:
      return {Outcome::kReset, Cause::kNone};
  }
}

}  // namespace mintrock::platform
