// Whether a request is this node's to serve, and as what: realms (RFC 6733 sections 2.7 and 6.1), hosts,
// classes of calls.
//
// Pure: a record and the told tables in, a place among the classes or an error answer out.
#ifndef MINTROCK_SRC_EDGE_REQUEST_ROUTING_HPP_
#define MINTROCK_SRC_EDGE_REQUEST_ROUTING_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "diameter/codec.hpp"
#include "edge/credit_control.hpp"

namespace mintrock::edge {

// The realm routing table. Names are compared without case, as host names are.
class RealmTable {
 public:
  enum class Action { kLocal, kRefuse };
  // `own`: this node's realm, local unless the table says otherwise. What is not in the table is `others`.
  RealmTable(const std::string& own, const std::map<std::string, Action>& table, Action default_action);
  Action action_of(std::string_view realm) const;
  static std::string case_folded(std::string_view realm);

 private:
  std::map<std::string, Action> table_;
  Action default_action_;
};

// The classes by Service-Identifier, and what becomes of a call that names none of them.
struct ClassTable {
  std::map<std::uint32_t, std::uint32_t> by_service;  // place among the classes
  std::optional<std::uint32_t> fallback;              // unknown or missing: taken as this one; none: refused
};

// Nothing if the request is served here; else the answer: 3003 for a realm that is not served.
std::optional<diameter::Fault> check_realm(const RealmTable& realms, std::string_view realm);

struct ClassMatch {
  std::uint32_t index = 0;
  bool assumed = false;                  // it named none, or an unknown one
  std::optional<diameter::Fault> fault;  // 5004 (unknown) or 5005 (missing), with Failed-AVP
};
ClassMatch match_class(const ClassTable& classes, const CallRecord& call);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_REQUEST_ROUTING_HPP_
