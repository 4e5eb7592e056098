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
#include "instance/hearsay.hpp"
#include "platform/log_names.hpp"

namespace mintrock::platform {
namespace {

using edge::log_event;
using spdlog::level::info;
using spdlog::level::warn;

constexpr const char* kBusPath = "/bus/read";
constexpr double kBusAgain = 0.1;  // s until a broken subscription is asked for again
// A comment comes every second; what a silent bus would have told counts as told after 4 s.
constexpr double kBusSilent = 2.5;  // s

constexpr std::size_t kMostUnsent = 256 << 10;  // bytes for one side that doesn't read
constexpr std::size_t kCallsForMegabyte = 64;
constexpr double kRemember = 15.0;  // s that an ended call's id is known
constexpr std::size_t kMostRemembered = 8192;
constexpr std::size_t kMostTakenOver = 20000;

constexpr double kServeOn = 0.9;  // s after SIGTERM that new calls may still come
// A process that is told to end has the longest deadline for it, or this, whichever is shorter, and then it
// is killed 0.7 s after that at the earliest: it ends a little sooner by itself.
constexpr double kLongestEnd = 3.0;   // s
constexpr double kEndsSooner = 0.45;  // s after the above

// A call that is said to stand at a server which the list hasn't told yet: news may come late.
constexpr double kUnlisted = 6.0;  // s
constexpr std::size_t kMostUnlisted = 2048;

std::uint32_t most_calls(const Config& config) {
  return static_cast<std::uint32_t>(
      std::min<std::size_t>(config.most_open, config.memory_mb * kCallsForMegabyte));
}

// A server's name in messages between proxies, whose own numbers for it differ: 48 bits of a hash.
ServerId common_number(const std::string& identity) {
  return XXH64(identity.data(), identity.size(), 0) & 0xFFFFFFFFFFFFu;
}

}  // namespace

// A sixteenth for the process itself, listeners, bus (two at a change) and datagrams; a quarter for core
// servers; the rest for callers, whose usual ones hold a third of all at most.
DescriptorBudget::DescriptorBudget(std::uint32_t sockets)
    : callers(sockets - sockets / 4 - std::max(16u, sockets / 16)), core(sockets / 4) {}

std::size_t DescriptorBudget::for_server(std::size_t servers) const {
  constexpr std::size_t kMost = 16;
  return std::clamp<std::size_t>(core / std::max<std::size_t>(1, servers), 2, kMost);
}

PlatformEdge::PlatformEdge(net::Loop& loop, Config config, std::string config_file)
    : loop_(loop),
      config_(std::move(config)),
      config_file_(std::move(config_file)),
      budget_(config_.sockets),
      desk_(config_.instance.settings, config_.seed, most_calls(config_), *this),
      callers_(*this),
      order_(config_.offset) {}

PlatformEdge::~PlatformEdge() {
  loop_.timers().cancel(timer_);
  loop_.timers().cancel(state_timer_);
  for (auto& [id, stream] : caller_streams_) stream->close();
  for (auto& [id, core] : core_streams_) core.stream->close();
}

void PlatformEdge::start() {
  desk_.start(loop_.now());
  for (const TopologyEvent& event : config_.known) take_news(event);
  config_.known.clear();
  open_bus();
  if (config_.has_peers && config_.instance.settings.tells_peers) {
    datagrams_ = std::make_unique<net::DatagramSocket>(
        loop_, config_.peer_listen,
        [this](std::string_view bytes, net::Address from) { on_datagram(bytes, from); });
  }
  listener_ = std::make_unique<net::Listener>(loop_, config_.listen,
                                              [this](int fd, net::Address from) { on_accept(fd, from); });
  watch();
  state_timer_ = loop_.after(1.0, [this] { tell_state(); });
  log_event(info, "started",
            {{"name", config_.name},
             {"listen", config_.listen.str()},
             {"servers", std::to_string(cores_.size())},
             {"sockets", std::to_string(config_.sockets)},
             {"memory_mb", std::to_string(config_.memory_mb)}});
}

void PlatformEdge::watch() {
  double due = std::min({desk_.deadline(), callers_.deadline(), unlisted_due()});
  for (const auto& [id, core] : cores_) due = std::min(due, core.links->deadline());
  if (timer_ != 0 && timer_at_ == due) return;
  loop_.timers().cancel(std::exchange(timer_, 0));
  if (due == std::numeric_limits<double>::infinity()) return;
  timer_at_ = due;
  timer_ = loop_.timers().schedule(due, [this] {
    timer_ = 0;
    const double now = loop_.now();
    desk_.tick(now);
    callers_.tick(now);
    for (auto& [id, core] : cores_) core.links->tick(now);
    resolve_unlisted(now);
    sweep();
    watch();
  });
}

// ---- What the desk asks for ----

void PlatformEdge::answer(CallId id, const edge::Verdict& verdict) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  Call& call = found->second;
  const double now = loop_.now();
  switch (verdict.kind) {
    case edge::Verdict::Kind::kStands:
      call.server = verdict.server;
      log_event(info, "stands", {{"call", hex_id(call.id)}, {"peer", identity(verdict.server)}});
      callers_.answer(call.id, call.answer, now);
      call.answer.clear();
      call.description.clear();
      call.description.shrink_to_fit();
      return;
    case edge::Verdict::Kind::kRefused: {
      log_event(info, "refused", {{"call", hex_id(call.id)}, {"detail", verdict.why}});
      std::optional<std::uint32_t> stay_away_ms;
      if (verdict.retry_after_s > 0) {
        stay_away_ms = static_cast<std::uint32_t>(std::ceil(verdict.retry_after_s * 1000));
      }
      return callers_.refuse(call.id, kCauseCongestion, stay_away_ms, now);
    }
    default:
      log_event(info, "failed", {{"call", hex_id(call.id)}, {"detail", verdict.why}});
      return callers_.refuse(call.id, kCauseTemporaryFailure, {}, now);
  }
}

