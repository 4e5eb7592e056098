// The decision module of mintrock. Its interface (settings, events, actions) is
// include/mintrock/controller.hpp.
//
// The main path is DSRT (Kagrecha and Nair, "Please come back later", section III): a call that finds no
// server with room is held for one later attempt. At most D calls are held, and their attempts are spaced x
// apart. A held call that then finds no room is refused. docs/design.md describes what was kept from DSRT,
// what was added, and when each addition takes effect.
//
// The file follows the path of a call: constants, state of calls and servers, arrival of a call (or of its
// held attempt), room at a server, holding, sending, answers, ending; then server list updates and reports.
#include <algorithm>
#include <cmath>
#include <cstdint>
#include <deque>
#include <iterator>
#include <limits>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock {
namespace {

// ---- Constants ----

// x, the spacing of held attempts: a moving average of the set-up delay of established calls.
constexpr double kSpacingGain = 0.1;   // weight of a new delay: averages about the last ten
constexpr double kMinSpacing = 0.001;  // s; keeps x above 0
// x before the first call is established. It is short so that a burst that meets a freshly started proxy,
// when each server may get two set-ups only, can be held. Drawback: where set-ups take far longer, the first
// held attempts come too early.
constexpr double kInitialSpacing = 0.005;  // s

// A server that answers kFull counts as full for x, but for at least this time: its queue can't have changed
// much before.
constexpr double kMinFullMark = 0.2;  // s

// The expected wait from which a server has no room. A full queue is far longer than the target time: once
// kFull answers arrive, every call in the queue is late.
constexpr double kRoomTargetShare = 0.4;  // of the target time; the rest is for other calls in the same queue
constexpr double kRoomRepeatShare = 0.8;  // of the retransmission timeout: retransmissions add load
// The acceptable wait shrinks in proportion to a call's value, so that calls of the lowest value are lost
// first under overload. Where a call would be established about as fast as possible, every call has room.
constexpr double kRoomFloorFactor = 1.2;      // times the shortest recent set-up delay
constexpr double kShortestDelayGain = 0.005;  // weight of a longer delay in the shortest recent delay

// A sender in a large fleet sees little of a server's traffic, and its information is old. Therefore
// evidence of a wait holds for some time before it fades, and each attempt draws the wait that it accepts at
// random: all senders learn of a wait at about the same time, and if one limit closed the server for all of
// them, its queue would swing between empty and full.
constexpr double kSmallFleet = 12;       // senders; neither measure applies up to this size
constexpr double kLargeFleet = 48;       // senders; both measures apply in full from this size
constexpr double kEvidenceHold = 3.0;    // s before evidence fades; about the time an answer takes then
constexpr double kMaxLimitSpread = 0.6;  // largest random deviation from the limit, as a share of it

// Evidence of a wait fades by this many seconds of wait per second.
constexpr double kWaitFadeRate = 0.5;  // other senders continue, so a queue drains slower than real time
constexpr double kWaitGain = 0.5;      // weight of a new delay in a server's measured wait

// The last free lines are reserved for calls of the highest value. The reserve is randomized because all
// senders see the same report for a second.
constexpr double kLineReserve = 0.05;  // share of a server's lines

// A reported queue length is converted to a wait by the delay of recent own set-ups. Servers are assumed to
// work the faster the more lines they have.
constexpr double kMinReportedQueue = 5;       // set-ups; with fewer, most of the delay is the round trip
constexpr double kQueueReportLifetime = 1.5;  // s from a queue report to an answer compared with it

constexpr double kSpareReportLifetime = 2.0;  // s until a report of free lines is too old to close a server

// Weights of the random draw between servers: a weight drops quickly when the set-up delay rises and recovers
// slowly.
constexpr double kDrawDelayRiseGain = 0.5;
constexpr double kDrawDelayFallGain = 0.1;
constexpr double kDrawDelayOffset = 0.05;  // s added to each delay, so that no server gets all calls

constexpr double kFreedLineShare = 0.02;  // share of a server's lines expected to become free soon

// A server that loses set-ups becomes suspect: it gets no calls but single trial set-ups at doubling gaps.
constexpr int kLossesToSuspect = 2;     // unanswered set-ups in a row; a single one may be chance
constexpr double kOvertakenGap = 0.3;   // s; a set-up is lost if one sent this much later was answered
constexpr int kFaultsToSuspect = 6;     // immediate faults in a row; that many are hardly chance
constexpr double kFaultGain = 0.1;      // weight of a new answer in the shares of faults and rejections
constexpr double kFirstTrialGap = 0.5;  // s until the first trial
constexpr double kMaxTrialGap = 8.0;    // s between trials
constexpr double kCutWindow = 0.3;      // s; kCutsToSuspect established calls cut within it mean a crash
constexpr std::size_t kCutsToSuspect = 2;

// Cold servers: the share of the permitted load that all senders together may use. The rest covers random
// variation, retransmissions that are not visible here, and senders that use the quotas of two windows in one
// surge.
constexpr double kColdMargin = 0.7;
constexpr double kSmallQuotaMargin = 0.45;  // for quotas below one, where those of two windows may add up
constexpr double kRateWindow = 10.0;        // s over which rates of answers are averaged

// Traffic to a server grows with its answers: the set-ups sent within the window are limited to
// kInitialSetups plus kGrowthFactor x the answers within it.
constexpr double kGrowthWindow = 1.0;  // s
constexpr double kInitialSetups = 2;
constexpr double kGrowthFactor = 1.3;

// A server that permanently rejects most calls while another server doesn't is itself at fault.
constexpr double kOutlierRejectShare = 0.5;  // of its recent answers; reached after about seven in a row
constexpr double kNormalRejectShare = 0.25;  // maximum share at the server it is compared with

// Gap after which a number that answered busy is tried again; it doubles each time.
constexpr double kFirstBusyGap = 0.5;  // s
constexpr double kMaxBusyGap = 4.0;    // s

// Part of a redialled call's time for full value has passed already; how much of it is unknown.
constexpr double kRedialValueShare = 0.25;

// Attempts are given up this long before the caller gives up, so that the final answer arrives in time.
constexpr double kDeadlineMargin = 0.05;  // s
constexpr double kReleaseMargin = 0.005;  // s added to the release wait to allow for clock rounding
constexpr double kMinAttemptTime = 0.05;  // s; with less time left a set-up is not worth sending

// Gossip: each proxy regularly sends what it knows of every server to a few others. Evidence gathered by
// hundreds of senders reaches all of them within one or two seconds at low cost.
constexpr double kGossipInterval = 1.0;  // s
constexpr int kGossipFanout = 2;

constexpr double kSubscribeRetry = 1.0;       // s until a failed subscription to the list is repeated
constexpr std::uint64_t kSubscribeTimer = 0;  // timers of calls use neither this token nor the next one
constexpr std::uint64_t kGossipTimer = ~std::uint64_t{0};

constexpr Time kNever = std::numeric_limits<double>::infinity();

// ---- State ----

struct Call {
  enum class State {
    kArriving,
    kInFlight,         // one attempt is in flight
    kHeld,             // no server had room: waits for its one held attempt
    kAwaitingRelease,  // an attempt ended with an unknown outcome: nothing may be sent yet
    kEstablished,
  };
  CallId id = 0;
  std::uint32_t call_class = 0;
  std::uint64_t key = 0;
  double lines = 1;
  std::int64_t first_choice = -1;
  double tolerance = 0;  // drawn for each attempt, 0 to 1; how much wait and how few free lines it accepts
  double value = 1;      // current value, relative to the highest class value
  Time first_try = 0;    // the caller's first try, as far as is known
  Time target_time = 0;  // full value if established by then
  Time deadline = 0;     // a final answer is due before
  Time not_before = 0;   // no attempt before: waits for a release
  bool cancel_sent = false;           // for the attempt in flight
  bool in_doubt = false;              // some attempt's outcome is unknown
  std::vector<ServerId> rejected_by;  // servers that rejected the call permanently
  State state = State::kArriving;
  std::uint32_t generation = 0;  // changes with the state; timers set in an earlier state are ignored
  std::uint32_t attempts = 0;
  ServerId server = 0;  // of the last attempt
  Time sent = 0;        // the last attempt
};

// Moving average of a rate of events per second, with the time constant kRateWindow.
struct MovingRate {
  double value = 0;
  Time updated_at = 0;
  double at(Time time) const { return value * std::exp(-(time - updated_at) / kRateWindow); }
  void add(Time time) {
    value = at(time) + 1 / kRateWindow;
    updated_at = time;
  }
};

struct Server {
  ServerEntry entry;
  bool listed = false;        // ready according to the list; other servers get no new calls
  Time cold_until = -kNever;  // treated as cold until then

