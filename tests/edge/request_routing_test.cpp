// Tests which realms are served, which class a call gets, and the errors that answer other requests.
#include "edge/request_routing.hpp"

#include <gtest/gtest.h>

#include "diameter/dictionary.hpp"
#include "edge/results.hpp"

namespace mintrock::edge {
namespace {

TEST(RealmTable, TheOwnRealmIsServedAndOthersAsTheTableSays) {
  const RealmTable realms(
      "Own.test", {{"guest.test", RealmTable::Action::kLocal}, {"x.test", RealmTable::Action::kRefuse}},
      RealmTable::Action::kRefuse);
  EXPECT_FALSE(check_realm(realms, "own.TEST")) << "realms are case-insensitive";
  EXPECT_FALSE(check_realm(realms, "Guest.test"));
  for (const char* other : {"x.test", "other.test", "", "test"}) {
    const auto fault = check_realm(realms, other);
    ASSERT_TRUE(fault) << other;
    EXPECT_EQ(fault->result_code, diameter::kRealmNotServed);
  }
  EXPECT_FALSE(check_realm(RealmTable("a", {}, RealmTable::Action::kLocal), "any"));
  EXPECT_TRUE(
      check_realm(RealmTable("a", {{"a", RealmTable::Action::kRefuse}}, RealmTable::Action::kLocal), "a"))
      << "a gateway may serve only other realms";
}

CallRecord call(std::optional<std::uint32_t> service) {
  CallRecord record;
  record.service_identifier = service;
  return record;
}

TEST(Classes, AnUnknownOrMissingServiceIdentifierIsRefusedNamingTheAvp) {
  ClassTable classes;
  classes.by_service = {{7, 0}, {9, 1}};
  EXPECT_EQ(match_class(classes, call(9)).index, 1u);
  EXPECT_FALSE(match_class(classes, call(9)).assumed);
  const ClassMatch unknown = match_class(classes, call(8));
  ASSERT_TRUE(unknown.fault);
  EXPECT_EQ(unknown.fault->result_code, diameter::kInvalidAvpValue);
  EXPECT_EQ(describe_failed_avp(unknown.fault->failed_avp), "Service-Identifier (439)");
  const ClassMatch missing = match_class(classes, call(std::nullopt));
  ASSERT_TRUE(missing.fault);
  EXPECT_EQ(missing.fault->result_code, diameter::kMissingAvp);
  EXPECT_EQ(describe_failed_avp(missing.fault->failed_avp), "Service-Identifier (439)");
}

TEST(Classes, AnUnknownOrMissingServiceIdentifierGetsTheFallbackClass) {
  ClassTable classes;
  classes.by_service = {{7, 0}, {9, 1}};
  classes.fallback = 1;
  for (const auto service : {std::optional<std::uint32_t>(8), std::optional<std::uint32_t>()}) {
    const ClassMatch out = match_class(classes, call(service));
    EXPECT_FALSE(out.fault);
    EXPECT_TRUE(out.assumed);
    EXPECT_EQ(out.index, 1u);
  }
}

}  // namespace
}  // namespace mintrock::edge
