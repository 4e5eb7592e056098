#include "list/client.hpp"

#include <http_parser.h>

#include <exception>
#include <limits>
#include <utility>

namespace mintrock::list {
namespace {

constexpr std::size_t kMaxUnsentBytes = 1 << 20;

}  // namespace

const char* name(RequestChange change) {
  switch (change) {
    case RequestChange::kSent:
      return "sent";
    case RequestChange::kConnected:
      return "connected";
    case RequestChange::kAnswered:
      return "answered";
    case RequestChange::kSubscribed:
      return "subscribed";
    case RequestChange::kEnded:
      return "ended";
    case RequestChange::kClosed:
      return "closed";
  }
  return "?";
}

// One request with its connection. It is kept by the code that reads from it until that returns.
struct Client::Request {
  Request(Client& owner, RequestId number, const std::string& after)
      : client(owner), id(number), events(owner.max_event_) {
    http_parser_init(&parser, HTTP_RESPONSE);
    parser.data = this;
    http_parser_settings_init(&settings);
    settings.on_headers_complete = [](http_parser* p) { return p->status_code == 200 ? 0 : -1; };
    settings.on_body = [](http_parser* p, const char* at, std::size_t size) {
      static_cast<Request*>(p->data)->parse_body({at, size});
      return 0;
    };
    events.set_last_id(after);
  }
  void parse_body(std::string_view body) {
    events.feed(
        body,
        [this](const SseEvent& event) {
          if (!open) return;
          client.on_received(*this, Received::kEvent);
          client.last_event_id_ = events.last_id();
          client.handlers_.on_event(event);
        },
        [this] {
          if (open) client.on_received(*this, Received::kComment);
        });
  }

  Client& client;
  RequestId id;
  bool open = true;
  bool answered = false;    // has received a byte
  bool subscribed = false;  // has received a whole event or comment
  std::shared_ptr<net::Stream> stream;
  http_parser parser;
  http_parser_settings settings;
  SseParser events;
};

Client::Client(net::Loop& loop, net::Address server, std::string path, const SubscriptionSettings& settings,
               std::uint64_t seed, Handlers handlers, std::size_t max_event)
    : loop_(loop),
      server_(server),
      path_(std::move(path)),
      max_event_(max_event),
      handlers_(std::move(handlers)),
      subscription_(settings, seed) {}

Client::~Client() {
  loop_.timers().cancel(timer_);
  handlers_ = {};
  while (!requests_.empty()) drop(requests_.begin()->first, RequestChange::kClosed);
}

void Client::open() { carry_out(subscription_.start(loop_.now()), ""); }

void Client::move(net::Address server) {
  const double now = loop_.now();
  if (server == server_) return carry_out(subscription_.verify(now), "");
  server_ = server;
  carry_out(subscription_.move(now), "");
}

void Client::resubscribe_after(const std::string& id) {
  last_event_id_ = id;
  carry_out(subscription_.events_missing(loop_.now()), "");
}

void Client::carry_out(const Subscription::Steps& steps, const std::string& reason) {
  for (const RequestId id : steps.close) drop(id, RequestChange::kClosed);
  if (steps.open != 0) send_request(steps.open);
  schedule_timer();
  if (steps.lost) handlers_.on_failed(reason);
}

void Client::send_request(RequestId id) {
  std::shared_ptr<net::Stream> stream;
  try {
    stream = net::Stream::connect(loop_, server_, kMaxUnsentBytes);
  } catch (const std::exception&) {
    return carry_out(subscription_.ended(id, loop_.now()), "no file descriptor available");
  }
  const auto request = std::make_shared<Request>(*this, id, last_event_id_);
  request->stream = stream;
  requests_[id] = request;
  notify(id, RequestChange::kSent);
  const std::weak_ptr<Request> weak = request;
  stream->set_handlers({[this, weak] {
                          if (const auto self = weak.lock()) on_connected(*self);
                        },
                        [this, weak](std::string_view bytes) {
                          if (const auto self = weak.lock()) on_bytes(*self, bytes);
                        },
                        [this, weak](const std::string& reason) {
                          if (const auto self = weak.lock()) on_ended(*self, reason);
                        }});
}

void Client::on_connected(Request& request) {
  std::string text = "GET " + path_ + " HTTP/1.1\r\nHost: " + request.stream->remote().str() +
                     "\r\nAccept: text/event-stream\r\nCache-Control: no-store\r\n";
  if (!last_event_id_.empty()) text += "Last-Event-ID: " + last_event_id_ + "\r\n";
  request.stream->write(text + "\r\n");
  subscription_.connected(request.id, loop_.now());
  notify(request.id, RequestChange::kConnected);
  schedule_timer();
}

void Client::on_bytes(Request& request, std::string_view bytes) {
  if (!std::exchange(request.answered, true)) notify(request.id, RequestChange::kAnswered);
  on_received(request, Received::kBytes);
  const std::size_t parsed =
      http_parser_execute(&request.parser, &request.settings, bytes.data(), bytes.size());
  if (!request.open) return;
  const auto error = HTTP_PARSER_ERRNO(&request.parser);
  if (error == HPE_OK && parsed == bytes.size()) return;
  on_ended(request, request.parser.status_code != 0 && request.parser.status_code != 200
                        ? "HTTP status " + std::to_string(request.parser.status_code)
                        : std::string("malformed HTTP: ") + http_errno_description(error));
}

void Client::on_received(Request& request, Received what) {
  if (what != Received::kBytes && !std::exchange(request.subscribed, true))
    notify(request.id, RequestChange::kSubscribed);
  carry_out(subscription_.received(request.id, what, loop_.now()), "");
}

void Client::on_ended(Request& request, const std::string& reason) {
  const RequestId id = request.id;
  drop(id, RequestChange::kEnded);
  carry_out(subscription_.ended(id, loop_.now()), reason);
}

void Client::drop(RequestId id, RequestChange change) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  found->second->open = false;
  if (found->second->stream) found->second->stream->close();
  // The request may be dropped while its bytes are being parsed.
  loop_.defer([kept = std::move(found->second)] {});
  requests_.erase(found);
  notify(id, change);
}

void Client::notify(RequestId id, RequestChange change) {
  if (handlers_.on_change) handlers_.on_change(id, change);
}

void Client::schedule_timer() {
  loop_.timers().cancel(std::exchange(timer_, 0));
  const double due = subscription_.deadline();
  if (due == std::numeric_limits<double>::infinity()) return;
  timer_ = loop_.timers().schedule(due, [this] {
    timer_ = 0;
    carry_out(subscription_.tick(loop_.now()), "silent, and asked again without an answer");
  });
}

}  // namespace mintrock::list
