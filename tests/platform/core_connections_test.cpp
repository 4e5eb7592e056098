// The links to one core server against a scripted network, at virtual times.
#include "platform/core_connections.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "platform/caller_codec.hpp"

namespace mintrock::platform {
namespace {

constexpr ServerId kServer = 3;

struct World : CoreConnectionsDelegate {
  explicit World(std::size_t most = 4) : links(kServer, {0.5, most}, *this, counts) {
    links.set_state(ServerEntry::State::kReady, 0);
  }
  ConnectionId connect_core(ServerId) override {
    begun.push_back(++last);
    return last;
  }
  void send_to_core(ConnectionId to, std::string_view bytes) override { sent[to] += bytes; }
  void close_core(ConnectionId which) override { closed.push_back(which); }
  void retire_core(ConnectionId which) override { retired.push_back(which); }
  void core_stood(const Attempt& who, std::string description, const Report&) override {
    events.push_back("stood " + std::to_string(who.call) + "/" + std::to_string(who.attempt) + " " +
                     description);
  }
  void core_ended(const Attempt& who, Outcome outcome, Cause cause, double, const Report&) override {
    if (on_ended) on_ended();
    events.push_back("ended " + std::to_string(who.call) + "/" + std::to_string(who.attempt) + " " +
                     std::to_string(static_cast<int>(outcome)) + " " +
                     std::to_string(static_cast<int>(cause)));
  }
  void core_over(ServerId, std::uint64_t id, bool cut, const Report&) override {
    events.push_back((cut ? "cut " : "over ") + std::to_string(id));
  }
  void core_load(ServerId, const Report& report) override { loads.push_back(report); }
  void core_fault(ServerId, const char* what) override { faults.push_back(what); }
  void core_run_over(const Attempt& who) override {
    events.push_back("run over " + std::to_string(who.call));
  }
  void core_gone(ServerId, const char*, std::size_t) override {}
  void core_connection(ServerId, ConnectionId, ConnectionChange) override {}
  void core_message(ServerId, ConnectionId, const CoreMessage&, MessageOwner) override {}

  void all_up(double now) {
    for (const ConnectionId each : std::exchange(begun, {})) links.up(each, now);
  }
  void set_up(CallId call, std::uint32_t attempt, std::uint64_t id, double now) {
    links.set_up({call, attempt}, id, "setup " + std::to_string(id) + "\n", now);
  }
  void say(ConnectionId on, const std::string& type, std::uint64_t id, const std::string& rest, double now) {
    links.received(on, "{\"type\":\"" + type + "\",\"id\":\"" + hex_id(id) + "\"" + rest + "}\n", now);
  }
  void answer(ConnectionId on, std::uint64_t id, double now) {
    say(on, "answer", id, ",\"sdp\":\"v=0\"", now);
  }
  void speak(ConnectionId on, double now) { say(on, "state", 0, "", now); }
  // The server speaks on this connection every tenth of a second and closes what is retired, until `done`:
  // when that was.
  double speak_until(ConnectionId on, double now, double end, const std::function<bool()>& done) {
    for (; now < end && !done(); now += 0.1) {
      speak(on, now);
      links.tick(now);
      for (const ConnectionId each : std::exchange(retired, {}))
        links.down(each, ConnectionLoss::kEnded, now);
    }
    return now;
  }
  // Call 1 stands here, as 11, while nothing else is out.
  void stand() {
    all_up(0);
    set_up(1, 0, 11, 0);
    answer(where(11), 11, 0.1);
    events.clear();
  }
  using Fate = std::function<void(ConnectionId, double now)>;
  // Turns as they fall due, a second apart at most, until `done`: when that was. What is begun meets its
  // fate.
  double run(double now, double end, const Fate& fate, const std::function<bool()>& done) {
    while (now < end && !done()) {
      now = std::max(now + 0.001, std::min(links.deadline(), now + 1));
      links.tick(now);
      for (const ConnectionId each : std::exchange(begun, {})) fate(each, now);
    }
    return now;
  }
  const Fate refused = [this](ConnectionId each, double now) {
    links.down(each, ConnectionLoss::kRefused, now);
  };
  const Fate silence = [](ConnectionId, double) {};
  // The connection on which this set-up was written last.
  ConnectionId where(std::uint64_t id) const {
    for (const auto& [on, bytes] : sent) {
      if (bytes.find("setup " + std::to_string(id) + "\n") != std::string::npos) return on;
    }
    return 0;
  }
  std::size_t releases(std::uint64_t id) const {
    std::size_t count = 0;
    for (const auto& [on, bytes] : sent) {
      const std::string line = write_core_release(id, 16);
      for (std::size_t at = bytes.find(line); at != std::string::npos; at = bytes.find(line, at + 1)) ++count;
    }
    return count;
  }
  static std::string ended(CallId call, std::uint32_t attempt, Outcome outcome, Cause cause = Cause::kNone) {
    return "ended " + std::to_string(call) + "/" + std::to_string(attempt) + " " +
           std::to_string(static_cast<int>(outcome)) + " " + std::to_string(static_cast<int>(cause));
  }

