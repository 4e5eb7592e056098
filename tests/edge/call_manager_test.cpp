// Tests of the call manager with a scripted core side and front end, in virtual time.
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

struct AttemptRecord {
  CallId call;
  std::uint32_t attempt;
  ServerId server;
};

struct Harness : CallManagerDelegate {
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
  void send_gossip(std::uint32_t, const std::vector<GossipEntry>&) override {}
  void log(const std::string&) override {}

  Harness(std::uint32_t max_calls = 1000, Effect effect = Effect::kRepeatable) {
    Settings settings;
    settings.classes.resize(1);
    settings.classes[0].target_s = 1;
    settings.classes[0].deadline_s = 9;
    settings.classes[0].effect = effect;
    settings.attempt_limit = 4;
    settings.release_wait_s = 0.5;
    settings.max_retry_after_s = 2;
    settings.gives_retry_after = true;
    settings.must_subscribe = true;
    manager = std::make_unique<CallManager>(settings, 1, max_calls, *this);
    manager->start(0);
  }
  void set_servers(std::vector<ServerEntry::State> states, double now) {
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
    CallRequest request;
    request.ttl_s = ttl;
    request.first_choice = 0;
    manager->offer(id, request, now);
    return id;
  }
  // Runs every timer at its time, up to `end`.
  void advance_to(double end) {
    while (manager->deadline() <= end) manager->tick(manager->deadline());
    manager->tick(end);
  }

  std::unique_ptr<CallManager> manager;
  SendResult send_result = SendResult::kAccepted;
  std::vector<AttemptRecord> sent, released;
  std::map<CallId, std::vector<SetupResult>> answers;
  std::vector<CallId> cuts;
  std::set<CallId> forgotten;
  int subscribed = 0;
};

constexpr auto kReady = ServerEntry::State::kReady;
constexpr auto kDraining = ServerEntry::State::kDraining;

TEST(CallManager, ACallIsEstablishedAndEnds) {
  Harness h;
  EXPECT_EQ(h.subscribed, 1);
  h.set_servers({kReady}, 0);
  const CallId id = h.offer(1);
  ASSERT_EQ(h.sent.size(), 1u);
  h.manager->on_established(id, 0, {}, 1.1);
  ASSERT_EQ(h.answers[id].size(), 1u);
  EXPECT_EQ(h.answers[id][0].kind, SetupResult::Kind::kEstablished);
  EXPECT_EQ(h.manager->established(), 1u);
  EXPECT_TRUE(h.manager->hang_up(id, 5));
  ASSERT_EQ(h.released.size(), 1u);
  EXPECT_TRUE(h.forgotten.count(id));
  EXPECT_EQ(h.manager->established(), 0u);
  EXPECT_FALSE(h.manager->hang_up(id, 6));
}

// The core server reports the end of a call whose answer is late or lost: the call fails immediately and is
// not set up again.
TEST(CallManager, ACallThatEndsBeforeItsAnswerFailsAndIsNotSetUpAgain) {
  Harness h;
  h.set_servers({kReady, kReady}, 0);
  const CallId id = h.offer(1, 8);
  ASSERT_EQ(h.sent.size(), 1u);
  h.manager->on_ended(id, 0, Outcome::kEnded, Cause::kNone, 0, {}, 2);
  ASSERT_EQ(h.answers[id].size(), 1u);
  EXPECT_EQ(h.answers[id][0].kind, SetupResult::Kind::kFailed);
  EXPECT_TRUE(h.released.empty()) << "the server holds nothing";
  EXPECT_TRUE(h.forgotten.count(id));
  h.manager->on_established(id, 0, {}, 3);  // the late answer
  h.advance_to(20);
  EXPECT_EQ(h.sent.size(), 1u);
  EXPECT_EQ(h.answers[id].size(), 1u);
}

