// What one core server may hold of this proxy's calls, through lost connections and restarts: set-ups that
// wait for a connection, set-ups out, calls that stand, answers that nobody waits for any more, and releases
// that are owed.
//
// Pure: events and times in, what is to be sent and what has ended out. Sessions outlive connections (RFC
// 6733 section 8): a server that comes back with the same Origin-State-Id still holds its calls, and is sent
// the releases that it missed; with another one, or not within the hold time, its calls are cut.
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
    double connect_s = 0.5;         // a set-up waits so long for a connection
    double session_hold_s = 2;      // standing calls outlive their connection for so long
    double linger_s = 30;           // answers nobody waits for, and owed releases, are known for so long
    std::size_t max_kept = 100000;  // of each of those
  };
  explicit CoreSessions(const Settings& settings) : settings_(settings) {}

  struct Attempt {
    CallId call = 0;
    std::uint32_t number = 0;
    bool operator<(const Attempt& other) const {
      return call != other.call ? call < other.call : number < other.number;
    }
  };
  struct QueuedSetup {
    Attempt attempt;
    double give_up_at = 0;
    double wait_until = 0;
    RecordPtr record;
  };

  // ---- Set-ups that wait for a connection ----
  void queue_setup(Attempt attempt, double give_up_after_s, RecordPtr record, double now);
  // They are told over, all of them: the list closed the server, or it takes no connections.
  std::vector<Attempt> drop_queued();
  // Those that may go out now that the connection stands.
  std::vector<QueuedSetup> take_queued();

  // ---- Requests over the connection ----
  void on_setup_sent(Attempt attempt, RecordPtr record, std::uint32_t hop_by_hop);
  void on_release_sent(RecordPtr record, std::uint32_t hop_by_hop, double now);
  // A release that meets no connection.
  void queue_release(RecordPtr record, double now);
  // The attempt, or the call that it became, is over for this proxy. True: a release must be sent or owed;
  // false: the server holds nothing of it.
  bool end_attempt(Attempt attempt, const std::string& session_id, double now);

  struct Answer {
    enum class Kind {
      kUnexpected,  // to no request, or a second one
      kRelease,
      kLate,             // of an attempt that is over
      kLateEstablished,  // the same, and the server holds it: a release must be sent
      kSetup
    };
    Kind kind = Kind::kUnexpected;
    Attempt attempt;
    RecordPtr record;
  };
  Answer on_answer(std::uint32_t hop_by_hop, const std::string& session_id, bool established);
  // The server ends a session by itself (ASR).
  std::optional<Attempt> on_abort(const std::string& session_id, double now);

  // ---- The connection ----
  // Lost: the attempts that are over by it.
  std::vector<Attempt> on_connection_lost(double now);
  struct Reconnection {
    std::vector<Attempt> cut;                 // calls that stood at a process that is no more
    std::vector<RecordPtr> releases_to_send;  // to be sent before anything else
    std::vector<RecordPtr>
        obsolete_releases;  // owed to a process that is no more: nothing is held any longer
  };
  Reconnection on_connected(std::uint32_t origin_state, double now);

  // ---- Time ----
  // When `tick` is due; infinite: never.
  double deadline() const;
  struct Expired {
    std::vector<Attempt> no_connection;  // waited long enough
    std::vector<Attempt> cut;            // stood, and the server did not come back
  };
  Expired tick(double now);

  bool in_use() const { return !sessions_.empty() || !queued_.empty(); }
  std::size_t established() const { return established_; }
  std::size_t in_flight() const { return sessions_.size() - established_; }
  std::size_t pending_requests() const { return pending_requests_.size(); }
  std::size_t pending_releases() const { return pending_releases_.size(); }

 private:
  struct Session {  // an attempt, or the standing call that it became
    Attempt attempt;
    bool established = false;
    std::uint32_t hop_by_hop = 0;  // of its set-up
    RecordPtr record;
  };
  struct PendingRequest {
    Attempt attempt;
    bool is_release = false;  // else a set-up
    bool given_up = false;    // nobody waits for it any more
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
  Sessions sessions_;  // by session
  std::size_t established_ = 0;
  std::unordered_map<std::uint32_t, PendingRequest> pending_requests_;  // by hop-by-hop id
  std::deque<std::pair<double, std::uint32_t>> expiring_requests_;
  std::deque<PendingRelease> pending_releases_;
  std::uint32_t origin_state_id_ = 0;
  double hold_until_ = 0;  // 0: connected, or nothing to hold
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CORE_SESSIONS_HPP_
