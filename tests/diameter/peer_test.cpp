// Tests of the peer state machine: two peers exchange messages without sockets, at simulated times.
#include "diameter/peer.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mintrock::diameter {
namespace {

struct TestPeer : PeerDelegate {
  TestPeer(const std::string& host, const std::string& other, bool initiates, bool watchdog = true) {
    local.host = host;
    local.realm = "example";
    PeerSettings settings;
    settings.host = other;
    settings.initiates = initiates;
    settings.watchdog_enabled = watchdog;
    settings.watchdog_interval_s = 30;
    settings.reconnect_interval_s = 30;
    peer = std::make_unique<Peer>(local, settings, 1, *this);
  }
  void connect() override { connect_count += 1; }
  void send(Connection connection, std::string bytes) override {
    (connection == Connection::kInitiated ? sent_initiated : sent_accepted).push_back(bytes);
  }
  void close(Connection connection) override {
    (connection == Connection::kInitiated ? closed_initiated : closed_accepted) += 1;
  }
  void on_up() override { up_count += 1; }
  void on_down(const std::string&) override { down_count += 1; }
  void on_suspect_change(bool now_suspect) override { suspect = now_suspect; }
  void on_message(const MessageView& message, bool reopening) override {
    message_count += 1;
    last_header = message.header;
    reopening_messages += reopening;
  }
  void on_protocol_error(const std::string& what) override { protocol_errors.push_back(what); }

  LocalNode local;
  std::unique_ptr<Peer> peer;
  std::vector<std::string> sent_initiated, sent_accepted;
  int connect_count = 0, closed_initiated = 0, closed_accepted = 0, up_count = 0, down_count = 0,
      message_count = 0, reopening_messages = 0;
  bool suspect = false;
  Header last_header;
  std::vector<std::string> protocol_errors;
};

MessageView decode_valid(const std::string& bytes) {
  MessageView view;
  EXPECT_FALSE(decode(bytes, view));
  return view;
}

std::uint32_t result_code_of(const std::string& bytes) {
  const MessageView view = decode_valid(bytes);
  const AvpView* result = view.find(avp::kResultCode.code);
  return result != nullptr ? as_u32(*result).value_or(0) : 0;
}

// Connects a to b, until both peers are open.
void open_pair(TestPeer& a, TestPeer& b, double now) {
  a.peer->start(now);
  a.peer->on_connected(now);
  std::string reply;
  ASSERT_TRUE(b.peer->accept(decode_valid(a.sent_initiated.back()), now, reply));
  a.peer->on_received(Connection::kInitiated, b.sent_accepted.back(), now);
  ASSERT_EQ(a.peer->state(), Peer::State::kIOpen);
  ASSERT_EQ(b.peer->state(), Peer::State::kROpen);
}

std::string make_setup(std::uint32_t hop_by_hop, std::uint32_t command = kCreditControl,
                       std::uint32_t application = 4, const char* route = nullptr) {
  Header header;
  header.flags = kRequest | kProxiable;
  header.command = command;
  header.application = application;
  header.hop_by_hop = hop_by_hop;
  Builder b(header);
  b.text(avp::kSessionId, "s").text(avp::kOriginHost, "a").text(avp::kOriginRealm, "example");
  b.text(avp::kDestinationRealm, "example").u32(avp::kAuthApplicationId, 4);
  b.text(avp::kServiceContextId, "c").u32(avp::kCcRequestType, 1).u32(avp::kCcRequestNumber, 0);
  if (route != nullptr) b.text(avp::kRouteRecord, route);
  return b.finish();
}

TEST(Peer, OpensAndDeliversMessages) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", false);
  open_pair(a, b, 0);
  EXPECT_EQ(a.up_count, 1);
  EXPECT_TRUE(a.peer->send(make_setup(5)));
  b.peer->on_received(Connection::kAccepted, a.sent_initiated.back(), 1);
  EXPECT_EQ(b.message_count, 1);
  EXPECT_EQ(b.last_header.hop_by_hop, 5u);
}

