// Tests the meaning of result codes, and the warnings about servers that answer with errors.
#include "edge/results.hpp"

#include <gtest/gtest.h>

#include "diameter/dictionary.hpp"
#include "edge/answer_monitor.hpp"

namespace mintrock::edge {
namespace {

TEST(Results, CodesAreGroupedByThousands) {
  EXPECT_EQ(group_of(1001), ResultGroup::kInformational);
  EXPECT_EQ(group_of(2002), ResultGroup::kSuccess);
  EXPECT_EQ(group_of(3004), ResultGroup::kProtocolError);
  EXPECT_EQ(group_of(4010), ResultGroup::kTransient);
  EXPECT_EQ(group_of(5001), ResultGroup::kPermanent);
  EXPECT_EQ(group_of(0), ResultGroup::kUnknown);
  EXPECT_EQ(group_of(9999), ResultGroup::kUnknown);
}

// kUnfit is a fault of the server, which another server may not have; kRejected is a fault of the call, which
// every server would reject.
TEST(Results, DistinguishServerFaultsFromCallFaults) {
  for (const std::uint32_t result : {2001u, 2002u}) EXPECT_TRUE(meaning_of(result).established);
  for (const std::uint32_t result : {3001u, 3003u, 3007u, 5001u, 5004u, 5012u, 5999u, 0u, 9999u}) {
    EXPECT_EQ(meaning_of(result).cause, Cause::kUnfit) << result;
    EXPECT_TRUE(meaning_of(result).permanent()) << result;
  }
  for (const std::uint32_t result : {4001u, 4012u, 5003u, 5030u, 5031u}) {
    EXPECT_EQ(meaning_of(result).cause, Cause::kRejected) << result;
  }
  EXPECT_EQ(meaning_of(3004).cause, Cause::kProcessorFull);
  EXPECT_EQ(meaning_of(5006).cause, Cause::kNoLine);
  EXPECT_EQ(meaning_of(3002).cause, Cause::kTurnedBack);
  EXPECT_EQ(meaning_of(4010).cause, Cause::kNumberBusy);
  for (const std::uint32_t result : {3004u, 5006u, 3002u, 4002u, 4999u})
    EXPECT_FALSE(meaning_of(result).permanent());
}

std::string failed_avp(const diameter::AvpDef& def) {
  diameter::Builder builder(diameter::Header{});
  builder.text(def, "x");
  return builder.finish().substr(diameter::kHeaderSize);
}

TEST(Results, DescribesTheFailedAvp) {
  EXPECT_EQ(describe_failed_avp(failed_avp(diameter::avp::kCalledStationId)), "Called-Station-Id (30)");
  const diameter::AvpDef foreign{999, 10415, diameter::AvpType::kText, true, ""};
  EXPECT_EQ(describe_failed_avp(failed_avp(foreign)), "AVP 999 of vendor 10415");
  EXPECT_EQ(describe_failed_avp(""), "");
  EXPECT_EQ(describe_failed_avp("\1\2\3"), "");
}

TEST(AnswerMonitor, RateLimitsWarningsAndCountsErrors) {
  AnswerMonitor monitor;
  const std::string avp = failed_avp(diameter::avp::kCalledStationId);
  EXPECT_FALSE(monitor.record_answer(0, 2001, ""));
  const auto first = monitor.record_answer(1, 5001, avp);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->result, 5001u);
  EXPECT_EQ(first->failed_avp, "Called-Station-Id (30)");
  for (int i = 0; i < 100; ++i) EXPECT_FALSE(monitor.record_answer(2 + 0.01 * i, 5001, avp));
  const auto later = monitor.record_answer(11.5, 5012, "");
  ASSERT_TRUE(later);
  EXPECT_EQ(later->errors, 101u) << "the errors since the last warning, and this one";
  EXPECT_EQ(monitor.counts_by_result().at(5001), 101u);
}

TEST(AnswerMonitor, DistinguishesOnlyErrorsFromOccasionalOnes) {
  AnswerMonitor monitor;
  for (int i = 0; i < 4; ++i) monitor.record_answer(i, 5001, "");
  EXPECT_FALSE(monitor.errors_only());
  monitor.record_answer(4, 2001, "");
  for (int i = 0; i < 4; ++i) monitor.record_answer(5 + i, 5001, "");
  EXPECT_FALSE(monitor.errors_only());
  monitor.record_answer(9, 5001, "");
  EXPECT_TRUE(monitor.errors_only());
  monitor.record_answer(10, 3004, "");
  EXPECT_FALSE(monitor.errors_only()) << "an overloaded server is not faulty";
}

// An unknown user or a busy number is the caller's own fault and raises no warning; a server that answers
// nothing else does.
TEST(AnswerMonitor, CallFaultsRaiseAWarningOnlyIfNothingElseIsAnswered) {
  AnswerMonitor monitor;
  EXPECT_FALSE(monitor.record_answer(0, 5030, ""));
  EXPECT_FALSE(monitor.record_answer(1, 4010, ""));
  for (int i = 0; i < 4; ++i) EXPECT_FALSE(monitor.record_answer(2 + i, 5030, ""));
  EXPECT_TRUE(monitor.record_answer(7, 5030, ""));
}

TEST(AnswerMonitor, BoundsTheNumberOfCodes) {
  AnswerMonitor monitor;
  for (std::uint32_t i = 0; i < 1000; ++i) monitor.record_answer(0, 10000 + i, "");
  EXPECT_LE(monitor.counts_by_result().size(), AnswerMonitor::kMaxCodes + 1);
  EXPECT_EQ(monitor.counts_by_result().at(0), 1000 - AnswerMonitor::kMaxCodes);
}

}  // namespace
}  // namespace mintrock::edge
