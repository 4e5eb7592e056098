#include "edge/edge.hpp"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>
#include <sstream>
#include <utility>

#include "config/yaml.hpp"
#include "edge/logging.hpp"

namespace mintrock::edge {
namespace {

using spdlog::level::debug;
using spdlog::level::err;
using spdlog::level::info;
using spdlog::level::warn;

std::uint64_t draw_seed(std::uint64_t configured) {
  if (configured != 0) return configured;
  std::random_device device;
  return std::uint64_t{device()} << 32 | device();
}

diameter::LocalNode make_local_node(const Config& config) {
  diameter::LocalNode local;
  local.host = config.node.identity;
  local.realm = config.node.realm;
  local.address = config.node.listen.ip;
  local.origin_state_id = static_cast<std::uint32_t>(net::wall_now());
  return local;
}

}  // namespace

Edge::Edge(net::Loop& loop, Config config, std::string config_file)
    : loop_(loop),
      config_(std::move(config)),
      config_file_(std::move(config_file)),
      seed_(draw_seed(config_.seed)),
      local_(make_local_node(config_)),
      realms_(config_.node.realm, config_.realms, config_.other_realms),
      call_manager_(config_.settings, seed_, config_.max_calls, *this),
      core_(loop_, local_, config_, seed_ + 1, *this),
      front_(
          loop_, local_, config_, seed_ + 2, *this,
          [this](const std::shared_ptr<net::Stream>& stream, const diameter::MessageView& cer,
                 std::string_view rest) { return core_.adopt_connection(stream, cer, rest); },
          [](const std::string& peer, const char* event, const std::string& detail) {
            const bool problem = detail.size() > 0 && std::string(event) != "down";
            log_event(problem ? warn : info, event, {{"side", "caller"}, {"peer", peer}, {"detail", detail}});
          }),
      gossip_writer_(config_.settings.own_number, static_cast<std::uint64_t>(net::wall_now() * 1000)),
      gossip_reader_(config_.settings.own_number, config_.settings.fleet_size) {
  const auto add_counter = [this](const char* name, const char* help,
                                  const std::map<std::string, std::string>& labels,
                                  const std::uint64_t& value) {
    metrics_.add_counter(name, help, labels, [&value] { return static_cast<double>(value); });
  };
  const CallCounters& calls = call_manager_.counters();
  const char* const kCalls = "mintrock_calls_total";
  const char* const kCallsHelp = "Calls by what became of their set-up";
  add_counter("mintrock_calls_offered_total", "Calls that callers offered", {}, calls.offered);
  add_counter(kCalls, kCallsHelp, {{"outcome", "stood"}}, calls.established);
  add_counter(kCalls, kCallsHelp, {{"outcome", "refused"}}, calls.refused);
  add_counter(kCalls, kCallsHelp, {{"outcome", "failed"}}, calls.failed);
  add_counter(kCalls, kCallsHelp, {{"outcome", "abandoned"}}, calls.abandoned);
  add_counter("mintrock_calls_turned_away_total", "Of the refused: table full, or draining", {},
              calls.turned_away);
  add_counter("mintrock_calls_overdue_total", "Answered by the last guard at the caller's end; a fault", {},
              calls.overdue);
  add_counter("mintrock_calls_cut_total", "Standing calls ended by the core side", {}, calls.cut);
  add_counter("mintrock_calls_ended_total", "Standing calls ended by their callers", {}, calls.ended);
  const char* const kAttempts = "mintrock_attempts_ended_total";
  add_counter("mintrock_attempts_total", "Set-ups sent to core servers", {}, calls.attempts);
  add_counter(kAttempts, "Attempts that ended in doubt", {{"how", "timed_out"}}, calls.timed_out);
  add_counter(kAttempts, "Attempts that ended in doubt", {{"how", "cancelled"}}, calls.cancelled);
  const CoreCounters& core = core_.counters();
  add_counter("mintrock_core_answers_unexpected_total", "Answers to no request of ours", {}, core.unexpected);
  add_counter("mintrock_core_answers_late_total", "Answers of attempts given up", {}, core.late);
  add_counter("mintrock_core_late_stood_total", "Of those, calls that stood and were released", {},
              core.late_established);
  add_counter("mintrock_malformed_total", "Malformed messages", {{"side", "core"}}, core.malformed);
  metrics_.add_counter_family(
      "mintrock_core_answers_total", "Answers to set-ups, by core server and Result-Code", [this] {
        std::vector<std::pair<std::map<std::string, std::string>, double>> out;
        for (const CoreSide::View& each : core_.servers()) {
          for (const auto& [result, n] : each.answers->counts_by_result()) {
            out.push_back(
                {{{"server", each.identity}, {"result", result == 0 ? "other" : std::to_string(result)}},
                 static_cast<double>(n)});
          }
        }
        return out;
      });
  const char* const kRefused = "mintrock_requests_refused_total";
  add_counter(kRefused, "Requests that are not served here", {{"why", "realm"}}, realm_refused_);
  add_counter(kRefused, "Requests that are not served here", {{"why", "class"}}, class_refused_);
  add_counter("mintrock_class_assumed_total", "Calls without a known class, taken as unknown_class", {},
              class_assumed_);
  add_counter("mintrock_unknown_host_total", "Calls whose Destination-Host is not in the list", {},
              unknown_host_);
  const FrontCounters& front = front_.counters();
  add_counter("mintrock_ends_unconfirmed_total", "Ends of calls that no core server confirmed in time", {},
              front.unconfirmed);
  add_counter("mintrock_malformed_total", "Malformed messages", {{"side", "caller"}}, front.malformed);
  add_counter("mintrock_connections_total", "Callers' connections accepted", {}, front.connections);
  add_counter("mintrock_connections_rejected_total", "Callers' connections rejected", {}, front.rejected);
  add_counter("mintrock_duplicates_total", "Requests that came again", {}, front.duplicates);
  metrics_.add_gauge("mintrock_ends_open", "Ends of calls that wait for a core server's word", {},
                     [this] { return static_cast<double>(front_.pending_terminations()); });
  metrics_.add_gauge("mintrock_calls_open", "Calls without an answer yet", {},
                     [this] { return static_cast<double>(call_manager_.pending()); });
  metrics_.add_gauge("mintrock_calls_standing", "Calls that stand", {},
                     [this] { return static_cast<double>(call_manager_.established()); });
  metrics_.add_gauge("mintrock_timers", "Timers set", {},
                     [this] { return static_cast<double>(call_manager_.timers() + loop_.timers().size()); });
  metrics_.add_gauge("mintrock_list_revision", "Revision of the pool list", {},
                     [this] { return static_cast<double>(server_list_.revision()); });
  metrics_.add_gauge("mintrock_callers_connected", "Callers with an open connection", {},
                     [this] { return static_cast<double>(front_.open_peers()); });
}

Edge::~Edge() {
  loop_.timers().cancel(call_timer_);
  loop_.timers().cancel(drain_timer_);
  loop_.timers().cancel(confirm_timer_);
}

void Edge::start() {
  admin_server_ = std::make_unique<AdminServer>(
      loop_, config_.node.admin,
      std::map<std::string, AdminServer::Handler>{
          {"/healthz", [this] { return health(); }},
          {"/metrics",
           [this] {
             return AdminServer::Response{200, "text/plain; version=0.0.4", metrics_.serialize()};
           }},
          {"/calls", [this] { return calls(); }}});
  if (config_.settings.can_tell_peers) {
    datagrams_ = std::make_unique<net::DatagramSocket>(
        loop_, config_.fleet.listen,
        [this](std::string_view bytes, net::Address from) { on_datagram(bytes, from); });
  }
  list_client_ = std::make_unique<list::Client>(
      loop_, config_.list.server, config_.list.path,
      list::SubscriptionSettings{config_.list.reconnect_s, config_.list.idle_s, config_.list.idle_s},
      seed_ + 3,
      list::Client::Handlers{[this](const list::SseEvent& event) { on_list_event(event); },
                             [this](const std::string& reason) {
                               log_event(warn, "list_failed", {{"detail", reason}});
                               list_connected_ = false;
                               ServerList failed;
                               failed.mode = ServerList::Mode::kFailed;
                               call_manager_.update_servers(failed, loop_.now());
                               schedule_call_timer();
                             }});
  if (!load_stored_list()) load_cached_list();
  call_manager_.start(loop_.now());
  schedule_call_timer();
  log_event(info, "started",
            {{"listen", front_.listening().str()},
             {"admin", admin_server_->listening().str()},
             {"node", local_.host}});
}

// One timer of the event loop serves all timers of the call manager.
void Edge::schedule_call_timer() {
  const double due = call_manager_.deadline();
  if (call_timer_ != 0 && call_timer_at_ <= due) return;
  loop_.timers().cancel(std::exchange(call_timer_, 0));
  if (due == std::numeric_limits<double>::infinity()) return;
  call_timer_at_ = due;
  call_timer_ = loop_.timers().schedule(due, [this] {
    call_timer_ = 0;
    call_manager_.tick(loop_.now());
    schedule_call_timer();
  });
}

// ---- Requests of the front ends ----

void Edge::offer(Front& front, CallId id, RecordPtr record, bool peer_reopening) {
  CallRequest request;
  request.peer_reopening = peer_reopening;
  const ClassMatch classified = match_class(config_.classes, *record);
  class_assumed_ += classified.assumed;
  request.call_class = classified.index;
  const double deadline = config_.settings.classes[request.call_class].deadline_s;
  request.ttl_s = record->max_wait_ms ? std::min(deadline, *record->max_wait_ms / 1000.0) : deadline;
  request.key = stable_hash(record->called);
  request.lines = record->lines;
  if (const list::Entry* entry = server_list_.find(server_list_.id_of(record->destination_host)))
    request.first_choice = entry->node;
  else if (!record->destination_host.empty())
    unknown_host_ += 1;  // the first choice is only a preference: another server may take the call
  request.redialled = record->redial == 1;
  request.was_cut = record->redial == 2;
  calls_[id] = {&front, std::move(record), loop_.now(), nullptr};
  call_manager_.offer(id, request, loop_.now());
  schedule_call_timer();
}

std::optional<diameter::Fault> Edge::validate_realm(const CallRecord& record) {
  auto fault = check_realm(realms_, record.destination_realm);
  realm_refused_ += fault.has_value();
  return fault;
}

std::optional<diameter::Fault> Edge::validate_setup(const CallRecord& record) {
  if (auto fault = validate_realm(record)) return fault;
  auto fault = match_class(config_.classes, record).fault;
  class_refused_ += fault.has_value();
  return fault;
}

bool Edge::hang_up(CallId call) {
  release_sent_ = false;
  call_manager_.hang_up(call, loop_.now());
  schedule_call_timer();
  return std::exchange(release_sent_, false);
}

std::uint32_t Edge::forward_termination(const CallRecord& record) {
  return core_.forward_termination(record.destination_host, record);
}

const CoreAnswer& Edge::rejection_of(CallId call) {
  static const CoreAnswer kNone;
  const auto found = calls_.find(call);
  return found != calls_.end() && found->second.rejection ? *found->second.rejection : kNone;
}

const std::string& Edge::identity_of(ServerId server) {
  static const std::string kUnknown = "unknown";
  const list::Entry* entry = server_list_.find(server);
  return entry != nullptr ? entry->identity : kUnknown;
}

// ---- Requests of the call manager ----

void Edge::answer(CallId call, const SetupResult& result) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  if (std::string_view(result.reason) == "overdue") {
    log_event(err, "overdue", {{"session", found->second.record->session_id}});
  }
  log_event(debug, "answered", {{"session", found->second.record->session_id}, {"detail", result.reason}});
  if (result.kind == SetupResult::Kind::kEstablished)
    metrics_.observe_setup_delay(loop_.now() - found->second.offered_at);
  found->second.front->answer(call, result);
}

