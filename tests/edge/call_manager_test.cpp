// The desk against a scripted core side and front, at virtual times.
#include "edge/call_manager.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <vector>

namespace mintrock::edge {
namespace {

struct Sent {
  CallId call;
  std::uint32_t attempt;
  ServerId server;
};

struct World : CallManagerDelegate {
  void answer(CallId call, const SetupResult& result) override { answers[call].push_back(result); }
  void cut(CallId call) override { cuts.push_back(call); }
  SendResult send_setup(CallId call, std::uint32_t attempt, ServerId server, double) override {
    if (send_result == SendResult::kAccepted) sent.push_back({call, attempt, server});
    return send_result;
  }
  void release(CallId call, std::uint32_t attempt, ServerId server) override {
    released.push_back({call, attempt, server});
  }
  void forget(CallId call) override { forgotten.insert(call); }
  void subscribe() override { subscribed += 1; }
  void send_gossip(std::uint32_t, const std::vector<Hearsay>&) override {}
  void log(const std::string&) override {}

  World(std::uint32_t max_calls = 1000, Effect effect = Effect::kRepeatable) {
    Settings settings;
    settings.classes.resize(1);
    settings.classes[0].aim_s = 1;
    settings.classes[0].deadline_s = 9;
    settings.classes[0].effect = effect;
    settings.attempt_limit = 4;
    settings.release_wait_s = 0.5;
    settings.max_retry_after_s = 2;
    settings.gives_retry_after = true;
    settings.asks_for_list = true;
    manager = std::make_unique<CallManager>(settings, 1, max_calls, *this);
    manager->start(0);
  }
  void servers(std::vector<ServerEntry::State> states, double now) {
    ServerList list;
    for (std::size_t i = 0; i < states.size(); ++i) {
      ServerEntry entry;
      entry.id = i + 1;
      entry.node = static_cast<std::uint32_t>(i);
      entry.state = states[i];
      list.entries.push_back(entry);
    }
    manager->update_servers(list, now);
  }
  CallId offer(double now, double ttl = 3) {
    const CallId id = manager->next_call_id();
    CallRequest o;
    o.ttl_s = ttl;
    o.first_choice = 0;
    manager->offer(id, o, now);
    return id;
  }
  // Every timer at its time, until then.
  void until(double end) {
    while (manager->deadline() <= end) manager->tick(manager->deadline());
    manager->tick(end);
  }

  std::unique_ptr<CallManager> manager;
  SendResult send_result = SendResult::kAccepted;
  std::vector<Sent> sent, released;
  std::map<CallId, std::vector<SetupResult>> answers;
  std::vector<CallId> cuts;
  std::set<CallId> forgotten;
  int subscribed = 0;
};

constexpr auto kReady = ServerEntry::State::kReady;
constexpr auto kDraining = ServerEntry::State::kDraining;

TEST(CallManager, ACallStandsAndEnds) {
  World w;
  EXPECT_EQ(w.subscribed, 1);
  w.servers({kReady}, 0);
  const CallId id = w.offer(1);
  ASSERT_EQ(w.sent.size(), 1u);
  w.manager->on_established(id, 0, {}, 1.1);
  ASSERT_EQ(w.answers[id].size(), 1u);
  EXPECT_EQ(w.answers[id][0].kind, SetupResult::Kind::kEstablished);
  EXPECT_EQ(w.manager->established(), 1u);
  EXPECT_TRUE(w.manager->hang_up(id, 5));
  ASSERT_EQ(w.released.size(), 1u);
  EXPECT_TRUE(w.forgotten.count(id));
  EXPECT_EQ(w.manager->established(), 0u);
  EXPECT_FALSE(w.manager->hang_up(id, 6));
}

// The core server tells the end of a call whose answer is late or lost: over at once, and not set up again.
TEST(CallManager, ACallThatEndsBeforeItsAnswerHasFailedAndIsNotSetUpAgain) {
  World w;
  w.servers({kReady, kReady}, 0);
  const CallId id = w.offer(1, 8);
  ASSERT_EQ(w.sent.size(), 1u);
  w.manager->on_ended(id, 0, Outcome::kEnded, Cause::kNone, 0, {}, 2);
  ASSERT_EQ(w.answers[id].size(), 1u);
  EXPECT_EQ(w.answers[id][0].kind, SetupResult::Kind::kFailed);
  EXPECT_TRUE(w.released.empty()) << "nothing is held there";
  EXPECT_TRUE(w.forgotten.count(id));
  w.manager->on_established(id, 0, {}, 3);  // the late answer
  w.until(20);
  EXPECT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.answers[id].size(), 1u);
}

// The end is told over another connection, after the attempt was taken for lost and while the next one is
// out.
TEST(CallManager, ACallThatRanAtAnEarlierAttemptHasFailedAndItsOtherAttemptIsReleased) {
  World w;
  w.servers({kReady, kReady}, 0);
  const CallId id = w.offer(1, 8);
  w.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 1.2);
  w.until(2);
  ASSERT_EQ(w.sent.size(), 2u);
  w.manager->on_earlier_attempt_ended(id, 2.1);
  ASSERT_EQ(w.answers[id].size(), 1u);
  EXPECT_EQ(w.answers[id][0].kind, SetupResult::Kind::kFailed);
  ASSERT_EQ(w.released.size(), 1u);
  EXPECT_EQ(w.released[0].attempt, 1u);
  const CallId other = w.offer(3, 3);
  w.manager->on_established(other, 0, {}, 3.1);
  w.manager->on_earlier_attempt_ended(other, 3.2);
  EXPECT_EQ(w.manager->established(), 1u) << "what stands, stands";
}

