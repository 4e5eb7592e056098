// The command line of `mintrock-lab soak`.
#ifndef MINTROCK_SRC_LAB_SOAK_COMMAND_HPP_
#define MINTROCK_SRC_LAB_SOAK_COMMAND_HPP_

#include <string>

namespace CLI {
class App;
}

namespace mintrock::lab::soak {

// Adds the command to `app`. Its trials run `edge_program` unless --edge names another; `status` becomes 1
// once a rule is broken.
void add_command(CLI::App& app, const std::string& edge_program, int& status);

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_COMMAND_HPP_
