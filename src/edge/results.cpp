#include "edge/results.hpp"

#include <vector>

#include "diameter/dictionary.hpp"

namespace mintrock::edge {
namespace {

struct ResultRow {
  std::uint32_t result;
  const char* name;
  Outcome outcome;
  Cause cause;
};

constexpr ResultRow kResults[] = {
    {3001, "DIAMETER_COMMAND_UNSUPPORTED", Outcome::kError, Cause::kUnfit},
    {3002, "DIAMETER_UNABLE_TO_DELIVER", Outcome::kFull, Cause::kTurnedBack},
    {3003, "DIAMETER_REALM_NOT_SERVED", Outcome::kError, Cause::kUnfit},
    {3004, "DIAMETER_TOO_BUSY", Outcome::kFull, Cause::kProcessorFull},
    {3005, "DIAMETER_LOOP_DETECTED", Outcome::kError, Cause::kUnfit},
    {3006, "DIAMETER_REDIRECT_INDICATION", Outcome::kError, Cause::kUnfit},
    {3007, "DIAMETER_APPLICATION_UNSUPPORTED", Outcome::kError, Cause::kUnfit},
    {3008, "DIAMETER_INVALID_HDR_BITS", Outcome::kError, Cause::kUnfit},
    {3009, "DIAMETER_INVALID_AVP_BITS", Outcome::kError, Cause::kUnfit},
    {3010, "DIAMETER_UNKNOWN_PEER", Outcome::kError, Cause::kUnfit},
    {4001, "DIAMETER_AUTHENTICATION_REJECTED", Outcome::kError, Cause::kRejected},
    {4002, "DIAMETER_OUT_OF_SPACE", Outcome::kError, Cause::kNone},
    {4010, "DIAMETER_END_USER_SERVICE_DENIED", Outcome::kError, Cause::kNumberBusy},
    {4011, "DIAMETER_CREDIT_CONTROL_NOT_APPLICABLE", Outcome::kError, Cause::kRejected},
    {4012, "DIAMETER_CREDIT_LIMIT_REACHED", Outcome::kError, Cause::kRejected},
    {5001, "DIAMETER_AVP_UNSUPPORTED", Outcome::kError, Cause::kUnfit},
    {5002, "DIAMETER_UNKNOWN_SESSION_ID", Outcome::kError, Cause::kUnfit},
    {5003, "DIAMETER_AUTHORIZATION_REJECTED", Outcome::kError, Cause::kRejected},
    {5004, "DIAMETER_INVALID_AVP_VALUE", Outcome::kError, Cause::kUnfit},
    {5005, "DIAMETER_MISSING_AVP", Outcome::kError, Cause::kUnfit},
    {5006, "DIAMETER_RESOURCES_EXCEEDED", Outcome::kFull, Cause::kNoLine},
    {5007, "DIAMETER_CONTRADICTING_AVPS", Outcome::kError, Cause::kUnfit},
    {5008, "DIAMETER_AVP_NOT_ALLOWED", Outcome::kError, Cause::kUnfit},
    {5009, "DIAMETER_AVP_OCCURS_TOO_MANY_TIMES", Outcome::kError, Cause::kUnfit},
    {5010, "DIAMETER_NO_COMMON_APPLICATION", Outcome::kError, Cause::kUnfit},
    {5011, "DIAMETER_UNSUPPORTED_VERSION", Outcome::kError, Cause::kUnfit},
    {5012, "DIAMETER_UNABLE_TO_COMPLY", Outcome::kError, Cause::kUnfit},
    {5013, "DIAMETER_INVALID_BIT_IN_HEADER", Outcome::kError, Cause::kUnfit},
    {5014, "DIAMETER_INVALID_AVP_LENGTH", Outcome::kError, Cause::kUnfit},
    {5015, "DIAMETER_INVALID_MESSAGE_LENGTH", Outcome::kError, Cause::kUnfit},
    {5016, "DIAMETER_INVALID_AVP_BIT_COMBO", Outcome::kError, Cause::kUnfit},
    {5017, "DIAMETER_NO_COMMON_SECURITY", Outcome::kError, Cause::kUnfit},
    {5030, "DIAMETER_USER_UNKNOWN", Outcome::kError, Cause::kRejected},
    {5031, "DIAMETER_RATING_FAILED", Outcome::kError, Cause::kRejected},
};

const ResultRow* find_row(std::uint32_t result) {
  for (const ResultRow& row : kResults) {
    if (row.result == result) return &row;
  }
  return nullptr;
}

}  // namespace

ResultGroup group_of(std::uint32_t result) {
  switch (result / 1000) {
    case 1:
      return ResultGroup::kInformational;
    case 2:
      return ResultGroup::kSuccess;
    case 3:
      return ResultGroup::kProtocolError;
    case 4:
      return ResultGroup::kTransient;
    case 5:
      return ResultGroup::kPermanent;
    default:
      return ResultGroup::kUnknown;
  }
}

ResultMeaning meaning_of(std::uint32_t result) {
  const ResultGroup group = group_of(result);
  if (group == ResultGroup::kSuccess) return {true, Outcome::kEnded, Cause::kNone};
  if (const ResultRow* row = find_row(result)) return {false, row->outcome, row->cause};
  // An unknown transient failure may succeed at the next attempt. Other unknown codes are not retried at the
  // same server.
  if (group == ResultGroup::kTransient) return {false, Outcome::kError, Cause::kNone};
  return {false, Outcome::kError, Cause::kUnfit};
}

std::string_view name_of_result(std::uint32_t result) {
  const ResultRow* row = find_row(result);
  return row != nullptr ? row->name : std::string_view();
}

std::string describe_failed_avp(std::string_view data) {
  std::vector<diameter::AvpView> inner;
  if (data.empty() || diameter::split_avps(data, inner) || inner.empty()) return "";
  const diameter::AvpView& first = inner.front();
  if (const diameter::AvpDef* def = diameter::find_avp(first.code, first.vendor)) {
    return std::string(def->name) + " (" + std::to_string(first.code) + ")";
  }
  std::string out = "AVP " + std::to_string(first.code);
  if (first.vendor != 0) out += " of vendor " + std::to_string(first.vendor);
  return out;
}

}  // namespace mintrock::edge
