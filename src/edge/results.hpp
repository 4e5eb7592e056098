// The meaning of a core server's Result-Code for the call: RFC 6733 section 7.1, RFC 8506 section 9.
//
// Pure: does no I/O and reads no clock. docs/diameter.md lists the same table; the Controller decides what
// follows from a meaning.
#ifndef MINTROCK_SRC_EDGE_RESULTS_HPP_
#define MINTROCK_SRC_EDGE_RESULTS_HPP_

#include <cstdint>
#include <string>
#include <string_view>

#include "mintrock/controller.hpp"

namespace mintrock::edge {

// The groups of section 7.1, by the thousands digit of a code. Codes under 1000 or over 5999 are kUnknown;
// the section requires that they are treated as permanent failures.
enum class ResultGroup { kInformational, kSuccess, kProtocolError, kTransient, kPermanent, kUnknown };
ResultGroup group_of(std::uint32_t result);

struct ResultMeaning {
  bool established = false;
  Outcome outcome = Outcome::kError;
  Cause cause = Cause::kNone;
  // Whether a repeated set-up would get the same answer: from this server (kUnfit) or from any (kRejected).
  bool permanent() const { return cause == Cause::kUnfit || cause == Cause::kRejected; }
};
ResultMeaning meaning_of(std::uint32_t result);

// The name of a code, such as "DIAMETER_AVP_UNSUPPORTED"; empty for unknown codes.
std::string_view name_of_result(std::uint32_t result);

// Describes the AVP inside a Failed-AVP's data for the log: "Called-Station-Id (30)", "AVP 999 of vendor 1".
// Empty for empty or malformed data.
std::string describe_failed_avp(std::string_view data);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_RESULTS_HPP_