// The end arrives over another connection, after the attempt was given up and while the next one is in
// flight.
TEST(CallManager, ACallThatRanInAnEarlierAttemptFailsAndItsCurrentAttemptIsReleased) {
  Harness h;
  h.set_servers({kReady, kReady}, 0);
  const CallId id = h.offer(1, 8);
  h.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 1.2);
  h.advance_to(2);
  ASSERT_EQ(h.sent.size(), 2u);
  h.manager->on_earlier_attempt_ended(id, 2.1);
  ASSERT_EQ(h.answers[id].size(), 1u);
  EXPECT_EQ(h.answers[id][0].kind, SetupResult::Kind::kFailed);
  ASSERT_EQ(h.released.size(), 1u);
  EXPECT_EQ(h.released[0].attempt, 1u);
  const CallId other = h.offer(3, 3);
  h.manager->on_established(other, 0, {}, 3.1);
  h.manager->on_earlier_attempt_ended(other, 3.2);
  EXPECT_EQ(h.manager->established(), 1u) << "an established call is not affected";
}

// The core server accepts set-ups and never answers.
TEST(CallManager, AnUnansweredAttemptIsReleasedAndTheCallAnsweredBeforeItsDeadline) {
  Harness h;
  h.set_servers({kReady}, 0);
  const CallId id = h.offer(1, 2);
  h.advance_to(2.999);
  ASSERT_EQ(h.answers[id].size(), 1u) << "before the caller's deadline";
  EXPECT_NE(h.answers[id][0].kind, SetupResult::Kind::kEstablished);
  ASSERT_EQ(h.released.size(), 1u);
  EXPECT_EQ(h.manager->counters().overdue, 0u);
  EXPECT_EQ(h.manager->counters().timed_out, 1u);
}

TEST(CallManager, LateAndDuplicateAnswersHaveNoEffect) {
  Harness h;
  h.set_servers({kReady}, 0);
  const CallId late = h.offer(1, 2);
  h.advance_to(3);
  h.manager->on_established(late, 0, {}, 3.1);
  EXPECT_EQ(h.answers[late].size(), 1u);
  EXPECT_EQ(h.manager->counters().late_answers, 1u);
  Harness other;
  other.set_servers({kReady}, 0);
  const CallId twice = other.offer(4);
  other.manager->on_established(twice, 0, {}, 4.1);
  other.manager->on_established(twice, 0, {}, 4.2);
  EXPECT_EQ(other.answers[twice].size(), 1u);
  EXPECT_EQ(other.manager->established(), 1u);
}

// A drain and a reset arrive in one iteration of the event loop: in either order, the next attempt goes to
// another server.
TEST(CallManager, ADrainAndAResetInOneLoopIterationSendNothingToTheDrainingServer) {
  for (const bool drain_first : {true, false}) {
    Harness h;
    h.set_servers({kReady, kReady}, 0);
    const CallId id = h.offer(1);
    ASSERT_EQ(h.sent.size(), 1u);
    EXPECT_EQ(h.sent[0].server, 1u);
    if (drain_first) h.set_servers({kDraining, kReady}, 1.2);
    h.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 1.2);
    if (!drain_first) h.set_servers({kDraining, kReady}, 1.2);
    h.advance_to(2);
    ASSERT_EQ(h.sent.size(), 2u);
    EXPECT_EQ(h.sent[1].server, 2u);
  }
}

TEST(CallManager, ARetryWaitsForTheReleaseWait) {
  Harness h;
  h.set_servers({kReady, kReady}, 0);
  const CallId id = h.offer(1);
  h.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 1.2);
  h.advance_to(1.7);
  EXPECT_EQ(h.sent.size(), 1u);
  h.advance_to(1.71);
  EXPECT_EQ(h.sent.size(), 2u);
}

// Guards against reentrancy: an attempt that fails before send_setup() returns must not be reported to the
// Controller from within the action that started it.
TEST(CallManager, WithoutAnyConnectionTheCallIsRefusedOnce) {
  Harness h;
  h.send_result = SendResult::kNoConnection;
  h.set_servers({kReady, kReady, kReady}, 0);
  const CallId id = h.offer(1);
  h.advance_to(4);
  ASSERT_EQ(h.answers[id].size(), 1u);
  EXPECT_EQ(h.answers[id][0].kind, SetupResult::Kind::kRefused);
  EXPECT_EQ(h.manager->pending(), 0u);
  EXPECT_TRUE(h.released.empty()) << "nothing ran";
}

