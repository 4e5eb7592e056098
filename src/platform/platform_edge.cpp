#include "platform/platform_edge.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cerrno>
#include <cmath>
#include <fstream>
#include <limits>
#include <sstream>
#include <utility>

#include "edge/logging.hpp"
#include "instance/gossip.hpp"
#include "platform/bus_log.hpp"
#include "platform/log_counters.hpp"
#include "platform/log_names.hpp"

namespace mintrock::platform {
namespace {

using edge::log_event;
using spdlog::level::info;
using spdlog::level::warn;

constexpr const char* kBusPath = "/bus/read";
// The bus sends a comment every second, and what it has to tell counts as told 4 s after it fell silent.
constexpr list::SubscriptionSettings kBusTimes{/*retry_s=*/0.1, /*silence_s=*/2.0, /*late_silence_s=*/3.5};

constexpr std::size_t kMaxTakenOver = 20000;

constexpr double kEndDue = 8.0;  // s from the end of a call until its caller must have been told

// How long a call that its caller reports to be established at an unlisted server is kept: the list update
// that adds the server may be delayed.
constexpr double kUnlistedTimeout = 6.0;  // s
constexpr std::size_t kMaxUnlisted = 2048;

// s for which a caller may wait for its answer.
double longest_deadline(const Config& config) {
  double longest = 0;
  for (const auto& each : config.instance.settings.classes) longest = std::max(longest, each.deadline_s);
  return longest;
}

// Returns the server's id in messages between proxies: 48 bits of a hash of its identity, because each proxy
// has local ids of its own.
ServerId shared_server_id(const std::string& identity) {
  return XXH64(identity.data(), identity.size(), 0) & 0xFFFFFFFFFFFFu;
}

}  // namespace

PlatformEdge::PlatformEdge(net::Loop& loop, Config config, std::string config_file)
    : loop_(loop),
      config_(std::move(config)),
      config_file_(std::move(config_file)),
      budget_(config_.sockets),
      memory_(config_.memory_mb, config_.max_open_calls, budget_),
      call_manager_(config_.instance.settings, config_.seed, memory_.calls, *this),
      callers_(*this),
      order_(config_.list_offset),
      started_at_(loop.now()),
      ended_calls_(started_at_ + std::max(longest_deadline(config_), kEndDue), memory_.calls) {}

PlatformEdge::~PlatformEdge() {
  loop_.timers().cancel(timer_);
  loop_.timers().cancel(state_timer_);
  for (auto& [id, stream] : caller_streams_) stream->close();
  for (auto& [id, core] : core_streams_) core.stream->close();
}

void PlatformEdge::start() {
  call_manager_.start(loop_.now());
  for (const TopologyEvent& event : config_.known_servers) apply_update(event);
  config_.known_servers.clear();
  open_bus();
  if (config_.has_peers && config_.instance.settings.can_tell_peers) {
    datagrams_ = std::make_unique<net::DatagramSocket>(
        loop_, config_.peer_listen,
        [this](std::string_view bytes, net::Address from) { on_datagram(bytes, from); });
  }
  listener_ = std::make_unique<net::Listener>(loop_, config_.listen,
                                              [this](int fd, net::Address from) { on_accept(fd, from); });
  schedule_timer();
  state_timer_ = loop_.after(1.0, [this] { log_state(); });
  log_event(info, "started",
            {{"name", config_.name},
             {"listen", config_.listen.str()},
             {"servers", std::to_string(cores_.size())},
             {"sockets", std::to_string(config_.sockets)},
             {"memory_mb", std::to_string(config_.memory_mb)}});
}

void PlatformEdge::schedule_timer() {
  double due = std::min({call_manager_.deadline(), callers_.deadline(), unlisted_deadline()});
  for (const auto& [id, core] : cores_) {
    if (is_reading_core_servers()) due = std::min(due, core.connections->deadline());
  }
  if (timer_ != 0 && timer_at_ == due) return;
  loop_.timers().cancel(std::exchange(timer_, 0));
  if (due == std::numeric_limits<double>::infinity()) return;
  timer_at_ = due;
  timer_ = loop_.timers().schedule(due, [this] {
    timer_ = 0;
    const double now = loop_.now();
    call_manager_.tick(now);
    callers_.tick(now);
    for (auto& [id, core] : cores_) {
      if (is_reading_core_servers()) core.connections->tick(now);
    }
    resolve_unlisted(now);
    remove_departed_servers();
    schedule_timer();
  });
}

// ---- CallManagerDelegate ----

void PlatformEdge::answer(CallId id, const edge::SetupResult& result) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  Call& call = found->second;
  const double now = loop_.now();
  switch (result.kind) {
    case edge::SetupResult::Kind::kEstablished:
      call.server = result.server;
      log_event(info, "stands", {{"call", hex_id(call.id)}, {"peer", identity(result.server)}});
      callers_.answer(call.id, call.answer, now);
      std::string().swap(call.answer);  // a standing call holds none of its texts; clear() keeps their memory
      drop_description(call);
      return;
    case edge::SetupResult::Kind::kRefused: {
      log_event(info, "refused", {{"call", hex_id(call.id)}, {"detail", result.reason}});
      std::optional<std::uint32_t> retry_after_ms;
      if (result.retry_after_s > 0) {
        retry_after_ms = static_cast<std::uint32_t>(std::ceil(result.retry_after_s * 1000));
      }
      return callers_.refuse(call.id, kCauseCongestion, retry_after_ms, now);
    }
    default:
      log_event(info, "failed", {{"call", hex_id(call.id)}, {"detail", result.reason}});
      return callers_.refuse(call.id, kCauseTemporaryFailure, {}, now);
  }
}

