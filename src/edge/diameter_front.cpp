#include "edge/diameter_front.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mintrock::edge {

using diameter::MessageView;
using diameter::ResultCode;
namespace {

// The encoded message that a view was decoded from.
std::string frame_of(const MessageView& view) {
  return std::string(view.avps.front().encoded.data() - diameter::kHeaderSize, view.header.length);
}

}  // namespace

DiameterFront::DiameterFront(
    net::Loop& loop, const diameter::LocalNode& local, const Config& config, std::uint64_t seed,
    FrontDelegate& delegate,
    std::function<bool(const std::shared_ptr<net::Stream>&, const MessageView&, std::string_view)>
        offer_to_core_side,
    std::function<void(const std::string&, const char*, const std::string&)> log_connection_event)
    : loop_(loop),
      local_(local),
      config_(config),
      seed_(seed),
      delegate_(delegate),
      offer_to_core_side_(std::move(offer_to_core_side)),
      log_connection_event_(std::move(log_connection_event)),
      duplicates_(config.callers.max_duplicates, config.callers.duplicates_s),
      pending_terminations_(config.max_calls, config.callers.end_wait_s) {
  listener_ = std::make_unique<net::Listener>(loop_, config_.node.listen,
                                              [this](int fd, net::Address from) { on_accepted(fd, from); });
}

DiameterFront::~DiameterFront() {
  for (auto& [id, pending] : pending_connections_) {
    loop_.timers().cancel(pending->timer);
    pending->stream->close();
  }
  for (auto& [host, caller] : callers_) loop_.timers().cancel(caller->hold_timer);
  loop_.timers().cancel(termination_timer_);
}

std::size_t DiameterFront::open_peers() const {
  return static_cast<std::size_t>(std::count_if(callers_.begin(), callers_.end(), [](const auto& each) {
    return each.second->link->peer().is_open();
  }));
}

// ---- Connections ----

void DiameterFront::on_accepted(int fd, net::Address from) {
  // Callers that have left must not keep others out.
  if (pending_connections_.size() + callers_.size() >= config_.callers.max_connections) erase_idle_callers();
  if (stopping_ || pending_connections_.size() + callers_.size() >= config_.callers.max_connections) {
    counters_.rejected += 1;
    ::close(fd);
    return;
  }
  counters_.connections += 1;
  const std::uint64_t id = ++last_pending_id_;
  auto pending = std::make_unique<PendingConnection>(config_.max_message);
  pending->stream = net::Stream::adopt(loop_, fd, from, config_.callers.max_unsent);
  net::Stream::Handlers handlers;
  handlers.on_bytes = [this, id](std::string_view bytes) { on_pending_bytes(id, bytes); };
  handlers.on_closed = [this, id](const std::string& reason) { reject_pending(id, reason); };
  pending->stream->set_handlers(std::move(handlers));
  pending->timer =
      loop_.after(config_.callers.cer_timeout_s, [this, id] { reject_pending(id, "no CER in time"); });
  pending_connections_[id] = std::move(pending);
}

void DiameterFront::reject_pending(std::uint64_t id, const std::string& reason) {
  const auto found = pending_connections_.find(id);
  if (found == pending_connections_.end()) return;
  counters_.rejected += 1;
  log_connection_event_(found->second->stream->remote().str(), "rejected", reason);
  loop_.timers().cancel(found->second->timer);
  found->second->stream->close_after_flush();
  pending_connections_.erase(found);
}

void DiameterFront::on_pending_bytes(std::uint64_t id, std::string_view bytes) {
  PendingConnection& pending = *pending_connections_.at(id);
  pending.framer.feed(bytes);
  std::string_view frame;
  const auto status = pending.framer.next(frame);
  if (status == diameter::Framer::Status::kNeedMore) return;
  MessageView view;
  std::optional<diameter::Fault> fault;
  if (status == diameter::Framer::Status::kFault) {
    fault = pending.framer.fault();
    view.header = pending.framer.header();
  } else {
    fault = decode(frame, view);
    if (!fault && (view.header.command != diameter::kCapabilitiesExchange || !view.header.is_request())) {
      return reject_pending(id, "the first message is not a CER");
    }
    if (!fault) fault = validate(view);
  }
  if (fault) {
    counters_.malformed += 1;
    if (view.header.is_request()) {
      pending.stream->write(error_answer(local_, view, fault->result_code, fault->failed_avp, fault->text));
    }
    return reject_pending(id, fault->text);
  }
  const std::shared_ptr<net::Stream> stream = pending.stream;
  // Kept until the end of this function: its framer holds the CER's bytes.
  const std::unique_ptr<PendingConnection> keep = std::move(pending_connections_.at(id));
  pending_connections_.erase(id);
  loop_.timers().cancel(keep->timer);
  assign_to_peer(stream, view, keep->framer.unread());
}

