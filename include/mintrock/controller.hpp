// The whole interface of mintrock: settings and events go in, actions come out.
//
// A Controller makes the decisions of one admission proxy. It does no I/O, reads no clock, starts no thread
// and keeps no global state: the caller passes the time, in seconds on any clock that only goes forward, with
// each event and carries out the actions, in order. Events for calls that have ended are ignored. The same
// settings, seed and events give the same actions. One Controller is used from one thread at a time.
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
using CallId = std::uint32_t;    // never used again within one Controller's life
using ServerId = std::uint64_t;  // opaque; stays the same when the server's process restarts

// Whether a set-up that may have run can be sent again (see Settings::Class::effect).
enum class Effect { kRepeatable, kByKey, kOnce };

// What the operators tell a Controller once, at start. Each default is what is assumed when nothing was told.
struct Settings {
  struct Class {
    double target_s = 1.0;    // stands within this time of the caller's first try: full worth
    double deadline_s = 1.0;  // how long a caller goes on trying, from the first try
    double value = 1.0;       // worth of a call that stands
    Effect effect = Effect::kRepeatable;
    std::vector<std::uint32_t> nodes;  // nodes that may take it; empty: all
  };
  std::vector<Class> classes;
  double release_wait_s = 0.0;      // after an attempt in doubt, wait this long before the next
  double repeat_after_s = 0.0;      // a waiting set-up is repeated by itself after this; 0: never
  double start_capacity = 1.0;      // a server starts at this share of its capacity, or more
  double warm_up_s = 0.0;           // and is warm after this
  double overload_factor = 1.0;     // sent more than this x its present capacity
  double fall_s = 1.0;              // for this long, a cold server falls over
  std::uint32_t attempt_limit = 1;  // attempts a call may have
  double max_retry_after_s = 0.0;   // the longest advice that callers heed
  bool can_cancel = false;          // CancelAttempt is allowed
  bool gives_retry_after = false;   // callers are given retry_after_s
  bool must_subscribe = false;      // the server list comes only after Subscribe
  std::uint32_t fleet_size = 1;     // proxies before these servers
  std::uint32_t own_number = 0;     // this one's number among them, from 0
  bool marks_redials = false;       // NewCall::redialled is told
  bool can_tell_peers = false;      // TellPeer is allowed
};

// A server's load report. Any subset may be present, noisy and some time old.
struct Report {
  std::optional<double> spare;   // free lines toward the server, exact
  std::optional<double> total;   // all of its lines, exact
  std::optional<double> wait_s;  // wait at its processor
  std::optional<double> queue;   // set-ups waiting at its processor
};

// What one proxy tells another of a server: the wait that somebody saw there, and how long ago.
struct GossipEntry {
  ServerId server = 0;
  double wait_s = 0;
  double age_s = 0;
};

struct ServerEntry {
  enum class State { kReady, kDraining, kGone };
  ServerId id = 0;
  std::uint32_t node = 0;  // calls name it in first_choice
  std::uint32_t kind = 0;  // machine kind
  double weight = 1.0;     // size in relation to the others
  State state = State::kReady;
  Time since = 0;  // when its process last started; 0: long ago
};

// ---- Events ----

// Sent once, first; lets the Controller ask for what it needs at start.
struct Started {};

// News of the server list. kCached is the list as it was before this proxy's own restart, maybe old.
struct ServerList {
  enum class Mode { kDelta, kFull, kCached, kFailed };
  Mode mode = Mode::kFull;
  std::vector<ServerEntry> entries;
};

struct NewCall {
  CallId call = 0;
  std::uint32_t call_class = 0;
  std::uint64_t key = 0;           // stands for the called number; 0: none
  double ttl_s = 0;                // the caller gives this try up after this long
  double lines = 1;                // lines that it takes
  std::int64_t first_choice = -1;  // node of first choice; -1: none
  bool redialled = false;          // a further try of a caller turned away before
  bool was_cut = false;            // it stood, was cut, and comes again
};

struct SetupStood {  // the call stands; nothing is owed until it ends
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
  kUnfit,    // with kError: for good, and of this server's own; another may take the call
  kRejected  // with kError: for good, and of the call's own; no server takes it
};

struct AttemptEnded {
  CallId call = 0;
  std::uint32_t attempt = 0;
  ServerId server = 0;
  double spent_s = 0;
  Outcome outcome = Outcome::kEnded;
  Cause cause = Cause::kNone;
  double advised_wait_s = 0;  // with kProcessorFull: come back after this; 0: not told
  bool call_ended = false;    // nothing more is owed for the call
  Report report;
};

struct CallAbandoned {  // nobody waits any more
  CallId call = 0;
};

struct TimerFired {
  std::uint64_t token = 0;
};

struct LoadNotice {  // unasked news of a server's lines or load
  ServerId server = 0;
  Report report;
};

struct PeerNews {  // what a TellPeer of another proxy brought; may be lost, late or wrong
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

struct RefuseCall {  // final: not served, the caller may come back
  CallId call = 0;
  double retry_after_s = 0;  // 0: no advice
  bool permanent = false;  // what the last attempt met (kUnfit, kRejected) is the answer: no use coming back
};

struct FailCall {  // final: failed; used where a refusal is not allowed
  CallId call = 0;
};

struct CancelAttempt {  // it still brings its one AttemptEnded
  CallId call = 0;
  std::uint32_t attempt = 0;
};

struct SetTimer {  // brings TimerFired; can't be unset
  std::uint64_t token = 0;
  double after_s = 0;
};

struct Subscribe {};  // ask for the server list and its changes

struct TellPeer {          // a message to another proxy, not sure to arrive
  std::uint32_t peer = 0;  // its number
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

  // Handles one event and appends what is to be done to `actions`.
  void handle(Time now, const Event& event, std::vector<Action>& actions);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace mintrock

#endif  // MINTROCK_CONTROLLER_HPP_
