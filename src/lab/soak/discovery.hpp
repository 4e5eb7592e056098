// The discovery service of one edge proxy in a soak: a stream of server-sent events, numbered from 1 after
// each start of the edge proxy, with the faults of the platform's specification.
#ifndef MINTROCK_SRC_LAB_SOAK_DISCOVERY_HPP_
#define MINTROCK_SRC_LAB_SOAK_DISCOVERY_HPP_

#include <cstdint>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "net/loop.hpp"

namespace mintrock::lab::soak {

struct Host {
  std::string name;
  net::Address address;
  std::string health;              // SERVING, DRAINING or DELETED
  std::int64_t start_time_ms = 0;  // start time in ms since the Unix epoch; 0: there from the beginning
};

class Discovery {
 public:
  // Listens on free ports of the loopback address `ip`.
  Discovery(net::Loop& loop, std::uint32_t ip);
  ~Discovery();

  // To be called when the edge proxy starts: drops the event history and returns the current server list as
  // its configuration holds it under `known`.
  nlohmann::json start(const std::vector<Host>& hosts);
  void publish(const std::vector<Host>& changes);

  net::Address address() const { return address_; }
  // Listens at a new address from now on. Connections to the old one get no further events and are closed
  // after 1.5 s.
  void change_address();
  // Sends nothing more on the connections that are open now.
  void go_silent();
  // Closes the connections in the middle of an event.
  void break_connections();
  // While down, closes all connections and refuses new ones.
  void set_down(bool down);

 private:
  // A connection of the edge proxy.
  struct Subscriber {
    std::shared_ptr<net::Stream> stream;
    std::string request;
    std::size_t next_event = 0;  // index in events_ of the event to send next
    bool silent = false;
    bool response_started = false;
  };
  void listen();
  void accept(int fd, net::Address from);
  void handle_request(std::size_t id, std::string_view bytes);
  void send_events(std::size_t id);
  void send_keepalives();

  net::Loop& loop_;
  net::Address address_;
  std::unique_ptr<net::Listener> listener_;
  std::vector<std::string> events_;  // event number n is at index n - 1
  std::map<std::size_t, Subscriber> subscribers_;
  std::size_t last_id_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_DISCOVERY_HPP_
