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
    // A broken one is no one's state; sent back, it would break the answer too.
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
  if (request.header.command == kCreditControl) {  // its answer's grammar wants these back (RFC 8506, 3.2)
    answer.u32(avp::kAuthApplicationId, kApplicationCreditControl);
    for (const AvpDef* def : {&avp::kCcRequestType, &avp::kCcRequestNumber}) {
      const AvpView* given = request.find(def->code);
      if (given != nullptr && is_well_formed(*given)) answer.raw(given->encoded);
    }
  }
  if (!text.empty()) answer.text(avp::kErrorMessage, text);
  if (!failed_avp.empty()) answer.begin_group(avp::kFailedAvp).raw(failed_avp).end_group();
  copy_proxy_info(request, answer);
  return answer.finish();
}

bool has_common_application(const MessageView& message) {
  const auto fits = [](const AvpView& each) {
    const bool names = each.vendor == 0 && (each.code == avp::kAuthApplicationId.code ||
                                            each.code == avp::kAcctApplicationId.code);
    const auto value = names ? as_u32(each) : std::nullopt;
    return value && (*value == kApplicationCreditControl || *value == kApplicationRelay);
  };
  for (const AvpView& each : message.avps) {
    if (fits(each)) return true;
    if (each.code != avp::kVendorSpecificApplicationId.code || each.vendor != 0) continue;
    std::vector<AvpView> inner;
    if (split_avps(each.data, inner)) continue;
    if (std::any_of(inner.begin(), inner.end(), fits)) return true;
  }
  return false;
}

Peer::Peer(const LocalNode& local, PeerSettings settings, std::uint64_t seed, PeerDelegate& sink)
    : local_(local),
      settings_(std::move(settings)),
      sink_(sink),
      reconnect_at_(kNever),
      random_(seed),
      watchdog_(settings_.watchdog_interval_s, seed ^ 0x9E3779B97F4A7C15u) {
  timeout_ = kNever;
  // Section 3: hop-by-hop ids start anywhere; end-to-end ids carry the time in their upper 12 bits, here the
  // origin state, which is the time of start.
  hop_by_hop_ = static_cast<std::uint32_t>(random_());
  end_to_end_ = local.origin_state_id << 20 | (static_cast<std::uint32_t>(random_()) & 0xFFFFF);
}

void Peer::enter(State state, double now) {
  state_ = state;
  const bool waits = state == State::kWaitConnAck || state == State::kWaitICea ||
                     state == State::kWaitConnAckElect || state == State::kWaitReturns ||
                     state == State::kClosing;
  timeout_ = waits ? now + settings_.answer_timeout_s : kNever;
}

void Peer::start(double now) {
  stopped_ = false;
  if (state_ != State::kClosed || !settings_.initiates) return;
  reconnect_at_ = kNever;
  enter(State::kWaitConnAck, now);
  sink_.connect();
}

void Peer::on_connected(double now) {
  initiated_ = true;
  framers_[0] = std::make_unique<Framer>(settings_.max_message_length);
  if (state_ == State::kWaitConnAck) {
    enter(State::kWaitICea, now);
    send_cer();
  } else if (state_ == State::kWaitConnAckElect) {
    send_cer();
    if (win_election()) {
      close_link(Connection::kInitiated);
      sink_.send(Connection::kAccepted, std::exchange(held_cea_, {}));
      open_on(Connection::kAccepted, now);
    } else {
      enter(State::kWaitReturns, now);
    }
  } else {
    close_link(Connection::kInitiated);  // no longer wanted
  }
}

void Peer::on_connect_failed(double now) {
  if (state_ == State::kWaitConnAckElect) {
    sink_.send(Connection::kAccepted, std::exchange(held_cea_, {}));
    open_on(Connection::kAccepted, now);
  } else if (state_ == State::kWaitConnAck) {
    fall("connection refused", now);
  }
}

