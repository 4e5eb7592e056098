// Tests the caller side with a scripted call manager and virtual time.
#include "platform/caller_side.hpp"

#include <gtest/gtest.h>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace mintrock::platform {
namespace {

struct Fixture : CallerSideDelegate {
  void send_to_caller(ConnectionId to, std::string_view bytes) override {
    MessageParser parser;
    parser.feed(bytes);
    const auto message = parser.next();
    ASSERT_TRUE(message);
    sent.push_back({to, message->type, message->call, read_cause(*message)});
  }
  void close_caller(ConnectionId which) override { closed.insert(which); }
  bool has_unread(ConnectionId which) override { return unread.count(which) != 0; }
  const char* offer(CallSetup setup) override {
    if (setup.service_class == "none") return "unknown class";
    offered.push_back(setup.id);
    if (answer_immediately) side.answer(setup.id, "v=0", 0);
    return nullptr;
  }
  const char* take_over(const CallSetup& setup) override {
    taken_over_from.push_back(setup.established_server);
    return nullptr;
  }
  bool hang_up(std::uint64_t id) override {
    hung_up.push_back(id);
    return established.erase(id) != 0;
  }
  void caller_fault(ConnectionId, const char* error) override { faults.push_back(error); }
  void caller_closed(ConnectionId, CloseReason, std::size_t) override {}
  void end_reported(std::uint64_t id, ConnectionId to, EndDelivery delivery) override {
    reported.push_back({id, to, delivery});
  }

  void setup(ConnectionId on, std::uint64_t id, double now, const char* service_class = "voice",
             const char* attributes = "dest:0", const char* description = "v=0") {
    side.received(on, setup_bytes(id, service_class, attributes, description), now);
  }
  static std::string setup_bytes(std::uint64_t id, const char* service_class = "voice",
                                 const char* attributes = "dest:0", const char* description = "v=0") {
    return write_message(CallerMessageType::kSetup, id,
                         {{Parameter::kClass, service_class},
                          {Parameter::kTimeLeft, "1500"},
                          {Parameter::kAttributes, attributes},
                          {Parameter::kDescription, description}});
  }
  // A caller connects and establishes these calls.
  void establish(ConnectionId on, std::initializer_list<std::uint64_t> ids, double now) {
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
  struct Reported {
    std::uint64_t call;
    ConnectionId to;
    EndDelivery delivery;
  };
  // The connections that an end was written to, in order.
  std::vector<ConnectionId> sent_on(std::uint64_t call) const {
    std::vector<ConnectionId> out;
    for (const Sent& each : sent) {
      if (each.call == call && each.type == 12) out.push_back(each.to);
    }
    return out;
  }
  std::vector<Sent> sent;
  std::vector<Reported> reported;
  std::set<ConnectionId> closed, unread;
  std::vector<std::uint64_t> offered, hung_up;
  std::vector<std::string> taken_over_from, faults;
  std::set<std::uint64_t> established;
  bool answer_immediately = false;
  CallerSide side{*this};
};

TEST(CallerSide, AnswersASetupOnceOnItsConnection) {
  Fixture f;
  f.side.opened(1, 0);
  f.side.opened(2, 0);
  f.setup(1, 7, 0.1);
  f.setup(2, 8, 0.1);
  f.side.answer(7, "v=0", 0.2);
  f.side.answer(7, "v=0", 0.2);
  f.side.refuse(7, 42, 100, 0.2);
  ASSERT_EQ(f.sent.size(), 1u);
  EXPECT_EQ(f.sent[0].to, 1u);
  EXPECT_EQ(f.sent[0].type, 9);
  f.side.refuse(8, 42, {}, 0.3);
  ASSERT_EQ(f.sent.size(), 2u);
  EXPECT_EQ(f.sent[1].to, 2u);
  EXPECT_EQ(f.sent[1].cause, 42);
  EXPECT_EQ(f.side.open_setups(), 0u);
}

TEST(CallerSide, AcceptsAnAnswerBeforeTheOfferReturns) {
  Fixture f;
  f.answer_immediately = true;
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1);
  ASSERT_EQ(f.sent.size(), 1u);
  EXPECT_EQ(f.side.open_setups(), 0u);
}

TEST(CallerSide, LostConnectionAbandonsItsSetups) {
  Fixture f;
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1);
  f.setup(1, 8, 0.1);
  f.side.lost(1, 0.2);
  EXPECT_EQ(f.hung_up, (std::vector<std::uint64_t>{7, 8}));
  f.side.answer(7, "v=0", 0.3);
  EXPECT_TRUE(f.sent.empty());
  EXPECT_EQ(f.side.connections(), 0u);
  EXPECT_EQ(f.side.open_setups(), 0u);
}