  Time full_until = -kNever;  // after a kFull answer
  // After a 'no free line' answer. Established calls don't clear it, since they occupy lines.
  Time no_line_until = -kNever;
  double measured_wait = 0;  // s; moving average over established calls
  Time measured_at = -kNever;
  std::set<std::pair<Time, CallId>> in_flight;  // own unanswered set-ups, oldest first
  Time newest_answered_sent = -kNever;          // send time of the latest set-up that was answered
  double draw_delay = 0;                        // s; determines the weight in the random draw
  double reported_wait = 0;                     // s; from load reports
  Time wait_reported_at = -kNever;
  double reported_queue = 0;  // set-ups; from load reports
  Time queue_reported_at = -kNever;
  double gossip_wait = 0;  // s; from peers
  Time gossip_at = -kNever;
  std::optional<double> spare;  // free lines
  double total = 0;             // all lines; 0: unknown
  Time spare_reported_at = -kNever;

  int consecutive_failures = 0;  // lost set-ups and faults in a row
  bool suspect = false;
  Time suspect_since = -kNever;
  bool faulty = false;           // suspect because of immediate faults only
  bool unreachable = false;      // refused connections: treated as restarted and cold when it returns
  Time next_trial_at = -kNever;  // earliest time of the next trial while suspect
  double trial_gap = kFirstTrialGap;
  double fault_share = 0;        // moving share of signalling faults among the answers
  double reject_share = 0;       // moving share of permanent rejections among the answers
  std::deque<Time> recent_cuts;  // established calls that were cut

  std::deque<Time> recent_sends;      // attempts
  std::deque<Time> recent_answers;    // answered set-ups; traffic may grow with them
  std::deque<Time> recent_processed;  // answers that took processor work: established or number busy
  MovingRate answer_rate;             // of answered set-ups
  double quota_rounding = 0;          // while cold: added to the quota of the current window to round it
  Time quota_window_end = -kNever;
};

struct BusyNumber {
  Time until = 0;  // considered busy until then
  double gap = 0;
};

bool finite_nonnegative(double value) { return std::isfinite(value) && value >= 0; }

}  // namespace

class Controller::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {
    for (const Settings::Class& c : settings_.classes) {
      max_value_ = std::max(max_value_, c.value);
      max_target_ = std::max(max_target_, c.target_s);
      max_deadline_ = std::max(max_deadline_, c.deadline_s);
    }
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

 private:
  // ---- Arrival of a call ----

  void on(const Started&) {
    if (settings_.must_subscribe) emit(Subscribe{});
    if (settings_.can_tell_peers && settings_.fleet_size > 1)
      emit(SetTimer{kGossipTimer, kGossipInterval * uniform()});
  }

  void on(const NewCall& e) {
    if (calls_.count(e.call) != 0) return;
    Call& call = calls_[e.call];
    call.id = e.call;
    call.call_class = e.call_class;
    call.key = e.key;
    call.lines = finite_nonnegative(e.lines) ? e.lines : 1;
    call.first_choice = e.first_choice;
    call.first_try = first_try_time(e);
    call.target_time = call.first_try + class_of(call).target_s;
    call.deadline = now_ + (finite_nonnegative(e.ttl_s) ? e.ttl_s : 0) - kDeadlineMargin;
    call.value = value_of(call, e);
    if (is_number_busy(call.key)) return refuse(call);
    if (Server* server = route(call)) {
      send(call, *server);
    } else {
      hold_or_refuse(call);
    }
  }

