#include "edge/request_routing.hpp"

#include <algorithm>

#include "diameter/dictionary.hpp"

namespace mintrock::edge {
namespace {

// Encodes a Service-Identifier for Failed-AVP: as received or, if it was missing, with a minimal value (RFC
// 6733 section 7.5).
std::string encode_service_identifier(std::uint32_t value) {
  diameter::Builder builder(diameter::Header{});
  builder.u32(diameter::avp::kServiceIdentifier, value);
  return builder.finish().substr(diameter::kHeaderSize);
}

}  // namespace

std::string RealmTable::case_folded(std::string_view realm) {
  std::string out(realm);
  std::transform(out.begin(), out.end(), out.begin(),
                 [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
  return out;
}

RealmTable::RealmTable(const std::string& own_realm, const std::map<std::string, Action>& table,
                       Action default_action)
    : default_action_(default_action) {
  table_[case_folded(own_realm)] = Action::kLocal;
  for (const auto& [realm, action] : table) table_[case_folded(realm)] = action;
}

RealmTable::Action RealmTable::action_of(std::string_view realm) const {
  const auto found = table_.find(case_folded(realm));
  return found != table_.end() ? found->second : default_action_;
}

std::optional<diameter::Fault> check_realm(const RealmTable& realms, std::string_view realm) {
  if (realms.action_of(realm) == RealmTable::Action::kLocal) return std::nullopt;
  return diameter::Fault{diameter::kRealmNotServed, "",
                         "realm " + std::string(realm) + " is not served here"};
}

ClassMatch match_class(const ClassTable& classes, const CallRecord& call) {
  ClassMatch out;
  if (call.service_identifier) {
    const auto found = classes.by_service.find(*call.service_identifier);
    if (found != classes.by_service.end()) {
      out.index = found->second;
      return out;
    }
  }
  out.assumed = true;
  if (classes.fallback) {
    out.index = *classes.fallback;
  } else if (call.service_identifier) {
    out.fault = diameter::Fault{
        diameter::kInvalidAvpValue, encode_service_identifier(*call.service_identifier),
        "Service-Identifier " + std::to_string(*call.service_identifier) + " names no class of calls here"};
  } else {
    out.fault = diameter::Fault{diameter::kMissingAvp, encode_service_identifier(0),
                                "Service-Identifier: missing, and calls without a class are refused"};
  }
  return out;
}

}  // namespace mintrock::edge
