// The decisions of mintrock. The interface (settings, events, actions) is include/mintrock/controller.hpp.
//
// The ordinary path is DSRT (Kagrecha and Nair, "Please come back later", section III): a call that meets no
// room is held here for one later try, the tries spaced x apart, at most D of them; what finds no room then
// is refused. docs/design.md tells what was kept, what was added, and when each addition acts.
//
// The file follows a call: constants, what is kept of calls and servers, a call comes in (or its try falls
// due), has a server room, holding, sending, what comes back, ending; then the list of servers and reports.
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

// x, the spacing of held tries: the recent mean delay of set-ups that stood.
constexpr double kSpacingGain = 0.1;     // share of a new delay in x: about the last ten
constexpr double kSpacingLeast = 0.001;  // s; x stays above 0
// x until anything stood: short, so that a burst that meets a fresh start, when each server is let only two
// set-ups, can be held. It does harm where set-ups take far longer: the first held tries come too early.
constexpr double kSpacingFirst = 0.005;  // s

// A full answer marks its server for x, at least this: sooner, the queue can't have moved much.
constexpr double kMarkLeast = 0.2;  // s

// How soon a wait counts as 'no room'. A full queue here is far longer than the aim: by the time that full
// answers come, every call is late.
constexpr double kRoomAim = 0.4;     // share of the aim; the rest is for others' calls in the same queue
constexpr double kRoomRepeat = 0.8;  // share of the time after which set-ups are repeated, which is work
// The room that a call finds shrinks in proportion to its worth, so that what is lost under pressure is worth
// least; but where it would stand about as soon as anything does, there is room for every call.
constexpr double kRoomFloor = 1.2;         // times the shortest set-up of late
constexpr double kShortestReturn = 0.005;  // share by which the shortest set-up follows a longer one

// Where a sender is one of many, it sees little of a server's traffic and what it knows is old: evidence of a
// wait stands for a while before it fades, and room is closed by odds: each try draws how much of a wait it
// puts up with. All senders see a wait at about the same time; closed for all at one limit, a queue swings
// from empty to full.
constexpr double kFew = 12;          // senders; up to here neither acts
constexpr double kMany = 48;         // senders; from here on both act in full
constexpr double kStands = 3.0;      // s that evidence stands: about as long as an answer is then awaited
constexpr double kOddsWidest = 0.6;  // share of the limit to either side

// How old evidence of a wait fades, in seconds of wait for each second that passes.
constexpr double kWaitDrain = 0.5;  // others go on sending, so a queue drains slower than time passes
constexpr double kWaitGain = 0.5;   // share of a new delay in a server's wait

// The last free lines are kept for the calls worth most, by odds: all senders see the same figure for a
// second.
constexpr double kLineReserve = 0.05;  // share of a server's lines

// A told queue is turned into a wait by what own set-ups lately met; the larger a server, the faster it
// works.
constexpr double kQueueLeast = 5;   // set-ups; with fewer, the way there and back is most of the delay
constexpr double kQueueLife = 1.5;  // s between the report and the answer compared with it

constexpr double kReportLife = 2.0;  // s until a report of free lines is too old to close a server

// Weights of the draw: fall at once with a longer set-up delay, come back slowly.
constexpr double kWeightFall = 0.5;
constexpr double kWeightReturn = 0.1;
constexpr double kWeightFloor = 0.05;  // s added to each delay, so that no server takes all

constexpr double kSizeFloor = 0.02;  // share of its lines counted as free ones to come

// Suspicion: a server that loses set-ups is left alone, then tried by one single set-up, at doubling gaps.
constexpr int kStrikesToSuspect = 2;     // unanswered set-ups in a row; one may be chance
constexpr double kOvertaken = 0.3;       // s; one overtaken by a set-up sent so much later is lost
constexpr int kFaultsToSuspect = 6;      // quick faults in a row: by then it is hardly chance
constexpr double kFaultGain = 0.1;       // share of a new answer in a server's share of faults
constexpr double kSuspectFirst = 0.5;    // s until the first trial
constexpr double kSuspectLongest = 8.0;  // s between trials at most
constexpr double kCutsTogether = 0.3;    // s; this many standing calls cut within it mean a crash
constexpr std::size_t kCutsToSuspect = 2;

// Cold servers: share of the allowed load that all senders together aim at. The rest is for chance, for
// repeats that are not seen here, and for parts of two windows that many senders use in one surge.
constexpr double kColdMargin = 0.7;
constexpr double kColdSparse = 0.45;  // the same where a part is under one: those of two windows may meet
constexpr double kRateWindow = 10.0;  // s over which a sender's rate of set-ups is averaged

// Traffic to a server grows as it answers: within the window, this many set-ups and a little more than were
// answered.
constexpr double kAnswerWindow = 1.0;  // s
constexpr double kAnswerStart = 2;
constexpr double kAnswerGrowth = 1.3;

// A server that rejects calls for good where another doesn't is at fault itself.
constexpr double kRejectsOdd = 0.5;     // share of its last answers; about seven in a row
constexpr double kRejectsUsual = 0.25;  // and of another server's

// A number that answered busy is tried again after this, at doubling gaps.
constexpr double kBusyFirst = 0.5;    // s
constexpr double kBusyLongest = 4.0;  // s

// A redialled call has lost some of its time for full worth already; how much is not told.
constexpr double kRedialWorth = 0.25;

