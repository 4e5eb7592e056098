// The callers' side against a scripted desk, at virtual times.
#include "platform/caller_side.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mintrock::platform {
namespace {

struct World : CallerSideDelegate {
  void send_to_caller(ConnectionId to, std::string_view bytes) override {
    MessageParser cutter;
    cutter.feed(bytes);
    const auto message = cutter.next();
    ASSERT_TRUE(message);
    sent.push_back({to, message->type, message->call, read_cause(*message)});
  }
  void close_caller(ConnectionId which) override { closed.insert(which); }
  bool has_unread(ConnectionId which) override { return unread.count(which) != 0; }
  const char* offer(CallSetup setup) override {
    if (setup.service_class == "none") return "unknown class";
    offered.push_back(setup.id);
    if (answer_at_once) side.answer(setup.id, "v=0", 0);
    return nullptr;
  }
  const char* take_over(const CallSetup& setup) override {
    taken.push_back(setup.established_server);
    return nullptr;
  }
  bool hang_up(std::uint64_t id) override {
    hung_up.push_back(id);
    return standing.erase(id) != 0;
  }
  void caller_fault(ConnectionId, const char* what) override { faults.push_back(what); }
  void caller_closed(ConnectionId, CloseReason, std::size_t) override {}
  void end_reported(std::uint64_t, ConnectionId) override {}

  void setup(ConnectionId on, std::uint64_t id, double now, const char* service_class = "voice",
             const char* figures = "dest:0", const char* description = "v=0") {
    side.received(on, setup_bytes(id, service_class, figures, description), now);
  }
  static std::string setup_bytes(std::uint64_t id, const char* service_class = "voice",
                                 const char* figures = "dest:0", const char* description = "v=0") {
    return write_message(CallerMessageType::kSetup, id,
                         {{Parameter::kClass, service_class},
                          {Parameter::kTimeLeft, "1500"},
                          {Parameter::kAttributes, figures},
                          {Parameter::kDescription, description}});
  }
  // A caller connects, and these calls of its stand.
  void stand(ConnectionId on, std::initializer_list<std::uint64_t> ids, double now) {
    side.opened(on, now);
    for (const std::uint64_t id : ids) {
      setup(on, id, now);
      side.answer(id, "v=0", now);
    }
  }
  void release(ConnectionId on, std::uint64_t id, double now) {
    side.received(on, write_release(id, 16), now);
  }

  struct Sent {
    ConnectionId to;
    int type;
    std::uint64_t call;
    int cause;
  };
  std::vector<Sent> sent;
  std::set<ConnectionId> closed, unread;
  std::vector<std::uint64_t> offered, hung_up;
  std::vector<std::string> taken, faults;
  std::set<std::uint64_t> standing;
  bool answer_at_once = false;
  CallerSide side{*this};
};

TEST(CallerSide, AnAnswerGoesOnceToTheConnectionOfItsSetup) {
  World w;
  w.side.opened(1, 0);
  w.side.opened(2, 0);
  w.setup(1, 7, 0.1);
  w.setup(2, 8, 0.1);
  w.side.answer(7, "v=0", 0.2);
  w.side.answer(7, "v=0", 0.2);
  w.side.refuse(7, 42, 100, 0.2);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.sent[0].to, 1u);
  EXPECT_EQ(w.sent[0].type, 9);
  w.side.refuse(8, 42, {}, 0.3);
  ASSERT_EQ(w.sent.size(), 2u);
  EXPECT_EQ(w.sent[1].to, 2u);
  EXPECT_EQ(w.sent[1].cause, 42);
  EXPECT_EQ(w.side.open_setups(), 0u);
}

TEST(CallerSide, TheAnswerMayComeBeforeTheOfferReturns) {
  World w;
  w.answer_at_once = true;
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.side.open_setups(), 0u);
}

TEST(CallerSide, AConnectionThatIsLostGivesItsSetupsUp) {
  World w;
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1);
  w.setup(1, 8, 0.1);
  w.side.lost(1, 0.2);
  EXPECT_EQ(w.hung_up, (std::vector<std::uint64_t>{7, 8}));
  w.side.answer(7, "v=0", 0.3);
  EXPECT_TRUE(w.sent.empty());
  EXPECT_EQ(w.side.connections(), 0u);
  EXPECT_EQ(w.side.open_setups(), 0u);
}

TEST(CallerSide, ASetupThatIsGivenUpIsOwedNothing) {
  World w;
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1);
  w.release(1, 7, 0.2);
  EXPECT_EQ(w.hung_up, std::vector<std::uint64_t>{7});
  w.side.refuse(7, 42, {}, 0.3);
  EXPECT_TRUE(w.sent.empty());
}