void PlatformEdge::cut(CallId id) {
  const auto found = calls_.find(id);
  if (found != calls_.end()) callers_.end(found->second.id, found->second.end_cause, loop_.now());
}

edge::Handover PlatformEdge::send_setup(CallId id, std::uint32_t attempt, ServerId server,
                                        double give_up_after_s) {
  const auto found = calls_.find(id);
  const auto core = cores_.find(server);
  if (found == calls_.end() || core == cores_.end() || core->second.state != ServerEntry::State::kReady) {
    return edge::Handover::kNotSent;
  }
  const Call& call = found->second;
  log_event(info, "attempt",
            {{"call", hex_id(call.id)}, {"attempt", std::to_string(attempt)}, {"peer", identity(server)}});
  const auto left_ms = static_cast<std::uint32_t>(std::max(1.0, std::floor(give_up_after_s * 1000)));
  core->second.links->set_up(
      {id, attempt}, call.id,
      write_core_setup(call.id, call.service_class, call.number, left_ms, call.description), loop_.now());
  return edge::Handover::kTaken;
}

void PlatformEdge::release(CallId id, std::uint32_t, ServerId server) {
  const auto found = calls_.find(id);
  CoreLinks* const at = links(server);
  if (found == calls_.end() || at == nullptr) return;
  log_event(info, "released", {{"call", hex_id(found->second.id)}, {"peer", identity(server)}});
  at->give_up(found->second.id, loop_.now());
}

void PlatformEdge::forget(CallId id) {
  const auto found = calls_.find(id);
  if (found == calls_.end()) return;
  remember(found->second.id);
  ids_.erase(found->second.id);
  calls_.erase(found);
}

void PlatformEdge::tell_peer(std::uint32_t peer, const std::vector<Hearsay>& hearsay) {
  if (!datagrams_ || peer >= config_.peers.size()) return;
  std::vector<Hearsay> common;
  for (const Hearsay& each : hearsay) {
    const auto core = cores_.find(each.server);
    if (core == cores_.end()) continue;
    common.push_back({common_number(core->second.identity), each.wait_s, each.age_s});
  }
  if (!common.empty()) datagrams_->send(instance::pack_hearsay(common), config_.peers[peer]);
}