void Edge::cut(CallId call) {
  const auto found = calls_.find(call);
  if (found != calls_.end()) found->second.front->cut(call);
}

void Edge::forget(CallId call) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  found->second.front->forget(call);
  calls_.erase(found);
}

SendResult Edge::send_setup(CallId call, std::uint32_t attempt, ServerId server, double give_up_after_s) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return SendResult::kNotSent;
  return core_.send_setup(call, attempt, server, give_up_after_s, found->second.record);
}

void Edge::release(CallId call, std::uint32_t attempt, ServerId server) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  if (core_.release(call, attempt, server, found->second.record)) release_sent_ = true;
}

void Edge::subscribe() { list_client_->open(); }

void Edge::send_gossip(std::uint32_t peer, const std::vector<GossipEntry>& entries) {
  if (!datagrams_ || peer >= config_.fleet.peers.size()) return;
  datagrams_->send(gossip_writer_.pack(entries, [this](ServerId id) { return identity_of(id); }),
                   config_.fleet.peers[peer]);
}

void Edge::log(const std::string& text) { log_event(info, "decision", {{"detail", text}}); }

// ---- Events of the core side ----

void Edge::core_call_established(CallId call, std::uint32_t attempt, const CoreAnswer& answer) {
  call_manager_.on_established(call, attempt, answer.report, loop_.now());
  schedule_call_timer();
}

