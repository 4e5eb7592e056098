// What an instance is told at its start, as path=value pairs, turned into the library's settings: one mapping
// for the simulator's wire and for the platform's configuration, which use the same names and units.
#ifndef MINTROCK_SRC_INSTANCE_SETTINGS_HPP_
#define MINTROCK_SRC_INSTANCE_SETTINGS_HPP_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::instance {

enum class Field { kSpare, kTotal, kWaitMs, kQueue, kUnknown };

// The library's part, and the order of the values in load reports.
struct InstanceSettings {
  Settings settings;
  std::vector<Field> report_fields;
};

// Lists of plain values are joined by commas; a list of objects or lists has its length under path.count and
// its items under path.0, path.1 and so on. Nonsense throws FormatError.
using PathValues = std::map<std::string, std::string>;
InstanceSettings parse_settings(PathValues pairs);
// The same from text, a pair a line.
InstanceSettings parse_settings(std::string_view text);

Field parse_field(std::string_view name);
void set_field(Report& report, Field field, double value);
Report make_report(const std::vector<Field>& fields, const std::vector<float>& values);

}  // namespace mintrock::instance

#endif  // MINTROCK_SRC_INSTANCE_SETTINGS_HPP_