  ConnectionId last = 0;
  std::vector<ConnectionId> begun, closed, retired;
  std::map<ConnectionId, std::string> sent;
  std::vector<std::string> events, faults;
  std::vector<Report> loads;
  std::function<void()> on_ended;
  CoreCounters counts;
  CoreConnections links;
};

TEST(CoreConnections, AReadyServerIsConnectedToAndTellsItsState) {
  World w;
  EXPECT_EQ(w.begun.size(), 2u);
  w.all_up(0.1);
  w.links.received(1, "{\"type\":\"state\",\"fields\":{\"load\":\"spare:7;total:9;mean_ms:-1\"}}\n", 0.1);
  ASSERT_EQ(w.loads.size(), 1u);
  EXPECT_EQ(w.loads[0].spare, 7);
}

TEST(CoreConnections, ASetupWaitsForItsConnectionAndEachGetsOneOfItsOwn) {
  World w;
  w.set_up(1, 0, 11, 0.05);
  EXPECT_EQ(w.where(11), 0u);
  w.all_up(0.1);
  EXPECT_NE(w.where(11), 0u);
  for (std::uint64_t id = 12; id <= 14; ++id) w.set_up(1, 0, id, 0.2);
  w.all_up(0.3);
  std::set<ConnectionId> used;
  for (std::uint64_t id = 11; id <= 14; ++id) used.insert(w.where(id));
  EXPECT_EQ(used.size(), 4u);
  w.set_up(1, 0, 15, 0.4);
  EXPECT_TRUE(w.begun.empty()) << "no more than the bound";
  EXPECT_NE(w.where(15), 0u);
}

TEST(CoreConnections, AnAnswerStandsAndItsSecondCopyIsNothing) {
  World w;
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.answer(w.where(11), 11, 0.1);
  w.answer(w.where(11), 11, 0.1);
  EXPECT_EQ(w.events, std::vector<std::string>{"stood 1/0 v=0"});
  EXPECT_EQ(w.counts.doubled, 1u);
  EXPECT_EQ(w.links.standing(), 1u);
  w.say(2, "release", 11, ",\"cause\":16", 0.2);  // on any connection
  EXPECT_EQ(w.events.back(), "over 11");
  EXPECT_TRUE(w.links.idle());
}

TEST(CoreConnections, AnAnswerUnderAnUnknownIdInFrontDoesNoHarm) {
  World w;
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.answer(w.where(11), 999, 0.1);
  w.answer(w.where(11), 11, 0.1);
  EXPECT_EQ(w.events, std::vector<std::string>{"stood 1/0 v=0"});
  EXPECT_EQ(w.counts.stranger, 1u);
}

TEST(CoreConnections, RefusalsAreToldWithTheirCauseAndLoad) {
  World w;
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.say(w.where(11), "release", 11, ",\"cause\":34,\"fields\":{\"note\":\"all_trunks_busy\"}", 0.1);
  EXPECT_EQ(w.events, std::vector<std::string>{World::ended(1, 0, Outcome::kFull, Cause::kNoLine)});
  EXPECT_EQ(w.releases(11), 0u) << "it never ran";
  EXPECT_TRUE(w.links.idle());
}

// Guards against a late answer that stands at the server for ever, or is passed on.
TEST(CoreConnections, ASetupGivenUpIsReleasedOnItsConnectionAndItsLateAnswerIsNothing) {
  World w;
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  const ConnectionId on = w.where(11);
  w.links.give_up(11, 1);
  EXPECT_NE(w.sent[on].find(write_core_release(11, 16)), std::string::npos);
  w.answer(on, 11, 1.1);
  EXPECT_TRUE(w.events.empty());
  EXPECT_EQ(w.counts.late, 1u);
  EXPECT_TRUE(w.links.idle());
}

TEST(CoreConnections, ARetryAtTheSameServerIsNotItsEarlierAttempt) {
  World w;
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  const ConnectionId first = w.where(11);
  w.set_up(2, 0, 12, 0);  // takes the other connection
  w.links.give_up(11, 1);
  w.sent.clear();
  w.set_up(3, 0, 13, 1);  // takes the first one
  w.set_up(1, 1, 11, 1.5);
  w.all_up(1.5);
  const ConnectionId second = w.where(11);
  ASSERT_NE(second, first);
  w.answer(first, 11, 1.6);  // of the attempt that was given up
  EXPECT_TRUE(w.events.empty());
  w.answer(second, 11, 1.7);
  EXPECT_EQ(w.events, std::vector<std::string>{"stood 1/1 v=0"});
}

// One spoilt answer: the connection goes, each set-up on it is a reset once, what stands stays.
TEST(CoreConnections, ASpoiltLineClosesItsConnectionAloneAndReleasesWhatWasOut) {
  World w(2);
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.set_up(2, 0, 12, 0);
  w.set_up(3, 0, 13, 0);  // shares a connection with the first
  ASSERT_EQ(w.where(13), w.where(11));
  const ConnectionId bad = w.where(11);
  w.links.received(bad, "\x01\x02 noise\n", 0.1);
  EXPECT_EQ(w.closed, std::vector<ConnectionId>{bad});
  EXPECT_EQ(w.events, (std::vector<std::string>{World::ended(1, 0, Outcome::kReset),
                                                World::ended(3, 0, Outcome::kReset)}));
  EXPECT_EQ(w.releases(11), 1u);
  EXPECT_EQ(w.releases(13), 1u);
  w.answer(bad, 11, 0.2);
  EXPECT_EQ(w.events.size(), 2u) << "nothing that comes after it is passed on";
  EXPECT_EQ(w.links.out(), 1u);
  EXPECT_EQ(w.counts.spoilt, 1u);
}

// The end of one set-up may make the desk give up another on the connection that is just being left.
TEST(CoreConnections, WhatIsGivenUpWhileItsConnectionGoesLeavesNothing) {
  World w(1);
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.set_up(2, 0, 12, 0);
  w.on_ended = [&] {
    w.on_ended = nullptr;
    w.links.give_up(12, 0.1);
  };
  w.links.down(1, ConnectionLoss::kEnded, 0.1);
  EXPECT_EQ(w.events, std::vector<std::string>{World::ended(1, 0, Outcome::kReset)});
  EXPECT_EQ(w.links.out(), 0u);
  EXPECT_LE(w.links.connections(), 1u) << "no connection that was never opened";
  w.links.tick(0.3);
  w.all_up(0.3);
  EXPECT_EQ(w.links.owed(), 0u);
  EXPECT_EQ(w.links.connections(), 1u);
}

TEST(CoreConnections, ALineThatNeverEndsClosesItsConnection) {
  World w;
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  const ConnectionId on = w.where(11);
  for (int i = 0; i < 20 && w.closed.empty(); ++i) w.links.received(on, std::string(1000, 'x'), 0.1);
  EXPECT_EQ(w.closed, std::vector<ConnectionId>{on});
  EXPECT_EQ(w.events, std::vector<std::string>{World::ended(1, 0, Outcome::kReset)});
}

TEST(CoreConnections, ALostConnectionIsAResetAndIsMadeAnewForTheRelease) {
  World w(1);
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.links.down(1, ConnectionLoss::kEnded, 0.1);
  EXPECT_EQ(w.events, std::vector<std::string>{World::ended(1, 0, Outcome::kReset)});
  EXPECT_EQ(w.links.owed(), 1u);
  w.links.tick(0.3);
  ASSERT_EQ(w.begun.size(), 1u);
  w.set_up(2, 0, 12, 0.3);
  w.all_up(0.4);
  EXPECT_EQ(w.sent[2].find(write_core_release(11, 16)), 0u) << "before anything new";
  EXPECT_NE(w.where(12), 0u);
  EXPECT_EQ(w.links.owed(), 0u);
}

TEST(CoreConnections, WhatStandsOutlivesItsConnection) {
  World w(1);
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.answer(1, 11, 0.1);
  w.events.clear();
  w.links.down(1, ConnectionLoss::kEnded, 0.2);
  w.links.tick(0.4);
  w.all_up(0.4);
  EXPECT_TRUE(w.events.empty());
  w.say(2, "release", 11, ",\"cause\":41", 0.5);
  EXPECT_EQ(w.events, std::vector<std::string>{"cut 11"});
}

TEST(CoreConnections, ARefusedConnectionMeansThatNothingRanAndWhatStoodWasCut) {
  World w(1);
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.answer(1, 11, 0.1);
  w.events.clear();
  w.links.down(1, ConnectionLoss::kEnded, 0.2);
  w.set_up(2, 0, 12, 0.4);
  const ConnectionId next = w.begun.back();
  w.links.down(next, ConnectionLoss::kRefused, 0.4);
  ASSERT_EQ(w.events.size(), 2u);
  EXPECT_EQ(w.events[0], "cut 11");
  EXPECT_EQ(w.events[1], World::ended(2, 0, Outcome::kConnectFailed));
  EXPECT_TRUE(w.links.idle());
}

// Sockets, disco, seed 11: a process went, its address refused connections, and one old connection stayed
// open and quiet. Its 60 calls were held to stand, for good. Churn, seed 21: cut at the first refusal, 152
// calls were released that still stood at servers that drained.
// Trials with five proxies: a process died with an answer pending, its set-up was a reset and was made again
// elsewhere, and nobody was told of the end of the run that nobody saw.
TEST(CoreConnections, WhatMayHaveStoodUnseenIsOverWithItsProcess) {
  World w;
  w.stand();
  for (CallId call = 2; call <= 5; ++call) w.set_up(call, 0, 10 + call, 0.2);
  w.all_up(0.2);
  w.links.give_up(13, 0.25);
  w.links.give_up(14, 0.25);
  w.say(w.where(14), "released", 14, "", 0.26);
  w.links.down(w.where(12), ConnectionLoss::kEnded, 0.3);
  EXPECT_EQ(w.events, std::vector<std::string>{World::ended(2, 0, Outcome::kReset)})
      << "it may be there still";
  w.events.clear();
  for (ConnectionId each = 1; each <= 5; ++each) w.links.down(each, ConnectionLoss::kEnded, 0.31);
  w.run(0.31, 2, w.refused, [&] { return !w.links.standing(); });
  const std::vector<std::string> over = {World::ended(5, 0, Outcome::kReset), "cut 11", "run over 3",
                                         "run over 2", "run over 5"};
  EXPECT_EQ(w.events, over) << "14 was heard to be released";
}

// The next attempt of the call waits at the same server when its process is found to be gone: told first, its
// failure would be a refusal, as of a call that never ran.
TEST(CoreConnections, WhatMayHaveStoodUnseenIsOverBeforeItsNextAttemptFails) {
  World w;
  w.all_up(0);
  w.set_up(2, 0, 12, 0.1);
  w.links.down(1, ConnectionLoss::kEnded, 0.2);
  w.links.down(2, ConnectionLoss::kEnded, 0.2);
  w.set_up(2, 1, 12, 0.3);
  w.events.clear();
  w.links.down(w.last - 1, ConnectionLoss::kRefused, 0.31);
  EXPECT_EQ(w.events, (std::vector<std::string>{"run over 2", World::ended(2, 1, Outcome::kConnectFailed)}));
}

// A drained server that ends long after a set-up was given up there holds nothing of it.
TEST(CoreConnections, WhatWasGivenUpAtAServerThatSpokeSinceIsNotOverWithItsProcess) {
  World w;
  w.stand();
  w.set_up(2, 0, 12, 0.2);
  w.all_up(0.2);
  w.links.give_up(12, 0.3);
  w.speak_until(1, 0.4, 2, [] { return false; });
  for (ConnectionId each = 1; each <= 3; ++each) w.links.down(each, ConnectionLoss::kEnded, 2);
  w.run(2, 4, w.refused, [&] { return !w.links.standing(); });
  EXPECT_EQ(w.events, std::vector<std::string>{"cut 11"});
}

TEST(CoreConnections, ARefusalBesideAQuietConnectionCountsOnlyAfterAWhile) {
  World w;
  w.stand();
  const double now = w.run(0.1, 8, w.refused, [&] { return !w.events.empty(); });
  EXPECT_EQ(w.events, std::vector<std::string>{"cut 11"});
  EXPECT_GT(now, 4);
  EXPECT_LT(now, 7);
}

// A server that goes on speaking has only taken enough connections.
TEST(CoreConnections, ARefusedConnectionOfAServerThatSpeaksCutsNothing) {
  World w;
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.answer(w.where(11), 11, 0.1);
  w.set_up(2, 0, 12, 0.2);
  w.set_up(3, 0, 13, 0.2);
  w.set_up(4, 0, 14, 0.2);  // needs a new connection
  ASSERT_FALSE(w.begun.empty());
  w.links.down(w.begun.back(), ConnectionLoss::kRefused, 0.3);
  EXPECT_EQ(w.links.standing(), 1u);
}

// join+mass, seed 2: a server that stopped refused connections from 12.46 s and still answered a set-up that
// was out at 14.76 s; a call that had ended with its stop at 11.46 s was told over at 19.76 s.
TEST(CoreConnections, LateAnswersOfAServerThatStopsPutNoEndsOff) {
  World w;
  w.stand();
  w.set_up(2, 0, 12, 0.2);
  w.say(1, "state", 0, "", 1.0);
  w.run(1.0, 4.3, w.refused, [] { return false; });
  w.answer(w.where(12), 12, 4.3);
  const double now = w.run(4.3, 12, w.refused, [&] { return w.links.standing() == 0; });
  EXPECT_EQ(std::count(w.events.begin(), w.events.end(), "cut 11"), 1);
  EXPECT_GE(now, 6.0);
  EXPECT_LT(now, 7.5);
}

// It holds as many connections as it can: what is refused there is no dead server.
TEST(CoreConnections, AFullServerThatTellsItsStateKeepsItsCalls) {
  World w;
  w.stand();
  for (double now = 1; now < 30; now += 1) {
    w.say(w.where(11), "state", 0, "", now);
    w.run(now, now + 1, w.refused, [] { return false; });
  }
  EXPECT_TRUE(w.events.empty());
  EXPECT_EQ(w.links.standing(), 1u);
}

// A server repeats an end on the next connection that is opened. The end may go down with the one that it was
// told on (split+mass), or in a cut; the others, kept for what is out on them, speak as if nothing had been.
TEST(CoreConnections, AfterALossOrACutANewConnectionIsOpenedThoughOthersSpeak) {
  for (const bool cut : {false, true}) {
    World w;
    w.stand();
    for (std::uint64_t id = 12; id <= 14; ++id) w.set_up(static_cast<CallId>(id), 0, id, 0.1);
    w.all_up(0.2);
    double now = 0.3;
    if (cut) {
      now = w.run(now, 4.5, w.silence, [] { return false; });
    } else {
      w.links.down(w.where(12), ConnectionLoss::kEnded, now);
    }
    w.events.clear();
    w.begun.clear();
    for (const double end = now + 2; now < end && w.begun.empty(); now += 0.05) {
      for (std::uint64_t id = 13; id <= 14; ++id) w.say(w.where(id), "state", 0, "", now);
      w.links.tick(now);
    }
    ASSERT_FALSE(w.begun.empty()) << cut;
    w.all_up(now);
    w.say(w.last, "release", 11, ",\"cause\":16", now);
    EXPECT_EQ(w.events, std::vector<std::string>{"over 11"});
  }
}

// Connections that came up before the loss, or that the server speaks on only later, were opened before ends
// that may have been lost; the repeat comes on one that is opened after them. The server speaks all the while
// on another connection: nothing but the doubt asks for a new one.
TEST(CoreConnections, OnlyAConnectionThatIsBegunAfterTheLossAndSpeaksAtOnceBringsLostEnds) {
  World w;
  w.stand();
  w.speak(1, 0.1);
  w.speak(2, 0.1);
  for (std::uint64_t id = 12; id <= 14; ++id) w.set_up(static_cast<CallId>(id), 0, id, 0.2);
  const ConnectionId before = w.last;
  w.links.down(w.where(11), ConnectionLoss::kEnded, 0.3);
  w.links.up(before, 0.35);
  w.speak(before, 0.36);
  double now = w.speak_until(before, 0.36, 2.0, [&] { return w.last > before; });
  ASSERT_GT(w.last, before) << "one begun before the loss proves nothing";
  const ConnectionId late = w.last;
  w.links.up(late, now);
  now = w.speak_until(before, now, now + 0.8, [] { return false; });
  w.speak(late, now);
  now = w.speak_until(before, now, now + 2, [&] { return w.last > late; });
  ASSERT_GT(w.last, late) << "nor does one that is spoken on late";
  const ConnectionId prompt = w.last;
  w.links.up(prompt, now);
  w.speak(prompt, now + 0.05);
  w.speak_until(prompt, now + 0.05, now + 5, [] { return false; });
  EXPECT_EQ(w.last, prompt) << "then it is settled";
}

// Soak seed 164: an edge proxy restarted just before the end of a silence took the connections that it had
// opened in it for proof that lost ends had come. The server learns of its former life's end only then.
TEST(CoreConnections, AfterARestartOnlyAConnectionThatIsBegunOnceTheServerWasHeardBringsLostEnds) {
  World w;
  w.all_up(0);
  w.links.take_over(11);
  constexpr double heard = 0.15;  // promptly on each
  w.links.tick(0.1);
  for (const ConnectionId each : std::exchange(w.begun, {})) w.links.up(each, 0.1);
  const ConnectionId before = w.last;
  for (ConnectionId each = 1; each <= before; ++each) w.speak(each, heard);
  const double now = w.speak_until(1, heard, heard + 2, [&] { return w.last > before; });
  ASSERT_GT(w.last, before) << "none begun before the first word proves anything";
  const ConnectionId after = w.last;
  w.links.up(after, now);
  w.say(after, "release", 11, ",\"cause\":16", now);
  EXPECT_EQ(w.events, std::vector<std::string>{"over 11"});
  w.links.take_over(12);
  w.speak_until(after, now, now + 5, [] { return false; });
  EXPECT_EQ(w.last, after) << "then it is settled";
}

TEST(CoreConnections, AProxyWithoutCallsOfAFormerLifeNeedsNoFurtherConnection) {
  World w;
  w.stand();
  const ConnectionId first = w.last;
  w.speak_until(1, 0.15, 5, [] { return false; });
  EXPECT_EQ(w.last, first);
}

// One that makes room is read until the server ends it, by a reset too: a doubt then would ask for the next
// connection, which makes room again, without end. Where its bytes can't be read, an end may go down with it.
TEST(CoreConnections, ARetiredConnectionLeavesADoubtOnlyWhereItIsUnreadable) {
  for (const bool unreadable : {false, true}) {
    World w;
    w.stand();
    w.speak(1, 0.1);
    w.speak(2, 0.1);
    w.links.down(w.where(11), ConnectionLoss::kEnded, 0.2);
    w.links.tick(0.25);
    const ConnectionId late = w.last;
    w.links.up(late, 0.25);
    const ConnectionId other = w.where(11) == 1 ? 2 : 1;
    double now = 0.3;
    for (; now < 3 && w.retired.empty(); now += 0.1) {
      w.speak(other, now);
      if (now > 0.5) w.speak(late, now);
      w.links.tick(now);
    }
    ASSERT_EQ(w.retired.size(), 1u);
    const ConnectionId retired = std::exchange(w.retired, {})[0];
    const ConnectionId settling = w.last;
    w.links.up(settling, now);
    w.speak(settling, now);
    if (unreadable) {
      w.links.received(retired, "noise\n", now);
    } else {
      w.links.down(retired, ConnectionLoss::kEnded, now);
    }
    w.speak_until(settling, now, now + 4, [&] { return w.last > settling; });
    EXPECT_EQ(w.last > settling, unreadable);
  }
}

// The list or the address has given it up, and its connections stay open and silent: nothing else will tell.
TEST(CoreConnections, SilentConnectionsOfAServerThatLeftEndItsCallsInTime) {
  for (const bool moved : {false, true}) {
    World w;
    w.stand();
    w.say(1, "state", 0, "", 0.2);
    w.links.set_state(ServerEntry::State::kGone, 0.5);
    if (moved) w.links.moved_away(0.5);
    const double now = w.run(
        0.5, 8, [&](ConnectionId each, double at) { w.links.up(each, at); },
        [&] { return !w.events.empty(); });
    EXPECT_EQ(w.events, std::vector<std::string>{"cut 11"}) << moved;
    EXPECT_LT(now, 7) << moved;
    EXPECT_EQ(w.releases(11), 1u) << "should it be there after all";
  }
}

// Something takes connections in its place and ends them: no refusal, no silence, and nobody there.
TEST(CoreConnections, ConnectionsThatEndWithoutAWordMeanThatTheProcessIsGone) {
  World w;
  w.stand();
  w.say(1, "state", 0, "", 0.2);
  w.links.down(1, ConnectionLoss::kEnded, 0.3);
  w.links.down(2, ConnectionLoss::kEnded, 0.3);
  const auto fate = [&](ConnectionId each, double at) {
    w.links.up(each, at);
    w.links.down(each, ConnectionLoss::kEnded, at);
  };
  const double now = w.run(0.3, 8, fate, [&] { return w.links.standing() == 0; });
  EXPECT_EQ(std::count(w.events.begin(), w.events.end(), "cut 11"), 1);
  EXPECT_GT(now, 4);
  EXPECT_LT(now, 7);
}

// A release may go down with the connection that it was written on, and its call would stand for ever.
TEST(CoreConnections, AReleaseInDoubtIsSentAgainUnlessItWasHeard) {
  for (const bool heard : {false, true}) {
    World w;
    w.stand();
    w.links.give_up(11, 0.5);
    ASSERT_EQ(w.releases(11), 1u);
    if (heard) w.say(1, "released", 11, "", 0.55);
    w.links.down(1, ConnectionLoss::kEnded, 0.6);
    EXPECT_EQ(w.releases(11), heard ? 1u : 2u);
    w.links.down(2, ConnectionLoss::kEnded, 3);  // the second one had time to arrive
    w.all_up(3.5);
    EXPECT_EQ(w.releases(11), heard ? 1u : 2u);
  }
}

// Reset days with five proxies, seed 1: the release of a lost attempt was repeated after the call stood there
// by the next attempt, and cut it.
TEST(CoreConnections, TheReleaseOfAnEarlierAttemptIsNotRepeatedOnceTheCallStands) {
  for (const bool stands : {false, true}) {
    World w;
    w.all_up(0);
    w.set_up(1, 0, 11, 0);
    const ConnectionId first = w.where(11);
    w.links.down(first, ConnectionLoss::kEnded, 0.2);
    ASSERT_EQ(w.releases(11), 1u);
    const ConnectionId carrier = first == 1 ? 2 : 1;
    w.set_up(1, 1, 11, 0.7);
    w.all_up(0.7);
    const ConnectionId second = w.sent[carrier].find("setup 11") != std::string::npos ? carrier : w.last;
    if (stands) w.answer(second, 11, 0.75);
    w.set_up(2, 0, 12, 0.8);
    w.all_up(0.8);
    w.links.down(carrier, ConnectionLoss::kEnded, 0.9);
    EXPECT_EQ(w.releases(11), stands || second != carrier ? 1u : 2u) << stands;
  }
}

// Days with five proxies: an attempt stayed out for 9 s at a server that took no connections and said
// nothing; its call had stood and ended there meanwhile.
TEST(CoreConnections, AttemptsAtAServerThatIsQuietAndTakesNoConnectionsAreGivenUp) {
  World w;
  w.stand();
  w.set_up(2, 0, 12, 1);
  w.say(1, "state", 0, "", 1);
  const double now = w.run(1, 8, w.refused, [&] { return w.links.out() == 0; });
  EXPECT_EQ(w.events, std::vector<std::string>{World::ended(2, 0, Outcome::kReset)});
  EXPECT_EQ(w.releases(12), 1u);
  EXPECT_GE(now, 2.5) << "it may be full";
  EXPECT_LT(now, 4);
  EXPECT_EQ(w.links.standing(), 1u) << "what stands is waited for";
}

// An attempt was given up on one connection, and the call stood after all, by another.
TEST(CoreConnections, TheEndOfACallThatStandsIsHeardWhereAnAttemptOfItWasGivenUp) {
  World w;
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  const ConnectionId first = w.where(11);
  w.links.give_up(11, 0.5);
  for (CallId other = 2; other <= 3; ++other) w.set_up(other, 0, 10 + other, 0.6);  // on both
  w.set_up(1, 1, 11, 0.7);
  w.all_up(0.7);
  const ConnectionId second = w.last;
  ASSERT_NE(w.sent[second].find("setup 11"), std::string::npos);
  w.answer(second, 11, 0.8);
  w.events.clear();
  w.links.down(second, ConnectionLoss::kEnded, 0.9);
  w.say(first, "release", 11, ",\"cause\":16", 1);
  EXPECT_EQ(w.events, std::vector<std::string>{"over 11"});
}

// A vanished machine: open connections stay open and quiet, new ones never come up. Told within 8 s.
TEST(CoreConnections, AVanishedMachineIsFoundOutByConnectionsThatNeverComeUp) {
  World w;
  w.stand();
  const double now = w.run(0.1, 8, w.silence, [&] { return !w.events.empty(); });
  EXPECT_EQ(w.events, std::vector<std::string>{"cut 11"});
  EXPECT_LT(now, 7.5);
}

// And one that only hangs still takes connections: its calls stand.
TEST(CoreConnections, AQuietServerThatTakesConnectionsKeepsItsCalls) {
  World w;
  w.stand();
  for (double now = 0.1; now < 60; now += 0.05) {
    w.links.tick(now);
    w.all_up(now);
  }
  EXPECT_TRUE(w.events.empty());
  EXPECT_LE(w.links.connections(), 4u);
}

TEST(CoreConnections, AConnectionThatDoesNotComeUpNeverRan) {
  World w;
  w.set_up(1, 0, 11, 0.1);
  w.links.tick(0.6);
  EXPECT_EQ(w.events, std::vector<std::string>{World::ended(1, 0, Outcome::kConnectFailed)});
  EXPECT_EQ(w.releases(11), 0u);
}

// Rule three: a set-up that waits for its connection must not go out once the server drains.
TEST(CoreConnections, NothingThatWaitsGoesOutToADrainingServer) {
  World w;
  w.set_up(1, 0, 11, 0.1);
  w.links.set_state(ServerEntry::State::kDraining, 0.2);
  EXPECT_EQ(w.events, std::vector<std::string>{World::ended(1, 0, Outcome::kNotSent)});
  w.all_up(0.3);
  EXPECT_EQ(w.where(11), 0u);
}

TEST(CoreConnections, AServerThatIsGoneIsLeftOnceItHoldsNothing) {
  World w;
  w.all_up(0);
  w.set_up(1, 0, 11, 0);
  w.answer(w.where(11), 11, 0.1);
  w.links.set_state(ServerEntry::State::kGone, 0.2);
  EXPECT_TRUE(w.closed.empty());
  w.say(1, "release", 11, ",\"cause\":16", 0.3);
  EXPECT_TRUE(w.links.idle());
  w.links.set_state(ServerEntry::State::kGone, 0.4);
  EXPECT_EQ(w.closed.size(), 2u);
  w.links.tick(10);
  EXPECT_EQ(w.links.connections(), 0u);
}

// A new id at its address: nothing of the old one's is sent there, and its calls are over with its
// connections.
TEST(CoreConnections, OneWhoseAddressIsAnothersIsNotCalledAnyMore) {
  World w;
  w.stand();
  w.links.set_state(ServerEntry::State::kGone, 0.2);
  w.links.moved_away(0.2);
  EXPECT_TRUE(w.events.empty()) << "its connections still stand";
  w.begun.clear();
  w.links.down(1, ConnectionLoss::kEnded, 0.3);
  w.links.down(2, ConnectionLoss::kEnded, 0.3);
  EXPECT_EQ(w.events, std::vector<std::string>{"cut 11"});
  w.links.tick(5);
  EXPECT_TRUE(w.begun.empty());
}

TEST(CoreConnections, TablesAreEmptyAfterChurn) {
  World w;
  w.all_up(0);
  double now = 0;
  for (std::uint64_t id = 1; id <= 30000; ++id) {
    now += 0.01;
    w.set_up(static_cast<CallId>(id), 0, id, now);
    w.all_up(now);
    const ConnectionId on = w.where(id);
    ASSERT_NE(on, 0u);
    w.sent.clear();
    if (id % 4 == 0) w.links.give_up(id, now);
    if (id % 4 == 1) w.say(on, "release", id, ",\"cause\":34", now);
    if (id % 4 >= 2) w.answer(on, id, now);
    if (id % 4 == 2) w.say(on, "release", id, ",\"cause\":16", now);
    if (id % 4 == 3) w.links.give_up(id, now);
    if (id % 100 == 0) w.links.down(on, ConnectionLoss::kEnded, now);
    w.links.tick(now);
    w.all_up(now);
    w.events.clear();
  }
  EXPECT_TRUE(w.links.idle());
  EXPECT_LE(w.links.connections(), 4u);
}

}  // namespace
}  // namespace mintrock::platform
