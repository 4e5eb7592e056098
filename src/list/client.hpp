// The watch of the pool list: Server-Sent Events over HTTP/1.1, kept up by reconnecting.
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
    std::function<void(const std::string& why)> on_failed;  // the subscription broke, or could not be had
  };

  // After `reconnect_s` a broken subscription is asked for again, then at doubling gaps, each drawn from
  // `seed`, so that a fleet does not ask in step.
  Client(net::Loop& loop, net::Address server, std::string path, double reconnect_s, double idle_s,
         std::uint64_t seed, Handlers handlers);
  ~Client();
  Client(const Client&) = delete;

  // Opens the subscription unless it is open or under way. After a failure it is opened again by itself.
  void open();
  void close();
  // What is known already, from elsewhere: the subscription goes on behind this event.
  void resume_after(const std::string& id) { sse_.set_last_id(id); }
  // What came behind this event is not to be believed: it is asked for again, at the gaps of a failure.
  void resubscribe_after(const std::string& id);

 private:
  void retry_later();
  void failed(const std::string& why);
  void received(std::string_view bytes);
  void note_alive();

  net::Loop& loop_;
  net::Address server_;
  std::string path_;
  double reconnect_s_;
  double idle_s_;  // with nothing heard for so long, the connection is taken for dead
  Handlers handlers_;
  std::shared_ptr<net::Stream> stream_;
  std::mt19937_64 random_;
  int failures_ = 0;  // since an event last came
  net::TimerId retry_ = 0;
  net::TimerId idle_ = 0;
  http_parser parser_;
  http_parser_settings settings_;
  SseParser sse_;
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_CLIENT_HPP_