void Edge::core_attempt_ended(CallId call, std::uint32_t attempt, const CoreAnswer& answer) {
  if (answer.cause == Cause::kUnfit || answer.cause == Cause::kRejected) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) found->second.rejection = std::make_unique<const CoreAnswer>(answer);
  }
  call_manager_.on_ended(call, attempt, answer.outcome, answer.cause, answer.advised_wait_s, answer.report,
                         loop_.now());
  schedule_call_timer();
}

void Edge::core_load_reported(ServerId server, const CoreAnswer& answer) {
  call_manager_.update_load(server, answer.report, loop_.now());
  schedule_call_timer();
}

void Edge::core_release_confirmed(const std::string& session, bool ended) {
  front_.on_release_confirmed(session, ended);
}

void Edge::core_errors_reported(const std::string& server, const AnswerMonitor::Warning& warning) {
  log_event(warn, "core_errors",
            {{"peer", server},
             {"result", std::to_string(warning.result)},
             {"detail", std::string(name_of_result(warning.result))},
             {"failed_avp", warning.failed_avp},
             {"errors", std::to_string(warning.errors)}});
}

void Edge::core_connection_event(const std::string& server, const char* event, const std::string& detail) {
  const std::string_view name(event);
  const bool problem = name != "up" && name != "usable";
  log_event(problem ? warn : info, event, {{"side", "core"}, {"peer", server}, {"detail", detail}});
}

