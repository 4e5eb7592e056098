// Discovery as one edge proxy meets it in a soak: numbered events, counted anew from each start of the proxy,
// told over server-sent events, with the faults of the platform's pages.
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
  std::string health;        // SERVING, DRAINING or DELETED
  std::int64_t born_ms = 0;  // of a late start; 0: none
};

class Discovery {
 public:
  // Listens on free ports of this loopback address.
  Discovery(net::Loop& loop, std::uint32_t ip);
  ~Discovery();

  // The edge proxy starts: the list now, as its configuration keeps it under `known`.
  nlohmann::json start(const std::vector<Host>& hosts);
  void tell(const std::vector<Host>& changes);

  net::Address address() const { return address_; }
  // New connections go to a new address; the old one tells nothing more and closes after 1.5 s.
  void move();
  // Says nothing on the connections that are open now.
  void fall_silent();
  // Breaks the connections off, in the middle of an event.
  void break_off();
  // Nobody listens, and the connections end.
  void set_down(bool down);

 private:
  struct Watcher {
    std::shared_ptr<net::Stream> stream;
    std::string request;
    std::size_t next = 0;  // event that it is told next
    bool silent = false;
    bool begun = false;
  };
  void listen();
  void accept(int fd, net::Address from);
  void request(std::size_t id, std::string_view bytes);
  void pump(std::size_t id);
  void comment();

  net::Loop& loop_;
  net::Address address_;
  std::unique_ptr<net::Listener> listener_;
  std::vector<std::string> events_;  // number 1 first
  std::map<std::size_t, Watcher> watchers_;
  std::size_t last_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_DISCOVERY_HPP_
