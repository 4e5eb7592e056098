#include "config/yaml.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <utility>

namespace mintrock::config {
namespace {

// Levenshtein distance.
std::size_t edit_distance(const std::string& a, const std::string& b) {
  std::vector<std::size_t> row(b.size() + 1);
  for (std::size_t j = 0; j <= b.size(); ++j) row[j] = j;
  for (std::size_t i = 1; i <= a.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i;
    for (std::size_t j = 1; j <= b.size(); ++j) {
      const std::size_t above = row[j];
      row[j] = std::min({row[j] + 1, row[j - 1] + 1, diagonal + (a[i - 1] == b[j - 1] ? 0 : 1)});
      diagonal = above;
    }
  }
  return row[b.size()];
}

std::string location(const std::string& file, const YAML::Mark& mark) {
  return mark.is_null() ? file : file + ":" + std::to_string(mark.line + 1);
}

bool parse_number(const std::string& text, double& out) {
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), out);
  return error == std::errc() && end == text.data() + text.size() && std::isfinite(out);
}

std::string format(double value) {
  std::string text = std::to_string(value);
  text.erase(text.find_last_not_of('0') + 1);
  if (!text.empty() && text.back() == '.') text.pop_back();
  return text;
}

}  // namespace

double parse_time(const std::string& text) {
  static const std::pair<const char*, double> kUnits[] = {
      {"us", 1e-6}, {"ms", 0.001}, {"s", 1}, {"m", 60}, {"h", 3600}};
  const std::size_t unit_at = text.find_first_not_of("0123456789.+-eE");
  if (unit_at == std::string::npos) throw std::runtime_error("'" + text + "' has no unit (us, ms, s, m, h)");
  double value = 0;
  if (!parse_number(text.substr(0, unit_at), value))
    throw std::runtime_error("'" + text + "' is not a duration");
  for (const auto& [name, seconds] : kUnits) {
    if (text.substr(unit_at) == name) return value * seconds;
  }
  throw std::runtime_error("'" + text + "' has no unit of us, ms, s, m, h");
}

Section::Section(std::string file, std::string path, YAML::Node node)
    : file_(std::move(file)), path_(std::move(path)), node_(std::move(node)) {
  if (node_.IsDefined() && !node_.IsNull() && !node_.IsMap()) {
    throw Error(location(file_, node_.Mark()) + ": " + (path_.empty() ? "the file" : path_) +
                " is not a mapping");
  }
  if (!node_.IsMap()) return;
  std::set<std::string> seen;
  for (const auto& pair : node_) {
    const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
    if (!seen.insert(key).second)
      throw Error(location(file_, pair.first.Mark()) + ": " + path_ + key + " is a duplicate key");
  }
}

bool Section::has(const char* key) const { return node_.IsMap() && node_[key].IsDefined(); }

YAML::Node Section::find_and_mark_known(const char* key) {
  known_keys_.insert(key);
  return node_.IsMap() ? node_[key] : YAML::Node(YAML::NodeType::Undefined);
}

YAML::Node Section::raw_node(const char* key) { return find_and_mark_known(key); }

void Section::fail(const char* key, const std::string& what) const {
  YAML::Mark mark = node_.Mark();
  if (node_.IsMap()) {
    for (const auto& pair : node_) {
      if (pair.first.IsScalar() && pair.first.Scalar() == key) mark = pair.first.Mark();
    }
  }
  throw Error(location(file_, mark) + ": " + path_ + key + ": " + what);
}

void Section::require(const char* key) const {
  if (!has(key)) fail(key, "is missing");
}

std::string Section::scalar_text(const char* key, const YAML::Node& node) const {
  if (!node.IsScalar()) fail(key, "is not a scalar");
  return node.Scalar();
}

double Section::parse_in_range(const char* key, const std::string& text, double min, double max) const {
  double value = 0;
  if (!parse_number(text, value)) fail(key, "'" + text + "' is not a number");
  if (value < min || value > max) fail(key, text + " is not within " + format(min) + " to " + format(max));
  return value;
}

void Section::read(const char* key, std::string& out) {
  const YAML::Node node = find_and_mark_known(key);
  if (!node.IsDefined()) return;
  out = scalar_text(key, node);
}

