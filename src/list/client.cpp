#include "list/client.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace mintrock::list {

Client::Client(net::Loop& loop, net::Address server, std::string path, double reconnect_s, double idle_s,
               std::uint64_t seed, Handlers handlers)
    : loop_(loop),
      server_(server),
      path_(std::move(path)),
      reconnect_s_(reconnect_s),
      idle_s_(idle_s),
      handlers_(std::move(handlers)),
      random_(seed) {
  http_parser_settings_init(&settings_);
  settings_.on_headers_complete = [](http_parser* p) { return p->status_code == 200 ? 0 : -1; };
  settings_.on_body = [](http_parser* p, const char* at, std::size_t size) {
    Client& self = *static_cast<Client*>(p->data);
    self.sse_.feed({at, size}, [&self](const SseEvent& event) {
      self.failures_ = 0;
      self.handlers_.on_event(event);
    });
    return 0;
  };
}

Client::~Client() { close(); }

void Client::open() {
  if (stream_) return;
  loop_.timers().cancel(std::exchange(reconnect_timer_, 0));
  http_parser_init(&parser_, HTTP_RESPONSE);
  parser_.data = this;
  sse_.restart();
  try {
    stream_ = net::Stream::connect(loop_, server_, 1 << 20);
  } catch (const std::exception&) {
    return fail("no file descriptor available");
  }
  stream_->set_handlers({[this] {
                           std::string request =
                               "GET " + path_ + " HTTP/1.1\r\nHost: " + server_.str() +
                               "\r\nAccept: text/event-stream\r\nCache-Control: no-store\r\n";
                           if (!sse_.last_id().empty())
                             request += "Last-Event-ID: " + sse_.last_id() + "\r\n";
                           stream_->write(request + "\r\n");
                         },
                         [this](std::string_view bytes) { on_bytes(bytes); },
                         [this](const std::string& reason) { fail(reason); }});
  restart_idle_timer();
}

void Client::close() {
  loop_.timers().cancel(std::exchange(reconnect_timer_, 0));
  loop_.timers().cancel(std::exchange(idle_timer_, 0));
  if (stream_) stream_->close();
  stream_.reset();
}

void Client::restart_idle_timer() {
  loop_.timers().cancel(idle_timer_);
  idle_timer_ = loop_.after(idle_s_, [this] {
    idle_timer_ = 0;
    fail("no data received for " + std::to_string(idle_s_) + " s");
  });
}

void Client::on_bytes(std::string_view bytes) {
  restart_idle_timer();
  const std::shared_ptr<net::Stream> stream = stream_;  // a handler may close the subscription
  const std::size_t parsed = http_parser_execute(&parser_, &settings_, bytes.data(), bytes.size());
  if (stream_ != stream) return;
  const auto error = HTTP_PARSER_ERRNO(&parser_);
  if (error != HPE_OK || parsed != bytes.size()) {
    fail(parser_.status_code != 0 && parser_.status_code != 200
             ? "HTTP status " + std::to_string(parser_.status_code)
             : std::string("malformed HTTP: ") + http_errno_description(error));
  }
}

void Client::fail(const std::string& reason) {
  close();
  schedule_reconnect();
  handlers_.on_failed(reason);
}

void Client::resubscribe_after(const std::string& id) {
  close();
  sse_.set_last_id(id);
  schedule_reconnect();
}

void Client::schedule_reconnect() {
  constexpr int kMaxDoublings = 3;
  const double delay = reconnect_s_ * (1 << std::min(failures_, kMaxDoublings));
  failures_ += 1;
  constexpr double kMinJitter = 0.5;  // share of the delay
  reconnect_timer_ = loop_.after(delay * std::uniform_real_distribution<>(kMinJitter, 1.0)(random_), [this] {
    reconnect_timer_ = 0;
    open();
  });
}

}  // namespace mintrock::list
