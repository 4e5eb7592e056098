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
    double connect_s = 0.5;     // a set-up waits so long for a connection
    double session_hold_s = 2;  // standing calls outlive their connection for so long
    double linger_s = 30;       // answers nobody waits for, and owed releases, are known for so long
    std::size_t most = 100000;  // of each of those
  };
  explicit CoreSessions(const Settings& settings) : settings_(settings) {}

  struct Attempt {
    CallId call = 0;
    std::uint32_t attempt = 0;
    bool operator<(const Attempt& other) const {
      return call != other.call ? call < other.call : attempt < other.attempt;
    }
  };
  struct Waiting {
    Attempt who;
    double give_up_at = 0;
    double until = 0;
    RecordPtr record;
  };

  // ---- Set-ups that wait for a connection ----
  void wait(Attempt who, double give_up_after_s, RecordPtr record, double now);
  // They are told over, all of them: the list closed the server, or it takes no connections.
  std::vector<Attempt> drop_waiting();
  // Those that may go out now that the connection stands.
  std::vector<Waiting> take_waiting();

  // ---- Requests over the connection ----
  void sent_setup(Attempt who, RecordPtr record, std::uint32_t hop_by_hop);
  void sent_release(RecordPtr record, std::uint32_t hop_by_hop, double now);
  // A release that meets no connection.
  void owe(RecordPtr record, double now);
  // The attempt, or the call that it became, is over for this proxy. True: a release must be sent or owed;
  // false: the server holds nothing of it.
  bool over(Attempt who, const std::string& session, double now);

  struct Answer {
    enum class Kind {
      kUnexpected,  // to no request, or a second one
      kOfRelease,
      kLate,           // of an attempt that is over
      kLateAndStands,  // the same, and the server holds it: a release must be sent
      kOfSetup
    };
    Kind kind = Kind::kUnexpected;
    Attempt who;
    RecordPtr record;
  };
  Answer answered(std::uint32_t hop_by_hop, const std::string& session, bool stands);
  // The server ends a session by itself (ASR).
  std::optional<Attempt> aborted(const std::string& session, double now);

  // ---- The connection ----
  // Lost: the attempts that are over by it.
  std::vector<Attempt> lost(double now);
  struct Back {
    std::vector<Attempt> cut;         // calls that stood at a process that is no more
    std::vector<RecordPtr> releases;  // to be sent before anything else
    std::vector<RecordPtr> released;  // owed to a process that is no more: nothing is held any longer
  };
  Back back(std::uint32_t origin_state, double now);

  // ---- Time ----
  // When `tick` is due; infinite: never.
  double deadline() const;
  struct Over {
    std::vector<Attempt> no_connection;  // waited long enough
    std::vector<Attempt> cut;            // stood, and the server did not come back
  };
  Over tick(double now);

  bool holds() const { return !legs_.empty() || !waiting_.empty(); }
  std::size_t standing() const { return standing_; }
  std::size_t out() const { return legs_.size() - standing_; }
  std::size_t pending() const { return pending_.size(); }
  std::size_t owed() const { return owed_.size(); }

 private:
  struct Leg {  // an attempt, or the standing call that it became
    Attempt who;
    bool stands = false;
    std::uint32_t hop_by_hop = 0;  // of its set-up
    RecordPtr record;
  };
  struct Pending {
    Attempt who;
    bool release = false;   // else a set-up
    bool given_up = false;  // nobody waits for it any more
    RecordPtr record;
  };
  struct Owed {
    RecordPtr record;
    double until = 0;
  };
  using Legs = std::unordered_map<std::string, Leg>;
  void erase(Legs::iterator leg);
  void give_up(const Leg& leg, double now);
  void linger(std::uint32_t hop_by_hop, double now);
  std::vector<Attempt> cut_all(double now);

  Settings settings_;
  std::deque<Waiting> waiting_;
  Legs legs_;  // by session
  std::size_t standing_ = 0;
  std::unordered_map<std::uint32_t, Pending> pending_;  // by hop-by-hop id
  std::deque<std::pair<double, std::uint32_t>> lingering_;
  std::deque<Owed> owed_;
  std::uint32_t origin_state_ = 0;
  double hold_until_ = 0;  // 0: connected, or nothing to hold
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CORE_SESSIONS_HPP_