TEST(CallerSide, AbandonedSetupGetsNoAnswer) {
  Fixture f;
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1);
  f.release(1, 7, 0.2);
  EXPECT_EQ(f.hung_up, std::vector<std::uint64_t>{7});
  f.side.refuse(7, 42, {}, 0.3);
  EXPECT_TRUE(f.sent.empty());
}

// Guards against two answers with the same id, and against serving either set-up.
TEST(CallerSide, DuplicateIdOnTheSameConnectionEndsBothSetups) {
  Fixture f;
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1);
  f.setup(1, 7, 0.1, "voice", "dest:0", "other");
  EXPECT_EQ(f.hung_up, std::vector<std::uint64_t>{7});
  f.side.answer(7, "v=0", 0.2);
  ASSERT_EQ(f.sent.size(), 1u);
  EXPECT_EQ(f.sent[0].type, 12);
  EXPECT_EQ(f.sent[0].cause, kCauseInvalid);
}

TEST(CallerSide, DuplicateIdOnAnotherConnectionDoesNotAffectTheOpenSetup) {
  Fixture f;
  f.side.opened(1, 0);
  f.side.opened(2, 0);
  f.setup(1, 7, 0.1);
  f.setup(2, 7, 0.1, "voice", "dest:0", "other");
  f.release(2, 7, 0.1);
  EXPECT_TRUE(f.hung_up.empty());
  for (const auto& each : f.sent) EXPECT_EQ(each.to, 2u);
  EXPECT_FALSE(f.sent.empty());
  f.side.answer(7, "v=0", 0.2);
  EXPECT_EQ(f.sent.back().to, 1u);
  EXPECT_EQ(f.sent.back().type, 9);
}

TEST(CallerSide, InvalidSetupsAreAnsweredAndTheThirdClosesTheConnection) {
  Fixture f;
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1, "none");
  f.setup(1, 8, 0.1, "voice", "width:nan");
  EXPECT_EQ(f.sent.size(), 2u);
  EXPECT_TRUE(f.closed.empty());
  f.setup(1, 9, 0.1, "none");
  EXPECT_EQ(f.sent.size(), 3u);
  EXPECT_EQ(f.closed.count(1), 1u);
  EXPECT_EQ(f.side.open_setups(), 0u);
}

TEST(CallerSide, MalformedFrameClosesTheConnection) {
  Fixture f;
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1);
  f.side.received(1, std::string("\xff\xff\x01", 3), 0.2);
  EXPECT_EQ(f.closed.count(1), 1u);
  EXPECT_EQ(f.hung_up, std::vector<std::uint64_t>{7});
}

// A misbehaving client must get a refusal, an error or a close within 3 s.
TEST(CallerSide, ConnectionsWithoutAValidSetupAreClosedInTime) {
  Fixture f;
  f.side.opened(1, 0);
  f.side.opened(2, 0);
  f.side.received(2, std::string("\0\x40\x01", 3), 0.1);
  f.side.opened(3, 0);
  for (std::uint64_t id = 100; id < 400; ++id) f.setup(3, id, 0.1);
  for (std::uint64_t id = 100; id < 400; ++id) f.release(3, id, 0.2);
  f.side.opened(4, 0);
  f.release(4, 999, 0.1);  // unknown id
  f.side.tick(2.5);
  EXPECT_EQ(f.closed, (std::set<ConnectionId>{1, 2, 3, 4}));
  EXPECT_EQ(f.side.connections(), 0u);
}

TEST(CallerSide, ConnectionWithAnOpenSetupIsNotClosed) {
  Fixture f;
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1);
  f.side.tick(100);
  EXPECT_TRUE(f.closed.empty());
  f.side.refuse(7, 42, 100, 100);
  f.side.tick(105);
  EXPECT_TRUE(f.closed.empty());
  f.side.tick(106.5);
  EXPECT_EQ(f.closed.count(1), 1u);
}

