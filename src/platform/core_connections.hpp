// The connections to one core server, and what it holds of this proxy's calls: set-ups that wait for a
// connection, set-ups out and on which connection, calls that stand, releases that it is owed.
//
// Pure: bytes and times in, calls of CoreConnectionsDelegate out; no sockets, no clock. Closing a connection
// gives up every set-up on it, so each gets one of its own while there is room, and a spoilt answer takes few
// with it. Calls that stand belong to no connection: they end by what the server says on any, or when it is
// known to be gone.
#ifndef MINTROCK_SRC_PLATFORM_CORE_CONNECTIONS_HPP_
#define MINTROCK_SRC_PLATFORM_CORE_CONNECTIONS_HPP_

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
#include "platform/core_codec.hpp"
#include "platform/missed_end_tracker.hpp"

namespace mintrock::platform {

struct Attempt {
  CallId call = 0;
  std::uint32_t attempt = 0;
};

// How a connection to a core server ended.
enum class ConnectionLoss {
  kEnded,       // closed or reset by the other side; some servers answer an end of writing with a reset
  kRefused,     // nobody listens there
  kNotUp,       // it could not be made
  kUnreadable,  // closed here over what came on it, unread bytes behind it
};

// What becomes of one connection to a core server.
enum class ConnectionChange {
  kBegun,
  kUp,
  kLost,           // closed or reset by the other side
  kRefused,        // nobody listens there
  kNotUp,          // given up: it did not come up in time
  kUnreadable,     // closed here over what came on it
  kRetired,        // no more used, for a new one that shows whether the server lives
  kRetiredClosed,  // closed here: the server did not close it though it was retired
  kServerGone,     // closed here, since its server is taken for gone
  kServerLeft,     // closed here, since its server left the list and holds nothing
};

// What an answer or a release of a core server belongs to.
enum class MessageOwner {
  kAttempt,   // the attempt that is out on this connection
  kGivenUp,   // an attempt that was given up on this connection
  kStanding,  // a call that stands there
  kUnknown,
};

class CoreConnectionsDelegate {
 public:
  virtual ~CoreConnectionsDelegate() = default;
  // Begins a connection; what becomes of it is told by up() or down(), never before this returns.
  virtual ConnectionId connect_core(ServerId server) = 0;
  virtual void send_to_core(ConnectionId to, std::string_view bytes) = 0;
  virtual void close_core(ConnectionId which) = 0;  // the shell tells nothing of it any more
  // Nothing more is sent on it; what the server still says on it is told until it closes.
  virtual void retire_core(ConnectionId which) = 0;
  virtual void core_stood(const Attempt& who, std::string description, const Report& report) = 0;
  virtual void core_ended(const Attempt& who, Outcome outcome, Cause cause, double waited_s,
                          const Report& report) = 0;
  // A call that stood, or that this proxy knows nothing of, has ended there, or was cut.
  virtual void core_over(ServerId server, std::uint64_t id, bool cut, const Report& report) = 0;
  virtual void core_load(ServerId server, const Report& report) = 0;
  virtual void core_fault(ServerId server, const char* what) = 0;  // for the log
  // The server's process is gone; this attempt may have run there unseen, and that run is over now.
  virtual void core_run_over(const Attempt& who) = 0;
  // For the log: it is taken for gone, with this many calls that stood.
  virtual void core_gone(ServerId server, const char* why, std::size_t standing) = 0;
  // Likewise: the state of one connection has changed.
  virtual void core_connection(ServerId server, ConnectionId which, ConnectionChange change) = 0;
  // Likewise: an answer or a release has come; what becomes of it is told apart.
  virtual void core_message(ServerId server, ConnectionId from, const CoreMessage& message,
                            MessageOwner owner) = 0;
};

struct CoreCounters {
  std::uint64_t connections = 0;
  std::uint64_t refused = 0;
  std::uint64_t not_up = 0;    // connections that did not come up in time
  std::uint64_t lost = 0;      // connections closed or reset by the other side
  std::uint64_t spoilt = 0;    // connections closed here over what came on them
  std::uint64_t late = 0;      // answers of attempts that were over
  std::uint64_t doubled = 0;   // answers of calls that stand
  std::uint64_t stranger = 0;  // answers under an id that nothing is out for
};

class CoreConnections {
 public:
  struct Settings {
    double connect_s = 0.5;
    std::size_t most = 8;  // connections
    std::uint64_t seed = 0;
  };
  CoreConnections(ServerId server, const Settings& settings, CoreConnectionsDelegate& ports,
                  CoreCounters& counts)
      : server_(server), settings_(settings), ports_(ports), counts_(counts), random_(settings.seed) {}

