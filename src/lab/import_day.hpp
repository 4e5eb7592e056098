// Converts a day of the simulation bench (a JSON file) into a lab scenario: keeps its kinds of faults, sizes
// and rates, scaled down to a few machines. Only reads the file and stores nothing.
#ifndef MINTROCK_SRC_LAB_IMPORT_DAY_HPP_
#define MINTROCK_SRC_LAB_IMPORT_DAY_HPP_

#include <cstdint>
#include <string>

namespace mintrock::lab {

// Returns the scenario as YAML. Kinds of faults that the lab does not support are named in YAML comments.
// Throws std::runtime_error with a one-line message that names the file and what is missing.
std::string import_day(const std::string& file, std::uint32_t cores, std::uint32_t proxies);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_IMPORT_DAY_HPP_
