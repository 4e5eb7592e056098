// The caller side of an edge proxy: tracks the callers' connections and the set-ups open on each, sends every
// set-up's answer to the connection that it came on, reports the ends of established calls, and decides which
// connections to close.
//
// Pure: does no I/O and reads no clock; takes bytes and times, calls CallerSideDelegate. The I/O layer
// numbers the connections. Memory is bounded by the connections and calls that the I/O layer admits; the
// queue of ends that wait for a connection has a fixed maximum.
#ifndef MINTROCK_SRC_PLATFORM_CALLER_SIDE_HPP_
#define MINTROCK_SRC_PLATFORM_CALLER_SIDE_HPP_

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "platform/caller_codec.hpp"

namespace mintrock::platform {

using ConnectionId = std::uint64_t;  // never reused

// Why the edge proxy closes a caller's connection.
enum class CloseReason { kSilent, kIdle, kEvicted, kInvalidMessages, kShutdown };

// What shows that a connection belongs to callers, and not to the platform's front end or a faulty client.
// The later ones show more. On a connection with kCall or more, the end of any call reaches its caller.
enum class CallerEvidence {
  kNone,    // it has carried nothing
  kTest,    // it has carried a test, which the front end sends too
  kCall,    // a valid set-up, a release of a call that stood, or the acknowledgement of an end
  kAnswer,  // a set-up was answered on it
};

// How the end of a call was passed on.
enum class EndDelivery {
  kSent,     // on a connection that belongs to callers
  kOffered,  // on one that may belong to callers; the end is kept until a caller is known to have it
  kQueued,   // kept: there is no connection
};

class CallerSideDelegate {
 public:
  virtual ~CallerSideDelegate() = default;
  virtual void send_to_caller(ConnectionId to, std::string_view bytes) = 0;
  // Closes the connection after everything sent to it is delivered. The I/O layer must not report any further
  // event of it.
  virtual void close_caller(ConnectionId which) = 0;
  // Returns whether the connection has bytes that were not passed to received() yet; they may be a set-up.
  virtual bool has_unread(ConnectionId which) = 0;
  // Offers a set-up. It is answered once, by answer() or refuse(), possibly before this returns. Returns the
  // name of a fault if the set-up is not accepted; no answer follows then.
  virtual const char* offer(CallSetup setup) = 0;
  // Takes over a call that is already established at a core server. Returns the name of a fault, or null.
  virtual const char* take_over(const CallSetup& setup) = 0;
  // The caller abandons a set-up or releases an established call. Returns false if the call is unknown.
  virtual bool hang_up(std::uint64_t id) = 0;
  // Logs an invalid message.
  virtual void caller_fault(ConnectionId from, const char* error) = 0;
  // Logs that the caller side closes a connection with this many established calls on it.
  virtual void caller_closed(ConnectionId which, CloseReason reason, std::size_t established) = 0;
  // Logs what was done with the end of an established call; `to` is 0 if it was queued.
  virtual void end_reported(std::uint64_t id, ConnectionId to, EndDelivery delivery) = 0;
};

struct CallerCounters {
  std::uint64_t connections = 0;
  std::uint64_t messages = 0;
  std::uint64_t setups = 0;
  std::uint64_t faults = 0;
  std::uint64_t duplicates = 0;     // set-ups with the id of an open set-up
  std::uint64_t closed_silent = 0;  // closed because no valid message arrived in time
  std::uint64_t closed_idle = 0;
  std::uint64_t evicted = 0;
  std::uint64_t ends_queued = 0;  // had to wait for a connection that belongs to callers
  std::uint64_t ends_offered =
      0;  // times that one was sent meanwhile on a connection that may belong to callers
  std::uint64_t ends_dropped = 0;  // discarded without being sent
  std::uint64_t ends_resent = 0;   // sent again because their connection was lost
};

class CallerSide {
 public:
  explicit CallerSide(CallerSideDelegate& delegate) : delegate_(delegate) {}

  // ---- Called by the I/O layer ----
  void opened(ConnectionId which, double now);
  void received(ConnectionId from, std::string_view bytes, double now);
  void lost(ConnectionId which, double now);
  void tick(double now);
  double deadline() const;
  // Returns the connection to close when a new one needs its place. Connections that were sent nothing yet
  // come first, then the others, longest inactive first; those with established calls come after these, and
  // those with a partly received message last. Returns 0 if each connection has an open set-up or unread
  // bytes.
  ConnectionId eviction_candidate() const;
  void evict(ConnectionId which);
  // Starts the shutdown: each connection is closed as soon as it has neither a pending answer nor a partly
  // received message.
  void begin_shutdown();
  // Whether one connection stays open in a shutdown to report ends on: the one that shows best that it
  // belongs to callers.
  void keep_connection_for_ends(bool keep);
  void close_all_but_the_one_for_ends();
  bool keeps_connection_for_ends() const { return kept_for_ends_ != 0; }
  // The connections, but for one that is kept for ends and has nothing else to do.
  std::size_t busy_connections() const;