void PlatformEdge::log(const std::string& text) { log_event(info, "decision", {{"detail", text}}); }

// ---- Callers ----

void PlatformEdge::on_accept(int fd, net::Address from) {
  if (caller_streams_.size() + loop_.closing_streams() >= budget_.callers) {
    const ConnectionId spare = callers_.spare_connection();
    if (spare != 0) callers_.close_for_room(spare);
  }
  const auto stream = net::Stream::adopt(loop_, fd, from, kMostUnsent);
  if (caller_streams_.size() + loop_.closing_streams() >= budget_.callers) return stream->close();
  const ConnectionId id = ++last_connection_;
  caller_streams_[id] = stream;
  stream->set_handlers(
      {{},
       [this, id](std::string_view bytes) {
         callers_.received(id, bytes, loop_.now());
         watch();
       },
       [this, id](const std::string& why) {
         log_event(info, "caller_lost", {{"connection", std::to_string(id)}, {"detail", why}});
         caller_streams_.erase(id);
         callers_.lost(id, loop_.now());
         watch();
       }});
  callers_.opened(id, loop_.now());
  watch();
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
  // A plain close wherever that loses nothing: a set-up that crosses it finds no connection, not an open one.
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
  const auto place = std::find(config_.classes.begin(), config_.classes.end(), setup.service_class);
  if (place == config_.classes.end()) return "unknown class";
  if (ids_.count(setup.id) != 0 || taken_over_.count(setup.id) != 0) return "the id of a call that stands";
  // As large as it can get on its way to a core server, which closes over what is larger.
  constexpr std::uint32_t kLongest = 4294967295u;
  if (setup.description.size() > kMostMessage / 16 &&
      write_core_setup(setup.id, setup.service_class, setup.number, kLongest, setup.description).size() >
          kMostMessage) {
    return "too large to be passed on";
  }
  const CallId id = desk_.next_call();
  ids_[setup.id] = id;
  Call& call = calls_[id];
  call.id = setup.id;
  call.service_class = std::move(setup.service_class);
  call.number = std::move(setup.number);
  call.description = std::move(setup.description);
  edge::Offer out;
  out.call_class = static_cast<std::uint32_t>(place - config_.classes.begin());
  out.key = setup.key;
  out.ttl_s = setup.left_s;
  out.lines = setup.width;
  out.first_choice = setup.first_choice;
  out.redialled = setup.redialled;
  out.was_cut = setup.was_cut;
  desk_.offer(id, out, loop_.now());
  return nullptr;
}

const char* PlatformEdge::take_over(const CallSetup& setup) {
  if (ids_.count(setup.id) != 0 || taken_over_.count(setup.id) != 0) return nullptr;  // held already
  if (recent_.count(setup.id) != 0) {  // its end was told before its caller named it, maybe to nobody
    callers_.end(setup.id, kCauseTemporaryFailure, loop_.now());
    return nullptr;
  }
  if (taken_over_.size() >= kMostTakenOver || unlisted_.size() >= kMostUnlisted) {
    return "too many calls stand already";
  }
  const ServerId server = book_.number(setup.stands_at);
  CoreLinks* const at = links(server);
  taken_over_[setup.id] = at == nullptr ? 0 : server;
  if (at != nullptr) {
    at->take_over(setup.id);
  } else {
    unlisted_.push_back({loop_.now() + kUnlisted, setup.id, setup.stands_at});
  }
  return nullptr;
}

double PlatformEdge::unlisted_due() const {
  return unlisted_.empty() ? std::numeric_limits<double>::infinity() : unlisted_.front().until;
}

// Those that the list has told of by now are taken over; those that it doesn't tell of are gone.
void PlatformEdge::resolve_unlisted(double now) {
  std::vector<std::uint64_t> over;
  for (auto it = unlisted_.begin(); it != unlisted_.end();) {
    const auto taken = taken_over_.find(it->id);
    const ServerId server = book_.number(it->identity);
    CoreLinks* const at = links(server);
    const bool open = taken != taken_over_.end() && taken->second == 0;
    if (open && at != nullptr) {
      taken->second = server;
      at->take_over(it->id);
    } else if (open && it->until > now) {
      ++it;
      continue;
    } else if (open) {
      over.push_back(it->id);
    }
    it = unlisted_.erase(it);
  }
  for (const std::uint64_t id : over) {
    taken_over_.erase(id);
    remember(id);
    callers_.end(id, kCauseTemporaryFailure, now);
  }
}