  // Calls with a lower value find less room, so that under overload the calls of least value are lost.
  double value_of(const Call& call, const NewCall& e) {
    double value = class_of(call).value / max_value_;
    if ((e.redialled || call.first_try < now_) && !e.was_cut) value *= kRedialValueShare;
    return value;
  }

  // Time of the caller's first try. A caller that was turned away dials the same number again, with or
  // without a redial mark, and its time runs from the first try. Otherwise, capacity would permanently go to
  // calls that are late already. Drawback: where many callers dial one number, they count as redials of a
  // single caller.
  Time first_try_time(const NewCall& e) {
    while (!turned_away_expiry_.empty() && turned_away_expiry_.front().first < now_) {
      turned_away_.erase(turned_away_expiry_.front().second);
      turned_away_expiry_.pop_front();
    }
    const auto found = turned_away_.find(e.key);
    const bool may_be_redial = e.redialled || !settings_.marks_redials;
    return may_be_redial && !e.was_cut && found != turned_away_.end() ? found->second : now_;
  }

  void record_turned_away(const Call& call) {
    if (call.key == 0 || !turned_away_.emplace(call.key, call.first_try).second) return;
    turned_away_expiry_.emplace_back(call.first_try + max_deadline_, call.key);
  }

  // Returns the first choice if it has room, otherwise a random weighted choice among the allowed servers
  // with room.
  Server* route(Call& call) {
    call.tolerance = uniform();
    for (auto& [id, server] : servers_) {
      if (!is_first_choice(call, server) || !is_allowed(call, server) || !has_room(call, server)) continue;
      if (!server.faulty || trial_due(server)) return &server;
    }
    return draw_server(call, true);
  }

  // Sends the due attempt of a held call: one random choice among all allowed servers. The call is refused if
  // that server has no room.
  void try_held(Call& call) {
    call.tolerance = uniform();
    Server* server = draw_server(call, false);
    if (server != nullptr && has_room(call, *server)) {
      send(call, *server);
    } else {
      refuse(call);
    }
  }

  Server* draw_server(const Call& call, bool with_room) {
    std::vector<std::pair<Server*, double>> candidates;
    double total = 0;
    for (auto& [id, server] : servers_) {
      if (!is_allowed(call, server) || server.suspect) continue;
      if (with_room && !has_room(call, server)) continue;
      const double delay = server.draw_delay + kDrawDelayOffset;
      const double weight = remaining_capacity(server) * (1 - server.fault_share) / (delay * delay);
      total += weight;
      candidates.emplace_back(&server, weight);
    }
    if (candidates.empty()) return draw_suspect(call);
    double remaining = uniform() * total;
    for (auto& [server, weight] : candidates) {
      remaining -= weight;
      if (remaining < 0) return server;
    }
    return candidates.back().first;
  }

  // The capacity left at a server: by its free lines if they are known, otherwise by its weight in the list.
  double remaining_capacity(const Server& server) const {
    if (server.spare) return *server.spare + kFreedLineShare * server.total;
    return finite_nonnegative(server.entry.weight) ? server.entry.weight : 1;
  }

  // Suspect servers are used only if there is no other candidate. One that is suspect only because of
  // immediate faults may then get every attempt that a call has: a fault costs the call almost nothing, and
  // some attempts may succeed. Drawback: a server that answers nothing but faults does work for each of them.
  Server* draw_suspect(const Call& call) {
    for (auto& [id, server] : servers_) {
      if (server.suspect && is_allowed(call, server) && has_room(call, server)) return &server;
    }
    return nullptr;
  }

  // ---- Room at a server ----

  bool is_first_choice(const Call& call, const Server& server) const {
    return call.first_choice >= 0 && server.entry.node == static_cast<std::uint64_t>(call.first_choice);
  }

  bool is_allowed(const Call& call, const Server& server) const {
    if (!server.listed) return false;
    const std::vector<ServerId>& rejected_by = call.rejected_by;
    if (std::find(rejected_by.begin(), rejected_by.end(), server.entry.id) != rejected_by.end()) return false;
    const std::vector<std::uint32_t>& nodes = class_of(call).nodes;
    return nodes.empty() || std::find(nodes.begin(), nodes.end(), server.entry.node) != nodes.end();
  }

  bool has_room(const Call& call, Server& server) {
    if (now_ < server.full_until || now_ < server.no_line_until) return false;
    // A report of no free lines expires, in case no later report replaces it.
    if (server.spare && now_ < server.spare_reported_at + kSpareReportLifetime) {
      const double reserve = kLineReserve * server.total * (1 - call.value) * (1 - call.tolerance);
      if (*server.spare < call.lines + reserve) return false;
    }
    if (server.suspect && !server.faulty && !trial_due(server)) return false;
    if (!within_cold_budget(server) || !within_growth_limit(server)) return false;
    return expected_wait(server) <= wait_limit(call);
  }

  // A set-up sent before the server became suspect doesn't count as a trial in flight. Otherwise, a lost one
  // would delay the next trial until its caller gives up.
  bool trial_due(const Server& server) const {
    return now_ >= server.next_trial_at &&
           server.in_flight.lower_bound({server.suspect_since, 0}) == server.in_flight.end();
  }