TEST(Peer, AnswersUnknownCommandsApplicationsAndLoopsItself) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", false);
  open_pair(a, b, 0);
  b.peer->on_received(Connection::kAccepted, make_setup(1, 999), 1);
  EXPECT_EQ(result_code_of(b.sent_accepted.back()), kCommandUnsupported);
  b.peer->on_received(Connection::kAccepted, make_setup(2, kCreditControl, 77), 1);
  EXPECT_EQ(result_code_of(b.sent_accepted.back()), kApplicationUnsupported);
  b.peer->on_received(Connection::kAccepted, make_setup(3, kCreditControl, 4, "b"), 1);
  EXPECT_EQ(result_code_of(b.sent_accepted.back()), kLoopDetected);
  EXPECT_EQ(b.message_count, 0);
  EXPECT_TRUE(b.peer->is_open());
}

TEST(Peer, DoesNotAnswerAnInvalidAnswer) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", false);
  open_pair(a, b, 0);
  const std::size_t before = b.sent_accepted.size();
  std::string answer = make_setup(1);
  answer[4] = kProxiable;  // no Result-Code: malformed as an answer
  b.peer->on_received(Connection::kAccepted, answer, 1);
  EXPECT_EQ(b.sent_accepted.size(), before);
  EXPECT_EQ(b.protocol_errors.size(), 1u);
  EXPECT_EQ(b.message_count, 0);
}

TEST(Peer, AnswersAndClosesAStreamWithInvalidLength) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", false);
  open_pair(a, b, 0);
  std::string malformed = make_setup(1);
  malformed[3] = 3;
  b.peer->on_received(Connection::kAccepted, malformed, 1);
  EXPECT_EQ(result_code_of(b.sent_accepted.back()), kInvalidMessageLength);
  EXPECT_EQ(b.peer->state(), Peer::State::kClosed);
  EXPECT_EQ(b.down_count, 1);
}

TEST(Peer, RejectsPeerWithoutCommonApplication) {
  TestPeer b("b", "a", false);
  Header header;
  header.flags = kRequest;
  header.command = kCapabilitiesExchange;
  Builder cer(header);
  cer.text(avp::kOriginHost, "a").text(avp::kOriginRealm, "example").ipv4(avp::kHostIpAddress, 1);
  cer.u32(avp::kVendorId, 1).text(avp::kProductName, "x").u32(avp::kAuthApplicationId, 16777251);
  const std::string bytes = cer.finish();
  std::string reply;
  EXPECT_FALSE(b.peer->accept(decode_valid(bytes), 0, reply));
  EXPECT_EQ(result_code_of(reply), kNoCommonApplication);
}

// Both sides connect at once: the one with the higher Origin-Host keeps the connection that it accepted.
TEST(Peer, ElectionKeepsOneConnection) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", true);
  a.peer->start(0);
  b.peer->start(0);
  a.peer->on_connected(0);
  b.peer->on_connected(0);
  std::string reply;
  ASSERT_TRUE(a.peer->accept(decode_valid(b.sent_initiated.back()), 0, reply));
  EXPECT_EQ(a.peer->state(), Peer::State::kWaitReturns) << "a has the lower host and waits for b";
  ASSERT_TRUE(b.peer->accept(decode_valid(a.sent_initiated.back()), 0, reply));
  EXPECT_EQ(b.peer->state(), Peer::State::kROpen)
      << "b has the higher host and keeps the accepted connection";
  EXPECT_EQ(b.closed_initiated, 1);
  a.peer->on_received(Connection::kInitiated, b.sent_accepted.back(), 0);
  EXPECT_EQ(a.peer->state(), Peer::State::kIOpen);
  EXPECT_EQ(a.closed_accepted, 1);
  EXPECT_EQ(a.up_count, 1);
  EXPECT_EQ(b.up_count, 1);
}

TEST(Peer, KeepsAcceptedConnectionWhenInitiatedOneFailsInElection) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", true);
  a.peer->start(0);
  b.peer->start(0);
  b.peer->on_connected(0);
  std::string reply;
  ASSERT_TRUE(a.peer->accept(decode_valid(b.sent_initiated.back()), 0, reply));
  EXPECT_EQ(a.peer->state(), Peer::State::kWaitConnAckElect);
  a.peer->on_connect_failed(0);
  EXPECT_EQ(a.peer->state(), Peer::State::kROpen);
  b.peer->on_received(Connection::kInitiated, a.sent_accepted.back(), 0);
  EXPECT_TRUE(b.peer->is_open());
}

TEST(Peer, RejectsSecondConnectionWhileOpen) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", false);
  open_pair(a, b, 0);
  std::string reply;
  EXPECT_FALSE(b.peer->accept(decode_valid(a.sent_initiated.back()), 1, reply));
  EXPECT_TRUE(b.peer->is_open());
}

