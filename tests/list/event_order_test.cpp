#include "list/event_order.hpp"

#include <gtest/gtest.h>

namespace mintrock::list {
namespace {

using Decision = EventOrder::Decision;

TEST(EventOrder, AppliesEventsInOrderAndOnce) {
  EventOrder order(1);
  EXPECT_EQ(order.classify(2, false), Decision::kApply);
  EXPECT_EQ(order.classify(2, false), Decision::kSkip);
  EXPECT_EQ(order.classify(9, true), Decision::kApply) << "a full list needs no event before it";
  EXPECT_EQ(order.last(), 9u);
}

// A missing or unreadable event holds up all later ones until three attempts to get it have failed.
TEST(EventOrder, SkipsAMissingEventAfterThreeResubscriptions) {
  for (const bool unreadable : {false, true}) {
    EventOrder order(1);
    for (int attempt = 0; attempt < 3; ++attempt) {
      if (unreadable) {
        EXPECT_EQ(order.on_unreadable(), Decision::kResubscribe);
      }
      EXPECT_EQ(order.classify(3, false), unreadable ? Decision::kSkip : Decision::kResubscribe);
      EXPECT_EQ(order.classify(4, true), Decision::kSkip) << "from the old subscription";
      EXPECT_EQ(order.last(), 1u);
      order.on_resubscribed();
    }
    if (unreadable) {
      EXPECT_EQ(order.on_unreadable(), Decision::kSkip);
    }
    EXPECT_EQ(order.classify(3, false), Decision::kApply);
    EXPECT_EQ(order.classify(5, false), Decision::kResubscribe)
        << "the next missing event is requested again";
  }
}

}  // namespace
}  // namespace mintrock::list
