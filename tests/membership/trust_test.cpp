// Trust in kept entries: ages, sources, evidence; and what the Controller is told.
#include "membership/trust.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace mintrock::membership {
namespace {

constexpr double kMinute = 60, kHour = 3600, kDay = 86400;

Evidence aged(double age) {
  Evidence out;
  out.confirmed_age_s = age;
  return out;
}

TEST(Trust, FallsWithAgeAndChangesTheApproachOnTheWay) {
  const TrustSettings s;
  const Trust minute = assess(s, aged(kMinute));
  EXPECT_EQ(minute.usage, Usage::kNormal);
  EXPECT_TRUE(minute.first_choice);
  const Trust hour = assess(s, aged(kHour));
  EXPECT_EQ(hour.usage, Usage::kReduced);
  EXPECT_FALSE(hour.first_choice);
  const Trust day = assess(s, aged(kDay));
  EXPECT_EQ(day.usage, Usage::kLastResort);
  EXPECT_GT(minute.score, hour.score);
  EXPECT_GT(hour.score, day.score);
  double before = 2;
  for (double age = 0; age < 2 * kDay; age += 97) {
    const double degree = assess(s, aged(age)).score;
    EXPECT_LE(degree, before) << age;
    before = degree;
  }
}

TEST(Trust, NonsenseIsVeryOldAndAnEarlierNowIsNoAge) {
  const TrustSettings s;
  EXPECT_EQ(assess(s, aged(std::numeric_limits<double>::quiet_NaN())).usage, Usage::kLastResort);
  EXPECT_EQ(assess(s, aged(std::numeric_limits<double>::infinity())).usage, Usage::kLastResort);
  EXPECT_EQ(assess(s, aged(-kDay)).score, 1);
}

// The clock set back a day would make a day-old list look fresh.
TEST(Trust, AClockThatJumpedMakesEveryAgeUnknown) {
  Evidence e = aged(1);
  e.clock_unreliable = true;
  EXPECT_EQ(assess(TrustSettings(), e).usage, Usage::kLastResort);
  EXPECT_NE(assess(TrustSettings(), e).reason.find("clock"), std::string::npos);
}

TEST(Trust, AgesGoByTheMonotonicClockWithinOneBootElseByTheWall) {
  const ClockReading kept{1000000, 50, "a"};
  EXPECT_EQ(confirmation_age(1000000 - 30, kept, {1000000 - kDay, 110, "a"}).seconds, 90)
      << "the clock was set back";
  EXPECT_EQ(confirmation_age(1000000 - 30, kept, {1000000 + 365 * kDay, 110, "a"}).seconds, 90)
      << "or forward a year";
  EXPECT_EQ(confirmation_age(1000000 - 30, kept, {1000000 + 60, 5, "b"}).seconds, 90);
  EXPECT_FALSE(confirmation_age(1000000 - 30, kept, {1000000 + 60, 5, "b"}).unreliable);
  EXPECT_TRUE(confirmation_age(1000000 - 30, kept, {1000000 - kDay, 5, "b"}).unreliable);
  EXPECT_EQ(confirmation_age(1000000, kept, {1000000 + 365 * kDay, 5, "b"}).seconds, 365 * kDay)
      << "too old: the safe side";
  EXPECT_EQ(confirmation_age(1000000, {1000000, 50, ""}, {1000000 + 60, 5, ""}).seconds, 60);
}

TEST(Trust, GrowsWithAnswersAndFallsWithRefusals) {
  const TrustSettings s;
  Evidence e = aged(kDay);
  double before = assess(s, e).score;
  e.last_answer_age_s = 0;
  for (e.answers = 1; e.answers <= 10; ++e.answers) {
    const double degree = assess(s, e).score;
    EXPECT_GT(degree, before);
    before = degree;
  }
  EXPECT_EQ(assess(s, e).usage, Usage::kNormal) << "what answers is there, however old the list";
  e.refusals = 2;
  EXPECT_LT(assess(s, e).score, before / 3);
  e.refusals = 0;
  e.last_answer_age_s = kDay;
  EXPECT_EQ(assess(s, e).usage, Usage::kLastResort)
      << "an answer of yesterday is as old as a list of yesterday";
}

TEST(Trust, APeersWordIsLessThanTheLists) {
  Evidence e = aged(0);
  e.source = Source::kPeer;
  EXPECT_LT(assess(TrustSettings(), e).score, assess(TrustSettings(), aged(0)).score);
}

ServerEntry entry(ServerId id, ServerEntry::State state = ServerEntry::State::kReady) {
  ServerEntry out;
  out.id = id;
  out.state = state;
  return out;
}
AssessedEntry kept(ServerId id, double age, ServerEntry::State state = ServerEntry::State::kReady) {
  TrustSettings s;
  s.cold_threshold = s.normal_threshold;
  return {entry(id, state), assess(s, aged(age))};
}

TEST(Telling, ABelievedEntryIsAsItWasAnOlderOneAsJustStarted) {
  const auto out = cached_list_entries({kept(1, 10), kept(2, kHour)}, 500);
  ASSERT_EQ(out.size(), 2u);
  EXPECT_EQ(out[0].since, 0);
  EXPECT_EQ(out[1].since, 500);
  EXPECT_LT(out[1].weight, out[0].weight);
}

TEST(Telling, OneThatIsTooOldIsLeftOutUnlessNoOtherIsReady) {
  EXPECT_EQ(cached_list_entries({kept(1, kHour), kept(2, kDay)}, 0).size(), 1u);
  const auto alone = cached_list_entries({kept(1, kHour, ServerEntry::State::kDraining), kept(2, kDay)}, 7);
  ASSERT_EQ(alone.size(), 2u);
  EXPECT_EQ(alone[1].since, 7) << "and then gently";
  EXPECT_GT(alone[1].weight, 0);
}

// Told as cold with no rate known, nearly every call of a whole warm-up was refused: only where it is wanted.
TEST(Telling, NothingIsToldAsJustStartedUnlessTheSettingsSaySo) {
  for (const double age : {kHour, kDay}) {
    const auto out = cached_list_entries({{entry(1), assess(TrustSettings(), aged(age))}}, 500);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].since, 0);
    EXPECT_LT(out[0].weight, 0.1);
  }
}

// A kept drain must not be undone by its age.
TEST(Telling, ADrainStaysADrainWhateverItsAge) {
  for (const double age : {0.0, kHour, kDay}) {
    const auto out = cached_list_entries({kept(1, 0), kept(2, age, ServerEntry::State::kDraining)}, 0);
    ASSERT_EQ(out.size(), 2u);
    EXPECT_EQ(out[1].state, ServerEntry::State::kDraining);
  }
}

}  // namespace
}  // namespace mintrock::membership
