// A day of the bench as a scenario of the lab: its kinds of trouble, sizes and rates, scaled to few machines.
// Read when it is asked for; nothing of it is stored.
#ifndef MINTROCK_SRC_LAB_IMPORT_DAY_HPP_
#define MINTROCK_SRC_LAB_IMPORT_DAY_HPP_

#include <cstdint>
#include <string>

namespace mintrock::lab {

// The scenario's YAML. Kinds of trouble that the lab doesn't have are named in comments. Throws
// std::runtime_error with one line: the file, and what is missing.
std::string import_day(const std::string& file, std::uint32_t cores, std::uint32_t proxies);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_IMPORT_DAY_HPP_