void DiameterFront::assign_to_peer(const std::shared_ptr<net::Stream>& stream, const MessageView& cer,
                                   std::string_view rest) {
  if (offer_to_core_side_(stream, cer, rest)) return;
  const std::string host(cer.find(diameter::avp::kOriginHost.code)->data);
  const auto& listed = config_.callers.peers;
  if (!listed.empty() && std::find(listed.begin(), listed.end(), host) == listed.end()) {
    counters_.rejected += 1;
    log_connection_event_(host, "rejected", "not listed in callers.peers");
    stream->write(error_answer(local_, cer, diameter::kUnknownPeer, {}, "not a peer of this node"));
    stream->close_after_flush();
    return;
  }
  if (!find_or_add_caller(host)->link->adopt(stream, cer, rest)) counters_.rejected += 1;
}

DiameterFront::Caller* DiameterFront::find_or_add_caller(const std::string& host) {
  std::unique_ptr<Caller>& slot = callers_[host];
  if (slot) return slot.get();
  slot = std::make_unique<Caller>();
  slot->host = host;
  diameter::PeerSettings settings;
  settings.host = host;
  settings.watchdog_enabled = true;
  settings.watchdog_interval_s = config_.callers.watchdog_s;
  settings.max_message_length = config_.max_message;
  PeerLink::Handlers handlers;
  Caller& caller = *slot;
  handlers.on_up = [this, &caller] {
    caller.disconnected = false;
    loop_.timers().cancel(std::exchange(caller.hold_timer, 0));
    log_connection_event_(caller.host, "up", "");
  };
  handlers.on_down = [this, &caller](const std::string& reason) { on_down(caller, reason); };
  handlers.on_suspect = [this, &caller](bool suspect) {
    log_connection_event_(caller.host, suspect ? "suspect" : "usable", "");
  };
  handlers.on_message = [this, &caller](const MessageView& view, bool reopening) {
    on_message(caller, view, reopening);
  };
  handlers.on_malformed = [this, &caller](const std::string& what) {
    counters_.malformed += 1;
    log_connection_event_(caller.host, "malformed", what);
  };
  slot->link = std::make_unique<PeerLink>(loop_, local_, settings, seed_ ^ stable_hash(host), std::nullopt,
                                          config_.callers.max_unsent, std::move(handlers));
  return slot.get();
}

// Handles the loss of a caller's connection. Answers that are still pending can no longer be delivered, so
// their calls are ended and the set-ups released. Established calls are kept for a while in case the caller
// reconnects.
void DiameterFront::on_down(Caller& caller, const std::string& reason) {
  log_connection_event_(caller.host, "down", reason);
  hang_up_calls(caller, true);
  caller.disconnected = true;
  loop_.timers().cancel(caller.hold_timer);
  caller.hold_timer = loop_.after(config_.callers.session_hold_s, [this, &caller] {
    caller.hold_timer = 0;
    if (caller.disconnected) hang_up_calls(caller, false);
  });
}

void DiameterFront::hang_up_calls(Caller& caller, bool only_unanswered) {
  std::vector<CallId> ending;
  for (const CallId id : caller.calls) {
    if (!only_unanswered || !calls_.at(id).answered) ending.push_back(id);
  }
  for (const CallId id : ending) delegate_.hang_up(id);
}

// Erases disconnected callers without calls, to make room for others. Must not be called from a callback of a
// caller's link, which it may destroy.
void DiameterFront::erase_idle_callers() {
  for (auto at = callers_.begin(); at != callers_.end();) {
    const Caller& each = *at->second;
    const bool idle = each.disconnected && each.hold_timer == 0 && each.calls.empty() &&
                      each.link->peer().state() == diameter::Peer::State::kClosed;
    at = idle ? callers_.erase(at) : std::next(at);
  }
}

// ---- Requests ----

