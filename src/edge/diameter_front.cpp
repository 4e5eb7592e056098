#include "edge/diameter_front.hpp"

#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace mintrock::edge {

using diameter::MessageView;
using diameter::Result;
namespace {

// The bytes that a view was decoded from.
std::string frame_of(const MessageView& view) {
  return std::string(view.avps.front().whole.data() - diameter::kHeaderSize, view.header.length);
}

}  // namespace

DiameterFront::DiameterFront(
    net::Loop& loop, const diameter::LocalNode& local, const Config& config, std::uint64_t seed,
    Switchboard& board,
    std::function<bool(const std::shared_ptr<net::Stream>&, const MessageView&, std::string_view)>
        core_connection,
    std::function<void(const std::string&, const char*, const std::string&)> event)
    : loop_(loop),
      local_(local),
      config_(config),
      seed_(seed),
      board_(board),
      core_connection_(std::move(core_connection)),
      event_(std::move(event)),
      duplicates_(config.callers.max_duplicates, config.callers.duplicates_s),
      endings_(config.max_calls, config.callers.end_wait_s) {
  listener_ = std::make_unique<net::Listener>(loop_, config_.node.listen,
                                              [this](int fd, net::Address from) { accepted(fd, from); });
}

DiameterFront::~DiameterFront() {
  for (auto& [id, gate] : gates_) {
    loop_.timers().cancel(gate->timer);
    gate->stream->close();
  }
  for (auto& [host, caller] : callers_) loop_.timers().cancel(caller->hold);
  loop_.timers().cancel(ends_timer_);
}

std::size_t DiameterFront::open_peers() const {
  return static_cast<std::size_t>(std::count_if(
      callers_.begin(), callers_.end(), [](const auto& each) { return each.second->link->peer().open(); }));
}

// ---- Connections ----

void DiameterFront::accepted(int fd, net::Address from) {
  // Callers that came and went must not lock others out.
  if (gates_.size() + callers_.size() >= config_.callers.max_connections) sweep();
  if (stopping_ || gates_.size() + callers_.size() >= config_.callers.max_connections) {
    counts_.rejected += 1;
    ::close(fd);
    return;
  }
  counts_.connections += 1;
  const std::uint64_t id = ++last_gate_;
  auto gate = std::make_unique<Gate>(config_.max_message);
  gate->stream = net::Stream::adopt(loop_, fd, from, config_.callers.max_unsent);
  net::Stream::Handlers handlers;
  handlers.on_bytes = [this, id](std::string_view bytes) { gate_bytes(id, bytes); };
  handlers.on_closed = [this, id](const std::string& why) { drop_gate(id, why); };
  gate->stream->set_handlers(std::move(handlers));
  gate->timer = loop_.after(config_.callers.cer_s, [this, id] { drop_gate(id, "no CER in time"); });
  gates_[id] = std::move(gate);
}

void DiameterFront::drop_gate(std::uint64_t id, const std::string& why) {
  const auto found = gates_.find(id);
  if (found == gates_.end()) return;
  counts_.rejected += 1;
  event_(found->second->stream->remote().str(), "rejected", why);
  loop_.timers().cancel(found->second->timer);
  found->second->stream->close_after_flush();
  gates_.erase(found);
}

void DiameterFront::gate_bytes(std::uint64_t id, std::string_view bytes) {
  Gate& gate = *gates_.at(id);
  gate.framer.feed(bytes);
  std::string_view frame;
  const auto status = gate.framer.next(frame);
  if (status == diameter::Framer::Status::kNeedMore) return;
  MessageView view;
  std::optional<diameter::Fault> fault;
  if (status == diameter::Framer::Status::kFault) {
    fault = gate.framer.fault();
    view.header = gate.framer.header();
  } else {
    fault = decode(frame, view);
    if (!fault && (view.header.command != diameter::kCapabilitiesExchange || !view.header.request())) {
      return drop_gate(id, "the first message is no CER");
    }
    if (!fault) fault = check(view);
  }
  if (fault) {
    counts_.bad += 1;
    if (view.header.request()) {
      gate.stream->write(error_answer(local_, view, fault->result_code, fault->failed_avp, fault->text));
    }
    return drop_gate(id, fault->text);
  }
  const std::shared_ptr<net::Stream> stream = gate.stream;
  const std::unique_ptr<Gate> keep = std::move(gates_.at(id));  // the CER's bytes are its framer's
  gates_.erase(id);
  loop_.timers().cancel(keep->timer);
  introduce(stream, view, keep->framer.rest());
}

