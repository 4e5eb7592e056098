// What the ledger of a soak calls broken, and what it does not.
#include "lab/soak/ledger.hpp"

#include <gtest/gtest.h>

namespace mintrock::lab::soak {
namespace {

constexpr std::uint64_t kCall = 7;
constexpr const char* kServer = "s-1";

Limits exact() {
  Limits limits;
  limits.slack = 0;
  return limits;
}

struct Day {
  Ledger ledger{exact()};
  // Served at 0.1, by what stands at the server since then.
  void serve() {
    ledger.taken(kCall, 0, 1.0, 0);
    ledger.attempt(kCall, kServer, false, 0.05);
    ledger.stands(kCall, kServer, "answer", 0);
    ledger.attempt_over(kCall, kServer, 0);
    ledger.answered(kCall, FinalAnswer::kServed, "answer", 0.1);
  }
  std::vector<Rule> broken(double now) {
    ledger.judge(now);
    std::vector<Rule> out;
    for (const Violation& each : ledger.violations()) out.push_back(each.rule);
    return out;
  }
};

TEST(Ledger, AnEndHasToBeToldWithinASecondOfItsRelease) {
  Day told, late;
  for (Day* day : {&told, &late}) {
    day->serve();
    day->ledger.over(kCall, kServer, 1.0);
    day->ledger.release_passed(kCall, kServer, 1.0);
  }
  told.ledger.told_over(kCall, 2.0);
  EXPECT_TRUE(told.broken(60).empty());
  EXPECT_TRUE(told.ledger.settled());
  EXPECT_TRUE(late.broken(2.04).empty());
  EXPECT_FALSE(late.ledger.settled());
  EXPECT_EQ(late.broken(2.06), std::vector<Rule>{Rule::kLost});
}

TEST(Ledger, AnEndThatCouldNotBeSentHasEightSeconds) {
  Day day;
  day.serve();
  day.ledger.over(kCall, kServer, 1.0);
  EXPECT_TRUE(day.broken(9.04).empty());
  EXPECT_EQ(day.broken(9.06), std::vector<Rule>{Rule::kLost});
}

// A release that is held up on its way is due from when it passes, and never later than the end allows.
TEST(Ledger, ALateReleaseCountsFromWhenItPassedButNoLaterThanTheEndAllows) {
  Day soon, late;
  for (Day* day : {&soon, &late}) {
    day->serve();
    day->ledger.over(kCall, kServer, 1.0);
  }
  soon.ledger.release_passed(kCall, kServer, 3.0);
  EXPECT_TRUE(soon.broken(4.04).empty());
  EXPECT_EQ(soon.broken(4.06), std::vector<Rule>{Rule::kLost});
  late.ledger.release_passed(kCall, kServer, 8.5);
  EXPECT_TRUE(late.broken(9.04).empty());
  EXPECT_EQ(late.broken(9.06), std::vector<Rule>{Rule::kLost});
}

// It stood where its answer never came; then another attempt was served.
TEST(Ledger, TheEndOfAnUnseenCallIsOwedTooUnlessItWasLetGoBefore) {
  for (const bool let_go : {false, true}) {
    Day day;
    day.ledger.taken(kCall, 0, 3.0, 0);
    day.ledger.attempt(kCall, kServer, false, 0);
    day.ledger.stands(kCall, kServer, "unseen", 0);
    if (let_go) day.ledger.let_go(kCall, kServer, 0);
    day.ledger.over(kCall, kServer, 1.0);
    day.ledger.release_passed(kCall, kServer, 1.0);
    day.ledger.attempt(kCall, "s-2", false, 1.5);
    day.ledger.stands(kCall, "s-2", "answer", 0);
    day.ledger.attempt_over(kCall, "s-2", 0);
    day.ledger.answered(kCall, FinalAnswer::kServed, "answer", 1.6);
    EXPECT_EQ(day.broken(5).size(), let_go ? 0u : 1u);
  }
}

TEST(Ledger, AFailedCallOwesNothingMore) {
  Day day;
  day.ledger.taken(kCall, 0, 3.0, 0);
  day.ledger.attempt(kCall, kServer, false, 0);
  day.ledger.stands(kCall, kServer, "unseen", 0);
  day.ledger.over(kCall, kServer, 1.0);
  day.ledger.release_passed(kCall, kServer, 1.0);
  day.ledger.answered(kCall, FinalAnswer::kFailed, "", 1.1);
  EXPECT_TRUE(day.broken(60).empty());
}

TEST(Ledger, OneFinalAnswerInTimeAndOfACoreServersMaking) {
  Day silent, twice, forged;
  silent.ledger.taken(kCall, 0, 1.0, 0);
  EXPECT_EQ(silent.broken(1.6), std::vector<Rule>{Rule::kLost});
  twice.serve();
  twice.ledger.answered(kCall, FinalAnswer::kFailed, "", 0.2);
  EXPECT_EQ(twice.broken(0.3), std::vector<Rule>{Rule::kDuplicate});
  forged.ledger.taken(kCall, 0, 1.0, 0);
  forged.ledger.answered(kCall, FinalAnswer::kServed, "answer", 0.1);
  EXPECT_EQ(forged.broken(0.3), std::vector<Rule>{Rule::kForged});
}

TEST(Ledger, OneAttemptAtATimeNoneForACallerThatLeftNorToADrainingServer) {
  Day day;
  day.ledger.taken(kCall, 0, 3.0, 0);
  day.ledger.attempt(kCall, kServer, false, 0.1);
  day.ledger.attempt(kCall, "s-2", false, 0.2);
  EXPECT_EQ(day.broken(0.3), std::vector<Rule>{Rule::kDuplicate});
  day.ledger.attempt_over(kCall, "s-2", 0);
  day.ledger.caller_left(kCall, 0.4);
  day.ledger.attempt(kCall, "s-3", false, 0.45);
  EXPECT_EQ(day.broken(0.5).size(), 1u) << "it crossed the caller's leaving";
  day.ledger.attempt_over(kCall, "s-3", 0);
  day.ledger.attempt(kCall, "s-3", false, 0.6);
  EXPECT_EQ(day.broken(0.7).back(), Rule::kCallerGone);
  day.ledger.told_unavailable("s-4", 1.0);
  day.ledger.taken(8, 0, 3.0, 1.0);
  day.ledger.attempt(8, "s-4", false, 1.2);
  EXPECT_EQ(day.broken(1.2).size(), 2u);
  day.ledger.attempt_over(8, "s-4", 0);
  day.ledger.attempt(8, "s-4", false, 1.3);
  EXPECT_EQ(day.broken(1.3).back(), Rule::kDrain);
}

// A planned end leaves nothing unanswered; a kill is its callers' loss. What stands is owed again by the next
// life that it is named to.
TEST(Ledger, WhatAStoppedEdgeProxyHeld) {
  Day planned, killed;
  planned.ledger.taken(kCall, 0, 3.0, 0);
  planned.ledger.edge_stopped(0, true, 1.0);
  EXPECT_EQ(planned.broken(1.0), std::vector<Rule>{Rule::kLost});
  killed.serve();
  killed.ledger.taken(8, 0, 3.0, 0.2);
  killed.ledger.edge_stopped(0, false, 1.0);
  killed.ledger.over(kCall, kServer, 1.1);
  killed.ledger.release_passed(kCall, kServer, 1.1);
  EXPECT_TRUE(killed.broken(20).empty());
  killed.ledger.handed_over(kCall, 20);
  EXPECT_TRUE(killed.broken(28).empty());
  EXPECT_EQ(killed.broken(28.1), std::vector<Rule>{Rule::kLost});
}

}  // namespace
}  // namespace mintrock::lab::soak
