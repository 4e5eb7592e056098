// A TCP forwarder on loopback that spoils what it carries: opens late, goes silent, cuts, refuses, or takes
// no connection at all, as a machine that is cut off does.
#ifndef MINTROCK_SRC_LAB_SOAK_FAULT_LINE_HPP_
#define MINTROCK_SRC_LAB_SOAK_FAULT_LINE_HPP_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.hpp"
#include "platform/core_codec.hpp"

namespace mintrock::lab::soak {

class FaultLine {
 public:
  // Listens on a free port of its own at the target's address, and keeps it for its life.
  FaultLine(net::Loop& loop, const net::Address& target);
  ~FaultLine();
  FaultLine(const FaultLine&) = delete;
  FaultLine& operator=(const FaultLine&) = delete;

  const net::Address& address() const { return address_; }

  // Told each line once it has been handed to the system towards the side that connected.
  void on_line_passed(std::function<void(std::string_view line)> observer) {
    line_observer_ = std::move(observer);
  }

  // New connections reach the target this many seconds late.
  void open_late(double seconds) { open_late_s_ = seconds; }
  // The next so many connections are closed as soon as they are taken.
  void close_early(std::size_t connections) { close_early_ = connections; }
  // Nothing passes while silent; what was sent arrives afterwards, as TCP repeats it.
  void set_silent(bool silent);
  // Resets every connection, with what was on its way.
  void cut();
  // Nobody listens: connections are refused.
  void refuse(bool refused);
  // Connections neither come up nor are refused, and those that are up go silent.
  void vanish();
  // Bytes that were held up have just been let through.
  bool silent() const { return silent_; }
  bool delayed() const { return loop_.now() < delayed_until_; }

 private:
  struct Pair {
    std::shared_ptr<net::Stream> near;
    std::shared_ptr<net::Stream> far;  // null until it is opened
    std::string to_near;               // held while silent
    std::string to_far;                // held while silent, or until the far side is opened
    platform::LineSplitter passed;     // of what went to the near side
  };
  void listen();
  void accept(int fd, net::Address from);
  void open_far(std::size_t id);
  void pass(std::size_t id);
  void pass_to_near(Pair& pair);
  void end(std::size_t id, bool hard);

  net::Loop& loop_;
  net::Address target_;
  net::Address address_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::size_t, Pair> pairs_;
  std::size_t last_ = 0;
  std::function<void(std::string_view line)> line_observer_;
  double open_late_s_ = 0;
  std::size_t close_early_ = 0;
  bool silent_ = false;
  double delayed_until_ = 0;
  std::vector<int> black_hole_;  // sockets that keep the backlog of an unserved listener full
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_FAULT_LINE_HPP_
