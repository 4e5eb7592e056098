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
class Realms {
 public:
  enum class Action { kLocal, kRefuse };
  // `own`: this node's realm, local unless the table says otherwise. What is not in the table is `others`.
  Realms(const std::string& own, const std::map<std::string, Action>& table, Action others);
  Action action_of(std::string_view realm) const;
  static std::string folded(std::string_view realm);

 private:
  std::map<std::string, Action> table_;
  Action others_;
};

// The classes by Service-Identifier, and what becomes of a call that names none of them.
struct ClassTable {
  std::map<std::uint32_t, std::uint32_t> by_service;  // place among the classes
  std::optional<std::uint32_t> unknown;               // unknown or missing: taken as this one; none: refused
};

// Nothing if the request is served here; else the answer: 3003 for a realm that is not served.
std::optional<diameter::Fault> check_realm(const Realms& realms, std::string_view realm);

struct ClassOf {
  std::uint32_t place = 0;
  bool assumed = false;                  // it named none, or an unknown one
  std::optional<diameter::Fault> fault;  // 5004 (unknown) or 5005 (missing), with Failed-AVP
};
ClassOf class_of(const ClassTable& classes, const CallRecord& call);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_REQUEST_ROUTING_HPP_