// An attempt is given up this long before the caller's own end, so that the final answer is in time.
constexpr double kEndMargin = 0.05;       // s
constexpr double kReleaseMargin = 0.005;  // s on top of the release wait, for the rounding of clocks
constexpr double kLeastTry = 0.05;        // s; with less left a set-up is not worth sending

// Messages to peers: each tells what it knows of every server to a few others, now and then. Evidence of
// hundreds of senders reaches all within a second or two, at a small price.
constexpr double kTellEvery = 1.0;  // s
constexpr int kTellPeers = 2;

constexpr double kListRetry = 1.0;       // s until a failed list subscription is asked for again
constexpr std::uint64_t kListTimer = 0;  // no call's timer has this token, nor the next
constexpr std::uint64_t kTellTimer = ~std::uint64_t{0};

constexpr Time kNever = std::numeric_limits<double>::infinity();

// ---- What is kept ----

struct Call {
  enum class State {
    kArriving,
    kInFlight,         // one attempt is out
    kHeld,             // no room: waits for its one spaced try
    kAwaitingRelease,  // an attempt ended in doubt: nothing may be sent yet
    kStanding,
  };
  CallId id = 0;
  std::uint32_t call_class = 0;
  std::uint64_t key = 0;
  double lines = 1;
  std::int64_t first_choice = -1;
  double patience = 0;          // drawn for each try, 0 to 1
  double worth = 1;             // what serving it is worth now, over the best worth of the site
  Time first_try = 0;           // of this caller, as far as is known here
  Time aim_end = 0;             // stands by then: full worth
  Time end = 0;                 // the final answer is due before
  Time not_before = 0;          // release is awaited until then
  bool called_off = false;      // the attempt that is out was cancelled
  bool in_doubt = false;        // some attempt may have run
  std::vector<ServerId> unfit;  // servers that answered 'never'
  State state = State::kArriving;
  std::uint32_t generation = 0;  // timers of earlier states carry another one
  std::uint32_t attempts = 0;
  ServerId server = 0;  // of the last attempt
  Time sent = 0;
};

// A rate of events, a second, averaged over the rate window.
struct Average {
  double value = 0;
  Time at = 0;
  double now(Time time) const { return value * std::exp(-(time - at) / kRateWindow); }
  void count(Time time) {
    value = now(time) + 1 / kRateWindow;
    at = time;
  }
};

struct Server {
  ServerEntry entry;
  bool listed = false;        // ready in the list; else nothing new goes there
  Time cold_until = -kNever;  // counts as cold until then

  Time marked_until = -kNever;  // answered full
  // Answered 'no free line'. Calls that stand there don't clear it: they took lines.
  Time no_line_until = -kNever;
  double wait = 0;  // s; as the last set-ups that stood saw it
  Time wait_at = -kNever;
  std::set<std::pair<Time, CallId>> unanswered;  // own set-ups out, oldest first
  Time answered_sent = -kNever;                  // when the latest of those that were answered was sent
  double slow_delay = 0;                         // s; weights of the draw
  double told_wait = 0;                          // s; by report
  Time told_at = -kNever;
  double told_queue = 0;  // set-ups, by report
  Time queue_at = -kNever;
  double heard_wait = 0;  // s; by peers
  Time heard_at = -kNever;
  std::optional<double> spare;  // free lines
  double total = 0;             // all lines; 0: not told
  Time spare_at = -kNever;

  int strikes = 0;  // set-ups lost in a row
  bool suspect = false;
  Time suspect_since = -kNever;
  bool faulty = false;       // suspected for quick faults alone
  bool unreachable = false;  // refused connections: taken for restarted, so cold, when it comes back
  Time trial_at = -kNever;   // next single trial while suspect
  double trial_gap = kSuspectFirst;
  double faults = 0;      // share of faults in signalling among the last answers
  double rejects = 0;     // share of calls rejected for good among them
  std::deque<Time> cuts;  // standing calls cut, lately

  std::deque<Time> sends;     // attempts, lately
  std::deque<Time> answered;  // set-ups that it answered, lately: its traffic may grow
  std::deque<Time> worked;    // of those, the ones that stood or met a busy number: a processor did them
  Average rate;               // of the same, a second
  double rounded = 0;  // while cold: added to this sender's part, then rounded down, in this fall window
  Time window_end = -kNever;
};

struct Number {
  Time until = 0;  // taken for busy until then
  double gap = 0;
};

bool usable(double value) { return std::isfinite(value) && value >= 0; }

}  // namespace

class Controller::Impl {
 public:
  Impl(const Settings& settings, std::uint64_t seed) : settings_(settings), random_(seed) {
    for (const Settings::Class& c : settings_.classes) {
      best_worth_ = std::max(best_worth_, c.value);
      longest_aim_ = std::max(longest_aim_, c.target_s);
      longest_deadline_ = std::max(longest_deadline_, c.deadline_s);
    }
  }

  void handle(Time now, const Event& event, std::vector<Action>& actions) {
    now_ = now;
    actions_ = &actions;
    std::visit([this](const auto& e) { on(e); }, event);
  }

 private:
  // ---- A call comes in ----

  void on(const Started&) {
    if (settings_.must_subscribe) emit(Subscribe{});
    if (settings_.can_tell_peers && settings_.fleet_size > 1)
      emit(SetTimer{kTellTimer, kTellEvery * uniform()});
  }

