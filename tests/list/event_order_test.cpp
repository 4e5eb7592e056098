#include "list/event_order.hpp"

#include <gtest/gtest.h>

namespace mintrock::list {
namespace {

using Decision = EventOrder::Decision;

TEST(EventOrder, EventsAreTakenInTurnAndOnce) {
  EventOrder order(1);
  EXPECT_EQ(order.classify(2, false), Decision::kApply);
  EXPECT_EQ(order.classify(2, false), Decision::kSkip);
  EXPECT_EQ(order.classify(9, true), Decision::kApply) << "a whole list needs nothing before it";
  EXPECT_EQ(order.last(), 9u);
}

// Whether the one before is missing or unreadable: nothing behind it is taken, until it has been asked for in
// vain.
TEST(EventOrder, NothingBehindAMissingOneIsTakenUntilItWasAskedForThreeTimes) {
  for (const bool unreadable : {false, true}) {
    EventOrder order(1);
    for (int asked = 0; asked < 3; ++asked) {
      if (unreadable) {
        EXPECT_EQ(order.on_unreadable(), Decision::kResubscribe);
      }
      EXPECT_EQ(order.classify(3, false), unreadable ? Decision::kSkip : Decision::kResubscribe);
      EXPECT_EQ(order.classify(4, true), Decision::kSkip) << "of the old watch";
      EXPECT_EQ(order.last(), 1u);
      order.on_resubscribed();
    }
    if (unreadable) {
      EXPECT_EQ(order.on_unreadable(), Decision::kSkip);
    }
    EXPECT_EQ(order.classify(3, false), Decision::kApply);
    EXPECT_EQ(order.classify(5, false), Decision::kResubscribe) << "the next one is asked for anew";
  }
}

}  // namespace
}  // namespace mintrock::list
