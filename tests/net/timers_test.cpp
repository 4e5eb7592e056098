#include "net/timers.hpp"

#include <gtest/gtest.h>

#include <vector>

namespace mintrock::net {
namespace {

TEST(Timers, FireInOrderAndOnce) {
  Timers timers;
  std::vector<int> fired;
  timers.schedule(2, [&] { fired.push_back(2); });
  timers.schedule(1, [&] { fired.push_back(1); });
  timers.schedule(1, [&] { fired.push_back(11); });
  EXPECT_EQ(timers.next_due(), 1);
  timers.run(0.5);
  EXPECT_TRUE(fired.empty());
  timers.run(5);
  timers.run(6);
  EXPECT_EQ(fired, (std::vector<int>{1, 11, 2}));
}

// Cancelled timers must not accumulate: a call that is answered at once leaves none behind.
TEST(Timers, CancelledTimerIsRemovedImmediately) {
  Timers timers;
  for (int i = 0; i < 1000; ++i) {
    const TimerId id = timers.schedule(1e6 + i, [] {});
    EXPECT_TRUE(timers.cancel(id));
    EXPECT_FALSE(timers.cancel(id));
  }
  EXPECT_EQ(timers.size(), 0u);
  EXPECT_FALSE(timers.cancel(0));
}

// A timer that reschedules itself for the current time must not block the loop.
TEST(Timers, RescheduledTimerWaitsForTheNextRun) {
  Timers timers;
  int fired = 0;
  std::function<void()> reschedule = [&] {
    fired += 1;
    timers.schedule(0, reschedule);
  };
  timers.schedule(0, reschedule);
  timers.run(1);
  EXPECT_EQ(fired, 1);
  timers.run(1);
  EXPECT_EQ(fired, 2);
}

TEST(Timers, TimerMayCancelAnotherThatIsDueInTheSameRun) {
  Timers timers;
  bool second = false;
  TimerId id = 0;
  timers.schedule(1, [&] { timers.cancel(id); });
  id = timers.schedule(1, [&] { second = true; });
  timers.run(2);
  EXPECT_FALSE(second);
}

}  // namespace
}  // namespace mintrock::net