// Guards against two answers under one id, and against serving either of the two.
TEST(CallerSide, TheIdOfAnOpenSetupOnTheSameConnectionEndsBoth) {
  World w;
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1);
  w.setup(1, 7, 0.1, "voice", "dest:0", "other");
  EXPECT_EQ(w.hung_up, std::vector<std::uint64_t>{7});
  w.side.answer(7, "v=0", 0.2);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.sent[0].type, 12);
  EXPECT_EQ(w.sent[0].cause, kCauseInvalid);
}

TEST(CallerSide, TheIdOfAnothersOpenSetupDoesItNoHarm) {
  World w;
  w.side.opened(1, 0);
  w.side.opened(2, 0);
  w.setup(1, 7, 0.1);
  w.setup(2, 7, 0.1, "voice", "dest:0", "other");
  w.release(2, 7, 0.1);
  EXPECT_TRUE(w.hung_up.empty());
  for (const auto& each : w.sent) EXPECT_EQ(each.to, 2u);
  EXPECT_FALSE(w.sent.empty());
  w.side.answer(7, "v=0", 0.2);
  EXPECT_EQ(w.sent.back().to, 1u);
  EXPECT_EQ(w.sent.back().type, 9);
}

TEST(CallerSide, WhatCantBeUsedIsAnsweredAndThreeOfThemClose) {
  World w;
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1, "none");
  w.setup(1, 8, 0.1, "voice", "width:nan");
  EXPECT_EQ(w.sent.size(), 2u);
  EXPECT_TRUE(w.closed.empty());
  w.setup(1, 9, 0.1, "none");
  EXPECT_EQ(w.sent.size(), 3u);
  EXPECT_EQ(w.closed.count(1), 1u);
  EXPECT_EQ(w.side.open_setups(), 0u);
}

TEST(CallerSide, WhatCantBeReadCloses) {
  World w;
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1);
  w.side.received(1, std::string("\xff\xff\x01", 3), 0.2);
  EXPECT_EQ(w.closed.count(1), 1u);
  EXPECT_EQ(w.hung_up, std::vector<std::uint64_t>{7});
}

// A bad client is owed a refusal, an error or a close within 3 s.
TEST(CallerSide, SilentHalfAndWithdrawnConnectionsAreClosedWithinTheirTime) {
  World w;
  w.side.opened(1, 0);
  w.side.opened(2, 0);
  w.side.received(2, std::string("\0\x40\x01", 3), 0.1);
  w.side.opened(3, 0);
  for (std::uint64_t id = 100; id < 400; ++id) w.setup(3, id, 0.1);
  for (std::uint64_t id = 100; id < 400; ++id) w.release(3, id, 0.2);
  w.side.opened(4, 0);
  w.release(4, 999, 0.1);  // an id that nobody knows
  w.side.tick(2.5);
  EXPECT_EQ(w.closed, (std::set<ConnectionId>{1, 2, 3, 4}));
  EXPECT_EQ(w.side.connections(), 0u);
}

TEST(CallerSide, AnOpenSetupKeepsItsConnection) {
  World w;
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1);
  w.side.tick(100);
  EXPECT_TRUE(w.closed.empty());
  w.side.refuse(7, 42, 100, 100);
  w.side.tick(105);
  EXPECT_TRUE(w.closed.empty());
  w.side.tick(106.5);
  EXPECT_EQ(w.closed.count(1), 1u);
}

// It may be the last one that the call's end can be told on.
TEST(CallerSide, ACallThatStandsKeepsItsConnectionUntilItsEndIsTold) {
  World w;
  w.stand(1, {7, 8}, 0.1);
  w.standing = {8};
  w.side.tick(1000);
  EXPECT_TRUE(w.closed.empty());
  w.side.report_end(7, 16, 1000);
  EXPECT_EQ(w.sent.back().to, 1u);
  EXPECT_EQ(w.sent.back().call, 7u);
  w.side.tick(2000);
  EXPECT_TRUE(w.closed.empty()) << "the other one stands";
  w.release(1, 8, 2000);
  w.side.tick(2005);
  EXPECT_TRUE(w.closed.empty());
  w.side.tick(2006.5);
  EXPECT_EQ(w.closed.count(1), 1u);
  EXPECT_EQ(w.side.established(), 0u);
}

