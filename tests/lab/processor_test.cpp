#include "lab/processor.hpp"

#include <gtest/gtest.h>

namespace mintrock::lab {
namespace {

TEST(Processor, WorksInTurnAndReleasesGoAhead) {
  Processor p(Warmth{});
  p.push(0, 1, 1.0, false);
  p.push(0, 2, 1.0, false);
  p.push(0, 3, 0.5, true);
  EXPECT_EQ(p.due(), 1.0);
  EXPECT_DOUBLE_EQ(p.wait(0), 2.5);
  EXPECT_EQ(p.finish(1.0), 1u);
  EXPECT_EQ(p.due(), 1.5) << "the release goes ahead";
  EXPECT_EQ(p.finish(1.5), 3u);
  EXPECT_TRUE(p.drop(99) == false);
  EXPECT_EQ(p.finish(2.5), 2u);
  EXPECT_GT(p.due(), 1e9);
}

TEST(Processor, APauseHoldsTheWorkInHand) {
  Processor p(Warmth{});
  p.push(0, 1, 1.0, false);
  p.push(0, 2, 1.0, false);
  p.pause(0.5, 2);
  EXPECT_EQ(p.due(), 3.0);
  EXPECT_TRUE(p.drop(2));
  EXPECT_EQ(p.finish(3), 1u);
  EXPECT_GT(p.due(), 1e9);
}

TEST(Warmth, GrowsFromItsStartAndSumsUp) {
  const Warmth w{0.25, 10, 100};
  EXPECT_DOUBLE_EQ(w.share(100), 0.25);
  EXPECT_DOUBLE_EQ(w.share(105), 0.625);
  EXPECT_DOUBLE_EQ(w.share(111), 1);
  EXPECT_DOUBLE_EQ(w.sum(100, 110), 6.25);
  EXPECT_DOUBLE_EQ(w.sum(108, 112), (0.85 + 1) / 2 * 2 + 2);
  EXPECT_DOUBLE_EQ(w.sum(120, 122), 2);
}

TEST(ColdBudget, CountsWithinItsSpanAndEndsOnceWarm) {
  ColdBudget b(Warmth{0.5, 10, 0}, 10, 2, 1);  // 2 x 10 x about 0.525 in the first second: 10.5
  double load = 0;
  for (int i = 0; i < 10; ++i) load = b.arrived(0.1);
  EXPECT_LT(load, 1);
  EXPECT_GT(b.arrived(0.2), 1);
  EXPECT_LT(b.arrived(1.5), 0.2) << "the span has moved on";
  EXPECT_EQ(b.arrived(10), 0);
}

}  // namespace
}  // namespace mintrock::lab
