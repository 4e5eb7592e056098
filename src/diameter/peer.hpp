// One Diameter peer: the state machine of RFC 6733 section 5.6 over up to two transport connections, the
// capabilities exchange (5.3), disconnection (5.4) and the watchdog (5.5, RFC 3539).
//
// A pure module: it does no I/O and reads no clock. The owner passes in received bytes and the current time;
// bytes to send, requests to connect or close, and messages come out through a PeerDelegate. Messages that
// the base protocol answers by itself (malformed messages, unknown commands and applications, loops) are not
// passed to the delegate.
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

// The identity that this node presents to every peer.
struct LocalNode {
  std::string host;
  std::string realm;
  std::uint32_t address = 0x7F000001;  // IPv4, host order
  std::string product = "mintrock";
  std::uint32_t vendor = kVendorMintrock;
  std::uint32_t origin_state_id = 0;  // increases with each start (section 8.16)
};

struct PeerSettings {
  std::string host;        // the Origin-Host of the peer
  bool initiates = false;  // whether this node opens connections to the peer
  // Whether this node sends watchdog requests. Those of the peer are always answered.
  bool watchdog_enabled = true;
  double watchdog_interval_s = 30;           // Tw of RFC 3539: seconds, 6 or more
  double reconnect_interval_s = 30;          // Tc of RFC 6733: seconds between connection attempts
  double answer_timeout_s = 10;              // seconds to wait for a connection, a CEA or a DPA
  std::uint32_t max_message_length = 65536;  // bytes
};

// One of the two possible transport connections to a peer: the one this node initiated or the one it
// accepted.
enum class Connection { kInitiated, kAccepted };

// Disconnect-Cause, RFC 6733 section 5.4.3.
enum class DisconnectCause : std::uint32_t { kRebooting = 0, kBusy = 1, kDoNotWantToTalk = 2 };

// Callbacks from a Peer to its owner. Any member function of Peer may invoke them before it returns.
class PeerDelegate {
 public:
  virtual ~PeerDelegate() = default;
  virtual void connect() = 0;
  virtual void send(Connection connection, std::string bytes) = 0;
  virtual void close(Connection connection) = 0;
  // The capabilities exchange succeeded; messages may be exchanged from now on.
  virtual void on_up() = 0;
  // The connection was up and is lost; requests in flight won't be answered.
  virtual void on_down(const std::string& reason) = 0;
  // The watchdog fails over (true) or fails back (false). No new requests may be sent while it is true.
  virtual void on_suspect_change(bool now_suspect) = 0;
  // A valid message of the Credit-Control application or of a session has arrived. If `reopening`, RFC 3539
  // requires that it be discarded, but a request must still be answered.
  virtual void on_message(const MessageView& message, bool reopening) = 0;
  // The peer violated the protocol; `what` is a one-line description.
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

  Peer(const LocalNode& local, PeerSettings settings, std::uint64_t seed, PeerDelegate& delegate);

  State state() const { return state_; }
  bool is_open() const { return state_ == State::kROpen || state_ == State::kIOpen; }
  // Whether new requests may be sent: the peer is open and not suspect.
  bool can_send_requests() const { return is_open() && !suspect_; }
  const std::string& host() const { return settings_.host; }
  Watchdog::State watchdog_state() const { return watchdog_.state(); }
  // The Disconnect-Cause of the DPR that the peer sent on its latest connection, if any.
  std::optional<DisconnectCause> peer_disconnect_cause() const { return peer_disconnect_cause_; }
  // The last Origin-State-Id received from the peer; 0 if none. A change means that the peer lost its
  // sessions (section 8.16).
  std::uint32_t peer_origin_state_id() const { return peer_origin_state_id_; }

