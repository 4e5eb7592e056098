// Parses and checks the event bus's updates of the list of core servers.
//
// Pure: does no I/O and reads no clock. A malformed entry is left out and reported in the update's errors;
// text that is not an event throws std::runtime_error.
#ifndef MINTROCK_SRC_PLATFORM_TOPOLOGY_HPP_
#define MINTROCK_SRC_PLATFORM_TOPOLOGY_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "list/server_list.hpp"

namespace mintrock::platform {

struct TopologyEvent {
  std::uint64_t offset = 0;  // the event's number; equal to update.revision
  list::Update update;
};

// `kinds` are the names of the machine kinds; an entry's kind is its index there.
TopologyEvent parse_topology_event(const std::string& json_text, const std::vector<std::string>& kinds);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_TOPOLOGY_HPP_