void PlatformEdge::drop_description(Call& call) {
  description_bytes_ -= call.description.size();
  std::string().swap(call.description);
}

void PlatformEdge::cut(CallId id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) callers_.report_end(found->second.id, found->second.end_cause, loop_.now());
}

edge::SendResult PlatformEdge::send_setup(CallId id, std::uint32_t attempt, ServerId server,
                                          double give_up_after_s) {
  const auto found = calls_.find(id);
  const auto core = cores_.find(server);
  if (found == calls_.end() || core == cores_.end() || core->second.state != ServerEntry::State::kReady ||
      !is_reading_core_servers()) {
    return edge::SendResult::kNotSent;
  }
  Call& call = found->second;
  call.may_have_run = true;
  log_event(info, "attempt",
            {{"call", hex_id(call.id)}, {"attempt", std::to_string(attempt)}, {"peer", identity(server)}});
  const auto time_left_ms = static_cast<std::uint32_t>(std::max(1.0, std::floor(give_up_after_s * 1000)));
  core->second.connections->set_up(
      {id, attempt}, call.id,
      write_core_setup(call.id, call.service_class, call.number, time_left_ms, call.description),
      loop_.now());
  return edge::SendResult::kAccepted;
}

void PlatformEdge::release(CallId id, std::uint32_t, ServerId server) {
  const auto found = calls_.find(id);
  CoreConnections* const connections = find_connections(server);
  if (found == calls_.end() || connections == nullptr) return;
  log_event(info, "released", {{"call", hex_id(found->second.id)}, {"peer", identity(server)}});
  connections->release_call(found->second.id, loop_.now());
}

void PlatformEdge::forget(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  ended_calls_.close(found->second.id, found->second.may_have_run);
  drop_description(found->second);
  call_ids_.erase(found->second.id);
  calls_.erase(found);
}

void PlatformEdge::send_gossip(std::uint32_t peer, const std::vector<GossipEntry>& entries) {
  if (!datagrams_ || peer >= config_.peers.size()) return;
  std::vector<GossipEntry> shared_entries;
  for (const GossipEntry& each : entries) {
    const auto core = cores_.find(each.server);
    if (core == cores_.end()) continue;
    shared_entries.push_back({shared_server_id(core->second.identity), each.wait_s, each.age_s});
  }
  if (!shared_entries.empty()) datagrams_->send(instance::pack_gossip(shared_entries), config_.peers[peer]);
}

void PlatformEdge::log(const std::string& text) { log_event(info, "decision", {{"detail", text}}); }

// ---- Callers ----