  // The wait expected for a set-up sent now, from the age of own set-ups in flight, the delays of recent ones
  // and the server's reports. Old evidence fades.
  double expected_wait(const Server& server) const {
    double wait = std::max(faded(server.measured_wait, server.measured_at),
                           faded(server.reported_wait, server.wait_reported_at));
    // Where evidence is held for long, only the newest counts: the server may have emptied its queue since.
    if (large_fleet_weight() > 0) {
      const auto [evidence, at] = newest_wait(server);
      wait = faded(evidence, at);
    }
    // A set-up that was overtaken by a later answer or by a report about the server is lost, not waiting:
    // processors handle set-ups in order, and the report states the wait.
    const Time newest = std::max({server.newest_answered_sent, server.wait_reported_at, server.gossip_at});
    const auto oldest = server.in_flight.lower_bound({newest, 0});
    if (oldest != server.in_flight.end()) wait = std::max(wait, now_ - oldest->first);
    return wait;
  }

  // The newest evidence of a server's wait, and its time.
  std::pair<double, Time> newest_wait(const Server& server) const {
    const Time at = std::max({server.measured_at, server.wait_reported_at, server.gossip_at});
    const double wait = at == server.wait_reported_at ? server.reported_wait
                        : at == server.measured_at    ? server.measured_wait
                                                      : server.gossip_wait;
    return {wait, at};
  }

  double faded(double wait, Time since) const {
    // A wait longer than every target time carries no more information; a hung processor may report minutes.
    return std::max(0.0,
                    std::min(wait, max_target_) -
                        kWaitFadeRate * std::max(0.0, now_ - since - kEvidenceHold * large_fleet_weight()));
  }

  // 0 in a small fleet, 1 in a large one, in which each sender sees only a little of a server's traffic.
  double large_fleet_weight() const {
    return std::clamp((settings_.fleet_size - kSmallFleet) / (kLargeFleet - kSmallFleet), 0.0, 1.0);
  }

  double wait_limit(const Call& call) const {
    double limit = kRoomTargetShare * class_of(call).target_s;
    if (settings_.repeat_after_s > 0) limit = std::min(limit, kRoomRepeatShare * settings_.repeat_after_s);
    limit *= 1 + kMaxLimitSpread * large_fleet_weight() * (2 * call.tolerance - 1);
    limit = std::max(limit * call.value, std::min(limit, kRoomFloorFactor * shortest_delay_));
    const Time end = now_ < call.target_time ? std::min(call.target_time, call.deadline) : call.deadline;
    return std::min(limit, end - now_);
  }

  // The load limit of cold servers (the fourth rule). The set-ups of all senders together must stay under
  // overload_factor x current capacity within each span of fall_s. Each sender takes its own quota: by its
  // own calls, start_capacity of what warm servers of the same kind handle, or what the cold server answered
  // to it within the last window, whichever is larger. Both are averages, so neither, summed over all
  // senders, exceeds what the server can handle.
  //
  // In a fleet of hundreds a quota is far below one set-up per window. It is rounded up or down at random in
  // each window, and the phase of the windows differs between senders. Unused quota lapses; if senders kept
  // it, all of it would be used at once in the next surge. A suspect server may return cold before the list
  // says so, so trials are limited as well. Drawback: if a cold server could handle far more than the
  // configured start capacity, its first calls go elsewhere.
  bool within_cold_budget(Server& server) {
    if (now_ >= server.cold_until && (!server.suspect || server.faulty)) return true;
    const double share = kColdMargin * settings_.overload_factor;
    const double start = settings_.start_capacity * update_warm_rate(server) * settings_.fall_s;
    double quota = share * std::max(start, count_within(server.recent_processed, settings_.fall_s));
    if (share * start < 1) quota = std::min(1.0, kSmallQuotaMargin * settings_.overload_factor) * start;
    // On average, one of all senders may test the server.
    quota = std::max(quota, 1.0 / std::max(1u, settings_.fleet_size));
    if (now_ >= server.quota_window_end + settings_.fall_s) {  // first window, or the first one after a pause
      server.quota_window_end = now_ + settings_.fall_s * uniform();
      server.quota_rounding = quota < 1 ? -1 : 0;
    }
    if (now_ >= server.quota_window_end) {
      server.quota_window_end += settings_.fall_s;
      server.quota_rounding = uniform();
    }
    return count_within(server.recent_sends, settings_.fall_s) + 1 <= quota + server.quota_rounding;
  }

  // Limits the growth of traffic to a server by its answers. A sender that has sent little to a server
  // doesn't know its capacity, and many senders that turn to it at once would all find it not full. Covers
  // servers that lose set-ups, slow idle servers in a surge, servers that return after cuts, and all servers
  // after a restart of the proxy. Drawback: it limits a sender whose calls to a single fast server more than
  // double within one or two seconds.
  bool within_growth_limit(Server& server) {
    const double sent = count_within(server.recent_sends, kGrowthWindow);
    return sent < kInitialSetups + kGrowthFactor * count_within(server.recent_answers, kGrowthWindow);
  }

  double count_within(const std::deque<Time>& times, double window) const {
    const auto since = std::upper_bound(times.begin(), times.end(), now_ - window);
    return static_cast<double>(times.end() - since);
  }

  // Updates and returns the expected rate of this sender's set-ups at the server when warm, by the average
  // over the warm servers of the same kind: per line where numbers of lines are known, otherwise per server.
  // The rate of the busiest server, or the highest rate seen, would be chance where calls are few. The
  // average is too low until a whole rate window has passed, which is safe.
  double update_warm_rate(const Server& cold) {
    double sum = 0;
    double lines = 0;
    double count = 0;
    for (const auto& [id, server] : servers_) {
      if (server.entry.kind != cold.entry.kind || now_ < server.cold_until) continue;
      if (!server.listed || server.suspect || (server.total > 0) != (cold.total > 0)) continue;
      sum += server.answer_rate.at(now_);
      lines += server.total;
      count += 1;
    }
    double& rate =
        cold.total > 0 ? line_rate_by_kind_[cold.entry.kind] : server_rate_by_kind_[cold.entry.kind];
    if (count > 0) rate = sum / (cold.total > 0 ? lines : count);
    return cold.total > 0 ? rate * cold.total : rate;
  }

  // ---- Holding: DSRT ----

