// A simulated core server of a soak, implemented from the platform's protocol specification. Each edge
// proxy connects to an address of its own, through a faulty link; the kinds of answers are drawn by a seeded
// generator.
#ifndef MINTROCK_SRC_LAB_SOAK_CORE_SERVER_HPP_
#define MINTROCK_SRC_LAB_SOAK_CORE_SERVER_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "lab/soak/faulty_link.hpp"
#include "lab/soak/rule_checker.hpp"
#include "net/loop.hpp"
#include "platform/core_codec.hpp"

namespace mintrock::lab::soak {

// The shares of set-ups that get each kind of answer, and the duration of calls. The other set-ups are
// answered normally.
struct CoreBehaviour {
  double no_circuit = 0.05;   // refused: no circuit available
  double error = 0.03;        // refused: unavailable
  double late_answer = 0.05;  // the call is established and ends; its answer is sent after its end, or never
  double reset = 0.02;        // the connection is reset instead of an answer
  double malformed_answer = 0.02;  // a malformed line instead of an answer
  double duplicate_answer = 0.03;  // the answer is sent twice
  double cut = 0.03;               // the call is cut instead of ending normally
  double max_hold_s = 4;           // upper bound of the duration of calls that are answered normally
};

class CoreServer {
 public:
  // Listens on free ports of the loopback address `ip`.
  CoreServer(net::Loop& loop, std::uint32_t ip, RuleChecker& checker, std::string name, std::size_t edges,
             const CoreBehaviour& behaviour, std::uint64_t seed);
  ~CoreServer();

  const std::string& name() const { return name_; }
  // The address that this edge proxy connects to.
  const net::Address& address(std::size_t edge) const { return links_.at(edge)->address(); }
  FaultyLink& link(std::size_t edge) { return *links_.at(edge); }
  bool running() const { return running_; }

  // Stops processing for a while, as a process that gets no CPU time: connections are accepted, but nothing
  // is sent.
  void hang(double seconds);
  // Simulates a crash of the process: connections are reset, calls end, new connections are refused.
  void crash();
  // Simulates the loss of the machine: as a crash, but the connections go silent instead of being reset.
  void vanish();

 private:
  using CallKey = std::pair<std::size_t, std::uint64_t>;  // edge proxy, call id
  struct Connection {
    std::size_t edge = 0;
    std::shared_ptr<net::Stream> stream;
    platform::LineSplitter line_reader;
    // Releases of ended calls that were retransmitted on this connection, each with the time at which it was
    // sent, at the latest. If the connection is lost soon after, they are retransmitted on the next one.
    std::vector<std::pair<double, std::string>> retransmitted;
  };
  struct Call {
    std::uint64_t serial = 0;  // distinguishes the call from a later set-up with the same id
    std::size_t connection = 0;
    bool established = false;
    bool answered = false;
  };

  void accept(std::size_t edge, int fd, net::Address from);
  void handle_line(std::size_t connection, const std::string& line);
  void handle_setup(std::size_t connection, std::uint64_t id);
  void answer_normally(const CallKey& key, std::uint64_t serial, bool duplicate_answer, bool cut);
  void answer_late(const CallKey& key, std::uint64_t serial);
  void refuse(const CallKey& key, std::uint64_t serial, int cause, const char* note);
  void connection_lost(std::size_t connection);
  void on_line_delivered(std::string_view line);
  void drop_open_setups(std::size_t connection);
  void end_call(const CallKey& key, int cause);
  Call* find(const CallKey& key, std::uint64_t serial);
  std::string establish(const CallKey& key);
  void send(std::size_t connection, const std::string& line);
  void send_load_state(std::size_t connection);
  void send_load_states();
  // Runs `task` after that time or, if the process hangs then, once it resumes; not at all after a stop.
  void run_after(double seconds, std::function<void()> task);
  void run_or_queue(const std::function<void()>& task);
  void stop(bool reset_connections);
  double draw(double min, double max) { return std::uniform_real_distribution<>(min, max)(random_); }

  net::Loop& loop_;
  RuleChecker& checker_;
  std::string name_;
  CoreBehaviour behaviour_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<net::Listener>> listeners_;
  std::vector<std::unique_ptr<FaultyLink>> links_;
  std::map<std::size_t, Connection> connections_;
  std::map<CallKey, Call> calls_;
  // For each edge proxy, the release lines to retransmit on its next connection.
  std::map<std::size_t, std::vector<std::string>> pending_ends_;
  std::vector<std::function<void()>> queued_;  // tasks that wait while the process hangs
  std::size_t last_connection_id_ = 0;
  std::uint64_t last_serial_ = 0;
  bool running_ = true;
  bool hung_ = false;
  bool catching_up_ = false;  // running the queued tasks after a hang
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_CORE_SERVER_HPP_
