// Converts path=value pairs, which an instance gets at its start, into the library's settings. The
// simulator's protocol and the platform's configuration share this mapping: both use the same names and
// units.
#ifndef MINTROCK_SRC_INSTANCE_SETTINGS_HPP_
#define MINTROCK_SRC_INSTANCE_SETTINGS_HPP_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::instance {

enum class Field { kSpare, kTotal, kWaitMs, kQueue, kUnknown };

// The library's settings, and the order of the values in load reports.
struct InstanceSettings {
  Settings settings;
  std::vector<Field> report_fields;
};

// A list of plain values is joined by commas. A list of objects or lists has its length under path.count and
// its items under path.0, path.1 and so on.
using PathValues = std::map<std::string, std::string>;
// Throws FormatError on an invalid value.
InstanceSettings parse_settings(PathValues pairs);
// The same, from text with one pair per line.
InstanceSettings parse_settings(std::string_view text);

// Returns kUnknown for an unknown name.
Field parse_field(std::string_view name);
void set_field(Report& report, Field field, double value);
// Values without a field in `fields` are ignored.
Report make_report(const std::vector<Field>& fields, const std::vector<float>& values);

}  // namespace mintrock::instance

#endif  // MINTROCK_SRC_INSTANCE_SETTINGS_HPP_