void Section::read(const char* key, bool& out) {
  const YAML::Node node = find_and_mark_known(key);
  if (!node.IsDefined()) return;
  const std::string text = scalar_text(key, node);
  if (text != "true" && text != "false") fail(key, "'" + text + "' is neither true nor false");
  out = text == "true";
}

void Section::read(const char* key, double& out, double min, double max) {
  const YAML::Node node = find_and_mark_known(key);
  if (node.IsDefined()) out = parse_in_range(key, scalar_text(key, node), min, max);
}

void Section::read(const char* key, std::uint32_t& out, std::uint32_t min, std::uint32_t max) {
  const YAML::Node node = find_and_mark_known(key);
  if (!node.IsDefined()) return;
  const double value = parse_in_range(key, scalar_text(key, node), min, max);
  if (value != std::floor(value)) fail(key, "is not an integer");
  out = static_cast<std::uint32_t>(value);
}

void Section::read_time(const char* key, double& out, double min_s, double max_s) {
  const YAML::Node node = find_and_mark_known(key);
  if (!node.IsDefined()) return;
  const std::string text = scalar_text(key, node);
  double value = 0;
  try {
    value = parse_time(text);
  } catch (const std::exception& error) {
    fail(key, error.what());
  }
  if (value < min_s || value > max_s) {
    fail(key, text + " is not within " + format(min_s) + "s to " + format(max_s) + "s");
  }
  out = value;
}

void Section::read_choice(const char* key, const std::vector<std::string>& names, std::size_t& out) {
  const YAML::Node node = find_and_mark_known(key);
  if (!node.IsDefined()) return;
  const std::string text = scalar_text(key, node);
  const auto found = std::find(names.begin(), names.end(), text);
  if (found == names.end()) {
    std::string all;
    for (const std::string& each : names) all += (all.empty() ? "" : ", ") + each;
    fail(key, "'" + text + "' is not one of " + all);
  }
  out = static_cast<std::size_t>(found - names.begin());
}

void Section::read_list(const char* key, std::vector<std::string>& out) {
  const YAML::Node node = find_and_mark_known(key);
  if (!node.IsDefined()) return;
  if (!node.IsSequence()) fail(key, "is not a list");
  out.clear();
  for (const YAML::Node& each : node) out.push_back(scalar_text(key, each));
}

void Section::read_numbers(const char* key, std::vector<std::uint32_t>& out) {
  std::vector<std::string> texts;
  read_list(key, texts);
  out.clear();
  for (const std::string& text : texts) {
    const double value = parse_in_range(key, text, 0, 4294967295.0);
    if (value != std::floor(value)) fail(key, "'" + text + "' is not an integer");
    out.push_back(static_cast<std::uint32_t>(value));
  }
}

void Section::read_section(const char* key, const std::function<void(Section&)>& visit) {
  Section inner(file_, path_ + key + ".", find_and_mark_known(key));
  visit(inner);
  inner.reject_unknown_keys();
}

void Section::read_sections(const char* key, const std::function<void(Section&)>& visit) {
  const YAML::Node node = find_and_mark_known(key);
  if (!node.IsDefined()) return;
  if (!node.IsSequence()) fail(key, "is not a list");
  std::size_t index = 0;
  for (const YAML::Node& item : node) {
    Section inner(file_, path_ + key + "[" + std::to_string(index++) + "].", item);
    visit(inner);
    inner.reject_unknown_keys();
  }
}

void Section::reject_unknown_keys() const {
  if (!node_.IsMap()) return;
  for (const auto& pair : node_) {
    const std::string key = pair.first.IsScalar() ? pair.first.Scalar() : "?";
    if (known_keys_.count(key) != 0) continue;
    std::string most_similar;
    for (const std::string& each : known_keys_) {
      if (most_similar.empty() || edit_distance(key, each) < edit_distance(key, most_similar))
        most_similar = each;
    }
    throw Error(location(file_, pair.first.Mark()) + ": " + path_ + key + " is unknown" +
                (most_similar.empty() ? "" : ", the most similar key is " + path_ + most_similar));
  }
}

Section load(const std::string& file) {
  try {
    return Section(file, "", YAML::LoadFile(file));
  } catch (const YAML::BadFile&) {
    throw Error(file + ": cannot be read");
  } catch (const YAML::ParserException& error) {
    throw Error(location(file, error.mark) + ": " + error.msg);
  }
}

}  // namespace mintrock::config
