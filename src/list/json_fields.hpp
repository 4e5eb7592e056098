// Reads and checks fields of the server list's JSON, for both of its formats. An invalid field throws
// std::runtime_error that names it.
#ifndef MINTROCK_SRC_LIST_JSON_FIELDS_HPP_
#define MINTROCK_SRC_LIST_JSON_FIELDS_HPP_

#include <cmath>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

namespace mintrock::list {

// Returns a string of 1 to `max_size` bytes.
inline std::string text_field(const nlohmann::json& from, const char* key, std::size_t max_size) {
  const auto found = from.find(key);
  if (found == from.end() || !found->is_string() || found->get_ref<const std::string&>().empty()) {
    throw std::runtime_error(std::string(key) + " is missing or not a non-empty string");
  }
  const auto& value = found->get_ref<const std::string&>();
  if (value.size() > max_size) {
    throw std::runtime_error(std::string(key) + " exceeds " + std::to_string(max_size) + " bytes");
  }
  return value;
}

// Returns a number from 0 to `max`, or `fallback` if the field is missing.
inline double number_field(const nlohmann::json& from, const char* key, double fallback, double max) {
  const auto found = from.find(key);
  if (found == from.end()) return fallback;
  if (!found->is_number()) throw std::runtime_error(std::string(key) + " is not a number");
  const double value = found->get<double>();
  if (!std::isfinite(value) || value < 0 || value > max) {
    throw std::runtime_error(std::string(key) + " is out of range");
  }
  return value;
}

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_JSON_FIELDS_HPP_