  void on(const NewCall& e) {
    if (calls_.count(e.call) != 0) return;
    Call& call = calls_[e.call];
    call.id = e.call;
    call.call_class = e.call_class;
    call.key = e.key;
    call.lines = usable(e.lines) ? e.lines : 1;
    call.first_choice = e.first_choice;
    call.first_try = first_try(e);
    call.aim_end = call.first_try + class_of(call).target_s;
    call.end = now_ + (usable(e.ttl_s) ? e.ttl_s : 0) - kEndMargin;
    call.worth = worth_of(call, e);
    if (number_busy(call.key)) return refuse(call);
    if (Server* server = route(call)) {
      send(call, *server);
    } else {
      hold_or_refuse(call);
    }
  }

  // Under pressure room goes by worth, so that what is lost is worth least.
  double worth_of(const Call& call, const NewCall& e) {
    double worth = class_of(call).value / best_worth_;
    if ((e.redialled || call.first_try < now_) && !e.was_cut) worth *= kRedialWorth;
    return worth;
  }

  // A caller that was turned away here dials the same number again, marked or not. Its time runs from the
  // first try; without this, capacity goes to calls that are late already, for good. It does harm where many
  // callers want one number: they count as one caller's redials.
  Time first_try(const NewCall& e) {
    while (!missed_order_.empty() && missed_order_.front().first < now_) {
      missed_.erase(missed_order_.front().second);
      missed_order_.pop_front();
    }
    const auto found = missed_.find(e.key);
    const bool again = e.redialled || !settings_.marks_redials;
    return again && !e.was_cut && found != missed_.end() ? found->second : now_;
  }

  void note_missed(const Call& call) {
    if (call.key == 0 || !missed_.emplace(call.key, call.first_try).second) return;
    missed_order_.emplace_back(call.first_try + longest_deadline_, call.key);
  }

  // The first choice while it has room, else a weighted draw over the other allowed servers with room.
  Server* route(Call& call) {
    call.patience = uniform();
    for (auto& [id, server] : servers_) {
      if (!first_choice(call, server) || !allowed(call, server) || !has_room(call, server)) continue;
      if (!server.faulty || trial_due(server)) return &server;
    }
    return draw(call, true);
  }

  // A held call's try falls due: one draw over all allowed servers; no room there refuses the call.
  void try_held(Call& call) {
    call.patience = uniform();
    Server* server = draw(call, false);
    if (server != nullptr && has_room(call, *server)) {
      send(call, *server);
    } else {
      refuse(call);
    }
  }

  Server* draw(const Call& call, bool with_room) {
    std::vector<std::pair<Server*, double>> drawn;
    double total = 0;
    for (auto& [id, server] : servers_) {
      if (!allowed(call, server) || server.suspect) continue;
      if (with_room && !has_room(call, server)) continue;
      const double delay = server.slow_delay + kWeightFloor;
      const double weight = size(server) * (1 - server.faults) / (delay * delay);
      total += weight;
      drawn.emplace_back(&server, weight);
    }
    if (drawn.empty()) return draw_suspect(call);
    double mark = uniform() * total;
    for (auto& [server, weight] : drawn) {
      mark -= weight;
      if (mark < 0) return server;
    }
    return drawn.back().first;
  }

  // Servers differ in what they still take: the free lines tell, where they are known, else the list.
  double size(const Server& server) const {
    if (server.spare) return *server.spare + kSizeFloor * server.total;
    return usable(server.entry.weight) ? server.entry.weight : 1;
  }

  // Suspects are tried only where no other server would have been drawn. One that only answers faults at once
  // is then worth each attempt that a call has: a fault costs it next to nothing, and some may stand. It does
  // harm where a server that answers nothing but faults does work for each.
  Server* draw_suspect(const Call& call) {
    for (auto& [id, server] : servers_) {
      if (server.suspect && allowed(call, server) && has_room(call, server)) return &server;
    }
    return nullptr;
  }

  // ---- Has a server room? ----

  bool first_choice(const Call& call, const Server& server) const {
    return call.first_choice >= 0 && server.entry.node == static_cast<std::uint64_t>(call.first_choice);
  }

  bool allowed(const Call& call, const Server& server) const {
    if (!server.listed) return false;
    const std::vector<ServerId>& unfit = call.unfit;
    if (std::find(unfit.begin(), unfit.end(), server.entry.id) != unfit.end()) return false;
    const std::vector<std::uint32_t>& nodes = class_of(call).nodes;
    return nodes.empty() || std::find(nodes.begin(), nodes.end(), server.entry.node) != nodes.end();
  }

  bool has_room(const Call& call, Server& server) {
    if (now_ < server.marked_until || now_ < server.no_line_until) return false;
    // Guards against a report of full lines that no later one takes back.
    if (server.spare && now_ < server.spare_at + kReportLife) {
      const double reserve = kLineReserve * server.total * (1 - call.worth) * (1 - call.patience);
      if (*server.spare < call.lines + reserve) return false;
    }
    if (server.suspect && !server.faulty && !trial_due(server)) return false;
    if (!within_cold_budget(server) || !within_answers(server)) return false;
    return expected_wait(server) <= room_limit(call);
  }

  // What was lost before the suspicion is no trial: it would keep the next one off until its end.
  bool trial_due(const Server& server) const {
    return now_ >= server.trial_at &&
           server.unanswered.lower_bound({server.suspect_since, 0}) == server.unanswered.end();
  }

