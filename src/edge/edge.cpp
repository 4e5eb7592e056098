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

std::uint64_t draw_seed(std::uint64_t told) {
  if (told != 0) return told;
  std::random_device device;
  return std::uint64_t{device()} << 32 | device();
}

diameter::LocalNode make_local(const Config& config) {
  diameter::LocalNode local;
  local.host = config.node.identity;
  local.realm = config.node.realm;
  local.address = config.node.listen.ip;
  local.origin_state = static_cast<std::uint32_t>(net::wall_now());
  return local;
}

}  // namespace

Edge::Edge(net::Loop& loop, Config config, std::string config_file)
    : loop_(loop),
      config_(std::move(config)),
      config_file_(std::move(config_file)),
      seed_(draw_seed(config_.seed)),
      local_(make_local(config_)),
      realms_(config_.node.realm, config_.realms, config_.other_realms),
      desk_(config_.settings, seed_, config_.max_calls, *this),
      core_(loop_, local_, config_, seed_ + 1, *this),
      front_(
          loop_, local_, config_, seed_ + 2, *this,
          [this](const std::shared_ptr<net::Stream>& stream, const diameter::MessageView& cer,
                 std::string_view rest) { return core_.offer_connection(stream, cer, rest); },
          [](const std::string& peer, const char* event, const std::string& detail) {
            const bool bad = detail.size() > 0 && std::string(event) != "down";
            log_event(bad ? warn : info, event, {{"side", "caller"}, {"peer", peer}, {"detail", detail}});
          }),
      hearsay_out_(config_.settings.own_number, static_cast<std::uint64_t>(net::wall_now() * 1000)),
      hearsay_in_(config_.settings.own_number, config_.settings.fleet_size) {
  const auto count = [this](const char* name, const char* help,
                            const std::map<std::string, std::string>& labels, const std::uint64_t& value) {
    metrics_.counter(name, help, labels, [&value] { return static_cast<double>(value); });
  };
  const DeskCounts& d = desk_.counts();
  const char* const kCalls = "mintrock_calls_total";
  const char* const kCallsHelp = "Calls by what became of their set-up";
  count("mintrock_calls_offered_total", "Calls that callers offered", {}, d.offered);
  count(kCalls, kCallsHelp, {{"outcome", "stood"}}, d.stood);
  count(kCalls, kCallsHelp, {{"outcome", "refused"}}, d.refused);
  count(kCalls, kCallsHelp, {{"outcome", "failed"}}, d.failed);
  count(kCalls, kCallsHelp, {{"outcome", "abandoned"}}, d.abandoned);
  count("mintrock_calls_turned_away_total", "Of the refused: table full, or draining", {}, d.turned_away);
  count("mintrock_calls_overdue_total", "Answered by the last guard at the caller's end; a fault", {},
        d.overdue);
  count("mintrock_calls_cut_total", "Standing calls ended by the core side", {}, d.cut);
  count("mintrock_calls_ended_total", "Standing calls ended by their callers", {}, d.ended);
  const char* const kAttempts = "mintrock_attempts_ended_total";
  count("mintrock_attempts_total", "Set-ups sent to core servers", {}, d.attempts);
  count(kAttempts, "Attempts that ended in doubt", {{"how", "timed_out"}}, d.timed_out);
  count(kAttempts, "Attempts that ended in doubt", {{"how", "cancelled"}}, d.cancelled);
  const CoreCounts& c = core_.counts();
  count("mintrock_core_answers_unexpected_total", "Answers to no request of ours", {}, c.unexpected);
  count("mintrock_core_answers_late_total", "Answers of attempts given up", {}, c.late);
  count("mintrock_core_late_stood_total", "Of those, calls that stood and were released", {}, c.late_stood);
  count("mintrock_malformed_total", "Malformed messages", {{"side", "core"}}, c.bad);
  metrics_.family(
      "mintrock_core_answers_total", "Answers to set-ups, by core server and Result-Code", [this] {
        std::vector<std::pair<std::map<std::string, std::string>, double>> out;
        for (const CoreSide::View& each : core_.servers()) {
          for (const auto& [result, n] : each.answers->counts()) {
            out.push_back(
                {{{"server", each.identity}, {"result", result == 0 ? "other" : std::to_string(result)}},
                 static_cast<double>(n)});
          }
        }
        return out;
      });
  const char* const kRefused = "mintrock_requests_refused_total";
  count(kRefused, "Requests that are not served here", {{"why", "realm"}}, realm_refused_);
  count(kRefused, "Requests that are not served here", {{"why", "class"}}, class_refused_);
  count("mintrock_class_assumed_total", "Calls without a known class, taken as unknown_class", {},
        class_assumed_);
  count("mintrock_unknown_host_total", "Calls whose Destination-Host is not in the list", {}, unknown_host_);
  const FrontCounts& f = front_.counts();
  count("mintrock_ends_unconfirmed_total", "Ends of calls that no core server confirmed in time", {},
        f.unconfirmed);
  count("mintrock_malformed_total", "Malformed messages", {{"side", "caller"}}, f.bad);
  count("mintrock_connections_total", "Callers' connections accepted", {}, f.connections);
  count("mintrock_connections_rejected_total", "Callers' connections rejected", {}, f.rejected);
  count("mintrock_duplicates_total", "Requests that came again", {}, f.duplicates);
  metrics_.gauge("mintrock_ends_open", "Ends of calls that wait for a core server's word", {},
                 [this] { return static_cast<double>(front_.ends_open()); });
  metrics_.gauge("mintrock_calls_open", "Calls without an answer yet", {},
                 [this] { return static_cast<double>(desk_.open()); });
  metrics_.gauge("mintrock_calls_standing", "Calls that stand", {},
                 [this] { return static_cast<double>(desk_.standing()); });
  metrics_.gauge("mintrock_timers", "Timers set", {},
                 [this] { return static_cast<double>(desk_.timers() + loop_.timers().size()); });
  metrics_.gauge("mintrock_list_revision", "Revision of the pool list", {},
                 [this] { return static_cast<double>(book_.revision()); });
  metrics_.gauge("mintrock_callers_connected", "Callers with an open connection", {},
                 [this] { return static_cast<double>(front_.open_peers()); });
}