  void hold_or_refuse(Call& call) {
    const double max_hold = std::min(class_of(call).target_s, call.deadline - now_) - std::max(0.0, spacing_);
    if (max_hold <= 0) return refuse(call);
    const double spacing = spacing_ < 0 ? kInitialSpacing : spacing_;
    const double x = std::clamp(spacing, std::min(kMinSpacing, max_hold), max_hold);
    const double max_held = std::floor(max_hold / x);
    const Time due = (held_count_ == 0 ? now_ : std::max(now_, last_due_)) + x;
    if (held_count_ >= max_held || due > now_ + max_hold) return refuse(call);
    last_due_ = due;
    enter_state(call, Call::State::kHeld);
    set_call_timer(call, due);
  }

  // ---- Sending: the only place that sends attempts; checks the five rules ----

  void send(Call& call, Server& server) {
    const bool has_attempt = call.state == Call::State::kInFlight || call.state == Call::State::kEstablished;
    const bool released = now_ >= call.not_before;
    const bool in_time = call.deadline - now_ >= kMinAttemptTime;
    const bool tries_left = call.attempts < settings_.attempt_limit;
    const bool may_repeat = !call.in_doubt || class_of(call).effect == Effect::kRepeatable;
    if (has_attempt) return;
    if (!released || !in_time || !tries_left || !may_repeat || !server.listed ||
        !within_cold_budget(server)) {
      return refuse(call);
    }
    enter_state(call, Call::State::kInFlight);
    call.attempts += 1;
    call.cancel_sent = false;
    call.server = server.entry.id;
    call.sent = now_;
    server.in_flight.emplace(now_, call.id);
    server.recent_sends.push_back(now_);
    while (server.recent_sends.front() <= now_ - std::max(settings_.fall_s, kGrowthWindow))
      server.recent_sends.pop_front();
    emit(SendSetup{call.id, server.entry.id, call.deadline - now_});
  }

  // ---- Answers ----

  void on(const SetupStood& e) {
    Call* call = find_attempt(e.call, e.attempt);
    if (call == nullptr || call->state != Call::State::kInFlight) return;
    remove_in_flight(*call);
    busy_numbers_.erase(call->key);
    turned_away_.erase(call->key);
    for (const ServerId id : call->rejected_by) record_contradiction(id);
    Server* server = find_server(e.server);
    if (server != nullptr && finite_nonnegative(e.spent_s)) {
      server->newest_answered_sent = std::max(server->newest_answered_sent, call->sent);
      record_established(*server, e.spent_s);
      cancel_overtaken(*server);
      // A set-up sent before the server became suspect says nothing about its present state.
      if (server->suspect && now_ - e.spent_s >= server->suspect_since) reinstate(*server);
    }
    enter_state(*call, Call::State::kEstablished);
  }

  // Cancels set-ups that were overtaken by kOvertakenGap: they or their answers are lost, and after a
  // cancellation the call may still be established elsewhere in time. Also covers a processor that loses
  // single set-ups. Drawback: a server that handles set-ups out of order has some of
  // them cancelled needlessly.
  void cancel_overtaken(Server& server) {
    if (!settings_.can_cancel) return;
    for (const auto& [sent, id] : server.in_flight) {
      if (sent >= server.newest_answered_sent - kOvertakenGap) break;
      const auto found = calls_.find(id);
      if (found == calls_.end() || found->second.cancel_sent) continue;
      Call& call = found->second;
      if (call.deadline - now_ < settings_.release_wait_s + std::max(kMinAttemptTime, 2 * spacing_)) continue;
      if (call.attempts >= settings_.attempt_limit || class_of(call).effect != Effect::kRepeatable) continue;
      call.cancel_sent = true;
      emit(CancelAttempt{call.id, call.attempts - 1});
    }
  }

  void record_established(Server& server, double delay) {
    shortest_delay_ = shortest_delay_ == 0 || delay < shortest_delay_
                          ? delay
                          : shortest_delay_ + kShortestDelayGain * (delay - shortest_delay_);
    spacing_ = spacing_ < 0 ? delay : spacing_ + kSpacingGain * (delay - spacing_);
    if (server.reported_queue >= kMinReportedQueue &&
        now_ < server.queue_reported_at + kQueueReportLifetime) {
      const double sample = delay * std::max(1.0, server.total) / server.reported_queue;
      wait_per_queued_ += (wait_per_queued_ == 0 ? 1 : kSpacingGain) * (sample - wait_per_queued_);
    }
    const double previous = faded(server.measured_wait, server.measured_at);
    server.measured_wait = previous + kWaitGain * (delay - previous);
    server.measured_at = now_;
    server.draw_delay +=
        (delay > server.draw_delay ? kDrawDelayRiseGain : kDrawDelayFallGain) * (delay - server.draw_delay);
    server.full_until = -kNever;
    server.fault_share -= kFaultGain * server.fault_share;
    server.reject_share -= kFaultGain * server.reject_share;
    count_answer(server);
  }

  // Errors arrive immediately and need no processor work. If they counted as processed, the quota of a cold
  // server that answers errors would grow without limit.
  void count_answer(Server& server, bool processed = true) {
    const Time since = now_ - std::max(kGrowthWindow, settings_.fall_s);
    if (processed) server.recent_processed.push_back(now_);
    while (!server.recent_processed.empty() && server.recent_processed.front() <= since)
      server.recent_processed.pop_front();
    server.recent_answers.push_back(now_);
    server.answer_rate.add(now_);
    while (server.recent_answers.front() <= since) server.recent_answers.pop_front();
    server.consecutive_failures = 0;
  }

  void reinstate(Server& server) {
    if (server.unreachable) server.cold_until = now_ + settings_.warm_up_s;
    if (!server.faulty) {  // a faulty server kept answering
      server.recent_answers = {now_};
      server.recent_processed = {now_};
    }
    clear_suspicion(server);
  }