// The connection may be the last one that the end of its call can be reported on.
TEST(CallerSide, ConnectionWithAnEstablishedCallIsNotClosedBeforeItsEnd) {
  Fixture f;
  f.establish(1, {7, 8}, 0.1);
  f.established = {8};
  f.side.tick(1000);
  EXPECT_TRUE(f.closed.empty());
  f.side.report_end(7, 16, 1000);
  EXPECT_EQ(f.sent.back().to, 1u);
  EXPECT_EQ(f.sent.back().call, 7u);
  f.side.tick(2000);
  EXPECT_TRUE(f.closed.empty()) << "the other call is still established";
  f.release(1, 8, 2000);
  f.side.tick(2005);
  EXPECT_TRUE(f.closed.empty());
  f.side.tick(2006.5);
  EXPECT_EQ(f.closed.count(1), 1u);
  EXPECT_EQ(f.side.established(), 0u);
}

// A call that its caller announces again, after a restart of the proxy or on a new connection, moves to that
// connection.
TEST(CallerSide, EndIsReportedOnTheConnectionOfItsCallOrOnAnother) {
  Fixture f;
  f.establish(1, {7, 8, 10}, 0.1);
  f.establish(2, {9}, 0.3);
  f.side.report_end(7, 16, 0.5);
  EXPECT_EQ(f.sent.back().to, 1u) << "not on the connection that was answered last";
  f.setup(2, 10, 0.5, "voice", "at:s-1");
  f.side.report_end(10, 16, 0.5);
  EXPECT_EQ(f.sent.back().to, 2u);
  f.side.lost(1, 0.6);
  f.side.report_end(8, 16, 0.7);
  EXPECT_EQ(f.sent.back().to, 2u);
  EXPECT_EQ(f.side.established(), 1u);
}

// Soak, seed 3: an end was written to a connection that its caller had just closed, so nobody received it.
TEST(CallerSide, EndThatMayBeLostWithItsConnectionIsResent) {
  Fixture f;
  f.establish(1, {7, 8, 9}, 0.1);
  f.establish(2, {10}, 0.1);
  f.side.report_end(7, 16, 0.2);  // too long before the loss to be resent
  f.side.report_end(8, 16, 1.3);
  f.side.report_end(9, 41, 1.4);
  f.side.received(1, write_released(9), 1.45);  // acknowledged
  f.sent.clear();
  f.side.lost(1, 1.5);
  ASSERT_EQ(f.sent.size(), 1u);
  EXPECT_EQ(f.sent[0].to, 2u);
  EXPECT_EQ(f.sent[0].call, 8u);
  EXPECT_EQ(f.sent[0].cause, 16);
  f.side.lost(2, 1.6);
  EXPECT_EQ(f.side.unsent_ends(), 1u) << "queued again after the loss of that connection too";
  f.side.opened(3, 2);
  f.setup(3, 11, 2);
  EXPECT_EQ(f.sent.back().to, 3u);
  EXPECT_EQ(f.sent.back().call, 8u);
}

// Bytes that have arrived on a connection are read before it is closed for a timeout or evicted.
TEST(CallerSide, ConnectionWithUnreadBytesIsNotClosedYet) {
  Fixture f;
  f.establish(1, {}, 0);
  f.establish(2, {}, 0.1);
  f.unread = {1};
  EXPECT_EQ(f.side.eviction_candidate(), 2u);
  f.unread = {1, 2};
  EXPECT_EQ(f.side.eviction_candidate(), 0u);
  f.unread = {1};
  f.side.tick(2.05);  // nothing was received before the timeout
  EXPECT_TRUE(f.closed.empty());
  f.setup(1, 7, 2.051);
  f.side.tick(2.3);
  EXPECT_EQ(f.closed, std::set<ConnectionId>{2});
  f.side.answer(7, "v=0", 2.4);
  f.side.report_end(7, 16, 2.5);
  f.unread = {1};
  for (double now = 8.5; now < 9; now += 0.01) f.side.tick(now);
  EXPECT_EQ(f.closed.count(1), 1u) << "the delays are bounded";
}

TEST(CallerSide, EndsAreReportedWhereCallsWereAnsweredOrQueued) {
  Fixture f;
  f.side.opened(1, 0);  // silent: may not belong to a caller
  f.side.report_end(50, 16, 0.5);
  EXPECT_EQ(f.sent_on(50), std::vector<ConnectionId>{1}) << "it may belong to one";
  EXPECT_EQ(f.reported.back().delivery, EndDelivery::kOffered);
  EXPECT_EQ(f.side.unsent_ends(), 1u) << "no caller is known to have it";
  f.side.opened(2, 1);
  f.setup(2, 7, 1);
  ASSERT_EQ(f.sent.size(), 2u);
  EXPECT_EQ(f.sent[1].to, 2u);
  EXPECT_EQ(f.sent[1].call, 50u);
  f.side.opened(3, 1);
  f.setup(3, 8, 1);
  f.side.answer(8, "v=0", 1.1);
  f.setup(2, 9, 1.2);
  f.side.report_end(51, 41, 1.3);
  EXPECT_EQ(f.sent.back().to, 3u) << "where a call was answered";
  f.side.lost(3, 1.4);
  f.side.report_end(52, 16, 1.5);
  EXPECT_EQ(f.sent.back().to, 2u);
  EXPECT_EQ(f.side.unsent_ends(), 0u);
}

