#include "instance/settings.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "instance/bytes.hpp"

namespace mintrock::instance {
namespace {

constexpr std::size_t kMaxItems = 100000;  // of a list; a larger count is rejected as invalid

// The settings as path=value pairs, with typed look-ups. A missing key leaves the default.
class SettingsReader {
 public:
  explicit SettingsReader(PathValues pairs) : pairs_(std::move(pairs)) {}

  const std::string* find(const std::string& key) const {
    const auto found = pairs_.find(key);
    return found == pairs_.end() ? nullptr : &found->second;
  }

  void read(const std::string& key, double& out) const {
    if (const std::string* text = find(key)) out = number(key, *text);
  }
  void read(const std::string& key, std::uint32_t& out) const {
    if (const std::string* text = find(key)) {
      const double value = number(key, *text);
      if (value > 4294967295.0 || value != std::floor(value)) fail(key);
      out = static_cast<std::uint32_t>(value);
    }
  }
  void read(const std::string& key, bool& out) const {
    if (const std::string* text = find(key)) {
      if (*text != "true" && *text != "false") fail(key);
      out = *text == "true";
    }
  }
  std::size_t count(const std::string& key) const {
    std::uint32_t value = 0;
    read(key + ".count", value);
    if (value > kMaxItems) fail(key + ".count");
    return value;
  }
  static std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::size_t begin = 0;
    while (begin < text.size()) {
      const std::size_t end = std::min(text.find(',', begin), text.size());
      parts.push_back(text.substr(begin, end - begin));
      begin = end + 1;
    }
    return parts;
  }
  // All numbers in the settings are sizes, times or shares, so none may be negative.
  static double number(const std::string& key, const std::string& text) {
    const auto value = read_finite(text);
    if (!value || *value < 0) fail(key);
    return *value;
  }
  [[noreturn]] static void fail(const std::string& key) {
    throw FormatError("invalid value in settings at " + key.substr(0, 60));
  }

 private:
  PathValues pairs_;
};

void read_class(const SettingsReader& reader, std::size_t index, Settings::Class& out) {
  const std::string base = "classes." + std::to_string(index) + ".";
  reader.read(base + "goal_time_s", out.target_s);
  reader.read(base + "deadline_s", out.deadline_s);
  reader.read(base + "value", out.value);
  if (const std::string* effect = reader.find(base + "effect")) {
    if (*effect == "repeatable") {
      out.effect = Effect::kRepeatable;
    } else if (*effect == "by_key") {
      out.effect = Effect::kByKey;
    } else if (*effect == "once") {
      out.effect = Effect::kOnce;
    } else {
      SettingsReader::fail(base + "effect");
    }
  }
  const std::string key = "domain.skilled_pools." + std::to_string(index);
  if (const std::string* nodes = reader.find(key)) {
    for (const std::string& part : SettingsReader::split(*nodes)) {
      const double node = SettingsReader::number(key, part);
      if (node > 4294967295.0 || node != std::floor(node)) SettingsReader::fail(key);
      out.nodes.push_back(static_cast<std::uint32_t>(node));
    }
  }
}

}  // namespace

InstanceSettings parse_settings(PathValues pairs) {
  const SettingsReader reader(std::move(pairs));
  InstanceSettings out;
  Settings& s = out.settings;
  s.classes.resize(reader.count("classes"));
  for (std::size_t i = 0; i < s.classes.size(); ++i) read_class(reader, i, s.classes[i]);
  reader.read("domain.clear_wait_s", s.release_wait_s);
  reader.read("domain.t1_s", s.repeat_after_s);
  reader.read("rules.start_capacity", s.start_capacity);
  reader.read("rules.warm_up_s", s.warm_up_s);
  reader.read("rules.overload_factor", s.overload_factor);
  reader.read("rules.fall_s", s.fall_s);
  reader.read("fleet_size", s.fleet_size);
  reader.read("me", s.own_number);
  reader.read("limits.peers", s.can_tell_peers);
  reader.read("callers.marks_retry", s.marks_redials);
  reader.read("limits.try_limit", s.attempt_limit);
  reader.read("limits.max_retry_after_s", s.max_retry_after_s);
  reader.read("limits.cancelling", s.can_cancel);
  reader.read("limits.retry_after", s.gives_retry_after);
  if (const std::string* mode = reader.find("registry_mode")) s.must_subscribe = *mode == "ask";
  if (const std::string* fields = reader.find("load_info.fields")) {
    for (const std::string& name : SettingsReader::split(*fields))
      out.report_fields.push_back(parse_field(name));
  }
  return out;
}

InstanceSettings parse_settings(std::string_view text) {
  PathValues pairs;
  while (!text.empty()) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    const std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (line.empty()) continue;
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos || equals == 0) {
      throw FormatError("settings line is not path=value: " + std::string(line.substr(0, 60)));
    }
    pairs[std::string(line.substr(0, equals))] = std::string(line.substr(equals + 1));
  }
  return parse_settings(std::move(pairs));
}

Field parse_field(std::string_view name) {
  static constexpr std::pair<std::string_view, Field> kNames[] = {{"spare", Field::kSpare},
                                                                  {"total", Field::kTotal},
                                                                  {"mean_ms", Field::kWaitMs},
                                                                  {"depth", Field::kQueue}};
  for (const auto& [known, field] : kNames) {
    if (name == known) return field;
  }
  return Field::kUnknown;
}

void set_field(Report& report, Field field, double value) {
  switch (field) {
    case Field::kSpare:
      report.spare = value;
      break;
    case Field::kWaitMs:
      report.wait_s = value / 1000.0;
      break;
    case Field::kQueue:
      report.queue = value;
      break;
    case Field::kTotal:
      report.total = value;
      break;
    case Field::kUnknown:
      break;
  }
}

Report make_report(const std::vector<Field>& fields, const std::vector<float>& values) {
  Report report;
  for (std::size_t i = 0; i < values.size() && i < fields.size(); ++i)
    set_field(report, fields[i], values[i]);
  return report;
}

}  // namespace mintrock::instance
