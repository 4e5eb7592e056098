// Ends of calls: answered once the core side has confirmed them, and never sat on.
#include "edge/endings.hpp"

#include <gtest/gtest.h>

namespace mintrock::edge {
namespace {

EndRequest request(const std::string& name) { return {"dock", name, name + "-done"}; }

TEST(Endings, AnEndIsOverWithItsServersWord) {
  Endings e(10, 2);
  e.begin("s", request("r"), 1, false, 0);
  const auto over = e.confirmed("s", true);
  ASSERT_TRUE(over);
  EXPECT_TRUE(over->ended);
  EXPECT_EQ(over->request.success, "r-done");
  EXPECT_FALSE(e.confirmed("s", true)) << "once only";
  EXPECT_TRUE(e.overdue(100).empty());
}

TEST(Endings, OneThatIsAskedOfSeveralIsOverWithTheFirstThatHeldItOrTheLastThatDidNot) {
  Endings e(10, 2);
  e.begin("a", request("a"), 3, false, 0);
  EXPECT_FALSE(e.confirmed("a", false));
  EXPECT_TRUE(e.confirmed("a", true)->ended);
  e.begin("b", request("b"), 2, false, 0);
  EXPECT_FALSE(e.confirmed("b", false));
  EXPECT_FALSE(e.confirmed("b", false)->ended);
  e.begin("own", request("own"), 1, true, 0);
  EXPECT_TRUE(e.confirmed("own", false)->ended) << "this proxy's own call has ended, whatever is still known";
}

TEST(Endings, TheSameEndAgainIsAnsweredOnceToTheLaterRequest) {
  Endings e(10, 2);
  e.begin("s", request("first"), 1, false, 0);
  EndRequest again = request("again");
  EXPECT_TRUE(e.repeated("s", again));
  EXPECT_EQ(e.confirmed("s", true)->request.request, "again");
  EXPECT_FALSE(e.repeated("s", again));
}

// An end that is sat on would keep the caller from saying it through another proxy.
TEST(Endings, WithoutAWordInTimeTheCallerIsTold) {
  Endings e(10, 2);
  e.begin("s", request("r"), 1, false, 0);
  e.begin("t", request("t"), 1, false, 1);
  EXPECT_EQ(e.deadline(), 2);
  EXPECT_TRUE(e.overdue(1.9).empty());
  ASSERT_EQ(e.overdue(2).size(), 1u);
  EXPECT_FALSE(e.confirmed("s", true)) << "told already";
  e.confirmed("t", true);
  e.begin("t", request("t2"), 1, false, 2.5);
  EXPECT_TRUE(e.overdue(3.1).empty()) << "the older one's time is not the newer one's";
  EXPECT_EQ(e.overdue(4.5).size(), 1u);
}

TEST(Endings, AreBounded) {
  Endings e(2, 2);
  e.begin("a", request("a"), 1, false, 0);
  EXPECT_FALSE(e.full());
  e.begin("b", request("b"), 1, false, 0);
  EXPECT_TRUE(e.full());
}

}  // namespace
}  // namespace mintrock::edge
