// The life of every call at this proxy, whatever protocol brought it: one final answer, one attempt at a
// time, each attempt's time-out, the timers that the decisions ask for.
//
// Pure: events and times in, calls of DeskPorts out; no sockets, no clock. All that is to be decided is asked
// of the Controller; the desk keeps the account, and its own bounds hold should anything else fail: a call is
// answered by its caller's end at the latest, and once.
#ifndef MINTROCK_SRC_EDGE_CALL_DESK_HPP_
#define MINTROCK_SRC_EDGE_CALL_DESK_HPP_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "mintrock/controller.hpp"
#include "net/timers.hpp"

namespace mintrock::edge {

// A call as a front offers it.
struct Offer {
  std::uint32_t call_class = 0;
  std::uint64_t key = 0;
  double ttl_s = 0;
  double lines = 1;
  std::int64_t first_choice = -1;
  bool redialled = false;
  bool was_cut = false;
  bool peer_on_trial = false;  // its connection came back and is not yet trusted (RFC 3539, REOPEN)
};

// The final answer of a call's set-up.
struct Verdict {
  enum class Kind { kStands, kRefused, kFailed, kRejected };  // rejected: as a core server answered, for good
  Kind kind = Kind::kFailed;
  double retry_after_s = 0;  // refused: come back after this; 0: no advice
  ServerId server = 0;       // stands: where
  const char* why = "";
};

// What becomes of an attempt when it is handed to the core side.
enum class Handover {
  kTaken,   // sent, or waiting for its connection
  kNoWay,   // no connection can be had now: it never ran
  kNotSent  // this proxy is in no state to send it: it never ran
};

class DeskPorts {
 public:
  virtual ~DeskPorts() = default;
  virtual void answer(CallId call, const Verdict& verdict) = 0;  // once for each call that was offered
  virtual void cut(CallId call) = 0;                             // a standing call was ended by the core side
  virtual Handover send_setup(CallId call, std::uint32_t attempt, ServerId server,
                              double give_up_after_s) = 0;
  // Free whatever this attempt, or the standing call that it became, holds at the server.
  virtual void release(CallId call, std::uint32_t attempt, ServerId server) = 0;
  virtual void forget(CallId call) = 0;  // nothing more comes for it
  virtual void subscribe() = 0;
  virtual void tell_peer(std::uint32_t peer, const std::vector<Hearsay>& hearsay) = 0;
  virtual void log(const std::string& text) = 0;
};

// What happened so far; for metrics and tests.
struct DeskCounts {
  std::uint64_t offered = 0;
  std::uint64_t stood = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejected = 0;     // for good, by core servers
  std::uint64_t abandoned = 0;    // by the caller, before an answer
  std::uint64_t turned_away = 0;  // refused, since the table was full or the proxy draining
  std::uint64_t overdue = 0;      // answered by the desk itself at the caller's end: a fault of ours
  std::uint64_t ended = 0;        // standing calls ended by their callers
  std::uint64_t cut = 0;          // and by the core side
  std::uint64_t attempts = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t late = 0;  // answers of attempts that were over already
};

class CallDesk {
 public:
  CallDesk(const Settings& settings, std::uint64_t seed, std::uint32_t max_calls, DeskPorts& ports);

  // ---- From the front ----
  // A number for a call about to be offered; never used again.
  CallId next_call() { return ++last_call_; }
  void offer(CallId call, const Offer& offer, double now);
  // The caller waits no more, or ends a call that stands. False if the call is not known (any more).
  bool hang_up(CallId call, double now);

  // ---- From the core side ----
  void stood(CallId call, std::uint32_t attempt, const Report& report, double now);
  // An attempt ended otherwise, or a standing call was cut (Outcome::kReset) or ended there (kEnded).
  void ended(CallId call, std::uint32_t attempt, Outcome outcome, Cause cause, double told_wait_s,
             const Report& report, double now);

  // An earlier attempt, given up for lost, has run, or may have, and what came of it has ended: the call is
  // over, whatever is out for it now. Nothing happens to one that stands.
  void ran_elsewhere(CallId call, double now);

  // The same of a call that stands, whatever the number of the attempt that it became.
  void ended_standing(CallId call, Outcome outcome, const Report& report, double now);

  // ---- From elsewhere ----
  void start(double now);
  void list(const ServerList& news, double now);
  void load(ServerId server, const Report& report, double now);
  void peer_news(const PeerNews& news, double now);
  void drain() { draining_ = true; }  // new calls are refused from now on
  // The process ends: each call that waits for its answer gets it now. What stands is left standing.
  void answer_all(double now);
  void set_max_calls(std::uint32_t most) { max_calls_ = most; }
  void tick(double now) {
    timer_now_ = now;
    timers_.run(now);
  }
  double deadline() const { return timers_.next_due(); }

  struct View {
    enum class State { kDeciding, kOut, kStands };
    CallId call = 0;
    State state = State::kDeciding;
    std::uint32_t attempts = 0;
    ServerId server = 0;
    double since = 0;
  };
  std::vector<View> calls() const;
  std::size_t open() const { return calls_.size() - standing_; }  // not answered yet
  std::size_t standing() const { return standing_; }
  std::size_t timers() const { return timers_.size(); }
  const DeskCounts& counts() const { return counts_; }

 private:
  struct Call {
    View::State state = View::State::kDeciding;
    std::uint32_t attempts = 0;  // begun so far
    ServerId server = 0;         // of the last attempt
    double sent = 0;
    double begun = 0;
    net::TimerId give_up = 0;
    net::TimerId overdue = 0;
  };

  double longest_advice() const { return settings_.gives_retry_after ? settings_.max_retry_after_s : 0; }
  void decide(double now, Event event);
  void act(const SendSetup& action, double now);
  void act(const RefuseCall& action, double now);
  void act(const FailCall& action, double now);
  void act(const CancelAttempt& action, double now);
  void act(const SetTimer& action, double now);
  void act(const Subscribe&, double now);
  void act(const TellPeer& action, double now);
  void act(const Log& action, double now);
  void finish(CallId id, const Verdict& verdict, double now);
  void attempt_over(CallId id, Call& call, Outcome outcome, Cause cause, double told_wait_s,
                    const Report& report, double now);
  // The core side has ended the call of an attempt whose answer was never seen: it ran, and is over.
  void ended_unanswered(CallId id, Call& call, const Report& report, double now);
  void standing_over(CallId id, const Call& call, Outcome outcome, const Report& report, double now);
  void give_up(CallId id, std::uint32_t attempt);
  void drop(CallId id);

  Settings settings_;
  Controller controller_;
  std::uint32_t max_calls_;
  DeskPorts& ports_;
  net::Timers timers_;
  std::unordered_map<CallId, Call> calls_;
  std::size_t standing_ = 0;
  CallId last_call_ = 0;
  bool draining_ = false;
  bool deciding_ = false;
  std::deque<std::pair<double, Event>> events_;  // told while another one is being carried out
  DeskCounts counts_;
  double timer_now_ = 0;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CALL_DESK_HPP_
