// Ends of calls: answered once the core side has confirmed them, and never sat on.
#include "edge/pending_terminations.hpp"

#include <gtest/gtest.h>

namespace mintrock::edge {
namespace {

TerminationRequest request(const std::string& name) { return {"dock", name, name + "-done"}; }

TEST(PendingTerminations, AnEndIsOverWithItsServersWord) {
  PendingTerminations e(10, 2);
  e.add("s", request("r"), 1, false, 0);
  const auto over = e.confirm("s", true);
  ASSERT_TRUE(over);
  EXPECT_TRUE(over->ended);
  EXPECT_EQ(over->request.success, "r-done");
  EXPECT_FALSE(e.confirm("s", true)) << "once only";
  EXPECT_TRUE(e.take_expired(100).empty());
}

TEST(PendingTerminations, OneThatIsAskedOfSeveralIsOverWithTheFirstThatHeldItOrTheLastThatDidNot) {
  PendingTerminations e(10, 2);
  e.add("a", request("a"), 3, false, 0);
  EXPECT_FALSE(e.confirm("a", false));
  EXPECT_TRUE(e.confirm("a", true)->ended);
  e.add("b", request("b"), 2, false, 0);
  EXPECT_FALSE(e.confirm("b", false));
  EXPECT_FALSE(e.confirm("b", false)->ended);
  e.add("own", request("own"), 1, true, 0);
  EXPECT_TRUE(e.confirm("own", false)->ended) << "this proxy's own call has ended, whatever is still known";
}

TEST(PendingTerminations, TheSameEndAgainIsAnsweredOnceToTheLaterRequest) {
  PendingTerminations e(10, 2);
  e.add("s", request("first"), 1, false, 0);
  TerminationRequest again = request("again");
  EXPECT_TRUE(e.replace_request("s", again));
  EXPECT_EQ(e.confirm("s", true)->request.request, "again");
  EXPECT_FALSE(e.replace_request("s", again));
}

// An end that is sat on would keep the caller from saying it through another proxy.
TEST(PendingTerminations, WithoutAWordInTimeTheCallerIsTold) {
  PendingTerminations e(10, 2);
  e.add("s", request("r"), 1, false, 0);
  e.add("t", request("t"), 1, false, 1);
  EXPECT_EQ(e.deadline(), 2);
  EXPECT_TRUE(e.take_expired(1.9).empty());
  ASSERT_EQ(e.take_expired(2).size(), 1u);
  EXPECT_FALSE(e.confirm("s", true)) << "told already";
  e.confirm("t", true);
  e.add("t", request("t2"), 1, false, 2.5);
  EXPECT_TRUE(e.take_expired(3.1).empty()) << "the older one's time is not the newer one's";
  EXPECT_EQ(e.take_expired(4.5).size(), 1u);
}

TEST(PendingTerminations, AreBounded) {
  PendingTerminations e(2, 2);
  e.add("a", request("a"), 1, false, 0);
  EXPECT_FALSE(e.full());
  e.add("b", request("b"), 1, false, 0);
  EXPECT_TRUE(e.full());
}

}  // namespace
}  // namespace mintrock::edge
