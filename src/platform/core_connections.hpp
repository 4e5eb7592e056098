// The connections to one core server and the state of the calls placed there: set-ups that wait for a
// connection, set-ups in flight and on which connection, established calls, and pending releases.
//
// Pure: does no I/O and reads no clock; it takes bytes and times, and calls CoreConnectionsDelegate. Closing
// a connection fails every set-up on it, so each set-up gets a connection of its own while the limit allows
// it, and a corrupt answer fails few others. Established calls belong to no connection: they end when the
// server reports their end on any connection, or when it is known to be gone.
#ifndef MINTROCK_SRC_PLATFORM_CORE_CONNECTIONS_HPP_
#define MINTROCK_SRC_PLATFORM_CORE_CONNECTIONS_HPP_

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "mintrock/controller.hpp"
#include "platform/connection_choice.hpp"
#include "platform/core_codec.hpp"
#include "platform/missed_end_tracker.hpp"
#include "platform/process_evidence.hpp"
#include "platform/unconfirmed_attempts.hpp"

namespace mintrock::platform {

// How a connection to a core server ended.
enum class ConnectionLoss {
  kClosedByServer,  // closed or reset by the server; some servers answer a half-close with a reset
  kRefused,         // nothing listens at the address
  kNotEstablished,  // it could not be opened
  kUnreadable,      // closed by this proxy after a malformed message; bytes behind it stay unread
};

// State changes of one connection to a core server.
enum class ConnectionChange {
  kStarted,
  kEstablished,
  kLost,            // closed or reset by the server
  kRefused,         // nothing listens at the address
  kConnectTimeout,  // closed by this proxy: not established in time
  kUnreadable,      // closed by this proxy after a malformed message
  kDoubted,         // may be of no further use (ConnectionHealth)
  kRetired,         // half-closed in favour of a new connection that probes the server
  kRetiredClosed,   // closed by this proxy: the server did not close a retired connection
  kServerGone,      // closed by this proxy: its server is taken for gone
  kServerLeft,      // closed by this proxy: its server left the list and holds no call
};

// What an answer or a release from a core server refers to.
enum class MessageOwner {
  kAttempt,          // the attempt in flight on this connection
  kAbandoned,        // an attempt that was abandoned on this connection
  kEstablishedCall,  // a call established at the server
  kUnknown,
};

class CoreConnectionsDelegate {
 public:
  virtual ~CoreConnectionsDelegate() = default;
  // Starts a connection; its result is reported by connected() or disconnected(), never before this returns.
  virtual ConnectionId connect_core(ServerId server) = 0;
  virtual void send_to_core(ConnectionId to, std::string_view bytes) = 0;
  // Closes a connection; the I/O layer reports no further events of it.
  virtual void close_core(ConnectionId which) = 0;
  // Half-closes a connection: nothing more is sent on it, but received bytes are reported until it closes.
  virtual void retire_core(ConnectionId which) = 0;
  virtual void core_call_established(const AttemptId& attempt, std::string description,
                                     const Report& report) = 0;
  virtual void core_attempt_ended(const AttemptId& attempt, Outcome outcome, Cause cause, double waited_s,
                                  const Report& report) = 0;
  // A call that was established, or that this process does not know, has ended at the server or was cut.
  virtual void core_call_ended(ServerId server, std::uint64_t id, bool cut, const Report& report) = 0;
  virtual void core_load_reported(ServerId server, const Report& report) = 0;
  virtual void core_fault(ServerId server, const char* error) = 0;  // for the log
  // The server's process is gone. This in-doubt attempt may have been established there without the proxy
  // seeing it; if so, that call has ended.
  virtual void core_unconfirmed_attempt_ended(const AttemptId& attempt) = 0;
  // For the log: the server is taken for gone, with this many established calls.
  virtual void core_gone(ServerId server, const char* reason, std::size_t established) = 0;
  // For the log: the state of one connection has changed.
  virtual void core_connection_changed(ServerId server, ConnectionId which, ConnectionChange change) = 0;
  // For the log: an answer or a release was received; its effect is reported by the callbacks above.
  virtual void core_message_received(ServerId server, ConnectionId from, const CoreMessage& message,
                                     MessageOwner owner) = 0;
};

struct CoreCounters {
  std::uint64_t connections = 0;
  std::uint64_t refused = 0;
  std::uint64_t connect_timeouts = 0;     // connections not established in time
  std::uint64_t lost = 0;                 // connections closed or reset by the server
  std::uint64_t unreadable = 0;           // connections closed by this proxy after a malformed message
  std::uint64_t late_answers = 0;         // answers of attempts that had ended
  std::uint64_t duplicate_answers = 0;    // answers of calls that were established already
  std::uint64_t unsolicited_answers = 0;  // answers with an id that no attempt in flight has
};

class CoreConnections {
 public:
  static constexpr double kStateDue = 1.0;  // s in which a server that works sends its state