TEST(CallManager, AFullTableRefusesImmediatelyWithARetryAfter) {
  Harness h(10);
  h.set_servers({kReady}, 0);
  for (int i = 0; i < 10; ++i) {
    const CallId id = h.offer(1 + i);
    h.manager->on_established(id, 0, {}, 1.01 + i);
  }
  const CallId excess = h.offer(20);
  ASSERT_EQ(h.answers[excess].size(), 1u);
  EXPECT_EQ(h.answers[excess][0].kind, SetupResult::Kind::kRefused);
  EXPECT_EQ(h.answers[excess][0].retry_after_s, 2);
  EXPECT_TRUE(h.forgotten.count(excess));
  EXPECT_EQ(h.manager->counters().turned_away, 1u);
}

// Requests over a connection in state REOPEN are not served (RFC 3539): the caller is refused immediately and
// advised when to retry.
TEST(CallManager, ACallOverAConnectionInReopenIsRefusedWithARetryAfter) {
  Harness h;
  h.set_servers({kReady}, 0);
  const CallId id = h.manager->next_call_id();
  CallRequest request;
  request.ttl_s = 3;
  request.peer_reopening = true;
  h.manager->offer(id, request, 1);
  ASSERT_EQ(h.answers[id].size(), 1u);
  EXPECT_EQ(h.answers[id][0].kind, SetupResult::Kind::kRefused);
  EXPECT_EQ(h.answers[id][0].retry_after_s, 2);
  EXPECT_TRUE(h.sent.empty());
}

TEST(CallManager, DrainingRefusesNewCallsAndKeepsPendingOnes) {
  Harness h;
  h.set_servers({kReady}, 0);
  const CallId pending = h.offer(1);
  h.manager->drain();
  const CallId later = h.offer(1.1);
  EXPECT_EQ(h.answers[later][0].kind, SetupResult::Kind::kRefused);
  h.manager->on_established(pending, 0, {}, 1.2);
  EXPECT_EQ(h.answers[pending][0].kind, SetupResult::Kind::kEstablished);
}

TEST(CallManager, ACallThatMayRunOnlyOnceFailsAfterAnInDoubtAttempt) {
  Harness h(1000, Effect::kOnce);
  h.set_servers({kReady, kReady}, 0);
  const CallId id = h.offer(1);
  h.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 1.2);
  h.advance_to(4);
  EXPECT_EQ(h.sent.size(), 1u);
  ASSERT_EQ(h.answers[id].size(), 1u);
  EXPECT_EQ(h.answers[id][0].kind, SetupResult::Kind::kFailed);
}

TEST(CallManager, AnAbandonedCallReleasesItsAttempt) {
  Harness h;
  h.set_servers({kReady}, 0);
  const CallId id = h.offer(1);
  EXPECT_TRUE(h.manager->hang_up(id, 1.1));
  ASSERT_EQ(h.released.size(), 1u);
  EXPECT_TRUE(h.answers[id].empty()) << "the front end has answered, or has no one to answer";
  EXPECT_EQ(h.manager->pending(), 0u);
}

TEST(CallManager, ACutIsReportedOnce) {
  Harness h;
  h.set_servers({kReady}, 0);
  const CallId id = h.offer(1);
  h.manager->on_established(id, 0, {}, 1.1);
  h.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 2);
  h.manager->on_ended(id, 0, Outcome::kReset, Cause::kNone, 0, {}, 2);
  EXPECT_EQ(h.cuts, std::vector<CallId>{id});
  EXPECT_FALSE(h.manager->hang_up(id, 3));
}