// ---- The server list ----

void Edge::on_list_event(const list::SseEvent& event) {
  list::Update update;
  try {
    update = list::parse_update(event.data);
  } catch (const std::exception& error) {
    log_event(warn, "list_malformed", {{"detail", error.what()}});
    return;
  }
  for (const std::string& fault : update.errors) log_event(warn, "list_entry_malformed", {{"detail", fault}});
  if (!server_list_.apply(update)) return;
  list_connected_ = true;
  const double now = loop_.now();
  log_event(info, "list", {{"revision", std::to_string(update.revision)}});
  // Update the Controller first: it must know which servers drain before the core side looks again at the
  // set-ups that wait for a connection.
  call_manager_.update_servers(
      server_list_.to_server_list(update, update.full ? ServerList::Mode::kFull : ServerList::Mode::kDelta,
                                  now, net::wall_now()),
      now);
  for (const auto& [id, entry] : server_list_.entries()) core_.update_server(id, entry);
  schedule_call_timer();
  store_list(update);
  save_cached_list();
}

// ---- The stored list ----

namespace {

membership::ClockReading moment_at(double monotonic) {
  static const std::string kBoot = [] {  // read once: it can't change while this process runs
    std::ifstream in("/proc/sys/kernel/random/boot_id");
    std::string boot;
    std::getline(in, boot);
    return boot;
  }();
  return {net::wall_now(), monotonic, kBoot};
}

membership::StoredEntry to_stored_entry(const list::Entry& entry, double wall) {
  membership::StoredEntry out;
  out.identity = entry.identity;
  out.address = entry.address;
  out.node = entry.node;
  out.kind = entry.kind;
  out.weight = entry.weight;
  out.state = entry.state;
  out.started_at = entry.started_at;
  out.first_confirmed = out.last_confirmed = wall;
  return out;
}

}  // namespace

