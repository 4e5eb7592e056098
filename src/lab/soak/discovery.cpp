#include "lab/soak/discovery.hpp"

#include <algorithm>
#include <cstdlib>
#include <utility>

namespace mintrock::lab::soak {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxUnsentBytes = 1 << 20;
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
  if (pace_.read_delay_s <= 0) return;
  subscribers_[id].stream->pause_reading(true);
  run_after(pace_.read_delay_s, [this, id] {
    const auto found = subscribers_.find(id);
    if (found != subscribers_.end()) found->second.stream->pause_reading(false);
  });
}

void Discovery::run_after(double delay_s, std::function<void()> task) {
  loop_.after(delay_s, [alive = alive_, task = std::move(task)] {
    if (*alive) task();
  });
}

void Discovery::handle_request(std::size_t id, std::string_view bytes) {
  Subscriber& subscriber = subscribers_.at(id);
  subscriber.request += bytes;
  if (subscriber.request_complete || subscriber.request.find("\r\n\r\n") == std::string::npos) return;
  subscriber.request_complete = true;
  requests_ += 1;
  constexpr std::string_view kHeader = "Last-Event-ID: ";
  const std::size_t at = subscriber.request.find(kHeader);
  if (at != std::string::npos) {
    subscriber.next_event = std::strtoul(subscriber.request.c_str() + at + kHeader.size(), nullptr, 10);
  }
  if (pace_.forgotten > 0) {
    pace_.forgotten -= 1;
    return;
  }
  const double now = loop_.now();
  busy_until_ = std::max(now, busy_until_) + pace_.service_time_s;
  const double delay_s = std::min(busy_until_ - now, pace_.max_wait_s) + pace_.delay_s;
  if (delay_s <= 0) return begin_response(id);
  run_after(delay_s, [this, id] { begin_response(id); });
}

void Discovery::begin_response(std::size_t id) {
  if (subscribers_.count(id) == 0) return;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n";
  write_in_pieces(id, head, 1, pace_.head_duration_s);
  const auto begin_events = [this, id] {
    const auto found = subscribers_.find(id);
    if (found == subscribers_.end()) return;
    found->second.response_started = true;
    send_events(id);
  };
  const double delay_s = pace_.head_duration_s + pace_.first_comment_delay_s;
  if (delay_s <= 0) return begin_events();
  run_after(delay_s, begin_events);
}

// Sends `text` in pieces of this size, evenly over the duration; at once if that is zero.
void Discovery::write_in_pieces(std::size_t id, const std::string& text, std::size_t piece_size,
                                double duration_s) {
  Subscriber& subscriber = subscribers_.at(id);
  const double begin = std::max(loop_.now(), subscriber.writing_until);
  if (duration_s <= 0 && begin <= loop_.now()) return subscriber.stream->write(text);
  const std::size_t pieces = (text.size() + piece_size - 1) / piece_size;
  for (std::size_t i = 0; i < pieces; ++i) {
    const double at = begin + duration_s * static_cast<double>(i) / static_cast<double>(pieces);
    run_after(at - loop_.now(), [this, id, piece = text.substr(i * piece_size, piece_size)] {
      const auto found = subscribers_.find(id);
      if (found != subscribers_.end()) found->second.stream->write(piece);
    });
  }
  subscriber.writing_until = begin + duration_s;
}

void Discovery::send_events(std::size_t id) {
  Subscriber& subscriber = subscribers_.at(id);
  if (!subscriber.response_started || subscriber.silent) return;
  for (; subscriber.next_event < events_.size(); ++subscriber.next_event) {
    const std::string text = "id: " + std::to_string(subscriber.next_event + 1) +
                             "\ndata: " + events_[subscriber.next_event] + "\n\n";
    constexpr std::size_t kPieces = 10;
    write_in_pieces(id, text, text.size() / kPieces + 1, pace_.event_duration_s);
  }
}

void Discovery::send_keepalives() {
  for (auto& [id, subscriber] : subscribers_) {
    const bool idle = loop_.now() >= subscriber.writing_until;  // a comment must not end up inside an event
    if (subscriber.response_started && !subscriber.silent && idle)
      subscriber.stream->write(": still here\n\n");
  }
  run_after(pace_.comment_interval_s, [this] { send_keepalives(); });
}

bool Discovery::up_to_date() const {
  return std::any_of(subscribers_.begin(), subscribers_.end(), [this](const auto& each) {
    return each.second.response_started && !each.second.silent && each.second.next_event == events_.size();
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
