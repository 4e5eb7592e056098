#include "list/event_order.hpp"

#include <gtest/gtest.h>

namespace mintrock::list {
namespace {

using Verdict = EventOrder::Verdict;

TEST(EventOrder, EventsAreTakenInTurnAndOnce) {
  EventOrder order(1);
  EXPECT_EQ(order.judge(2, false), Verdict::kTake);
  EXPECT_EQ(order.judge(2, false), Verdict::kSkip);
  EXPECT_EQ(order.judge(9, true), Verdict::kTake) << "a whole list needs nothing before it";
  EXPECT_EQ(order.last(), 9u);
}

// Whether the one before is missing or unreadable: nothing behind it is taken, until it has been asked for in
// vain.
TEST(EventOrder, NothingBehindAMissingOneIsTakenUntilItWasAskedForThreeTimes) {
  for (const bool unreadable : {false, true}) {
    EventOrder order(1);
    for (int asked = 0; asked < 3; ++asked) {
      if (unreadable) {
        EXPECT_EQ(order.unreadable(), Verdict::kAskAgain);
      }
      EXPECT_EQ(order.judge(3, false), unreadable ? Verdict::kSkip : Verdict::kAskAgain);
      EXPECT_EQ(order.judge(4, true), Verdict::kSkip) << "of the old watch";
      EXPECT_EQ(order.last(), 1u);
      order.begun_again();
    }
    if (unreadable) {
      EXPECT_EQ(order.unreadable(), Verdict::kSkip);
    }
    EXPECT_EQ(order.judge(3, false), Verdict::kTake);
    EXPECT_EQ(order.judge(5, false), Verdict::kAskAgain) << "the next one is asked for anew";
  }
}

}  // namespace
}  // namespace mintrock::list
