// Simulated callers of one edge proxy in a soak: a few connections that carry many calls, with the caller
// behaviour of the platform's specification: abandoning and releasing calls, writing set-ups in pieces,
// resetting connections and closing idle ones.
#ifndef MINTROCK_SRC_LAB_SOAK_CALLERS_HPP_
#define MINTROCK_SRC_LAB_SOAK_CALLERS_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/soak/rule_checker.hpp"
#include "net/loop.hpp"
#include "platform/caller_codec.hpp"

namespace mintrock::lab::soak {

struct CallClass {
  std::string name;
  double deadline_s = 0;
};

struct CallerBehaviour {
  double calls_per_s = 8;
  std::size_t connections = 3;
  // Shares of all calls.
  double abandoned = 0.04;
  double hung_up = 0.15;  // a share of the established calls only
  double sent_in_pieces = 0.05;
  double connection_reset = 0.01;  // the connection is reset while the set-up is open
  double closed_mid_setup = 0.01;  // the connection is closed after half a set-up
};

class Callers {
 public:
  Callers(net::Loop& loop, RuleChecker& checker, std::size_t edge, net::Address to,
          std::vector<CallClass> classes, const CallerBehaviour& behaviour, std::uint64_t seed);
  ~Callers();

  // The edge proxy runs: connects, sends a test, and calls once it has passed. The established calls are
  // handed over to the edge proxy first.
  void edge_started();
  // The edge proxy is shutting down: no new connections from now on; the open ones stay in use.
  void edge_terminating() { may_connect_ = false; }
  void edge_stopped(bool planned);
  void stop_calling() { calling_ = false; }
  // Multiplies the call rate by `factor`, on up to `connections` connections, for a while.
  void flood(double factor, std::size_t connections, double seconds);
  bool ready() const { return ready_; }
  std::size_t setups_sent() const { return setups_sent_; }

 private:
  struct OpenSetup {
    std::size_t connection = 0;
    double written_at = 0;  // time of its last byte
  };
  struct Connection {
    std::shared_ptr<net::Stream> stream;
    platform::MessageParser message_reader;
    bool up = false;
    double last_active = 0;
    std::string unsent;  // of a message that is sent in pieces
  };

  void tick();
  void place_call();
  std::size_t pick_connection();
  std::size_t connect();
  void on_connected(std::size_t connection);
  void handle_message(std::size_t connection, const platform::CallerMessage& message);
  void on_answer(std::uint64_t id, std::string description);
  void on_closed(std::size_t connection);
  void send_in_pieces(std::size_t connection, std::uint64_t id, std::string bytes, double deadline_s);
  void abandon_connection(std::size_t connection);
  void caller_left(std::uint64_t id);
  void run_after(double seconds, std::function<void()> task);
  double draw(double min, double max) { return std::uniform_real_distribution<>(min, max)(random_); }

  net::Loop& loop_;
  RuleChecker& checker_;
  std::size_t edge_;
  net::Address to_;
  std::vector<CallClass> classes_;
  CallerBehaviour behaviour_;
  std::mt19937_64 random_;
  std::map<std::size_t, Connection> connections_;
  std::map<std::uint64_t, OpenSetup> open_setups_;
  std::map<std::uint64_t, std::string> established_;  // with the core server of each
  std::size_t last_connection_id_ = 0;
  std::size_t setups_sent_ = 0;
  bool may_connect_ = false;
  bool ready_ = false;
  bool calling_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_CALLERS_HPP_
