// One Diameter peer: the state machine of RFC 6733 section 5.6 over up to two transport connections, the
// capabilities exchange (5.3), disconnection (5.4) and the watchdog (5.5, RFC 3539).
//
// Pure: bytes and times in; bytes, requests to connect or close, and messages out, through a PeerDelegate. It
// has no sockets and reads no clock. Messages that the base protocol answers by itself (faults, unknown
// commands and applications, loops) never reach the owner.
#ifndef MINTROCK_SRC_DIAMETER_PEER_HPP_
#define MINTROCK_SRC_DIAMETER_PEER_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "diameter/codec.hpp"
#include "diameter/dictionary.hpp"
#include "diameter/watchdog.hpp"

namespace mintrock::diameter {

// Who this program is, toward every peer.
struct LocalNode {
  std::string host;
  std::string realm;
  std::uint32_t address = 0x7F000001;  // IPv4, host order
  std::string product = "mintrock";
  std::uint32_t vendor = kVendorMintrock;
  std::uint32_t origin_state_id = 0;  // grows with each start (section 8.16)
};

struct PeerSettings {
  std::string host;                          // its Origin-Host
  bool initiates = false;                    // this side opens connections
  bool watchdog_enabled = true;              // this side sends watchdog requests; theirs are always answered
  double watchdog_interval_s = 30;           // seconds, 6 or more
  double reconnect_interval_s = 30;          // seconds between attempts to connect
  double answer_timeout_s = 10;              // seconds for a connection, a CEA or a DPA
  std::uint32_t max_message_length = 65536;  // bytes of a message
};

// Which of the two transport connections is meant: the one this side opened, or the one it accepted.
enum class Connection { kInitiated, kAccepted };

// Disconnect-Cause, RFC 6733 section 5.4.3.
enum class DisconnectCause : std::uint32_t { kRebooting = 0, kBusy = 1, kDoNotWantToTalk = 2 };

// What a peer machine asks of its owner. Calls may come from within any call of the machine.
class PeerDelegate {
 public:
  virtual ~PeerDelegate() = default;
  virtual void connect() = 0;
  virtual void send(Connection link, std::string bytes) = 0;
  virtual void close(Connection link) = 0;
  // The capabilities are exchanged: messages may pass.
  virtual void on_up() = 0;
  // It was up and is no more; whatever was waited for from it won't come.
  virtual void on_down(const std::string& why) = 0;
  // The watchdog's fail-over (true) and fail-back (false): send nothing new while true.
  virtual void on_suspect_change(bool now_suspect) = 0;
  // A checked message of the Credit-Control application or of a session. `reopening`: by RFC 3539 it counts
  // for nothing; a request must still be answered.
  virtual void on_message(const MessageView& message, bool reopening) = 0;
  // One line about something wrong that came from this peer.
  virtual void on_protocol_error(const std::string& what) = 0;
};

class Peer {
 public:
  enum class State {
    kClosed,
    kWaitConnAck,
    kWaitICea,
    kWaitConnAckElect,
    kWaitReturns,
    kROpen,
    kIOpen,
    kClosing
  };

  Peer(const LocalNode& local, PeerSettings settings, std::uint64_t seed, PeerDelegate& sink);

  State state() const { return state_; }
  bool is_open() const { return state_ == State::kROpen || state_ == State::kIOpen; }
  // Requests may be sent: open, and not suspect.
  bool can_send_requests() const { return is_open() && !suspect_; }
  const std::string& host() const { return settings_.host; }
  Watchdog::State watchdog_state() const { return watchdog_.state(); }
  // The reason of the peer's DPR, if it sent one last.
  std::optional<DisconnectCause> peer_disconnect_cause() const { return peer_cause_; }
  // Origin-State-Id as the other side gave it last; 0: never. A change means that it lost its sessions
  // (section 8.16).
  std::uint32_t peer_origin_state_id() const { return peer_origin_state_; }

  // ---- Events ----
  void start(double now);         // begin to connect (initiators)
  void on_connected(double now);  // our connection stands
  void on_connect_failed(double now);
  void on_received(Connection link, std::string_view bytes, double now);
  void on_closed(Connection link, double now,
                 const std::string& why = "connection lost");  // by the other side, or a fault
  void stop(DisconnectCause cause, double now);                // DPR, then close; no reconnection after it
  void tick(double now);                                       // call when `deadline` has passed
  double deadline() const;
  // A connection was accepted and this CER came over it. True: it is now Connection::kAccepted, bytes that
  // follow go to `received`. False: it was rejected; `reply` (may be empty) is to be sent and the connection
  // closed.
  bool accept(const MessageView& cer, double now, std::string& reply);

  // ---- Sending ----
  std::uint32_t next_hop_by_hop() { return ++hop_by_hop_; }
  std::uint32_t next_end_to_end() { return ++end_to_end_; }
  // Sends an encoded message if the peer is open; false if not.
  bool send(std::string bytes);

 private:
  void enter(State state, double now);
  void open_on(Connection link, double now);
  void fall(const std::string& why, double now);  // to Closed; tells the owner if it was open
  void handle_message(Connection link, std::string_view frame, double now);
  void handle_base(Connection link, const MessageView& message, double now);
  void handle_cea(const MessageView& message, double now);
  void process_dpr(Connection link, const MessageView& message, double now);
  void apply(const Watchdog::Actions& actions, double now);
  void note_origin_state(const MessageView& message);
  void send_cer();
  void send_dwr();
  std::string make_cea(const MessageView& cer) const;
  bool win_election() const { return local_.host > settings_.host; }
  void close_link(Connection link);
  bool live(Connection link) const { return link == Connection::kInitiated ? initiated_ : accepted_; }
  Framer& framer(Connection link) { return *framers_[link == Connection::kInitiated ? 0 : 1]; }

  const LocalNode& local_;
  PeerSettings settings_;
  PeerDelegate& sink_;
  State state_ = State::kClosed;
  Connection link_ = Connection::kInitiated;  // the one that is open
  bool initiated_ = false;
  bool accepted_ = false;
  bool stopped_ = false;
  bool suspect_ = false;
  bool agreed_ = false;  // the disconnection was agreed on by DPR
  double timeout_ = 0;   // of the state; 0: none
  double reconnect_at_ = 0;
  std::string held_cea_;  // for the accepted link, until the election is over
  std::optional<DisconnectCause> peer_cause_;
  std::uint32_t peer_origin_state_ = 0;
  std::unique_ptr<Framer> framers_[2];
  std::mt19937_64 random_;
  Watchdog watchdog_;
  std::uint32_t hop_by_hop_;
  std::uint32_t end_to_end_;
  std::uint32_t own_request_ = 0;  // hop-by-hop id of the CER, DWR or DPR that is out
};

const char* name(Peer::State state);

// An answer that reports a fault (RFC 6733 section 7.2): the E bit for protocol errors (3xxx), Session-Id and
// Proxy-Info copied, Failed-AVP and Error-Message where there are any.
std::string error_answer(const LocalNode& local, const MessageView& request, std::uint32_t result_code,
                         std::string_view failed_avp, std::string_view text);

// The header of the answer to a request: same ids, P bit kept, R and T cleared.
Header answer_header(const Header& request, bool error);

// Copies every Proxy-Info of a request, untouched (section 6.7.2 wants their order kept).
void copy_proxy_info(const MessageView& request, Builder& answer);

// Whether the other side's CER or CEA offers Credit-Control or relay (section 5.3).
bool has_common_application(const MessageView& message);

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_PEER_HPP_