  // What a set-up sent now would wait, by all that is known here: how long own set-ups are out already, how
  // long the last ones took, and what the server reported. Old evidence fades.
  double expected_wait(const Server& server) const {
    double wait = std::max(faded(server.wait, server.wait_at), faded(server.told_wait, server.told_at));
    // Where evidence stands for long, the newest alone counts: a server may have emptied its queue since.
    if (sparseness() > 0) {
      const auto [newest, at] = newest_wait(server);
      wait = faded(newest, at);
    }
    // One overtaken by a later answer, or by news of the server, is lost, not waiting: processors take
    // set-ups in turn, and the news tells the wait.
    const Time known = std::max({server.answered_sent, server.told_at, server.heard_at});
    const auto oldest = server.unanswered.lower_bound({known, 0});
    if (oldest != server.unanswered.end()) wait = std::max(wait, now_ - oldest->first);
    return wait;
  }

  // The latest that is known of a server's wait, and when that was.
  std::pair<double, Time> newest_wait(const Server& server) const {
    const Time at = std::max({server.wait_at, server.told_at, server.heard_at});
    const double wait = at == server.told_at   ? server.told_wait
                        : at == server.wait_at ? server.wait
                                               : server.heard_wait;
    return {wait, at};
  }

  double faded(double wait, Time since) const {
    // Beyond the longest aim a wait says no more; a hung processor may tell of minutes.
    return std::max(0.0, std::min(wait, longest_aim_) -
                             kWaitDrain * std::max(0.0, now_ - since - kStands * sparseness()));
  }

  // From 0 to 1: how little of a server's traffic this sender sees, being one of so many.
  double sparseness() const { return std::clamp((settings_.fleet_size - kFew) / (kMany - kFew), 0.0, 1.0); }

  double room_limit(const Call& call) const {
    double limit = kRoomAim * class_of(call).target_s;
    if (settings_.repeat_after_s > 0) limit = std::min(limit, kRoomRepeat * settings_.repeat_after_s);
    limit *= 1 + kOddsWidest * sparseness() * (2 * call.patience - 1);
    limit = std::max(limit * call.worth, std::min(limit, kRoomFloor * shortest_));
    const Time end = now_ < call.aim_end ? std::min(call.aim_end, call.end) : call.end;
    return std::min(limit, end - now_);
  }

  // The fourth rule. All senders together must stay under factor x present capacity within each fall window.
  // Each takes its own part: of the start capacity of what warm servers of the kind take, by its own calls,
  // or of what the cold one answered it in the last window. Both are averages, so summed over all senders
  // neither is more than the server can do. With hundreds of senders a part is far less than one set-up a
  // window: it is rounded up or down at random, anew in each window, whose phase is each sender's own. What
  // was not used lapses; else parts kept by all would be used at once in the next surge. Suspects may be
  // back cold before the list tells, so their trials keep to it as well. It does harm where a cold server
  // could take far more than the told start: its first calls go elsewhere.
  bool within_cold_budget(Server& server) {
    if (now_ >= server.cold_until && (!server.suspect || server.faulty)) return true;
    const double share = kColdMargin * settings_.overload_factor;
    const double start = settings_.start_capacity * warm_rate(server) * settings_.fall_s;
    double part = share * std::max(start, within(server.worked, settings_.fall_s));
    if (share * start < 1) part = std::min(1.0, kColdSparse * settings_.overload_factor) * start;
    part = std::max(part, 1.0 / std::max(1u, settings_.fleet_size));  // one of all senders may find out
    if (now_ >= server.window_end + settings_.fall_s) {               // begins, or begins again after a pause
      server.window_end = now_ + settings_.fall_s * uniform();
      server.rounded = part < 1 ? -1 : 0;
    }
    if (now_ >= server.window_end) {
      server.window_end += settings_.fall_s;
      server.rounded = uniform();
    }
    return within(server.sends, settings_.fall_s) + 1 <= part + server.rounded;
  }

  // Traffic to a server grows only as fast as it answers. A sender that has had little to do with a server
  // can't know what it takes, and many senders that turn to it at once would each find it unmarked. This
  // covers servers that swallow set-ups, idle slow ones in a surge, those back after cuts, and all of them
  // after this proxy's own restart. It does harm where one sender's calls more than double within a second or
  // two on a single fast server.
  bool within_answers(Server& server) {
    const double sent = within(server.sends, kAnswerWindow);
    return sent < kAnswerStart + kAnswerGrowth * within(server.answered, kAnswerWindow);
  }

  double within(const std::deque<Time>& times, double window) const {
    const auto since = std::upper_bound(times.begin(), times.end(), now_ - window);
    return static_cast<double>(times.end() - since);
  }

  // Set-ups a second that this sender saw a warm server take, by what all of the kind took for each of their
  // lines, or, where lines are not told, for each server. An average over all: the busiest
  // one's figure, or the largest ever seen, would be chance where calls are few. Before a whole window has
  // passed the average is low, which is safe.
  double warm_rate(const Server& cold) {
    double sum = 0;
    double lines = 0;
    double count = 0;
    for (const auto& [id, server] : servers_) {
      if (server.entry.kind != cold.entry.kind || now_ < server.cold_until) continue;
      if (!server.listed || server.suspect || (server.total > 0) != (cold.total > 0)) continue;
      sum += server.rate.now(now_);
      lines += server.total;
      count += 1;
    }
    double& seen = cold.total > 0 ? line_rate_[cold.entry.kind] : warm_rate_[cold.entry.kind];
    if (count > 0) seen = sum / (cold.total > 0 ? lines : count);
    return cold.total > 0 ? seen * cold.total : seen;
  }

  // ---- Holding: DSRT ----