void DiameterFront::on_message(Caller& caller, const MessageView& view, bool reopening) {
  if (!view.header.is_request()) return;  // an ASA: the call has ended already
  if (view.header.command != diameter::kCreditControl) {
    caller.link->send(error_answer(local_, view, diameter::kCommandUnsupported, {}, "not from callers"));
    return;
  }
  switch (request_type(view)) {
    case diameter::kInitial:
      return on_setup(caller, view, reopening);
    case diameter::kTermination:
      return on_termination(caller, view);
    default:
      caller.link->send(error_answer(local_, view, diameter::kInvalidAvpValue,
                                     view.find(diameter::avp::kCcRequestType.code)->encoded,
                                     "calls are set up (1) or ended (3)"));
  }
}

void DiameterFront::on_setup(Caller& caller, const MessageView& view, bool reopening) {
  auto record = std::make_shared<CallRecord>(read_setup(view, caller.host));
  const auto* duplicate = duplicates_.find_or_insert(record->origin_host, record->end_to_end, loop_.now());
  if (duplicate != nullptr) {
    counters_.duplicates += 1;
    // A retransmitted request: resend its answer with the new hop-by-hop ID. If there is no answer yet, it is
    // sent once, with the hop-by-hop ID of the latest request.
    if (!duplicate->answer.empty()) {
      std::string resent = duplicate->answer;
      for (int i = 0; i < 4; ++i) resent[12 + i] = static_cast<char>(view.header.hop_by_hop >> (24 - 8 * i));
      caller.link->send(std::move(resent));
    } else if (const auto at = call_by_session_.find(record->session_id); at != call_by_session_.end()) {
      auto updated = std::make_shared<CallRecord>(*calls_.at(at->second).record);
      updated->header.hop_by_hop = view.header.hop_by_hop;
      calls_.at(at->second).record = std::move(updated);
    }
    return;
  }
  if (call_by_session_.count(record->session_id) != 0) {
    caller.link->send(
        error_answer(local_, view, diameter::kUnableToComply, {}, "this session is a call already"));
    return;
  }
  if (const auto fault = delegate_.validate_setup(*record)) {
    std::string bytes = error_answer(local_, view, fault->result_code, fault->failed_avp, fault->text);
    duplicates_.store_answer(record->origin_host, record->end_to_end, bytes);
    caller.link->send(std::move(bytes));
    return;
  }
  // Register the call before it is offered: the answer may come before offer() returns.
  const CallId id = delegate_.next_call_id();
  calls_[id] = {record, &caller, false, false};
  call_by_session_[record->session_id] = id;
  caller.calls.insert(id);
  delegate_.offer(*this, id, record, reopening);
}

void DiameterFront::on_termination(Caller& caller, const MessageView& view) {
  const std::string session = session_of(view);
  TerminationRequest termination{caller.host, frame_of(view), write_success(view, local_)};
  if (pending_terminations_.replace_request(session, termination)) return;
  const auto found = call_by_session_.find(session);
  if (found != call_by_session_.end()) {
    const CallId id = found->second;
    Call& call = calls_.at(id);
    if (!call.answered) {
      // The caller withdraws its set-up, which is answered as failed.
      call.answered = true;
      SetupAnswer answer;
      answer.result = diameter::kUnableToComply;
      answer.origin_host = local_.host;
      answer.origin_realm = local_.realm;
      answer.text = "ended by the caller before it stood";
      std::string bytes = write_setup_answer(*call.record, answer);
      duplicates_.store_answer(call.record->origin_host, call.record->end_to_end, bytes);
      call.caller->link->send(std::move(bytes));
    }
    if (delegate_.hang_up(id)) return await_confirmation(caller, std::move(termination), session, 1, true);
    caller.link->send(std::move(termination.success));
    return;
  }
  // The call was set up through another proxy, or through this one before a restart. The request names the
  // core server that holds it.
  const CallRecord record = read_setup(view, caller.host);
  if (const auto fault = delegate_.validate_realm(record)) {
    caller.link->send(error_answer(local_, view, fault->result_code, fault->failed_avp, fault->text));
    return;
  }
  if (pending_terminations_.full()) {
    caller.link->send(error_answer(local_, view, diameter::kTooBusy, {}, "too many ends under way"));
    return;
  }
  if (const std::uint32_t servers = delegate_.forward_termination(record)) {
    await_confirmation(caller, std::move(termination), session, servers, false);
  } else {
    caller.link->send(error_answer(local_, view, diameter::kUnknownSessionId, {}, "no such call"));
  }
}

void DiameterFront::await_confirmation(Caller& caller, TerminationRequest request, const std::string& session,
                                       std::uint32_t servers, bool ended_locally) {
  if (pending_terminations_.full()) {  // the release is sent, but its confirmation can't be awaited
    caller.link->send(std::move(request.success));
    return;
  }
  pending_terminations_.add(session, std::move(request), servers, ended_locally, loop_.now());
  schedule_termination_timer();
}