  // ---- From the desk ----
  void set_up(const Attempt& who, std::uint64_t id, std::string line, double now);
  // Frees what the server holds of the call: a set-up is given up, a call that stands is cut.
  void give_up(std::uint64_t id, double now);
  // It stands there already: known from its caller.
  void take_over(std::uint64_t id) {
    standing_.insert(id);
    repeats_.former_life_had_calls();
  }

  // ---- From the list ----
  // Ready: connections are kept up. Otherwise nothing that waits may go out any more.
  void set_state(ServerEntry::State state, double now);
  // Its address is another server's now: no new connection may be made there.
  void moved_away(double now);
  void moved_back() { address_lost_ = false; }

  // ---- From the shell ----
  void up(ConnectionId which, double now);
  void down(ConnectionId which, ConnectionLoss loss, double now);
  void received(ConnectionId from, std::string_view bytes, double now);
  void tick(double now);
  double deadline() const;

  bool idle() const { return out_.empty() && standing_.empty() && owed_.empty(); }
  std::size_t connections() const { return connections_.size(); }
  std::size_t out() const { return out_.size(); }
  std::size_t standing() const { return standing_.size(); }
  std::size_t owed() const { return owed_.size(); }
  // Releases that were written, but may not have arrived if their connection ended now.
  std::size_t releases_in_doubt(double now) const;

 private:
  struct Released {
    std::uint64_t id = 0;
    double at = 0;
  };
  struct Connection {
    bool up = false;
    bool spoke = false;    // a line has come on it
    bool retired = false;  // nothing more goes out on it; the server's last words are read
    double retired_at = 0;
    double since = 0;  // begun
    double up_since = 0;
    LineSplitter cutter;
    std::set<std::uint64_t> open;       // set-ups written, unanswered
    std::deque<std::uint64_t> waiting;  // set-ups to be written once it is up
    std::unordered_set<std::uint64_t>
        given_up;                   // answers of these are late; bounded by the connection's life
    std::deque<Released> released;  // lately, and not heard by the server yet as far as is known
  };
  struct Out {
    Attempt who;
    ConnectionId on = 0;
    bool written = false;
    std::string line;
  };
  // An attempt that is over here, though the server may hold what came of it.
  struct Unsettled {
    Attempt who;
    std::uint64_t id = 0;
    double since = 0;
  };
  struct Owed {
    std::uint64_t id = 0;
    double until = 0;
  };

  Connection& open_connection(double now);
  ConnectionId pick(double now);
  ConnectionId any_up() const;
  void take(ConnectionId from, const CoreMessage& message, double now);
  void take_answer(ConnectionId from, const CoreMessage& message);
  void take_release(ConnectionId from, const CoreMessage& message, double now);
  MessageOwner owner(ConnectionId from, std::uint64_t id) const;
  void spoilt(ConnectionId which, const char* what, double now);
  // The connection is gone: what was out on it is a reset each, once; what waited goes elsewhere or never
  // ran.
  void drop(ConnectionId which, ConnectionLoss loss, double now);
  void release(std::uint64_t id, ConnectionId on, double now);
  void send_release(std::uint64_t id, ConnectionId on, double now);
  // Attempts at a server that takes no connections and has gone quiet are resets, before their connections
  // go.
  void give_up_attempts(double now);
  void retire_one(double now);
  void close_retired(double now);
  std::size_t in_use() const;  // connections that are not retired
  double settles_by(const Connection& connection) const;
  void end(std::uint64_t id, Outcome outcome, double now);
  void dead(const char* why, double now);
  void note_unsettled(const Attempt& who, std::uint64_t id, double now);
  void settle_attempts(std::uint64_t id);
  void tell_runs_over();
  void note_serves(double now);
  double probe_at() const;
  double silence_ends_at() const;
  bool wanted() const;
  void keep_up(double now);

  ServerId server_;
  Settings settings_;
  CoreConnectionsDelegate& ports_;
  CoreCounters& counts_;
  ServerEntry::State state_ = ServerEntry::State::kReady;
  bool address_lost_ = false;
  std::map<ConnectionId, Connection> connections_;
  std::unordered_map<std::uint64_t, Out> out_;
  std::unordered_set<std::uint64_t> standing_;
  std::deque<Unsettled> unsettled_;
  std::deque<Owed> owed_;  // releases that no connection could carry yet
  double heard_ = 0;       // when anything came from it
  double spoke_ = 0;       // when a line last came; a connection may come up though nobody serves it
  // When it last showed that it serves: a connection came up, or it told its state or the end of a call. One
  // that stops answers what is out, takes no connections, and tells neither.
  double serves_ = 0;
  bool refused_ = false;  // a connection was, since then
  MissedEndTracker repeats_;
  double retry_at_ = 0;  // no connection is begun by itself before this
  double retry_gap_ = 0;
  std::minstd_rand random_;
  double silent_since_ = -1;  // connections have not come up since then; below 0: they do
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CORE_CONNECTIONS_HPP_
