#include "lab/soak/faulty_link.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace mintrock::lab::soak {
namespace {

constexpr std::size_t kMaxUnsentBytes = 1 << 20;
constexpr double kCatchUpTime = 0.3;  // s after a delay or a silence in which the held-back data arrives

}  // namespace

FaultyLink::FaultyLink(net::Loop& loop, const net::Address& target)
    : loop_(loop), target_(target), address_{target.ip, 0} {
  listen();
  address_ = listener_->local();
}

FaultyLink::~FaultyLink() {
  *alive_ = false;
  while (!links_.empty()) close_link(links_.begin()->first, true);
  for (const int fd : black_hole_) close(fd);
}

void FaultyLink::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, address_,
                                              [this](int fd, net::Address from) { accept(fd, from); });
}

void FaultyLink::accept(int fd, net::Address from) {
  const auto client = net::Stream::adopt(loop_, fd, from, kMaxUnsentBytes);
  if (connections_to_close_ > 0) {
    connections_to_close_ -= 1;
    return client->close();
  }
  const std::size_t id = ++last_id_;
  links_[id].client = client;
  client->set_handlers({{},
                        [this, id](std::string_view bytes) {
                          links_.at(id).to_server += bytes;
                          forward(id);
                        },
                        [this, id](const std::string&) { close_link(id, false); }});
  if (connect_delay_s_ == 0) return open_server_side(id);
  loop_.after(connect_delay_s_, [this, id, alive = alive_] {
    if (!*alive) return;
    delayed_until_ = loop_.now() + kCatchUpTime;
    open_server_side(id);
  });
}

void FaultyLink::open_server_side(std::size_t id) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  const auto server = net::Stream::connect(loop_, target_, kMaxUnsentBytes);
  found->second.server = server;
  server->set_handlers({[this, id] { forward(id); },
                        [this, id](std::string_view bytes) {
                          links_.at(id).to_client += bytes;
                          forward(id);
                        },
                        [this, id](const std::string&) { close_link(id, false); }});
}

void FaultyLink::forward(std::size_t id) {
  if (silent_) return;
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  Link& link = found->second;
  if (link.server != nullptr && !link.to_server.empty())
    link.server->write(std::exchange(link.to_server, {}));
  if (!link.to_client.empty()) forward_to_client(link);
}

void FaultyLink::forward_to_client(Link& link) {
  const std::string bytes = std::exchange(link.to_client, {});
  if (!link.client->is_open()) return;
  link.client->write(bytes);
  if (!line_observer_) return;
  link.delivered.feed(bytes);
  while (const auto line = link.delivered.next()) line_observer_(*line);
}

void FaultyLink::close_link(std::size_t id, bool reset) {
  const auto found = links_.find(id);
  if (found == links_.end()) return;
  if (silent_ && !reset) return;  // the other side doesn't notice the close during a silence either
  const Link link = std::move(found->second);
  links_.erase(found);
  for (const auto& stream : {link.client, link.server}) {
    if (stream == nullptr) continue;
    stream->set_handlers({});
    if (reset) {
      stream->reset();
    } else {
      stream->close_after_flush();
    }
  }
}

void FaultyLink::set_silent(bool silent) {
  silent_ = silent;
  if (silent) return;
  delayed_until_ = loop_.now() + kCatchUpTime;
  std::vector<std::size_t> ids;
  for (const auto& [id, link] : links_) ids.push_back(id);
  for (const std::size_t id : ids) {
    forward(id);
    const auto found = links_.find(id);
    if (found == links_.end()) continue;
    const Link& link = found->second;
    if (!link.client->is_open() || (link.server != nullptr && !link.server->is_open())) close_link(id, false);
  }
}

void FaultyLink::cut() {
  while (!links_.empty()) close_link(links_.begin()->first, true);
}

void FaultyLink::refuse(bool refused) {
  if (refused) {
    listener_.reset();
  } else if (listener_ == nullptr) {
    listen();
  }
}

void FaultyLink::vanish() {
  set_silent(true);
  listener_.reset();
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_addr.s_addr = htonl(address_.ip);
  endpoint.sin_port = htons(address_.port);
  const auto new_socket = [&] {
    black_hole_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    return black_hole_.back();
  };
  const int listener = new_socket();
  const int on = 1;
  setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(listener, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0 ||
      ::listen(listener, 0) != 0)
    return;
  // More connections than a backlog of 0 holds: the surplus ones wait, as every later client will.
  constexpr int kBacklogFill = 4;
  for (int i = 0; i < kBacklogFill; ++i)
    connect(new_socket(), reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint);
}

}  // namespace mintrock::lab::soak
