#include "edge/core_side.hpp"

#include <algorithm>
#include <utility>

namespace mintrock::edge {
namespace {

CoreSessions::Settings session_settings(const Config::Core& core) {
  CoreSessions::Settings out;
  out.connect_s = core.connect_timeout_s;
  out.session_hold_s = core.session_hold_s;
  out.linger_s = core.linger_s;
  return out;
}

CoreAnswer outcome_only(Outcome outcome) {
  CoreAnswer answer;
  answer.outcome = outcome;
  return answer;
}

}  // namespace

CoreSide::CoreSide(net::Loop& loop, const diameter::LocalNode& local, const Config& config,
                   std::uint64_t seed, CoreSideDelegate& delegate)
    : loop_(loop), local_(local), config_(config), seed_(seed), delegate_(delegate) {}

CoreSide::~CoreSide() {
  for (auto& [id, server] : servers_) {
    loop_.timers().cancel(server->timer);
  }
}

CoreSide::Server* CoreSide::find(ServerId id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : found->second.get();
}

void CoreSide::update_server(ServerId id, const list::Entry& entry) {
  std::unique_ptr<Server>& slot = servers_[id];
  const bool moved = slot && slot->entry.address != entry.address && !entry.address.empty();
  if (!slot) {
    slot = std::make_unique<Server>(session_settings(config_.core));
    slot->id = id;
  }
  Server& server = *slot;
  server.entry = entry;
  if (entry.state != ServerEntry::State::kReady) {
    // A server that is not ready gets nothing new, so a queued set-up must not be sent when it connects.
    end_attempts(server.sessions.drop_queued(), Outcome::kNotSent);
    schedule_timer(server);
    close_if_idle(server);
    return;
  }
  if (moved) {
    if (server.link && server.link->peer().state() != diameter::Peer::State::kClosed)
      on_down(server, "moved");
    server.link.reset();
  }
  if (!server.link) make_link(server);
  if (!stopping_) server.link->start();
}

void CoreSide::make_link(Server& server) {
  diameter::PeerSettings settings;
  settings.host = server.entry.identity;
  settings.initiates = true;
  settings.watchdog_enabled = config_.core.watchdog;
  settings.watchdog_interval_s = config_.core.watchdog_s;
  settings.reconnect_interval_s = config_.core.reconnect_s;
  settings.answer_timeout_s = config_.core.connect_timeout_s;
  settings.max_message_length = config_.max_message;
  net::Address address;
  try {
    address = net::parse_address(server.entry.address);
  } catch (const std::exception& error) {
    delegate_.core_connection_event(server.entry.identity, "bad_address", error.what());
    return;
  }
  PeerLink::Handlers handlers;
  handlers.on_up = [this, &server] { on_up(server); };
  handlers.on_down = [this, &server](const std::string& reason) { on_down(server, reason); };
  handlers.on_suspect = [this, &server](bool suspect) {
    delegate_.core_connection_event(server.entry.identity, suspect ? "suspect" : "usable", "");
  };
  handlers.on_message = [this, &server](const diameter::MessageView& view, bool) {
    on_message(server, view);
  };
  handlers.on_malformed = [this, &server](const std::string& what) {
    counters_.malformed += 1;
    delegate_.core_connection_event(server.entry.identity, "malformed", what);
  };
  handlers.on_connect_failed = [this, &server](const std::string& reason) { on_refused(server, reason); };
  server.link = std::make_unique<PeerLink>(loop_, local_, settings, seed_ ^ server.id, address,
                                           config_.core.max_unsent, std::move(handlers));
}

bool CoreSide::adopt_connection(const std::shared_ptr<net::Stream>& stream, const diameter::MessageView& cer,
                                std::string_view rest) {
  const diameter::AvpView* host = cer.find(diameter::avp::kOriginHost.code);
  for (auto& [id, server] : servers_) {
    if (host == nullptr || host->data != server->entry.identity || !server->link) continue;
    server->link->adopt(stream, cer, rest);
    return true;
  }
  return false;
}

SendResult CoreSide::send_setup(CallId call, std::uint32_t attempt, ServerId id, double give_up_after_s,
                                RecordPtr record) {
  Server* server = find(id);
  if (server == nullptr || !server->link || stopping_) return SendResult::kNotSent;
  const diameter::Peer& peer = server->link->peer();
  if (peer.can_send_requests()) {
    transmit(*server, {call, attempt}, give_up_after_s, std::move(record));
    return SendResult::kAccepted;
  }
  if (peer.is_open()) return SendResult::kNotSent;  // SUSPECT: nothing new may be sent (RFC 3539)
  if (peer.state() == diameter::Peer::State::kClosing) return SendResult::kNoConnection;
  // At start and after a lost connection, the connection is usually about to be established: wait for it.
  server->link->start();
  server->sessions.queue_setup({call, attempt}, give_up_after_s, std::move(record), loop_.now());
  schedule_timer(*server);
  return SendResult::kAccepted;
}

void CoreSide::transmit(Server& server, CoreSessions::Attempt attempt, double give_up_after_s,
                        RecordPtr record) {
  const std::uint32_t hop = server.link->peer().next_hop_by_hop();
  server.link->send(write_setup(*record, server.entry.identity, hop, attempt.number > 0, give_up_after_s,
                                config_.core.plain));
  server.sessions.on_setup_sent(attempt, std::move(record), hop);
}

bool CoreSide::release(CallId call, std::uint32_t attempt, ServerId id, RecordPtr record) {
  Server* server = find(id);
  if (server == nullptr || record == nullptr) return false;
  const bool needs_release = server->sessions.end_attempt({call, attempt}, record->session_id, loop_.now());
  if (needs_release) send_release(*server, record);
  schedule_timer(*server);
  close_if_idle(*server);
  return needs_release;
}

void CoreSide::send_release(Server& server, RecordPtr record) {
  if (!server.link || !server.link->peer().is_open())
    return server.sessions.queue_release(std::move(record), loop_.now());
  diameter::Peer& peer = server.link->peer();
  const std::uint32_t hop = peer.next_hop_by_hop();
  server.link->send(write_termination(*record, server.entry.identity, hop, peer.next_end_to_end()));
  server.sessions.on_release_sent(std::move(record), hop, loop_.now());
}

std::uint32_t CoreSide::forward_termination(const std::string& identity, const CallRecord& record) {
  std::uint32_t sent = 0;
  RecordPtr shared;
  for (auto& [id, server] : servers_) {
    const bool named = server->entry.identity == identity;
    // A server that has left the list can only hold the call if its connection is still open.
    const bool may_hold =
        server->entry.state != ServerEntry::State::kGone || (server->link && server->link->peer().is_open());
    if (!server->link || (!named && !(identity.empty() && may_hold))) continue;
    if (!shared) shared = std::make_shared<CallRecord>(record);
    send_release(*server, shared);
    sent += 1;
  }
  return sent;
}

void CoreSide::confirm_releases(const std::vector<RecordPtr>& records) {
  for (const RecordPtr& each : records) delegate_.core_release_confirmed(each->session_id, true);
}

void CoreSide::end_attempts(const std::vector<CoreSessions::Attempt>& attempts, Outcome outcome) {
  for (const auto& each : attempts)
    delegate_.core_attempt_ended(each.call, each.number, outcome_only(outcome));
}

// Each server has one timer, set to the next deadline of its sessions.
void CoreSide::schedule_timer(Server& server) {
  const double due = server.sessions.deadline();
  if (server.timer == net::TimerId() ? due > 1e15 : due == server.timer.when) return;
  loop_.timers().cancel(std::exchange(server.timer, 0));
  if (due > 1e15) return;
  server.timer = loop_.timers().schedule(due, [this, &server] {
    server.timer = 0;
    const CoreSessions::Expired expired = server.sessions.tick(loop_.now());
    end_attempts(expired.no_connection, Outcome::kConnectFailed);
    end_attempts(expired.cut, Outcome::kReset);
    schedule_timer(server);
    close_if_idle(server);
  });
}

// Closes the connection to a server that has left the list and holds none of the proxy's calls.
void CoreSide::close_if_idle(Server& server) {
  if (server.entry.state != ServerEntry::State::kGone || !server.link || server.sessions.in_use()) return;
  // Deferred: the link must not be stopped from within its own callback.
  loop_.defer([this, id = server.id] {
    Server* found = find(id);
    if (found == nullptr || found->entry.state != ServerEntry::State::kGone || found->sessions.in_use())
      return;
    found->link->stop(diameter::DisconnectCause::kDoNotWantToTalk);
  });
}

void CoreSide::on_up(Server& server) {
  delegate_.core_connection_event(server.entry.identity, "up", "");
  const double now = loop_.now();
  CoreSessions::Reconnection reconnection =
      server.sessions.on_connected(server.link->peer().peer_origin_state_id(), now);
  // Releases go first: a call may be set up again under the same Session-Id.
  for (RecordPtr& each : reconnection.releases_to_send) send_release(server, std::move(each));
  std::vector<CoreSessions::QueuedSetup> queued = server.sessions.take_queued();
  schedule_timer(server);
  end_attempts(reconnection.cut, Outcome::kReset);
  confirm_releases(reconnection.obsolete_releases);
  for (CoreSessions::QueuedSetup& each : queued) {
    if (server.entry.state != ServerEntry::State::kReady) {
      delegate_.core_attempt_ended(each.attempt.call, each.attempt.number, outcome_only(Outcome::kNotSent));
    } else {
      transmit(server, each.attempt, each.give_up_at - now, std::move(each.record));
    }
  }
}

void CoreSide::on_down(Server& server, const std::string& reason) {
  delegate_.core_connection_event(server.entry.identity, "down", reason);
  const std::vector<CoreSessions::Attempt> ended = server.sessions.on_connection_lost(loop_.now());
  schedule_timer(server);
  if (server.sessions.in_use()) {
    // Reconnect at once: established calls are held only for a limited time.
    loop_.defer([this, id = server.id] {
      Server* found = find(id);
      if (found != nullptr && found->link && !stopping_) found->link->start();
    });
  }
  end_attempts(ended, Outcome::kReset);
  close_if_idle(server);
}

// Established calls are not cut: a process that refuses connections may still hold its sessions.
void CoreSide::on_refused(Server& server, const std::string& reason) {
  const std::vector<CoreSessions::Attempt> dropped = server.sessions.drop_queued();
  schedule_timer(server);
  if (!dropped.empty()) delegate_.core_connection_event(server.entry.identity, "refused", reason);
  end_attempts(dropped, Outcome::kConnectFailed);
  close_if_idle(server);
}

void CoreSide::on_message(Server& server, const diameter::MessageView& view) {
  if (!view.header.is_request()) return on_answer(server, view);
  if (view.header.command == diameter::kAbortSession) return on_abort(server, view);
  // Core servers don't set up calls through the proxy.
  server.link->send(
      diameter::error_answer(local_, view, diameter::kCommandUnsupported, {}, "not from this side"));
}

void CoreSide::on_answer(Server& server, const diameter::MessageView& view) {
  using Kind = CoreSessions::Answer::Kind;
  const CoreAnswer answer = read_core_answer(view);
  const auto match = server.sessions.on_answer(view.header.hop_by_hop, session_of(view), answer.established);
  if (match.kind == Kind::kUnexpected) {
    counters_.unexpected += 1;
    return;
  }
  if (answer.load) server.load = *answer.load;
  switch (match.kind) {
    case Kind::kLateEstablished:
      counters_.late_established += 1;
      send_release(server, match.record);
      [[fallthrough]];
    case Kind::kLate:
      counters_.late += 1;
      return delegate_.core_load_reported(server.id, answer);
    case Kind::kRelease:
      // A release that the server could not carry out is not confirmed: the caller will repeat the request.
      if (group_of(answer.result) == ResultGroup::kProtocolError ||
          group_of(answer.result) == ResultGroup::kTransient) {
        return;
      }
      return delegate_.core_release_confirmed(match.record->session_id, answer.established);
    case Kind::kSetup:
      if (const auto warning = server.answers.record_answer(loop_.now(), answer.result, answer.failed_avp)) {
        delegate_.core_errors_reported(server.entry.identity, *warning);
      }
      if (answer.established)
        return delegate_.core_call_established(match.attempt.call, match.attempt.number, answer);
      return delegate_.core_attempt_ended(match.attempt.call, match.attempt.number, answer);
    default:
      return;
  }
}

void CoreSide::on_abort(Server& server, const diameter::MessageView& view) {
  const auto attempt = server.sessions.on_abort(session_of(view), loop_.now());
  if (!attempt) {
    server.link->send(diameter::error_answer(local_, view, diameter::kUnknownSessionId, {}, ""));
    return;
  }
  server.link->send(write_success(view, local_));
  end_attempts({*attempt}, Outcome::kReset);
}

void CoreSide::stop() {
  stopping_ = true;
  for (auto& [id, server] : servers_) {
    if (server->link) server->link->stop(diameter::DisconnectCause::kRebooting);
  }
}

bool CoreSide::closed() const {
  return std::all_of(servers_.begin(), servers_.end(), [](const auto& each) {
    return !each.second->link || each.second->link->peer().state() == diameter::Peer::State::kClosed;
  });
}

std::vector<CoreSide::View> CoreSide::servers() const {
  std::vector<View> out;
  for (const auto& [id, server] : servers_) {
    View view;
    view.identity = server->entry.identity;
    view.state = server->link ? diameter::name(server->link->peer().state()) : "none";
    view.watchdog =
        config_.core.watchdog && server->link ? diameter::name(server->link->peer().watchdog_state()) : "off";
    view.in_flight = server->sessions.in_flight();
    view.established = server->sessions.established();
    view.load = server->load;
    view.answers = &server->answers;
    out.push_back(std::move(view));
  }
  return out;
}

}  // namespace mintrock::edge