  struct Settings {
    double connect_timeout_s = 0.5;
    std::size_t max_connections = 8;
    std::uint64_t seed = 0;
    double proxy_started_at = -kNever;  // s on the monotonic clock
  };
  CoreConnections(ServerId server, const Settings& settings, CoreConnectionsDelegate& delegate,
                  CoreCounters& counters)
      : server_(server),
        settings_(settings),
        delegate_(delegate),
        counters_(counters),
        random_(settings.seed) {}

  // ---- From the call manager ----
  void set_up(const AttemptId& attempt, std::uint64_t id, std::string message, double now);
  // Abandons the set-up in flight of the call, or releases the established call.
  void release_call(std::uint64_t id, double now);
  // Adds a call that its caller reports to be established at this server already.
  void take_over(std::uint64_t id, double now);

  // ---- From the server list ----
  // In the state ready, connections are kept open. In any other state, no queued set-up may be sent.
  void set_state(ServerEntry::State state, double now);
  // The start with which this server was listed first. An earlier process may have held calls that callers
  // report.
  void listed_with_start(double started_at, StartSource source);
  // A later start of this server was listed than before: what its earlier process held has ended.
  void restarted(double started_at, double now);
  // The address now belongs to another server, whose process started then (0: unknown): no new connection may
  // be opened to it.
  void address_reassigned(double started_at, double now);
  void address_restored();

  // ---- From the I/O layer ----
  void connected(ConnectionId which, double now);
  void disconnected(ConnectionId which, ConnectionLoss loss, double now);
  void received(ConnectionId from, std::string_view bytes, double now);
  void tick(double now);
  double deadline() const;

  bool idle() const { return in_flight_.empty() && established_.empty() && pending_releases_.empty(); }
  std::size_t connections() const { return connections_.size(); }
  // Set-ups that are not answered yet, including those queued for a connection.
  std::size_t in_flight() const { return in_flight_.size(); }
  std::size_t established() const { return established_.size(); }
  std::size_t pending_releases() const { return pending_releases_.size(); }
  // Calls stand at the server, which is silent: their ends may be on the way.
  bool ends_overdue(double now) const { return !established_.empty() && now >= last_line_at_ + kStateDue; }
  // Releases that were written, but may be lost if their connection fails now.
  std::size_t unconfirmed_releases(double now) const;

 private:
  using Connection = CoreConnection;
  // A set-up that is not answered yet; `message` is kept until it is written.
  struct InFlight {
    AttemptId attempt;
    ConnectionId connection = 0;
    bool written = false;
    std::string message;
  };
  struct EstablishedCall {
    // The process that holds the call was running at this time: its connection came up then, or its caller
    // reported it a little later.
    double held_since = 0;
    bool reported_by_caller = false;
    ConnectionId connection = 0;  // of its set-up; 0: not of this process
  };
  struct PendingRelease {
    std::uint64_t id = 0;
    double expires_at = 0;
  };

