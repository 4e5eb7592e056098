// How the memory limit of an edge proxy's process is divided among what callers and core servers can make it
// hold.
//
// Each part is bounded in bytes, as a number of calls or connections says nothing of their size. Half of the
// limit is left for the program itself and for what the allocator can't return.
#ifndef MINTROCK_SRC_PLATFORM_MEMORY_BUDGET_HPP_
#define MINTROCK_SRC_PLATFORM_MEMORY_BUDGET_HPP_

#include <cstddef>
#include <cstdint>

#include "platform/descriptor_budget.hpp"

namespace mintrock::platform {

struct MemoryBudget {
  // `open_cap`: the most open calls that the settings allow.
  MemoryBudget(std::uint32_t memory_mb, std::uint32_t open_cap, const DescriptorBudget& descriptors);
  std::uint32_t calls;        // open calls, including established ones
  std::size_t descriptions;   // bytes of the set-ups that are not answered yet, all together
  std::size_t caller_unsent;  // bytes for one caller that doesn't read
  std::size_t bus_event;      // bytes of one event of the bus
  std::size_t core_unsent;    // bytes for one connection to a core server that doesn't read
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_MEMORY_BUDGET_HPP_