  void hold_or_refuse(Call& call) {
    const double longest = std::min(class_of(call).target_s, call.end - now_) - std::max(0.0, spacing_);
    if (longest <= 0) return refuse(call);
    const double known = spacing_ < 0 ? kSpacingFirst : spacing_;
    const double x = std::clamp(known, std::min(kSpacingLeast, longest), longest);
    const double most = std::floor(longest / x);
    const Time due = (held_ == 0 ? now_ : std::max(now_, last_due_)) + x;
    if (held_ >= most || due > now_ + longest) return refuse(call);
    last_due_ = due;
    enter(call, Call::State::kHeld);
    wake(call, due);
  }

  // ---- Sending: the only place, and the five rules' checks ----

  void send(Call& call, Server& server) {
    const bool one_out = call.state == Call::State::kInFlight || call.state == Call::State::kStanding;
    const bool released = now_ >= call.not_before;
    const bool in_time = call.end - now_ >= kLeastTry;
    const bool tries_left = call.attempts < settings_.attempt_limit;
    const bool again = !call.in_doubt || class_of(call).effect == Effect::kRepeatable;
    if (one_out) return;
    if (!released || !in_time || !tries_left || !again || !server.listed || !within_cold_budget(server)) {
      return refuse(call);
    }
    enter(call, Call::State::kInFlight);
    call.attempts += 1;
    call.called_off = false;
    call.server = server.entry.id;
    call.sent = now_;
    server.unanswered.emplace(now_, call.id);
    server.sends.push_back(now_);
    while (server.sends.front() <= now_ - std::max(settings_.fall_s, kAnswerWindow)) server.sends.pop_front();
    emit(SendSetup{call.id, server.entry.id, call.end - now_});
  }

  // ---- What comes back ----

  void on(const SetupStood& e) {
    Call* call = current(e.call, e.attempt);
    if (call == nullptr || call->state != Call::State::kInFlight) return;
    answered(*call);
    busy_.erase(call->key);
    missed_.erase(call->key);
    for (const ServerId id : call->unfit) note_contradicted(id);
    Server* server = find(e.server);
    if (server != nullptr && usable(e.spent_s)) {
      server->answered_sent = std::max(server->answered_sent, call->sent);
      learn_stood(*server, e.spent_s);
      give_up_lost(*server);
      // A set-up sent before the trouble says nothing about the server after it.
      if (server->suspect && now_ - e.spent_s >= server->suspect_since) return_suspect(*server);
    }
    enter(*call, Call::State::kStanding);
  }

  // Set-ups overtaken by far are lost, or their answers are. Called off now, such a call may still stand in
  // time elsewhere. Also catches a processor that forgets single set-ups; does harm where one serves out of
  // turn.
  void give_up_lost(Server& server) {
    if (!settings_.can_cancel) return;
    for (const auto& [sent, id] : server.unanswered) {
      if (sent >= server.answered_sent - kOvertaken) break;
      const auto found = calls_.find(id);
      if (found == calls_.end() || found->second.called_off) continue;
      Call& call = found->second;
      if (call.end - now_ < settings_.release_wait_s + std::max(kLeastTry, 2 * spacing_)) continue;
      if (call.attempts >= settings_.attempt_limit || class_of(call).effect != Effect::kRepeatable) continue;
      call.called_off = true;
      emit(CancelAttempt{call.id, call.attempts - 1});
    }
  }

  void learn_stood(Server& server, double delay) {
    shortest_ =
        shortest_ == 0 || delay < shortest_ ? delay : shortest_ + kShortestReturn * (delay - shortest_);
    spacing_ = spacing_ < 0 ? delay : spacing_ + kSpacingGain * (delay - spacing_);
    if (server.told_queue >= kQueueLeast && now_ < server.queue_at + kQueueLife) {
      const double seen = delay * std::max(1.0, server.total) / server.told_queue;
      queue_wait_ += (queue_wait_ == 0 ? 1 : kSpacingGain) * (seen - queue_wait_);
    }
    const double before = faded(server.wait, server.wait_at);
    server.wait = before + kWaitGain * (delay - before);
    server.wait_at = now_;
    server.slow_delay +=
        (delay > server.slow_delay ? kWeightFall : kWeightReturn) * (delay - server.slow_delay);
    server.marked_until = -kNever;
    server.faults -= kFaultGain * server.faults;
    server.rejects -= kFaultGain * server.rejects;
    count_answer(server);
  }

  // Errors come at once from a server that does nothing: counted as work they would let a cold one be sent
  // any number of set-ups.
  void count_answer(Server& server, bool worked = true) {
    const Time since = now_ - std::max(kAnswerWindow, settings_.fall_s);
    if (worked) server.worked.push_back(now_);
    while (!server.worked.empty() && server.worked.front() <= since) server.worked.pop_front();
    server.answered.push_back(now_);
    server.rate.count(now_);
    while (server.answered.front() <= since) server.answered.pop_front();
    server.strikes = 0;
  }

  void return_suspect(Server& server) {
    if (server.unreachable) server.cold_until = now_ + settings_.warm_up_s;
    if (!server.faulty) {  // one that answered faults has gone on answering
      server.answered = {now_};
      server.worked = {now_};
    }
    clear_suspicion(server);
  }