  Connection& open_connection(double now);
  ConnectionId select_connection(double now);
  ConnectionId any_usable() const { return first_usable(connections_); }
  // What was held before this time was held by an earlier process; at most 0: nothing was.
  double replaced_before() const { return std::max(restarted_before_, address_taken_before_); }
  bool held_by_earlier_process(const EstablishedCall& call) const;
  bool held_by_earlier_process(const Connection& connection) const;
  void handle_message(ConnectionId from, const CoreMessage& message, double now);
  void handle_answer(ConnectionId from, const CoreMessage& message);
  void handle_release(ConnectionId from, const CoreMessage& message, double now);
  MessageOwner find_owner(ConnectionId from, std::uint64_t id) const;
  void close_unreadable(ConnectionId which, const char* error, double now);
  // Removes a lost connection. Each set-up in flight on it ends once, as a reset; a queued one never ran and
  // fails as not connected.
  void remove_connection(ConnectionId which, ConnectionLoss loss, double now);
  // Sends a release on connection `on`, else on any usable one; keeps it as pending if there is none.
  void send_or_queue_release(std::uint64_t id, ConnectionId on, double now);
  void send_release(std::uint64_t id, ConnectionId on, double now);
  // Ends the attempts in flight at a server that is quiet and refuses connections, without waiting for their
  // connections to close.
  void abandon_attempts(double now);
  // Finds the connections that have become doubted, and retires doubted ones that carry no set-up.
  void review_connections(double now);
  void on_connection_doubted(ConnectionId which, double now);
  bool remove_established(std::uint64_t id) {
    missed_ends_.call_safe(id);
    return established_.erase(id) != 0;
  }
  // Marks the calls whose ends are written to this connection as at risk or as safe.
  void mark_calls(ConnectionId which, bool at_risk);
  void retire(ConnectionId which, double now);
  void close_retired_connections(double now);
  double confirmation_deadline(const Connection& connection) const;
  void end_attempt(std::uint64_t id, Outcome outcome, double now);
  ProcessEvidence evidence(ConnectionEnd latest_end = ConnectionEnd::kNone) const;
  // Ends what a process that has ended held. Returns what shows its end.
  ProcessEnd end_if_gone(double now, ConnectionEnd latest_end = ConnectionEnd::kNone);
  void end_process(ProcessEnd end, double now);
  void close_connection_of_gone(ConnectionId which, const Connection& connection, double now);
  std::map<std::uint64_t, EstablishedCall> take_calls(ProcessEnd end);
  CoreConnectionMap take_connections(ProcessEnd end);
  void report_unconfirmed_ended(double held_before, double last_line_at);
  void note_serving(double now);
  double next_probe_at() const;
  double next_review_at(const Connection& connection) const;
  bool needs_connections() const;
  void maintain_connections(double now);

  ServerId server_;
  Settings settings_;
  CoreConnectionsDelegate& delegate_;
  CoreCounters& counters_;
  ServerEntry::State state_ = ServerEntry::State::kReady;
  bool address_reassigned_ = false;
  double restarted_before_ = 0;      // by a later start of this server
  bool may_hold_earlier_ = false;    // calls or connections of an earlier process may be left
  double address_taken_before_ = 0;  // by the start of the server that has the address now
  CoreConnectionMap connections_;
  std::unordered_map<std::uint64_t, InFlight> in_flight_;
  std::unordered_map<std::uint64_t, EstablishedCall> established_;
  UnconfirmedAttempts unconfirmed_attempts_;
  std::deque<PendingRelease> pending_releases_;  // releases that no connection could carry yet
  double first_connection_at_ = kNever;          // when the first one was started
  bool heard_ = false;                           // a connection has come up
  double last_activity_ = 0;                     // when a connection came up or bytes were received
  // When a line was last received; a connection can come up though no process serves it.
  double last_line_at_ = 0;
  // When the server last showed that it serves calls: a connection came up, or it sent its state or the end
  // of a call. A server that is stopping still answers set-ups in flight, but accepts no connections and
  // sends neither its state nor ends of calls.
  double last_serving_at_ = 0;
  bool refused_ = false;  // a connection was refused after last_serving_at_
  MissedEndTracker missed_ends_;
  double retry_at_ = 0;  // no connection is opened in the background before this time
  double retry_delay_ = 0;
  std::minstd_rand random_;
  double unreachable_since_ = -1;  // since when connections time out; below 0: they don't
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CORE_CONNECTIONS_HPP_