bool Edge::load_stored_list() {
  if (config_.list.store.empty()) return false;
  try {
    list_store_ = std::make_unique<membership::AsyncStore>(
        config_.list.store,
        config_.list.store_survives_power_cut ? membership::Store::Durability::kPowerCut
                                              : membership::Store::Durability::kProcessCrash,
        [this](const std::string& what) {
          const std::lock_guard<std::mutex> lock(store_faults_mutex_);
          store_faults_.push_back(what);
        });
  } catch (const std::exception& error) {
    // Start as a proxy without a store, which waits for the list server.
    log_event(err, "list_store_unusable", {{"detail", error.what()}});
    return false;
  }
  log_store_faults();
  schedule_list_confirmation();
  const membership::StoredList& loaded = list_store_->loaded();
  if (loaded.entries.empty()) return false;
  const double now = loop_.now();
  const membership::ClockReading current = moment_at(now);
  const membership::ClockReading stored{loaded.wall, loaded.monotonic, loaded.boot};
  // Revision 0, so that any later update is accepted: the list server may have restarted its revisions.
  list::Update update;
  for (const membership::StoredEntry& each : loaded.entries) {
    update.entries.push_back(
        {each.identity, each.address, each.node, each.kind, each.weight, each.state, each.started_at});
  }
  server_list_.apply(update);
  ServerList cached = server_list_.to_server_list(update, ServerList::Mode::kCached, now, current.wall);
  std::vector<membership::AssessedEntry> kept;
  for (std::size_t i = 0; i < loaded.entries.size(); ++i) {
    const membership::Age age =
        membership::confirmation_age(loaded.entries[i].last_confirmed, stored, current);
    membership::Evidence evidence;
    evidence.confirmed_age_s = age.seconds;
    evidence.clock_unreliable = age.unreliable || !loaded.intact;  // the damaged part may have held the age
    evidence.source = loaded.entries[i].source;
    const auto entry = std::find_if(
        cached.entries.begin(), cached.entries.end(),
        [&](const ServerEntry& each) { return each.id == server_list_.id_of(loaded.entries[i].identity); });
    if (entry == cached.entries.end()) continue;
    kept.push_back({*entry, membership::assess(config_.list.trust, evidence)});
    log_event(info, "list_kept",
              {{"peer", loaded.entries[i].identity},
               {"trust", std::to_string(kept.back().trust.score)},
               {"detail", kept.back().trust.reason}});
  }
  cached.entries = membership::cached_list_entries(kept, now);
  call_manager_.update_servers(cached, now);
  for (const ServerEntry& each : cached.entries) core_.update_server(each.id, *server_list_.find(each.id));
  return true;
}