void PlatformEdge::on_accept(int fd, net::Address from) {
  if (caller_streams_.size() + loop_.closing_streams() >= budget_.callers) {
    const ConnectionId candidate = callers_.eviction_candidate();
    if (candidate != 0) callers_.evict(candidate);
  }
  const auto stream = net::Stream::adopt(loop_, fd, from, memory_.caller_unsent);
  if (caller_streams_.size() + loop_.closing_streams() >= budget_.callers) return stream->close();
  const ConnectionId id = ++last_connection_;
  caller_streams_[id] = stream;
  stream->set_handlers(
      {{},
       [this, id](std::string_view bytes) {
         callers_.received(id, bytes, loop_.now());
         schedule_timer();
       },
       [this, id](const std::string& reason) {
         log_event(info, "caller_lost", {{"connection", std::to_string(id)}, {"detail", reason}});
         caller_streams_.erase(id);
         callers_.lost(id, loop_.now());
         schedule_timer();
       }});
  callers_.opened(id, loop_.now());
  schedule_timer();
}

void PlatformEdge::send_to_caller(ConnectionId to, std::string_view bytes) {
  const auto found = caller_streams_.find(to);
  if (found != caller_streams_.end()) found->second->write(bytes);
}

void PlatformEdge::close_caller(ConnectionId which) {
  const auto found = caller_streams_.find(which);
  if (found == caller_streams_.end()) return;
  const std::shared_ptr<net::Stream> stream = found->second;
  caller_streams_.erase(found);
  // A plain close is used wherever it loses no data: a set-up that crosses it then fails on a closed
  // connection, instead of being sent on one that looks open.
  if (stream->wrote_recently()) {
    stream->close_gracefully();
  } else {
    stream->close();
  }
}

bool PlatformEdge::has_unread(ConnectionId which) {
  const auto found = caller_streams_.find(which);
  return found != caller_streams_.end() && found->second->has_unread();
}

const char* PlatformEdge::offer(CallSetup setup) {
  const auto found_class =
      std::find(config_.class_names.begin(), config_.class_names.end(), setup.service_class);
  if (found_class == config_.class_names.end()) return "unknown class";
  if (call_ids_.count(setup.id) != 0 || taken_over_.count(setup.id) != 0)
    return "duplicate id: the call is established or in progress";
  if (ended_calls_.may_have_run(setup.id)) {
    callers_.refuse(setup.id, kCauseTemporaryFailure, {}, loop_.now());
    return nullptr;
  }
  // The set-up is measured with the longest time value; a core server closes the connection on a larger
  // message.
  constexpr std::uint32_t kMaxTimeLeftMs = 4294967295u;
  if (setup.description.size() > kMaxMessageSize / 16 &&
      write_core_setup(setup.id, setup.service_class, setup.number, kMaxTimeLeftMs, setup.description)
              .size() > kMaxMessageSize) {
    return "set-up too large to forward";
  }
  if (description_bytes_ + setup.description.size() > memory_.descriptions) {
    log_event(info, "refused", {{"call", hex_id(setup.id)}, {"detail", "no memory"}});
    callers_.refuse(setup.id, kCauseCongestion, call_manager_.max_retry_after_ms(), loop_.now());
    return nullptr;
  }
  const CallId id = call_manager_.next_call_id();
  call_ids_[setup.id] = id;
  description_bytes_ += setup.description.size();
  Call& call = calls_[id];
  call.id = setup.id;
  call.service_class = std::move(setup.service_class);
  call.number = std::move(setup.number);
  call.description = std::move(setup.description);
  edge::CallRequest out;
  out.call_class = static_cast<std::uint32_t>(found_class - config_.class_names.begin());
  out.key = setup.key;
  out.ttl_s = setup.time_left_s;
  out.lines = setup.lines;
  out.first_choice = setup.first_choice;
  out.redialled = setup.redialled;
  out.was_cut = setup.was_cut;
  call_manager_.offer(id, out, loop_.now());
  return nullptr;
}

