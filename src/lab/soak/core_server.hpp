// A core server of a soak, written from the platform's protocol page: it has an address of its own for each
// edge proxy, a fault line before each, and a seeded share of every kind of answer.
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

#include "lab/soak/fault_line.hpp"
#include "lab/soak/ledger.hpp"
#include "net/loop.hpp"
#include "platform/core_codec.hpp"

namespace mintrock::lab::soak {

// Shares of all set-ups; the rest is answered well.
struct CoreBehaviour {
  double full = 0.05;
  double error = 0.03;
  double late_answer = 0.05;  // the call stands and ends; its answer comes after its end, or never
  double reset = 0.02;        // the connection is reset under it
  double unreadable = 0.02;   // noise in place of its answer
  double doubled = 0.03;      // the answer comes twice
  double cut = 0.03;          // the call is cut, not ended
  double longest_hold_s = 4;
};

class CoreServer {
 public:
  // Listens on free ports of this loopback address.
  CoreServer(net::Loop& loop, std::uint32_t ip, Ledger& ledger, std::string name, std::size_t edges,
             const CoreBehaviour& behaviour, std::uint64_t seed);
  ~CoreServer();

  const std::string& name() const { return name_; }
  // Where this edge proxy reaches it.
  const net::Address& address(std::size_t edge) const { return lines_.at(edge)->address(); }
  FaultLine& line(std::size_t edge) { return *lines_.at(edge); }
  bool running() const { return running_; }

  // Stops for a while as a process without processor time does: connections come up, nothing is said.
  void hang(double seconds);
  // The process dies: connections are reset, calls cut, new connections refused.
  void die();
  // The machine vanishes: as death, but nobody hears anything.
  void vanish();

 private:
  using CallKey = std::pair<std::size_t, std::uint64_t>;  // edge proxy and id
  struct Connection {
    std::size_t edge = 0;
    std::shared_ptr<net::Stream> stream;
    platform::LineSplitter cutter;
    // Ends that were repeated on it lately: should it be lost at once, they are repeated on the next one.
    std::vector<std::pair<double, std::string>> repeated;
  };
  struct Call {
    std::uint64_t serial = 0;  // told apart from a later set-up under its id
    std::size_t connection = 0;
    bool stands = false;
    bool answered = false;
  };

  void accept(std::size_t edge, int fd, net::Address from);
  void take(std::size_t connection, const std::string& line);
  void set_up(std::size_t connection, std::uint64_t id);
  void answer_well(const CallKey& key, std::uint64_t serial, bool doubled, bool cut);
  void answer_late(const CallKey& key, std::uint64_t serial);
  void refuse(const CallKey& key, std::uint64_t serial, int cause, const char* note);
  void connection_lost(std::size_t connection);
  void line_passed(std::string_view line);
  void give_up_open(std::size_t connection);
  void end_call(const CallKey& key, int cause);
  Call* find(const CallKey& key, std::uint64_t serial);
  std::string stand(const CallKey& key);
  void say(std::size_t connection, const std::string& line);
  void say_state(std::size_t connection);
  void say_states();
  // Does it after that time, or when the process runs again.
  void later(double seconds, std::function<void()> what);
  void run(const std::function<void()>& what);
  void stop(bool heard);
  double draw(double least, double most) { return std::uniform_real_distribution<>(least, most)(random_); }

  net::Loop& loop_;
  Ledger& ledger_;
  std::string name_;
  CoreBehaviour behaviour_;
  std::mt19937_64 random_;
  std::vector<std::unique_ptr<net::Listener>> listeners_;
  std::vector<std::unique_ptr<FaultLine>> lines_;
  std::map<std::size_t, Connection> connections_;
  std::map<CallKey, Call> calls_;
  std::map<std::size_t, std::vector<std::string>> repeats_;  // ends for the next connection of an edge proxy
  std::vector<std::function<void()>> held_;                  // while it hangs
  std::size_t last_connection_ = 0;
  std::uint64_t last_serial_ = 0;
  bool running_ = true;
  bool hung_ = false;
  bool catching_up_ = false;  // with what came while it hung
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_CORE_SERVER_HPP_
