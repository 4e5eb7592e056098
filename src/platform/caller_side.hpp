// The callers of an edge proxy: their connections, whose set-up is open on which, what is answered where, the
// ends of calls that stand and are told on any connection, and which connections are closed.
//
// Pure: bytes and times in, calls of CallerSideDelegate out; no sockets, no clock. Connections are numbers
// that the shell gives. Bounded: by the connections that the shell admits, the calls that the shell takes,
// and the ends that are kept for want of a connection.
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

#include "platform/caller_codec.hpp"

namespace mintrock::platform {

using ConnectionId = std::uint64_t;  // never used again

// Why this proxy closes a caller's connection.
enum class CloseReason { kSilent, kIdle, kEvicted, kInvalidMessages, kShutdown };

class CallerSideDelegate {
 public:
  virtual ~CallerSideDelegate() = default;
  virtual void send_to_caller(ConnectionId to, std::string_view bytes) = 0;
  // What was written arrives; the shell calls nothing of this connection's any more.
  virtual void close_caller(ConnectionId which) = 0;
  // Bytes have arrived on it that were not handed to received() yet: maybe a set-up.
  virtual bool has_unread(ConnectionId which) = 0;
  // A set-up to be answered, once, by answer() or refuse(), maybe before this returns. A fault's name where
  // it can't be taken; then nothing more is owed for it.
  virtual const char* offer(CallSetup setup) = 0;
  // A call that stands at a core server already is made known.
  virtual const char* take_over(const CallSetup& setup) = 0;
  // The caller gives a set-up up, or releases a call that stands. False: it is not known.
  virtual bool hang_up(std::uint64_t id) = 0;
  virtual void caller_fault(ConnectionId from, const char* what) = 0;  // for the log
  // Likewise: a connection is closed here, with this many calls on it that stand.
  virtual void caller_closed(ConnectionId which, CloseReason reason, std::size_t standing) = 0;
  // Likewise: the end of a call that stood was written to a connection; 0: kept until there is one.
  virtual void end_reported(std::uint64_t id, ConnectionId to) = 0;
};

struct CallerCounters {
  std::uint64_t connections = 0;
  std::uint64_t messages = 0;
  std::uint64_t setups = 0;
  std::uint64_t faults = 0;
  std::uint64_t duplicates = 0;     // the id of an open set-up
  std::uint64_t closed_silent = 0;  // nothing usable came in time
  std::uint64_t closed_idle = 0;
  std::uint64_t evicted = 0;
  std::uint64_t ends_queued = 0;   // told later, for want of a connection
  std::uint64_t ends_dropped = 0;  // never told
  std::uint64_t ends_resent = 0;   // told again, since their connection was lost
};

class CallerSide {
 public:
  explicit CallerSide(CallerSideDelegate& delegate) : delegate_(delegate) {}

  // ---- From the shell ----
  void opened(ConnectionId which, double now);
  void received(ConnectionId from, std::string_view bytes, double now);
  void lost(ConnectionId which, double now);
  void tick(double now);
  double deadline() const;
  // The connection to close for a new one when there is no room: the one that has said nothing for longest,
  // else the one that has carried nothing for longest; those whose calls stand after these, those with a
  // message half arrived last. 0: each has an open set-up, or bytes that were not read yet.
  ConnectionId eviction_candidate() const;
  void evict(ConnectionId which);
  // The process ends: each connection falls due once nothing on it is owed an answer or has begun to arrive.
  void begin_shutdown();
  void close_all();

  // ---- From the desk ----
  void answer(std::uint64_t id, std::string_view description, double now);
  void refuse(std::uint64_t id, int cause, std::optional<std::uint32_t> retry_after_ms, double now);
  // A call that stood is over: told on the connection that it came on, else on any that calls came on, kept
  // until there is one.
  void report_end(std::uint64_t id, int cause, double now);

  // Ends of calls that no connection could carry yet.
  std::size_t pending_ends() const { return ends_.size(); }
  std::size_t connections() const { return connections_.size(); }
  std::size_t open_setups() const { return open_.size(); }
  std::size_t established() const { return standing_.size(); }
  std::size_t unsent_ends() const { return ends_.size(); }
  const CallerCounters& counters() const { return counters_; }

 private:
  // An end that was written to a connection, and may be lost with it.
  struct ToldEnd {
    std::uint64_t id = 0;
    int cause = 0;
    double at = 0;
  };
  struct Connection {
    MessageParser cutter;
    std::deque<ToldEnd> told;          // lately, and not heard by the caller as far as is known
    std::set<std::uint64_t> open;      // set-ups that are owed an answer here
    std::set<std::uint64_t> standing;  // calls that came on it and stand: its caller waits for their ends
    double since = 0;
    double active = 0;      // when it last carried something of a call's
    double partial = 0;     // since when a message has been arriving, where one is
    bool answered = false;  // something was said to it: its caller is not kept waiting
    bool carries = false;   // usable set-ups came on it: ends of calls may be told here
    bool served = false;    // and one was served: no doubt that it is a caller's
    std::uint32_t faults = 0;
    std::uint32_t put_off = 0;  // times that its close was, for what had arrived unread
    double due = std::numeric_limits<double>::infinity();  // its place in due_
  };
  struct End {
    std::uint64_t id = 0;
    int cause = 0;
    double until = 0;
  };

  void take(ConnectionId from, const CallerMessage& message, double now);
  void take_setup(ConnectionId from, const CallerMessage& message, double now);
  // Answers what can't be used, and closes the connection that keeps sending it.
  void fault(ConnectionId from, std::uint64_t id, const char* what);
  void close(ConnectionId which, CloseReason reason);
  bool put_off_close(ConnectionId which, double now);
  void tell_end(std::uint64_t id, int cause, ConnectionId to, double now);
  // The connection is no more: its callers have gone. What it held is returned.
  Connection remove(ConnectionId which);
  // The call stands, or is known to stand: its end is told here while this connection lasts.
  void stands(std::uint64_t id, ConnectionId on, Connection& connection);
  void stands_no_more(std::uint64_t id, double now);
  // The final answer of an open set-up goes to the connection that it is owed on; 0: none is owed.
  ConnectionId settle(std::uint64_t id, std::string_view bytes, double now);
  Connection* find(ConnectionId which);
  void carry(ConnectionId which, Connection& connection, double now);
  double due_of(const Connection& connection) const;
  void watch(ConnectionId which, Connection& connection);

  CallerSideDelegate& delegate_;
  std::unordered_map<ConnectionId, Connection> connections_;
  std::unordered_map<std::uint64_t, ConnectionId> open_;      // where each open set-up is owed its answer
  std::unordered_map<std::uint64_t, ConnectionId> standing_;  // where each call that stands came, while open
  std::set<std::pair<double, ConnectionId>> due_;             // when each quiet connection is looked at
  bool leaving_ = false;
  ConnectionId teller_ = 0;  // where ends are told; 0: to be looked for
  std::deque<End> ends_;
  CallerCounters counters_;
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CALLER_SIDE_HPP_