void DiameterFront::introduce(const std::shared_ptr<net::Stream>& stream, const MessageView& cer,
                              std::string_view rest) {
  if (core_connection_(stream, cer, rest)) return;
  const std::string host(cer.find(diameter::avp::kOriginHost.code)->data);
  const auto& listed = config_.callers.peers;
  if (!listed.empty() && std::find(listed.begin(), listed.end(), host) == listed.end()) {
    counts_.rejected += 1;
    event_(host, "rejected", "not among callers.peers");
    stream->write(error_answer(local_, cer, diameter::kUnknownPeer, {}, "not a peer of this node"));
    stream->close_after_flush();
    return;
  }
  if (!caller(host)->link->adopt(stream, cer, rest)) counts_.rejected += 1;
}

DiameterFront::Caller* DiameterFront::caller(const std::string& host) {
  std::unique_ptr<Caller>& slot = callers_[host];
  if (slot) return slot.get();
  slot = std::make_unique<Caller>();
  slot->host = host;
  diameter::PeerSettings settings;
  settings.host = host;
  settings.watchdog = true;
  settings.tw_s = config_.callers.watchdog_s;
  settings.max_length = config_.max_message;
  PeerLink::Handlers handlers;
  Caller& caller = *slot;
  handlers.up = [this, &caller] {
    caller.gone = false;
    loop_.timers().cancel(std::exchange(caller.hold, 0));
    event_(caller.host, "up", "");
  };
  handlers.down = [this, &caller](const std::string& why) { on_down(caller, why); };
  handlers.suspect = [this, &caller](bool suspect) {
    event_(caller.host, suspect ? "suspect" : "usable", "");
  };
  handlers.message = [this, &caller](const MessageView& view, bool reopening) {
    on_message(caller, view, reopening);
  };
  handlers.bad = [this, &caller](const std::string& what) {
    counts_.bad += 1;
    event_(caller.host, "malformed", what);
  };
  slot->link = std::make_unique<PeerLink>(loop_, local_, settings, seed_ ^ key_of(host), std::nullopt,
                                          config_.callers.max_unsent, std::move(handlers));
  return slot.get();
}

// A caller's connection is lost: nobody can be told the answers that are still to come, so those calls are
// over, and their set-ups are released. What stands waits a while for the caller to come back.
void DiameterFront::on_down(Caller& caller, const std::string& why) {
  event_(caller.host, "down", why);
  end_calls(caller, true);
  caller.gone = true;
  loop_.timers().cancel(caller.hold);
  caller.hold = loop_.after(config_.callers.session_hold_s, [this, &caller] {
    caller.hold = 0;
    if (caller.gone) end_calls(caller, false);
  });
}

void DiameterFront::end_calls(Caller& caller, bool only_unanswered) {
  std::vector<CallId> over;
  for (const CallId id : caller.calls) {
    if (!only_unanswered || !open_.at(id).answered) over.push_back(id);
  }
  for (const CallId id : over) board_.hang_up(id);
}

// Callers that are gone and hold no calls leave nothing behind once there is no room for others. Not from
// within one of their own callbacks.
void DiameterFront::sweep() {
  for (auto at = callers_.begin(); at != callers_.end();) {
    const Caller& each = *at->second;
    const bool idle = each.gone && each.hold == 0 && each.calls.empty() &&
                      each.link->peer().state() == diameter::Peer::State::kClosed;
    at = idle ? callers_.erase(at) : std::next(at);
  }
}

// ---- Requests ----

