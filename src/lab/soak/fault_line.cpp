#include "lab/soak/fault_line.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace mintrock::lab::soak {
namespace {

constexpr std::size_t kMostUnsent = 1 << 20;  // bytes
constexpr double kDelaysFor = 0.3;            // s in which what was held up arrives

}  // namespace

FaultLine::FaultLine(net::Loop& loop, const net::Address& target)
    : loop_(loop), target_(target), address_{target.ip, 0} {
  listen();
  address_ = listener_->local();
}

FaultLine::~FaultLine() {
  *alive_ = false;
  while (!pairs_.empty()) end(pairs_.begin()->first, true);
  for (const int fd : black_hole_) close(fd);
}

void FaultLine::listen() {
  listener_ = std::make_unique<net::Listener>(loop_, address_,
                                              [this](int fd, net::Address from) { accept(fd, from); });
}

void FaultLine::accept(int fd, net::Address from) {
  const auto near = net::Stream::adopt(loop_, fd, from, kMostUnsent);
  if (close_early_ > 0) {
    close_early_ -= 1;
    return near->close();
  }
  const std::size_t id = ++last_;
  pairs_[id].near = near;
  near->set_handlers({{},
                      [this, id](std::string_view bytes) {
                        pairs_.at(id).to_far += bytes;
                        pass(id);
                      },
                      [this, id](const std::string&) { end(id, false); }});
  if (open_late_s_ == 0) return open_far(id);
  loop_.after(open_late_s_, [this, id, alive = alive_] {
    if (!*alive) return;
    delayed_until_ = loop_.now() + kDelaysFor;
    open_far(id);
  });
}

void FaultLine::open_far(std::size_t id) {
  const auto found = pairs_.find(id);
  if (found == pairs_.end()) return;
  const auto far = net::Stream::connect(loop_, target_, kMostUnsent);
  found->second.far = far;
  far->set_handlers({[this, id] { pass(id); },
                     [this, id](std::string_view bytes) {
                       pairs_.at(id).to_near += bytes;
                       pass(id);
                     },
                     [this, id](const std::string&) { end(id, false); }});
}

void FaultLine::pass(std::size_t id) {
  if (silent_) return;
  const auto found = pairs_.find(id);
  if (found == pairs_.end()) return;
  Pair& pair = found->second;
  if (pair.far != nullptr && !pair.to_far.empty()) pair.far->write(std::exchange(pair.to_far, {}));
  if (!pair.to_near.empty()) pass_to_near(pair);
}

void FaultLine::pass_to_near(Pair& pair) {
  const std::string bytes = std::exchange(pair.to_near, {});
  if (!pair.near->is_open()) return;
  pair.near->write(bytes);
  if (!line_observer_) return;
  pair.passed.feed(bytes);
  while (const auto line = pair.passed.next()) line_observer_(*line);
}

void FaultLine::end(std::size_t id, bool hard) {
  const auto found = pairs_.find(id);
  if (found == pairs_.end()) return;
  if (silent_ && !hard) return;  // its end is not heard of either
  const Pair pair = std::move(found->second);
  pairs_.erase(found);
  for (const auto& stream : {pair.near, pair.far}) {
    if (stream == nullptr) continue;
    stream->set_handlers({});
    if (hard) {
      stream->reset();
    } else {
      stream->close_after_flush();
    }
  }
}

void FaultLine::set_silent(bool silent) {
  silent_ = silent;
  if (silent) return;
  delayed_until_ = loop_.now() + kDelaysFor;
  std::vector<std::size_t> all;
  for (const auto& [id, pair] : pairs_) all.push_back(id);
  for (const std::size_t id : all) {
    pass(id);
    const auto found = pairs_.find(id);
    if (found == pairs_.end()) continue;
    const Pair& pair = found->second;
    if (!pair.near->is_open() || (pair.far != nullptr && !pair.far->is_open())) end(id, false);
  }
}

void FaultLine::cut() {
  while (!pairs_.empty()) end(pairs_.begin()->first, true);
}

void FaultLine::refuse(bool refused) {
  if (refused) {
    listener_.reset();
  } else if (listener_ == nullptr) {
    listen();
  }
}

void FaultLine::vanish() {
  set_silent(true);
  listener_.reset();
  sockaddr_in at{};
  at.sin_family = AF_INET;
  at.sin_addr.s_addr = htonl(address_.ip);
  at.sin_port = htons(address_.port);
  const auto raw = [&] {
    black_hole_.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
    return black_hole_.back();
  };
  const int server = raw();
  const int on = 1;
  setsockopt(server, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind(server, reinterpret_cast<const sockaddr*>(&at), sizeof at) != 0 || ::listen(server, 0) != 0)
    return;
  constexpr int kFill = 4;  // more than a backlog of 0 takes; the rest wait as everybody else will
  for (int i = 0; i < kFill; ++i) connect(raw(), reinterpret_cast<const sockaddr*>(&at), sizeof at);
}

}  // namespace mintrock::lab::soak
