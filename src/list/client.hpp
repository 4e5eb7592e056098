// A subscription to the server list: Server-Sent Events over HTTP/1.1, reconnecting after failures.
#ifndef MINTROCK_SRC_LIST_CLIENT_HPP_
#define MINTROCK_SRC_LIST_CLIENT_HPP_

#include <http_parser.h>

#include <functional>
#include <memory>
#include <random>
#include <string>

#include "list/sse.hpp"
#include "net/loop.hpp"

namespace mintrock::list {

class Client {
 public:
  struct Handlers {
    std::function<void(const SseEvent&)> on_event;
    // The subscription ended or could not be opened.
    std::function<void(const std::string& reason)> on_failed;
  };

  // A failed subscription is opened again after `reconnect_s`, then with exponential backoff. The delays have
  // a random jitter from `seed`, so that the proxies of a fleet do not reconnect at the same time.
  Client(net::Loop& loop, net::Address server, std::string path, double reconnect_s, double idle_s,
         std::uint64_t seed, Handlers handlers);
  ~Client();
  Client(const Client&) = delete;

  // Opens the subscription unless it is open or being opened. After a failure it is reopened automatically.
  void open();
  void close();
  // Makes the subscription start after this event, which is known from another source.
  void resume_after(const std::string& id) { sse_.set_last_id(id); }
  // Subscribes again after this event because a later one was missing or unreadable, with the delays of a
  // failure.
  void resubscribe_after(const std::string& id);

 private:
  void schedule_reconnect();
  void fail(const std::string& reason);
  void on_bytes(std::string_view bytes);
  void restart_idle_timer();

  net::Loop& loop_;
  net::Address server_;
  std::string path_;
  double reconnect_s_;
  double idle_s_;  // timeout after which a connection without data counts as lost
  Handlers handlers_;
  std::shared_ptr<net::Stream> stream_;
  std::mt19937_64 random_;
  int failures_ = 0;  // since the last event
  net::TimerId reconnect_timer_ = 0;
  net::TimerId idle_timer_ = 0;
  http_parser parser_;
  http_parser_settings settings_;
  SseParser sse_;
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_CLIENT_HPP_