// Named anew after the proxy's restart, or when its caller connects again, a call moves to that connection.
TEST(CallerSide, AnEndIsToldOnTheConnectionOfItsCallElseOnAnother) {
  World w;
  w.stand(1, {7, 8, 10}, 0.1);
  w.stand(2, {9}, 0.3);
  w.side.report_end(7, 16, 0.5);
  EXPECT_EQ(w.sent.back().to, 1u) << "not where one was served last";
  w.setup(2, 10, 0.5, "voice", "at:s-1");
  w.side.report_end(10, 16, 0.5);
  EXPECT_EQ(w.sent.back().to, 2u);
  w.side.lost(1, 0.6);
  w.side.report_end(8, 16, 0.7);
  EXPECT_EQ(w.sent.back().to, 2u);
  EXPECT_EQ(w.side.established(), 1u);
}

// Soak, seed 3: an end was written to a connection that its caller had just closed, and told nobody.
TEST(CallerSide, AnEndThatMayBeLostWithItsConnectionIsToldAgain) {
  World w;
  w.stand(1, {7, 8, 9}, 0.1);
  w.stand(2, {10}, 0.1);
  w.side.report_end(7, 16, 0.2);  // long enough ago
  w.side.report_end(8, 16, 1.3);
  w.side.report_end(9, 41, 1.4);
  w.side.received(1, write_released(9), 1.45);  // heard
  w.sent.clear();
  w.side.lost(1, 1.5);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.sent[0].to, 2u);
  EXPECT_EQ(w.sent[0].call, 8u);
  EXPECT_EQ(w.sent[0].cause, 16);
  w.side.lost(2, 1.6);
  EXPECT_EQ(w.side.unsent_ends(), 1u) << "and again, with that one";
  w.side.opened(3, 2);
  w.setup(3, 11, 2);
  EXPECT_EQ(w.sent.back().to, 3u);
  EXPECT_EQ(w.sent.back().call, 8u);
}

// What has arrived on a connection is read before it is closed, for its time or for room.
TEST(CallerSide, AConnectionWithUnreadBytesIsNotClosedYet) {
  World w;
  w.stand(1, {}, 0);
  w.stand(2, {}, 0.1);
  w.unread = {1};
  EXPECT_EQ(w.side.eviction_candidate(), 2u);
  w.unread = {1, 2};
  EXPECT_EQ(w.side.eviction_candidate(), 0u);
  w.unread = {1};
  w.side.tick(2.05);  // it has said nothing for its time
  EXPECT_TRUE(w.closed.empty());
  w.setup(1, 7, 2.051);
  w.side.tick(2.3);
  EXPECT_EQ(w.closed, std::set<ConnectionId>{2});
  w.side.answer(7, "v=0", 2.4);
  w.side.report_end(7, 16, 2.5);
  w.unread = {1};
  for (double now = 8.5; now < 9; now += 0.01) w.side.tick(now);
  EXPECT_EQ(w.closed.count(1), 1u) << "a trickle need not end";
}

TEST(CallerSide, EndsAreToldWhereCallsWereServedOrKept) {
  World w;
  w.side.opened(1, 0);  // silent: may be anybody
  w.side.report_end(50, 16, 0.5);
  EXPECT_TRUE(w.sent.empty());
  EXPECT_EQ(w.side.unsent_ends(), 1u);
  w.side.opened(2, 1);
  w.setup(2, 7, 1);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.sent[0].to, 2u);
  EXPECT_EQ(w.sent[0].call, 50u);
  w.side.opened(3, 1);
  w.setup(3, 8, 1);
  w.side.answer(8, "v=0", 1.1);
  w.setup(2, 9, 1.2);
  w.side.report_end(51, 41, 1.3);
  EXPECT_EQ(w.sent.back().to, 3u) << "where one was served";
  w.side.lost(3, 1.4);
  w.side.report_end(52, 16, 1.5);
  EXPECT_EQ(w.sent.back().to, 2u);
  EXPECT_EQ(w.side.unsent_ends(), 0u);
}

TEST(CallerSide, KeptEndsAreForgottenAfterTheirTime) {
  World w;
  for (std::uint64_t id = 1; id <= 10000; ++id) w.side.report_end(id, 16, 0);
  EXPECT_LE(w.side.unsent_ends(), 4096u);
  w.side.tick(8.1);
  EXPECT_EQ(w.side.unsent_ends(), 0u);
}

TEST(CallerSide, ATestIsPassedAndAReleaseOfAStandingCallHeard) {
  World w;
  w.side.opened(1, 0);
  w.side.received(1, write_message(CallerMessageType::kTest, 77, {}), 0.1);
  ASSERT_EQ(w.sent.size(), 1u);
  EXPECT_EQ(w.sent[0].type, 53);
  EXPECT_EQ(w.sent[0].cause, 1);
  w.standing.insert(7);
  w.release(1, 7, 0.2);
  EXPECT_EQ(w.sent.back().type, 16);
}