void DiameterFront::on_message(Caller& caller, const MessageView& view, bool reopening) {
  if (!view.header.request()) return;  // ASA: the call is over already
  if (view.header.command != diameter::kCreditControl) {
    caller.link->send(error_answer(local_, view, diameter::kCommandUnsupported, {}, "not from callers"));
    return;
  }
  switch (request_type(view)) {
    case diameter::kInitial:
      return on_setup(caller, view, reopening);
    case diameter::kTermination:
      return on_end(caller, view);
    default:
      caller.link->send(error_answer(local_, view, diameter::kInvalidAvpValue,
                                     view.find(diameter::avp::kCcRequestType.code)->whole,
                                     "calls are set up (1) or ended (3)"));
  }
}

void DiameterFront::on_setup(Caller& caller, const MessageView& view, bool reopening) {
  auto record = std::make_shared<CallRecord>(read_setup(view, caller.host));
  const auto* known = duplicates_.seen(record->origin_host, record->end_to_end, loop_.now());
  if (known != nullptr) {
    counts_.duplicates += 1;
    // Its one answer, again; with this request's hop-by-hop id. If there is none yet, it will come once.
    if (!known->answer.empty()) {
      std::string again = known->answer;
      for (int i = 0; i < 4; ++i) again[12 + i] = static_cast<char>(view.header.hop_by_hop >> (24 - 8 * i));
      caller.link->send(std::move(again));
    } else if (const auto at = sessions_.find(record->session_id); at != sessions_.end()) {
      auto moved = std::make_shared<CallRecord>(*open_.at(at->second).record);
      moved->header.hop_by_hop = view.header.hop_by_hop;
      open_.at(at->second).record = std::move(moved);
    }
    return;
  }
  if (sessions_.count(record->session_id) != 0) {
    caller.link->send(
        error_answer(local_, view, diameter::kUnableToComply, {}, "this session is a call already"));
    return;
  }
  if (const auto fault = board_.refusal_of_setup(*record)) {
    std::string bytes = error_answer(local_, view, fault->result_code, fault->failed_avp, fault->text);
    duplicates_.answered(record->origin_host, record->end_to_end, bytes);
    caller.link->send(std::move(bytes));
    return;
  }
  // Entered before the offer: the answer may come at once.
  const CallId id = board_.next_call();
  open_[id] = {record, &caller, false, false};
  sessions_[record->session_id] = id;
  caller.calls.insert(id);
  board_.offer(*this, id, record, reopening);
}

void DiameterFront::on_end(Caller& caller, const MessageView& view) {
  const std::string session = session_of(view);
  EndRequest again{caller.host, frame_of(view), write_success(view, local_)};
  if (endings_.repeated(session, again)) return;
  const auto found = sessions_.find(session);
  if (found != sessions_.end()) {
    const CallId id = found->second;
    Open& open = open_.at(id);
    if (!open.answered) {
      // The caller takes its set-up back: its one answer is that it failed, by its own wish.
      open.answered = true;
      SetupAnswer answer;
      answer.result = diameter::kUnableToComply;
      answer.origin_host = local_.host;
      answer.origin_realm = local_.realm;
      answer.text = "ended by the caller before it stood";
      std::string bytes = write_setup_answer(*open.record, answer);
      duplicates_.answered(open.record->origin_host, open.record->end_to_end, bytes);
      open.caller->link->send(std::move(bytes));
    }
    if (board_.hang_up(id)) return await_end(caller, std::move(again), session, 1, true);
    caller.link->send(std::move(again.success));
    return;
  }
  // Set up through another proxy, or through this one before it restarted: the caller says where it stands.
  const CallRecord record = read_setup(view, caller.host);
  if (const auto fault = board_.refusal_of_realm(record)) {
    caller.link->send(error_answer(local_, view, fault->result_code, fault->failed_avp, fault->text));
    return;
  }
  if (endings_.full()) {
    caller.link->send(error_answer(local_, view, diameter::kTooBusy, {}, "too many ends under way"));
    return;
  }
  if (const std::uint32_t asked = board_.pass_termination(record)) {
    await_end(caller, std::move(again), session, asked, false);
  } else {
    caller.link->send(error_answer(local_, view, diameter::kUnknownSessionId, {}, "no such call"));
  }
}

