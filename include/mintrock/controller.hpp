// The public interface of mintrock: settings and events go in, actions come out.
//
// A Controller makes the decisions of one admission proxy. It does no I/O, reads no clock, starts no thread
// and keeps no global state. The I/O layer passes the current time with each event, in seconds on any
// monotonic clock, and carries out the returned actions in order. Events for calls that have ended are
// ignored. The same settings, seed and events give the same actions. A Controller is not thread-safe: use it
// from one thread at a time.
#ifndef MINTROCK_CONTROLLER_HPP_
#define MINTROCK_CONTROLLER_HPP_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace mintrock {

using Time = double;             // seconds
using CallId = std::uint32_t;    // never reused within the lifetime of a Controller
using ServerId = std::uint64_t;  // opaque; stays the same when the server's process restarts

// Whether a set-up whose outcome is unknown may be sent again (see Settings::Class::effect). The Controller
// sends only kRepeatable ones again.
enum class Effect { kRepeatable, kByKey, kOnce };

// The configuration of a Controller, fixed at construction. Each default applies where a value is not
// configured.
struct Settings {
  struct Class {
    double target_s = 1.0;    // a call established this soon after the caller's first try has full value
    double deadline_s = 1.0;  // how long a caller keeps trying, from its first try
    double value = 1.0;       // value of an established call
    Effect effect = Effect::kRepeatable;
    std::vector<std::uint32_t> nodes;  // nodes that accept this class; empty: all
  };
  std::vector<Class> classes;
  double release_wait_s = 0.0;      // wait after an in-doubt attempt before the next one
  double repeat_after_s = 0.0;      // an unanswered set-up is retransmitted after this; 0: never
  double start_capacity = 1.0;      // a server starts with at least this share of its capacity
  double warm_up_s = 0.0;           // time from a server's start until it has its full capacity
  double overload_factor = 1.0;     // a cold server fails under a load above this x its current capacity
  double fall_s = 1.0;              // how long such a load must last until the server fails
  std::uint32_t attempt_limit = 1;  // maximum number of attempts per call
  double max_retry_after_s = 0.0;   // the longest retry-after that callers honour
  bool can_cancel = false;          // CancelAttempt may be used
  bool gives_retry_after = false;   // callers receive RefuseCall::retry_after_s
  bool must_subscribe = false;      // the server list is sent only after Subscribe
  std::uint32_t fleet_size = 1;     // proxies that share these servers
  std::uint32_t own_number = 0;     // index of this proxy among them, from 0
  bool marks_redials = false;       // callers mark redials (NewCall::redialled)
  bool can_tell_peers = false;      // TellPeer may be used
};

// A server's load report. Any subset of the values may be present; they may be noisy and out of date.
struct Report {
  std::optional<double> spare;   // free lines toward the server, exact
  std::optional<double> total;   // all of its lines, exact
  std::optional<double> wait_s;  // waiting time at its processor
  std::optional<double> queue;   // set-ups queued at its processor
};

// Information about one server in a gossip message between proxies: the newest known waiting time there and
// the age of that information.
struct GossipEntry {
  ServerId server = 0;
  double wait_s = 0;
  double age_s = 0;
};

struct ServerEntry {
  enum class State { kReady, kDraining, kGone };
  ServerId id = 0;
  std::uint32_t node = 0;  // NewCall::first_choice refers to it
  std::uint32_t kind = 0;  // machine type
  double weight = 1.0;     // relative size
  State state = State::kReady;
  Time since = 0;  // when its process last started; 0: long ago
};

// ---- Events ----

// Sent once, before all other events; lets the Controller set its timers and subscribe to the server list.
struct Started {};

// An update of the server list. kDelta holds changed entries only, kFull replaces the list, kCached is the
// list saved before the proxy restarted and may be out of date, and kFailed reports that the subscription
// failed.
struct ServerList {
  enum class Mode { kDelta, kFull, kCached, kFailed };
  Mode mode = Mode::kFull;
  std::vector<ServerEntry> entries;
};

struct NewCall {
  CallId call = 0;
  std::uint32_t call_class = 0;
  std::uint64_t key = 0;           // identifies the called number; 0: none
  double ttl_s = 0;                // the caller gives up this try after this time
  double lines = 1;                // number of lines it occupies
  std::int64_t first_choice = -1;  // preferred node; -1: none
  bool redialled = false;          // the caller was turned away before and tries again
  bool was_cut = false;            // the call was established, was cut, and is set up again
};

struct SetupStood {  // the call is established; AttemptEnded follows when it ends
  CallId call = 0;
  std::uint32_t attempt = 0;
  ServerId server = 0;
  double spent_s = 0;
};

enum class Outcome { kEnded, kError, kFull, kTimedOut, kConnectFailed, kReset, kCancelled, kNotSent };
enum class Cause {
  kNone,
  kNoLine,
  kTurnedBack,
  kProcessorFull,
  kNumberBusy,
  kUnfit,    // with kError: this server rejects the call permanently, another may accept it
  kRejected  // with kError: the call itself is rejected permanently, by any server
};

struct AttemptEnded {
  CallId call = 0;
  std::uint32_t attempt = 0;
  ServerId server = 0;
  double spent_s = 0;
  Outcome outcome = Outcome::kEnded;
  Cause cause = Cause::kNone;
  double advised_wait_s = 0;  // with kProcessorFull: when to retry; 0: no advice
  bool call_ended = false;    // the call has ended, no final answer is needed
  Report report;
};

struct CallAbandoned {  // the caller no longer waits for an answer
  CallId call = 0;
};

struct TimerFired {
  std::uint64_t token = 0;
};

struct LoadNotice {  // an unsolicited load report
  ServerId server = 0;
  Report report;
};

struct PeerNews {  // contents of a TellPeer from another proxy; may be lost, late or wrong
  std::vector<GossipEntry> entries;
};

using Event = std::variant<Started, ServerList, NewCall, SetupStood, AttemptEnded, CallAbandoned, TimerFired,
                           LoadNotice, PeerNews>;

// ---- Actions ----

struct SendSetup {
  CallId call = 0;
  ServerId server = 0;
  double give_up_after_s = 0;
};

struct RefuseCall {  // final: not served, the caller may try again
  CallId call = 0;
  double retry_after_s = 0;  // 0: no advice
  // The last attempt was rejected with kUnfit or kRejected: that answer is final, retrying doesn't help.
  bool permanent = false;
};

struct FailCall {  // final: failed; used where the call may not be refused because it may have run
  CallId call = 0;
};

struct CancelAttempt {  // the attempt still ends with one AttemptEnded
  CallId call = 0;
  std::uint32_t attempt = 0;
};

struct SetTimer {  // triggers TimerFired; can't be cancelled
  std::uint64_t token = 0;
  double after_s = 0;
};

struct Subscribe {};  // asks for the server list and its updates

struct TellPeer {          // a message to another proxy; delivery is not guaranteed
  std::uint32_t peer = 0;  // index of that proxy
  std::vector<GossipEntry> entries;
};

struct Log {
  std::string text;
};

using Action =
    std::variant<SendSetup, RefuseCall, FailCall, CancelAttempt, SetTimer, Subscribe, TellPeer, Log>;

class Controller {
 public:
  Controller(const Settings& settings, std::uint64_t seed);
  ~Controller();
  Controller(Controller&&) noexcept;
  Controller& operator=(Controller&&) noexcept;

  // Handles one event and appends the resulting actions to `actions`.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mintrock

#endif  // MINTROCK_CONTROLLER_HPP_
