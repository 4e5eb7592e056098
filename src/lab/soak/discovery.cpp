#include "lab/soak/discovery.hpp"

#include <cstdlib>
#include <utility>

namespace mintrock::lab::soak {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxUnsentBytes = 1 << 20;
constexpr double kKeepaliveInterval = 1.0;     // s
constexpr double kOldAddressCloseDelay = 1.5;  // s after a change of address

json event(std::uint64_t offset, const std::vector<Host>& hosts, bool full_list) {
  json host_entries = json::array();
  for (const Host& each : hosts) {
    host_entries.push_back({{"host", each.name},
                            {"dial", each.address.str()},
                            {"site", "east"},
                            {"class", "small"},
                            {"block", 0},
                            {"health", each.health},
                            {"share", 1},
                            {"born_ms", each.start_time_ms}});
  }
  return {{"offset", offset}, {"topology", {{"seq", offset}, {"whole", full_list}, {"hosts", host_entries}}}};
}

}  // namespace

Discovery::Discovery(net::Loop& loop, std::uint32_t ip) : loop_(loop), address_{ip, 0} {
  listen();
  send_keepalives();
}

Discovery::~Discovery() {
  *alive_ = false;
  for (auto& [id, subscriber] : subscribers_) subscriber.stream->close();
}

void Discovery::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, address_,
                                              [this](int fd, net::Address from) { accept(fd, from); });
  address_ = listener_->local();
}

json Discovery::start(const std::vector<Host>& hosts) {
  for (auto& [id, subscriber] : subscribers_) subscriber.stream->close();
  subscribers_.clear();
  const json first = event(1, hosts, true);
  events_ = {first.dump()};
  return {{"offset", 1}, {"batch", json::array({first})}};
}

void Discovery::publish(const std::vector<Host>& changes) {
  events_.push_back(event(events_.size() + 1, changes, false).dump());
  for (auto& [id, subscriber] : subscribers_) send_events(id);
}

void Discovery::accept(int fd, net::Address from) {
  const std::size_t id = ++last_id_;
  subscribers_[id].stream = net::Stream::adopt(loop_, fd, from, kMaxUnsentBytes);
  subscribers_[id].stream->set_handlers({{},
                                         [this, id](std::string_view bytes) { handle_request(id, bytes); },
                                         [this, id](const std::string&) { subscribers_.erase(id); }});
}

void Discovery::handle_request(std::size_t id, std::string_view bytes) {
  Subscriber& subscriber = subscribers_.at(id);
  subscriber.request += bytes;
  if (subscriber.response_started || subscriber.request.find("\r\n\r\n") == std::string::npos) return;
  subscriber.response_started = true;
  constexpr std::string_view kHeader = "Last-Event-ID: ";
  const std::size_t at = subscriber.request.find(kHeader);
  if (at != std::string::npos) {
    subscriber.next_event = std::strtoul(subscriber.request.c_str() + at + kHeader.size(), nullptr, 10);
  }
  subscriber.stream->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
  send_events(id);
}

void Discovery::send_events(std::size_t id) {
  Subscriber& subscriber = subscribers_.at(id);
  if (!subscriber.response_started || subscriber.silent) return;
  for (; subscriber.next_event < events_.size(); ++subscriber.next_event) {
    subscriber.stream->write("id: " + std::to_string(subscriber.next_event + 1) +
                             "\ndata: " + events_[subscriber.next_event] + "\n\n");
  }
}

void Discovery::send_keepalives() {
  for (auto& [id, subscriber] : subscribers_) {
    if (subscriber.response_started && !subscriber.silent) subscriber.stream->write(": still here\n\n");
  }
  loop_.after(kKeepaliveInterval, [this, alive = alive_] {
    if (*alive) send_keepalives();
  });
}

void Discovery::change_address() {
  for (auto& [id, subscriber] : subscribers_) {
    subscriber.silent = true;
    loop_.after(kOldAddressCloseDelay, [stream = subscriber.stream] { stream->close(); });
  }
  listener_.reset();
  address_.port = 0;
  listen();
}

void Discovery::go_silent() {
  for (auto& [id, subscriber] : subscribers_) subscriber.silent = true;
}

void Discovery::break_connections() {
  for (auto& [id, subscriber] : std::exchange(subscribers_, {})) {
    subscriber.stream->set_handlers({});
    subscriber.stream->write("id: 999\ndata: {\"offs");
    subscriber.stream->close_after_flush();
  }
}

void Discovery::set_down(bool down) {
  if (!down) {
    if (listener_ == nullptr) listen();
    return;
  }
  listener_.reset();
  for (auto& [id, subscriber] : std::exchange(subscribers_, {})) {
    subscriber.stream->set_handlers({});
    subscriber.stream->close();
  }
}

}  // namespace mintrock::lab::soak
