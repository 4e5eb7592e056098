// What a core server's Result-Code means for the call: RFC 6733 section 7.1, RFC 8506 section 9.
//
// Pure. The table is docs/diameter.md's; what follows from a meaning is the Controller's matter.
#ifndef MINTROCK_SRC_EDGE_RESULTS_HPP_
#define MINTROCK_SRC_EDGE_RESULTS_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "mintrock/controller.hpp"

namespace mintrock::edge {

// The groups of section 7.1, by the thousands of a code. Codes under 1000 or over 5999 are kUnknown, which
// the section has treated as permanent failures.
enum class ResultGroup { kInformational, kSuccess, kProtocolError, kTransient, kPermanent, kUnknown };
ResultGroup group_of(std::uint32_t result);

struct ResultMeaning {
  bool established = false;
  Outcome outcome = Outcome::kError;
  Cause cause = Cause::kNone;
  // The same set-up would be answered so again: kUnfit (by this server), kRejected (by any).
  bool permanent() const { return cause == Cause::kUnfit || cause == Cause::kRejected; }
};
ResultMeaning meaning_of(std::uint32_t result);

// "DIAMETER_AVP_UNSUPPORTED"; empty for codes that this program does not know.
std::string_view name_of_result(std::uint32_t result);

// What a Failed-AVP's data names, for a line of the log: "Called-Station-Id (30)", "AVP 999 of vendor 1".
// Empty for an empty or broken one.
std::string describe_failed_avp(std::string_view data);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_RESULTS_HPP_