const char* PlatformEdge::take_over(const CallSetup& setup) {
  if (call_ids_.count(setup.id) != 0 || taken_over_.count(setup.id) != 0) return nullptr;  // known already
  if (ended_calls_.claim(setup.id)) {  // the end may have reached nobody
    callers_.report_end(setup.id, kCauseTemporaryFailure, loop_.now());
    return nullptr;
  }
  if (taken_over_.size() >= kMaxTakenOver || unlisted_.size() >= kMaxUnlisted) {
    return "too many calls taken over";
  }
  CoreConnections* const connections = find_connections_or_readmit(setup.established_server);
  taken_over_[setup.id] = connections == nullptr ? 0 : server_table_.id_of(setup.established_server);
  if (connections != nullptr) {
    connections->take_over(setup.id, loop_.now());
  } else {
    unlisted_.push_back({loop_.now() + kUnlistedTimeout, setup.id, setup.established_server});
  }
  return nullptr;
}

double PlatformEdge::unlisted_deadline() const {
  return unlisted_.empty() ? std::numeric_limits<double>::infinity() : unlisted_.front().expires_at;
}

// Takes over the calls whose servers have been listed by now; those whose servers are still unlisted at the
// timeout have ended.
void PlatformEdge::resolve_unlisted(double now) {
  std::vector<std::uint64_t> expired;
  for (auto it = unlisted_.begin(); it != unlisted_.end();) {
    const auto taken = taken_over_.find(it->id);
    const ServerId server = server_table_.id_of(it->identity);
    CoreConnections* const connections = find_connections(server);
    const bool pending = taken != taken_over_.end() && taken->second == 0;
    if (pending && connections != nullptr) {
      taken->second = server;
      connections->take_over(it->id, now);
    } else if (pending && it->expires_at > now) {
      ++it;
      continue;
    } else if (pending) {
      expired.push_back(it->id);
    }
    it = unlisted_.erase(it);
  }
  for (const std::uint64_t id : expired) {
    taken_over_.erase(id);
    ended_calls_.close(id, true);
    callers_.report_end(id, kCauseTemporaryFailure, now);
  }
}

bool PlatformEdge::hang_up(std::uint64_t id) {
  const auto found = call_ids_.find(id);
  if (found != call_ids_.end()) return call_manager_.hang_up(found->second, loop_.now());
  const auto taken = taken_over_.find(id);
  if (taken == taken_over_.end()) return false;
  if (CoreConnections* const connections = find_connections(taken->second))
    connections->release_call(id, loop_.now());
  taken_over_.erase(taken);
  ended_calls_.close(id, true);
  return true;
}

void PlatformEdge::caller_fault(ConnectionId, const char* error) {
  log_event(warn, "caller_fault", {{"detail", error}});
}

void PlatformEdge::caller_closed(ConnectionId which, CloseReason reason, std::size_t established) {
  log_event(info, "caller_closed",
            {{"connection", std::to_string(which)},
             {"detail", name(reason)},
             {"standing", std::to_string(established)}});
}

void PlatformEdge::end_reported(std::uint64_t id, ConnectionId to, EndDelivery delivery) {
  log_event(
      info, "end_told",
      {{"call", hex_id(id)}, {"connection", to == 0 ? "" : std::to_string(to)}, {"detail", name(delivery)}});
}

// ---- Core servers ----

CoreConnections* PlatformEdge::find_connections(ServerId server) {
  const auto found = cores_.find(server);
  return found == cores_.end() ? nullptr : found->second.connections.get();
}

std::string PlatformEdge::identity(ServerId server) const {
  const auto found = cores_.find(server);
  return found == cores_.end() ? "" : found->second.identity;
}

