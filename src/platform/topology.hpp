// The event bus's news of core servers, read and checked.
//
// Pure: text in, news out. An entry that is broken is left out and named; text that is no event throws
// std::runtime_error.
#ifndef MINTROCK_SRC_PLATFORM_TOPOLOGY_HPP_
#define MINTROCK_SRC_PLATFORM_TOPOLOGY_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "list/server_list.hpp"

namespace mintrock::platform {

struct TopologyEvent {
  std::uint64_t offset = 0;  // its number; news.revision is the same
  list::Update news;
};

// `kinds`: names of the machine kinds, in order.
TopologyEvent parse_topology_event(const std::string& json, const std::vector<std::string>& kinds);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_TOPOLOGY_HPP_