  void on(const AttemptEnded& e) {
    Server* server = find_server(e.server);
    if (server != nullptr) apply_report(*server, e.report);
    Call* call = find_attempt(e.call, e.attempt);
    if (call == nullptr) return;
    const bool was_established = call->state == Call::State::kEstablished;
    if (!was_established && call->state != Call::State::kInFlight) return;
    const Time sent = call->sent;
    remove_in_flight(*call);
    if (server != nullptr) record_outcome(*server, e, was_established, sent);
    if (e.call_ended || was_established) {
      if (!was_established) record_turned_away(*call);
      remove(*call);
      return;
    }
    enter_state(*call, Call::State::kArriving);
    switch (e.outcome) {
      case Outcome::kEnded:
        return remove(*call);
      case Outcome::kFull:
        if (e.cause ==
            Cause::kNoLine) {  // no processor was involved: another server may be tried immediately
          if (Server* another = draw_server(*call, true)) return send(*call, *another);
        }
        if (call->attempts == 1) return hold_or_refuse(*call);
        return refuse(*call);
      case Outcome::kConnectFailed:
      case Outcome::kNotSent:  // never ran, and the server now counts as full or suspect: retry at once
        return retry(*call);
      case Outcome::kError:
        if (e.cause == Cause::kNumberBusy) {
          record_busy_number(call->key);
          return refuse(*call);
        }
        if (e.cause == Cause::kUnfit || e.cause == Cause::kRejected)
          return handle_permanent_rejection(*call, e);
        // A signalling fault: the set-up may have run, but holds nothing that must be released first.
        call->in_doubt = true;
        return retry(*call);
      case Outcome::kTimedOut:
      case Outcome::kReset:
      case Outcome::kCancelled:
        call->in_doubt = true;
        return await_release(*call);
    }
  }

  // Handles a permanent rejection. The set-up did not run. Another server is asked only if it may accept what
  // this one rejected; to send it to the same server again, or later, doesn't help.
  void handle_permanent_rejection(Call& call, const AttemptEnded& e) {
    call.rejected_by.push_back(e.server);
    bool another_allowed = false;
    for (const auto& [id, server] : servers_) another_allowed = another_allowed || is_allowed(call, server);
    const bool may_help = e.cause == Cause::kUnfit || is_reject_outlier(e.server);
    if (may_help && another_allowed && call.attempts < settings_.attempt_limit) return retry(call);
    refuse(call, true);
  }

