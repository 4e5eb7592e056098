// Decides which requests for the server list are open: when one is sent, sent again, or closed.
//
// Pure: does no I/O and reads no clock. A request passes through these states; each has a bound of its own,
// because a slow address, a slow answer and a silent stream are different faults.
//
//   state        what is waited for            at the bound
//   kConnecting  the connection                another request is sent
//   kRequested   the first byte of the answer  another request is sent
//   kResponding  a whole event or comment      another request is sent; bytes alone don't extend the bound
//   kSubscribed  any byte                      another request is sent
//
// A request that is late is not given up: a server that is slow would then never be heard, and each repeated
// request would make a crowded one slower. It stays open until a newer one is subscribed.
//
//   event                                  what is closed                            what is sent
//   start                                  -                                         a request, if none is
//   open move                                   all but the latest; the rest is obsolete  a request verify,
//   while subscribed               -                                         a request a bound is reached the
//   less promising, if two are open       a request the same, while an older one speaks    the late one -
//   subscribed, or heard while subscribed  older ones; newer ones without an answer  -
//   ended                                  -                                         after a delay, once a
//   bound
//                                                                                    is reached
//   events missing                         what is subscribed                        the same
//
// At most two requests are open at once. An obsolete request belongs to an earlier address: what it still
// delivers is read, but nothing is expected of it.
#ifndef MINTROCK_SRC_LIST_SUBSCRIPTION_HPP_
#define MINTROCK_SRC_LIST_SUBSCRIPTION_HPP_

#include <cstddef>
#include <cstdint>
#include <random>
#include <vector>

namespace mintrock::list {

using RequestId = std::uint64_t;  // 0: none

enum class RequestState { kConnecting, kRequested, kResponding, kSubscribed };

// What a request's connection has delivered.
enum class Received { kBytes, kComment, kEvent };

// Times in seconds.
struct SubscriptionSettings {
  double retry_s = 1;          // delay after a failure; doubled by each further one, up to eight times
  double silence_s = 30;       // a subscribed server that is silent for this long is asked again
  double late_silence_s = 30;  // the same while its comments are known to come later than that
};

class Subscription {
 public:
  static constexpr std::size_t kMaxRequests = 2;
  static constexpr double kConnectWait = 1.0;      // s, for a connection
  static constexpr double kAnswerWait = 2.8;       // s, for the answer to a first request
  static constexpr double kLossAnswerWait = 1.5;   // s, the same after a subscription was lost or is silent
  static constexpr double kRepeatWait = 4.0;       // s, for the answer while an earlier request is open too
  static constexpr double kMaxUnanswered = 120.0;  // s, after which a later request outlasts an earlier one
  static constexpr double kMinJitter = 0.8;        // share of each bound, so that a fleet doesn't ask in step
  static constexpr double kMinRetryJitter = 0.5;   // share of the delay after a failure
  static constexpr int kMaxDoublings = 3;          // of that delay
  static constexpr double kStableAfter = 1.0;      // s of a subscription that end a series of failures

  // What to do, in this order.
  struct Steps {
    std::vector<RequestId> close;
    RequestId open = 0;
    bool lost = false;  // there was a subscription or a try to get one, and it has failed
  };

  Subscription(const SubscriptionSettings& settings, std::uint64_t seed)
      : settings_(settings), random_(seed) {}

  Steps start(double now);
  // The server is at another address.
  Steps move(double now);
  // The server was named anew at the same address: it may have forgotten the subscription.
  Steps verify(double now);
  void connected(RequestId id, double now);
  Steps received(RequestId id, Received what, double now);
  // The request could not be sent, was refused, or its connection was closed by the server.
  Steps ended(RequestId id, double now);
  // Events are missing or unreadable: they have to be requested again.
  Steps events_missing(double now);
  Steps tick(double now);
  // When tick() is due; infinity: never.
  double deadline() const;

  std::size_t requests() const { return requests_.size(); }

 private:
  struct Request {
    RequestId id = 0;
    RequestState state = RequestState::kConnecting;
    double state_since = 0;  // for kSubscribed: when it was last heard
    double opened_at = 0;
    double subscribed_at = 0;
    double in_time_since = 0;  // since when no two messages were far apart
    double answer_wait = 0;    // s
    double jitter = 1;         // share of each bound
    bool obsolete = false;
  };
  enum class Reason { kStart, kFailure, kLoss };

  double draw(double min_share) { return std::uniform_real_distribution<>(min_share, 1.0)(random_); }
  Request* find(RequestId id);
  void open(Reason reason, double now, Steps& steps);
  void close(RequestId id, Steps& steps);
  void make_room(double now, Steps& steps);
  void delay_retry(double now);
  double bound_of(const Request& request) const;
  bool is_speaking(const Request& request, double now) const;
  bool any_speaking(double now) const;
  void note_heard(Request& request, Received what, double now);

  SubscriptionSettings settings_;
  std::mt19937_64 random_;
  std::vector<Request> requests_;  // the earliest first
  RequestId last_id_ = 0;
  bool started_ = false;
  double retry_at_ = 0;  // no request is sent before
  int failures_ = 0;
  bool after_loss_ = false;     // the next request follows the loss of a subscription
  bool comments_late_ = false;  // a subscribed server was silent for silence_s since it was last in time
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_SUBSCRIPTION_HPP_