TEST(Peer, AnswersDprAndReconnectsUnlessPeerDoesNotWantToTalk) {
  for (const auto cause :
       {DisconnectCause::kRebooting, DisconnectCause::kBusy, DisconnectCause::kDoNotWantToTalk}) {
    TestPeer a("a", "b", true);
    TestPeer b("b", "a", false);
    open_pair(a, b, 0);
    b.peer->stop(cause, 1);
    a.peer->on_received(Connection::kInitiated, b.sent_accepted.back(), 1);
    EXPECT_EQ(a.peer->peer_disconnect_cause(), cause);
    b.peer->on_received(Connection::kAccepted, a.sent_initiated.back(), 1);
    EXPECT_EQ(b.peer->state(), Peer::State::kClosed);
    a.peer->on_closed(Connection::kInitiated, 1);
    EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
    EXPECT_EQ(a.peer->watchdog_state(), Watchdog::State::kInitial)
        << "INITIAL, not DOWN, after a disconnection by DPR";
    a.peer->tick(40);
    EXPECT_EQ(a.connect_count, cause == DisconnectCause::kDoNotWantToTalk ? 1 : 2);
  }
}

// A missing DPA must not block the shutdown.
TEST(Peer, UnansweredDprTimesOut) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", false);
  open_pair(a, b, 0);
  a.peer->stop(DisconnectCause::kRebooting, 1);
  EXPECT_EQ(a.peer->state(), Peer::State::kClosing);
  a.peer->tick(a.peer->deadline());
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
}

TEST(Peer, UnansweredWatchdogMakesPeerSuspectThenClosesConnection) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", false, false);
  open_pair(a, b, 0);
  a.peer->tick(a.peer->deadline());
  EXPECT_EQ(decode_valid(a.sent_initiated.back()).header.command, kDeviceWatchdog);
  EXPECT_TRUE(a.peer->can_send_requests());
  a.peer->tick(a.peer->deadline());
  EXPECT_TRUE(a.suspect);
  EXPECT_FALSE(a.peer->can_send_requests());
  a.peer->tick(a.peer->deadline());
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
  EXPECT_EQ(a.down_count, 1);
  // After reconnection: REOPEN until three DWAs are received, and messages before that are discarded.
  a.peer->tick(a.peer->deadline());
  a.peer->on_connected(200);
  b.peer->on_closed(Connection::kAccepted, 199);
  std::string reply;
  ASSERT_TRUE(b.peer->accept(decode_valid(a.sent_initiated.back()), 200, reply));
  a.peer->on_received(Connection::kInitiated, b.sent_accepted.back(), 200);
  EXPECT_EQ(a.peer->watchdog_state(), Watchdog::State::kReopen);
  EXPECT_FALSE(a.peer->can_send_requests());
  a.peer->on_received(Connection::kInitiated, make_setup(9), 200);
  EXPECT_EQ(a.reopening_messages, 1);
  for (int i = 0; i < 3; ++i) {
    b.peer->on_received(Connection::kAccepted, a.sent_initiated.back(), 201);
    a.peer->on_received(Connection::kInitiated, b.sent_accepted.back(), 201);
    if (i < 2) a.peer->tick(a.peer->deadline());
  }
  EXPECT_TRUE(a.peer->can_send_requests());
}

TEST(Peer, AnswersWatchdogRequestsWithOwnWatchdogDisabled) {
  TestPeer a("a", "b", true);
  TestPeer b("b", "a", false, false);
  open_pair(a, b, 0);
  EXPECT_GT(b.peer->deadline(), 1e9) << "its own watchdog is disabled";
  a.peer->tick(a.peer->deadline());
  b.peer->on_received(Connection::kAccepted, a.sent_initiated.back(), 31);
  EXPECT_EQ(result_code_of(b.sent_accepted.back()), kSuccess);
}

TEST(Peer, ClosesAndReconnectsAfterTcWhenCerIsUnanswered) {
  TestPeer a("a", "b", true);
  a.peer->start(0);
  a.peer->on_connected(0);
  a.peer->tick(10);
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
  EXPECT_EQ(a.closed_initiated, 1);
  EXPECT_GT(a.peer->deadline(), 10 + 26.9);
  a.peer->tick(a.peer->deadline());
  EXPECT_EQ(a.connect_count, 2);
}

}  // namespace
}  // namespace mintrock::diameter
