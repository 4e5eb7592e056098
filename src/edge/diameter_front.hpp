// The callers' side in Diameter: connections, peers, set-ups and ends of calls, answers and cuts.
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
#include "edge/endings.hpp"
#include "edge/front.hpp"
#include "edge/peer_link.hpp"

namespace mintrock::edge {

struct FrontCounts {
  std::uint64_t connections = 0;  // accepted
  std::uint64_t rejected = 0;     // over the limit, not from a listed peer, or without a CER in time
  std::uint64_t bad = 0;          // malformed messages
  std::uint64_t duplicates = 0;   // requests that came again
  std::uint64_t aborted = 0;      // ASRs sent
  std::uint64_t unconfirmed = 0;  // ends that no core server confirmed in time
};

class DiameterFront : public Front {
 public:
  // `core_connection` is offered connections whose CER names no caller, in case a core server called.
  // `event` is told one line of the log: a peer, a name for the event, details.
  DiameterFront(
      net::Loop& loop, const diameter::LocalNode& local, const Config& config, std::uint64_t seed,
      Switchboard& board,
      std::function<bool(const std::shared_ptr<net::Stream>&, const diameter::MessageView&, std::string_view)>
          core_connection,
      std::function<void(const std::string& peer, const char* event, const std::string& detail)> event);
  ~DiameterFront() override;

  void answer(CallId call, const Verdict& verdict) override;
  void cut(CallId call) override;
  void forget(CallId call) override;
  void released(const std::string& session, bool ended) override;

  std::size_t ends_open() const { return endings_.size(); }
  void stop_listening() { listener_.reset(); }
  void stop();  // DPR to all
  bool closed() const;
  net::Address listening() const { return listener_->local(); }
  std::size_t connections() const { return gates_.size() + open_peers(); }
  std::size_t open_peers() const;
  const FrontCounts& counts() const { return counts_; }
  // Session and caller of a call, for those who look.
  const CallRecord* record(CallId call) const;

 private:
  struct Caller {
    std::string host;
    std::unique_ptr<PeerLink> link;
    std::set<CallId> calls;
    net::TimerId hold = 0;
    bool gone = true;  // not connected: from the start, until its capabilities are accepted
  };
  struct Open {
    RecordPtr record;
    Caller* caller = nullptr;  // lives as long as it has calls
    bool answered = false;
    bool stands = false;
  };
  struct Gate {  // a connection before its CER
    std::shared_ptr<net::Stream> stream;
    diameter::Framer framer;
    net::TimerId timer = 0;
    explicit Gate(std::uint32_t max_length) : framer(max_length) {}
  };

  void accepted(int fd, net::Address from);
  void gate_bytes(std::uint64_t gate, std::string_view bytes);
  void drop_gate(std::uint64_t gate, const std::string& why);
  void introduce(const std::shared_ptr<net::Stream>& stream, const diameter::MessageView& cer,
                 std::string_view rest);
  Caller* caller(const std::string& host);
  void on_message(Caller& caller, const diameter::MessageView& view, bool reopening);
  void on_setup(Caller& caller, const diameter::MessageView& view, bool reopening);
  void on_end(Caller& caller, const diameter::MessageView& view);
  void await_end(Caller& caller, EndRequest request, const std::string& session, std::uint32_t servers,
                 bool known);
  void watch_ends();
  void answer_end(const EndRequest& request, std::uint32_t result, const char* text);
  void send_to(const std::string& peer, std::string bytes);
  void on_down(Caller& caller, const std::string& why);
  void end_calls(Caller& caller, bool only_unanswered);
  void sweep();

  net::Loop& loop_;
  const diameter::LocalNode& local_;
  const Config& config_;
  std::uint64_t seed_;
  Switchboard& board_;
  std::function<bool(const std::shared_ptr<net::Stream>&, const diameter::MessageView&, std::string_view)>
      core_connection_;
  std::function<void(const std::string&, const char*, const std::string&)> event_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::uint64_t, std::unique_ptr<Gate>> gates_;
  std::uint64_t last_gate_ = 0;
  std::map<std::string, std::unique_ptr<Caller>> callers_;
  std::unordered_map<CallId, Open> open_;
  std::unordered_map<std::string, CallId> sessions_;
  diameter::DuplicateCache duplicates_;
  Endings endings_;
  net::TimerId ends_timer_ = 0;
  FrontCounts counts_;
  bool stopping_ = false;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_DIAMETER_FRONT_HPP_