ConnectionId PlatformEdge::connect_core(ServerId server) {
  const ConnectionId id = ++last_connection_;
  if (!is_reading_core_servers()) return id;  // it never comes up
  std::shared_ptr<net::Stream> stream;
  try {
    stream = net::Stream::connect(loop_, cores_.at(server).address, memory_.core_unsent);
  } catch (const std::exception& error) {  // no file descriptor is available
    log_event(warn, "core_connect_failed", {{"detail", error.what()}});
    loop_.defer([this, id, server] {
      if (CoreConnections* const connections = find_connections(server))
        connections->disconnected(id, ConnectionLoss::kNotEstablished, loop_.now());
      schedule_timer();
    });
    return id;
  }
  core_streams_[id] = {server, stream};
  stream->set_handlers({[this, id, server] {
                          if (CoreConnections* const connections = find_connections(server))
                            connections->connected(id, loop_.now());
                          schedule_timer();
                        },
                        [this, id, server](std::string_view bytes) {
                          if (CoreConnections* const connections = find_connections(server))
                            connections->received(id, bytes, loop_.now());
                          schedule_timer();
                        },
                        [this, id, server, raw = stream.get()](const std::string&) {
                          const ConnectionLoss loss = raw->error() == ECONNREFUSED
                                                          ? ConnectionLoss::kRefused
                                                          : ConnectionLoss::kClosedByServer;
                          core_streams_.erase(id);
                          if (CoreConnections* const connections = find_connections(server))
                            connections->disconnected(id, loss, loop_.now());
                          remove_departed_servers();
                          schedule_timer();
                        }});
  return id;
}

void PlatformEdge::send_to_core(ConnectionId to, std::string_view bytes) {
  const auto found = core_streams_.find(to);
  if (found != core_streams_.end()) found->second.stream->write(bytes);
}

void PlatformEdge::close_core(ConnectionId which) {
  const auto found = core_streams_.find(which);
  if (found == core_streams_.end()) return;
  const std::shared_ptr<net::Stream> stream = found->second.stream;
  core_streams_.erase(found);
  stream->close_after_flush();
}

void PlatformEdge::retire_core(ConnectionId which) {
  const auto found = core_streams_.find(which);
  if (found != core_streams_.end()) found->second.stream->shutdown_write();
}

void PlatformEdge::core_call_established(const AttemptId& attempt, std::string description,
                                         const Report& report) {
  const auto found = calls_.find(attempt.call);
  if (found != calls_.end()) found->second.answer = std::move(description);
  call_manager_.on_established(attempt.call, attempt.number, report, loop_.now());
}

void PlatformEdge::core_attempt_ended(const AttemptId& attempt, Outcome outcome, Cause cause, double waited_s,
                                      const Report& report) {
  const auto found = calls_.find(attempt.call);
  if (found != calls_.end()) {
    log_event(info, "attempt_over",
              {{"call", hex_id(found->second.id)},
               {"attempt", std::to_string(attempt.number)},
               {"detail", name(outcome)}});
  }
  call_manager_.on_ended(attempt.call, attempt.number, outcome, cause, waited_s, report, loop_.now());
}

void PlatformEdge::core_call_ended(ServerId server, std::uint64_t id, bool cut, const Report& report) {
  const double now = loop_.now();
  call_manager_.update_load(server, report, now);
  log_event(info, "core_over",
            {{"call", hex_id(id)}, {"peer", identity(server)}, {"detail", cut ? "cut" : "ended"}});
  const int cause = cut ? kCauseTemporaryFailure : kCauseNormal;
  const auto found = call_ids_.find(id);
  if (found != call_ids_.end()) {
    Call& call = calls_.at(found->second);
    if (call.server == 0 && !cut) return call_manager_.on_earlier_attempt_ended(found->second, now);
    // The end of a duplicate that an earlier attempt left at another server is ignored.
    if (call.server != server) return;
    call.end_cause = cause;
    // The attempt's number is not needed: only one attempt can be established.
    call_manager_.on_established_call_ended(found->second, cut ? Outcome::kReset : Outcome::kEnded, report,
                                            now);
    return;
  }
  const auto taken = taken_over_.find(id);
  if (taken != taken_over_.end()) {
    if (taken->second != server && taken->second != 0) return;
    taken_over_.erase(taken);
    ended_calls_.close(id, true);
    callers_.report_end(id, cause, now);
  } else if (ended_calls_.handle_end(id, now)) {
    callers_.report_end(id, cause, now);
  }
}

void PlatformEdge::core_load_reported(ServerId server, const Report& report) {
  call_manager_.update_load(server, report, loop_.now());
}

void PlatformEdge::core_fault(ServerId server, const char* error) {
  log_event(warn, "core_fault", {{"peer", identity(server)}, {"detail", error}});
}

void PlatformEdge::core_unconfirmed_attempt_ended(const AttemptId& attempt) {
  call_manager_.on_earlier_attempt_ended(attempt.call, loop_.now());
}

