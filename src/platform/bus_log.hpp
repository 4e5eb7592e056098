// Log lines about the requests to the event bus.
#ifndef MINTROCK_SRC_PLATFORM_BUS_LOG_HPP_
#define MINTROCK_SRC_PLATFORM_BUS_LOG_HPP_

#include <string>

#include "edge/logging.hpp"
#include "list/client.hpp"

namespace mintrock::platform {

inline void log_bus_lost(const std::string& reason) {
  edge::log_event(spdlog::level::warn, "bus_lost", {{"detail", reason}});
}

inline void log_bus_request(list::RequestId request, list::RequestChange change) {
  edge::log_event(spdlog::level::info, "bus_request",
                  {{"request", std::to_string(request)}, {"detail", list::name(change)}});
}

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_BUS_LOG_HPP_
