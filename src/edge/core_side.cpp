#include "edge/core_side.hpp"

#include <algorithm>
#include <utility>

namespace mintrock::edge {
namespace {

CoreSessions::Settings session_settings(const Config::Core& core) {
  CoreSessions::Settings out;
  out.connect_s = core.connect_s;
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
                   std::uint64_t seed, CorePorts& ports)
    : loop_(loop), local_(local), config_(config), seed_(seed), ports_(ports) {}

CoreSide::~CoreSide() {
  for (auto& [id, server] : servers_) {
    loop_.timers().cancel(server->timer);
  }
}

CoreSide::Server* CoreSide::find(ServerId id) {
  const auto found = servers_.find(id);
  return found == servers_.end() ? nullptr : found->second.get();
}

void CoreSide::update(ServerId id, const list::Entry& entry) {
  std::unique_ptr<Server>& slot = servers_[id];
  const bool moved = slot && slot->entry.address != entry.address && !entry.address.empty();
  if (!slot) {
    slot = std::make_unique<Server>(session_settings(config_.core));
    slot->id = id;
  }
  Server& server = *slot;
  server.entry = entry;
  if (entry.state != ServerEntry::State::kReady) {
    // A set-up that waits for its connection must not go out once the connection stands (rule three).
    end(server.sessions.drop_waiting(), Outcome::kNotSent);
    watch(server);
    rest(server);
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
  settings.watchdog = config_.core.watchdog;
  settings.tw_s = config_.core.watchdog_s;
  settings.tc_s = config_.core.reconnect_s;
  settings.answer_s = config_.core.connect_s;
  settings.max_length = config_.max_message;
  net::Address address;
  try {
    address = net::parse_address(server.entry.address);
  } catch (const std::exception& error) {
    ports_.core_event(server.entry.identity, "bad_address", error.what());
    return;
  }
  PeerLink::Handlers handlers;
  handlers.up = [this, &server] { on_up(server); };
  handlers.down = [this, &server](const std::string& why) { on_down(server, why); };
  handlers.suspect = [this, &server](bool suspect) {
    ports_.core_event(server.entry.identity, suspect ? "suspect" : "usable", "");
  };
  handlers.message = [this, &server](const diameter::MessageView& view, bool) { on_message(server, view); };
  handlers.bad = [this, &server](const std::string& what) {
    counts_.bad += 1;
    ports_.core_event(server.entry.identity, "malformed", what);
  };
  handlers.refused = [this, &server](const std::string& why) { on_refused(server, why); };
  server.link = std::make_unique<PeerLink>(loop_, local_, settings, seed_ ^ server.id, address,
                                           config_.core.max_unsent, std::move(handlers));
}

bool CoreSide::offer_connection(const std::shared_ptr<net::Stream>& stream, const diameter::MessageView& cer,
                                std::string_view rest) {
  const diameter::AvpView* host = cer.find(diameter::avp::kOriginHost.code);
  for (auto& [id, server] : servers_) {
    if (host == nullptr || host->data != server->entry.identity || !server->link) continue;
    server->link->adopt(stream, cer, rest);
    return true;
  }
  return false;
}

Handover CoreSide::send_setup(CallId call, std::uint32_t attempt, ServerId id, double give_up_after_s,
                              RecordPtr record) {
  Server* server = find(id);
  if (server == nullptr || !server->link || stopping_) return Handover::kNotSent;
  const diameter::Peer& peer = server->link->peer();
  if (peer.usable()) {
    transmit(*server, {call, attempt}, give_up_after_s, std::move(record));
    return Handover::kTaken;
  }
  if (peer.open()) return Handover::kNotSent;  // suspect: RFC 3539 sends nothing new there
  if (peer.state() == diameter::Peer::State::kClosing) return Handover::kNoWay;
  // Waits for the connection, for a while: at start, and after a break, it is about to stand.
  server->link->start();
  server->sessions.wait({call, attempt}, give_up_after_s, std::move(record), loop_.now());
  watch(*server);
  return Handover::kTaken;
}

void CoreSide::transmit(Server& server, CoreSessions::Attempt who, double give_up_after_s, RecordPtr record) {
  const std::uint32_t hop = server.link->peer().next_hop_by_hop();
  server.link->send(
      write_setup(*record, server.entry.identity, hop, who.attempt > 0, give_up_after_s, config_.core.plain));
  server.sessions.sent_setup(who, std::move(record), hop);
}

bool CoreSide::release(CallId call, std::uint32_t attempt, ServerId id, RecordPtr record) {
  Server* server = find(id);
  if (server == nullptr || record == nullptr) return false;
  const bool sent = server->sessions.over({call, attempt}, record->session_id, loop_.now());
  if (sent) send_release(*server, record);
  watch(*server);
  rest(*server);
  return sent;
}

void CoreSide::send_release(Server& server, RecordPtr record) {
  if (!server.link || !server.link->peer().open()) return server.sessions.owe(std::move(record), loop_.now());
  diameter::Peer& peer = server.link->peer();
  const std::uint32_t hop = peer.next_hop_by_hop();
  server.link->send(write_termination(*record, server.entry.identity, hop, peer.next_end_to_end()));
  server.sessions.sent_release(std::move(record), hop, loop_.now());
}

std::uint32_t CoreSide::pass_termination(const std::string& identity, const CallRecord& record) {
  std::uint32_t asked = 0;
  RecordPtr shared;
  for (auto& [id, server] : servers_) {
    const bool named = server->entry.identity == identity;
    // One that the list has taken off holds something only if it can still be asked.
    const bool may_hold =
        server->entry.state != ServerEntry::State::kGone || (server->link && server->link->peer().open());
    if (!server->link || (!named && !(identity.empty() && may_hold))) continue;
    if (!shared) shared = std::make_shared<CallRecord>(record);
    send_release(*server, shared);
    asked += 1;
  }
  return asked;
}

void CoreSide::released(const std::vector<RecordPtr>& records) {
  for (const RecordPtr& each : records) ports_.core_released(each->session_id, true);
}

void CoreSide::end(const std::vector<CoreSessions::Attempt>& attempts, Outcome outcome) {
  for (const auto& each : attempts) ports_.core_ended(each.call, each.attempt, outcome_only(outcome));
}

// One timer for each server, at what its sessions wait for next.
void CoreSide::watch(Server& server) {
  const double due = server.sessions.deadline();
  if (server.timer == net::TimerId() ? due > 1e15 : due == server.timer.when) return;
  loop_.timers().cancel(std::exchange(server.timer, 0));
  if (due > 1e15) return;
  server.timer = loop_.timers().schedule(due, [this, &server] {
    server.timer = 0;
    const CoreSessions::Over over = server.sessions.tick(loop_.now());
    end(over.no_connection, Outcome::kConnectFailed);
    end(over.cut, Outcome::kReset);
    watch(server);
    rest(server);
  });
}

// A server that the list has taken off, and that holds nothing of ours, is not called any more.
void CoreSide::rest(Server& server) {
  if (server.entry.state != ServerEntry::State::kGone || !server.link || server.sessions.holds()) return;
  // Not from within the link's own callback.
  loop_.defer([this, id = server.id] {
    Server* again = find(id);
    if (again == nullptr || again->entry.state != ServerEntry::State::kGone || again->sessions.holds())
      return;
    again->link->stop(diameter::DisconnectCause::kDoNotWantToTalk);
  });
}

void CoreSide::on_up(Server& server) {
  ports_.core_event(server.entry.identity, "up", "");
  const double now = loop_.now();
  CoreSessions::Back back = server.sessions.back(server.link->peer().peer_origin_state(), now);
  // Before anything new goes out: a session may be set up again under its old name.
  for (RecordPtr& each : back.releases) send_release(server, std::move(each));
  std::vector<CoreSessions::Waiting> waiting = server.sessions.take_waiting();
  watch(server);
  end(back.cut, Outcome::kReset);
  released(back.released);
  for (CoreSessions::Waiting& each : waiting) {
    if (server.entry.state != ServerEntry::State::kReady) {
      ports_.core_ended(each.who.call, each.who.attempt, outcome_only(Outcome::kNotSent));
    } else {
      transmit(server, each.who, each.give_up_at - now, std::move(each.record));
    }
  }
}

void CoreSide::on_down(Server& server, const std::string& why) {
  ports_.core_event(server.entry.identity, "down", why);
  const std::vector<CoreSessions::Attempt> over = server.sessions.lost(loop_.now());
  watch(server);
  if (server.sessions.holds()) {
    // Tried at once: what stands there waits for it.
    loop_.defer([this, id = server.id] {
      Server* again = find(id);
      if (again != nullptr && again->link && !stopping_) again->link->start();
    });
  }
  end(over, Outcome::kReset);
  rest(server);
}

// What stands there is not cut for it: a process that takes no connections may still hold its sessions.
void CoreSide::on_refused(Server& server, const std::string& why) {
  const std::vector<CoreSessions::Attempt> waiting = server.sessions.drop_waiting();
  watch(server);
  if (!waiting.empty()) ports_.core_event(server.entry.identity, "refused", why);
  end(waiting, Outcome::kConnectFailed);
  rest(server);
}

void CoreSide::on_message(Server& server, const diameter::MessageView& view) {
  if (!view.header.request()) return on_answer(server, view);
  if (view.header.command == diameter::kAbortSession) return on_abort(server, view);
  // A core server sets no calls up here.
  server.link->send(
      diameter::error_answer(local_, view, diameter::kCommandUnsupported, {}, "not from this side"));
}

void CoreSide::on_answer(Server& server, const diameter::MessageView& view) {
  using Kind = CoreSessions::Answer::Kind;
  const CoreAnswer answer = read_core_answer(view);
  const auto known = server.sessions.answered(view.header.hop_by_hop, session_of(view), answer.stands);
  if (known.kind == Kind::kUnexpected) {
    counts_.unexpected += 1;
    return;
  }
  if (answer.load) server.load = *answer.load;
  switch (known.kind) {
    case Kind::kLateAndStands:
      counts_.late_stood += 1;
      send_release(server, known.record);
      [[fallthrough]];
    case Kind::kLate:
      counts_.late += 1;
      return ports_.core_load(server.id, answer);
    case Kind::kOfRelease:
      // One that can't be carried out now is no confirmation: the caller says it again.
      if (group_of(answer.result) == ResultGroup::kProtocolError ||
          group_of(answer.result) == ResultGroup::kTransient) {
        return;
      }
      return ports_.core_released(known.record->session_id, answer.stands);
    case Kind::kOfSetup:
      if (const auto warning = server.answers.answered(loop_.now(), answer.result, answer.failed_avp)) {
        ports_.core_errors(server.entry.identity, *warning);
      }
      if (answer.stands) return ports_.core_stood(known.who.call, known.who.attempt, answer);
      return ports_.core_ended(known.who.call, known.who.attempt, answer);
    default:
      return;
  }
}

void CoreSide::on_abort(Server& server, const diameter::MessageView& view) {
  const auto who = server.sessions.aborted(session_of(view), loop_.now());
  if (!who) {
    server.link->send(diameter::error_answer(local_, view, diameter::kUnknownSessionId, {}, ""));
    return;
  }
  server.link->send(write_success(view, local_));
  end({*who}, Outcome::kReset);
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
    view.out = server->sessions.out();
    view.standing = server->sessions.standing();
    view.load = server->load;
    view.answers = &server->answers;
    out.push_back(std::move(view));
  }
  return out;
}

}  // namespace mintrock::edge
