// Tracks what one core server may hold of the proxy's calls, across lost connections and restarts: set-ups
// queued for a connection, set-ups in flight, established calls, answers to attempts that were given up, and
// pending releases.
//
// Does no I/O and reads no clock: takes events with their times and returns what is to be sent and what has
// ended. Sessions outlive connections (RFC 6733 section 8). A server that reconnects with the same
// Origin-State-Id still holds its calls and is sent the releases that it missed. If it reconnects with
// another one, or not within the hold time, its calls are cut.
#ifndef MINTROCK_SRC_EDGE_CORE_SESSIONS_HPP_
#define MINTROCK_SRC_EDGE_CORE_SESSIONS_HPP_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "edge/credit_control.hpp"
#include "mintrock/controller.hpp"

namespace mintrock::edge {

using RecordPtr = std::shared_ptr<const CallRecord>;

class CoreSessions {
 public:
  struct Settings {
    double connect_s = 0.5;         // how long a set-up waits for a connection
    double session_hold_s = 2;      // how long established calls outlive their connection
    double linger_s = 30;           // how long given-up requests and pending releases are kept
    std::size_t max_kept = 100000;  // bound on each of those two
  };
  explicit CoreSessions(const Settings& settings) : settings_(settings) {}

  struct Attempt {
    CallId call = 0;
    std::uint32_t number = 0;  // of the attempt within its call, from 0
    bool operator<(const Attempt& other) const {
      return call != other.call ? call < other.call : number < other.number;
    }
  };
  struct QueuedSetup {
    Attempt attempt;
    double give_up_at = 0;  // when the call manager gives the attempt up
    double wait_until = 0;  // when waiting for the connection ends
    RecordPtr record;
  };

  // ---- Set-ups that wait for a connection ----
  void queue_setup(Attempt attempt, double give_up_after_s, RecordPtr record, double now);
  // Removes all queued set-ups and returns their attempts, which have ended: the server list took the server
  // out of service, or the server refuses connections.
  std::vector<Attempt> drop_queued();
  // Removes and returns the queued set-ups, to be sent over the connection that is now established.
  std::vector<QueuedSetup> take_queued();

  // ---- Requests over the connection ----
  void on_setup_sent(Attempt attempt, RecordPtr record, std::uint32_t hop_by_hop);
  void on_release_sent(RecordPtr record, std::uint32_t hop_by_hop, double now);
  // Keeps a release that can't be sent for lack of a connection.
  void queue_release(RecordPtr record, double now);
  // The proxy ends the attempt, or the call that it became. Returns true if a release must be sent or queued,
  // false if the server holds nothing of it.
  bool end_attempt(Attempt attempt, const std::string& session_id, double now);

  struct Answer {
    enum class Kind {
      kUnexpected,  // unsolicited or duplicate
      kRelease,
      kLate,             // to the set-up of an attempt that has ended
      kLateEstablished,  // the same, and the server holds the call: a release must be sent
      kSetup
    };
    Kind kind = Kind::kUnexpected;
    Attempt attempt;
    RecordPtr record;
  };
  Answer on_answer(std::uint32_t hop_by_hop, const std::string& session_id, bool established);
  // The server ends a session on its own (ASR). Returns the attempt; none if the session is unknown.
  std::optional<Attempt> on_abort(const std::string& session_id, double now);

  // ---- The connection ----
  // Returns the attempts that were in flight, which have ended.
  std::vector<Attempt> on_connection_lost(double now);
  struct Reconnection {
    std::vector<Attempt> cut;                  // established at a previous process of the server
    std::vector<RecordPtr> releases_to_send;   // to be sent before anything else
    std::vector<RecordPtr> obsolete_releases;  // for a previous process: nothing is held any longer
  };
  Reconnection on_connected(std::uint32_t origin_state, double now);

  // ---- Time ----
  // When `tick` is due next; infinity: never.
  double deadline() const;
  struct Expired {
    std::vector<Attempt> no_connection;  // no connection within connect_s
    std::vector<Attempt> cut;  // established, and the server did not reconnect within session_hold_s
  };
  Expired tick(double now);

  // Whether any session or queued set-up is left.
  bool in_use() const { return !sessions_.empty() || !queued_.empty(); }
  std::size_t established() const { return established_; }
  std::size_t in_flight() const { return sessions_.size() - established_; }
  std::size_t pending_requests() const { return pending_requests_.size(); }
  std::size_t pending_releases() const { return pending_releases_.size(); }

 private:
  struct Session {  // an attempt in flight, or the established call that it became
    Attempt attempt;
    bool established = false;
    std::uint32_t hop_by_hop = 0;  // of the set-up request
    RecordPtr record;
  };
  struct PendingRequest {
    Attempt attempt;
    bool is_release = false;  // false: a set-up
    bool given_up = false;    // its answer is no longer awaited
    RecordPtr record;
  };
  struct PendingRelease {
    RecordPtr record;
    double expires_at = 0;
  };
  using Sessions = std::unordered_map<std::string, Session>;
  void erase_session(Sessions::iterator session);
  void give_up_setup(const Session& session, double now);
  void expire_later(std::uint32_t hop_by_hop, double now);
  std::vector<Attempt> cut_all(double now);

  Settings settings_;
  std::deque<QueuedSetup> queued_;
  Sessions sessions_;  // by Session-Id
  std::size_t established_ = 0;
  std::unordered_map<std::uint32_t, PendingRequest> pending_requests_;  // by hop-by-hop ID
  std::deque<std::pair<double, std::uint32_t>> expiring_requests_;      // expiry and hop-by-hop ID
  std::deque<PendingRelease> pending_releases_;
  std::uint32_t origin_state_id_ = 0;
  double hold_until_ = 0;  // when established calls are cut; 0: connected, or there are none
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CORE_SESSIONS_HPP_
