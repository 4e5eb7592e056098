// The discovery service of one edge proxy in a soak: a stream of server-sent events, numbered from 1 after
// each start of the edge proxy, with the faults of the platform's specification.
#ifndef MINTROCK_SRC_LAB_SOAK_DISCOVERY_HPP_
#define MINTROCK_SRC_LAB_SOAK_DISCOVERY_HPP_

#include <cstddef>
#include <cstdint>
#include <functional>
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

// How slowly discovery answers. Times in seconds; all zero: at once.
struct ResponsePace {
  double read_delay_s = 0;           // from an accepted connection to reading its request
  double delay_s = 0;                // from a request to the first byte of its response
  double head_duration_s = 0;        // of the response head, sent byte by byte
  double first_comment_delay_s = 0;  // from the head to the events, or the next comment
  double event_duration_s = 0;       // of each event, sent in pieces
  double comment_interval_s = 1;     // between comments
  double service_time_s = 0;         // requests are served one after another, each for this long
  double max_wait_s = 60;            // of a request for its turn
  std::size_t forgotten = 0;         // so many requests are never answered
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
  // Applies to the requests and events to come.
  void set_pace(const ResponsePace& pace) { pace_ = pace; }
  // True if a connection is open on which everything published has been sent.
  bool up_to_date() const;
  std::size_t requests() const { return requests_; }  // that arrived whole

 private:
  // A connection of the edge proxy.
  struct Subscriber {
    std::shared_ptr<net::Stream> stream;
    std::string request;
    std::size_t next_event = 0;  // index in events_ of the event to send next
    bool silent = false;
    bool request_complete = false;
    bool response_started = false;  // events and comments may be sent
    double writing_until = 0;       // end of what is being sent in pieces
  };
  void listen();
  void accept(int fd, net::Address from);
  void handle_request(std::size_t id, std::string_view bytes);
  void begin_response(std::size_t id);
  void write_in_pieces(std::size_t id, const std::string& text, std::size_t piece_size, double duration_s);
  void run_after(double delay_s, std::function<void()> task);
  void send_events(std::size_t id);
  void send_keepalives();

  net::Loop& loop_;
  net::Address address_;
  std::unique_ptr<net::Listener> listener_;
  std::vector<std::string> events_;  // event number n is at index n - 1
  std::map<std::size_t, Subscriber> subscribers_;
  std::size_t last_id_ = 0;
  ResponsePace pace_;
  double busy_until_ = 0;  // serving one request after another
  std::size_t requests_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_DISCOVERY_HPP_
