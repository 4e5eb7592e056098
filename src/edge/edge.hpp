// The edge proxy: joins fronts, desk, core side, pool list and the other proxies on one loop.
//
// Nothing is decided here: events go to the desk, and what it asks for is carried out.
#ifndef MINTROCK_SRC_EDGE_EDGE_HPP_
#define MINTROCK_SRC_EDGE_EDGE_HPP_

#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "edge/admin.hpp"
#include "edge/call_desk.hpp"
#include "edge/config.hpp"
#include "edge/core_side.hpp"
#include "edge/diameter_front.hpp"
#include "edge/front.hpp"
#include "edge/metrics.hpp"
#include "fleet/hearsay.hpp"
#include "list/client.hpp"
#include "list/pool_list.hpp"
#include "membership/async_store.hpp"
#include "net/loop.hpp"

namespace mintrock::edge {

class Edge : private DeskPorts, private CorePorts, private Switchboard {
 public:
  Edge(net::Loop& loop, Config config, std::string config_file);
  ~Edge() override;

  void start();
  void reload();  // SIGHUP: what can change safely
  net::Address callers_address() const { return front_.listening(); }
  net::Address admin_address() const { return admin_->listening(); }
  const DeskCounts& desk_counts() const { return desk_.counts(); }
  const CoreCounts& core_counts() const { return core_.counts(); }
  // The state of a core server's peer machine, by its name; empty: not known.
  std::string core_state(const std::string& identity) const;
  std::uint64_t list_revision() const { return book_.revision(); }
  std::size_t callers_connected() const { return front_.open_peers(); }
  std::size_t open_calls() const { return desk_.open(); }
  std::size_t standing_calls() const { return desk_.standing(); }
  void drain();  // SIGTERM: no new calls, answers awaited, DPR, then the loop is stopped

 private:
  struct CallEntry {
    Front* front = nullptr;
    RecordPtr record;
    double offered = 0;  // when
    std::unique_ptr<const CoreAnswer> rejection;
  };

  // DeskPorts
  void answer(CallId call, const Verdict& verdict) override;
  void cut(CallId call) override;
  Handover send_setup(CallId call, std::uint32_t attempt, ServerId server, double give_up_after_s) override;
  void release(CallId call, std::uint32_t attempt, ServerId server) override;
  void forget(CallId call) override;
  void subscribe() override;
  void tell_peer(std::uint32_t peer, const std::vector<Hearsay>& hearsay) override;
  void log(const std::string& text) override;
  // CorePorts
  void core_stood(CallId call, std::uint32_t attempt, const CoreAnswer& answer) override;
  void core_ended(CallId call, std::uint32_t attempt, const CoreAnswer& answer) override;
  void core_load(ServerId server, const CoreAnswer& answer) override;
  void core_released(const std::string& session, bool ended) override;
  void core_errors(const std::string& server, const AnswerWatch::Warning& warning) override;
  void core_event(const std::string& server, const char* event, const std::string& detail) override;
  // Switchboard
  CallId next_call() override { return desk_.next_call(); }
  void offer(Front& front, CallId call, RecordPtr record, bool peer_on_trial) override;
  std::optional<diameter::Fault> refusal_of_realm(const CallRecord& record) override;
  std::optional<diameter::Fault> refusal_of_setup(const CallRecord& record) override;
  const CoreAnswer& rejection_of(CallId call) override;
  bool hang_up(CallId call) override;
  std::uint32_t pass_termination(const CallRecord& record) override;
  const std::string& identity_of(ServerId server) override;

  void on_list(const list::SseEvent& event);
  bool load_kept_list();  // true: there is one
  void keep_list(const list::News& news);
  void confirm_list();
  void tell_store_faults();
  void load_cached_list();
  void save_list();
  void on_datagram(std::string_view bytes, net::Address from);
  void watch_desk();
  void drained();
  Admin::Response health() const;
  Admin::Response calls() const;

  net::Loop& loop_;
  Config config_;
  std::string config_file_;
  std::uint64_t seed_;
  diameter::LocalNode local_;
  Metrics metrics_;
  list::Book book_;
  Realms realms_;
  CallDesk desk_;
  CoreSide core_;
  DiameterFront front_;
  std::unordered_map<CallId, CallEntry> calls_;
  std::unique_ptr<list::Client> list_;
  std::unique_ptr<net::DatagramSocket> datagrams_;
  fleet::Writer hearsay_out_;
  fleet::Reader hearsay_in_;
  std::unique_ptr<Admin> admin_;
  // Told by the store's own thread, logged by the loop.
  std::mutex store_faults_mutex_;
  std::vector<std::string> store_faults_;
  std::unique_ptr<membership::AsyncStore> keeper_;
  net::TimerId desk_timer_ = 0;
  double desk_timer_at_ = 0;
  net::TimerId drain_timer_ = 0;
  net::TimerId confirm_timer_ = 0;
  bool release_sent_ = false;  // by the call that is being hung up
  std::uint64_t realm_refused_ = 0;
  std::uint64_t class_refused_ = 0;
  std::uint64_t class_assumed_ = 0;
  std::uint64_t unknown_host_ = 0;
  bool draining_ = false;
  bool stopping_ = false;
  double drain_until_ = 0;
  bool save_pending_ = false;
  bool list_fresh_ = false;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_EDGE_HPP_