Edge::~Edge() {
  loop_.timers().cancel(desk_timer_);
  loop_.timers().cancel(drain_timer_);
  loop_.timers().cancel(confirm_timer_);
}

void Edge::start() {
  admin_ = std::make_unique<Admin>(
      loop_, config_.node.admin,
      std::map<std::string, Admin::Handler>{
          {"/healthz", [this] { return health(); }},
          {"/metrics",
           [this] {
             return Admin::Response{200, "text/plain; version=0.0.4", metrics_.text()};
           }},
          {"/calls", [this] { return calls(); }}});
  if (config_.settings.tells_peers) {
    datagrams_ = std::make_unique<net::DatagramSocket>(
        loop_, config_.fleet.listen,
        [this](std::string_view bytes, net::Address from) { on_datagram(bytes, from); });
  }
  list_ = std::make_unique<list::Client>(
      loop_, config_.list.server, config_.list.path, config_.list.reconnect_s, config_.list.idle_s, seed_ + 3,
      list::Client::Handlers{[this](const list::SseEvent& event) { on_list(event); },
                             [this](const std::string& why) {
                               log_event(warn, "list_failed", {{"detail", why}});
                               list_fresh_ = false;
                               ServerList failed;
                               failed.mode = ServerList::Mode::kFailed;
                               desk_.list(failed, loop_.now());
                               watch_desk();
                             }});
  if (!load_kept_list()) load_cached_list();
  desk_.start(loop_.now());
  watch_desk();
  log_event(
      info, "started",
      {{"listen", front_.listening().str()}, {"admin", admin_->listening().str()}, {"node", local_.host}});
}

// The desk's timers ride on one timer of the loop.
void Edge::watch_desk() {
  const double due = desk_.deadline();
  if (desk_timer_ != 0 && desk_timer_at_ <= due) return;
  loop_.timers().cancel(std::exchange(desk_timer_, 0));
  if (due == std::numeric_limits<double>::infinity()) return;
  desk_timer_at_ = due;
  desk_timer_ = loop_.timers().schedule(due, [this] {
    desk_timer_ = 0;
    desk_.tick(loop_.now());
    watch_desk();
  });
}

