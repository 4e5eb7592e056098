#include "platform/ended_calls.hpp"

#include <gtest/gtest.h>

namespace mintrock::platform {
namespace {

constexpr double kOwedUntil = 9;  // s
constexpr std::size_t kMaxCalls = 8;

EndedCalls make() { return {kOwedUntil, kMaxCalls}; }

// Review, case 10: a core server repeated the end of a refused call long after, and it was sent to the
// caller.
TEST(EndedCalls, EndOfAClosedCallIsNeverReported) {
  for (const double now : {1.0, 8.9, 9.1, 26.8, 1e6}) {
    EndedCalls calls = make();
    calls.close(7, true);
    EXPECT_FALSE(calls.handle_end(7, now)) << now;
    EXPECT_FALSE(calls.handle_end(7, now)) << now;
  }
}

TEST(EndedCalls, UnknownEndIsReportedOnceWhileAFormerProcessMayOweIt) {
  EndedCalls calls = make();
  EXPECT_TRUE(calls.handle_end(7, 8.9));
  EXPECT_FALSE(calls.handle_end(7, 8.95)) << "reported already";
  EXPECT_FALSE(calls.handle_end(8, 9)) << "no caller can be owed it";
}

// An end that was read before its caller named the call must not be lost, however long that takes.
TEST(EndedCalls, CallerThatNamesAnEndedCallIsTold) {
  for (const double read_at : {1.0, 8.9, 9.1, 100.0}) {
    EndedCalls calls = make();
    calls.handle_end(7, read_at);
    EXPECT_TRUE(calls.claim(7)) << read_at;
    EXPECT_TRUE(calls.claim(7)) << "the first report may have been lost";
    EXPECT_FALSE(calls.handle_end(7, read_at + 50)) << "it was told";
    EXPECT_FALSE(calls.claim(8)) << "no end of it was read";
  }
}

// A forgotten call is unknown again: its end must not be taken for a former process's.
TEST(EndedCalls, ForgettingAClosedCallEndsTheTimeInWhichUnknownEndsAreReported) {
  EndedCalls calls = make();
  std::uint64_t id = 1;
  for (; id <= 4 * kMaxCalls; ++id) calls.close(id, true);
  EXPECT_FALSE(calls.handle_end(1, 1)) << "still known";
  EXPECT_TRUE(calls.handle_end(1000, 1));  // which forgets the earliest
  EXPECT_FALSE(calls.handle_end(1, 1));
  EXPECT_FALSE(calls.handle_end(1001, 1));
  EXPECT_TRUE(calls.claim(1001));
}

TEST(EndedCalls, MemoryIsBoundedByTheCallsOfOneProcess) {
  EndedCalls calls = make();
  for (std::uint64_t id = 1; id <= 100000; ++id) {
    if (id % 2 == 0) calls.close(id, id % 4 == 0);
    if (id % 2 == 1) calls.handle_end(id, 10);
    if (id % 3 == 0) calls.claim(id);
  }
  EXPECT_LE(calls.size(), 5 * kMaxCalls);
  EXPECT_TRUE(calls.claim(100000));
  EXPECT_FALSE(calls.claim(2));
}

// Each order of two events of one call: the end is reported at most once without the caller asking for it.
TEST(EndedCalls, EachOrderOfTwoEvents) {
  enum Event { kClose, kEndEarly, kEndLate, kClaim };
  for (const Event first : {kClose, kEndEarly, kEndLate, kClaim}) {
    for (const Event second : {kClose, kEndEarly, kEndLate, kClaim}) {
      if (first == kEndLate && second == kEndEarly) continue;  // not an order in time
      EndedCalls calls = make();
      std::size_t unasked = 0;
      bool told_on_claim = false;
      for (const Event each : {first, second}) {
        if (each == kClose) calls.close(7, true);
        if (each == kEndEarly) unasked += calls.handle_end(7, 1);
        if (each == kEndLate) unasked += calls.handle_end(7, 100);
        if (each == kClaim) told_on_claim = calls.claim(7);
      }
      const bool early_unknown = first == kEndEarly || (second == kEndEarly && first == kClaim);
      EXPECT_EQ(unasked, early_unknown ? 1u : 0u) << first << " " << second;
      if (second == kClaim) {
        EXPECT_EQ(told_on_claim, first != kClaim) << first;
      }
    }
  }
}

TEST(EndedCalls, KnowsWhichCallsMayHaveRun) {
  EndedCalls calls = make();
  calls.close(1, false);
  calls.close(2, true);
  calls.close(3, true);
  calls.close(3, false);
  calls.handle_end(4, 100);
  EXPECT_FALSE(calls.may_have_run(1));
  EXPECT_TRUE(calls.may_have_run(2));
  EXPECT_TRUE(calls.may_have_run(3));
  EXPECT_TRUE(calls.may_have_run(4));
  EXPECT_FALSE(calls.may_have_run(5));
}

}  // namespace
}  // namespace mintrock::platform
