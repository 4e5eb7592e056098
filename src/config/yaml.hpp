// YAML settings, every key checked: types, ranges and units; unknown keys are rejected with file, line and
// the nearest known name.
#ifndef MINTROCK_SRC_CONFIG_YAML_HPP_
#define MINTROCK_SRC_CONFIG_YAML_HPP_

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace mintrock::config {

// "FILE:LINE: KEY: what is wrong", one line.
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One mapping of a file. Each reader takes a key's value if it stands there, and notes the key as known;
// `finish` rejects those that no reader asked for.
class Section {
 public:
  Section(std::string file, std::string path, YAML::Node node);

  bool has(const char* key) const;
  void read(const char* key, std::string& out);
  void read(const char* key, bool& out);
  void read(const char* key, double& out, double least, double most);
  void read(const char* key, std::uint32_t& out, std::uint32_t least, std::uint32_t most);
  // A time with its unit: "800us", "250ms", "1.5s", "2m", "1h"; out in seconds.
  void read_time(const char* key, double& out, double least_s, double most_s);
  // One of the names, in order; `out` gets its place.
  void read_choice(const char* key, const std::vector<std::string>& names, std::size_t& out);
  void read_list(const char* key, std::vector<std::string>& out);
  void read_numbers(const char* key, std::vector<std::uint32_t>& out);
  // The mapping or the list of mappings under a key; `each` is called with it, and finished after it.
  void read_section(const char* key, const std::function<void(Section&)>& each);
  void read_sections(const char* key, const std::function<void(Section&)>& each);
  // Marks a key as known whose value the caller reads by itself.
  YAML::Node raw_node(const char* key);

  void require(const char* key) const;
  void reject_unknown_keys() const;
  [[noreturn]] void fail(const char* key, const std::string& what) const;
  const std::string& file() const { return file_; }

 private:
  YAML::Node take(const char* key);
  std::string text_of(const char* key, const YAML::Node& node) const;
  double number_of(const char* key, const std::string& text, double least, double most) const;
  std::string file_;
  std::string path_;
  YAML::Node node_;
  std::set<std::string> known_;
};

// Loads a file's top mapping; throws Error naming file and line.
Section load(const std::string& file);

// Reads a time with its unit; throws std::runtime_error.
double parse_time(const std::string& text);

}  // namespace mintrock::config

#endif  // MINTROCK_SRC_CONFIG_YAML_HPP_
