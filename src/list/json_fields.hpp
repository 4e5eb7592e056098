// Checked fields of the list's JSON, for both forms in which it comes. A fault throws std::runtime_error that
// names the field.
#ifndef MINTROCK_SRC_LIST_JSON_FIELDS_HPP_
#define MINTROCK_SRC_LIST_JSON_FIELDS_HPP_

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace mintrock::list {

// Never empty.
inline std::string text_field(const nlohmann::json& from, const char* key, std::size_t most) {
  const auto found = from.find(key);
  if (found == from.end() || !found->is_string() || found->get_ref<const std::string&>().empty()) {
    throw std::runtime_error(std::string(key) + " is missing or no text");
  }
  const auto& value = found->get_ref<const std::string&>();
  if (value.size() > most) {
    throw std::runtime_error(std::string(key) + " is over " + std::to_string(most) + " bytes");
  }
  return value;
}

// From 0 to `most`; `otherwise` where it is missing.
inline double number_field(const nlohmann::json& from, const char* key, double otherwise, double most) {
  const auto found = from.find(key);
  if (found == from.end()) return otherwise;
  if (!found->is_number()) throw std::runtime_error(std::string(key) + " is no number");
  const double value = found->get<double>();
  if (!std::isfinite(value) || value < 0 || value > most) {
    throw std::runtime_error(std::string(key) + " is out of range");
  }
  return value;
}

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_JSON_FIELDS_HPP_