// In any order of events, each call gets one answer and one attempt at a time, and no state is left behind.
TEST(CallManager, RandomEventsKeepTheInvariants) {
  for (std::uint64_t seed = 0; seed < 60; ++seed) {
    std::mt19937_64 random(seed);
    Harness h(40);
    h.set_servers({kReady, kReady, kReady}, 0);
    // The last attempt and whether it is in flight, as the core side sees it.
    std::map<CallId, std::pair<std::uint32_t, bool>> core_calls;
    double now = 0;
    std::vector<CallId> all;
    std::size_t checked = 0;
    const auto check_sent = [&] {
      for (; checked < h.sent.size(); ++checked) {
        auto& [attempt, in_flight] = core_calls[h.sent[checked].call];
        const bool released = std::any_of(h.released.begin(), h.released.end(), [&](const AttemptRecord& r) {
          return r.call == h.sent[checked].call && r.attempt == attempt;
        });
        EXPECT_FALSE(in_flight && !released) << "two attempts in flight, seed " << seed;
        attempt = h.sent[checked].attempt;
        in_flight = true;
      }
    };
    for (int i = 0; i < 400; ++i) {
      now += static_cast<double>(random() % 100) / 1000;
      h.advance_to(now);
      check_sent();
      const CallId call = all.empty() ? 0 : all[random() % all.size()];
      switch (random() % 8) {
        case 0:
        case 1:
        case 2:
          h.send_result = random() % 10 == 0 ? SendResult::kNoConnection : SendResult::kAccepted;
          all.push_back(h.offer(now, 0.2 + static_cast<double>(random() % 30) / 10));
          break;
        case 3:
        case 4:
          if (core_calls[call].second) h.manager->on_established(call, core_calls[call].first, {}, now);
          core_calls[call].second = false;
          break;
        case 5:
          if (core_calls[call].second) {
            const Outcome outcomes[] = {Outcome::kFull, Outcome::kReset, Outcome::kError,
                                        Outcome::kConnectFailed};
            core_calls[call].second = false;
            h.manager->on_ended(call, core_calls[call].first, outcomes[random() % 4], Cause::kNone, 0, {},
                                now);
          }
          break;
        case 6:
          h.manager->hang_up(call, now);
          break;
        default:
          h.set_servers(
              {random() % 4 == 0 ? kDraining : kReady, kReady, random() % 4 == 0 ? kDraining : kReady}, now);
      }
      check_sent();
    }
    h.advance_to(now + 10);
    const auto counters = h.manager->counters();
    EXPECT_EQ(h.manager->pending(), 0u);
    EXPECT_EQ(counters.overdue, 0u);
    EXPECT_EQ(counters.offered,
              counters.established + counters.refused + counters.failed + counters.abandoned);
    for (const auto& [id, answers] : h.answers) EXPECT_LE(answers.size(), 1u);
    EXPECT_LE(h.manager->timers(), 3u) << "timers must not accumulate";
  }
}

// At the end of the process every pending call gets its one answer, whatever it is waiting for; established
// calls are left alone.
TEST(CallManager, TheEndOfTheProcessAnswersAllPendingCalls) {
  Harness h;
  h.set_servers({ServerEntry::State::kReady}, 0);
  CallRequest request;
  request.ttl_s = 9;
  for (CallId call = 1; call <= 6; ++call) h.manager->offer(h.manager->next_call_id(), request, 0.1);
  ASSERT_GE(h.sent.size(), 2u);
  const AttemptRecord first = h.sent.front();
  h.manager->on_established(first.call, first.attempt, {}, 0.101);
  const std::size_t in_flight = h.sent.size() - 1;
  const std::size_t released = h.released.size();
  h.manager->answer_pending_calls(0.102);
  EXPECT_EQ(h.manager->pending(), 0u);
  EXPECT_EQ(h.manager->established(), 1u);
  EXPECT_EQ(h.released.size(), released + in_flight) << "attempts in flight are released";
  for (CallId call = 1; call <= 6; ++call) ASSERT_EQ(h.answers[call].size(), 1u) << call;
  h.manager->tick(100);
  for (CallId call = 1; call <= 6; ++call) EXPECT_EQ(h.answers[call].size(), 1u) << call;
}

}  // namespace
}  // namespace mintrock::edge
