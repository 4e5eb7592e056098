#include "edge/core_sessions.hpp"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>

namespace mintrock::edge {
namespace {

using Kind = CoreSessions::Answer::Kind;

RecordPtr record(const std::string& session) {
  auto out = std::make_shared<CallRecord>();
  out->session_id = session;
  return out;
}

CoreSessions connected_sessions(std::size_t max_kept = 100) {
  CoreSessions::Settings settings;
  settings.max_kept = max_kept;
  CoreSessions out(settings);
  out.on_connected(1, 0);
  return out;
}

TEST(CoreSessions, ALateSuccessIsReleasedUnlessItsSessionIsInUseAgain) {
  CoreSessions s = connected_sessions();
  s.on_setup_sent({1, 0}, record("a"), 10);
  EXPECT_TRUE(s.end_attempt({1, 0}, "a", 1));
  EXPECT_EQ(s.on_answer(10, "a", true).kind, Kind::kLateEstablished);
  EXPECT_EQ(s.on_answer(10, "a", true).kind, Kind::kUnexpected) << "a duplicate answer";
  s.on_setup_sent({2, 0}, record("b"), 11);
  EXPECT_TRUE(s.end_attempt({2, 0}, "b", 2));
  s.on_setup_sent({2, 1}, record("b"), 12);
  EXPECT_EQ(s.on_answer(11, "b", true).kind, Kind::kLate);
  EXPECT_EQ(s.on_answer(12, "b", true).kind, Kind::kSetup);
  EXPECT_EQ(s.established(), 1u);
}

TEST(CoreSessions, AQueuedSetupNeedsNoRelease) {
  CoreSessions s = connected_sessions();
  s.queue_setup({1, 0}, 3, record("a"), 0);
  EXPECT_FALSE(s.end_attempt({1, 0}, "a", 0.1));
  EXPECT_TRUE(s.take_queued().empty());
  EXPECT_FALSE(s.end_attempt({9, 0}, "none", 0.1));
}

TEST(CoreSessions, EachQueuedSetupHasItsOwnDeadline) {
  CoreSessions s = connected_sessions();
  s.queue_setup({1, 0}, 3, record("a"), 0);
  s.queue_setup({2, 0}, 0.1, record("b"), 0);
  EXPECT_DOUBLE_EQ(s.deadline(), 0.1);
  EXPECT_EQ(s.tick(0.1).no_connection.size(), 1u);
  EXPECT_DOUBLE_EQ(s.deadline(), 0.5);
  EXPECT_EQ(s.tick(0.5).no_connection.size(), 1u);
  EXPECT_GT(s.deadline(), 1e15);
}

TEST(CoreSessions, TheSameProcessKeepsItsCallsAndIsSentMissedReleases) {
  CoreSessions s = connected_sessions();
  s.on_setup_sent({1, 0}, record("established"), 10);
  s.on_answer(10, "established", true);
  s.on_setup_sent({2, 0}, record("in flight"), 11);
  s.on_setup_sent({3, 0}, record("ending"), 12);
  s.on_answer(12, "ending", true);
  EXPECT_TRUE(s.end_attempt({3, 0}, "ending", 1));
  s.on_release_sent(record("ending"), 13, 1);
  const auto ended = s.on_connection_lost(2);
  ASSERT_EQ(ended.size(), 1u) << "the set-up in flight; its answer may be lost";
  EXPECT_EQ(ended[0].call, 2u);
  const auto reconnection = s.on_connected(1, 3);
  EXPECT_TRUE(reconnection.cut.empty());
  std::set<std::string> sessions;
  for (const auto& each : reconnection.releases_to_send) sessions.insert(each->session_id);
  EXPECT_EQ(sessions, (std::set<std::string>{"in flight", "ending"}));
  EXPECT_EQ(s.established(), 1u);
  EXPECT_GT(s.deadline(), 1e15) << "no hold time is running any more";
}

TEST(CoreSessions, ANewProcessHasLostAllCalls) {
  CoreSessions s = connected_sessions();
  s.on_setup_sent({1, 0}, record("established"), 10);
  s.on_answer(10, "established", true);
  s.on_setup_sent({2, 0}, record("in flight"), 11);
  s.on_connection_lost(2);
  const auto reconnection = s.on_connected(2, 3);
  ASSERT_EQ(reconnection.cut.size(), 1u);
  EXPECT_EQ(reconnection.cut[0].call, 1u);
  EXPECT_TRUE(reconnection.releases_to_send.empty()) << "the new process holds nothing";
  EXPECT_EQ(s.pending_releases(), 0u);
}

// A caller ends a call that a previous process of the proxy set up, before the server's connection is
// established.
TEST(CoreSessions, PendingReleasesAreSentOnFirstContact) {
  CoreSessions s{CoreSessions::Settings{}};
  s.queue_release(record("of a previous process"), 0);
  EXPECT_EQ(s.on_connected(7, 1).releases_to_send.size(), 1u);
}

TEST(CoreSessions, TheHoldTimeCutsCallsAndQueuesTheirReleases) {
  CoreSessions s = connected_sessions();
  s.on_setup_sent({1, 0}, record("established"), 10);
  s.on_answer(10, "established", true);
  s.on_connection_lost(2);
  EXPECT_DOUBLE_EQ(s.deadline(), 4);
  EXPECT_TRUE(s.tick(3.9).cut.empty());
  EXPECT_EQ(s.tick(4).cut.size(), 1u);
  EXPECT_EQ(s.on_connected(1, 5).releases_to_send.size(), 1u) << "the process was alive all the time";
}

TEST(CoreSessions, PendingReleasesAreDroppedByAgeAndNumber) {
  CoreSessions s = connected_sessions(10);
  for (int i = 0; i < 50; ++i) s.queue_release(record(std::to_string(i)), 0);
  EXPECT_EQ(s.pending_releases(), 10u);
  EXPECT_TRUE(s.on_connected(1, 31).releases_to_send.empty());
  // Given-up requests whose answers never arrive are dropped, too.
  for (std::uint32_t i = 0; i < 50; ++i) {
    s.on_setup_sent({i, 0}, record("x" + std::to_string(i)), 100 + i);
    s.end_attempt({i, 0}, "x" + std::to_string(i), 40);
  }
  EXPECT_LE(s.pending_requests(), 11u);
}

TEST(CoreSessions, AnAbortEndsASetupAndItsAnswerIsLate) {
  CoreSessions s = connected_sessions();
  s.on_setup_sent({1, 0}, record("a"), 10);
  EXPECT_EQ(s.on_abort("a", 1)->call, 1u);
  EXPECT_FALSE(s.on_abort("a", 1));
  EXPECT_EQ(s.on_answer(10, "a", false).kind, Kind::kLate);
}

// A server answers, loses its connection, restarts and reconnects at random: each attempt ends exactly once,
// and in the end the server holds nothing that was not released.
TEST(CoreSessions, RandomConnectionLossesLeaveNothingBehind) {
  for (std::uint64_t seed = 0; seed < 300; ++seed) {
    std::mt19937_64 random(seed);
    CoreSessions s = connected_sessions(10000);
    std::uint32_t state = 1, hop = 0;
    bool connected = true;
    std::set<std::string> held;                           // sessions at the server
    std::map<std::uint32_t, std::string> asked, answers;  // set-ups in flight, answers in flight
    std::map<CallId, int> ended, started;
    std::vector<CallId> established_calls;
    double now = 0;
    const auto end = [&](const std::vector<CoreSessions::Attempt>& attempts) {
      for (const auto& each : attempts) ended[each.call] += 1;
    };
    const auto release = [&](const std::string& session) {
      if (!connected) return s.queue_release(record(session), now);
      s.on_release_sent(record(session), ++hop, now);
      if (random() % 4 != 0)
        held.erase(session);  // otherwise lost with the connection, which breaks immediately
      else {
        end(s.on_connection_lost(now));
        connected = false;
      }
    };
    const auto reconnect = [&] {
      if (connected) return;
      connected = true;
      if (random() % 4 == 0) {
        state += 1;
        held.clear();
      }
      const auto reconnection = s.on_connected(state, now);
      end(reconnection.cut);
      for (const auto& each : reconnection.releases_to_send) {
        s.on_release_sent(each, ++hop, now);
        held.erase(each->session_id);
        s.on_answer(hop, each->session_id, false);
      }
    };
    for (CallId call = 1; call <= 60; ++call) {
      now += 0.01;
      reconnect();
      const std::string session = "s" + std::to_string(call);
      s.on_setup_sent({call, 0}, record(session), ++hop);
      started[call] = 1;
      const std::uint32_t setup_hop = hop;
      if (random() % 5 != 0) held.insert(session);
      const bool established = held.count(session) != 0;
      switch (random() % 4) {
        case 0: {  // answered
          const auto answer = s.on_answer(setup_hop, session, established);
          EXPECT_EQ(answer.kind, Kind::kSetup);
          if (!established) ended[call] += 1;
          break;
        }
        case 1:  // given up and answered late
          if (s.end_attempt({call, 0}, session, now)) release(session);
          ended[call] += 1;
          if (connected && s.on_answer(setup_hop, session, established).kind == Kind::kLateEstablished)
            release(session);
          break;
        case 2:  // the connection is lost while it is in flight
          end(s.on_connection_lost(now));
          connected = false;
          break;
        default:  // established and ended by its caller
          if (s.on_answer(setup_hop, session, established).kind == Kind::kSetup && !established) {
            ended[call] += 1;
          } else if (s.end_attempt({call, 0}, session, now)) {
            ended[call] += 1;
            release(session);
          }
      }
    }
    // The callers end all calls that are still established.
    reconnect();
    for (CallId call = 1; call <= 60; ++call) {
      const std::string session = "s" + std::to_string(call);
      if (!s.end_attempt({call, 0}, session, now)) continue;
      ended[call] += 1;
      s.on_release_sent(record(session), ++hop, now);
      held.erase(session);
    }
    end(s.on_connection_lost(now));
    connected = false;
    reconnect();
    for (const auto& [call, times] : started)
      EXPECT_EQ(ended[call], 1) << "call " << call << ", seed " << seed;
    EXPECT_TRUE(held.empty()) << held.size() << " left at the server, seed " << seed;
    EXPECT_EQ(s.in_flight() + s.established(), 0u);
  }
}

}  // namespace
}  // namespace mintrock::edge
