#include "platform/shutdown_sequence.hpp"

#include <gtest/gtest.h>

#include <algorithm>

namespace mintrock::platform {
namespace {

constexpr double kLongDeadline = 9;  // s
constexpr double kKill = 3.7;        // s after the signal, at the earliest

// Polls until the exit while `state` returns what is open; returns when each phase began.
struct Times {
  double draining = -1, final_answers = -1, closing = -1, done = -1;
};
template <typename State>
Times run(double longest_deadline, State state) {
  ShutdownSequence sequence(0, longest_deadline);
  Times out;
  for (double now = 0; now < 10; now += 0.02) {
    const ShutdownPhase phase = sequence.advance(state(now), now);
    if (phase == ShutdownPhase::kDraining && out.draining < 0) out.draining = now;
    if (phase == ShutdownPhase::kFinalAnswers && out.final_answers < 0) out.final_answers = now;
    if (phase == ShutdownPhase::kClosing && out.closing < 0) out.closing = now;
    if (phase == ShutdownPhase::kDone) {
      out.done = now;
      break;
    }
  }
  return out;
}

TEST(ShutdownSequence, ExitsSoonWhenNothingIsOwed) {
  const Times times = run(kLongDeadline, [](double) { return ShutdownState{}; });
  EXPECT_NEAR(times.draining, 0.9, 0.03);
  EXPECT_LT(times.final_answers, 0);
  EXPECT_LT(times.done, 1.0);
}

// Whatever stays open, the exit comes before the kill, and core servers are not read to the very end.
TEST(ShutdownSequence, ExitsBeforeTheKillWhateverIsOpen) {
  for (const double deadline : {0.2, 1.0, 3.0, kLongDeadline}) {
    const double kill = std::min(3.0, deadline) + 0.7;
    for (int open = 1; open < 64; ++open) {
      ShutdownState state;
      state.busy_callers = open & 1;
      state.unsent_streams = open >> 1 & 1;
      state.connection_for_ends = (open & 4) != 0;
      state.untold_ends = (open & 8) != 0;
      state.unconfirmed_releases = open >> 4 & 1;
      state.ends_overdue = (open & 32) != 0;
      const Times times = run(deadline, [&](double) { return state; });
      EXPECT_LE(times.done, std::max(kill, 1.2)) << deadline << " " << open;
      EXPECT_GT(times.done, times.closing) << deadline << " " << open;
    }
  }
}

// A core server hangs with calls: its ends are waited for, as long as there is a connection to report them
// on.
TEST(ShutdownSequence, WaitsForOverdueEndsWhileTheyCanBeReported) {
  for (const bool connection : {false, true}) {
    const Times times = run(kLongDeadline, [&](double) {
      ShutdownState state;
      state.connection_for_ends = connection;
      state.ends_overdue = true;
      return state;
    });
    if (connection) {
      EXPECT_GT(times.closing, 3.55);
      EXPECT_LT(times.done, kKill);
    } else {
      EXPECT_LT(times.done, 1.0);
    }
  }
}

TEST(ShutdownSequence, GoesOnWhenTheServerSpeaksAgain) {
  const Times times = run(kLongDeadline, [](double now) {
    ShutdownState state;
    state.connection_for_ends = true;
    state.ends_overdue = now < 2;
    return state;
  });
  EXPECT_NEAR(times.closing, 2.0, 0.05);
}

// Without a connection to report it on, an end must not be read and then sat on.
TEST(ShutdownSequence, UntoldEndEndsTheWaitForReleases) {
  const Times times = run(kLongDeadline, [](double now) {
    ShutdownState state;
    state.unconfirmed_releases = 1;
    state.untold_ends = now > 1.5;
    return state;
  });
  EXPECT_NEAR(times.closing, 1.5, 0.05);
}

TEST(ShutdownSequence, CallersAreClosedAfterCoreServers) {
  const Times times = run(kLongDeadline, [](double now) {
    ShutdownState state;
    state.connection_for_ends = now < 0.95;
    state.unsent_streams = now > 0.93 && now < 1.1 ? 1 : 0;
    return state;
  });
  EXPECT_LT(times.closing, 1.0);
  EXPECT_GT(times.done, 1.09) << "the last bytes are sent first";
}

}  // namespace
}  // namespace mintrock::platform