void PlatformEdge::core_gone(ServerId server, const char* reason, std::size_t established) {
  log_event(warn, "core_gone",
            {{"peer", identity(server)}, {"detail", reason}, {"standing", std::to_string(established)}});
}

void PlatformEdge::core_connection_changed(ServerId server, ConnectionId which, ConnectionChange change) {
  log_event(info, "core_connection",
            {{"peer", identity(server)}, {"connection", std::to_string(which)}, {"detail", name(change)}});
}

void PlatformEdge::core_message_received(ServerId server, ConnectionId from, const CoreMessage& message,
                                         MessageOwner owner) {
  const bool answers = message.type == CoreMessage::Type::kAnswer;
  if (answers && owner == MessageOwner::kAttempt) return;  // logged as "stands"
  log_event(info, "core_message",
            {{"call", hex_id(message.id)},
             {"peer", identity(server)},
             {"connection", std::to_string(from)},
             {"type", answers ? "answer" : "release"},
             {"cause", answers ? "" : std::to_string(message.cause)},
             {"owner", name(owner)}});
}

// ---- The server list ----

void PlatformEdge::open_bus() {
  bus_ = std::make_unique<list::Client>(
      loop_, config_.bus, kBusPath, kBusTimes, config_.seed,
      list::Client::Handlers{[this](const list::SseEvent& event) { on_event(event); }, log_bus_lost,
                             log_bus_request},
      memory_.bus_event);
  bus_->resume_after(std::to_string(order_.last()));
  bus_->open();
}

void PlatformEdge::on_event(const list::SseEvent& event) {
  using Decision = list::EventOrder::Decision;
  Decision decision = Decision::kSkip;
  std::string fault = "an earlier event is missing";
  try {
    const TopologyEvent topology = parse_topology_event(event.data, config_.kind_names);
    decision = order_.classify(topology.offset, topology.update.full);
    if (decision == Decision::kApply) apply_update(topology);
  } catch (const std::exception& error) {
    decision = order_.on_unreadable();
    fault = error.what();
  }
  bus_->resume_after(std::to_string(order_.last()));
  if (decision == Decision::kResubscribe) {
    log_event(warn, "event_bad", {{"id", event.id}, {"detail", fault}});
    loop_.defer([this] {  // what follows in the same bytes is skipped first
      order_.on_resubscribed();
      bus_->resubscribe_after(std::to_string(order_.last()));
    });
  }
  schedule_timer();
}

void PlatformEdge::apply_update(const TopologyEvent& event) {
  for (const std::string& error : event.update.errors) log_event(warn, "host_malformed", {{"detail", error}});
  const double now = loop_.now();
  const double wall = net::wall_now();
  const ServerList moved = server_table_.retire_moved_servers(event.update);
  if (!server_table_.apply(event.update)) return;
  if (!moved.entries.empty()) call_manager_.update_servers(moved, now);
  // The Controller is updated first: it must know which servers drain before queued set-ups are decided
  // again.
  call_manager_.update_servers(
      server_table_.to_server_list(
          event.update, event.update.full ? ServerList::Mode::kFull : ServerList::Mode::kDelta, now, wall),
      now);
  for (const auto& [id, entry] : server_table_.entries()) {
    const auto known = cores_.find(id);
    const bool listed_before = known != cores_.end();
    if (entry.state == ServerEntry::State::kGone && !listed_before) continue;
    const bool first_process = !event.update.full && !listed_before && !is_known_identity(entry.identity);
    const StartSource source = first_process ? StartSource::kFirstProcess : StartSource::kUnknown;
    CoreServer* const core = listed_before ? &known->second : add_server(id, entry, source);
    if (core == nullptr) continue;
    core->state = entry.state;
    core->connections->set_state(entry.state, now);
    if (entry.started_at <= core->started_at) continue;
    core->started_at = entry.started_at;
    core->connections->restarted(list::monotonic_start(entry.started_at, now, wall), now);
  }
  // An address belongs to the server that was last listed as ready there.
  for (const list::Entry& entry : event.update.entries) {
    const auto latest = cores_.find(server_table_.id_of(entry.identity));
    if (latest == cores_.end() || entry.state != ServerEntry::State::kReady) continue;
    const double started_at = list::monotonic_start(entry.started_at, now, wall);
    for (auto& [other, old] : cores_) {
      if (other != latest->first && old.address == latest->second.address)
        old.connections->address_reassigned(started_at, now);
    }
    latest->second.connections->address_restored();
  }
  resolve_unlisted(now);
  remove_departed_servers();
  log_event(info, "list",
            {{"revision", std::to_string(event.offset)}, {"servers", std::to_string(listed_servers())}});
}

