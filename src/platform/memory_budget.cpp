#include "platform/memory_budget.hpp"

#include <algorithm>

#include "platform/caller_codec.hpp"

namespace mintrock::platform {
namespace {

constexpr std::size_t kBytesPerMegabyte = std::size_t{1} << 20;
constexpr std::size_t kCallsPerMegabyte = 64;
constexpr std::size_t kParts = 16;  // of the limit, one for each kind of buffer
// An event is held in two copies while it arrives, by two requests at most, and takes several times its size
// while it is read.
constexpr std::size_t kEventParts = 32;
constexpr std::size_t kMaxUnsent = 256 << 10;
constexpr std::size_t kMinUnsentMessages = 2;  // of the largest size

std::size_t unsent_for_each(std::size_t bytes, std::size_t connections) {
  return std::clamp(bytes / std::max<std::size_t>(1, connections), kMinUnsentMessages * kMaxMessageSize,
                    kMaxUnsent);
}

}  // namespace

MemoryBudget::MemoryBudget(std::uint32_t memory_mb, std::uint32_t open_cap,
                           const DescriptorBudget& descriptors)
    : calls(static_cast<std::uint32_t>(std::min<std::size_t>(open_cap, memory_mb * kCallsPerMegabyte))),
      descriptions(memory_mb * kBytesPerMegabyte / kParts),
      caller_unsent(unsent_for_each(descriptions, descriptors.callers)),
      bus_event(memory_mb * kBytesPerMegabyte / kEventParts),
      core_unsent(unsent_for_each(descriptions, descriptors.core)) {}

}  // namespace mintrock::platform
