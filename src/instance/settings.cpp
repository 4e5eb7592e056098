#include "instance/settings.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "instance/bytes.hpp"

namespace mintrock::instance {
namespace {

constexpr std::size_t kMaxItems = 100000;  // of a list in the settings; more is taken for nonsense

// The settings text as pairs, with typed look-ups. A key that is missing leaves the default.
class Pairs {
 public:
  explicit Pairs(PathValues pairs) : pairs_(std::move(pairs)) {}

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
      if (value > 4294967295.0 || value != std::floor(value)) bad(key);
      out = static_cast<std::uint32_t>(value);
    }
  }
  void read(const std::string& key, bool& out) const {
    if (const std::string* text = find(key)) {
      if (*text != "true" && *text != "false") bad(key);
      out = *text == "true";
    }
  }
  std::size_t count(const std::string& key) const {
    std::uint32_t value = 0;
    read(key + ".count", value);
    if (value > kMaxItems) bad(key + ".count");
    return value;
  }
  static std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t end = std::min(text.find(',', at), text.size());
      parts.push_back(text.substr(at, end - at));
      at = end + 1;
    }
    return parts;
  }
  // All figures read here are sizes, times or shares: none may be negative.
  static double number(const std::string& key, const std::string& text) {
    const auto value = read_finite(text);
    if (!value || *value < 0) bad(key);
    return *value;
  }
  [[noreturn]] static void bad(const std::string& key) {
    throw FormatError("nonsense in settings at " + key.substr(0, 60));
  }

 private:
  PathValues pairs_;
};

void read_class(const Pairs& pairs, std::size_t index, Settings::Class& out) {
  const std::string base = "classes." + std::to_string(index) + ".";
  pairs.read(base + "goal_time_s", out.aim_s);
  pairs.read(base + "deadline_s", out.deadline_s);
  pairs.read(base + "value", out.value);
  if (const std::string* effect = pairs.find(base + "effect")) {
    if (*effect == "repeatable") {
      out.effect = Effect::kRepeatable;
    } else if (*effect == "by_key") {
      out.effect = Effect::kByKey;
    } else if (*effect == "once") {
      out.effect = Effect::kOnce;
    } else {
      Pairs::bad(base + "effect");
    }
  }
  const std::string key = "domain.skilled_pools." + std::to_string(index);
  if (const std::string* nodes = pairs.find(key)) {
    for (const std::string& part : Pairs::split(*nodes)) {
      const double node = Pairs::number(key, part);
      if (node > 4294967295.0 || node != std::floor(node)) Pairs::bad(key);
      out.nodes.push_back(static_cast<std::uint32_t>(node));
    }
  }
}

}  // namespace

InstanceSettings parse_settings(PathValues path_values) {
  const Pairs pairs(std::move(path_values));
  InstanceSettings out;
  Settings& s = out.settings;
  s.classes.resize(pairs.count("classes"));
  for (std::size_t i = 0; i < s.classes.size(); ++i) read_class(pairs, i, s.classes[i]);
  pairs.read("domain.clear_wait_s", s.release_wait_s);
  pairs.read("domain.t1_s", s.repeat_after_s);
  pairs.read("rules.start_capacity", s.start_capacity);
  pairs.read("rules.warm_up_s", s.warm_up_s);
  pairs.read("rules.overload_factor", s.overload_factor);
  pairs.read("rules.fall_s", s.fall_s);
  pairs.read("fleet_size", s.fleet_size);
  pairs.read("me", s.own_number);
  pairs.read("limits.peers", s.tells_peers);
  pairs.read("callers.marks_retry", s.marks_redials);
  pairs.read("limits.try_limit", s.attempt_limit);
  pairs.read("limits.max_retry_after_s", s.max_retry_after_s);
  pairs.read("limits.cancelling", s.can_cancel);
  pairs.read("limits.retry_after", s.gives_retry_after);
  if (const std::string* mode = pairs.find("registry_mode")) s.asks_for_list = *mode == "ask";
  if (const std::string* fields = pairs.find("load_info.fields")) {
    for (const std::string& name : Pairs::split(*fields)) out.report_fields.push_back(parse_field(name));
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
      throw FormatError("settings line without path=value: " + std::string(line.substr(0, 60)));
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
