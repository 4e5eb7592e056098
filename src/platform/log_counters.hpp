// The periodic log line with the totals of an edge proxy.
#ifndef MINTROCK_SRC_PLATFORM_LOG_COUNTERS_HPP_
#define MINTROCK_SRC_PLATFORM_LOG_COUNTERS_HPP_

#include <cstddef>

#include "edge/call_manager.hpp"
#include "platform/caller_side.hpp"
#include "platform/core_connections.hpp"

namespace mintrock::platform {

// Logs the event "state". `taken_over`: the calls that their callers reported as established.
void log_counters(const edge::CallManager& call_manager, const CallerSide& callers, const CoreCounters& core,
                  std::size_t taken_over);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_LOG_COUNTERS_HPP_
