// Two peer machines wired to each other by a scripted transport, at virtual times.
#include "diameter/peer.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mintrock::diameter {
namespace {

struct Side : PeerDelegate {
  Side(const std::string& host, const std::string& other, bool initiates, bool watchdog = true) {
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
  void connect() override { connects += 1; }
  void send(Connection link, std::string bytes) override {
    (link == Connection::kInitiated ? sent_i : sent_r).push_back(bytes);
  }
  void close(Connection link) override { (link == Connection::kInitiated ? closed_i : closed_r) += 1; }
  void on_up() override { ups += 1; }
  void on_down(const std::string&) override { downs += 1; }
  void on_suspect_change(bool now_suspect) override { is_suspect = now_suspect; }
  void on_message(const MessageView& view, bool reopening) override {
    messages += 1;
    last = view.header;
    thrown += reopening;
  }
  void on_protocol_error(const std::string& what) override { faults.push_back(what); }

  LocalNode local;
  std::unique_ptr<Peer> peer;
  std::vector<std::string> sent_i, sent_r;
  int connects = 0, closed_i = 0, closed_r = 0, ups = 0, downs = 0, messages = 0, thrown = 0;
  bool is_suspect = false;
  Header last;
  std::vector<std::string> faults;
};

MessageView view_of(const std::string& bytes) {
  MessageView view;
  EXPECT_FALSE(decode(bytes, view));
  return view;
}

std::uint32_t result_of(const std::string& bytes) {
  const MessageView view = view_of(bytes);
  const AvpView* result = view.find(avp::kResultCode.code);
  return result != nullptr ? as_u32(*result).value_or(0) : 0;
}

// a opens toward b, both end open.
void open_pair(Side& a, Side& b, double now) {
  a.peer->start(now);
  a.peer->on_connected(now);
  std::string reply;
  ASSERT_TRUE(b.peer->accept(view_of(a.sent_i.back()), now, reply));
  a.peer->on_received(Connection::kInitiated, b.sent_r.back(), now);
  ASSERT_EQ(a.peer->state(), Peer::State::kIOpen);
  ASSERT_EQ(b.peer->state(), Peer::State::kROpen);
}

std::string setup(std::uint32_t hop, std::uint32_t command = kCreditControl, std::uint32_t application = 4,
                  const char* route = nullptr) {
  Header header;
  header.flags = kRequest | kProxiable;
  header.command = command;
  header.application = application;
  header.hop_by_hop = hop;
  Builder b(header);
  b.text(avp::kSessionId, "s").text(avp::kOriginHost, "a").text(avp::kOriginRealm, "example");
  b.text(avp::kDestinationRealm, "example").u32(avp::kAuthApplicationId, 4);
  b.text(avp::kServiceContextId, "c").u32(avp::kCcRequestType, 1).u32(avp::kCcRequestNumber, 0);
  if (route != nullptr) b.text(avp::kRouteRecord, route);
  return b.finish();
}

TEST(Peer, OpensAndPassesMessages) {
  Side a("a", "b", true);
  Side b("b", "a", false);
  open_pair(a, b, 0);
  EXPECT_EQ(a.ups, 1);
  EXPECT_TRUE(a.peer->send(setup(5)));
  b.peer->on_received(Connection::kAccepted, a.sent_i.back(), 1);
  EXPECT_EQ(b.messages, 1);
  EXPECT_EQ(b.last.hop_by_hop, 5u);
}

TEST(Peer, UnknownCommandsApplicationsAndLoopsAreAnsweredByTheBase) {
  Side a("a", "b", true);
  Side b("b", "a", false);
  open_pair(a, b, 0);
  b.peer->on_received(Connection::kAccepted, setup(1, 999), 1);
  EXPECT_EQ(result_of(b.sent_r.back()), kCommandUnsupported);
  b.peer->on_received(Connection::kAccepted, setup(2, kCreditControl, 77), 1);
  EXPECT_EQ(result_of(b.sent_r.back()), kApplicationUnsupported);
  b.peer->on_received(Connection::kAccepted, setup(3, kCreditControl, 4, "b"), 1);
  EXPECT_EQ(result_of(b.sent_r.back()), kLoopDetected);
  EXPECT_EQ(b.messages, 0);
  EXPECT_TRUE(b.peer->is_open());
}

TEST(Peer, AnswersAreNeverAnswered) {
  Side a("a", "b", true);
  Side b("b", "a", false);
  open_pair(a, b, 0);
  const std::size_t before = b.sent_r.size();
  std::string answer = setup(1);
  answer[4] = kProxiable;  // no Result-Code: malformed as an answer
  b.peer->on_received(Connection::kAccepted, answer, 1);
  EXPECT_EQ(b.sent_r.size(), before);
  EXPECT_EQ(b.faults.size(), 1u);
  EXPECT_EQ(b.messages, 0);
}

TEST(Peer, AStreamThatLostItsFramingIsToldAndClosed) {
  Side a("a", "b", true);
  Side b("b", "a", false);
  open_pair(a, b, 0);
  std::string bad = setup(1);
  bad[3] = 3;
  b.peer->on_received(Connection::kAccepted, bad, 1);
  EXPECT_EQ(result_of(b.sent_r.back()), kInvalidMessageLength);
  EXPECT_EQ(b.peer->state(), Peer::State::kClosed);
  EXPECT_EQ(b.downs, 1);
}

TEST(Peer, NoCommonApplicationIs5010) {
  Side b("b", "a", false);
  Header header;
  header.flags = kRequest;
  header.command = kCapabilitiesExchange;
  Builder cer(header);
  cer.text(avp::kOriginHost, "a").text(avp::kOriginRealm, "example").ipv4(avp::kHostIpAddress, 1);
  cer.u32(avp::kVendorId, 1).text(avp::kProductName, "x").u32(avp::kAuthApplicationId, 16777251);
  const std::string bytes = cer.finish();
  std::string reply;
  EXPECT_FALSE(b.peer->accept(view_of(bytes), 0, reply));
  EXPECT_EQ(result_of(reply), kNoCommonApplication);
}

// Both sides connect at once: the one with the higher Origin-Host keeps the connection that it accepted.
TEST(Peer, TheElectionLeavesOneConnection) {
  Side a("a", "b", true);
  Side b("b", "a", true);
  a.peer->start(0);
  b.peer->start(0);
  a.peer->on_connected(0);
  b.peer->on_connected(0);
  std::string reply;
  ASSERT_TRUE(a.peer->accept(view_of(b.sent_i.back()), 0, reply));
  EXPECT_EQ(a.peer->state(), Peer::State::kWaitReturns) << "a is lower: it waits for what b does";
  ASSERT_TRUE(b.peer->accept(view_of(a.sent_i.back()), 0, reply));
  EXPECT_EQ(b.peer->state(), Peer::State::kROpen) << "b is higher: it keeps the one it accepted";
  EXPECT_EQ(b.closed_i, 1);
  a.peer->on_received(Connection::kInitiated, b.sent_r.back(), 0);
  EXPECT_EQ(a.peer->state(), Peer::State::kIOpen);
  EXPECT_EQ(a.closed_r, 1);
  EXPECT_EQ(a.ups, 1);
  EXPECT_EQ(b.ups, 1);
}

TEST(Peer, AnElectionWhoseOtherConnectionFailsKeepsTheAcceptedOne) {
  Side a("a", "b", true);
  Side b("b", "a", true);
  a.peer->start(0);
  b.peer->start(0);
  b.peer->on_connected(0);
  std::string reply;
  ASSERT_TRUE(a.peer->accept(view_of(b.sent_i.back()), 0, reply));
  EXPECT_EQ(a.peer->state(), Peer::State::kWaitConnAckElect);
  a.peer->on_connect_failed(0);
  EXPECT_EQ(a.peer->state(), Peer::State::kROpen);
  b.peer->on_received(Connection::kInitiated, a.sent_r.back(), 0);
  EXPECT_TRUE(b.peer->is_open());
}

TEST(Peer, ASecondConnectionOfAnOpenPeerIsRejected) {
  Side a("a", "b", true);
  Side b("b", "a", false);
  open_pair(a, b, 0);
  std::string reply;
  EXPECT_FALSE(b.peer->accept(view_of(a.sent_i.back()), 1, reply));
  EXPECT_TRUE(b.peer->is_open());
}

TEST(Peer, EachCauseOfDprIsAnsweredAndReconnectionFollowsIt) {
  for (const auto cause :
       {DisconnectCause::kRebooting, DisconnectCause::kBusy, DisconnectCause::kDoNotWantToTalk}) {
    Side a("a", "b", true);
    Side b("b", "a", false);
    open_pair(a, b, 0);
    b.peer->stop(cause, 1);
    a.peer->on_received(Connection::kInitiated, b.sent_r.back(), 1);
    EXPECT_EQ(a.peer->peer_disconnect_cause(), cause);
    b.peer->on_received(Connection::kAccepted, a.sent_i.back(), 1);
    EXPECT_EQ(b.peer->state(), Peer::State::kClosed);
    a.peer->on_closed(Connection::kInitiated, 1);
    EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
    EXPECT_EQ(a.peer->watchdog_state(), Watchdog::State::kInitial) << "agreed: not DOWN";
    a.peer->tick(40);
    EXPECT_EQ(a.connects, cause == DisconnectCause::kDoNotWantToTalk ? 1 : 2);
  }
}

// A DPA that never comes must not hold a shutdown.
TEST(Peer, ADprWithoutAnswerEndsByItsTimeOut) {
  Side a("a", "b", true);
  Side b("b", "a", false);
  open_pair(a, b, 0);
  a.peer->stop(DisconnectCause::kRebooting, 1);
  EXPECT_EQ(a.peer->state(), Peer::State::kClosing);
  a.peer->tick(a.peer->deadline());
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
}

TEST(Peer, ASilentWatchdogMakesTheConnectionSuspectThenCloses) {
  Side a("a", "b", true);
  Side b("b", "a", false, false);
  open_pair(a, b, 0);
  a.peer->tick(a.peer->deadline());
  EXPECT_EQ(view_of(a.sent_i.back()).header.command, kDeviceWatchdog);
  EXPECT_TRUE(a.peer->can_send_requests());
  a.peer->tick(a.peer->deadline());
  EXPECT_TRUE(a.is_suspect);
  EXPECT_FALSE(a.peer->can_send_requests());
  a.peer->tick(a.peer->deadline());
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
  EXPECT_EQ(a.downs, 1);
  // Back again: REOPEN until three answers have come, and what comes before is thrown away.
  a.peer->tick(a.peer->deadline());
  a.peer->on_connected(200);
  b.peer->on_closed(Connection::kAccepted, 199);
  std::string reply;
  ASSERT_TRUE(b.peer->accept(view_of(a.sent_i.back()), 200, reply));
  a.peer->on_received(Connection::kInitiated, b.sent_r.back(), 200);
  EXPECT_EQ(a.peer->watchdog_state(), Watchdog::State::kReopen);
  EXPECT_FALSE(a.peer->can_send_requests());
  a.peer->on_received(Connection::kInitiated, setup(9), 200);
  EXPECT_EQ(a.thrown, 1);
  for (int i = 0; i < 3; ++i) {
    b.peer->on_received(Connection::kAccepted, a.sent_i.back(), 201);
    a.peer->on_received(Connection::kInitiated, b.sent_r.back(), 201);
    if (i < 2) a.peer->tick(a.peer->deadline());
  }
  EXPECT_TRUE(a.peer->can_send_requests());
}

TEST(Peer, WatchdogRequestsAreAnsweredEvenWhereNoneAreSent) {
  Side a("a", "b", true);
  Side b("b", "a", false, false);
  open_pair(a, b, 0);
  EXPECT_GT(b.peer->deadline(), 1e9) << "no watchdog of its own";
  a.peer->tick(a.peer->deadline());
  b.peer->on_received(Connection::kAccepted, a.sent_i.back(), 31);
  EXPECT_EQ(result_of(b.sent_r.back()), kSuccess);
}

TEST(Peer, AConnectionThatNeverAnswersTheCerIsGivenUpAndTriedAgainAfterTc) {
  Side a("a", "b", true);
  a.peer->start(0);
  a.peer->on_connected(0);
  a.peer->tick(10);
  EXPECT_EQ(a.peer->state(), Peer::State::kClosed);
  EXPECT_EQ(a.closed_i, 1);
  EXPECT_GT(a.peer->deadline(), 10 + 26.9);
  a.peer->tick(a.peer->deadline());
  EXPECT_EQ(a.connects, 2);
}

}  // namespace
}  // namespace mintrock::diameter