  // ---- Events ----
  void start(double now);         // starts connecting, if this node initiates
  void on_connected(double now);  // the initiated connection is established
  void on_connect_failed(double now);
  void on_received(Connection connection, std::string_view bytes, double now);
  void on_closed(Connection connection, double now,
                 const std::string& reason = "connection lost");  // closed by the peer, or by an error
  void stop(DisconnectCause cause, double now);  // sends a DPR, then closes; does not reconnect
  void tick(double now);                         // to be called once `deadline()` has passed
  double deadline() const;
  // Offers an accepted connection whose first message is `cer`. Returns true if the connection is now
  // Connection::kAccepted; further bytes go to `on_received`. Returns false if it is rejected: the caller
  // sends `reply`, which may be empty, and closes the connection.
  bool accept(const MessageView& cer, double now, std::string& reply);

  // ---- Sending ----
  std::uint32_t next_hop_by_hop() { return ++hop_by_hop_; }
  std::uint32_t next_end_to_end() { return ++end_to_end_; }
  // Sends an encoded message. Returns false if the peer is not open.
  bool send(std::string bytes);

 private:
  void enter(State state, double now);
  void enter_open(Connection connection, double now);
  // Closes both connections and enters Closed. Calls on_down if the peer was open or closing.
  void enter_closed(const std::string& reason, double now);
  void handle_message(Connection connection, std::string_view frame, double now);
  void handle_base_message(Connection connection, const MessageView& message, double now);
  void handle_cea(const MessageView& message, double now);
  void handle_dpr(Connection connection, const MessageView& message, double now);
  void apply_watchdog_actions(const Watchdog::Actions& actions, double now);
  void record_origin_state(const MessageView& message);
  void send_cer();
  void send_dwr();
  std::string make_cea(const MessageView& cer) const;
  bool wins_election() const { return local_.host > settings_.host; }
  void close_connection(Connection connection);
  bool is_connected(Connection connection) const {
    return connection == Connection::kInitiated ? initiated_up_ : accepted_up_;
  }
  Framer& framer(Connection connection) { return *framers_[connection == Connection::kInitiated ? 0 : 1]; }

  const LocalNode& local_;
  PeerSettings settings_;
  PeerDelegate& delegate_;
  State state_ = State::kClosed;
  Connection open_connection_ = Connection::kInitiated;  // valid in the open and closing states
  bool initiated_up_ = false;
  bool accepted_up_ = false;
  bool stopped_ = false;  // no connection is initiated or accepted until the next start()
  bool suspect_ = false;
  bool disconnect_agreed_ = false;  // a DPR was sent or received on this connection
  double state_deadline_ = 0;       // when the current state times out; infinity: never
  double reconnect_at_ = 0;
  std::string deferred_cea_;  // CEA for the accepted connection, held back until the election is decided
  std::optional<DisconnectCause> peer_disconnect_cause_;
  std::uint32_t peer_origin_state_id_ = 0;
  std::unique_ptr<Framer> framers_[2];
  std::mt19937_64 rng_;
  Watchdog watchdog_;
  std::uint32_t hop_by_hop_;
  std::uint32_t end_to_end_;
  std::uint32_t pending_request_id_ = 0;  // hop-by-hop id of the last CER, DWR or DPR sent
};

const char* name(Peer::State state);

// Builds an answer that reports an error (RFC 6733 section 7.2). Sets the E bit for protocol errors (3xxx),
// copies Session-Id and Proxy-Info, and adds Failed-AVP and Error-Message unless they are empty.
std::string error_answer(const LocalNode& local, const MessageView& request, std::uint32_t result_code,
                         std::string_view failed_avp, std::string_view text);

// Returns the header of the answer to a request: the same ids, the P bit kept, R and T cleared.
Header answer_header(const Header& request, bool error);

// Copies every well-formed Proxy-Info AVP of a request unchanged and in order, as section 6.7.2 requires.
void copy_proxy_info(const MessageView& request, Builder& answer);

// Whether a CER or CEA of the peer advertises Credit-Control or relay (section 5.3).
bool has_common_application(const MessageView& message);

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_PEER_HPP_
