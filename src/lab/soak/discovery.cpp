#include "lab/soak/discovery.hpp"

#include <cstdlib>
#include <utility>

namespace mintrock::lab::soak {
namespace {

using nlohmann::json;

constexpr std::size_t kMostUnsent = 1 << 20;  // bytes
constexpr double kCommentEvery = 1.0;         // s
constexpr double kOldAddressCloses = 1.5;     // s after a move

json event(std::uint64_t offset, const std::vector<Host>& hosts, bool whole) {
  json list = json::array();
  for (const Host& each : hosts) {
    list.push_back({{"host", each.name},
                    {"dial", each.address.str()},
                    {"site", "east"},
                    {"class", "small"},
                    {"block", 0},
                    {"health", each.health},
                    {"share", 1},
                    {"born_ms", each.born_ms}});
  }
  return {{"offset", offset}, {"topology", {{"seq", offset}, {"whole", whole}, {"hosts", list}}}};
}

}  // namespace

Discovery::Discovery(net::Loop& loop, std::uint32_t ip) : loop_(loop), address_{ip, 0} {
  listen();
  comment();
}

Discovery::~Discovery() {
  *alive_ = false;
  for (auto& [id, watcher] : watchers_) watcher.stream->close();
}

void Discovery::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, address_,
                                              [this](int fd, net::Address from) { accept(fd, from); });
  address_ = listener_->local();
}

json Discovery::start(const std::vector<Host>& hosts) {
  for (auto& [id, watcher] : watchers_) watcher.stream->close();
  watchers_.clear();
  const json first = event(1, hosts, true);
  events_ = {first.dump()};
  return {{"offset", 1}, {"batch", json::array({first})}};
}

void Discovery::tell(const std::vector<Host>& changes) {
  events_.push_back(event(events_.size() + 1, changes, false).dump());
  for (auto& [id, watcher] : watchers_) pump(id);
}

void Discovery::accept(int fd, net::Address from) {
  const std::size_t id = ++last_;
  watchers_[id].stream = net::Stream::adopt(loop_, fd, from, kMostUnsent);
  watchers_[id].stream->set_handlers({{},
                                      [this, id](std::string_view bytes) { request(id, bytes); },
                                      [this, id](const std::string&) { watchers_.erase(id); }});
}

void Discovery::request(std::size_t id, std::string_view bytes) {
  Watcher& watcher = watchers_.at(id);
  watcher.request += bytes;
  if (watcher.begun || watcher.request.find("\r\n\r\n") == std::string::npos) return;
  watcher.begun = true;
  constexpr std::string_view kHeader = "Last-Event-ID: ";
  const std::size_t at = watcher.request.find(kHeader);
  if (at != std::string::npos) {
    watcher.next = std::strtoul(watcher.request.c_str() + at + kHeader.size(), nullptr, 10);
  }
  watcher.stream->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n");
  pump(id);
}

void Discovery::pump(std::size_t id) {
  Watcher& watcher = watchers_.at(id);
  if (!watcher.begun || watcher.silent) return;
  for (; watcher.next < events_.size(); ++watcher.next) {
    watcher.stream->write("id: " + std::to_string(watcher.next + 1) + "\ndata: " + events_[watcher.next] +
                          "\n\n");
  }
}

void Discovery::comment() {
  for (auto& [id, watcher] : watchers_) {
    if (watcher.begun && !watcher.silent) watcher.stream->write(": still here\n\n");
  }
  loop_.after(kCommentEvery, [this, alive = alive_] {
    if (*alive) comment();
  });
}

void Discovery::move() {
  for (auto& [id, watcher] : watchers_) {
    watcher.silent = true;
    loop_.after(kOldAddressCloses, [stream = watcher.stream] { stream->close(); });
  }
  listener_.reset();
  address_.port = 0;
  listen();
}

void Discovery::fall_silent() {
  for (auto& [id, watcher] : watchers_) watcher.silent = true;
}

void Discovery::break_off() {
  for (auto& [id, watcher] : std::exchange(watchers_, {})) {
    watcher.stream->set_handlers({});
    watcher.stream->write("id: 999\ndata: {\"offs");
    watcher.stream->close_after_flush();
  }
}

void Discovery::set_down(bool down) {
  if (!down) {
    if (listener_ == nullptr) listen();
    return;
  }
  listener_.reset();
  for (auto& [id, watcher] : std::exchange(watchers_, {})) {
    watcher.stream->set_handlers({});
    watcher.stream->close();
  }
}

}  // namespace mintrock::lab::soak
