// The callers of one edge proxy in a soak: a few connections that carry many calls, and the callers' habits
// of the platform's pages: giving up early, hanging up, writing in pieces, leaving at once, idle closing.
#ifndef MINTROCK_SRC_LAB_SOAK_CALLERS_HPP_
#define MINTROCK_SRC_LAB_SOAK_CALLERS_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "lab/soak/ledger.hpp"
#include "net/loop.hpp"
#include "platform/caller_codec.hpp"

namespace mintrock::lab::soak {

struct CallClass {
  std::string name;
  double deadline_s = 0;
};

struct CallerHabits {
  double calls_per_s = 8;
  std::size_t connections = 3;
  double gives_up = 0.04;  // shares of calls
  double hangs_up = 0.15;  // of those that stand
  double in_pieces = 0.05;
  double resets = 0.01;       // resets its connection while its set-up is open
  double half_closed = 0.01;  // writes half a set-up, then closes
};

class Callers {
 public:
  Callers(net::Loop& loop, Ledger& ledger, std::size_t edge, net::Address to, std::vector<CallClass> classes,
          const CallerHabits& habits, std::uint64_t seed);
  ~Callers();

  // The edge proxy runs: it is asked for a test, then gets calls; standing ones are named to it again.
  void edge_started();
  // It was told to end: no new connections any more. What is open goes on being used.
  void edge_ending() { may_connect_ = false; }
  void edge_stopped(bool planned);
  void finish() { calling_ = false; }  // no new calls
  // So many times the calls, on up to so many connections, for a while.
  void crowd(double times, std::size_t connections, double seconds);
  bool ready() const { return ready_; }
  std::size_t taken() const { return taken_; }

 private:
  struct Open {
    std::size_t connection = 0;
    double written = 0;  // its last byte
  };
  struct Connection {
    std::shared_ptr<net::Stream> stream;
    platform::MessageParser cutter;
    bool up = false;
    double active = 0;
    std::string rest;  // of a message that goes out in pieces
  };

  void tick();
  void call();
  std::size_t usable_connection();
  std::size_t connect();
  void connected(std::size_t connection);
  void take(std::size_t connection, const platform::CallerMessage& message);
  void answered(std::uint64_t id, std::string description);
  void closed(std::size_t connection);
  void write_in_pieces(std::size_t connection, std::uint64_t id, std::string bytes, double waits_s);
  void abandon(std::size_t connection);
  void leave(std::uint64_t id);
  void later(double seconds, std::function<void()> what);
  double draw(double least, double most) { return std::uniform_real_distribution<>(least, most)(random_); }

  net::Loop& loop_;
  Ledger& ledger_;
  std::size_t edge_;
  net::Address to_;
  std::vector<CallClass> classes_;
  CallerHabits habits_;
  std::mt19937_64 random_;
  std::map<std::size_t, Connection> connections_;
  std::map<std::uint64_t, Open> open_;
  std::map<std::uint64_t, std::string> standing_;  // and the core server that each stands at
  std::size_t last_connection_ = 0;
  std::size_t taken_ = 0;
  bool may_connect_ = false;
  bool ready_ = false;
  bool calling_ = true;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_CALLERS_HPP_