std::size_t PlatformEdge::listed_servers() const {
  const auto& entries = server_table_.entries();
  return static_cast<std::size_t>(std::count_if(entries.begin(), entries.end(), [](const auto& each) {
    return each.second.state != ServerEntry::State::kGone;
  }));
}

// Whether the list has told this identity before, also at another address.
bool PlatformEdge::is_known_identity(const std::string& identity) const {
  return departed_.contains(identity) || std::any_of(cores_.begin(), cores_.end(), [&](const auto& each) {
           return each.second.identity == identity;
         });
}

PlatformEdge::CoreServer* PlatformEdge::add_server(ServerId id, const list::Entry& entry,
                                                   StartSource source) {
  CoreServer core;
  core.identity = entry.identity;
  core.started_at = entry.started_at;
  try {
    core.address = net::parse_address(entry.address);
  } catch (const std::exception& error) {
    log_event(warn, "host_malformed", {{"peer", entry.identity}, {"detail", error.what()}});
    return nullptr;
  }
  core.connections = std::make_unique<CoreConnections>(
      id,
      CoreConnections::Settings{config_.connect_timeout_s, budget_.per_server(listed_servers()),
                                config_.seed + id, started_at_},
      *this, core_counters_);
  const double started_at = list::monotonic_start(entry.started_at, loop_.now(), net::wall_now());
  core.connections->listed_with_start(started_at, source);
  return &(cores_[id] = std::move(core));
}

CoreConnections* PlatformEdge::find_connections_or_readmit(const std::string& identity) {
  if (CoreConnections* const connections = find_connections(server_table_.id_of(identity)))
    return connections;
  const std::optional<list::Entry> entry = departed_.take(identity);
  if (!entry) return nullptr;
  const ServerId id = server_table_.readmit(*entry);
  CoreServer* const server = add_server(id, *entry, StartSource::kUnknown);
  if (server == nullptr) return nullptr;
  const double now = loop_.now();
  server->state = ServerEntry::State::kGone;
  server->connections->set_state(server->state, now);
  for (const auto& [other, latest] : cores_) {
    if (latest.state != ServerEntry::State::kReady || !(latest.address == server->address)) continue;
    const double started_at = list::monotonic_start(latest.started_at, now, net::wall_now());
    server->connections->address_reassigned(started_at, now);
  }
  return server->connections.get();
}

// Forgets servers that left the list and hold no calls.
void PlatformEdge::remove_departed_servers() {
  for (auto it = cores_.begin(); it != cores_.end();) {
    if (it->second.state != ServerEntry::State::kGone || !it->second.connections->idle()) {
      ++it;
      continue;
    }
    // Closes the remaining connections.
    it->second.connections->set_state(ServerEntry::State::kGone, loop_.now());
    if (const list::Entry* const entry = server_table_.find(it->first)) departed_.add(*entry);
    server_table_.forget(it->first);
    it = cores_.erase(it);
  }
}

// Logs the proxy's counters, to be compared with those of its core servers and callers.
void PlatformEdge::log_state() {
  constexpr double kInterval = 10.0;  // s
  log_counters(call_manager_, callers_, core_counters_, taken_over_.size());
  for (const auto& [id, core] : cores_) {
    log_event(info, "core",
              {{"peer", core.identity},
               {"out", std::to_string(core.connections->in_flight())},
               {"standing", std::to_string(core.connections->established())},
               {"connections", std::to_string(core.connections->connections())},
               {"owed", std::to_string(core.connections->pending_releases())}});
  }
  state_timer_ = loop_.after(kInterval, [this] { log_state(); });
}

