#include "lab/processor.hpp"

#include <gtest/gtest.h>

namespace mintrock::lab {
namespace {

TEST(Processor, HandlesJobsInOrderAndPriorityJobsFirst) {
  Processor p(WarmUp{});
  p.push(0, 1, 1.0, false);
  p.push(0, 2, 1.0, false);
  p.push(0, 3, 0.5, true);
  EXPECT_EQ(p.completion_time(), 1.0);
  EXPECT_DOUBLE_EQ(p.estimated_wait(0), 2.5);
  EXPECT_EQ(p.complete(1.0), 1u);
  EXPECT_EQ(p.completion_time(), 1.5) << "the priority job goes first";
  EXPECT_EQ(p.complete(1.5), 3u);
  EXPECT_TRUE(p.cancel(99) == false);
  EXPECT_EQ(p.complete(2.5), 2u);
  EXPECT_GT(p.completion_time(), 1e9);
}

TEST(Processor, APauseDelaysTheCurrentJob) {
  Processor p(WarmUp{});
  p.push(0, 1, 1.0, false);
  p.push(0, 2, 1.0, false);
  p.pause(0.5, 2);
  EXPECT_EQ(p.completion_time(), 3.0);
  EXPECT_TRUE(p.cancel(2));
  EXPECT_EQ(p.complete(3), 1u);
  EXPECT_GT(p.completion_time(), 1e9);
}

TEST(WarmUp, GrowsLinearlyAndIntegrates) {
  const WarmUp w{0.25, 10, 100};
  EXPECT_DOUBLE_EQ(w.capacity_share(100), 0.25);
  EXPECT_DOUBLE_EQ(w.capacity_share(105), 0.625);
  EXPECT_DOUBLE_EQ(w.capacity_share(111), 1);
  EXPECT_DOUBLE_EQ(w.capacity_integral(100, 110), 6.25);
  EXPECT_DOUBLE_EQ(w.capacity_integral(108, 112), (0.85 + 1) / 2 * 2 + 2);
  EXPECT_DOUBLE_EQ(w.capacity_integral(120, 122), 2);
}

TEST(ColdBudget, CountsWithinItsWindowAndEndsOnceWarm) {
  // The limit is 2 x 10 x about 0.525 (the mean share in the first second): 10.5
  ColdBudget b(WarmUp{0.5, 10, 0}, 10, 2, 1);
  double load = 0;
  for (int i = 0; i < 10; ++i) load = b.record_arrival(0.1);
  EXPECT_LT(load, 1);
  EXPECT_GT(b.record_arrival(0.2), 1);
  EXPECT_LT(b.record_arrival(1.5), 0.2) << "the window has moved on";
  EXPECT_EQ(b.record_arrival(10), 0);
}

}  // namespace
}  // namespace mintrock::lab
