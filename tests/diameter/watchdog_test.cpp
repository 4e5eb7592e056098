// Tests of each state transition of RFC 3539 section 3.4.1, at simulated times.
#include "diameter/watchdog.hpp"

#include <gtest/gtest.h>

namespace mintrock::diameter {
namespace {

using State = Watchdog::State;

Watchdog make_open_watchdog(double now = 0) {
  Watchdog watchdog(30, 1);
  watchdog.start(now);
  watchdog.on_connection_up(now);
  return watchdog;
}

TEST(Watchdog, InitialAttemptsToOpenAndBecomesOkayWhenConnected) {
  Watchdog watchdog(30, 1);
  watchdog.start(0);
  EXPECT_EQ(watchdog.state(), State::kInitial);
  EXPECT_TRUE(watchdog.on_timer(30).attempt_open);
  EXPECT_TRUE(watchdog.on_connection_up(31).failback);
  EXPECT_EQ(watchdog.state(), State::kOkay);
}

TEST(Watchdog, TimerJitterIsUpToTwoSecondsEitherWay) {
  double min_interval = 1e9;
  double max_interval = 0;
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    Watchdog watchdog(6, seed);
    watchdog.start(100);
    min_interval = std::min(min_interval, watchdog.deadline() - 100);
    max_interval = std::max(max_interval, watchdog.deadline() - 100);
  }
  EXPECT_GE(min_interval, 4.0);
  EXPECT_LE(max_interval, 8.0);
  EXPECT_GT(max_interval - min_interval, 3.5);
}

TEST(Watchdog, BecomesSuspectThenDownWithoutAnswers) {
  Watchdog watchdog = make_open_watchdog();
  EXPECT_TRUE(watchdog.on_timer(30).send_watchdog);
  EXPECT_EQ(watchdog.state(), State::kOkay);
  EXPECT_TRUE(watchdog.on_timer(60).failover);
  EXPECT_EQ(watchdog.state(), State::kSuspect);
  EXPECT_TRUE(watchdog.on_timer(90).close_connection);
  EXPECT_EQ(watchdog.state(), State::kDown);
  EXPECT_TRUE(watchdog.on_timer(120).attempt_open);
}

TEST(Watchdog, OtherMessagesResetTheTimerButNotPending) {
  Watchdog watchdog = make_open_watchdog();
  watchdog.on_timer(30);
  watchdog.on_non_dwa(40);
  EXPECT_GT(watchdog.deadline(), 67.9);
  EXPECT_TRUE(watchdog.answer_pending()) << "only a DWA clears Pending";
  watchdog.on_dwa(41);
  EXPECT_FALSE(watchdog.answer_pending());
}

TEST(Watchdog, SuspectFailsBackOnAnyMessage) {
  for (const bool answer : {true, false}) {
    Watchdog watchdog = make_open_watchdog();
    watchdog.on_timer(30);
    watchdog.on_timer(60);
    EXPECT_TRUE((answer ? watchdog.on_dwa(61) : watchdog.on_non_dwa(61)).failback);
    EXPECT_EQ(watchdog.state(), State::kOkay);
  }
}

TEST(Watchdog, ReopenRequiresThreeAnswersAndDiscardsMessages) {
  Watchdog watchdog = make_open_watchdog();
  EXPECT_TRUE(watchdog.on_connection_down(10).failover);
  EXPECT_EQ(watchdog.state(), State::kDown);
  EXPECT_TRUE(watchdog.on_connection_up(20).send_watchdog);
  EXPECT_EQ(watchdog.state(), State::kReopen);
  EXPECT_TRUE(watchdog.on_non_dwa(21).discard_message);
  watchdog.on_dwa(22);
  EXPECT_TRUE(watchdog.on_timer(50).send_watchdog);
  watchdog.on_dwa(51);
  EXPECT_EQ(watchdog.state(), State::kReopen);
  EXPECT_TRUE(watchdog.on_timer(80).send_watchdog);
  EXPECT_TRUE(watchdog.on_dwa(81).failback);
  EXPECT_EQ(watchdog.state(), State::kOkay);
}

TEST(Watchdog, ReopenToleratesOneMissedAnswerThenCloses) {
  Watchdog watchdog = make_open_watchdog();
  watchdog.on_connection_down(10);
  watchdog.on_connection_up(20);
  Watchdog::Actions first_missed = watchdog.on_timer(50);
  EXPECT_FALSE(first_missed.close_connection);
  EXPECT_EQ(watchdog.state(), State::kReopen);
  EXPECT_TRUE(watchdog.on_timer(80).close_connection);
  EXPECT_EQ(watchdog.state(), State::kDown);
}

}  // namespace
}  // namespace mintrock::diameter