  void on(const AttemptEnded& e) {
    Server* server = find(e.server);
    if (server != nullptr) take_report(*server, e.report);
    Call* call = current(e.call, e.attempt);
    if (call == nullptr) return;
    const bool stood = call->state == Call::State::kStanding;
    if (!stood && call->state != Call::State::kInFlight) return;
    const Time sent = call->sent;
    answered(*call);
    if (server != nullptr) judge(*server, e, stood, sent);
    if (e.call_ended || stood) {
      if (!stood) note_missed(*call);
      forget(*call);
      return;
    }
    enter(*call, Call::State::kArriving);
    switch (e.outcome) {
      case Outcome::kEnded:
        return forget(*call);
      case Outcome::kFull:
        if (e.cause == Cause::kNoLine) {  // no processor was asked: another server may be tried at once
          if (Server* other = draw(*call, true)) return send(*call, *other);
        }
        if (call->attempts == 1) return hold_or_refuse(*call);
        return refuse(*call);
      case Outcome::kConnectFailed:
      case Outcome::kNotSent:  // never ran, and the server is marked or suspect: another may be tried at once
        return try_again(*call);
      case Outcome::kError:
        if (e.cause == Cause::kNumberBusy) {
          note_busy(call->key);
          return refuse(*call);
        }
        if (e.cause == Cause::kUnfit || e.cause == Cause::kRejected) return answered_never(*call, e);
        // A fault in signalling: it may have run, but holds nothing that must be released first.
        call->in_doubt = true;
        return try_again(*call);
      case Outcome::kTimedOut:
      case Outcome::kReset:
      case Outcome::kCancelled:
        call->in_doubt = true;
        return await_release(*call);
    }
  }

  // The server did not do the call, and never will. Another is asked only where it may take what this one
  // does not: coming back, or the same server again, can't help.
  void answered_never(Call& call, const AttemptEnded& e) {
    call.unfit.push_back(e.server);
    bool another = false;
    for (const auto& [id, server] : servers_) another = another || allowed(call, server);
    const bool may_help = e.cause == Cause::kUnfit || odd_one_out(e.server);
    if (may_help && another && call.attempts < settings_.attempt_limit) return try_again(call);
    refuse(call, true);
  }

  // A server that rejects nearly every call at once would look like the fastest one, and lose them all.
  bool odd_one_out(ServerId id) const {
    const auto odd = servers_.find(id);
    if (odd == servers_.end() || odd->second.rejects < kRejectsOdd) return false;
    return std::any_of(servers_.begin(), servers_.end(), [&](const auto& each) {
      return each.second.listed && each.second.rate.now(now_) > 0 && each.second.rejects < kRejectsUsual;
    });
  }

  // Another server took the call: the fault was the server's own. It does harm where versions differ on
  // purpose: the older server is turned away from for calls that it could take.
  void note_contradicted(ServerId id) {
    Server* server = find(id);
    if (server == nullptr) return;
    server->faults += kFaultGain * (1 - server->faults);
    server->strikes += 1;
    if (server->strikes >= kFaultsToSuspect) suspect(*server);
  }

  // One crowded number: its calls cost processors work and stand nowhere. It gets single tries at doubling
  // gaps until one stands. Also catches a number that is out of order; does harm where a line frees within
  // the gap.
  void note_busy(std::uint64_t key) {
    if (key == 0) return;
    for (auto it = busy_.begin(); it != busy_.end();) {
      it = it->second.until + kBusyLongest < now_ ? busy_.erase(it) : std::next(it);
    }
    Number& number = busy_[key];
    number.gap = number.gap == 0 ? kBusyFirst : std::min(2 * number.gap, kBusyLongest);
    number.until = now_ + number.gap;
  }

  bool number_busy(std::uint64_t key) {
    const auto found = busy_.find(key);
    if (found == busy_.end()) return false;
    if (now_ < found->second.until) return true;
    found->second.until = now_ + found->second.gap;  // this one is the trial
    return false;
  }

  void try_again(Call& call) {
    Server* server = draw(call, true);
    if (server == nullptr) return refuse(call);
    send(call, *server);
  }

  // The fifth rule, and no use unless time is left for another set-up after it.
  void await_release(Call& call) {
    call.not_before = now_ + settings_.release_wait_s + kReleaseMargin;
    if (call.end - call.not_before < std::max(kLeastTry, spacing_)) return refuse(call);
    if (call.attempts >= settings_.attempt_limit) return refuse(call);
    enter(call, Call::State::kAwaitingRelease);
    wake(call, call.not_before);
  }

  // What an outcome tells of the server.
  void judge(Server& server, const AttemptEnded& e, bool stood, Time sent) {
    if (stood) {
      if (e.outcome == Outcome::kReset) {
        server.cuts.push_back(now_);
        while (server.cuts.front() < now_ - kCutsTogether) server.cuts.pop_front();
        if (server.cuts.size() >= kCutsToSuspect && !cut_everywhere()) suspect(server);
      }
      return;
    }
    switch (e.outcome) {
      case Outcome::kFull:
        if (e.cause == Cause::kNoLine) {
          server.no_line_until = now_ + std::max(spacing_, kMarkLeast);
        } else {
          const double told = usable(e.advised_wait_s) ? e.advised_wait_s : 0;
          const double mark = told > 0 ? told : std::max(spacing_, kMarkLeast);
          server.marked_until = std::max(server.marked_until, now_ + mark);
          server.slow_delay = std::max(server.slow_delay, now_ - sent);
        }
        server.strikes = 0;
        return;
      case Outcome::kConnectFailed:
        server.unreachable = true;
        return suspect(server);
      case Outcome::kTimedOut:
      case Outcome::kReset:
      case Outcome::kCancelled:
        return judge_unanswered(server, e.outcome, sent);
      case Outcome::kNotSent:
        server.marked_until = std::max(server.marked_until, now_ + kMarkLeast);
        return;
      case Outcome::kError:
        if (e.cause == Cause::kNumberBusy) {
          count_answer(server);
        } else if (e.cause == Cause::kUnfit || e.cause == Cause::kRejected) {
          // Whether the fault is the call's or the server's, another server's answer to it tells.
          const int before = server.strikes;
          count_answer(server, false);
          server.strikes = before;
          if (e.cause == Cause::kRejected) server.rejects += kFaultGain * (1 - server.rejects);
        } else {
          server.faults += kFaultGain * (1 - server.faults);
          const int in_a_row = server.strikes + 1;
          count_answer(server, false);
          server.strikes = in_a_row;
          if (in_a_row >= kFaultsToSuspect) suspect(server, true);
        }
        return;
      default:
        return;
    }
  }

