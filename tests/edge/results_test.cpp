// What result codes mean for a call, and what is told of servers that answer errors.
#include "edge/results.hpp"

#include <gtest/gtest.h>

#include "diameter/dictionary.hpp"
#include "edge/answer_monitor.hpp"

namespace mintrock::edge {
namespace {

TEST(Results, AreGroupedByTheirThousands) {
  EXPECT_EQ(group_of(1001), ResultGroup::kInformational);
  EXPECT_EQ(group_of(2002), ResultGroup::kSuccess);
  EXPECT_EQ(group_of(3004), ResultGroup::kProtocolError);
  EXPECT_EQ(group_of(4010), ResultGroup::kTransient);
  EXPECT_EQ(group_of(5001), ResultGroup::kPermanent);
  EXPECT_EQ(group_of(0), ResultGroup::kUnknown);
  EXPECT_EQ(group_of(9999), ResultGroup::kUnknown);
}

// A server's own inability may be another's ability; what is the call's own is the same everywhere.
TEST(Results, TellTheServersFaultFromTheCalls) {
  for (const std::uint32_t result : {2001u, 2002u}) EXPECT_TRUE(meaning_of(result).stands);
  for (const std::uint32_t result : {3001u, 3003u, 3007u, 5001u, 5004u, 5012u, 5999u, 0u, 9999u}) {
    EXPECT_EQ(meaning_of(result).cause, Cause::kUnfit) << result;
    EXPECT_TRUE(meaning_of(result).for_good()) << result;
  }
  for (const std::uint32_t result : {4001u, 4012u, 5003u, 5030u, 5031u}) {
    EXPECT_EQ(meaning_of(result).cause, Cause::kRejected) << result;
  }
  EXPECT_EQ(meaning_of(3004).cause, Cause::kProcessorFull);
  EXPECT_EQ(meaning_of(5006).cause, Cause::kNoLine);
  EXPECT_EQ(meaning_of(3002).cause, Cause::kTurnedBack);
  EXPECT_EQ(meaning_of(4010).cause, Cause::kNumberBusy);
  for (const std::uint32_t result : {3004u, 5006u, 3002u, 4002u, 4999u})
    EXPECT_FALSE(meaning_of(result).for_good());
}

std::string failed_avp(const diameter::AvpDef& def) {
  diameter::Builder builder(diameter::Header{});
  builder.text(def, "x");
  return builder.finish().substr(diameter::kHeaderSize);
}

TEST(Results, AFailedAvpIsNamed) {
  EXPECT_EQ(describe_failed_avp(failed_avp(diameter::avp::kCalledStationId)), "Called-Station-Id (30)");
  const diameter::AvpDef foreign{999, 10415, diameter::AvpType::kText, true, ""};
  EXPECT_EQ(describe_failed_avp(failed_avp(foreign)), "AVP 999 of vendor 10415");
  EXPECT_EQ(describe_failed_avp(""), "");
  EXPECT_EQ(describe_failed_avp("\1\2\3"), "");
}

TEST(AnswerMonitor, WarnsOfErrorsOnceInAWhileWithTheirNumber) {
  AnswerMonitor watch;
  const std::string avp = failed_avp(diameter::avp::kCalledStationId);
  EXPECT_FALSE(watch.record_answer(0, 2001, ""));
  const auto first = watch.record_answer(1, 5001, avp);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->result, 5001u);
  EXPECT_EQ(first->failed_avp, "Called-Station-Id (30)");
  for (int i = 0; i < 100; ++i) EXPECT_FALSE(watch.record_answer(2 + 0.01 * i, 5001, avp));
  const auto later = watch.record_answer(11.5, 5012, "");
  ASSERT_TRUE(later);
  EXPECT_EQ(later->errors, 101u) << "those that no line named, and this one";
  EXPECT_EQ(watch.counts_by_result().at(5001), 101u);
}

TEST(AnswerMonitor, NothingButErrorsIsToldFromAnErrorNowAndThen) {
  AnswerMonitor watch;
  for (int i = 0; i < 4; ++i) watch.record_answer(i, 5001, "");
  EXPECT_FALSE(watch.errors_only());
  watch.record_answer(4, 2001, "");
  for (int i = 0; i < 4; ++i) watch.record_answer(5 + i, 5001, "");
  EXPECT_FALSE(watch.errors_only());
  watch.record_answer(9, 5001, "");
  EXPECT_TRUE(watch.errors_only());
  watch.record_answer(10, 3004, "");
  EXPECT_FALSE(watch.errors_only()) << "it is busy, not broken";
}

// A caller's unknown user is its own affair, a busy number too; a server that knows no user at all is not.
TEST(AnswerMonitor, ACallsOwnFaultIsNoWarningUnlessNothingElseComes) {
  AnswerMonitor watch;
  EXPECT_FALSE(watch.record_answer(0, 5030, ""));
  EXPECT_FALSE(watch.record_answer(1, 4010, ""));
  for (int i = 0; i < 4; ++i) EXPECT_FALSE(watch.record_answer(2 + i, 5030, ""));
  EXPECT_TRUE(watch.record_answer(7, 5030, ""));
}

TEST(AnswerMonitor, CodesAreBounded) {
  AnswerMonitor watch;
  for (std::uint32_t i = 0; i < 1000; ++i) watch.record_answer(0, 10000 + i, "");
  EXPECT_LE(watch.counts_by_result().size(), AnswerMonitor::kMaxCodes + 1);
  EXPECT_EQ(watch.counts_by_result().at(0), 1000 - AnswerMonitor::kMaxCodes);
}

}  // namespace
}  // namespace mintrock::edge