  // ---- Called by the call manager ----
  void answer(std::uint64_t id, std::string_view description, double now);
  void refuse(std::uint64_t id, int cause, std::optional<std::uint32_t> retry_after_ms, double now);
  // Reports the end of an established call on the connection that the call came on, else on any connection
  // that belongs to callers. Without such a connection the end is queued, and meanwhile offered on those that
  // may belong to callers, one after another.
  void report_end(std::uint64_t id, int cause, double now);

  // Number of ends that wait for a connection.
  std::size_t pending_ends() const { return pending_ends_.size(); }
  std::size_t connections() const { return connections_.size(); }
  std::size_t open_setups() const { return open_setups_.size(); }
  std::size_t established() const { return established_.size(); }
  std::size_t unsent_ends() const { return pending_ends_.size(); }
  const CallerCounters& counters() const { return counters_; }

 private:
  // An end that was written to a connection and may be lost with it.
  struct SentEnd {
    std::uint64_t id = 0;
    int cause = 0;
    double sent_at = 0;
  };
  struct Connection {
    MessageParser parser;
    std::deque<SentEnd> unacknowledged_ends;  // recently sent
    std::set<std::uint64_t> open_setups;      // set-ups with a pending answer
    std::set<std::uint64_t> established;  // established calls that came on it; their ends are reported on it
    double opened_at = 0;
    double last_active = 0;    // when it last carried a message of a call
    double partial_since = 0;  // when a partly received message began to arrive
    bool replied = false;      // something was sent to its caller, so it is not kept waiting
    CallerEvidence evidence = CallerEvidence::kNone;
    std::uint32_t faults = 0;
    std::uint32_t close_delays = 0;  // times that its close was delayed because of unread bytes
    double close_check_at = std::numeric_limits<double>::infinity();  // as in close_checks_
  };
  struct PendingEnd {
    std::uint64_t id = 0;
    int cause = 0;
    double expires_at = 0;
    std::vector<ConnectionId> offered_on;
  };

  void handle_message(ConnectionId from, const CallerMessage& message, double now);
  void handle_setup(ConnectionId from, const CallerMessage& message, double now);
  // Answers an invalid message, and closes a connection that keeps sending them.
  void handle_fault(ConnectionId from, std::uint64_t id, const char* error);
  void close(ConnectionId which, CloseReason reason);
  bool delay_close(ConnectionId which, double now);
  void send_end(std::uint64_t id, int cause, ConnectionId to, double now);
  // Keeps an end that was written to the connection for as long as it may be lost with it.
  static void keep_until_acknowledged(std::uint64_t id, int cause, Connection& connection, double now);
  // Removes a connection, abandons its open set-ups and returns its state.
  Connection remove(ConnectionId which);
  // Marks a call as established. Its end is reported on this connection while the connection lasts.
  void add_established(std::uint64_t id, ConnectionId on, Connection& connection);
  void remove_established(std::uint64_t id, double now);
  // Sends the final answer of an open set-up to its connection and returns it; 0 if no answer is pending.
  ConnectionId send_final_answer(std::uint64_t id, std::string_view bytes, double now);
  Connection* find(ConnectionId which);
  void handle_release(ConnectionId from, std::uint64_t id, double now);
  void handle_acknowledgement(ConnectionId from, std::uint64_t id, double now);
  // Records what the connection has shown. If it belongs to callers, the pending ends are sent on it.
  void add_evidence(ConnectionId which, CallerEvidence evidence, double now);
  void send_pending_ends(ConnectionId to, double now);
  // Forgets the pending end of a call, and returns it.
  std::optional<PendingEnd> take_pending_end(std::uint64_t id);
  void queue_end(std::uint64_t id, int cause, double now);
  // Offers each pending end on the next connection that may belong to callers.
  void offer_pending_ends(double now);
  // Offers one end; returns whether connections are left to offer it on.
  bool offer(PendingEnd& end, const std::vector<ConnectionId>& candidates);
  std::vector<ConnectionId> connections_to_offer_on() const;
  // The connection with the best evidence that it belongs to callers, kCall at least; 0: none.
  ConnectionId best_for_ends() const;
  static bool is_closable(const Connection& connection);
  double compute_close_check(ConnectionId which, const Connection& connection) const;
  void update_close_check(ConnectionId which, Connection& connection);

  CallerSideDelegate& delegate_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::unordered_map<std::uint64_t, ConnectionId> open_setups_;  // where each open set-up's answer goes
  std::unordered_map<std::uint64_t, ConnectionId>
      established_;                                         // where each established call came, while open
  std::set<std::pair<double, ConnectionId>> close_checks_;  // when to check each connection for closing
  bool shutting_down_ = false;
  ConnectionId kept_for_ends_ = 0;  // at a shutdown; 0: none
  // Where the ends of calls without a connection of their own are reported; 0: not chosen.
  ConnectionId preferred_for_ends_ = 0;
  std::deque<PendingEnd> pending_ends_;
  double next_offer_at_ = std::numeric_limits<double>::infinity();
  CallerCounters counters_;
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CALLER_SIDE_HPP_