bool PlatformEdge::hang_up(std::uint64_t id) {
  const auto found = ids_.find(id);
  if (found != ids_.end()) return desk_.hang_up(found->second, loop_.now());
  const auto taken = taken_over_.find(id);
  if (taken == taken_over_.end()) return false;
  if (CoreLinks* const at = links(taken->second)) at->give_up(id, loop_.now());
  taken_over_.erase(taken);
  remember(id);
  return true;
}

void PlatformEdge::caller_fault(ConnectionId, const char* what) {
  log_event(warn, "caller_fault", {{"detail", what}});
}

void PlatformEdge::caller_closed(ConnectionId which, CloseReason reason, std::size_t standing) {
  log_event(info, "caller_closed",
            {{"connection", std::to_string(which)},
             {"detail", name(reason)},
             {"standing", std::to_string(standing)}});
}

void PlatformEdge::end_told(std::uint64_t id, ConnectionId to) {
  log_event(info, "end_told", {{"call", hex_id(id)}, {"connection", to == 0 ? "" : std::to_string(to)}});
}

// ---- Core servers ----

CoreLinks* PlatformEdge::links(ServerId server) {
  const auto found = cores_.find(server);
  return found == cores_.end() ? nullptr : found->second.links.get();
}

std::string PlatformEdge::identity(ServerId server) const {
  const auto found = cores_.find(server);
  return found == cores_.end() ? "" : found->second.identity;
}

