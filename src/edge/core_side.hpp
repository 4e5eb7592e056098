// The core servers as this proxy's peers: one connection each, set-ups and releases out, answers and cuts in.
//
// Nothing is decided here: core_sessions says what each server may hold, what is owed to it and what has
// ended, and that is told through CorePorts, once for each attempt.
#ifndef MINTROCK_SRC_EDGE_CORE_SIDE_HPP_
#define MINTROCK_SRC_EDGE_CORE_SIDE_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "edge/answer_watch.hpp"
#include "edge/call_desk.hpp"
#include "edge/config.hpp"
#include "edge/core_sessions.hpp"
#include "edge/credit_control.hpp"
#include "edge/peer_link.hpp"
#include "list/server_list.hpp"

namespace mintrock::edge {

class CorePorts {
 public:
  virtual ~CorePorts() = default;
  virtual void core_stood(CallId call, std::uint32_t attempt, const CoreAnswer& answer) = 0;
  virtual void core_ended(CallId call, std::uint32_t attempt, const CoreAnswer& answer) = 0;
  virtual void core_load(ServerId server, const CoreAnswer& answer) = 0;
  // A release is confirmed: the server has ended the session, or knows of none (`ended` false).
  virtual void core_released(const std::string& session, bool ended) = 0;
  // A server answers errors; rate-limited.
  virtual void core_errors(const std::string& server, const AnswerWatch::Warning& warning) = 0;
  // One line of the log about a server's connection.
  virtual void core_event(const std::string& server, const char* event, const std::string& detail) = 0;
};

struct CoreCounts {
  std::uint64_t unexpected = 0;  // answers to no request, or second ones
  std::uint64_t late = 0;        // answers of attempts that were given up
  std::uint64_t late_stood = 0;  // of those, ones that said the call stands: released again
  std::uint64_t bad = 0;         // malformed
};

class CoreSide {
 public:
  CoreSide(net::Loop& loop, const diameter::LocalNode& local, const Config& config, std::uint64_t seed,
           CorePorts& ports);
  ~CoreSide();

  // What the list says of a server. One that is ready is connected to at once.
  void update(ServerId server, const list::Entry& entry);
  Handover send_setup(CallId call, std::uint32_t attempt, ServerId server, double give_up_after_s,
                      RecordPtr record);
  // True: the server is sent a release, now or once it can be, and `core_released` tells when it is
  // confirmed.
  bool release(CallId call, std::uint32_t attempt, ServerId server, RecordPtr record);
  // The end of a call that another proxy set up, at the server of that name; an empty one asks all that may
  // hold it. How many are asked.
  std::uint32_t pass_termination(const std::string& server, const CallRecord& record);
  // An accepted connection whose CER names one of the core servers; false: it names none.
  bool offer_connection(const std::shared_ptr<net::Stream>& stream, const diameter::MessageView& cer,
                        std::string_view rest);
  // DPR to all. `closed()` tells when all have gone.
  void stop();
  bool closed() const;

  struct View {
    std::string identity;
    std::string state;
    std::string watchdog;
    std::size_t out = 0;
    std::size_t standing = 0;
    double load = -1;
    const AnswerWatch* answers = nullptr;  // lives as long as this
  };
  std::vector<View> servers() const;
  const CoreCounts& counts() const { return counts_; }

 private:
  struct Server {
    explicit Server(const CoreSessions::Settings& settings) : sessions(settings) {}
    ServerId id = 0;
    list::Entry entry;
    std::unique_ptr<PeerLink> link;
    CoreSessions sessions;
    net::TimerId timer = 0;  // of the sessions' deadline
    double load = -1;
    AnswerWatch answers;
  };

  Server* find(ServerId id);
  void make_link(Server& server);
  void transmit(Server& server, CoreSessions::Attempt who, double give_up_after_s, RecordPtr record);
  void send_release(Server& server, RecordPtr record);
  void released(const std::vector<RecordPtr>& records);
  void end(const std::vector<CoreSessions::Attempt>& attempts, Outcome outcome);
  void watch(Server& server);
  void rest(Server& server);
  void on_up(Server& server);
  void on_down(Server& server, const std::string& why);
  void on_refused(Server& server, const std::string& why);
  void on_message(Server& server, const diameter::MessageView& view);
  void on_answer(Server& server, const diameter::MessageView& view);
  void on_abort(Server& server, const diameter::MessageView& view);

  net::Loop& loop_;
  const diameter::LocalNode& local_;
  const Config& config_;
  std::uint64_t seed_;
  CorePorts& ports_;
  std::map<ServerId, std::unique_ptr<Server>> servers_;
  CoreCounts counts_;
  bool stopping_ = false;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CORE_SIDE_HPP_
