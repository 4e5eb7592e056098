// The edge proxy on the users' platform: joins the desk, the callers' side, the links to core servers, the
// event bus and the other proxies on one loop. Nothing is decided here.
#ifndef MINTROCK_SRC_PLATFORM_PLATFORM_EDGE_HPP_
#define MINTROCK_SRC_PLATFORM_PLATFORM_EDGE_HPP_

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "edge/call_desk.hpp"
#include "list/client.hpp"
#include "list/event_order.hpp"
#include "list/pool_list.hpp"
#include "net/loop.hpp"
#include "platform/caller_side.hpp"
#include "platform/config.hpp"
#include "platform/core_links.hpp"

namespace mintrock::platform {

// How the descriptors that this process may hold are shared out.
struct DescriptorBudget {
  explicit DescriptorBudget(std::uint32_t sockets);
  std::size_t callers;  // connections from callers, those that close among them
  std::size_t core;     // connections to core servers
  std::size_t for_server(std::size_t servers) const;
};

class PlatformEdge : public edge::DeskPorts, public CallerPorts, public CorePorts {
 public:
  PlatformEdge(net::Loop& loop, Config config, std::string config_file);
  ~PlatformEdge() override;

  void start();
  void reload();  // the configuration file was replaced
  void drain();   // what is open is answered, then the loop stops

  net::Address listening() const { return listener_->local(); }
  const CallerSide& callers() const { return callers_; }
  const edge::CallDesk& desk() const { return desk_; }
  const CoreCounts& core_counts() const { return core_counts_; }
  std::size_t servers() const { return cores_.size(); }
  std::size_t calls() const { return calls_.size(); }

 private:
  struct Call {
    std::uint64_t id = 0;
    std::string service_class;
    std::string number;
    std::string description;
    std::string answer;            // the core server's description
    int end_cause = kCauseNormal;  // of its end, once it stood
    ServerId server = 0;           // where it stands
  };
  struct Core {
    net::Address address;
    std::string identity;
    ServerEntry::State state = ServerEntry::State::kReady;
    std::unique_ptr<CoreLinks> links;
  };
  struct CoreStream {
    ServerId server = 0;
    std::shared_ptr<net::Stream> stream;
  };

  // ---- DeskPorts ----
  void answer(CallId call, const edge::Verdict& verdict) override;
  void cut(CallId call) override;
  edge::Handover send_setup(CallId call, std::uint32_t attempt, ServerId server,
                            double give_up_after_s) override;
  void release(CallId call, std::uint32_t attempt, ServerId server) override;
  void forget(CallId call) override;
  void subscribe() override {}  // the event bus is read from the start
  void tell_peer(std::uint32_t peer, const std::vector<Hearsay>& hearsay) override;
  void log(const std::string& text) override;

  // ---- CallerPorts ----
  void send_to_caller(ConnectionId to, std::string_view bytes) override;
  void close_caller(ConnectionId which) override;
  bool has_unread(ConnectionId which) override;
  const char* offer(CallSetup setup) override;
  const char* take_over(const CallSetup& setup) override;
  bool hang_up(std::uint64_t id) override;
  void caller_fault(ConnectionId from, const char* what) override;
  void caller_closed(ConnectionId which, CloseReason reason, std::size_t standing) override;
  void end_told(std::uint64_t id, ConnectionId to) override;

  // ---- CorePorts ----
  ConnectionId connect_core(ServerId server) override;
  void send_to_core(ConnectionId to, std::string_view bytes) override;
  void close_core(ConnectionId which) override;
  void retire_core(ConnectionId which) override;
  void core_stood(const Attempt& who, std::string description, const Report& report) override;
  void core_ended(const Attempt& who, Outcome outcome, Cause cause, double waited_s,
                  const Report& report) override;
  void core_over(ServerId server, std::uint64_t id, bool cut, const Report& report) override;
  void core_load(ServerId server, const Report& report) override;
  void core_fault(ServerId server, const char* what) override;
  void core_run_over(const Attempt& who) override;
  void core_gone(ServerId server, const char* why, std::size_t standing) override;
  void core_connection(ServerId server, ConnectionId which, ConnectionChange change) override;
  void core_message(ServerId server, ConnectionId from, const CoreMessage& message,
                    MessageOwner owner) override;

  void on_accept(int fd, net::Address from);
  void on_event(const list::SseEvent& event);
  void take_news(const TopologyEvent& event);
  void on_datagram(std::string_view bytes, net::Address from);
  void open_bus();
  void read_reload(int tries);
  void drained();
  void remember(std::uint64_t id);
  void resolve_unlisted(double now);
  double unlisted_due() const;
  CoreLinks* links(ServerId server);
  std::string identity(ServerId server) const;  // as the list names it; empty: not known
  void sweep();
  void tell_state();  // to the log, now and then
  void watch();       // the timers of all parts ride on one of the loop's

  net::Loop& loop_;
  Config config_;
  std::string config_file_;
  DescriptorBudget budget_;
  edge::CallDesk desk_;
  CallerSide callers_;
  list::Book book_;
  list::EventOrder order_;
  std::map<ServerId, Core> cores_;
  CoreCounts core_counts_;
  ConnectionId last_connection_ = 0;
  std::unordered_map<ConnectionId, std::shared_ptr<net::Stream>> caller_streams_;
  std::unordered_map<ConnectionId, CoreStream> core_streams_;
  std::unordered_map<CallId, Call> calls_;
  std::unordered_map<std::uint64_t, CallId> ids_;
  std::unordered_map<std::uint64_t, ServerId> taken_over_;  // calls that stood before this process began
  // Of those, the ones at servers that the list hasn't told yet; their ServerId is 0 meanwhile.
  struct Unlisted {
    double until = 0;
    std::uint64_t id = 0;
    std::string identity;
  };
  std::deque<Unlisted> unlisted_;
  // Calls that ended lately: what still comes of them is no news.
  std::deque<std::pair<double, std::uint64_t>> recent_order_;
  std::unordered_map<std::uint64_t, double> recent_;
  std::unique_ptr<net::Listener> listener_;
  std::unique_ptr<net::DatagramSocket> datagrams_;
  std::unique_ptr<list::Client> bus_;
  net::TimerId timer_ = 0;
  double timer_at_ = 0;
  net::TimerId state_timer_ = 0;
  double drain_until_ = 0;
  double serve_until_ = 0;
  bool draining_ = false;
  bool leaving_ = false;
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_PLATFORM_EDGE_HPP_