// A core server that takes set-ups and never answers.
TEST(CallManager, AnAttemptWithoutAnswerIsReleasedAndTheCallAnsweredInTime) {
  World w;
  w.servers({kReady}, 0);
  const CallId id = w.offer(1, 2);
  w.until(2.999);
  ASSERT_EQ(w.answers[id].size(), 1u) << "before the caller's end";
  EXPECT_NE(w.answers[id][0].kind, SetupResult::Kind::kEstablished);
  ASSERT_EQ(w.released.size(), 1u);
  EXPECT_EQ(w.manager->counters().overdue, 0u);
  EXPECT_EQ(w.manager->counters().timed_out, 1u);
}

TEST(CallManager, AnAnswerAfterTheTimeOutAndOneThatComesTwiceChangeNothing) {
  World w;
  w.servers({kReady}, 0);
  const CallId late = w.offer(1, 2);
  w.until(3);
  w.manager->on_established(late, 0, {}, 3.1);
  EXPECT_EQ(w.answers[late].size(), 1u);
  EXPECT_EQ(w.manager->counters().late_answers, 1u);
  World v;
  v.servers({kReady}, 0);
  const CallId twice = v.offer(4);
  v.manager->on_established(twice, 0, {}, 4.1);
  v.manager->on_established(twice, 0, {}, 4.2);
  EXPECT_EQ(v.answers[twice].size(), 1u);
  EXPECT_EQ(v.manager->established(), 1u);
}

// A drain and a time-out in one turn of the loop: whichever is told first, the next attempt goes elsewhere.
TEST(CallManager, ADrainAndAResetInOneTurnLeaveNothingForTheDrainingServer) {
  for (const bool drain_first : {true, false}) {
    World w;
    w.servers({kReady, kReady}, 0);
    const CallId id = w.offer(1);
    ASSERT_EQ(w.sent.size(), 1u);
    EXPECT_EQ(w.sent[0].server, 1u);
    if (drain_first) w.servers({kDraining, kReady}, 1.2);
    w.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 1.2);
    if (!drain_first) w.servers({kDraining, kReady}, 1.2);
    w.until(2);
    ASSERT_EQ(w.sent.size(), 2u);
    EXPECT_EQ(w.sent[1].server, 2u);
  }
}

TEST(CallManager, TheReleaseWaitIsKept) {
  World w;
  w.servers({kReady, kReady}, 0);
  const CallId id = w.offer(1);
  w.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 1.2);
  w.until(1.7);
  EXPECT_EQ(w.sent.size(), 1u);
  w.until(1.71);
  EXPECT_EQ(w.sent.size(), 2u);
}

