#include "edge/core_side.hpp"

#include <algorithm>
#include <utility>

namespace mintrock::edge {
namespace {

constexpr std::size_t kMostLingering =
    100000;  // answers of a server that may still come, and nobody waits for

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
    loop_.timers().cancel(server->queue_timer);
    loop_.timers().cancel(server->hold_timer);
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
    slot = std::make_unique<Server>();
    slot->id = id;
  }
  Server& server = *slot;
  server.entry = entry;
  if (entry.state != ServerEntry::State::kReady) {
    // A set-up that waits for its connection must not go out once the connection stands (rule three).
    fail_queued(server, Outcome::kNotSent);
    // The connection stays while calls stand over it; a server that is gone ends it by itself.
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
    transmit(*server, call, attempt, give_up_after_s, std::move(record));
    return Handover::kTaken;
  }
  if (peer.open()) return Handover::kNotSent;  // suspect: RFC 3539 sends nothing new there
  if (peer.state() == diameter::Peer::State::kClosing) return Handover::kNoWay;
  // Waits for the connection, for a while: at start, and after a break, it is about to stand.
  server->link->start();
  const double now = loop_.now();
  server->queued.push_back({call, attempt, now + give_up_after_s,
                            now + std::min(config_.core.connect_s, give_up_after_s), std::move(record)});
  watch_queue(*server);
  return Handover::kTaken;
}

void CoreSide::watch_queue(Server& server) {
  if (server.queue_timer != 0 || server.queued.empty()) return;
  double first = server.queued.front().until;
  for (const Queued& each : server.queued) first = std::min(first, each.until);
  server.queue_timer = loop_.timers().at(first, [this, &server] {
    server.queue_timer = 0;
    const double now = loop_.now();
    std::deque<Queued> over;
    for (auto at = server.queued.begin(); at != server.queued.end();) {
      if (at->until > now) {
        ++at;
        continue;
      }
      over.push_back(std::move(*at));
      at = server.queued.erase(at);
    }
    watch_queue(server);
    for (const Queued& each : over) {
      ports_.core_ended(each.call, each.attempt, outcome_only(Outcome::kConnectFailed));
    }
  });
}

void CoreSide::fail_queued(Server& server, Outcome outcome) {
  for (const Queued& each : std::exchange(server.queued, {})) {
    ports_.core_ended(each.call, each.attempt, outcome_only(outcome));
  }
}

void CoreSide::transmit(Server& server, CallId call, std::uint32_t attempt, double give_up_after_s,
                        RecordPtr record) {
  const std::uint32_t hop = server.link->peer().next_hop_by_hop();
  server.legs[record->session_id] = {call, attempt, false, hop, record};
  server.link->send(write_setup(*record, server.entry.identity, hop, attempt > 0, give_up_after_s));
  server.pending[hop] = {call, attempt, false, false, 0, record};
}

void CoreSide::release(CallId call, std::uint32_t attempt, ServerId id, RecordPtr record) {
  Server* server = find(id);
  if (server == nullptr || record == nullptr) return;
  const auto queued = std::find_if(server->queued.begin(), server->queued.end(), [&](const Queued& each) {
    return each.call == call && each.attempt == attempt;
  });
  if (queued != server->queued.end()) {  // never left: nothing to free
    server->queued.erase(queued);
    return;
  }
  const auto leg = server->legs.find(record->session_id);
  if (leg == server->legs.end() || leg->second.call != call || leg->second.attempt != attempt) return;
  give_up(*server, leg->second);
  server->legs.erase(leg);
  send_release(*server, record);
}

void CoreSide::send_release(Server& server, const RecordPtr& record) {
  if (!server.link || !server.link->peer().open()) return owe(server, record);
  diameter::Peer& peer = server.link->peer();
  const std::uint32_t hop = peer.next_hop_by_hop();
  server.link->send(write_termination(*record, server.entry.identity, hop, peer.next_end_to_end()));
  server.pending[hop] = {0, 0, true, true, 0, record};
  linger(server, hop);
}

// Sessions outlive connections (RFC 6733 section 8). A release that met no connection, or whose answer was
// lost with one, would leave its lines taken for good at a server that only lost its connection.
void CoreSide::owe(Server& server, RecordPtr record) {
  const double now = loop_.now();
  while (!server.owed.empty() && (server.owed.front().until <= now || server.owed.size() >= kMostLingering)) {
    server.owed.pop_front();
  }
  server.owed.push_back({std::move(record), now + config_.core.linger_s});
}

// Before anything new goes out: a session may be set up again under its old name.
void CoreSide::pay(Server& server, bool same_process) {
  const double now = loop_.now();
  for (const Owed& each : std::exchange(server.owed, {})) {
    if (!same_process || each.until <= now || server.legs.count(each.record->session_id) != 0) continue;
    send_release(server, each.record);
  }
}

// Nobody waits for the answer of its set-up any more, if it is still to come.
void CoreSide::give_up(Server& server, const Leg& leg) {
  const auto found = server.pending.find(leg.hop_by_hop);
  if (found == server.pending.end() || found->second.release) return;
  found->second.given_up = true;
  linger(server, leg.hop_by_hop);
}

// Answers that nobody waits for are known for a while, and not more than a bound of them.
void CoreSide::linger(Server& server, std::uint32_t hop) {
  const double now = loop_.now();
  server.lingering.emplace_back(now + config_.core.linger_s, hop);
  while (!server.lingering.empty()) {
    const auto found = server.pending.find(server.lingering.front().second);
    const bool answered = found == server.pending.end() || !found->second.given_up;
    const bool over = server.lingering.front().first <= now || server.lingering.size() > kMostLingering;
    if (!answered && !over) break;
    if (!answered) server.pending.erase(found);
    server.lingering.pop_front();
  }
}

