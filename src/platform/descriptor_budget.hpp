// How the file descriptors of an edge proxy's process are divided.
#ifndef MINTROCK_SRC_PLATFORM_DESCRIPTOR_BUDGET_HPP_
#define MINTROCK_SRC_PLATFORM_DESCRIPTOR_BUDGET_HPP_

#include <cstddef>
#include <cstdint>

namespace mintrock::platform {

struct DescriptorBudget {
  explicit DescriptorBudget(std::uint32_t sockets);
  std::size_t callers;  // connections from callers, including those that are closing
  std::size_t core;     // connections to core servers
  std::size_t per_server(std::size_t servers) const;
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_DESCRIPTOR_BUDGET_HPP_
