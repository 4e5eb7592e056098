// The bytes of a message between proxies, within 256: version, number of entries, then for each the server,
// the wait and its age in milliseconds. A message of another version or of a wrong length says nothing.
#ifndef MINTROCK_SRC_INSTANCE_GOSSIP_HPP_
#define MINTROCK_SRC_INSTANCE_GOSSIP_HPP_

#include <string>
#include <string_view>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::instance {

std::string pack_gossip(const std::vector<Hearsay>& hearsay);
std::vector<Hearsay> unpack_gossip(std::string_view bytes);

}  // namespace mintrock::instance

#endif  // MINTROCK_SRC_INSTANCE_GOSSIP_HPP_
