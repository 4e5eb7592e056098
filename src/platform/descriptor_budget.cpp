#include "platform/descriptor_budget.hpp"

#include <algorithm>

namespace mintrock::platform {

// A sixteenth of the descriptors is reserved for the process itself, listeners, the bus (two connections
// while its address changes) and datagrams, and a quarter for core servers. The rest is for callers, which
// usually hold at most a third of all.
DescriptorBudget::DescriptorBudget(std::uint32_t sockets)
    : callers(sockets - sockets / 4 - std::max(16u, sockets / 16)), core(sockets / 4) {}

std::size_t DescriptorBudget::per_server(std::size_t servers) const {
  constexpr std::size_t kMaxPerServer = 16;
  return std::clamp<std::size_t>(core / std::max<std::size_t>(1, servers), 2, kMaxPerServer);
}

}  // namespace mintrock::platform