  // Whether this server rejects most calls while another one doesn't. Such a server would look like the
  // fastest one and lose all calls.
  bool is_reject_outlier(ServerId id) const {
    const auto found = servers_.find(id);
    if (found == servers_.end() || found->second.reject_share < kOutlierRejectShare) return false;
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
      return each.second.listed && each.second.answer_rate.at(now_) > 0 &&
             each.second.reject_share < kNormalRejectShare;
    });
  }

  // Another server accepted the call, so the rejection was the fault of this server. Drawback: where servers
  // run different versions on purpose, the older ones get fewer of the calls that they could accept.
  void record_contradiction(ServerId id) {
    Server* server = find_server(id);
    if (server == nullptr) return;
    server->fault_share += kFaultGain * (1 - server->fault_share);
    server->consecutive_failures += 1;
    if (server->consecutive_failures >= kFaultsToSuspect) mark_suspect(*server);
  }

  // Calls to a busy number cost processor work without being established. The number gets single attempts at
  // doubling gaps until one is established. Also covers a number that is out of order. Drawback: a line that
  // becomes free within the gap is not used.
  void record_busy_number(std::uint64_t key) {
    if (key == 0) return;
    for (auto it = busy_numbers_.begin(); it != busy_numbers_.end();) {
      it = it->second.until + kMaxBusyGap < now_ ? busy_numbers_.erase(it) : std::next(it);
    }
    BusyNumber& number = busy_numbers_[key];
    number.gap = number.gap == 0 ? kFirstBusyGap : std::min(2 * number.gap, kMaxBusyGap);
    number.until = now_ + number.gap;
  }

  bool is_number_busy(std::uint64_t key) {
    const auto found = busy_numbers_.find(key);
    if (found == busy_numbers_.end()) return false;
    if (now_ < found->second.until) return true;
    found->second.until = now_ + found->second.gap;  // this call is the trial
    return false;
  }

  void retry(Call& call) {
    Server* server = draw_server(call, true);
    if (server == nullptr) return refuse(call);
    send(call, *server);
  }

  // Waits for the release of an in-doubt attempt (the fifth rule). Refuses the call if the time left after
  // the wait is too short for another set-up.
  void await_release(Call& call) {
    call.not_before = now_ + settings_.release_wait_s + kReleaseMargin;
    if (call.deadline - call.not_before < std::max(kMinAttemptTime, spacing_)) return refuse(call);
    if (call.attempts >= settings_.attempt_limit) return refuse(call);
    enter_state(call, Call::State::kAwaitingRelease);
    set_call_timer(call, call.not_before);
  }

  // Updates the state of the server from the outcome of an attempt.
  void record_outcome(Server& server, const AttemptEnded& e, bool was_established, Time sent) {
    if (was_established) {
      if (e.outcome == Outcome::kReset) {
        server.recent_cuts.push_back(now_);
        while (server.recent_cuts.front() < now_ - kCutWindow) server.recent_cuts.pop_front();
        if (server.recent_cuts.size() >= kCutsToSuspect && !cuts_are_widespread()) mark_suspect(server);
      }
      return;
    }
    switch (e.outcome) {
      case Outcome::kFull:
        if (e.cause == Cause::kNoLine) {
          server.no_line_until = now_ + std::max(spacing_, kMinFullMark);
        } else {
          const double advised = finite_nonnegative(e.advised_wait_s) ? e.advised_wait_s : 0;
          const double mark = advised > 0 ? advised : std::max(spacing_, kMinFullMark);
          server.full_until = std::max(server.full_until, now_ + mark);
          server.draw_delay = std::max(server.draw_delay, now_ - sent);
        }
        server.consecutive_failures = 0;
        return;
      case Outcome::kConnectFailed:
        server.unreachable = true;
        return mark_suspect(server);
      case Outcome::kTimedOut:
      case Outcome::kReset:
      case Outcome::kCancelled:
        return record_unanswered(server, e.outcome, sent);
      case Outcome::kNotSent:
        server.full_until = std::max(server.full_until, now_ + kMinFullMark);
        return;
      case Outcome::kError:
        if (e.cause == Cause::kNumberBusy) {
          count_answer(server);
        } else if (e.cause == Cause::kUnfit || e.cause == Cause::kRejected) {
          // Whether the call or the server is at fault is decided by another server's answer to the call.
          const int previous = server.consecutive_failures;
          count_answer(server, false);
          server.consecutive_failures = previous;
          if (e.cause == Cause::kRejected) server.reject_share += kFaultGain * (1 - server.reject_share);
        } else {
          server.fault_share += kFaultGain * (1 - server.fault_share);
          const int failures = server.consecutive_failures + 1;
          count_answer(server, false);
          server.consecutive_failures = failures;
          if (failures >= kFaultsToSuspect) mark_suspect(server, true);
        }
        return;
      default:
        return;
    }
  }

  // A set-up that was overtaken by the answer to a later one, or by a report about the server, was lost
  // alone. It doesn't count as a failure or as a delay, and it counts as answered for the growth limit.
  // Without the latter, losing a quarter of the answers would permanently limit the server to two set-ups per
  // second. Also covers a processor that loses single set-ups. Drawback: a server that answers some set-ups
  // and loses most of them is used longer.
  void record_unanswered(Server& server, Outcome outcome, Time sent) {
    if (sent < server.newest_answered_sent - kOvertakenGap) server.recent_answers.push_back(now_);
    if (outcome == Outcome::kCancelled ||
        sent < std::max(server.newest_answered_sent, server.wait_reported_at))
      return;
    if (outcome == Outcome::kTimedOut) server.draw_delay = std::max(server.draw_delay, now_ - sent);
    server.consecutive_failures += 1;
    // A reset is immediate, as other faults are, and may concern one connection only: a crashed process
    // refuses the next connection.
    const int threshold = outcome == Outcome::kReset ? kFaultsToSuspect : kLossesToSuspect;
    if (server.consecutive_failures >= threshold || server.suspect) mark_suspect(server);
  }

  // If calls are cut at more than half of the servers at the same time, no single server crashed. If all of
  // them became suspect, no call could be set up. Drawback: if most servers did restart at the same time,
  // they are treated as warm until they refuse connections or the list reports the restart.
  bool cuts_are_widespread() {
    std::size_t with_cuts = 0;
    std::size_t listed = 0;
    for (const auto& [id, server] : servers_) {
      listed += server.listed;
      with_cuts +=
          server.listed && !server.recent_cuts.empty() && server.recent_cuts.back() >= now_ - kCutWindow;
    }
    if (2 * with_cuts <= listed || with_cuts < 2) return false;
    for (auto& [id, server] : servers_) {
      if (server.suspect && !server.unreachable && server.suspect_since >= now_ - kCutWindow) {
        server.suspect = server.faulty = false;
      }
    }
    return true;
  }

  void mark_suspect(Server& server, bool faulty = false) {
    server.faulty = faulty && (server.faulty || !server.suspect);
    server.trial_gap = server.suspect ? std::min(2 * server.trial_gap, kMaxTrialGap) : kFirstTrialGap;
    // One failure may be reported several times.
    if (server.suspect && now_ < server.next_trial_at) server.trial_gap /= 2;
    if (!server.suspect) {
      update_warm_rate(server);  // before the failure changes it
      server.suspect_since = now_;
    }
    server.suspect = true;
    server.next_trial_at = now_ + server.trial_gap;
  }

  void clear_suspicion(Server& server) {
    server.suspect = false;
    server.faulty = false;
    server.unreachable = false;
    server.consecutive_failures = 0;
    server.recent_cuts.clear();
  }

  void on(const CallAbandoned& e) {
    const auto found = calls_.find(e.call);
    if (found == calls_.end()) return;
    remove_in_flight(found->second);
    remove(found->second);
  }

  void on(const TimerFired& e) {
    if (e.token == kSubscribeTimer) return emit(Subscribe{});
    if (e.token == kGossipTimer) return send_gossip();
    const auto found = calls_.find(static_cast<CallId>(e.token >> 32));
    if (found == calls_.end() || found->second.generation != static_cast<std::uint32_t>(e.token)) return;
    Call& call = found->second;
    if (call.state == Call::State::kHeld) {
      enter_state(call, Call::State::kArriving);
      try_held(call);
    } else if (call.state == Call::State::kAwaitingRelease) {
      enter_state(call, Call::State::kArriving);
      Server* server = route(call);
      if (server == nullptr) return refuse(call);
      send(call, *server);
    }
  }

  // ---- Ending: the only place that answers callers ----

  void refuse(Call& call, bool permanent = false) {
    if (!permanent) record_turned_away(call);
    const bool may_refuse = !call.in_doubt || class_of(call).effect == Effect::kRepeatable;
    if (may_refuse) {
      // Advice is given even before the first call is established.
      const double spacing = spacing_ < 0 ? kMinFullMark : spacing_;
      const double delay = std::max(spacing, held_count_ > 0 ? last_due_ - now_ : 0);
      const double advice = settings_.gives_retry_after ? std::min(delay, settings_.max_retry_after_s) : 0;
      emit(RefuseCall{call.id, permanent ? 0 : std::max(0.0, advice), permanent});
    } else {
      emit(FailCall{call.id});
    }
    remove(call);
  }

  void remove(Call& call) {
    enter_state(call, Call::State::kArriving);
    calls_.erase(call.id);
  }

  // ---- Server list and load reports ----

  void on(const ServerList& e) {
    for (auto& [id, server] : servers_) update_warm_rate(server);  // before the update changes it
    if (e.mode == ServerList::Mode::kFailed) {
      emit(SetTimer{kSubscribeTimer, kSubscribeRetry});
      return;
    }
    if (e.mode != ServerList::Mode::kDelta) {
      for (auto& [id, server] : servers_) server.listed = false;
    }
    for (const ServerEntry& entry : e.entries) apply_entry(entry);
  }

  void apply_entry(const ServerEntry& entry) {
    const bool known = servers_.count(entry.id) != 0;
    Server& server = servers_[entry.id];
    const bool restarted = known && entry.since > server.entry.since;
    if (restarted) {
      server.measured_wait = 0;
      server.recent_answers.clear();
      server.recent_processed.clear();
      server.full_until = -kNever;
      clear_suspicion(server);
    }
    server.entry = entry;
    server.listed = entry.state == ServerEntry::State::kReady;
    if (entry.since > 0) server.cold_until = std::max(server.cold_until, entry.since + settings_.warm_up_s);
  }

  void on(const LoadNotice& e) {
    if (Server* server = find_server(e.server)) apply_report(*server, e.report);
  }

  void apply_report(Server& server, const Report& report) {
    if (report.spare && finite_nonnegative(*report.spare)) {
      server.spare = *report.spare;
      server.spare_reported_at = now_;
    }
    if (report.wait_s && finite_nonnegative(*report.wait_s)) {
      server.reported_wait = *report.wait_s;
      server.wait_reported_at = now_;
    }
    if (report.total && finite_nonnegative(*report.total)) server.total = *report.total;
    if (report.queue && finite_nonnegative(*report.queue)) {
      server.reported_queue = *report.queue;
      server.queue_reported_at = now_;
      // In a small fleet, a sender's own evidence is better.
      if (!report.wait_s && large_fleet_weight() > 0 &&
          (wait_per_queued_ > 0 || server.reported_queue < kMinReportedQueue)) {
        server.reported_wait = server.reported_queue / std::max(1.0, server.total) * wait_per_queued_;
        server.wait_reported_at = now_;
      }
    }
  }

  // ---- Gossip: only adds evidence of waits; no rule depends on it ----

  void send_gossip() {
    emit(SetTimer{kGossipTimer, kGossipInterval * (0.5 + uniform())});
    if (large_fleet_weight() == 0) return;  // own evidence is better in a small fleet
    std::vector<GossipEntry> entries;
    for (const auto& [id, server] : servers_) {
      const auto [wait, at] = newest_wait(server);
      if (server.listed && at > -kNever) entries.push_back({id, wait, now_ - at});
    }
    if (entries.empty()) return;
    for (int i = 0; i < kGossipFanout; ++i) {
      auto peer = static_cast<std::uint32_t>(uniform() * (settings_.fleet_size - 1));
      if (peer >= settings_.own_number) peer += 1;
      emit(TellPeer{peer, entries});
    }
  }

  void on(const PeerNews& e) {
    if (large_fleet_weight() == 0) return;
    for (const GossipEntry& entry : e.entries) {
      Server* server = find_server(entry.server);
      if (server == nullptr || !finite_nonnegative(entry.wait_s) || !finite_nonnegative(entry.age_s))
        continue;
      if (now_ - entry.age_s <= server->gossip_at) continue;
      server->gossip_at = now_ - entry.age_s;
      server->gossip_wait = entry.wait_s;
    }
  }

  // ---- Helpers ----

  void emit(Action action) { actions_->push_back(std::move(action)); }

  void enter_state(Call& call, Call::State state) {
    if (call.state == Call::State::kHeld) held_count_ -= 1;
    if (state == Call::State::kHeld) held_count_ += 1;
    call.state = state;
    call.generation += 1;
  }

  void set_call_timer(const Call& call, Time when) {
    emit(SetTimer{static_cast<std::uint64_t>(call.id) << 32 | call.generation, std::max(0.0, when - now_)});
  }

  // The call, if `attempt` is its latest attempt.
  Call* find_attempt(CallId id, std::uint32_t attempt) {
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.attempts != attempt + 1) return nullptr;
    return &found->second;
  }

  void remove_in_flight(const Call& call) {
    if (Server* server = find_server(call.server)) server->in_flight.erase({call.sent, call.id});
  }

  Server* find_server(ServerId id) {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
  }

  const Settings::Class& class_of(const Call& call) const {
    static const Settings::Class kDefaultClass;
    return call.call_class < settings_.classes.size() ? settings_.classes[call.call_class] : kDefaultClass;
  }

  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  Settings settings_;
  std::mt19937_64 random_;
  double max_value_ = 1e-9;
  Time now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  std::map<CallId, Call> calls_;
  std::map<ServerId, Server> servers_;
  std::map<std::uint32_t, double> server_rate_by_kind_;  // by kind; set-ups/s per server
  std::map<std::uint32_t, double> line_rate_by_kind_;    // by kind; set-ups/s per line
  std::map<std::uint64_t, BusyNumber> busy_numbers_;     // by key of the called number
  double wait_per_queued_ = 0;                 // s per queued set-up, for a server with one line; 0: unknown
  std::map<std::uint64_t, Time> turned_away_;  // first try of callers turned away, by key
  std::deque<std::pair<Time, std::uint64_t>> turned_away_expiry_;  // expiry times, in order
  double max_deadline_ = 0;
  double max_target_ = 0;
  double spacing_ = -1;        // x; below 0: no call established yet
  double shortest_delay_ = 0;  // s; the shortest recent set-up delay at any server
  std::uint32_t held_count_ = 0;
  Time last_due_ = 0;  // time of the latest scheduled attempt
};

Controller::Controller(const Settings& settings, std::uint64_t seed)
    : impl_(std::make_unique<Impl>(settings, seed)) {}
Controller::~Controller() = default;
Controller::Controller(Controller&&) noexcept = default;
Controller& Controller::operator=(Controller&&) noexcept = default;

void Controller::handle(Time now, const Event& event, std::vector<Action>& actions) {
  impl_->handle(now, event, actions);
}

}  // namespace mintrock