// Review, case 3: callers closed the connection of their calls and kept another open, on which one of them
// had hung up. Ends were sent only on connections with a set-up, and in a quiet time none came.
TEST(CallerSide, EndsAreReportedWhereCallersHaveHungUp) {
  Fixture f;
  f.establish(1, {7, 8}, 0);
  f.established = {7, 8};
  f.side.opened(2, 4);
  f.side.received(2, write_message(CallerMessageType::kTest, 1, {}), 4);
  f.release(2, 8, 4.1);
  f.side.lost(1, 4.2);
  f.side.opened(3, 4.3);  // silent
  f.side.report_end(7, 16, 9);
  EXPECT_EQ(f.sent_on(7), std::vector<ConnectionId>{2});
  EXPECT_EQ(f.reported.back().delivery, EndDelivery::kSent);
  EXPECT_EQ(f.side.unsent_ends(), 0u);
}

// Soak, seed 601: a restarted proxy's callers closed its one connection with calls and opened others that
// carried nothing. An end may be sent on any connection of callers: those that may be theirs are tried one
// after another, all within the second in which the end must be reported.
TEST(CallerSide, EndsAreOfferedOnConnectionsThatMayBelongToCallers) {
  Fixture f;
  for (ConnectionId which = 1; which <= 3; ++which) f.side.opened(which, 0.1 * static_cast<double>(which));
  f.side.received(2, write_message(CallerMessageType::kTest, 1, {}), 0.5);
  f.side.received(3, std::string("\0\x09\x63\0\0\0\0\0\0\0\x05", 11), 0.5);  // an unknown type
  EXPECT_EQ(f.faults.size(), 1u);
  f.side.report_end(7, 16, 1);
  f.side.opened(4, 1.05);
  for (double now = 1; now < 1.9; now += 0.01) f.side.tick(now);
  EXPECT_EQ(f.sent_on(7), (std::vector<ConnectionId>{2, 4, 1, 3}));
  EXPECT_EQ(f.side.counters().ends_offered, 4u);
  f.side.opened(5, 2);
  EXPECT_LE(f.side.deadline(), 2.1);
  f.side.tick(2.1);
  EXPECT_EQ(f.sent_on(7).back(), 5u) << "offered on a connection that is opened later";
  EXPECT_EQ(f.side.unsent_ends(), 1u);
  f.side.tick(9.1);
  EXPECT_EQ(f.side.unsent_ends(), 0u) << "given up 8 s after the call's end";
}

// What shows whose a connection is settles an end that was offered, so that its caller is told once on it.
TEST(CallerSide, OfferedEndIsSettledByItsCaller) {
  enum class By { kAcknowledgement, kHangUp, kSetupThere, kSetupElsewhere, kForeignAcknowledgement };
  for (const By by : {By::kAcknowledgement, By::kHangUp, By::kSetupThere, By::kSetupElsewhere,
                      By::kForeignAcknowledgement}) {
    Fixture f;
    f.side.opened(1, 0);
    f.side.report_end(7, 16, 1);
    ASSERT_EQ(f.sent_on(7), std::vector<ConnectionId>{1});
    f.side.opened(2, 1);
    if (by == By::kAcknowledgement) f.side.received(1, write_released(7), 1.01);
    if (by == By::kHangUp) f.release(1, 7, 1.01);
    if (by == By::kSetupThere) f.setup(1, 8, 1.01);
    if (by == By::kSetupElsewhere) f.setup(2, 8, 1.01);
    if (by == By::kForeignAcknowledgement) f.side.received(2, write_released(7), 1.01);
    for (double now = 1.02; now < 1.5; now += 0.01) f.side.tick(now);
    const bool told_on_both = by == By::kSetupElsewhere || by == By::kForeignAcknowledgement;
    EXPECT_EQ(f.sent_on(7).size(), told_on_both ? 2u : 1u) << static_cast<int>(by);
    EXPECT_EQ(f.side.unsent_ends(), by == By::kForeignAcknowledgement ? 1u : 0u) << static_cast<int>(by);
    if (by == By::kSetupThere) {
      f.side.lost(1, 1.55);
      EXPECT_EQ(f.side.unsent_ends(), 1u) << "it may be lost with its connection";
      continue;
    }
    f.side.report_end(9, 16, 1.6);
    const bool caller_known = by != By::kForeignAcknowledgement;
    EXPECT_EQ(f.reported.back().delivery, caller_known ? EndDelivery::kSent : EndDelivery::kOffered);
  }
}

