#include "platform/connection_health.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace mintrock::platform {
namespace {

using State = ConnectionHealth::State;

constexpr double kNever = std::numeric_limits<double>::infinity();

TEST(ConnectionHealth, IsNewUntilItsFirstLine) {
  ConnectionHealth health;
  EXPECT_EQ(health.state(), State::kNew);
  EXPECT_FALSE(health.heard());
  health.line_received(1);
  EXPECT_EQ(health.state(), State::kProven);
  EXPECT_TRUE(health.heard());
  EXPECT_FALSE(health.update(100, 100)) << "nothing is owed on it";
  EXPECT_EQ(health.next_update_at(100), kNever);
}

TEST(ConnectionHealth, IsDoubtedWhenASetupStaysUnansweredWhileOthersCarryLines) {
  for (const bool given_up : {false, true}) {
    for (const bool heard : {false, true}) {
      ConnectionHealth health;
      if (heard) health.line_received(1);
      health.setup_written(2);
      if (given_up) health.setup_given_up();
      const double due = given_up ? 3.5 : 6;
      EXPECT_EQ(health.next_update_at(2.5), due);
      EXPECT_FALSE(health.update(due - 0.1, 3));
      EXPECT_TRUE(health.update(due, 3));
      EXPECT_TRUE(health.is_doubted());
      EXPECT_FALSE(health.update(19, 18)) << "already";
      health.line_received(19);
      EXPECT_EQ(health.state(), State::kProven);
    }
  }
}

// A server that hangs is silent everywhere: one connection is as good as the next.
TEST(ConnectionHealth, IsNotDoubtedWhileTheServerIsSilent) {
  ConnectionHealth health;
  health.line_received(1);
  health.setup_written(2);
  EXPECT_EQ(health.next_update_at(1.9), kNever);
  EXPECT_FALSE(health.update(50, 1.9));
  EXPECT_EQ(health.next_update_at(50), 6) << "the server has spoken elsewhere: due at once";
  EXPECT_TRUE(health.update(50, 50));
}

// A state may arrive between a set-up and its answer, which then stops short.
TEST(ConnectionHealth, LineDoesNotSettleASetupThatStillWaits) {
  ConnectionHealth health;
  health.setup_written(1);
  health.line_received(1.4);
  EXPECT_FALSE(health.update(5.3, 2.7));
  EXPECT_TRUE(health.update(5.4, 2.7));
}

TEST(ConnectionHealth, AnsweredSetupsLeaveNoDoubt) {
  ConnectionHealth health;
  health.setup_written(1);
  health.setup_written(1.1);
  health.line_received(1.2);
  health.setup_answered();
  EXPECT_EQ(health.next_update_at(2), 5.2) << "the other one still waits";
  health.line_received(1.3);
  health.setup_answered();
  EXPECT_EQ(health.next_update_at(2), kNever);
  health.setup_written(20);
  EXPECT_EQ(health.next_update_at(21), 24) << "the silence before counts for nothing";
}

TEST(ConnectionHealth, LineAfterASetupWasGivenUpProvesTheConnection) {
  ConnectionHealth health;
  health.setup_written(1);
  health.setup_given_up();
  health.line_received(1.2);
  EXPECT_FALSE(health.update(10, 9.9));
}

}  // namespace
}  // namespace mintrock::platform