void Peer::note_origin_state(const MessageView& message) {
  const AvpView* state = message.find(avp::kOriginStateId.code);
  if (state != nullptr) peer_origin_state_ = as_u32(*state).value_or(peer_origin_state_);
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
      note_origin_state(cer);
      accepted_ = true;
      framers_[1] = std::make_unique<Framer>(settings_.max_message_length);
      sink_.send(Connection::kAccepted, make_cea(cer));
      open_on(Connection::kAccepted, now);
      return true;
    case State::kWaitConnAck:
      note_origin_state(cer);
      accepted_ = true;
      framers_[1] = std::make_unique<Framer>(settings_.max_message_length);
      held_cea_ = make_cea(cer);
      enter(State::kWaitConnAckElect, now);
      return true;
    case State::kWaitICea:
      note_origin_state(cer);
      accepted_ = true;
      framers_[1] = std::make_unique<Framer>(settings_.max_message_length);
      if (win_election()) {
        close_link(Connection::kInitiated);
        sink_.send(Connection::kAccepted, make_cea(cer));
        open_on(Connection::kAccepted, now);
      } else {
        held_cea_ = make_cea(cer);
        enter(State::kWaitReturns, now);
      }
      return true;
    default:  // R-Reject: the connection is just disconnected
      return false;
  }
}

void Peer::open_on(Connection link, double now) {
  link_ = link;
  agreed_ = false;
  peer_cause_.reset();
  suspect_ = false;
  enter(link == Connection::kInitiated ? State::kIOpen : State::kROpen, now);
  sink_.on_up();
  if (settings_.watchdog_enabled) {
    const Watchdog::Actions actions = watchdog_.on_connection_up(now);
    if (watchdog_.state() == Watchdog::State::kReopen) {
      suspect_ = true;
      sink_.on_suspect_change(true);
    }
    apply(actions, now);
  }
}

void Peer::close_link(Connection link) {
  bool& alive = link == Connection::kInitiated ? initiated_ : accepted_;
  if (!alive) return;
  alive = false;
  sink_.close(link);
}

void Peer::fall(const std::string& why, double now) {
  const bool was_open = is_open() || state_ == State::kClosing;
  close_link(Connection::kInitiated);
  close_link(Connection::kAccepted);
  held_cea_.clear();
  enter(State::kClosed, now);
  if (settings_.watchdog_enabled) {
    if (agreed_) {
      watchdog_.reset(now);
    } else {
      watchdog_.on_connection_down(now);
    }
  }
  // Tc with a little jitter, so that all who lost a server do not come back in one instant.
  std::uniform_real_distribution<double> jitter(0.9, 1.1);
  reconnect_at_ =
      settings_.initiates && !stopped_ ? now + settings_.reconnect_interval_s * jitter(random_) : kNever;
  if (was_open) sink_.on_down(why);
}

void Peer::on_closed(Connection link, double now, const std::string& why) {
  if (!live(link)) return;
  (link == Connection::kInitiated ? initiated_ : accepted_) = false;
  switch (state_) {
    case State::kWaitICea:
      if (link == Connection::kInitiated) fall("closed before the CEA", now);
      return;
    case State::kWaitConnAckElect:
      if (link == Connection::kAccepted) enter(State::kWaitConnAck, now);
      return;
    case State::kWaitReturns:
      if (link == Connection::kInitiated) {
        sink_.send(Connection::kAccepted, std::exchange(held_cea_, {}));
        open_on(Connection::kAccepted, now);
      } else {
        enter(State::kWaitICea, now);
      }
      return;
    case State::kROpen:
    case State::kIOpen:
    case State::kClosing:
      if (link == link_) fall(state_ == State::kClosing ? "disconnected" : why, now);
      return;
    default:
      return;
  }
}

void Peer::stop(DisconnectCause cause, double now) {
  stopped_ = true;
  reconnect_at_ = kNever;
  if (!is_open()) {
    if (state_ != State::kClosed && state_ != State::kClosing) fall("stopped", now);
    return;
  }
  own_request_ = next_hop_by_hop();
  Builder dpr(request_header(kDisconnectPeer, own_request_, next_end_to_end()));
  add_origin(dpr, local_);
  dpr.u32(avp::kDisconnectCause, static_cast<std::uint32_t>(cause));
  sink_.send(link_, dpr.finish());
  agreed_ = true;
  enter(State::kClosing, now);
}

double Peer::deadline() const {
  double due = std::min(timeout_, reconnect_at_);
  if (settings_.watchdog_enabled && is_open()) due = std::min(due, watchdog_.deadline());
  return due;
}

