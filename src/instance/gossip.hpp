// Encodes the gossip between proxies as messages of up to 256 bytes: the version, the number of entries, then
// for each entry the server, its wait and the wait's age in milliseconds. A message of another version or
// with a wrong length decodes to no entries.
#ifndef MINTROCK_SRC_INSTANCE_GOSSIP_HPP_
#define MINTROCK_SRC_INSTANCE_GOSSIP_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::instance {

std::string pack_gossip(const std::vector<GossipEntry>& entries);
std::vector<GossipEntry> unpack_gossip(std::string_view bytes);

}  // namespace mintrock::instance

#endif  // MINTROCK_SRC_INSTANCE_GOSSIP_HPP_