TEST(CallerSide, ACallThatStandsAlreadyIsTakenOverWithoutAnAnswer) {
  World w;
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1, "voice", "at:s-1");
  EXPECT_EQ(w.taken, std::vector<std::string>{"s-1"});
  EXPECT_TRUE(w.sent.empty());
  EXPECT_EQ(w.side.open_setups(), 0u);
}

TEST(CallerSide, RoomIsMadeOfTheSilentFirstThenOfTheIdle) {
  World w;
  EXPECT_EQ(w.side.eviction_candidate(), 0u);
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1);
  EXPECT_EQ(w.side.eviction_candidate(), 0u) << "it has an open set-up";
  w.side.opened(2, 0.2);
  w.setup(2, 8, 0.2);
  w.side.answer(8, "v=0", 0.3);
  EXPECT_EQ(w.side.eviction_candidate(), 2u);
  w.side.opened(3, 0.4);
  w.side.opened(4, 0.5);
  EXPECT_EQ(w.side.eviction_candidate(), 3u);
  w.side.evict(3);
  EXPECT_EQ(w.closed.count(3), 1u);
  EXPECT_EQ(w.side.eviction_candidate(), 4u);
}

// Every table after many connections and calls is as at the start.
TEST(CallerSide, NothingIsLeftAfterChurn) {
  World w;
  for (std::uint64_t i = 1; i <= 20000; ++i) {
    const double now = static_cast<double>(i) * 0.01;
    w.side.opened(i, now);
    w.setup(i, i, now);
    if (i % 3 == 0) w.side.answer(i, "v=0", now);
    if (i % 3 == 1) w.side.refuse(i, 42, {}, now);
    w.side.lost(i, now);
  }
  EXPECT_EQ(w.side.connections(), 0u);
  EXPECT_EQ(w.side.open_setups(), 0u);
  EXPECT_GT(w.side.deadline(), 1e15);
}

// A set-up in pieces: what has begun to arrive is not idle, and a trickle is not for ever.
TEST(CallerSide, AHalfArrivedSetupIsWaitedForWithinBounds) {
  World w;
  w.side.opened(1, 0);
  w.setup(1, 7, 0.1);
  w.side.refuse(7, 42, 100, 0.2);
  const std::string bytes = World::setup_bytes(8);
  w.side.received(1, bytes.substr(0, 5), 6.1);
  w.side.tick(6.3);  // idle since 0.2
  EXPECT_TRUE(w.closed.empty());
  w.side.received(1, bytes.substr(5), 7);
  EXPECT_EQ(w.offered, (std::vector<std::uint64_t>{7, 8}));
  w.side.refuse(8, 42, 100, 7.1);
  for (double now = 7.2; now < 20 && w.closed.empty(); now += 0.1) {
    w.side.received(1, std::string("\0\x05\x06\0\0\0", 6), now);  // pieces of messages without end
    w.side.tick(now);
  }
  EXPECT_EQ(w.closed.count(1), 1u);
}

TEST(CallerSide, RoomIsNotMadeOfAHalfArrivedSetupWhereAnotherIsFree) {
  World w;
  w.side.opened(1, 0);
  w.side.received(1, World::setup_bytes(8).substr(0, 5), 0.1);
  w.stand(2, {7}, 0.3);
  EXPECT_EQ(w.side.eviction_candidate(), 2u) << "though its call stands";
}

// The process ends: whatever is owed comes first.
TEST(CallerSide, LeavingClosesEachConnectionBehindItsLastAnswer) {
  World w;
  w.stand(1, {7}, 0);
  w.side.opened(2, 0);
  w.setup(2, 8, 0.1);  // open
  w.side.opened(3, 0);
  w.side.received(3, std::string("\0\x40\x01", 3), 4.9);  // half arrived
  w.side.opened(4, 4.98);                                 // its set-up may lie unread
  w.side.tick(1);
  w.side.begin_shutdown();
  w.side.tick(5);
  EXPECT_EQ(w.closed, std::set<ConnectionId>{1});
  w.side.tick(5.1);
  EXPECT_EQ(w.closed, (std::set<ConnectionId>{1, 4}));
  w.side.refuse(8, 41, {}, 5.2);
  EXPECT_EQ(w.sent.back().to, 2u);
  w.side.tick(5.2);
  EXPECT_EQ(w.closed, (std::set<ConnectionId>{1, 2, 4}));
  w.side.tick(6.95);
  EXPECT_EQ(w.side.connections(), 0u);
  EXPECT_EQ(w.side.established(), 0u);
}

}  // namespace
}  // namespace mintrock::platform