void Peer::tick(double now) {
  if (now >= timeout_) {
    fall(std::string("no answer in state ") + name(state_), now);
  }
  if (now >= reconnect_at_) start(now);
  if (settings_.watchdog_enabled && is_open() && now >= watchdog_.deadline())
    apply(watchdog_.on_timer(now), now);
}

void Peer::apply(const Watchdog::Actions& actions, double now) {
  if (actions.failover && !suspect_) {
    suspect_ = true;
    sink_.on_suspect_change(true);
  }
  if (actions.failback && suspect_) {
    suspect_ = false;
    sink_.on_suspect_change(false);
  }
  if (actions.send_watchdog) send_dwr();
  if (actions.close_connection) fall("watchdog unanswered", now);
}

bool Peer::send(std::string bytes) {
  if (!is_open()) return false;
  sink_.send(link_, std::move(bytes));
  return true;
}

void Peer::send_cer() {
  own_request_ = next_hop_by_hop();
  Builder cer(request_header(kCapabilitiesExchange, own_request_, next_end_to_end()));
  add_origin(cer, local_);
  add_capabilities(cer, local_);
  sink_.send(Connection::kInitiated, cer.finish());
}

void Peer::send_dwr() {
  own_request_ = next_hop_by_hop();
  Builder dwr(request_header(kDeviceWatchdog, own_request_, next_end_to_end()));
  add_origin(dwr, local_);
  dwr.u32(avp::kOriginStateId, local_.origin_state_id);
  sink_.send(link_, dwr.finish());
}

std::string Peer::make_cea(const MessageView& cer) const {
  Builder cea(answer_header(cer.header, false));
  cea.u32(avp::kResultCode, kSuccess);
  add_origin(cea, local_);
  add_capabilities(cea, local_);
  return cea.finish();
}

void Peer::on_received(Connection link, std::string_view bytes, double now) {
  if (!live(link)) return;
  framer(link).feed(bytes);
  for (;;) {
    // A message may have closed the link; what came behind it counts for nothing.
    if (!live(link)) return;
    std::string_view frame;
    switch (framer(link).next(frame)) {
      case Framer::Status::kNeedMore:
        return;
      case Framer::Status::kFrame:
        handle_message(link, frame, now);
        break;
      case Framer::Status::kFault: {
        // The boundaries of messages are lost: say why, then close (sections 7.1.5 and 5.6).
        const Fault fault = framer(link).fault();
        sink_.on_protocol_error(fault.text + "; connection closed");
        MessageView view;
        view.header = framer(link).header();
        if (view.header.request()) {
          sink_.send(link, error_answer(local_, view, fault.result_code, {}, fault.text));
        }
        if (is_open() && link == link_) {
          fall("malformed stream", now);
        } else {
          close_link(link);
          if (state_ == State::kWaitICea || state_ == State::kWaitConnAck) fall("malformed stream", now);
        }
        return;
      }
    }
  }
}

void Peer::handle_message(Connection link, std::string_view frame, double now) {
  MessageView view;
  std::optional<Fault> fault = decode(frame, view);
  const bool request = view.header.request();
  const std::uint32_t command = view.header.command;
  const bool base =
      command == kCapabilitiesExchange || command == kDeviceWatchdog || command == kDisconnectPeer;
  if (!fault) {
    if (!is_known_command(command)) {
      fault = Fault{kCommandUnsupported, "", "command " + std::to_string(command)};
    } else if (!base && view.header.application != kApplicationCreditControl) {
      fault = Fault{kApplicationUnsupported, "", "application " + std::to_string(view.header.application)};
    } else {
      fault = validate(view);
    }
  }
  if (!fault && request && !base) {
    for (const AvpView& each : view.avps) {
      if (each.code == avp::kRouteRecord.code && each.vendor == 0 && each.data == local_.host) {
        fault = Fault{kLoopDetected, "", "this node stands in Route-Record"};
      }
    }
  }
  bool reopening = false;
  if (settings_.watchdog_enabled && is_open() && link == link_) {
    const bool dwa = command == kDeviceWatchdog && !request;
    const Watchdog::Actions actions =
        dwa ? (fault ? Watchdog::Actions{} : watchdog_.on_dwa(now)) : watchdog_.on_non_dwa(now);
    reopening = actions.discard_message;
    apply(actions, now);
  }
  if (fault) {
    sink_.on_protocol_error("command " + std::to_string(command) + ": " + fault->text);
    // Section 6.2: answers are never answered; one that can't be read is dropped.
    if (request) {
      sink_.send(link, error_answer(local_, view, fault->result_code, fault->failed_avp, fault->text));
    } else if (state_ == State::kWaitICea || state_ == State::kWaitReturns) {
      fall("no CEA that can be read", now);
    }
    return;
  }
  if (base) return handle_base(link, view, now);
  if (!is_open() || link != link_) {
    if (state_ == State::kClosing && link == link_) {
      // Answers that were under way are taken; new requests are not.
      if (!request) return sink_.on_message(view, false);
      sink_.send(link, error_answer(local_, view, kUnableToDeliver, {}, "closing"));
      return;
    }
    sink_.on_protocol_error("a message before the capabilities exchange");
    if (state_ == State::kWaitICea) fall("no CEA first", now);
    return;
  }
  sink_.on_message(view, reopening);
}

