#include "platform/log_names.hpp"

namespace mintrock::platform {

const char* name(CloseReason reason) {
  switch (reason) {
    case CloseReason::kSilent:
      return "silent";
    case CloseReason::kIdle:
      return "idle";
    case CloseReason::kEvicted:
      return "for room";
    case CloseReason::kInvalidMessages:
      return "unusable messages";
    case CloseReason::kShutdown:
      return "shutdown";
  }
  return "";
}

const char* name(EndDelivery delivery) {
  switch (delivery) {
    case EndDelivery::kSent:
      return "sent";
    case EndDelivery::kOffered:
      return "offered";
    case EndDelivery::kQueued:
      return "kept";
  }
  return "";
}

const char* name(ConnectionChange change) {
  switch (change) {
    case ConnectionChange::kStarted:
      return "begun";
    case ConnectionChange::kEstablished:
      return "up";
    case ConnectionChange::kLost:
      return "lost";
    case ConnectionChange::kRefused:
      return "refused";
    case ConnectionChange::kConnectTimeout:
      return "not up in time";
    case ConnectionChange::kUnreadable:
      return "closed: unreadable";
    case ConnectionChange::kDoubted:
      return "doubted";
    case ConnectionChange::kRetired:
      return "retired";
    case ConnectionChange::kRetiredClosed:
      return "closed: retired for long";
    case ConnectionChange::kServerGone:
      return "closed: server gone";
    case ConnectionChange::kServerLeft:
      return "closed: server left the list";
  }
  return "";
}

const char* name(MessageOwner owner) {
  switch (owner) {
    case MessageOwner::kAttempt:
      return "attempt";
    case MessageOwner::kAbandoned:
      return "given up";
    case MessageOwner::kEstablishedCall:
      return "standing";
    case MessageOwner::kUnknown:
      return "unknown";
  }
  return "";
}

const char* name(Outcome outcome) {
  switch (outcome) {
    case Outcome::kEnded:
      return "ended";
    case Outcome::kError:
      return "error";
    case Outcome::kFull:
      return "full";
    case Outcome::kTimedOut:
      return "timed out";
    case Outcome::kConnectFailed:
      return "connect failed";
    case Outcome::kReset:
      return "reset";
    case Outcome::kCancelled:
      return "cancelled";
    case Outcome::kNotSent:
      return "not sent";
  }
  return "";
}

}  // namespace mintrock::platform
