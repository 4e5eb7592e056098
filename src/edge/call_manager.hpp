// Manages the life cycle of every call of the proxy, whichever protocol it arrived by: one final answer per
// call, one attempt at a time, the timeout of each attempt, and the timers that the Controller requests.
//
// Does no I/O and reads no clock: it receives events with their times and calls CallManagerDelegate. The
// Controller makes all decisions; the call manager tracks the state of each call. Independently of the
// Controller it guarantees that a call is answered exactly once, and no later than its caller's deadline.
#ifndef MINTROCK_SRC_EDGE_CALL_MANAGER_HPP_
#define MINTROCK_SRC_EDGE_CALL_MANAGER_HPP_

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "mintrock/controller.hpp"
#include "net/timers.hpp"

namespace mintrock::edge {

// A call as a protocol front end offers it.
struct CallRequest {
  std::uint32_t call_class = 0;
  std::uint64_t key = 0;
  double ttl_s = 0;
  double lines = 1;
  std::int64_t first_choice = -1;
  bool redialled = false;
  bool was_cut = false;
  bool peer_reopening = false;  // the caller's connection is in state REOPEN, not yet trusted (RFC 3539)
};

// The final answer to a call's set-up.
struct SetupResult {
  // kRejected: a core server rejected the call for good; no other server would accept it.
  enum class Kind { kEstablished, kRefused, kFailed, kRejected };
  Kind kind = Kind::kFailed;
  double retry_after_s = 0;  // kRefused: when the caller may retry; 0: no advice
  ServerId server = 0;  // kEstablished: the server that holds the call; kRejected: the one that rejected it
  const char* reason = "";
};

// Outcome of handing an attempt to the core side.
enum class SendResult {
  kAccepted,      // sent, or queued until its connection is established
  kNoConnection,  // no connection is available; the attempt never ran
  kNotSent        // the proxy may not send it to this server now; the attempt never ran
};

// Receives the answers of the CallManager and carries out what it requests.
class CallManagerDelegate {
 public:
  virtual ~CallManagerDelegate() = default;
  // Called once for each offered call that its caller has not abandoned.
  virtual void answer(CallId call, const SetupResult& result) = 0;
  // The core side ended an established call.
  virtual void cut(CallId call) = 0;
  virtual SendResult send_setup(CallId call, std::uint32_t attempt, ServerId server,
                                double give_up_after_s) = 0;
  // Frees whatever the attempt, or the established call that it became, holds at the server.
  virtual void release(CallId call, std::uint32_t attempt, ServerId server) = 0;
  // No further callback follows for the call.
  virtual void forget(CallId call) = 0;
  // Subscribes to the server list.
  virtual void subscribe() = 0;
  virtual void send_gossip(std::uint32_t peer, const std::vector<GossipEntry>& entries) = 0;
  virtual void log(const std::string& text) = 0;
};

// Totals since the start, for metrics and tests.
struct CallCounters {
  std::uint64_t offered = 0;
  std::uint64_t established = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t rejected = 0;     // rejected for good by a core server
  std::uint64_t abandoned = 0;    // given up by the caller before the answer
  std::uint64_t turned_away = 0;  // refused because of a full table, draining, or a connection in REOPEN
  std::uint64_t overdue = 0;      // answered only by the timer at the caller's deadline: an internal error
  std::uint64_t ended = 0;        // established calls ended by their callers
  std::uint64_t cut = 0;          // established calls ended by the core side
  std::uint64_t attempts = 0;
  std::uint64_t timed_out = 0;
  std::uint64_t cancelled = 0;
  std::uint64_t late_answers = 0;  // answers for attempts or calls that had already ended
};

class CallManager {
 public:
  CallManager(const Settings& settings, std::uint64_t seed, std::uint32_t max_calls,
              CallManagerDelegate& delegate);

  // ---- From the protocol front ends ----
  // Returns a new call ID; IDs are never reused.
  CallId next_call_id() { return ++last_call_id_; }
  void offer(CallId call, const CallRequest& request, double now);
  // The caller abandons a pending call or ends an established one. Returns false if the call is unknown.
  bool hang_up(CallId call, double now);