// ---- Fronts ----

void Edge::offer(Front& front, CallId id, RecordPtr record, bool peer_on_trial) {
  Offer offer;
  offer.peer_on_trial = peer_on_trial;
  const ClassOf kind = class_of(config_.classes, *record);
  class_assumed_ += kind.assumed;
  offer.call_class = kind.place;
  const double deadline = config_.settings.classes[offer.call_class].deadline_s;
  offer.ttl_s = record->max_wait_ms ? std::min(deadline, *record->max_wait_ms / 1000.0) : deadline;
  offer.key = key_of(record->called);
  offer.lines = record->lines;
  if (const list::Entry* entry = book_.find(book_.number(record->destination_host)))
    offer.first_choice = entry->node;
  else if (!record->destination_host.empty())
    unknown_host_ += 1;  // a first choice is a wish: the call goes wherever there is room
  offer.redialled = record->redial == 1;
  offer.was_cut = record->redial == 2;
  calls_[id] = {&front, std::move(record), loop_.now(), nullptr};
  desk_.offer(id, offer, loop_.now());
  watch_desk();
}

std::optional<diameter::Fault> Edge::refusal_of_realm(const CallRecord& record) {
  auto fault = check_realm(realms_, record.destination_realm);
  realm_refused_ += fault.has_value();
  return fault;
}

std::optional<diameter::Fault> Edge::refusal_of_setup(const CallRecord& record) {
  if (auto fault = refusal_of_realm(record)) return fault;
  auto fault = class_of(config_.classes, record).fault;
  class_refused_ += fault.has_value();
  return fault;
}

bool Edge::hang_up(CallId call) {
  release_sent_ = false;
  desk_.hang_up(call, loop_.now());
  watch_desk();
  return std::exchange(release_sent_, false);
}

std::uint32_t Edge::pass_termination(const CallRecord& record) {
  return core_.pass_termination(record.destination_host, record);
}

const CoreAnswer& Edge::rejection_of(CallId call) {
  static const CoreAnswer kNone;
  const auto found = calls_.find(call);
  return found != calls_.end() && found->second.rejection ? *found->second.rejection : kNone;
}

const std::string& Edge::identity_of(ServerId server) {
  static const std::string kUnknown = "unknown";
  const list::Entry* entry = book_.find(server);
  return entry != nullptr ? entry->identity : kUnknown;
}

// ---- What the desk asks for ----

void Edge::answer(CallId call, const Verdict& verdict) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  if (std::string_view(verdict.why) == "overdue") {
    log_event(err, "overdue", {{"session", found->second.record->session_id}});
  }
  log_event(debug, "answered", {{"session", found->second.record->session_id}, {"detail", verdict.why}});
  if (verdict.kind == Verdict::Kind::kStands) metrics_.setup_delay(loop_.now() - found->second.offered);
  found->second.front->answer(call, verdict);
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

Handover Edge::send_setup(CallId call, std::uint32_t attempt, ServerId server, double give_up_after_s) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return Handover::kNotSent;
  return core_.send_setup(call, attempt, server, give_up_after_s, found->second.record);
}

void Edge::release(CallId call, std::uint32_t attempt, ServerId server) {
  const auto found = calls_.find(call);
  if (found == calls_.end()) return;
  if (core_.release(call, attempt, server, found->second.record)) release_sent_ = true;
}

void Edge::subscribe() { list_->open(); }

void Edge::tell_peer(std::uint32_t peer, const std::vector<Hearsay>& hearsay) {
  if (!datagrams_ || peer >= config_.fleet.peers.size()) return;
  datagrams_->send(hearsay_out_.pack(hearsay, [this](ServerId id) { return identity_of(id); }),
                   config_.fleet.peers[peer]);
}

void Edge::log(const std::string& text) { log_event(info, "decision", {{"detail", text}}); }

// ---- What the core side tells ----

void Edge::core_stood(CallId call, std::uint32_t attempt, const CoreAnswer& answer) {
  desk_.stood(call, attempt, answer.report, loop_.now());
  watch_desk();
}