  // One that a later set-up's answer, or news of the server, has overtaken was lost alone: no strike, no
  // delay, and its turn was taken, so traffic may go on. Without the last, a quarter of answers lost closes
  // the answer clock to its two a second, for good. Also catches single set-ups that a processor forgets;
  // does harm where a server that answers some swallows most.
  void judge_unanswered(Server& server, Outcome outcome, Time sent) {
    if (sent < server.answered_sent - kOvertaken) server.answered.push_back(now_);
    if (outcome == Outcome::kCancelled || sent < std::max(server.answered_sent, server.told_at)) return;
    if (outcome == Outcome::kTimedOut) server.slow_delay = std::max(server.slow_delay, now_ - sent);
    server.strikes += 1;
    // A reset comes at once, as other faults do, and may be its connection's alone: a process that died
    // refuses the next connection.
    const int most = outcome == Outcome::kReset ? kFaultsToSuspect : kStrikesToSuspect;
    if (server.strikes >= most || server.suspect) suspect(server);
  }

  // Calls cut at most servers together are no crash of one: with all of them suspect, nothing could be set
  // up. It does harm where most servers did restart at once: they are met warm until they refuse or the list
  // tells.
  bool cut_everywhere() {
    std::size_t cut = 0;
    std::size_t listed = 0;
    for (const auto& [id, server] : servers_) {
      listed += server.listed;
      cut += server.listed && !server.cuts.empty() && server.cuts.back() >= now_ - kCutsTogether;
    }
    if (2 * cut <= listed || cut < 2) return false;
    for (auto& [id, server] : servers_) {
      if (server.suspect && !server.unreachable && server.suspect_since >= now_ - kCutsTogether) {
        server.suspect = server.faulty = false;
      }
    }
    return true;
  }

  void suspect(Server& server, bool faulty = false) {
    server.faulty = faulty && (server.faulty || !server.suspect);
    server.trial_gap = server.suspect ? std::min(2 * server.trial_gap, kSuspectLongest) : kSuspectFirst;
    if (server.suspect && now_ < server.trial_at) server.trial_gap /= 2;  // one failure, told several times
    if (!server.suspect) {
      warm_rate(server);  // as it was before the trouble
      server.suspect_since = now_;
    }
    server.suspect = true;
    server.trial_at = now_ + server.trial_gap;
  }

  void clear_suspicion(Server& server) {
    server.suspect = false;
    server.faulty = false;
    server.unreachable = false;
    server.strikes = 0;
    server.cuts.clear();
  }

  void on(const CallAbandoned& e) {
    const auto found = calls_.find(e.call);
    if (found == calls_.end()) return;
    answered(found->second);
    forget(found->second);
  }

  void on(const TimerFired& e) {
    if (e.token == kListTimer) return emit(Subscribe{});
    if (e.token == kTellTimer) return tell_peers();
    const auto found = calls_.find(static_cast<CallId>(e.token >> 32));
    if (found == calls_.end() || found->second.generation != static_cast<std::uint32_t>(e.token)) return;
    Call& call = found->second;
    if (call.state == Call::State::kHeld) {
      enter(call, Call::State::kArriving);
      try_held(call);
    } else if (call.state == Call::State::kAwaitingRelease) {
      enter(call, Call::State::kArriving);
      Server* server = route(call);
      if (server == nullptr) return refuse(call);
      send(call, *server);
    }
  }

  // ---- Ending: one place ----

  void refuse(Call& call, bool permanent = false) {
    if (!permanent) note_missed(call);
    const bool may_refuse = !call.in_doubt || class_of(call).effect == Effect::kRepeatable;
    if (may_refuse) {
      // Advice is owed before anything stood, too.
      const double spacing = spacing_ < 0 ? kMarkLeast : spacing_;
      const double pause = std::max(spacing, held_ > 0 ? last_due_ - now_ : 0);
      const double advice = settings_.gives_retry_after ? std::min(pause, settings_.max_retry_after_s) : 0;
      emit(RefuseCall{call.id, permanent ? 0 : std::max(0.0, advice), permanent});
    } else {
      emit(FailCall{call.id});
    }
    forget(call);
  }

  void forget(Call& call) {
    enter(call, Call::State::kArriving);
    calls_.erase(call.id);
  }

  // ---- The list of servers, and reports ----

