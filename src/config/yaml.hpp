// Reads YAML settings and checks the type, range and unit of every value. Unknown keys are rejected with
// file, line and the most similar known key.
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

// The message is one line: "FILE:LINE: KEY: DESCRIPTION".
class Error : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// One mapping of a file. Each read function marks its key as known and sets `out` if the key is present;
// `reject_unknown_keys` rejects the keys that no read function asked for. All throw Error.
class Section {
 public:
  Section(std::string file, std::string path, YAML::Node node);

  bool has(const char* key) const;
  void read(const char* key, std::string& out);
  void read(const char* key, bool& out);
  void read(const char* key, double& out, double min, double max);
  void read(const char* key, std::uint32_t& out, std::uint32_t min, std::uint32_t max);
  // Reads a duration with its unit, such as "800us", "250ms", "1.5s", "2m" or "1h", in seconds.
  void read_time(const char* key, double& out, double min_s, double max_s);
  // Reads one of `names` and sets `out` to its index.
  void read_choice(const char* key, const std::vector<std::string>& names, std::size_t& out);
  void read_list(const char* key, std::vector<std::string>& out);
  void read_numbers(const char* key, std::vector<std::uint32_t>& out);
  // Call `visit` with the mapping under a key, or with every mapping of the list there, and then reject its
  // unknown keys.
  void read_section(const char* key, const std::function<void(Section&)>& visit);
  void read_sections(const char* key, const std::function<void(Section&)>& visit);
  // Marks a key as known and returns its node, which the caller reads itself.
  YAML::Node raw_node(const char* key);

  void require(const char* key) const;
  void reject_unknown_keys() const;
  [[noreturn]] void fail(const char* key, const std::string& what) const;
  const std::string& file() const { return file_; }

 private:
  YAML::Node find_and_mark_known(const char* key);
  std::string scalar_text(const char* key, const YAML::Node& node) const;
  double parse_in_range(const char* key, const std::string& text, double min, double max) const;
  std::string file_;
  std::string path_;
  YAML::Node node_;
  std::set<std::string> known_keys_;
};

// Loads the top-level mapping of a file. Throws Error that names the file and line.
Section load(const std::string& file);

// Parses a duration with its unit, in seconds. Throws std::runtime_error.
double parse_time(const std::string& text);

}  // namespace mintrock::config

#endif  // MINTROCK_SRC_CONFIG_YAML_HPP_
