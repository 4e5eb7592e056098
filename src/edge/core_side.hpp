// The proxy's Diameter connections to the core servers, one each: sends set-ups and releases, receives
// answers and aborts.
//
// Makes no decisions: CoreSessions tracks what each server may hold, which releases are pending and what has
// ended, and CoreSide reports the end of each attempt once through CoreSideDelegate.
#ifndef MINTROCK_SRC_EDGE_CORE_SIDE_HPP_
#define MINTROCK_SRC_EDGE_CORE_SIDE_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge/answer_monitor.hpp"
#include "edge/call_manager.hpp"
#include "edge/config.hpp"
#include "edge/core_sessions.hpp"
#include "edge/credit_control.hpp"
#include "edge/peer_link.hpp"
#include "list/server_list.hpp"

namespace mintrock::edge {

// Receives the events of the core side.
class CoreSideDelegate {
 public:
  virtual ~CoreSideDelegate() = default;
  virtual void core_call_established(CallId call, std::uint32_t attempt, const CoreAnswer& answer) = 0;
  // An attempt, or the established call that it became, has ended.
  virtual void core_attempt_ended(CallId call, std::uint32_t attempt, const CoreAnswer& answer) = 0;
  virtual void core_load_reported(ServerId server, const CoreAnswer& answer) = 0;
  // A release is confirmed: the server has ended the session, or (`ended` false) does not know it.
  virtual void core_release_confirmed(const std::string& session, bool ended) = 0;
  // A server answers set-ups with errors. Rate-limited.
  virtual void core_errors_reported(const std::string& server, const AnswerMonitor::Warning& warning) = 0;
  // `event` names what happened to a server's connection, for the log.
  virtual void core_connection_event(const std::string& server, const char* event,
                                     const std::string& detail) = 0;
};

struct CoreCounters {
  std::uint64_t unexpected = 0;        // unsolicited or duplicate answers
  std::uint64_t late = 0;              // answers to attempts that were given up
  std::uint64_t late_established = 0;  // of those, answers that established the call; it was released again
  std::uint64_t malformed = 0;         // malformed messages
};

class CoreSide {
 public:
  CoreSide(net::Loop& loop, const diameter::LocalNode& local, const Config& config, std::uint64_t seed,
           CoreSideDelegate& delegate);
  ~CoreSide();

  // Applies a server's entry in the server list. A server that is ready is connected to at once.
  void update_server(ServerId server, const list::Entry& entry);
  SendResult send_setup(CallId call, std::uint32_t attempt, ServerId server, double give_up_after_s,
                        RecordPtr record);
  // Returns true if a release is sent to the server, now or once it is connected; core_release_confirmed()
  // reports its confirmation.
  bool release(CallId call, std::uint32_t attempt, ServerId server, RecordPtr record);
  // Forwards the end of a call that another proxy set up to the server of that name; with an empty name, to
  // all servers that may hold the call. Returns how many servers are asked.
  std::uint32_t forward_termination(const std::string& server, const CallRecord& record);
  // Takes over an accepted connection if its CER names a core server; returns false if it names none.
  bool adopt_connection(const std::shared_ptr<net::Stream>& stream, const diameter::MessageView& cer,
                        std::string_view rest);
  // Sends DPR to all servers; closed() returns true once all connections are closed.
  void stop();
  bool closed() const;

  struct View {
    std::string identity;
    std::string state;
    std::string watchdog;
    std::size_t in_flight = 0;
    std::size_t established = 0;
    double load = -1;
    const AnswerMonitor* answers = nullptr;  // owned by the CoreSide
  };
  std::vector<View> servers() const;
  const CoreCounters& counters() const { return counters_; }

 private:
  struct Server {
    explicit Server(const CoreSessions::Settings& settings) : sessions(settings) {}
    ServerId id = 0;
    list::Entry entry;
    std::unique_ptr<PeerLink> link;
    CoreSessions sessions;
    net::TimerId timer = 0;  // for sessions.deadline()
    double load = -1;
    AnswerMonitor answers;
  };

  Server* find(ServerId id);
  void make_link(Server& server);
  void transmit(Server& server, CoreSessions::Attempt attempt, double give_up_after_s, RecordPtr record);
  void send_release(Server& server, RecordPtr record);
  void confirm_releases(const std::vector<RecordPtr>& records);
  void end_attempts(const std::vector<CoreSessions::Attempt>& attempts, Outcome outcome);
  void schedule_timer(Server& server);
  void close_if_idle(Server& server);
  void on_up(Server& server);
  void on_down(Server& server, const std::string& reason);
  void on_refused(Server& server, const std::string& reason);
  void on_message(Server& server, const diameter::MessageView& view);
  void on_answer(Server& server, const diameter::MessageView& view);
  void on_abort(Server& server, const diameter::MessageView& view);

  net::Loop& loop_;
  const diameter::LocalNode& local_;
  const Config& config_;
  std::uint64_t seed_;
  CoreSideDelegate& delegate_;
  std::map<ServerId, std::unique_ptr<Server>> servers_;
  CoreCounters counters_;
  bool stopping_ = false;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CORE_SIDE_HPP_
