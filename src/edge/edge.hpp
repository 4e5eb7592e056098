// The edge proxy: connects the front end, the call manager, the core side, the server list and the other
// proxies on one event loop.
//
// This class makes no decisions: it passes events to the call manager and carries out the manager's requests.
#ifndef MINTROCK_SRC_EDGE_EDGE_HPP_
#define MINTROCK_SRC_EDGE_EDGE_HPP_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "edge/admin.hpp"
#include "edge/call_manager.hpp"
#include "edge/config.hpp"
#include "edge/core_side.hpp"
#include "edge/diameter_front.hpp"
#include "edge/front.hpp"
#include "edge/metrics.hpp"
#include "fleet/gossip.hpp"
#include "list/client.hpp"
#include "list/server_list.hpp"
#include "membership/async_store.hpp"
#include "net/loop.hpp"

namespace mintrock::edge {

class Edge : private CallManagerDelegate, private CoreSideDelegate, private FrontDelegate {
 public:
  Edge(net::Loop& loop, Config config, std::string config_file);
  ~Edge() override;

  void start();
  void reload();  // SIGHUP: applies the settings that can change at run time
  net::Address callers_address() const { return front_.listening(); }
  net::Address admin_address() const { return admin_server_->listening(); }
  const CallCounters& call_counters() const { return call_manager_.counters(); }
  const CoreCounters& core_counters() const { return core_.counters(); }
  // The state of the Diameter peer state machine of the core server with this identity; empty: unknown
  // server.
  std::string core_state(const std::string& identity) const;
  std::uint64_t list_revision() const { return server_list_.revision(); }
  std::size_t connected_callers() const { return front_.open_peers(); }
  std::size_t pending_calls() const { return call_manager_.pending(); }
  std::size_t established_calls() const { return call_manager_.established(); }
  // SIGTERM: refuses new calls, waits for pending answers, sends DPRs, then stops the loop.
  void drain();

 private:
  struct CallEntry {
    Front* front = nullptr;
    RecordPtr record;
    double offered_at = 0;
    std::unique_ptr<const CoreAnswer> rejection;  // the last answer with kUnfit or kRejected
  };

  // CallManagerDelegate
  void answer(CallId call, const SetupResult& result) override;
  void cut(CallId call) override;
  SendResult send_setup(CallId call, std::uint32_t attempt, ServerId server, double give_up_after_s) override;
  void release(CallId call, std::uint32_t attempt, ServerId server) override;
  void forget(CallId call) override;
  void subscribe() override;
  void send_gossip(std::uint32_t peer, const std::vector<GossipEntry>& entries) override;
  void log(const std::string& text) override;
  // CoreSideDelegate
  void core_call_established(CallId call, std::uint32_t attempt, const CoreAnswer& answer) override;
  void core_attempt_ended(CallId call, std::uint32_t attempt, const CoreAnswer& answer) override;
  void core_load_reported(ServerId server, const CoreAnswer& answer) override;
  void core_release_confirmed(const std::string& session, bool ended) override;
  void core_errors_reported(const std::string& server, const AnswerMonitor::Warning& warning) override;
  void core_connection_event(const std::string& server, const char* event,
                             const std::string& detail) override;
  // FrontDelegate
  CallId next_call_id() override { return call_manager_.next_call_id(); }
  void offer(Front& front, CallId call, RecordPtr record, bool peer_reopening) override;
  std::optional<diameter::Fault> validate_realm(const CallRecord& record) override;
  std::optional<diameter::Fault> validate_setup(const CallRecord& record) override;
  const CoreAnswer& rejection_of(CallId call) override;
  bool hang_up(CallId call) override;
  std::uint32_t forward_termination(const CallRecord& record) override;
  const std::string& identity_of(ServerId server) override;

  void on_list_event(const list::SseEvent& event);
  bool load_stored_list();  // returns whether the store held a list
  void store_list(const list::Update& update);
  void schedule_list_confirmation();
  void log_store_faults();
  void load_cached_list();
  void save_cached_list();
  void on_datagram(std::string_view bytes, net::Address from);
  void schedule_call_timer();
  void check_drained();
  AdminServer::Response health() const;
  AdminServer::Response calls() const;

  net::Loop& loop_;
  Config config_;
  std::string config_file_;
  std::uint64_t seed_;
  diameter::LocalNode local_;
  Metrics metrics_;
  list::ServerTable server_list_;
  RealmTable realms_;
  CallManager call_manager_;
  CoreSide core_;
  DiameterFront front_;
  std::unordered_map<CallId, CallEntry> calls_;
  std::unique_ptr<list::Client> list_client_;
  std::unique_ptr<net::DatagramSocket> datagrams_;
  fleet::Writer gossip_writer_;
  fleet::Reader gossip_reader_;
  std::unique_ptr<AdminServer> admin_server_;
  // Reported by the store's thread, logged by the event loop.
  std::mutex store_faults_mutex_;
  std::vector<std::string> store_faults_;
  std::unique_ptr<membership::AsyncStore> list_store_;
  net::TimerId call_timer_ = 0;
  double call_timer_at_ = 0;
  net::TimerId drain_timer_ = 0;
  net::TimerId confirm_timer_ = 0;
  bool release_sent_ = false;  // whether the current hang_up() has sent a release
  std::uint64_t realm_refused_ = 0;
  std::uint64_t class_refused_ = 0;
  std::uint64_t class_assumed_ = 0;
  std::uint64_t unknown_host_ = 0;
  bool draining_ = false;
  bool stopping_ = false;
  double drain_deadline_ = 0;
  bool cache_write_pending_ = false;
  bool list_connected_ = false;  // an update has arrived since the subscription last failed
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_EDGE_HPP_
