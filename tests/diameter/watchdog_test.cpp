// The transitions of RFC 3539 section 3.4.1, one by one, at virtual times.
#include "diameter/watchdog.hpp"

#include <gtest/gtest.h>

namespace mintrock::diameter {
namespace {

using State = Watchdog::State;

Watchdog up(double now = 0) {
  Watchdog dog(30, 1);
  dog.start(now);
  dog.on_connection_up(now);
  return dog;
}

TEST(Watchdog, InitialAttemptsToOpenAndIsOkayOnceUp) {
  Watchdog dog(30, 1);
  dog.start(0);
  EXPECT_EQ(dog.state(), State::kInitial);
  EXPECT_TRUE(dog.on_timer(30).attempt_open);
  EXPECT_TRUE(dog.on_connection_up(31).failback);
  EXPECT_EQ(dog.state(), State::kOkay);
}

TEST(Watchdog, JitterIsTwoSecondsEitherWay) {
  double least = 1e9;
  double most = 0;
  for (std::uint64_t seed = 0; seed < 500; ++seed) {
    Watchdog dog(6, seed);
    dog.start(100);
    least = std::min(least, dog.deadline() - 100);
    most = std::max(most, dog.deadline() - 100);
  }
  EXPECT_GE(least, 4.0);
  EXPECT_LE(most, 8.0);
  EXPECT_GT(most - least, 3.5);
}

TEST(Watchdog, SilenceGoesFromOkayToSuspectToDown) {
  Watchdog dog = up();
  EXPECT_TRUE(dog.on_timer(30).send_watchdog);
  EXPECT_EQ(dog.state(), State::kOkay);
  EXPECT_TRUE(dog.on_timer(60).failover);
  EXPECT_EQ(dog.state(), State::kSuspect);
  EXPECT_TRUE(dog.on_timer(90).close_connection);
  EXPECT_EQ(dog.state(), State::kDown);
  EXPECT_TRUE(dog.on_timer(120).attempt_open);
}

TEST(Watchdog, TrafficPutsTheTimerOffButDoesNotAnswer) {
  Watchdog dog = up();
  dog.on_timer(30);
  dog.on_non_dwa(40);
  EXPECT_GT(dog.deadline(), 67.9);
  EXPECT_TRUE(dog.answer_pending()) << "only a DWA clears Pending";
  dog.on_dwa(41);
  EXPECT_FALSE(dog.answer_pending());
}

TEST(Watchdog, ASuspectComesBackByAnAnswerOrAnyMessage) {
  for (const bool answer : {true, false}) {
    Watchdog dog = up();
    dog.on_timer(30);
    dog.on_timer(60);
    EXPECT_TRUE((answer ? dog.on_dwa(61) : dog.on_non_dwa(61)).failback);
    EXPECT_EQ(dog.state(), State::kOkay);
  }
}

TEST(Watchdog, ReopenWantsThreeAnswersAndThrowsMessagesAway) {
  Watchdog dog = up();
  EXPECT_TRUE(dog.on_connection_down(10).failover);
  EXPECT_EQ(dog.state(), State::kDown);
  EXPECT_TRUE(dog.on_connection_up(20).send_watchdog);
  EXPECT_EQ(dog.state(), State::kReopen);
  EXPECT_TRUE(dog.on_non_dwa(21).discard_message);
  dog.on_dwa(22);
  EXPECT_TRUE(dog.on_timer(50).send_watchdog);
  dog.on_dwa(51);
  EXPECT_EQ(dog.state(), State::kReopen);
  EXPECT_TRUE(dog.on_timer(80).send_watchdog);
  EXPECT_TRUE(dog.on_dwa(81).failback);
  EXPECT_EQ(dog.state(), State::kOkay);
}

TEST(Watchdog, ReopenGivesOneMissedAnswerThenCloses) {
  Watchdog dog = up();
  dog.on_connection_down(10);
  dog.on_connection_up(20);
  Watchdog::Actions first = dog.on_timer(50);
  EXPECT_FALSE(first.close_connection);
  EXPECT_EQ(dog.state(), State::kReopen);
  EXPECT_TRUE(dog.on_timer(80).close_connection);
  EXPECT_EQ(dog.state(), State::kDown);
}

}  // namespace
}  // namespace mintrock::diameter