void DiameterFront::on_release_confirmed(const std::string& session, bool ended) {
  const auto completed = pending_terminations_.confirm(session, ended);
  if (!completed) return;
  if (completed->ended) return send_if_connected(completed->request.peer, completed->request.success);
  answer_termination(completed->request, diameter::kUnknownSessionId, "no such call");
}

void DiameterFront::answer_termination(const TerminationRequest& request, std::uint32_t result,
                                       const char* text) {
  MessageView view;
  if (decode(request.request, view)) return;
  send_if_connected(request.peer, error_answer(local_, view, result, {}, text));
}

// Drops the message if the peer is not connected: it will send its request again.
void DiameterFront::send_if_connected(const std::string& peer, std::string bytes) {
  const auto at = callers_.find(peer);
  if (at != callers_.end() && at->second->link->peer().is_open()) at->second->link->send(std::move(bytes));
}

// One timer serves all pending terminations: the oldest one is due first.
void DiameterFront::schedule_termination_timer() {
  const double due = pending_terminations_.deadline();
  if (termination_timer_ != net::TimerId() || due > 1e15) return;
  termination_timer_ = loop_.timers().schedule(due, [this] {
    termination_timer_ = 0;
    for (const TerminationRequest& each : pending_terminations_.take_expired(loop_.now())) {
      counters_.unconfirmed += 1;
      answer_termination(each, diameter::kUnableToDeliver,
                         "the core server has not confirmed it: say it again");
    }
    schedule_termination_timer();
  });
}

// ---- Results of calls ----

void DiameterFront::answer(CallId id, const SetupResult& result) {
  const auto found = calls_.find(id);
  if (found == calls_.end() || found->second.answered) return;
  Call& call = found->second;
  call.answered = true;
  SetupAnswer answer;
  answer.origin_host = local_.host;
  answer.origin_realm = local_.realm;
  switch (result.kind) {
    case SetupResult::Kind::kEstablished:
      call.established = true;
      answer.result = diameter::kSuccess;
      answer.origin_host = delegate_.identity_of(result.server);
      answer.origin_realm = call.record->destination_realm;
      break;
    case SetupResult::Kind::kRefused:
      answer.result = diameter::kTooBusy;
      answer.retry_after_s = result.retry_after_s;
      answer.text = result.reason;
      break;
    case SetupResult::Kind::kRejected: {
      const CoreAnswer& rejection = delegate_.rejection_of(id);
      answer.result = rejection.result;
      answer.origin_host = delegate_.identity_of(result.server);
      answer.origin_realm = call.record->destination_realm;
      answer.text = rejection.text;
      answer.failed_avp = rejection.failed_avp;
      break;
    }
    case SetupResult::Kind::kFailed:
      answer.result = diameter::kUnableToComply;
      answer.text = result.reason;
      break;
  }
  if (config_.callers.plain && answer.retry_after_s > 0) {
    answer.text += "; come back after " + std::to_string(std::lround(answer.retry_after_s * 1000)) + " ms";
    answer.retry_after_s = 0;
  }
  std::string bytes = write_setup_answer(*call.record, answer);
  duplicates_.store_answer(call.record->origin_host, call.record->end_to_end, bytes);
  call.caller->link->send(std::move(bytes));
}

void DiameterFront::cut(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  PeerLink& link = *found->second.caller->link;
  if (!link.peer().is_open()) return;
  counters_.aborted += 1;
  diameter::Peer& peer = link.peer();
  const std::uint32_t hop = peer.next_hop_by_hop();
  link.send(write_abort(*found->second.record, local_, hop, peer.next_end_to_end()));
}

void DiameterFront::forget(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  call_by_session_.erase(found->second.record->session_id);
  found->second.caller->calls.erase(id);
  calls_.erase(found);
}

const CallRecord* DiameterFront::record(CallId id) const {
  const auto found = calls_.find(id);
  return found == calls_.end() ? nullptr : found->second.record.get();
}

void DiameterFront::stop() {
  stopping_ = true;
  listener_.reset();
  for (auto& [host, caller] : callers_) caller->link->stop(diameter::DisconnectCause::kRebooting);
}

bool DiameterFront::closed() const {
  return std::all_of(callers_.begin(), callers_.end(), [](const auto& each) {
    return each.second->link->peer().state() == diameter::Peer::State::kClosed;
  });
}

}  // namespace mintrock::edge
