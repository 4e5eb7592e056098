// The edge proxy on the users' platform: connects the call manager, the caller side, the connections to core
// servers, the event bus and the other proxies on one event loop. It makes no decisions itself.
#ifndef MINTROCK_SRC_PLATFORM_PLATFORM_EDGE_HPP_
#define MINTROCK_SRC_PLATFORM_PLATFORM_EDGE_HPP_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "edge/call_manager.hpp"
#include "list/client.hpp"
#include "list/departed_servers.hpp"
#include "list/event_order.hpp"
#include "list/server_list.hpp"
#include "net/loop.hpp"
#include "platform/caller_side.hpp"
#include "platform/config.hpp"
#include "platform/core_connections.hpp"
#include "platform/descriptor_budget.hpp"
#include "platform/ended_calls.hpp"
#include "platform/memory_budget.hpp"
#include "platform/shutdown_sequence.hpp"

namespace mintrock::platform {

class PlatformEdge : public edge::CallManagerDelegate,
                     public CallerSideDelegate,
                     public CoreConnectionsDelegate {
 public:
  PlatformEdge(net::Loop& loop, Config config, std::string config_file);
  ~PlatformEdge() override;

  void start();
  void reload();  // the configuration file was replaced
  void drain();   // answers all open set-ups, then stops the loop

  net::Address listening() const { return listener_->local(); }
  const CallerSide& callers() const { return callers_; }
  const edge::CallManager& call_manager() const { return call_manager_; }
  const CoreCounters& core_counters() const { return core_counters_; }
  std::size_t servers() const { return cores_.size(); }
  std::size_t calls() const { return calls_.size(); }

 private:
  struct Call {
    std::uint64_t id = 0;
    std::string service_class;
    std::string number;
    std::string description;
    std::string answer;            // the core server's description
    int end_cause = kCauseNormal;  // of the end of the established call
    ServerId server = 0;           // where the call is established; 0: not yet
    bool may_have_run = false;     // an attempt was sent to a core server
  };
  struct CoreServer {
    net::Address address;
    std::string identity;
    ServerEntry::State state = ServerEntry::State::kReady;
    double started_at = 0;  // the latest start listed, s since the Unix epoch; 0: long ago
    std::unique_ptr<CoreConnections> connections;
  };
  struct CoreStream {
    ServerId server = 0;
    std::shared_ptr<net::Stream> stream;
  };

  // ---- CallManagerDelegate ----
  void answer(CallId call, const edge::SetupResult& result) override;
  void cut(CallId call) override;
  edge::SendResult send_setup(CallId call, std::uint32_t attempt, ServerId server,
                              double give_up_after_s) override;
  void release(CallId call, std::uint32_t attempt, ServerId server) override;
  void forget(CallId call) override;
  void subscribe() override {}  // the event bus is read from the start
  void send_gossip(std::uint32_t peer, const std::vector<GossipEntry>& entries) override;
  void log(const std::string& text) override;

  // ---- CallerSideDelegate ----
  void send_to_caller(ConnectionId to, std::string_view bytes) override;
  void close_caller(ConnectionId which) override;
  bool has_unread(ConnectionId which) override;
  const char* offer(CallSetup setup) override;
  const char* take_over(const CallSetup& setup) override;
  bool hang_up(std::uint64_t id) override;
  void caller_fault(ConnectionId from, const char* error) override;
  void caller_closed(ConnectionId which, CloseReason reason, std::size_t established) override;
  void end_reported(std::uint64_t id, ConnectionId to, EndDelivery delivery) override;

  // ---- CoreConnectionsDelegate ----
  ConnectionId connect_core(ServerId server) override;
  void send_to_core(ConnectionId to, std::string_view bytes) override;
  void close_core(ConnectionId which) override;
  void retire_core(ConnectionId which) override;
  void core_call_established(const AttemptId& attempt, std::string description,
                             const Report& report) override;
  void core_attempt_ended(const AttemptId& attempt, Outcome outcome, Cause cause, double waited_s,
                          const Report& report) override;
  void core_call_ended(ServerId server, std::uint64_t id, bool cut, const Report& report) override;
  void core_load_reported(ServerId server, const Report& report) override;
  void core_fault(ServerId server, const char* error) override;
  void core_unconfirmed_attempt_ended(const AttemptId& attempt) override;
  void core_gone(ServerId server, const char* reason, std::size_t established) override;
  void core_connection_changed(ServerId server, ConnectionId which, ConnectionChange change) override;
  void core_message_received(ServerId server, ConnectionId from, const CoreMessage& message,
                             MessageOwner owner) override;

  void drop_description(Call& call);
  void on_accept(int fd, net::Address from);
  void on_event(const list::SseEvent& event);
  void apply_update(const TopologyEvent& event);
  void on_datagram(std::string_view bytes, net::Address from);
  void open_bus();
  void try_reload(int tries_left);
  void continue_drain();
  void enter(ShutdownPhase phase);
  ShutdownState shutdown_state(double now) const;
  bool is_reading_core_servers() const { return !shutdown_ || shutdown_->phase() < ShutdownPhase::kClosing; }
  void resolve_unlisted(double now);
  double unlisted_deadline() const;
  CoreConnections* find_connections(ServerId server);
  std::string identity(ServerId server) const;  // the server's name in the list; empty if unknown
  void remove_departed_servers();
  std::size_t listed_servers() const;  // that are not gone
  // Returns null if the entry's address can't be read.
  CoreServer* add_server(ServerId id, const list::Entry& entry, StartSource source);
  bool is_known_identity(const std::string& identity) const;
  // Returns the connections to a server, also to one that left the list: calls may stand there.
  CoreConnections* find_connections_or_readmit(const std::string& identity);
  void log_state();       // periodically
  void schedule_timer();  // sets one timer of the event loop to the earliest deadline of all parts

  net::Loop& loop_;
  Config config_;
  std::string config_file_;
  DescriptorBudget budget_;
  MemoryBudget memory_;
  edge::CallManager call_manager_;
  CallerSide callers_;
  list::ServerTable server_table_;
  list::DepartedServers departed_;
  list::EventOrder order_;
  double started_at_;  // s on the monotonic clock
  std::map<ServerId, CoreServer> cores_;
  CoreCounters core_counters_;
  ConnectionId last_connection_ = 0;
  std::unordered_map<ConnectionId, std::shared_ptr<net::Stream>> caller_streams_;
  std::unordered_map<ConnectionId, CoreStream> core_streams_;
  std::unordered_map<CallId, Call> calls_;
  std::size_t description_bytes_ = 0;  // of calls_
  std::unordered_map<std::uint64_t, CallId> call_ids_;
  std::unordered_map<std::uint64_t, ServerId> taken_over_;  // calls established before this process started
  // The entries of taken_over_ at servers that are not listed yet; their ServerId is 0 meanwhile.
  struct Unlisted {
    double expires_at = 0;
    std::uint64_t id = 0;
    std::string identity;
  };
  std::deque<Unlisted> unlisted_;
  EndedCalls ended_calls_;
  std::unique_ptr<net::Listener> listener_;
  std::unique_ptr<net::DatagramSocket> datagrams_;
  std::unique_ptr<list::Client> bus_;
  net::TimerId timer_ = 0;
  double timer_at_ = 0;
  net::TimerId state_timer_ = 0;
  std::optional<ShutdownSequence> shutdown_;  // once it has begun
};

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_PLATFORM_EDGE_HPP_
