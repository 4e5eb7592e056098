// Measures what a client that sends as much as it can does to an edge proxy in platform mode, and to other
// clients: the peak of its resident memory, and the delay of the others' answers with and without it.
#ifndef MINTROCK_SRC_LAB_SOAK_PRESSURE_HPP_
#define MINTROCK_SRC_LAB_SOAK_PRESSURE_HPP_

#include <string>

namespace CLI {
class App;
}

namespace mintrock::lab::soak {

// Adds the command `pressure`; `status` becomes 1 if the proxy exits or passes its memory limit.
void add_pressure_command(CLI::App& app, const std::string& edge_program, int& status);

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_PRESSURE_HPP_