  // ---- From the core side ----
  void on_established(CallId call, std::uint32_t attempt, const Report& report, double now);
  // An attempt ended without success, or an established call was cut (Outcome::kReset) or ended by the core
  // server (Outcome::kEnded).
  void on_ended(CallId call, std::uint32_t attempt, Outcome outcome, Cause cause, double advised_wait_s,
                const Report& report, double now);

  // An earlier attempt that was given up did run, or may have run, and the call that it set up has ended. The
  // call fails, whichever attempt is in flight now. Has no effect on an established call.
  void on_earlier_attempt_ended(CallId call, double now);

  // The core side ended an established call; does not need the number of the attempt that established it.
  void on_established_call_ended(CallId call, Outcome outcome, const Report& report, double now);

  // ---- From other sources ----
  void start(double now);
  void update_servers(const ServerList& update, double now);
  void update_load(ServerId server, const Report& report, double now);
  void on_peer_news(const PeerNews& news, double now);
  void drain() { draining_ = true; }  // refuses new calls from now on
  // Called at the end of the process: answers every pending call and leaves established calls as they are.
  void answer_pending_calls(double now);
  // What a caller is told at the most for how long to stay away, in milliseconds; none if the settings allow
  // none.
  std::optional<std::uint32_t> max_retry_after_ms() const {
    if (max_advised_wait() <= 0) return {};
    return static_cast<std::uint32_t>(1000 * max_advised_wait());
  }
  void set_max_calls(std::uint32_t max_calls) { max_calls_ = max_calls; }
  // Runs the timers that are due; the next one is due at deadline().
  void tick(double now) {
    timer_now_ = now;
    timers_.run(now);
  }
  double deadline() const { return timers_.next_due(); }

  // A snapshot of a call, for the admin interface.
  struct View {
    // kDeciding: no attempt is in flight; the Controller decides what comes next.
    enum class State { kDeciding, kInFlight, kEstablished };
    CallId call = 0;
    State state = State::kDeciding;
    std::uint32_t attempts = 0;
    ServerId server = 0;
    double offered_at = 0;
  };
  std::vector<View> calls() const;
  std::size_t pending() const { return calls_.size() - established_; }  // calls without an answer
  std::size_t established() const { return established_; }
  std::size_t timers() const { return timers_.size(); }
  const CallCounters& counters() const { return counters_; }

 private:
  struct Call {
    View::State state = View::State::kDeciding;
    std::uint32_t attempts = 0;  // started so far
    ServerId server = 0;         // of the last attempt
    double attempt_sent_at = 0;
    double offered_at = 0;
    net::TimerId give_up_timer = 0;
    net::TimerId overdue_timer = 0;
  };

  double max_advised_wait() const { return settings_.gives_retry_after ? settings_.max_retry_after_s : 0; }
  void process(double now, Event event);
  void execute(const SendSetup& action, double now);
  void execute(const RefuseCall& action, double now);
  void execute(const FailCall& action, double now);
  void execute(const CancelAttempt& action, double now);
  void execute(const SetTimer& action, double now);
  void execute(const Subscribe&, double now);
  void execute(const TellPeer& action, double now);
  void execute(const Log& action, double now);
  void finish_setup(CallId id, const SetupResult& result, double now);
  void end_attempt(CallId id, Call& call, Outcome outcome, Cause cause, double advised_wait_s,
                   const Report& report, double now);
  // The core side ended the call of the current attempt before its answer arrived: the call ran and ended.
  void end_unanswered(CallId id, Call& call, const Report& report, double now);
  void end_established(CallId id, const Call& call, Outcome outcome, const Report& report, double now);
  void give_up(CallId id, std::uint32_t attempt);
  void erase_call(CallId id);

  Settings settings_;
  Controller controller_;
  std::uint32_t max_calls_;
  CallManagerDelegate& delegate_;
  net::Timers timers_;
  std::unordered_map<CallId, Call> calls_;
  std::size_t established_ = 0;
  CallId last_call_id_ = 0;
  bool draining_ = false;
  bool processing_ = false;
  std::deque<std::pair<double, Event>> queued_events_;  // received while another one is processed
  CallCounters counters_;
  double timer_now_ = 0;  // time of the current or last tick
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CALL_MANAGER_HPP_