void Edge::store_list(const list::Update& update) {
  if (!list_store_) return;
  const membership::ClockReading current = moment_at(loop_.now());
  membership::Change change;
  change.revision = update.revision;
  change.wall = current.wall;
  change.monotonic = current.monotonic;
  change.boot = current.boot;
  change.full = update.full;
  for (const list::Entry& each : update.entries) {
    if (each.state == ServerEntry::State::kGone) {
      change.removed.push_back(each.identity);
    } else {
      change.entries.push_back(to_stored_entry(each, current.wall));
    }
  }
  list_store_->write(std::move(change));
}

// Confirms the stored entries at intervals while the list server is connected, even if it sends no updates,
// so that they don't age meanwhile.
void Edge::schedule_list_confirmation() {
  constexpr double kConfirmInterval = 30;  // s; a stored list seems older than it is by at most this
  confirm_timer_ = loop_.after(kConfirmInterval, [this] {
    log_store_faults();
    if (list_connected_) {
      list::Update all = server_list_.snapshot();
      all.full = true;
      store_list(all);
    }
    schedule_list_confirmation();
  });
}

void Edge::log_store_faults() {
  std::vector<std::string> faults;
  {
    const std::lock_guard<std::mutex> lock(store_faults_mutex_);
    faults.swap(store_faults_);
  }
  for (const std::string& each : faults) log_event(err, "list_store_fault", {{"detail", each}});
}

void Edge::load_cached_list() {
  if (config_.list.cache_file.empty()) return;
  std::ifstream in(config_.list.cache_file);
  if (!in) return;
  std::ostringstream text;
  text << in.rdbuf();
  try {
    list::Update update = list::parse_update(text.str());
    // Any later update is accepted, even with a lower revision: the list server may have restarted its
    // revisions.
    update.revision = 0;
    server_list_.apply(update);
    const double now = loop_.now();
    call_manager_.update_servers(
        server_list_.to_server_list(update, ServerList::Mode::kCached, now, net::wall_now()), now);
    for (const auto& [id, entry] : server_list_.entries()) core_.update_server(id, entry);
    log_event(info, "list_cached", {{"detail", std::to_string(update.entries.size()) + " servers"}});
  } catch (const std::exception& error) {
    log_event(warn, "list_cache_malformed", {{"detail", config_.list.cache_file + ": " + error.what()}});
  }
}

// Writes the cache file at most once a second, by renaming a complete new file over the old one.
void Edge::save_cached_list() {
  if (config_.list.cache_file.empty() || cache_write_pending_) return;
  cache_write_pending_ = true;
  loop_.after(1.0, [this] {
    cache_write_pending_ = false;
    const std::string temporary = config_.list.cache_file + ".new";
    std::ofstream out(temporary, std::ios::trunc);
    out << list::print_update(server_list_.snapshot());
    out.close();
    if (!out || std::rename(temporary.c_str(), config_.list.cache_file.c_str()) != 0) {
      log_event(warn, "list_cache_not_written", {{"detail", config_.list.cache_file}});
    }
  });
}

// ---- Other proxies ----

void Edge::on_datagram(std::string_view bytes, net::Address from) {
  const auto& peers = config_.fleet.peers;
  const auto found = std::find(peers.begin(), peers.end(), from);
  std::string reason = "the sender is not a listed proxy";
  std::optional<PeerNews> news;
  if (found != peers.end()) {
    news = gossip_reader_.read(
        bytes, static_cast<std::uint32_t>(found - peers.begin()),
        [this](const std::string& identity) { return server_list_.id_of(identity); }, reason);
  }
  if (!news) {
    log_event(debug, "hearsay_dropped", {{"peer", from.str()}, {"detail", reason}});
    return;
  }
  call_manager_.on_peer_news(*news, loop_.now());
  schedule_call_timer();
}

// ---- Requests of operators ----

void Edge::reload() {
  Config reloaded;
  try {
    reloaded = load_config(config_file_);
  } catch (const std::exception& error) {
    log_event(err, "reload_failed", {{"detail", error.what()}});
    return;
  }
  for (const std::string& key : needs_restart(config_, reloaded)) {
    log_event(warn, "reload_needs_restart", {{"detail", key}});
  }
  config_.log.level = reloaded.log.level;
  config_.callers = reloaded.callers;
  config_.max_calls = reloaded.max_calls;
  set_log_level(config_.log.level);
  call_manager_.set_max_calls(config_.max_calls);
  log_event(info, "reloaded", {});
}