ConnectionId PlatformEdge::connect_core(ServerId server) {
  const ConnectionId id = ++last_connection_;
  std::shared_ptr<net::Stream> stream;
  try {
    stream = net::Stream::connect(loop_, cores_.at(server).address, kMostUnsent);
  } catch (const std::exception& error) {  // no descriptor
    log_event(warn, "core_connect_failed", {{"detail", error.what()}});
    loop_.defer([this, id, server] {
      if (CoreLinks* const at = links(server)) at->down(id, ConnectionLoss::kNotUp, loop_.now());
      watch();
    });
    return id;
  }
  core_streams_[id] = {server, stream};
  stream->set_handlers({[this, id, server] {
                          if (CoreLinks* const at = links(server)) at->up(id, loop_.now());
                          watch();
                        },
                        [this, id, server](std::string_view bytes) {
                          if (CoreLinks* const at = links(server)) at->received(id, bytes, loop_.now());
                          watch();
                        },
                        [this, id, server, raw = stream.get()](const std::string&) {
                          const ConnectionLoss loss = raw->error() == ECONNREFUSED ? ConnectionLoss::kRefused
                                                                                   : ConnectionLoss::kEnded;
                          core_streams_.erase(id);
                          if (CoreLinks* const at = links(server)) at->down(id, loss, loop_.now());
                          sweep();
                          watch();
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

void PlatformEdge::core_stood(const Attempt& who, std::string description, const Report& report) {
  const auto found = calls_.find(who.call);
  if (found != calls_.end()) found->second.answer = std::move(description);
  desk_.stood(who.call, who.attempt, report, loop_.now());
}

void PlatformEdge::core_ended(const Attempt& who, Outcome outcome, Cause cause, double waited_s,
                              const Report& report) {
  const auto found = calls_.find(who.call);
  if (found != calls_.end()) {
    log_event(info, "attempt_over",
              {{"call", hex_id(found->second.id)},
               {"attempt", std::to_string(who.attempt)},
               {"detail", name(outcome)}});
  }
  desk_.ended(who.call, who.attempt, outcome, cause, waited_s, report, loop_.now());
}

void PlatformEdge::core_over(ServerId server, std::uint64_t id, bool cut, const Report& report) {
  const double now = loop_.now();
  desk_.load(server, report, now);
  log_event(info, "core_over",
            {{"call", hex_id(id)}, {"peer", identity(server)}, {"detail", cut ? "cut" : "ended"}});
  const int cause = cut ? kCauseTemporaryFailure : kCauseNormal;
  const auto found = ids_.find(id);
  if (found != ids_.end()) {
    Call& call = calls_.at(found->second);
    if (call.server == 0 && !cut) return desk_.ran_elsewhere(found->second, now);
    if (call.server != server) return;  // a second copy of what an earlier attempt met
    call.end_cause = cause;
    // The attempt's number is not needed where a call stands: there is one.
    desk_.ended_standing(found->second, cut ? Outcome::kReset : Outcome::kEnded, report, now);
    return;
  }
  const auto taken = taken_over_.find(id);
  if (taken != taken_over_.end()) {
    if (taken->second != server && taken->second != 0) return;
    taken_over_.erase(taken);
  } else if (recent_.count(id) != 0) {
    return;
  }
  // Known here, or of this proxy's former life: its caller is told.
  remember(id);
  callers_.end(id, cause, now);
}

void PlatformEdge::core_load(ServerId server, const Report& report) {
  desk_.load(server, report, loop_.now());
}

void PlatformEdge::core_fault(ServerId server, const char* what) {
  log_event(warn, "core_fault", {{"peer", identity(server)}, {"detail", what}});
}

void PlatformEdge::core_run_over(const Attempt& who) { desk_.ran_elsewhere(who.call, loop_.now()); }

void PlatformEdge::core_gone(ServerId server, const char* why, std::size_t standing) {
  log_event(warn, "core_gone",
            {{"peer", identity(server)}, {"detail", why}, {"standing", std::to_string(standing)}});
}

void PlatformEdge::core_connection(ServerId server, ConnectionId which, ConnectionChange change) {
  log_event(info, "core_connection",
            {{"peer", identity(server)}, {"connection", std::to_string(which)}, {"detail", name(change)}});
}

void PlatformEdge::core_message(ServerId server, ConnectionId from, const CoreMessage& message,
                                MessageOwner owner) {
  const bool answers = message.type == CoreMessage::Type::kAnswer;
  if (answers && owner == MessageOwner::kAttempt) return;  // "stands" tells it
  log_event(info, "core_message",
            {{"call", hex_id(message.id)},
             {"peer", identity(server)},
             {"connection", std::to_string(from)},
             {"type", answers ? "answer" : "release"},
             {"cause", answers ? "" : std::to_string(message.cause)},
             {"owner", name(owner)}});
}

void PlatformEdge::remember(std::uint64_t id) {
  const double now = loop_.now();
  while (!recent_order_.empty() &&
         (recent_order_.front().first <= now || recent_order_.size() >= kMostRemembered)) {
    const auto [until, old] = recent_order_.front();
    recent_order_.pop_front();
    const auto found = recent_.find(old);
    if (found != recent_.end() && found->second == until) recent_.erase(found);
  }
  recent_order_.emplace_back(now + kRemember, id);
  recent_[id] = now + kRemember;
}

// ---- The list ----

void PlatformEdge::open_bus() {
  bus_ = std::make_unique<list::Client>(
      loop_, config_.bus, kBusPath, kBusAgain, kBusSilent, config_.seed,
      list::Client::Handlers{[this](const list::SseEvent& event) { on_event(event); },
                             [](const std::string& why) {
                               log_event(warn, "bus_lost", {{"detail", why}});
                             }});
  bus_->resume_after(std::to_string(order_.last()));
  bus_->open();
}

void PlatformEdge::on_event(const list::SseEvent& event) {
  using Verdict = list::EventOrder::Verdict;
  Verdict verdict = Verdict::kSkip;
  std::string fault = "one before it is missing";
  try {
    const TopologyEvent news = parse_topology_event(event.data, config_.kinds);
    verdict = order_.judge(news.offset, news.news.full);
    if (verdict == Verdict::kTake) take_news(news);
  } catch (const std::exception& error) {
    verdict = order_.unreadable();
    fault = error.what();
  }
  if (verdict == Verdict::kAskAgain) {
    log_event(warn, "event_bad", {{"id", event.id}, {"detail", fault}});
    loop_.defer([this] {  // not within the watch's own call
      order_.begun_again();
      bus_->again_after(std::to_string(order_.last()));
    });
  }
  watch();
}

void PlatformEdge::take_news(const TopologyEvent& event) {
  for (const std::string& fault : event.news.faults) log_event(warn, "host_malformed", {{"detail", fault}});
  const double now = loop_.now();
  const double wall = net::wall_now();
  const ServerList moved = book_.retire_moved(event.news);
  if (!book_.take(event.news)) return;
  if (!moved.entries.empty()) desk_.list(moved, now);
  // Told to the Controller first: what is drained must be known before anything that waits is looked at
  // again.
  desk_.list(book_.event(event.news, event.news.full ? ServerList::Mode::kFull : ServerList::Mode::kDelta,
                         now, wall),
             now);
  std::size_t alive = 0;
  for (const auto& [id, entry] : book_.entries()) alive += entry.state != ServerEntry::State::kGone;
  for (const auto& [id, entry] : book_.entries()) {
    if (entry.state == ServerEntry::State::kGone && cores_.count(id) == 0) continue;
    Core& core = cores_[id];
    if (!core.links) {
      core.identity = entry.identity;
      try {
        core.address = net::parse_address(entry.address);
      } catch (const std::exception& error) {
        log_event(warn, "host_malformed", {{"peer", entry.identity}, {"detail", error.what()}});
        cores_.erase(id);
        continue;
      }
      core.links = std::make_unique<CoreLinks>(
          id, CoreLinks::Settings{config_.connect_s, budget_.for_server(alive), config_.seed + id}, *this,
          core_counts_);
    }
    core.state = entry.state;
    core.links->set_state(entry.state, now);
  }
  // An address is the one's that was told to serve there last.
  for (const list::Entry& entry : event.news.entries) {
    const auto told = cores_.find(book_.number(entry.identity));
    if (told == cores_.end() || entry.state != ServerEntry::State::kReady) continue;
    for (auto& [other, old] : cores_) {
      if (other != told->first && old.address == told->second.address) old.links->moved_away(now);
    }
    told->second.links->moved_back();
  }
  resolve_unlisted(now);
  sweep();
  log_event(info, "list", {{"revision", std::to_string(event.offset)}, {"servers", std::to_string(alive)}});
}

// Servers that left the list and hold nothing are forgotten.
void PlatformEdge::sweep() {
  for (auto it = cores_.begin(); it != cores_.end();) {
    if (it->second.state != ServerEntry::State::kGone || !it->second.links->idle()) {
      ++it;
      continue;
    }
    it->second.links->set_state(ServerEntry::State::kGone, loop_.now());  // closes what is left
    book_.forget(it->first);
    it = cores_.erase(it);
  }
}

// What this proxy believes, to be held against what its core servers and callers saw.
void PlatformEdge::tell_state() {
  constexpr double kEvery = 10.0;  // s
  const edge::DeskCounts& d = desk_.counts();
  const CallerCounts& c = callers_.counts();
  const auto text = [](std::uint64_t value) { return std::to_string(value); };
  log_event(info, "state",
            {{"offered", text(d.offered)},
             {"stood", text(d.stood)},
             {"refused", text(d.refused)},
             {"failed", text(d.failed)},
             {"abandoned", text(d.abandoned)},
             {"overdue", text(d.overdue)},
             {"attempts", text(d.attempts)},
             {"timed_out", text(d.timed_out)},
             {"cancelled", text(d.cancelled)},
             {"ended", text(d.ended + d.cut)},
             {"open", text(desk_.open())},
             {"standing", text(desk_.standing())},
             {"taken_over", text(taken_over_.size())},
             {"callers", text(callers_.connections())},
             {"caller_faults", text(c.faults)},
             {"closed_for_room", text(c.closed_for_room)},
             {"ends_kept", text(c.ends_kept)},
             {"ends_dropped", text(c.ends_dropped)},
             {"ends_repeated", text(c.ends_repeated)},
             {"core_lost", text(core_counts_.lost)},
             {"core_refused", text(core_counts_.refused)},
             {"core_not_up", text(core_counts_.not_up)},
             {"core_spoilt", text(core_counts_.spoilt)},
             {"core_late", text(core_counts_.late)},
             {"core_doubled", text(core_counts_.doubled)},
             {"core_stranger", text(core_counts_.stranger)}});
  for (const auto& [id, core] : cores_) {
    log_event(info, "core",
              {{"peer", core.identity},
               {"out", text(core.links->out())},
               {"standing", text(core.links->standing())},
               {"connections", text(core.links->connections())},
               {"owed", text(core.links->owed())}});
  }
  state_timer_ = loop_.after(kEvery, [this] { tell_state(); });
}

// ---- Other proxies ----

void PlatformEdge::on_datagram(std::string_view bytes, net::Address from) {
  if (std::find(config_.peers.begin(), config_.peers.end(), from) == config_.peers.end()) return;
  PeerNews news;
  for (const Hearsay& each : instance::unpack_hearsay(bytes)) {
    for (const auto& [id, core] : cores_) {
      if (common_number(core.identity) == each.server) news.hearsay.push_back({id, each.wait_s, each.age_s});
    }
  }
  if (news.hearsay.empty()) return;
  desk_.peer_news(news, loop_.now());
  watch();
}

// ---- Operators ----

void PlatformEdge::reload() { read_reload(5); }

// A file that is being replaced may be half written: it is read again a few times, and the old one stands.
void PlatformEdge::read_reload(int tries) {
  constexpr double kAgain = 0.2;  // s
  net::Address bus;
  try {
    std::ifstream in(config_file_);
    std::ostringstream text;
    text << in.rdbuf();
    bus = parse_bus(text.str());
  } catch (const std::exception& error) {
    log_event(warn, "reload_failed", {{"detail", error.what()}});
    if (tries > 1) loop_.after(kAgain, [this, tries] { read_reload(tries - 1); });
    return;
  }
  log_event(info, "reloaded", {{"bus", bus.str()}});
  if (bus == config_.bus) return;
  config_.bus = bus;
  open_bus();
}

void PlatformEdge::drain() {
  if (draining_) return;
  draining_ = true;
  double longest = 0;
  for (const auto& each : config_.instance.settings.classes) longest = std::max(longest, each.deadline_s);
  serve_until_ = loop_.now() + kServeOn;
  drain_until_ = std::max(serve_until_, loop_.now() + std::min(kLongestEnd, longest) + kEndsSooner);
  log_event(info, "draining", {{"open", std::to_string(desk_.open())}});
  drained();
}

// Nobody comes any more after serve_until_: what the system has accepted is taken, and each connection is
// closed when nothing on it is open, behind its last answer and over nothing unread. Whatever is still open
// at drain_until_ gets its final answer then.
void PlatformEdge::drained() {
  constexpr double kLook = 0.02;  // s
  const double now = loop_.now();
  if (now >= serve_until_ && !leaving_) {
    leaving_ = true;
    listener_->accept_pending();
    listener_.reset();
    callers_.leave();
    callers_.tick(now);
  }
  if (now >= drain_until_) {
    desk_.answer_all(now);
    callers_.close_all();
  }
  std::size_t owed = 0;
  for (const auto& [id, core] : cores_) owed += core.links->owed() + core.links->releases_in_doubt(now);
  const bool callers_gone = leaving_ && callers_.connections() == 0 && loop_.closing_streams() == 0;
  // An end that comes now can be told by the next process alone: nothing owed is worth its delay.
  const bool done = callers_gone && (owed == 0 || callers_.ends_waiting() > 0);
  constexpr double kLastBytes = 0.2;  // s for what was written last
  if (done || now >= drain_until_ + kLastBytes) {
    loop_.timers().cancel(state_timer_);
    tell_state();
    log_event(info, "stopped", {{"standing", std::to_string(desk_.standing())}});
    return loop_.stop();
  }
  watch();
  loop_.after(kLook, [this] { drained(); });
}

}  // namespace mintrock::platform