// An attempt that fails before `send_setup` returns must not be told from inside the decision that made it.
TEST(CallManager, NoWayToAnyServerEndsInOneRefusal) {
  World w;
  w.send_result = SendResult::kNoConnection;
  w.servers({kReady, kReady, kReady}, 0);
  const CallId id = w.offer(1);
  w.until(4);
  ASSERT_EQ(w.answers[id].size(), 1u);
  EXPECT_EQ(w.answers[id][0].kind, SetupResult::Kind::kRefused);
  EXPECT_EQ(w.manager->pending(), 0u);
  EXPECT_TRUE(w.released.empty()) << "nothing ran";
}

TEST(CallManager, AFullTableRefusesAtOnceWithARetryAfter) {
  World w(10);
  w.servers({kReady}, 0);
  for (int i = 0; i < 10; ++i) {
    const CallId id = w.offer(1 + i);
    w.manager->on_established(id, 0, {}, 1.01 + i);
  }
  const CallId over = w.offer(20);
  ASSERT_EQ(w.answers[over].size(), 1u);
  EXPECT_EQ(w.answers[over][0].kind, SetupResult::Kind::kRefused);
  EXPECT_EQ(w.answers[over][0].retry_after_s, 2);
  EXPECT_TRUE(w.forgotten.count(over));
  EXPECT_EQ(w.manager->counters().turned_away, 1u);
}

// RFC 3539 counts what comes in REOPEN for nothing; the caller is told so at once, and when to come back.
TEST(CallManager, ACallOverAConnectionOnTrialIsRefusedWithARetryAfter) {
  World w;
  w.servers({kReady}, 0);
  const CallId id = w.manager->next_call_id();
  CallRequest o;
  o.ttl_s = 3;
  o.peer_reopening = true;
  w.manager->offer(id, o, 1);
  ASSERT_EQ(w.answers[id].size(), 1u);
  EXPECT_EQ(w.answers[id][0].kind, SetupResult::Kind::kRefused);
  EXPECT_EQ(w.answers[id][0].retry_after_s, 2);
  EXPECT_TRUE(w.sent.empty());
}

TEST(CallManager, DrainingRefusesNewCallsAndKeepsTheOpenOnes) {
  World w;
  w.servers({kReady}, 0);
  const CallId open = w.offer(1);
  w.manager->drain();
  const CallId later = w.offer(1.1);
  EXPECT_EQ(w.answers[later][0].kind, SetupResult::Kind::kRefused);
  w.manager->on_established(open, 0, {}, 1.2);
  EXPECT_EQ(w.answers[open][0].kind, SetupResult::Kind::kEstablished);
}

TEST(CallManager, ACallThatMayRunOnceIsFailedAfterAnAttemptInDoubt) {
  World w(1000, Effect::kOnce);
  w.servers({kReady, kReady}, 0);
  const CallId id = w.offer(1);
  w.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 1.2);
  w.until(4);
  EXPECT_EQ(w.sent.size(), 1u);
  ASSERT_EQ(w.answers[id].size(), 1u);
  EXPECT_EQ(w.answers[id][0].kind, SetupResult::Kind::kFailed);
}

TEST(CallManager, ACallerThatLeavesFreesItsAttempt) {
  World w;
  w.servers({kReady}, 0);
  const CallId id = w.offer(1);
  EXPECT_TRUE(w.manager->hang_up(id, 1.1));
  ASSERT_EQ(w.released.size(), 1u);
  EXPECT_TRUE(w.answers[id].empty()) << "the front has answered by itself, or has nobody to tell";
  EXPECT_EQ(w.manager->pending(), 0u);
}

TEST(CallManager, ACutIsToldOnce) {
  World w;
  w.servers({kReady}, 0);
  const CallId id = w.offer(1);
  w.manager->on_established(id, 0, {}, 1.1);
  w.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 2);
  w.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 2);
  EXPECT_EQ(w.cuts, std::vector<CallId>{id});
  EXPECT_FALSE(w.manager->hang_up(id, 3));
}