bool CoreSide::pass_termination(const std::string& identity, const CallRecord& record) {
  for (auto& [id, server] : servers_) {
    if (server->entry.identity != identity || !server->link) continue;
    send_release(*server, std::make_shared<CallRecord>(record));
    return true;
  }
  return false;
}

void CoreSide::on_up(Server& server) {
  ports_.core_event(server.entry.identity, "up", "");
  loop_.timers().cancel(std::exchange(server.hold_timer, 0));
  server.lost = false;
  const std::uint32_t state = server.link->peer().peer_origin_state();
  const bool same_process = state == std::exchange(server.origin_state, state);
  if (!same_process) cut_standing(server);  // what it held is lost
  pay(server, same_process);
  const double now = loop_.now();
  for (Queued& each : std::exchange(server.queued, {})) {
    if (server.entry.state != ServerEntry::State::kReady) {
      ports_.core_ended(each.call, each.attempt, outcome_only(Outcome::kNotSent));
    } else {
      transmit(server, each.call, each.attempt, each.give_up_at - now, std::move(each.record));
    }
  }
}

void CoreSide::on_down(Server& server, const std::string& why) {
  ports_.core_event(server.entry.identity, "down", why);
  server.lingering.clear();
  std::vector<std::pair<CallId, std::uint32_t>> cut;
  for (const auto& [hop, each] : std::exchange(server.pending, {})) {
    owe(server, each.record);  // it may stand there all the same: its answer may be lost
    if (each.given_up) continue;
    server.legs.erase(each.record->session_id);
    cut.emplace_back(each.call, each.attempt);
  }
  // Sessions outlive connections (RFC 6733 section 8): those that stand wait for it to come back, a while.
  if (!server.legs.empty()) {
    server.lost = true;
    loop_.timers().cancel(server.hold_timer);
    server.hold_timer = loop_.after(config_.core.session_hold_s, [this, &server] {
      server.hold_timer = 0;
      if (server.lost) cut_standing(server);
    });
    // Tried at once: whether the process is gone decides what becomes of them.
    loop_.defer([this, id = server.id] {
      Server* again = find(id);
      if (again != nullptr && again->link && !stopping_) again->link->start();
    });
  }
  std::sort(cut.begin(), cut.end());
  for (const auto& [call, attempt] : cut) ports_.core_ended(call, attempt, outcome_only(Outcome::kReset));
}

void CoreSide::on_refused(Server& server, const std::string& why) {
  // What stands there is not cut for it: a process that takes no connections may still hold its sessions. The
  // hold time decides, or another Origin-State-Id.
  if (!server.queued.empty()) ports_.core_event(server.entry.identity, "refused", why);
  fail_queued(server, Outcome::kConnectFailed);
}

void CoreSide::cut_standing(Server& server) {
  server.lost = false;
  loop_.timers().cancel(std::exchange(server.hold_timer, 0));
  std::vector<Leg> cut;
  for (const auto& [session, leg] : std::exchange(server.legs, {})) {
    cut.push_back(leg);
    owe(server, leg.record);  // the process may be alive, and hold its lines
  }
  std::sort(cut.begin(), cut.end(), [](const Leg& a, const Leg& b) { return a.call < b.call; });
  for (const Leg& leg : cut) ports_.core_ended(leg.call, leg.attempt, outcome_only(Outcome::kReset));
}

void CoreSide::on_message(Server& server, const diameter::MessageView& view) {
  if (!view.header.request()) return on_answer(server, view);
  if (view.header.command == diameter::kAbortSession) return on_abort(server, view);
  // A core server sets no calls up here.
  server.link->send(
      diameter::error_answer(local_, view, diameter::kCommandUnsupported, {}, "not from this side"));
}

void CoreSide::on_answer(Server& server, const diameter::MessageView& view) {
  const auto found = server.pending.find(view.header.hop_by_hop);
  if (found == server.pending.end() || found->second.record->session_id != session_of(view)) {
    counts_.unexpected += 1;
    return;
  }
  const Pending pending = std::move(found->second);
  server.pending.erase(found);
  const CoreAnswer answer = read_core_answer(view);
  if (answer.load) server.load = *answer.load;
  if (pending.release) return;
  if (pending.given_up) {
    counts_.late += 1;
    // It was released already; if the server counts it as standing all the same, it must be freed again.
    if (answer.stands) {
      counts_.late_stood += 1;
      const auto leg = server.legs.find(pending.record->session_id);
      if (leg == server.legs.end()) send_release(server, pending.record);
    }
    ports_.core_load(server.id, answer);
    return;
  }
  const auto leg = server.legs.find(pending.record->session_id);
  if (answer.stands) {
    if (leg != server.legs.end()) leg->second.stands = true;
    ports_.core_stood(pending.call, pending.attempt, answer);
  } else {
    if (leg != server.legs.end()) server.legs.erase(leg);
    ports_.core_ended(pending.call, pending.attempt, answer);
  }
}

void CoreSide::on_abort(Server& server, const diameter::MessageView& view) {
  const auto found = server.legs.find(session_of(view));
  if (found == server.legs.end()) {
    server.link->send(diameter::error_answer(local_, view, diameter::kUnknownSessionId, {}, ""));
    return;
  }
  const Leg leg = found->second;
  server.legs.erase(found);
  give_up(server, leg);
  server.link->send(write_success(view, local_));
  ports_.core_ended(leg.call, leg.attempt, outcome_only(Outcome::kReset));
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
    for (const auto& [session, leg] : server->legs) (leg.stands ? view.standing : view.out) += 1;
    view.load = server->load;
    out.push_back(std::move(view));
  }
  return out;
}

}  // namespace mintrock::edge
