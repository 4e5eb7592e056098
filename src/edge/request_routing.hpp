// Decides whether this node serves a request, by its realm (RFC 6733 sections 2.7 and 6.1), and which class a
// call belongs to.
//
// Does no I/O and reads no clock: takes a record and the configured tables, and returns the index of a class
// or an error.
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

// The realm routing table. Realms are compared case-insensitively, as host names are.
class RealmTable {
 public:
  enum class Action { kLocal, kRefuse };
  // `own_realm`: this node's realm, local unless the table says otherwise. Realms that are not in the table
  // get `default_action`.
  RealmTable(const std::string& own_realm, const std::map<std::string, Action>& table, Action default_action);
  Action action_of(std::string_view realm) const;
  static std::string case_folded(std::string_view realm);

 private:
  std::map<std::string, Action> table_;
  Action default_action_;
};

// Maps Service-Identifiers to classes, with an optional class for calls that name none of them.
struct ClassTable {
  std::map<std::uint32_t, std::uint32_t> by_service;  // index of the class
  std::optional<std::uint32_t> fallback;  // class of calls with an unknown or no identifier; none: refused
};

// Returns nothing if the realm is served, else the error to answer with (3003).
std::optional<diameter::Fault> check_realm(const RealmTable& realms, std::string_view realm);

struct ClassMatch {
  std::uint32_t index = 0;
  bool assumed = false;                  // no known identifier: `index` is the fallback, or `fault` is set
  std::optional<diameter::Fault> fault;  // 5004 (unknown) or 5005 (missing), with Failed-AVP
};
ClassMatch match_class(const ClassTable& classes, const CallRecord& call);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_REQUEST_ROUTING_HPP_
