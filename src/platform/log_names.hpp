// The names of reasons, connection changes, message owners and outcomes in the platform edge's log
// (docs/platform.md, Log).
#ifndef MINTROCK_SRC_PLATFORM_LOG_NAMES_HPP_
#define MINTROCK_SRC_PLATFORM_LOG_NAMES_HPP_

#include "mintrock/controller.hpp"
#include "platform/caller_side.hpp"
#include "platform/core_connections.hpp"

namespace mintrock::platform {

const char* name(EndDelivery delivery);
const char* name(CloseReason reason);
const char* name(ConnectionChange change);
const char* name(MessageOwner owner);
const char* name(Outcome outcome);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_LOG_NAMES_HPP_