void Peer::handle_base(Connection link, const MessageView& view, double now) {
  const bool request = view.header.request();
  switch (view.header.command) {
    case kCapabilitiesExchange:
      if (!request) return handle_cea(view, now);
      if (is_open() && link == link_) {
        sink_.send(link, make_cea(view));  // an update of capabilities
      } else {
        sink_.on_protocol_error("CER out of turn");
      }
      return;
    case kDeviceWatchdog:
      if (request) {
        Builder dwa(answer_header(view.header, false));
        dwa.u32(avp::kResultCode, kSuccess);
        add_origin(dwa, local_);
        dwa.u32(avp::kOriginStateId, local_.origin_state_id);
        sink_.send(link, dwa.finish());
      }
      return;
    case kDisconnectPeer:
      if (request) return process_dpr(link, view, now);
      if (state_ == State::kClosing && view.header.hop_by_hop == own_request_) fall("disconnected", now);
      return;
    default:
      return;
  }
}

void Peer::handle_cea(const MessageView& view, double now) {
  const bool awaited = state_ == State::kWaitICea || state_ == State::kWaitReturns;
  if (!awaited || view.header.hop_by_hop != own_request_)
    return sink_.on_protocol_error("a CEA that nobody waits for");
  const AvpView* result = view.find(avp::kResultCode.code);
  const AvpView* host = view.find(avp::kOriginHost.code);
  const std::uint32_t code = result != nullptr ? as_u32(*result).value_or(0) : 0;
  if (code / 1000 != 2) {
    sink_.on_protocol_error("capabilities refused with " + std::to_string(code));
    return fall("capabilities refused", now);
  }
  if (!settings_.host.empty() && (host == nullptr || host->data != settings_.host)) {
    sink_.on_protocol_error("answers as another host than " + settings_.host);
    return fall("another host", now);
  }
  if (!has_common_application(view)) return fall("no common application", now);
  note_origin_state(view);
  if (state_ == State::kWaitReturns) {
    close_link(Connection::kAccepted);
    held_cea_.clear();
  }
  open_on(Connection::kInitiated, now);
}

void Peer::process_dpr(Connection link, const MessageView& view, double now) {
  Builder dpa(answer_header(view.header, false));
  dpa.u32(avp::kResultCode, kSuccess);
  add_origin(dpa, local_);
  sink_.send(link, dpa.finish());
  if (!is_open() && state_ != State::kClosing) return;
  const AvpView* cause = view.find(avp::kDisconnectCause.code);
  peer_cause_ = static_cast<DisconnectCause>(cause != nullptr ? as_u32(*cause).value_or(0) : 0);
  agreed_ = true;
  // Section 5.4.3: one that doesn't want to talk is not called again by itself.
  if (*peer_cause_ == DisconnectCause::kDoNotWantToTalk) stopped_ = true;
  // The side that sent the DPR closes; this one waits for it, but not for ever.
  if (is_open()) {
    enter(State::kClosing, now);
    sink_.on_suspect_change(true);
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