void Edge::core_ended(CallId call, std::uint32_t attempt, const CoreAnswer& answer) {
  if (answer.cause == Cause::kUnfit || answer.cause == Cause::kRejected) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) found->second.rejection = std::make_unique<const CoreAnswer>(answer);
  }
  desk_.ended(call, attempt, answer.outcome, answer.cause, answer.told_wait_s, answer.report, loop_.now());
  watch_desk();
}

void Edge::core_load(ServerId server, const CoreAnswer& answer) {
  desk_.load(server, answer.report, loop_.now());
  watch_desk();
}

void Edge::core_released(const std::string& session, bool ended) { front_.released(session, ended); }

void Edge::core_errors(const std::string& server, const AnswerWatch::Warning& warning) {
  log_event(warn, "core_errors",
            {{"peer", server},
             {"result", std::to_string(warning.result)},
             {"detail", std::string(name_of_result(warning.result))},
             {"failed_avp", warning.failed_avp},
             {"errors", std::to_string(warning.errors)}});
}

void Edge::core_event(const std::string& server, const char* event, const std::string& detail) {
  const std::string_view name(event);
  const bool bad = name != "up" && name != "usable";
  log_event(bad ? warn : info, event, {{"side", "core"}, {"peer", server}, {"detail", detail}});
}

// ---- The pool list ----

void Edge::on_list(const list::SseEvent& event) {
  list::News news;
  try {
    news = list::parse_news(event.data);
  } catch (const std::exception& error) {
    log_event(warn, "list_malformed", {{"detail", error.what()}});
    return;
  }
  for (const std::string& fault : news.faults) log_event(warn, "list_entry_malformed", {{"detail", fault}});
  if (!book_.take(news)) return;
  list_fresh_ = true;
  const double now = loop_.now();
  log_event(info, "list", {{"revision", std::to_string(news.revision)}});
  // Told to the Controller first: what is drained must be known before anything that waits is looked at
  // again.
  desk_.list(
      book_.event(news, news.full ? ServerList::Mode::kFull : ServerList::Mode::kDelta, now, net::wall_now()),
      now);
  for (const auto& [id, entry] : book_.entries()) core_.update(id, entry);
  watch_desk();
  keep_list(news);
  save_list();
}

// ---- The kept list ----