  void on(const ServerList& e) {
    for (auto& [id, server] : servers_) warm_rate(server);  // as it was before the change
    if (e.mode == ServerList::Mode::kFailed) {
      emit(SetTimer{kListTimer, kListRetry});
      return;
    }
    if (e.mode != ServerList::Mode::kDelta) {
      for (auto& [id, server] : servers_) server.listed = false;
    }
    for (const ServerEntry& entry : e.entries) take_entry(entry);
  }

  void take_entry(const ServerEntry& entry) {
    const bool known = servers_.count(entry.id) != 0;
    Server& server = servers_[entry.id];
    const bool restarted = known && entry.since > server.entry.since;
    if (restarted) {
      server.wait = 0;
      server.answered.clear();
      server.worked.clear();
      server.marked_until = -kNever;
      clear_suspicion(server);
    }
    server.entry = entry;
    server.listed = entry.state == ServerEntry::State::kReady;
    if (entry.since > 0) server.cold_until = std::max(server.cold_until, entry.since + settings_.warm_up_s);
  }

  void on(const LoadNotice& e) {
    if (Server* server = find(e.server)) take_report(*server, e.report);
  }

  void take_report(Server& server, const Report& report) {
    if (report.spare && usable(*report.spare)) {
      server.spare = *report.spare;
      server.spare_at = now_;
    }
    if (report.wait_s && usable(*report.wait_s)) {
      server.told_wait = *report.wait_s;
      server.told_at = now_;
    }
    if (report.total && usable(*report.total)) server.total = *report.total;
    if (report.queue && usable(*report.queue)) {
      server.told_queue = *report.queue;
      server.queue_at = now_;
      // Where calls are dense, own evidence is better.
      if (!report.wait_s && sparseness() > 0 && (queue_wait_ > 0 || server.told_queue < kQueueLeast)) {
        server.told_wait = server.told_queue / std::max(1.0, server.total) * queue_wait_;
        server.told_at = now_;
      }
    }
  }

  // ---- Peers: what is heard only adds evidence of waits; no rule rests on it ----

  void tell_peers() {
    emit(SetTimer{kTellTimer, kTellEvery * (0.5 + uniform())});
    if (sparseness() == 0) return;  // own evidence is better
    std::vector<GossipEntry> hearsay;
    for (const auto& [id, server] : servers_) {
      const auto [wait, at] = newest_wait(server);
      if (server.listed && at > -kNever) hearsay.push_back({id, wait, now_ - at});
    }
    if (hearsay.empty()) return;
    for (int i = 0; i < kTellPeers; ++i) {
      auto peer = static_cast<std::uint32_t>(uniform() * (settings_.fleet_size - 1));
      if (peer >= settings_.own_number) peer += 1;
      emit(TellPeer{peer, hearsay});
    }
  }

  void on(const PeerNews& e) {
    if (sparseness() == 0) return;
    for (const GossipEntry& h : e.entries) {
      Server* server = find(h.server);
      if (server == nullptr || !usable(h.wait_s) || !usable(h.age_s)) continue;
      if (now_ - h.age_s <= server->heard_at) continue;
      server->heard_at = now_ - h.age_s;
      server->heard_wait = h.wait_s;
    }
  }

  // ---- Small things ----

  void emit(Action action) { actions_->push_back(std::move(action)); }

  void enter(Call& call, Call::State state) {
    if (call.state == Call::State::kHeld) held_ -= 1;
    if (state == Call::State::kHeld) held_ += 1;
    call.state = state;
    call.generation += 1;
  }

  void wake(const Call& call, Time when) {
    emit(SetTimer{static_cast<std::uint64_t>(call.id) << 32 | call.generation, std::max(0.0, when - now_)});
  }

  // The attempt that is out, if it is the one meant.
  Call* current(CallId id, std::uint32_t attempt) {
    const auto found = calls_.find(id);
    if (found == calls_.end() || found->second.attempts != attempt + 1) return nullptr;
    return &found->second;
  }

  void answered(const Call& call) {
    if (Server* server = find(call.server)) server->unanswered.erase({call.sent, call.id});
  }

  Server* find(ServerId id) {
    const auto found = servers_.find(id);
    return found == servers_.end() ? nullptr : &found->second;
  }

  const Settings::Class& class_of(const Call& call) const {
    static const Settings::Class kUntold;
    return call.call_class < settings_.classes.size() ? settings_.classes[call.call_class] : kUntold;
  }

  double uniform() { return static_cast<double>(random_() >> 11) * 0x1.0p-53; }

  Settings settings_;
  std::mt19937_64 random_;
  double best_worth_ = 1e-9;
  Time now_ = 0;
  std::vector<Action>* actions_ = nullptr;
  std::map<CallId, Call> calls_;
  std::map<ServerId, Server> servers_;
  std::map<std::uint32_t, double> warm_rate_;  // by kind, a server
  std::map<std::uint32_t, double> line_rate_;  // by kind, a line
  std::map<std::uint64_t, Number> busy_;       // numbers called that answered busy, by key
  double queue_wait_ =
      0;  // s of wait for each set-up that a server with one line has in its queue; 0: unknown
  std::map<std::uint64_t, Time> missed_;  // first tries of callers turned away lately, by number called
  std::deque<std::pair<Time, std::uint64_t>> missed_order_;  // when each is forgotten
  double longest_deadline_ = 0;
  double longest_aim_ = 0;
  double spacing_ = -1;  // x; below 0: nothing stood yet
  double shortest_ = 0;  // s; the shortest set-up delay of late, anywhere
  std::uint32_t held_ = 0;
  Time last_due_ = 0;  // latest scheduled try
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