// ---- Other proxies ----

void PlatformEdge::on_datagram(std::string_view bytes, net::Address from) {
  if (std::find(config_.peers.begin(), config_.peers.end(), from) == config_.peers.end()) return;
  PeerNews gossip;
  for (const GossipEntry& each : instance::unpack_gossip(bytes)) {
    for (const auto& [id, core] : cores_) {
      if (shared_server_id(core.identity) == each.server)
        gossip.entries.push_back({id, each.wait_s, each.age_s});
    }
  }
  if (gossip.entries.empty()) return;
  call_manager_.on_peer_news(gossip, loop_.now());
  schedule_timer();
}

// ---- Operators ----

void PlatformEdge::reload() { try_reload(5); }

// A file that is being replaced may be half written: it is read again a few times, and the previous settings
// stay in effect until it can be read.
void PlatformEdge::try_reload(int tries_left) {
  constexpr double kRetryDelay = 0.2;  // s
  net::Address bus;
  try {
    std::ifstream in(config_file_);
    std::ostringstream text;
    text << in.rdbuf();
    bus = parse_bus_address(text.str());
  } catch (const std::exception& error) {
    log_event(warn, "reload_failed", {{"detail", error.what()}});
    if (tries_left > 1) loop_.after(kRetryDelay, [this, tries_left] { try_reload(tries_left - 1); });
    return;
  }
  log_event(info, "reloaded", {{"bus", bus.str()}});
  bus_->move(bus);
}

void PlatformEdge::drain() {
  if (shutdown_) return;
  shutdown_.emplace(loop_.now(), longest_deadline(config_));
  log_event(info, "draining", {{"open", std::to_string(call_manager_.pending())}});
  continue_drain();
}

ShutdownState PlatformEdge::shutdown_state(double now) const {
  ShutdownState state;
  state.busy_callers = callers_.busy_connections();
  state.unsent_streams = loop_.closing_streams();
  state.connection_for_ends = callers_.keeps_connection_for_ends();
  state.untold_ends = callers_.pending_ends() > 0;
  for (const auto& [id, core] : cores_) {
    state.unconfirmed_releases +=
        core.connections->pending_releases() + core.connections->unconfirmed_releases(now);
    state.ends_overdue = state.ends_overdue || core.connections->ends_overdue(now);
  }
  return state;
}

void PlatformEdge::continue_drain() {
  constexpr double kPollInterval = 0.02;  // s
  const double now = loop_.now();
  const ShutdownPhase before = shutdown_->phase();
  const ShutdownPhase phase = shutdown_->advance(shutdown_state(now), now);
  const bool calls_stand = std::any_of(cores_.begin(), cores_.end(), [](const auto& each) {
    return each.second.connections->established() > 0;
  });
  const bool reads_ends = phase == ShutdownPhase::kDraining || phase == ShutdownPhase::kFinalAnswers;
  callers_.keep_connection_for_ends(calls_stand && reads_ends);
  if (phase != before) enter(phase);
  if (phase == ShutdownPhase::kDone) return loop_.stop();
  if (phase != ShutdownPhase::kServing) callers_.tick(now);
  schedule_timer();
  loop_.after(kPollInterval, [this] { continue_drain(); });
}

void PlatformEdge::enter(ShutdownPhase phase) {
  switch (phase) {
    case ShutdownPhase::kServing:
      return;
    case ShutdownPhase::kDraining:
      listener_->accept_pending();  // the connections that the kernel has accepted
      listener_.reset();
      return callers_.begin_shutdown();
    case ShutdownPhase::kFinalAnswers:
      call_manager_.drain();
      call_manager_.answer_pending_calls(loop_.now());
      return callers_.close_all_but_the_one_for_ends();
    case ShutdownPhase::kClosing:
      call_manager_.drain();
      for (auto& [id, core] : std::exchange(core_streams_, {})) core.stream->close_after_flush();
      return;
    case ShutdownPhase::kDone:
      loop_.timers().cancel(state_timer_);
      log_state();
      log_event(info, "stopped", {{"standing", std::to_string(call_manager_.established())}});
  }
}

}  // namespace mintrock::platform