// Whatever comes, in any order: one answer each, one attempt at a time, nothing left behind.
TEST(CallManager, RandomEventsKeepTheAccount) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    std::mt19937_64 random(seed);
    World w(40);
    w.servers({kReady, kReady, kReady}, 0);
    std::map<CallId, std::pair<std::uint32_t, bool>>
        out;  // attempt, and whether one is out, as the core sees it
    double now = 0;
    std::vector<CallId> all;
    std::size_t seen = 0;
    const auto look = [&] {
      for (; seen < w.sent.size(); ++seen) {
        auto& [attempt, is_out] = out[w.sent[seen].call];
        const bool released = std::any_of(w.released.begin(), w.released.end(), [&](const Sent& r) {
          return r.call == w.sent[seen].call && r.attempt == attempt;
        });
        EXPECT_FALSE(is_out && !released) << "two attempts out, seed " << seed;
        attempt = w.sent[seen].attempt;
        is_out = true;
      }
    };
    for (int i = 0; i < 400; ++i) {
      now += static_cast<double>(random() % 100) / 1000;
      w.until(now);
      look();
      const CallId some = all.empty() ? 0 : all[random() % all.size()];
      switch (random() % 8) {
        case 0:
        case 1:
        case 2:
          w.send_result = random() % 10 == 0 ? SendResult::kNoConnection : SendResult::kAccepted;
          all.push_back(w.offer(now, 0.2 + static_cast<double>(random() % 30) / 10));
          break;
        case 3:
        case 4:
          if (out[some].second) w.manager->on_established(some, out[some].first, {}, now);
          out[some].second = false;
          break;
        case 5:
          if (out[some].second) {
            const Outcome kinds[] = {Outcome::kFull, Outcome::kReset, Outcome::kError,
                                     Outcome::kConnectFailed};
            out[some].second = false;
            w.manager->on_ended(some, out[some].first, kinds[random() % 4], Cause::kNone, 0, {}, now);
          }
          break;
        case 6:
          w.manager->hang_up(some, now);
          break;
        default:
          w.servers({random() % 4 == 0 ? kDraining : kReady, kReady, random() % 4 == 0 ? kDraining : kReady},
                    now);
      }
      look();
    }
    w.until(now + 10);
    const auto counts = w.manager->counters();
    EXPECT_EQ(w.manager->pending(), 0u);
    EXPECT_EQ(counts.overdue, 0u);
    EXPECT_EQ(counts.offered, counts.established + counts.refused + counts.failed + counts.abandoned);
    for (const auto& [id, answers] : w.answers) EXPECT_LE(answers.size(), 1u);
    EXPECT_LE(w.manager->timers(), 3u) << "nothing piles up";
  }
}

// The process ends: every call that waits gets its one answer, whatever it waits for; what stands is left.
TEST(CallManager, TheEndOfTheProcessAnswersAllThatWaits) {
  World w;
  w.servers({ServerEntry::State::kReady}, 0);
  CallRequest offer;
  offer.ttl_s = 9;
  for (CallId call = 1; call <= 6; ++call) w.manager->offer(w.manager->next_call_id(), offer, 0.1);
  ASSERT_GE(w.sent.size(), 2u);
  const Sent first = w.sent.front();
  w.manager->on_established(first.call, first.attempt, {}, 0.101);
  const std::size_t out = w.sent.size() - 1;
  const std::size_t released = w.released.size();
  w.manager->answer_pending_calls(0.102);
  EXPECT_EQ(w.manager->pending(), 0u);
  EXPECT_EQ(w.manager->established(), 1u);
  EXPECT_EQ(w.released.size(), released + out) << "what is out is let go";
  for (CallId call = 1; call <= 6; ++call) ASSERT_EQ(w.answers[call].size(), 1u) << call;
  w.manager->tick(100);
  for (CallId call = 1; call <= 6; ++call) EXPECT_EQ(w.answers[call].size(), 1u) << call;
}

}  // namespace
}  // namespace mintrock::edge