void DiameterFront::await_end(Caller& caller, EndRequest request, const std::string& session,
                              std::uint32_t servers, bool known) {
  if (endings_.full()) {  // its release is on its way; that it arrives can't be vouched for
    caller.link->send(std::move(request.success));
    return;
  }
  endings_.begin(session, std::move(request), servers, known, loop_.now());
  watch_ends();
}

void DiameterFront::released(const std::string& session, bool ended) {
  const auto over = endings_.confirmed(session, ended);
  if (!over) return;
  if (over->ended) return send_to(over->request.peer, over->request.success);
  answer_end(over->request, diameter::kUnknownSessionId, "no such call");
}

void DiameterFront::answer_end(const EndRequest& request, std::uint32_t result, const char* text) {
  MessageView view;
  if (decode(request.request, view)) return;
  send_to(request.peer, error_answer(local_, view, result, {}, text));
}

// Its connection may be gone; then it will ask again.
void DiameterFront::send_to(const std::string& peer, std::string bytes) {
  const auto at = callers_.find(peer);
  if (at != callers_.end() && at->second->link->peer().open()) at->second->link->send(std::move(bytes));
}

// One timer for all ends: the oldest is due first.
void DiameterFront::watch_ends() {
  const double due = endings_.deadline();
  if (ends_timer_ != net::TimerId() || due > 1e15) return;
  ends_timer_ = loop_.timers().schedule(due, [this] {
    ends_timer_ = 0;
    for (const EndRequest& each : endings_.overdue(loop_.now())) {
      counts_.unconfirmed += 1;
      answer_end(each, diameter::kUnableToDeliver, "the core server has not confirmed it: say it again");
    }
    watch_ends();
  });
}

// ---- What became of a call ----

void DiameterFront::answer(CallId id, const Verdict& verdict) {
  const auto found = open_.find(id);
  if (found == open_.end() || found->second.answered) return;
  Open& open = found->second;
  open.answered = true;
  SetupAnswer answer;
  answer.origin_host = local_.host;
  answer.origin_realm = local_.realm;
  switch (verdict.kind) {
    case Verdict::Kind::kStands:
      open.stands = true;
      answer.result = diameter::kSuccess;
      answer.origin_host = board_.identity_of(verdict.server);
      answer.origin_realm = open.record->destination_realm;
      break;
    case Verdict::Kind::kRefused:
      answer.result = diameter::kTooBusy;
      answer.retry_after_s = verdict.retry_after_s;
      answer.text = verdict.why;
      break;
    case Verdict::Kind::kRejected: {
      const CoreAnswer& met = board_.rejection_of(id);
      answer.result = met.result;
      answer.origin_host = board_.identity_of(verdict.server);
      answer.origin_realm = open.record->destination_realm;
      answer.text = met.text;
      answer.failed_avp = met.failed_avp;
      break;
    }
    case Verdict::Kind::kFailed:
      answer.result = diameter::kUnableToComply;
      answer.text = verdict.why;
      break;
  }
  if (config_.callers.plain && answer.retry_after_s > 0) {
    answer.text += "; come back after " + std::to_string(std::lround(answer.retry_after_s * 1000)) + " ms";
    answer.retry_after_s = 0;
  }
  std::string bytes = write_setup_answer(*open.record, answer);
  duplicates_.answered(open.record->origin_host, open.record->end_to_end, bytes);
  open.caller->link->send(std::move(bytes));
}

void DiameterFront::cut(CallId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  PeerLink& link = *found->second.caller->link;
  if (!link.peer().open()) return;
  counts_.aborted += 1;
  diameter::Peer& peer = link.peer();
  const std::uint32_t hop = peer.next_hop_by_hop();
  link.send(write_abort(*found->second.record, local_, hop, peer.next_end_to_end()));
}

void DiameterFront::forget(CallId id) {
  const auto found = open_.find(id);
  if (found == open_.end()) return;
  sessions_.erase(found->second.record->session_id);
  found->second.caller->calls.erase(id);
  open_.erase(found);
}

const CallRecord* DiameterFront::record(CallId id) const {
  const auto found = open_.find(id);
  return found == open_.end() ? nullptr : found->second.record.get();
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
