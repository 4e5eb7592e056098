// A TCP forwarder on loopback that injects network faults: it delays connections, stops forwarding, resets or
// refuses connections, or neither accepts nor refuses them, as an unreachable machine does.
#ifndef MINTROCK_SRC_LAB_SOAK_FAULTY_LINK_HPP_
#define MINTROCK_SRC_LAB_SOAK_FAULTY_LINK_HPP_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "net/loop.hpp"
#include "platform/core_codec.hpp"

namespace mintrock::lab::soak {

class FaultyLink {
 public:
  // Listens on a free port of its own at the target's address, which stays the same until it is destroyed.
  FaultyLink(net::Loop& loop, const net::Address& target);
  ~FaultyLink();
  FaultyLink(const FaultyLink&) = delete;
  FaultyLink& operator=(const FaultyLink&) = delete;

  const net::Address& address() const { return address_; }

  // Calls `observer` with each line that was handed to the operating system for the client, which is the side
  // that connected.
  void on_line_delivered(std::function<void(std::string_view line)> observer) {
    line_observer_ = std::move(observer);
  }

  // Delays the connection to the target for new clients by this many seconds.
  void set_connect_delay(double seconds) { connect_delay_s_ = seconds; }
  // Closes the next `connections` connections as soon as they are accepted.
  void close_next(std::size_t connections) { connections_to_close_ = connections; }
  // Forwards nothing while silent; what was sent meanwhile arrives afterwards, as TCP retransmits it.
  void set_silent(bool silent);
  // Resets every connection; data in transit is lost.
  void cut();
  // Stops or resumes listening; meanwhile connections are refused.
  void refuse(bool refused);
  // Neither accepts nor refuses new connections, and stops forwarding on the established ones.
  void vanish();
  bool silent() const { return silent_; }
  // Whether bytes that were held back have just been forwarded.
  bool delayed() const { return loop_.now() < delayed_until_; }

 private:
  struct Link {
    std::shared_ptr<net::Stream> client;
    std::shared_ptr<net::Stream> server;  // null until the connection to the target is opened
    std::string to_client;                // held back while silent
    std::string to_server;                // held back while silent, or until `server` is opened
    platform::LineSplitter delivered;     // splits what was sent to the client into lines
  };
  void listen();
  void accept(int fd, net::Address from);
  void open_server_side(std::size_t id);
  void forward(std::size_t id);
  void forward_to_client(Link& link);
  void close_link(std::size_t id, bool reset);

  net::Loop& loop_;
  net::Address target_;
  net::Address address_;
  std::unique_ptr<net::Listener> listener_;
  std::map<std::size_t, Link> links_;
  std::size_t last_id_ = 0;
  std::function<void(std::string_view line)> line_observer_;
  double connect_delay_s_ = 0;
  std::size_t connections_to_close_ = 0;
  bool silent_ = false;
  double delayed_until_ = 0;
  std::vector<int> black_hole_;  // sockets that keep the backlog of a listener full that accepts nothing
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_FAULTY_LINK_HPP_
