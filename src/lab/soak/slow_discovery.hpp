// Measures how an edge proxy in platform mode hears a discovery service that is slow, and what its requests
// cost a crowded one.
#ifndef MINTROCK_SRC_LAB_SOAK_SLOW_DISCOVERY_HPP_
#define MINTROCK_SRC_LAB_SOAK_SLOW_DISCOVERY_HPP_

#include <string>

namespace CLI {
class App;
}

namespace mintrock::lab::soak {

// Adds the command `slow-discovery`; `status` becomes 1 if a proxy learns of a change late.
void add_slow_discovery_command(CLI::App& app, const std::string& edge_program, int& status);

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_SLOW_DISCOVERY_HPP_