// Connections by the hundred that say nothing: an end is offered on a few of them, and they are closed as
// soon as without it.
TEST(CallerSide, OffersOnSilentConnectionsAreBounded) {
  Fixture f;
  for (ConnectionId which = 1; which <= 300; ++which) f.side.opened(which, 0);
  for (std::uint64_t id = 1; id <= 100; ++id) f.side.report_end(id, 16, 0.1);
  for (double now = 0.1; now < 1.9; now += 0.01) f.side.tick(now);
  EXPECT_EQ(f.side.counters().ends_offered, 800u);
  EXPECT_TRUE(f.closed.empty());
  f.side.tick(2.05);
  EXPECT_EQ(f.side.connections(), 0u);
}

TEST(CallerSide, QueuedEndsExpire) {
  Fixture f;
  for (std::uint64_t id = 1; id <= 10000; ++id) f.side.report_end(id, 16, 0);
  EXPECT_LE(f.side.unsent_ends(), 4096u);
  f.side.tick(8.1);
  EXPECT_EQ(f.side.unsent_ends(), 0u);
}

TEST(CallerSide, AnswersTestsAndReleasesOfEstablishedCalls) {
  Fixture f;
  f.side.opened(1, 0);
  f.side.received(1, write_message(CallerMessageType::kTest, 77, {}), 0.1);
  ASSERT_EQ(f.sent.size(), 1u);
  EXPECT_EQ(f.sent[0].type, 53);
  EXPECT_EQ(f.sent[0].cause, 1);
  f.established.insert(7);
  f.release(1, 7, 0.2);
  EXPECT_EQ(f.sent.back().type, 16);
}

TEST(CallerSide, EstablishedCallIsTakenOverWithoutAnAnswer) {
  Fixture f;
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1, "voice", "at:s-1");
  EXPECT_EQ(f.taken_over_from, std::vector<std::string>{"s-1"});
  EXPECT_TRUE(f.sent.empty());
  EXPECT_EQ(f.side.open_setups(), 0u);
}

TEST(CallerSide, EvictsSilentConnectionsBeforeIdleOnes) {
  Fixture f;
  EXPECT_EQ(f.side.eviction_candidate(), 0u);
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1);
  EXPECT_EQ(f.side.eviction_candidate(), 0u) << "it has an open set-up";
  f.side.opened(2, 0.2);
  f.setup(2, 8, 0.2);
  f.side.answer(8, "v=0", 0.3);
  EXPECT_EQ(f.side.eviction_candidate(), 2u);
  f.side.opened(3, 0.4);
  f.side.opened(4, 0.5);
  EXPECT_EQ(f.side.eviction_candidate(), 3u);
  f.side.evict(3);
  EXPECT_EQ(f.closed.count(3), 1u);
  EXPECT_EQ(f.side.eviction_candidate(), 4u);
}

// All tables are empty again after many connections and calls.
TEST(CallerSide, NothingIsLeftAfterChurn) {
  Fixture f;
  for (std::uint64_t i = 1; i <= 20000; ++i) {
    const double now = static_cast<double>(i) * 0.01;
    f.side.opened(i, now);
    f.setup(i, i, now);
    if (i % 3 == 0) f.side.answer(i, "v=0", now);
    if (i % 3 == 1) f.side.refuse(i, 42, {}, now);
    f.side.lost(i, now);
  }
  EXPECT_EQ(f.side.connections(), 0u);
  EXPECT_EQ(f.side.open_setups(), 0u);
  EXPECT_GT(f.side.deadline(), 1e15);
}

