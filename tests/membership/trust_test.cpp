// Trust in stored entries by age, source and evidence, and the entries that are passed to the Controller.
#include "membership/trust.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace mintrock::membership {
namespace {

constexpr double kMinute = 60, kHour = 3600, kDay = 86400;

Evidence evidence_of_age(double age) {
  Evidence out;
  out.confirmed_age_s = age;
  return out;
}

TEST(Trust, DecreasesWithAgeAndChangesTheUsage) {
  const TrustSettings s;
  const Trust minute = assess(s, evidence_of_age(kMinute));
  EXPECT_EQ(minute.usage, Usage::kNormal);
  EXPECT_TRUE(minute.first_choice);
  const Trust hour = assess(s, evidence_of_age(kHour));
  EXPECT_EQ(hour.usage, Usage::kReduced);
  EXPECT_FALSE(hour.first_choice);
  const Trust day = assess(s, evidence_of_age(kDay));
  EXPECT_EQ(day.usage, Usage::kLastResort);
  EXPECT_GT(minute.score, hour.score);
  EXPECT_GT(hour.score, day.score);
  double before = 2;
  for (double age = 0; age < 2 * kDay; age += 97) {
    const double score = assess(s, evidence_of_age(age)).score;
    EXPECT_LE(score, before) << age;
    before = score;
  }
}

TEST(Trust, InvalidAgeCountsAsVeryOldAndNegativeAgeAsZero) {
  const TrustSettings s;
  EXPECT_EQ(assess(s, evidence_of_age(std::numeric_limits<double>::quiet_NaN())).usage, Usage::kLastResort);
  EXPECT_EQ(assess(s, evidence_of_age(std::numeric_limits<double>::infinity())).usage, Usage::kLastResort);
  EXPECT_EQ(assess(s, evidence_of_age(-kDay)).score, 1);
}

// A clock that is set back a day would make a day-old list look fresh.
TEST(Trust, UnreliableClockMakesEveryAgeUnknown) {
  Evidence e = evidence_of_age(1);
  e.clock_unreliable = true;
  EXPECT_EQ(assess(TrustSettings(), e).usage, Usage::kLastResort);
  EXPECT_NE(assess(TrustSettings(), e).reason.find("clock"), std::string::npos);
}

TEST(Trust, AgeUsesTheMonotonicClockWithinOneBootAndElseTheWallClock) {
  const ClockReading stored{1000000, 50, "a"};
  EXPECT_EQ(confirmation_age(1000000 - 30, stored, {1000000 - kDay, 110, "a"}).seconds, 90)
      << "the wall clock was set back";
  EXPECT_EQ(confirmation_age(1000000 - 30, stored, {1000000 + 365 * kDay, 110, "a"}).seconds, 90)
      << "the wall clock was set forward a year";
  EXPECT_EQ(confirmation_age(1000000 - 30, stored, {1000000 + 60, 5, "b"}).seconds, 90);
  EXPECT_FALSE(confirmation_age(1000000 - 30, stored, {1000000 + 60, 5, "b"}).unreliable);
  EXPECT_TRUE(confirmation_age(1000000 - 30, stored, {1000000 - kDay, 5, "b"}).unreliable);
  EXPECT_EQ(confirmation_age(1000000, stored, {1000000 + 365 * kDay, 5, "b"}).seconds, 365 * kDay)
      << "an age that is too high is the safe error";
  EXPECT_EQ(confirmation_age(1000000, {1000000, 50, ""}, {1000000 + 60, 5, ""}).seconds, 60);
}

TEST(Trust, IncreasesWithAnswersAndDecreasesWithRefusals) {
  const TrustSettings s;
  Evidence e = evidence_of_age(kDay);
  double before = assess(s, e).score;
  e.last_answer_age_s = 0;
  for (e.answers = 1; e.answers <= 10; ++e.answers) {
    const double score = assess(s, e).score;
    EXPECT_GT(score, before);
    before = score;
  }
  EXPECT_EQ(assess(s, e).usage, Usage::kNormal) << "a server that answers is trusted however old the list is";
  e.refusals = 2;
  EXPECT_LT(assess(s, e).score, before / 3);
  e.refusals = 0;
  e.last_answer_age_s = kDay;
  EXPECT_EQ(assess(s, e).usage, Usage::kLastResort) << "an old answer counts no more than an old list";
}

TEST(Trust, PeerConfirmationCountsLessThanTheLists) {
  Evidence e = evidence_of_age(0);
  e.source = Source::kPeer;
  EXPECT_LT(assess(TrustSettings(), e).score, assess(TrustSettings(), evidence_of_age(0)).score);
}

ServerEntry make_entry(ServerId id, ServerEntry::State state = ServerEntry::State::kReady) {
  ServerEntry out;
  out.id = id;
  out.state = state;
  return out;
}
AssessedEntry make_assessed(ServerId id, double age, ServerEntry::State state = ServerEntry::State::kReady) {
  TrustSettings s;
  s.cold_threshold = s.normal_threshold;
  return {make_entry(id, state), assess(s, evidence_of_age(age))};
}

TEST(CachedListEntries, OldEntryIsReportedAsJustStartedBelowTheColdThreshold) {
  const auto out = cached_list_entries({make_assessed(1, 10), make_assessed(2, kHour)}, 500);
  ASSERT_EQ(out.size(), 2u);
  EXPECT_EQ(out[0].since, 0);
  EXPECT_EQ(out[1].since, 500);
  EXPECT_LT(out[1].weight, out[0].weight);
}

TEST(CachedListEntries, TooOldEntryIsLeftOutUnlessNoOtherIsReady) {
  EXPECT_EQ(cached_list_entries({make_assessed(1, kHour), make_assessed(2, kDay)}, 0).size(), 1u);
  const auto alone = cached_list_entries(
      {make_assessed(1, kHour, ServerEntry::State::kDraining), make_assessed(2, kDay)}, 7);
  ASSERT_EQ(alone.size(), 2u);
  EXPECT_EQ(alone[1].since, 7) << "and is then reported as just started";
  EXPECT_GT(alone[1].weight, 0);
}

// When servers were reported as cold and no rate was known, nearly every call was refused for a whole
// warm-up. Therefore they are reported as cold only if the settings ask for it.
TEST(CachedListEntries, NothingIsReportedAsJustStartedByDefault) {
  for (const double age : {kHour, kDay}) {
    const auto out =
        cached_list_entries({{make_entry(1), assess(TrustSettings(), evidence_of_age(age))}}, 500);
    ASSERT_EQ(out.size(), 1u);
    EXPECT_EQ(out[0].since, 0);
    EXPECT_LT(out[0].weight, 0.1);
  }
}

// The age of an entry must not undo a stored drain.
TEST(CachedListEntries, DrainingEntryStaysDrainingWhateverItsAge) {
  for (const double age : {0.0, kHour, kDay}) {
    const auto out =
        cached_list_entries({make_assessed(1, 0), make_assessed(2, age, ServerEntry::State::kDraining)}, 0);
    ASSERT_EQ(out.size(), 2u);
    EXPECT_EQ(out[1].state, ServerEntry::State::kDraining);
  }
}

}  // namespace
}  // namespace mintrock::membership
