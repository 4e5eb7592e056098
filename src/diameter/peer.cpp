#include "diameter/peer.hpp"

#include <algorithm>
#include <limits>
#include <utility>

namespace mintrock::diameter {
namespace {

constexpr double kNever = std::numeric_limits<double>::infinity();

Header request_header(std::uint32_t command, std::uint32_t hop_by_hop, std::uint32_t end_to_end) {
  Header header;
  header.flags = kRequest;
  header.command = command;
  header.hop_by_hop = hop_by_hop;
  header.end_to_end = end_to_end;
  return header;
}

void add_origin(Builder& builder, const LocalNode& local) {
  builder.text(avp::kOriginHost, local.host).text(avp::kOriginRealm, local.realm);
}

void add_capabilities(Builder& builder, const LocalNode& local) {
  builder.ipv4(avp::kHostIpAddress, local.address)
      .u32(avp::kVendorId, local.vendor)
      .text(avp::kProductName, local.product)
      .u32(avp::kOriginStateId, local.origin_state_id)
      .u32(avp::kSupportedVendorId, kVendor3gpp)
      .u32(avp::kSupportedVendorId, kVendorMintrock)
      .u32(avp::kAuthApplicationId, kApplicationCreditControl);
}

}  // namespace

Header answer_header(const Header& request, bool error) {
  Header header = request;
  header.version = 1;
  header.flags = static_cast<std::uint8_t>((request.flags & kProxiable) | (error ? kErrorBit : 0));
  return header;
}

void copy_proxy_info(const MessageView& request, Builder& answer) {
  for (const AvpView& each : request.avps) {
    // A malformed Proxy-Info AVP is skipped: it would make the answer malformed as well.
    if (each.code == avp::kProxyInfo.code && each.vendor == 0 && is_well_formed(each))
      answer.raw(each.encoded);
  }
}

std::string error_answer(const LocalNode& local, const MessageView& request, std::uint32_t result_code,
                         std::string_view failed_avp, std::string_view text) {
  Builder answer(answer_header(request.header, result_code >= 3000 && result_code < 4000));
  if (const AvpView* session = request.find(avp::kSessionId.code))
    answer.text(avp::kSessionId, session->data);
  answer.u32(avp::kResultCode, result_code);
  add_origin(answer, local);
  if (request.header.command == kCreditControl) {  // required in the answer (RFC 8506, 3.2)
    answer.u32(avp::kAuthApplicationId, kApplicationCreditControl);
    for (const AvpDef* def : {&avp::kCcRequestType, &avp::kCcRequestNumber}) {
      const AvpView* request_avp = request.find(def->code);
      if (request_avp != nullptr && is_well_formed(*request_avp)) answer.raw(request_avp->encoded);
    }
  }
  if (!text.empty()) answer.text(avp::kErrorMessage, text);
  if (!failed_avp.empty()) answer.begin_group(avp::kFailedAvp).raw(failed_avp).end_group();
  copy_proxy_info(request, answer);
  return answer.finish();
}

bool has_common_application(const MessageView& message) {
  const auto is_common = [](const AvpView& each) {
    const bool is_application_id = each.vendor == 0 && (each.code == avp::kAuthApplicationId.code ||
                                                        each.code == avp::kAcctApplicationId.code);
    const auto value = is_application_id ? as_u32(each) : std::nullopt;
    return value && (*value == kApplicationCreditControl || *value == kApplicationRelay);
  };
  for (const AvpView& each : message.avps) {
    if (is_common(each)) return true;
    if (each.code != avp::kVendorSpecificApplicationId.code || each.vendor != 0) continue;
    std::vector<AvpView> inner;
    if (split_avps(each.data, inner)) continue;
    if (std::any_of(inner.begin(), inner.end(), is_common)) return true;
  }
  return false;
}

Peer::Peer(const LocalNode& local, PeerSettings settings, std::uint64_t seed, PeerDelegate& delegate)
    : local_(local),
      settings_(std::move(settings)),
      delegate_(delegate),
      reconnect_at_(kNever),
      rng_(seed),
      watchdog_(settings_.watchdog_interval_s, seed ^ 0x9E3779B97F4A7C15u) {
  state_deadline_ = kNever;
  // Section 3: hop-by-hop ids start at any value; the upper 12 bits of end-to-end ids hold the time. This
  // node uses the lower bits of Origin-State-Id, which is the start time.
  hop_by_hop_ = static_cast<std::uint32_t>(rng_());
  end_to_end_ = local.origin_state_id << 20 | (static_cast<std::uint32_t>(rng_()) & 0xFFFFF);
}

void Peer::enter(State state, double now) {
  state_ = state;
  const bool has_timeout = state == State::kWaitConnAck || state == State::kWaitICea ||
                           state == State::kWaitConnAckElect || state == State::kWaitReturns ||
                           state == State::kClosing;
  state_deadline_ = has_timeout ? now + settings_.answer_timeout_s : kNever;
}

void Peer::start(double now) {
  stopped_ = false;
  if (state_ != State::kClosed || !settings_.initiates) return;
  reconnect_at_ = kNever;
  enter(State::kWaitConnAck, now);
  delegate_.connect();
}

void Peer::on_connected(double now) {
  initiated_up_ = true;
  framers_[0] = std::make_unique<Framer>(settings_.max_message_length);
  if (state_ == State::kWaitConnAck) {
    enter(State::kWaitICea, now);
    send_cer();
  } else if (state_ == State::kWaitConnAckElect) {
    send_cer();
    if (wins_election()) {
      close_connection(Connection::kInitiated);
      delegate_.send(Connection::kAccepted, std::exchange(deferred_cea_, {}));
      enter_open(Connection::kAccepted, now);
    } else {
      enter(State::kWaitReturns, now);
    }
  } else {
    close_connection(Connection::kInitiated);  // the state changed in the meantime
  }
}

void Peer::on_connect_failed(double now) {
  if (state_ == State::kWaitConnAckElect) {
    delegate_.send(Connection::kAccepted, std::exchange(deferred_cea_, {}));
    enter_open(Connection::kAccepted, now);
  } else if (state_ == State::kWaitConnAck) {
    enter_closed("connection refused", now);
  }
}

void Peer::record_origin_state(const MessageView& message) {
  const AvpView* state = message.find(avp::kOriginStateId.code);
  if (state != nullptr) peer_origin_state_id_ = as_u32(*state).value_or(peer_origin_state_id_);
}

bool Peer::accept(const MessageView& cer, double now, std::string& reply) {
  reply.clear();
  if (stopped_) {
    reply = error_answer(local_, cer, kTooBusy, {}, "closing");
    return false;
  }
  if (!has_common_application(cer)) {
    reply = error_answer(local_, cer, kNoCommonApplication, {}, "Credit-Control (4) is spoken here");
    return false;
  }
  switch (state_) {
    case State::kClosed:
      record_origin_state(cer);
      accepted_up_ = true;
      framers_[1] = std::make_unique<Framer>(settings_.max_message_length);
      delegate_.send(Connection::kAccepted, make_cea(cer));
      enter_open(Connection::kAccepted, now);
      return true;
    case State::kWaitConnAck:
      record_origin_state(cer);
      accepted_up_ = true;
      framers_[1] = std::make_unique<Framer>(settings_.max_message_length);
      deferred_cea_ = make_cea(cer);
      enter(State::kWaitConnAckElect, now);
      return true;
    case State::kWaitICea:
      record_origin_state(cer);
      accepted_up_ = true;
      framers_[1] = std::make_unique<Framer>(settings_.max_message_length);
      if (wins_election()) {
        close_connection(Connection::kInitiated);
        delegate_.send(Connection::kAccepted, make_cea(cer));
        enter_open(Connection::kAccepted, now);
      } else {
        deferred_cea_ = make_cea(cer);
        enter(State::kWaitReturns, now);
      }
      return true;
    default:  // R-Reject: the connection is closed without an answer
      return false;
  }
}

void Peer::enter_open(Connection connection, double now) {
  open_connection_ = connection;
  disconnect_agreed_ = false;
  peer_disconnect_cause_.reset();
  suspect_ = false;
  enter(connection == Connection::kInitiated ? State::kIOpen : State::kROpen, now);
  delegate_.on_up();
  if (settings_.watchdog_enabled) {
    const Watchdog::Actions actions = watchdog_.on_connection_up(now);
    if (watchdog_.state() == Watchdog::State::kReopen) {
      suspect_ = true;
      delegate_.on_suspect_change(true);
    }
    apply_watchdog_actions(actions, now);
  }
}

void Peer::close_connection(Connection connection) {
  bool& connected = connection == Connection::kInitiated ? initiated_up_ : accepted_up_;
  if (!connected) return;
  connected = false;
  delegate_.close(connection);
}

void Peer::enter_closed(const std::string& reason, double now) {
  const bool was_open = is_open() || state_ == State::kClosing;
  close_connection(Connection::kInitiated);
  close_connection(Connection::kAccepted);
  deferred_cea_.clear();
  enter(State::kClosed, now);
  if (settings_.watchdog_enabled) {
    if (disconnect_agreed_) {
      watchdog_.reset(now);
    } else {
      watchdog_.on_connection_down(now);
    }
  }
  // Tc with 10% jitter, so that the nodes that lost a server don't all reconnect at the same moment.
  std::uniform_real_distribution<double> jitter(0.9, 1.1);
  reconnect_at_ =
      settings_.initiates && !stopped_ ? now + settings_.reconnect_interval_s * jitter(rng_) : kNever;
  if (was_open) delegate_.on_down(reason);
}

void Peer::on_closed(Connection connection, double now, const std::string& reason) {
  if (!is_connected(connection)) return;
  (connection == Connection::kInitiated ? initiated_up_ : accepted_up_) = false;
  switch (state_) {
    case State::kWaitICea:
      if (connection == Connection::kInitiated) enter_closed("closed before the CEA", now);
      return;
    case State::kWaitConnAckElect:
      if (connection == Connection::kAccepted) enter(State::kWaitConnAck, now);
      return;
    case State::kWaitReturns:
      if (connection == Connection::kInitiated) {
        delegate_.send(Connection::kAccepted, std::exchange(deferred_cea_, {}));
        enter_open(Connection::kAccepted, now);
      } else {
        enter(State::kWaitICea, now);
      }
      return;
    case State::kROpen:
    case State::kIOpen:
    case State::kClosing:
      if (connection == open_connection_)
        enter_closed(state_ == State::kClosing ? "disconnected" : reason, now);
      return;
    default:
      return;
  }
}

void Peer::stop(DisconnectCause cause, double now) {
  stopped_ = true;
  reconnect_at_ = kNever;
  if (!is_open()) {
    if (state_ != State::kClosed && state_ != State::kClosing) enter_closed("stopped", now);
    return;
  }
  pending_request_id_ = next_hop_by_hop();
  Builder dpr(request_header(kDisconnectPeer, pending_request_id_, next_end_to_end()));
  add_origin(dpr, local_);
  dpr.u32(avp::kDisconnectCause, static_cast<std::uint32_t>(cause));
  delegate_.send(open_connection_, dpr.finish());
  disconnect_agreed_ = true;
  enter(State::kClosing, now);
}

double Peer::deadline() const {
  double deadline = std::min(state_deadline_, reconnect_at_);
  if (settings_.watchdog_enabled && is_open()) deadline = std::min(deadline, watchdog_.deadline());
  return deadline;
}

void Peer::tick(double now) {
  if (now >= state_deadline_) {
    enter_closed(std::string("no answer in state ") + name(state_), now);
  }
  if (now >= reconnect_at_) start(now);
  if (settings_.watchdog_enabled && is_open() && now >= watchdog_.deadline())
    apply_watchdog_actions(watchdog_.on_timer(now), now);
}

void Peer::apply_watchdog_actions(const Watchdog::Actions& actions, double now) {
  if (actions.failover && !suspect_) {
    suspect_ = true;
    delegate_.on_suspect_change(true);
  }
  if (actions.failback && suspect_) {
    suspect_ = false;
    delegate_.on_suspect_change(false);
  }
  if (actions.send_watchdog) send_dwr();
  if (actions.close_connection) enter_closed("watchdog unanswered", now);
}

bool Peer::send(std::string bytes) {
  if (!is_open()) return false;
  delegate_.send(open_connection_, std::move(bytes));
  return true;
}

void Peer::send_cer() {
  pending_request_id_ = next_hop_by_hop();
  Builder cer(request_header(kCapabilitiesExchange, pending_request_id_, next_end_to_end()));
  add_origin(cer, local_);
  add_capabilities(cer, local_);
  delegate_.send(Connection::kInitiated, cer.finish());
}

void Peer::send_dwr() {
  pending_request_id_ = next_hop_by_hop();
  Builder dwr(request_header(kDeviceWatchdog, pending_request_id_, next_end_to_end()));
  add_origin(dwr, local_);
  dwr.u32(avp::kOriginStateId, local_.origin_state_id);
  delegate_.send(open_connection_, dwr.finish());
}

std::string Peer::make_cea(const MessageView& cer) const {
  Builder cea(answer_header(cer.header, false));
  cea.u32(avp::kResultCode, kSuccess);
  add_origin(cea, local_);
  add_capabilities(cea, local_);
  return cea.finish();
}

void Peer::on_received(Connection connection, std::string_view bytes, double now) {
  if (!is_connected(connection)) return;
  framer(connection).feed(bytes);
  for (;;) {
    // Handling a message may have closed the connection; the bytes that follow it are ignored.
    if (!is_connected(connection)) return;
    std::string_view frame;
    switch (framer(connection).next(frame)) {
      case Framer::Status::kNeedMore:
        return;
      case Framer::Status::kFrame:
        handle_message(connection, frame, now);
        break;
      case Framer::Status::kFault: {
        // The message boundaries are lost: report the error, then close (sections 7.1.5 and 5.6).
        const Fault fault = framer(connection).fault();
        delegate_.on_protocol_error(fault.text + "; connection closed");
        MessageView view;
        view.header = framer(connection).header();
        if (view.header.is_request()) {
          delegate_.send(connection, error_answer(local_, view, fault.result_code, {}, fault.text));
        }
        if (is_open() && connection == open_connection_) {
          enter_closed("malformed stream", now);
        } else {
          close_connection(connection);
          if (state_ == State::kWaitICea || state_ == State::kWaitConnAck)
            enter_closed("malformed stream", now);
        }
        return;
      }
    }
  }
}

void Peer::handle_message(Connection connection, std::string_view frame, double now) {
  MessageView view;
  std::optional<Fault> fault = decode(frame, view);
  const bool is_request = view.header.is_request();
  const std::uint32_t command = view.header.command;
  const bool is_base_command =
      command == kCapabilitiesExchange || command == kDeviceWatchdog || command == kDisconnectPeer;
  if (!fault) {
    if (!is_known_command(command)) {
      fault = Fault{kCommandUnsupported, "", "command " + std::to_string(command)};
    } else if (!is_base_command && view.header.application != kApplicationCreditControl) {
      fault = Fault{kApplicationUnsupported, "", "application " + std::to_string(view.header.application)};
    } else {
      fault = validate(view);
    }
  }
  if (!fault && is_request && !is_base_command) {
    for (const AvpView& each : view.avps) {
      if (each.code == avp::kRouteRecord.code && each.vendor == 0 && each.data == local_.host) {
        fault = Fault{kLoopDetected, "", "this node stands in Route-Record"};
      }
    }
  }
  bool reopening = false;
  if (settings_.watchdog_enabled && is_open() && connection == open_connection_) {
    const bool is_dwa = command == kDeviceWatchdog && !is_request;
    const Watchdog::Actions actions =
        is_dwa ? (fault ? Watchdog::Actions{} : watchdog_.on_dwa(now)) : watchdog_.on_non_dwa(now);
    reopening = actions.discard_message;
    apply_watchdog_actions(actions, now);
  }
  if (fault) {
    delegate_.on_protocol_error("command " + std::to_string(command) + ": " + fault->text);
    // Section 6.2: answers are never answered; an invalid answer is dropped.
    if (is_request) {
      delegate_.send(connection,
                     error_answer(local_, view, fault->result_code, fault->failed_avp, fault->text));
    } else if (state_ == State::kWaitICea || state_ == State::kWaitReturns) {
      enter_closed("no valid CEA", now);
    }
    return;
  }
  if (is_base_command) return handle_base_message(connection, view, now);
  if (!is_open() || connection != open_connection_) {
    if (state_ == State::kClosing && connection == open_connection_) {
      // Answers in flight are still accepted; new requests are not.
      if (!is_request) return delegate_.on_message(view, false);
      delegate_.send(connection, error_answer(local_, view, kUnableToDeliver, {}, "closing"));
      return;
    }
    delegate_.on_protocol_error("message received before the capabilities exchange");
    if (state_ == State::kWaitICea) enter_closed("message received before the CEA", now);
    return;
  }
  delegate_.on_message(view, reopening);
}

void Peer::handle_base_message(Connection connection, const MessageView& message, double now) {
  const bool is_request = message.header.is_request();
  switch (message.header.command) {
    case kCapabilitiesExchange:
      if (!is_request) return handle_cea(message, now);
      if (is_open() && connection == open_connection_) {
        delegate_.send(connection, make_cea(message));  // the peer updates its capabilities
      } else {
        delegate_.on_protocol_error("unexpected CER");
      }
      return;
    case kDeviceWatchdog:
      if (is_request) {
        Builder dwa(answer_header(message.header, false));
        dwa.u32(avp::kResultCode, kSuccess);
        add_origin(dwa, local_);
        dwa.u32(avp::kOriginStateId, local_.origin_state_id);
        delegate_.send(connection, dwa.finish());
      }
      return;
    case kDisconnectPeer:
      if (is_request) return handle_dpr(connection, message, now);
      if (state_ == State::kClosing && message.header.hop_by_hop == pending_request_id_)
        enter_closed("disconnected", now);
      return;
    default:
      return;
  }
}

void Peer::handle_cea(const MessageView& message, double now) {
  const bool expected = state_ == State::kWaitICea || state_ == State::kWaitReturns;
  if (!expected || message.header.hop_by_hop != pending_request_id_)
    return delegate_.on_protocol_error("unsolicited CEA");
  const AvpView* result = message.find(avp::kResultCode.code);
  const AvpView* host = message.find(avp::kOriginHost.code);
  const std::uint32_t code = result != nullptr ? as_u32(*result).value_or(0) : 0;
  if (code / 1000 != 2) {
    delegate_.on_protocol_error("capabilities refused with " + std::to_string(code));
    return enter_closed("capabilities refused", now);
  }
  if (!settings_.host.empty() && (host == nullptr || host->data != settings_.host)) {
    delegate_.on_protocol_error("the Origin-Host of the CEA is not " + settings_.host);
    return enter_closed("unexpected Origin-Host in the CEA", now);
  }
  if (!has_common_application(message)) return enter_closed("no common application", now);
  record_origin_state(message);
  if (state_ == State::kWaitReturns) {
    close_connection(Connection::kAccepted);
    deferred_cea_.clear();
  }
  enter_open(Connection::kInitiated, now);
}

void Peer::handle_dpr(Connection connection, const MessageView& message, double now) {
  Builder dpa(answer_header(message.header, false));
  dpa.u32(avp::kResultCode, kSuccess);
  add_origin(dpa, local_);
  delegate_.send(connection, dpa.finish());
  if (!is_open() && state_ != State::kClosing) return;
  const AvpView* cause = message.find(avp::kDisconnectCause.code);
  peer_disconnect_cause_ = static_cast<DisconnectCause>(cause != nullptr ? as_u32(*cause).value_or(0) : 0);
  disconnect_agreed_ = true;
  // Section 5.4.3: this node doesn't reconnect to a peer that sent DO_NOT_WANT_TO_TALK_TO_YOU.
  if (*peer_disconnect_cause_ == DisconnectCause::kDoNotWantToTalk) stopped_ = true;
  // The sender of the DPR closes the connection. This node waits for that, up to the answer timeout.
  if (is_open()) {
    enter(State::kClosing, now);
    delegate_.on_suspect_change(true);
    suspect_ = true;
  }
}

const char* name(Peer::State state) {
  switch (state) {
    case Peer::State::kClosed:
      return "Closed";
    case Peer::State::kWaitConnAck:
      return "Wait-Conn-Ack";
    case Peer::State::kWaitICea:
      return "Wait-I-CEA";
    case Peer::State::kWaitConnAckElect:
      return "Wait-Conn-Ack/Elect";
    case Peer::State::kWaitReturns:
      return "Wait-Returns";
    case Peer::State::kROpen:
      return "R-Open";
    case Peer::State::kIOpen:
      return "I-Open";
    case Peer::State::kClosing:
      return "Closing";
  }
  return "?";
}

}  // namespace mintrock::diameter
