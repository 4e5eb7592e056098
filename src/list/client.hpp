// A subscription to the server list: Server-Sent Events over HTTP/1.1, requested again after failures and
// while the server is slow or silent. Carries out what Subscription decides.
#ifndef MINTROCK_SRC_LIST_CLIENT_HPP_
#define MINTROCK_SRC_LIST_CLIENT_HPP_

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "list/sse.hpp"
#include "list/subscription.hpp"
#include "net/loop.hpp"

namespace mintrock::list {

// What has become of one request, for the log.
enum class RequestChange { kSent, kConnected, kAnswered, kSubscribed, kEnded, kClosed };
const char* name(RequestChange change);

class Client {
 public:
  struct Handlers {
    std::function<void(const SseEvent&)> on_event;
    // The subscription was lost, or a try to get one has failed.
    std::function<void(const std::string& reason)> on_failed;
    std::function<void(RequestId, RequestChange)> on_change = {};  // may be empty
  };

  static constexpr std::size_t kDefaultMaxEvent = 16 << 20;  // bytes

  // The delays have a random jitter from `seed`, so that the proxies of a fleet do not send requests at the
  // same time. An event of more than `max_event` bytes is dropped.
  Client(net::Loop& loop, net::Address server, std::string path, const SubscriptionSettings& settings,
         std::uint64_t seed, Handlers handlers, std::size_t max_event = kDefaultMaxEvent);
  ~Client();
  Client(const Client&) = delete;

  // Sends a request unless one is open. After a failure one is sent again automatically.
  void open();
  // Subscribes at another address, or asks the one at the same address whether the subscription stands. What
  // the earlier server still sends is read until the new one answers.
  void move(net::Address server);
  // Makes later requests start after this event.
  void resume_after(const std::string& id) { last_event_id_ = id; }
  // Subscribes again after this event because a later one was missing or unreadable, with the delays of a
  // failure.
  void resubscribe_after(const std::string& id);

 private:
  struct Request;

  void carry_out(const Subscription::Steps& steps, const std::string& reason);
  void send_request(RequestId id);
  void on_connected(Request& request);
  void on_bytes(Request& request, std::string_view bytes);
  void on_received(Request& request, Received what);
  void on_ended(Request& request, const std::string& reason);
  void drop(RequestId id, RequestChange change);
  void notify(RequestId id, RequestChange change);
  void schedule_timer();

  net::Loop& loop_;
  net::Address server_;
  std::string path_;
  std::size_t max_event_;  // bytes
  Handlers handlers_;
  Subscription subscription_;
  std::map<RequestId, std::shared_ptr<Request>> requests_;
  std::string last_event_id_;
  net::TimerId timer_ = 0;
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_CLIENT_HPP_