// A connection with a partly received set-up is not idle, but the wait for the rest is bounded.
TEST(CallerSide, WaitsABoundedTimeForAPartlyReceivedSetup) {
  Fixture f;
  f.side.opened(1, 0);
  f.setup(1, 7, 0.1);
  f.side.refuse(7, 42, 100, 0.2);
  const std::string bytes = Fixture::setup_bytes(8);
  f.side.received(1, bytes.substr(0, 5), 6.1);
  f.side.tick(6.3);  // idle since 0.2
  EXPECT_TRUE(f.closed.empty());
  f.side.received(1, bytes.substr(5), 7);
  EXPECT_EQ(f.offered, (std::vector<std::uint64_t>{7, 8}));
  f.side.refuse(8, 42, 100, 7.1);
  for (double now = 7.2; now < 20 && f.closed.empty(); now += 0.1) {
    f.side.received(1, std::string("\0\x05\x06\0\0\0", 6), now);  // parts of messages that never end
    f.side.tick(now);
  }
  EXPECT_EQ(f.closed.count(1), 1u);
}

TEST(CallerSide, PartlyReceivedSetupIsEvictedLast) {
  Fixture f;
  f.side.opened(1, 0);
  f.side.received(1, Fixture::setup_bytes(8).substr(0, 5), 0.1);
  f.establish(2, {7}, 0.3);
  EXPECT_EQ(f.side.eviction_candidate(), 2u) << "although its call is established";
}

// At a shutdown pending answers are sent first.
TEST(CallerSide, ShutdownClosesEachConnectionAfterItsLastAnswer) {
  Fixture f;
  f.establish(1, {7}, 0);
  f.side.opened(2, 0);
  f.setup(2, 8, 0.1);  // open
  f.side.opened(3, 0);
  f.side.received(3, std::string("\0\x40\x01", 3), 4.9);  // partly received
  f.side.opened(4, 4.98);                                 // a set-up may be unread on it
  f.side.tick(1);
  f.side.begin_shutdown();
  f.side.tick(5);
  EXPECT_EQ(f.closed, std::set<ConnectionId>{1});
  f.side.tick(5.1);
  EXPECT_EQ(f.closed, (std::set<ConnectionId>{1, 4}));
  f.side.refuse(8, 41, {}, 5.2);
  EXPECT_EQ(f.sent.back().to, 2u);
  f.side.tick(5.2);
  EXPECT_EQ(f.closed, (std::set<ConnectionId>{1, 2, 4}));
  f.side.tick(6.95);
  EXPECT_EQ(f.side.connections(), 0u);
  EXPECT_EQ(f.side.established(), 0u);
}

// Review, case 8: an end that is read in a shutdown needs a connection to be reported on.
TEST(CallerSide, ShutdownKeepsOneConnectionToReportEndsOn) {
  Fixture f;
  f.establish(1, {7}, 0);
  f.establish(2, {8}, 0.5);
  f.side.opened(3, 0.6);
  f.side.received(3, write_message(CallerMessageType::kTest, 1, {}), 0.6);  // the front's
  f.side.begin_shutdown();
  f.side.keep_connection_for_ends(true);
  f.side.tick(5);
  EXPECT_EQ(f.closed, (std::set<ConnectionId>{1, 3}));
  EXPECT_TRUE(f.side.keeps_connection_for_ends());
  EXPECT_EQ(f.side.busy_connections(), 0u);
  f.side.report_end(7, 16, 5.1);
  EXPECT_EQ(f.sent.back().to, 2u);
  f.setup(2, 9, 5.2);
  EXPECT_EQ(f.side.busy_connections(), 1u) << "a set-up is open on it";
  f.side.refuse(9, 42, {}, 5.3);
  EXPECT_EQ(f.side.busy_connections(), 0u);
  f.side.keep_connection_for_ends(false);
  f.side.tick(5.4);
  EXPECT_EQ(f.side.connections(), 0u);
}

// The connection that was kept is lost: another one takes its place while there is one.
TEST(CallerSide, ShutdownKeepsAnotherConnectionWhenTheOneForEndsIsLost) {
  Fixture f;
  f.establish(1, {7}, 0);
  f.side.opened(2, 0);
  f.setup(2, 8, 0.1);
  f.side.begin_shutdown();
  f.side.keep_connection_for_ends(true);
  f.side.lost(1, 1);
  EXPECT_FALSE(f.side.keeps_connection_for_ends());
  f.side.keep_connection_for_ends(true);
  f.side.refuse(8, 42, {}, 1.1);
  f.side.tick(5);
  EXPECT_TRUE(f.side.keeps_connection_for_ends());
  EXPECT_EQ(f.side.connections(), 1u);
}

}  // namespace
}  // namespace mintrock::platform
