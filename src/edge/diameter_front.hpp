// The Diameter front end for callers: accepts their connections, reads set-ups and terminations, and sends
// answers and cuts.
#ifndef MINTROCK_SRC_EDGE_DIAMETER_FRONT_HPP_
#define MINTROCK_SRC_EDGE_DIAMETER_FRONT_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>

#include "diameter/duplicate_cache.hpp"
#include "edge/config.hpp"
#include "edge/front.hpp"
#include "edge/peer_link.hpp"
#include "edge/pending_terminations.hpp"

namespace mintrock::edge {

struct FrontCounters {
  std::uint64_t connections = 0;  // accepted
  std::uint64_t rejected = 0;     // over the limit, from an unlisted peer, or without a CER in time
  std::uint64_t malformed = 0;    // messages
  std::uint64_t duplicates = 0;   // retransmitted requests
  std::uint64_t aborted = 0;      // ASRs sent
  std::uint64_t unconfirmed = 0;  // terminations that no core server confirmed in time
};

class DiameterFront : public Front {
 public:
  // `offer_to_core_side` is offered every connection once its CER is read. It returns true if it takes the
  // connection over, since the CER names a core server; otherwise the peer is a caller.
  // `log_connection_event` logs one event of a peer's connection: the peer, the event's name, details.
  DiameterFront(
      net::Loop& loop, const diameter::LocalNode& local, const Config& config, std::uint64_t seed,
      FrontDelegate& delegate,
      std::function<bool(const std::shared_ptr<net::Stream>&, const diameter::MessageView&, std::string_view)>
          offer_to_core_side,
      std::function<void(const std::string& peer, const char* event, const std::string& detail)>
          log_connection_event);
  ~DiameterFront() override;

  void answer(CallId call, const SetupResult& result) override;
  void cut(CallId call) override;
  void forget(CallId call) override;
  void on_release_confirmed(const std::string& session, bool ended) override;

  std::size_t pending_terminations() const { return pending_terminations_.size(); }
  void stop_listening() { listener_.reset(); }
  void stop();  // sends a DPR to every caller
  bool closed() const;
  net::Address listening() const { return listener_->local(); }
  std::size_t connections() const { return pending_connections_.size() + open_peers(); }
  std::size_t open_peers() const;
  const FrontCounters& counters() const { return counters_; }
  // The record of a call; null if the call is unknown.
  const CallRecord* record(CallId call) const;

 private:
  struct Caller {
    std::string host;
    std::unique_ptr<PeerLink> link;
    std::set<CallId> calls;
    net::TimerId hold_timer = 0;  // ends the caller's established calls unless it reconnects in time
    bool disconnected = true;     // until the capabilities exchange has succeeded
  };
  struct Call {
    RecordPtr record;
    Caller* caller = nullptr;  // not erased while it has calls
    bool answered = false;
    bool established = false;
  };
  struct PendingConnection {  // an accepted connection whose CER has not arrived
    std::shared_ptr<net::Stream> stream;
    diameter::Framer framer;
    net::TimerId timer = 0;
    explicit PendingConnection(std::uint32_t max_length) : framer(max_length) {}
  };

  void on_accepted(int fd, net::Address from);
  void on_pending_bytes(std::uint64_t id, std::string_view bytes);
  void reject_pending(std::uint64_t id, const std::string& reason);
  void assign_to_peer(const std::shared_ptr<net::Stream>& stream, const diameter::MessageView& cer,
                      std::string_view rest);
  Caller* find_or_add_caller(const std::string& host);
  void on_message(Caller& caller, const diameter::MessageView& view, bool reopening);
  void on_setup(Caller& caller, const diameter::MessageView& view, bool reopening);
  void on_termination(Caller& caller, const diameter::MessageView& view);
  void await_confirmation(Caller& caller, TerminationRequest request, const std::string& session,
                          std::uint32_t servers, bool ended_locally);
  void schedule_termination_timer();
  void answer_termination(const TerminationRequest& request, std::uint32_t result, const char* text);
  void send_if_connected(const std::string& peer, std::string bytes);
  void on_down(Caller& caller, const std::string& reason);
  void hang_up_calls(Caller& caller, bool only_unanswered);
  void erase_idle_callers();

  net::Loop& loop_;
  const diameter::LocalNode& local_;
  const Config& config_;
  std::uint64_t seed_;
  FrontDelegate& delegate_;
  std::function<bool(const std::shared_ptr<net::Stream>&, const diameter::MessageView&, std::string_view)>
      offer_to_core_side_;
  std::function<void(const std::string&, const char*, const std::string&)> log_connection_event_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::unique_ptr<PendingConnection>> pending_connections_;
  std::uint64_t last_pending_id_ = 0;
  std::map<std::string, std::unique_ptr<Caller>> callers_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::string, CallId> call_by_session_;
  diameter::DuplicateCache duplicates_;
  PendingTerminations pending_terminations_;
  net::TimerId termination_timer_ = 0;
  FrontCounters counters_;
  bool stopping_ = false;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_DIAMETER_FRONT_HPP_