namespace {

membership::ClockReading moment(double monotonic) {
  static const std::string kBoot = [] {  // read once: it can't change while this process lives
    std::ifstream in("/proc/sys/kernel/random/boot_id");
    std::string boot;
    std::getline(in, boot);
    return boot;
  }();
  return {net::wall_now(), monotonic, kBoot};
}

membership::StoredEntry kept_entry(const list::Entry& entry, double wall) {
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

bool Edge::load_kept_list() {
  if (config_.list.store.empty()) return false;
  try {
    keeper_ = std::make_unique<membership::AsyncStore>(
        config_.list.store,
        config_.list.store_power_cut ? membership::Store::Durability::kPowerCut
                                     : membership::Store::Durability::kProcessCrash,
        [this](const std::string& what) {
          const std::lock_guard<std::mutex> lock(store_faults_mutex_);
          store_faults_.push_back(what);
        });
  } catch (const std::exception& error) {
    // Without it the proxy starts as one that has no store: from the list, once it comes.
    log_event(err, "list_store_unusable", {{"detail", error.what()}});
    return false;
  }
  tell_store_faults();
  confirm_list();
  const membership::StoredList& loaded = keeper_->loaded();
  if (loaded.entries.empty()) return false;
  const double now = loop_.now();
  const membership::ClockReading here = moment(now);
  const membership::ClockReading then{loaded.wall, loaded.monotonic, loaded.boot};
  list::News news;  // revision 0: whatever comes next is news, the list may have begun anew
  for (const membership::StoredEntry& each : loaded.entries) {
    news.entries.push_back(
        {each.identity, each.address, each.node, each.kind, each.weight, each.state, each.started_at});
  }
  book_.take(news);
  ServerList told = book_.event(news, ServerList::Mode::kCached, now, here.wall);
  std::vector<membership::AssessedEntry> kept;
  for (std::size_t i = 0; i < loaded.entries.size(); ++i) {
    const membership::Age age = membership::confirmation_age(loaded.entries[i].last_confirmed, then, here);
    membership::Evidence evidence;
    evidence.confirmed_age_s = age.seconds;
    evidence.clock_unreliable = age.unreliable || !loaded.intact;  // what was damaged may have been the age
    evidence.source = loaded.entries[i].source;
    const auto entry = std::find_if(told.entries.begin(), told.entries.end(), [&](const ServerEntry& each) {
      return each.id == book_.number(loaded.entries[i].identity);
    });
    if (entry == told.entries.end()) continue;
    kept.push_back({*entry, membership::assess(config_.list.trust, evidence)});
    log_event(info, "list_kept",
              {{"peer", loaded.entries[i].identity},
               {"trust", std::to_string(kept.back().trust.score)},
               {"detail", kept.back().trust.reason}});
  }
  told.entries = membership::cached_list_entries(kept, now);
  desk_.list(told, now);
  for (const ServerEntry& each : told.entries) core_.update(each.id, *book_.find(each.id));
  return true;
}

void Edge::keep_list(const list::News& news) {
  if (!keeper_) return;
  const membership::ClockReading here = moment(loop_.now());
  membership::Change change;
  change.revision = news.revision;
  change.wall = here.wall;
  change.monotonic = here.monotonic;
  change.boot = here.boot;
  change.full = news.full;
  for (const list::Entry& each : news.entries) {
    if (each.state == ServerEntry::State::kGone) {
      change.removed.push_back(each.identity);
    } else {
      change.entries.push_back(kept_entry(each, here.wall));
    }
  }
  keeper_->write(std::move(change));
}

// A list that is connected and silent is confirmed all the same: its entries don't age meanwhile.
void Edge::confirm_list() {
  constexpr double kConfirmEvery = 30;  // s; a kept list seems older by this at most
  confirm_timer_ = loop_.after(kConfirmEvery, [this] {
    tell_store_faults();
    if (list_fresh_) {
      list::News all = book_.snapshot();
      all.full = true;
      keep_list(all);
    }
    confirm_list();
  });
}

void Edge::tell_store_faults() {
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
    list::News news = list::parse_news(text.str());
    // Whatever comes next is news, be its revision lower or not: the list may have begun anew.
    news.revision = 0;
    book_.take(news);
    const double now = loop_.now();
    desk_.list(book_.event(news, ServerList::Mode::kCached, now, net::wall_now()), now);
    for (const auto& [id, entry] : book_.entries()) core_.update(id, entry);
    log_event(info, "list_cached", {{"detail", std::to_string(news.entries.size()) + " servers"}});
  } catch (const std::exception& error) {
    log_event(warn, "list_cache_malformed", {{"detail", config_.list.cache_file + ": " + error.what()}});
  }
}

// At most once a second, by a new file that takes the old one's place whole.
void Edge::save_list() {
  if (config_.list.cache_file.empty() || save_pending_) return;
  save_pending_ = true;
  loop_.after(1.0, [this] {
    save_pending_ = false;
    const std::string fresh = config_.list.cache_file + ".new";
    std::ofstream out(fresh, std::ios::trunc);
    out << list::print_news(book_.snapshot());
    out.close();
    if (!out || std::rename(fresh.c_str(), config_.list.cache_file.c_str()) != 0) {
      log_event(warn, "list_cache_not_written", {{"detail", config_.list.cache_file}});
    }
  });
}

// ---- Other proxies ----

void Edge::on_datagram(std::string_view bytes, net::Address from) {
  const auto& peers = config_.fleet.peers;
  const auto found = std::find(peers.begin(), peers.end(), from);
  std::string why = "from an address of no proxy";
  std::optional<PeerNews> news;
  if (found != peers.end()) {
    news = hearsay_in_.read(
        bytes, static_cast<std::uint32_t>(found - peers.begin()),
        [this](const std::string& identity) { return book_.number(identity); }, why);
  }
  if (!news) {
    log_event(debug, "hearsay_dropped", {{"peer", from.str()}, {"detail", why}});
    return;
  }
  desk_.peer_news(*news, loop_.now());
  watch_desk();
}

// ---- Operators ----

void Edge::reload() {
  Config fresh;
  try {
    fresh = load_config(config_file_);
  } catch (const std::exception& error) {
    log_event(err, "reload_failed", {{"detail", error.what()}});
    return;
  }
  for (const std::string& key : needs_restart(config_, fresh)) {
    log_event(warn, "reload_needs_restart", {{"detail", key}});
  }
  config_.log.level = fresh.log.level;
  config_.callers = fresh.callers;
  config_.max_calls = fresh.max_calls;
  set_log_level(config_.log.level);
  desk_.set_max_calls(config_.max_calls);
  log_event(info, "reloaded", {});
}

void Edge::drain() {
  if (draining_) return;
  draining_ = true;
  log_event(info, "draining", {{"open", std::to_string(desk_.open())}});
  desk_.drain();
  front_.stop_listening();
  double longest = 0;
  for (const auto& each : config_.settings.classes) longest = std::max(longest, each.deadline_s);
  drain_until_ = loop_.now() + longest + 1;
  drained();
}

// Answers first, then the peers are told, then the end.
void Edge::drained() {
  constexpr double kLook = 0.05;      // s
  constexpr double kDprAnswers = 11;  // s; a peer's own time-out for the DPA is 10 s
  const bool over = loop_.now() >= drain_until_;
  if (!stopping_ && (desk_.open() == 0 || over)) {
    stopping_ = true;
    drain_until_ = loop_.now() + kDprAnswers;
    front_.stop();
    core_.stop();
  } else if (stopping_ && ((front_.closed() && core_.closed()) || over)) {
    log_event(info, "stopped", {});
    return loop_.stop();
  }
  drain_timer_ = loop_.after(kLook, [this] { drained(); });
}

std::string Edge::core_state(const std::string& identity) const {
  for (const CoreSide::View& each : core_.servers()) {
    if (each.identity == identity) return each.state;
  }
  return "";
}

Admin::Response Edge::health() const {
  std::size_t open = 0;
  std::size_t errors_only = 0;
  nlohmann::ordered_json servers = nlohmann::ordered_json::array();
  for (const CoreSide::View& each : core_.servers()) {
    open += each.state == "I-Open" || each.state == "R-Open";
    servers.push_back({{"server", each.identity},
                       {"peer", each.state},
                       {"watchdog", each.watchdog},
                       {"out", each.out},
                       {"standing", each.standing}});
    if (each.load >= 0) servers.back()["load"] = each.load;
    if (each.answers->last_error() != 0) {
      servers.back()["answers"] = {{"only_errors", each.answers->errors_only()},
                                   {"last_error", each.answers->last_error()},
                                   {"failed_avp", each.answers->last_failed_avp()}};
    }
    errors_only += each.answers->errors_only();
  }
  const char* state = draining_         ? "draining"
                      : open == 0       ? "no core server"
                      : !list_fresh_    ? "list lost"
                      : errors_only > 0 ? "a core server answers only errors"
                                        : "ok";
  const nlohmann::ordered_json json{
      {"state", state}, {"list_revision", book_.revision()}, {"servers", servers}};
  return {draining_ || open == 0 ? 503 : 200, "application/json", json.dump(2) + "\n"};
}

Admin::Response Edge::calls() const {
  static const char* const kStates[] = {"deciding", "out", "stands"};
  const double now = loop_.now();
  nlohmann::ordered_json all = nlohmann::ordered_json::array();
  for (const CallDesk::View& each : desk_.calls()) {
    const auto entry = calls_.find(each.call);
    nlohmann::ordered_json json{{"call", each.call}, {"state", kStates[static_cast<int>(each.state)]}};
    if (entry != calls_.end()) {
      json["session"] = entry->second.record->session_id;
      json["caller"] = entry->second.record->origin_host;
      json["called"] = entry->second.record->called;
    }
    const list::Entry* server = book_.find(each.server);
    if (server != nullptr) json["server"] = server->identity;
    json["attempts"] = each.attempts;
    json["age_s"] = now - each.since;
    all.push_back(std::move(json));
  }
  return {200, "application/json", all.dump(2, ' ', false, nlohmann::json::error_handler_t::replace) + "\n"};
}

}  // namespace mintrock::edge