void Edge::drain() {
  if (draining_) return;
  draining_ = true;
  log_event(info, "draining", {{"open", std::to_string(call_manager_.pending())}});
  call_manager_.drain();
  front_.stop_listening();
  double max_deadline_s = 0;
  for (const auto& each : config_.settings.classes)
    max_deadline_s = std::max(max_deadline_s, each.deadline_s);
  drain_deadline_ = loop_.now() + max_deadline_s + 1;
  check_drained();
}

// Waits for the pending answers, then disconnects the peers, then stops the loop.
void Edge::check_drained() {
  constexpr double kCheckInterval = 0.05;  // s
  constexpr double kDpaTimeout = 11;  // s; longer than the 10 s that a peer state machine waits for its DPA
  const bool timed_out = loop_.now() >= drain_deadline_;
  if (!stopping_ && (call_manager_.pending() == 0 || timed_out)) {
    stopping_ = true;
    drain_deadline_ = loop_.now() + kDpaTimeout;
    front_.stop();
    core_.stop();
  } else if (stopping_ && ((front_.closed() && core_.closed()) || timed_out)) {
    log_event(info, "stopped", {});
    return loop_.stop();
  }
  drain_timer_ = loop_.after(kCheckInterval, [this] { check_drained(); });
}

std::string Edge::core_state(const std::string& identity) const {
  for (const CoreSide::View& each : core_.servers()) {
    if (each.identity == identity) return each.state;
  }
  return "";
}

AdminServer::Response Edge::health() const {
  std::size_t open = 0;
  std::size_t errors_only = 0;
  nlohmann::ordered_json servers = nlohmann::ordered_json::array();
  for (const CoreSide::View& each : core_.servers()) {
    open += each.state == "I-Open" || each.state == "R-Open";
    servers.push_back({{"server", each.identity},
                       {"peer", each.state},
                       {"watchdog", each.watchdog},
                       {"out", each.in_flight},
                       {"standing", each.established}});
    if (each.load >= 0) servers.back()["load"] = each.load;
    if (each.answers->last_error() != 0) {
      servers.back()["answers"] = {{"only_errors", each.answers->errors_only()},
                                   {"last_error", each.answers->last_error()},
                                   {"failed_avp", each.answers->last_failed_avp()}};
    }
    errors_only += each.answers->errors_only();
  }
  const char* state = draining_          ? "draining"
                      : open == 0        ? "no core server"
                      : !list_connected_ ? "list lost"
                      : errors_only > 0  ? "a core server answers only errors"
                                         : "ok";
  const nlohmann::ordered_json json{
      {"state", state}, {"list_revision", server_list_.revision()}, {"servers", servers}};
  return {draining_ || open == 0 ? 503 : 200, "application/json", json.dump(2) + "\n"};
}

AdminServer::Response Edge::calls() const {
  static const char* const kStates[] = {"deciding", "out", "stands"};
  const double now = loop_.now();
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (const CallManager::View& each : call_manager_.calls()) {
    const auto entry = calls_.find(each.call);
    nlohmann::ordered_json json{{"call", each.call}, {"state", kStates[static_cast<int>(each.state)]}};
    if (entry != calls_.end()) {
      json["session"] = entry->second.record->session_id;
      json["caller"] = entry->second.record->origin_host;
      json["called"] = entry->second.record->called;
    }
    const list::Entry* server = server_list_.find(each.server);
    if (server != nullptr) json["server"] = server->identity;
    json["attempts"] = each.attempts;
    json["age_s"] = now - each.offered_at;
    all.push_back(std::move(json));
  }
  return {200, "application/json", all.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

}  // namespace mintrock::edge
