#include "net/loop.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <signal.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <stdexcept>
#include <utility>

namespace mintrock::net {
namespace {

constexpr std::size_t kReadSize = 65536;
using DatagramBuffer = std::array<char, 2048>;
constexpr double kLongestWait = 1.0;     // s; a bound on the loop's sleep, should a timer be missed
constexpr double kFlushGrace = 1.0;      // s that a closing stream has for its last bytes
constexpr double kLastWordsGrace = 0.2;  // s for the other side to read them before a reset
// The order within one turn of the loop: streams are read first (0), then connections are accepted, which may
// need the room of those that have gone, then timers act.
constexpr int kAccepts = -1;
constexpr int kTimers = -2;
static_assert(kTimers >= EV_MINPRI, "the library has as many levels");

double clock_seconds(clockid_t id) {
  timespec now{};
  clock_gettime(id, &now);
  return static_cast<double>(now.tv_sec) + static_cast<double>(now.tv_nsec) * 1e-9;
}

sockaddr_in to_sockaddr(const Address& address) {
  sockaddr_in out{};
  out.sin_family = AF_INET;
  out.sin_addr.s_addr = htonl(address.ip);
  out.sin_port = htons(address.port);
  return out;
}

Address from_sockaddr(const sockaddr_in& in) { return {ntohl(in.sin_addr.s_addr), ntohs(in.sin_port)}; }

Address local_of(int fd) {
  sockaddr_in in{};
  socklen_t size = sizeof in;
  getsockname(fd, reinterpret_cast<sockaddr*>(&in), &size);
  return from_sockaddr(in);
}

[[noreturn]] void fail_with(const std::string& what) {
  throw std::runtime_error(what + ": " + std::strerror(errno));
}

}  // namespace

std::string Address::str() const {
  std::array<char, 32> text{};
  in_addr in{htonl(ip)};
  inet_ntop(AF_INET, &in, text.data(), text.size());
  return std::string(text.data()) + ":" + std::to_string(port);
}

Address parse_address(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  in_addr in{};
  if (colon == std::string::npos || inet_pton(AF_INET, text.substr(0, colon).c_str(), &in) != 1) {
    throw std::runtime_error("not an address of the form a.b.c.d:port: '" + text + "'");
  }
  const std::string port = text.substr(colon + 1);
  const bool digits = !port.empty() && port.size() <= 5 && port.find_first_not_of("0123456789") == port.npos;
  const int value = digits ? std::stoi(port) : -1;
  if (value < 0 || value > 65535) throw std::runtime_error("not a port: '" + text + "'");
  return {ntohl(in.s_addr), static_cast<std::uint16_t>(value)};
}

double monotonic_now() { return clock_seconds(CLOCK_MONOTONIC); }
double wall_now() { return clock_seconds(CLOCK_REALTIME); }

// ---- Loop ----

struct Loop::SignalWatch {
  ev_signal watch{};
  std::function<void()> fn;
};

Loop::Loop() : loop_(ev_loop_new(EVFLAG_AUTO)) {
  if (loop_ == nullptr) throw std::runtime_error("no event loop can be made");
  ev_set_userdata(loop_, this);
  ev_prepare_init(&prepare_, [](struct ev_loop* raw, ev_prepare*, int) {
    static_cast<Loop*>(ev_userdata(raw))->before_wait();
  });
  ev_prepare_start(loop_, &prepare_);
  ev_init(&timer_, [](struct ev_loop* raw, ev_timer*, int) {
    Loop& loop = *static_cast<Loop*>(ev_userdata(raw));
    loop.timers_.run(loop.now());
  });
  // What has arrived by a turn is read before the turn's timers act: a caller that has gone, or an answer
  // that is here, counts before the time-out that it races.
  ev_set_priority(&timer_, kTimers);
}

Loop::~Loop() {
  to_flush_.clear();
  deferred_.clear();
  for (const auto& stream : std::exchange(last_flushes_, {})) stream->close();
  for (const auto& each : signals_) ev_signal_stop(loop_, &each->watch);
  ev_timer_stop(loop_, &timer_);
  ev_prepare_stop(loop_, &prepare_);
  ev_loop_destroy(loop_);
}

void Loop::run() {
  ev_run(loop_, 0);
  flush_all();  // what the last turn wrote
}
void Loop::stop() { ev_break(loop_, EVBREAK_ALL); }

void Loop::on_signal(int signal, std::function<void()> fn) {
  auto each = std::make_unique<SignalWatch>();
  each->fn = std::move(fn);
  ev_signal_init(
      &each->watch, [](struct ev_loop*, ev_signal* w, int) { static_cast<SignalWatch*>(w->data)->fn(); },
      signal);
  each->watch.data = each.get();
  ev_signal_start(loop_, &each->watch);
  signals_.push_back(std::move(each));
  // One that came earlier may have been held back until now.
  sigset_t now_handled;
  sigemptyset(&now_handled);
  sigaddset(&now_handled, signal);
  pthread_sigmask(SIG_UNBLOCK, &now_handled, nullptr);
}

void Loop::flush_all() {
  for (const auto& stream : std::exchange(to_flush_, {})) {
    stream->flush_queued_ = false;
    stream->flush();
  }
}

void Loop::before_wait() {
  // What is deferred may write, and a flush that fails may defer: a few rounds settle it, the rest waits for
  // the next turn, which then comes at once.
  for (int round = 0; round < 4 && !(deferred_.empty() && to_flush_.empty()); ++round) {
    for (const auto& fn : std::exchange(deferred_, {})) fn();
    flush_all();
  }
  const bool more = !deferred_.empty() || !to_flush_.empty();
  const double wait = more ? 0.0 : std::clamp(timers_.next_due() - now(), 0.0, kLongestWait);
  ev_now_update(loop_);
  ev_timer_stop(loop_, &timer_);
  ev_timer_set(&timer_, wait, 0.0);
  ev_timer_start(loop_, &timer_);
}

// ---- Stream ----

Stream::Stream(Loop& loop, int fd, const Address& remote, std::size_t max_unsent, bool connecting)
    : loop_(loop), fd_(fd), remote_(remote), max_unsent_(max_unsent), connecting_(connecting) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ev_init(&io_, [](struct ev_loop*, ev_io* w, int events) {
    // The handlers may drop the last reference.
    const std::shared_ptr<Stream> self = static_cast<Stream*>(w->data)->shared_from_this();
    self->on_event(events);
  });
  io_.data = this;
  arm();
}

Stream::~Stream() { close(); }

std::shared_ptr<Stream> Stream::connect(Loop& loop, const Address& to, std::size_t max_unsent) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) fail_with("socket");
  const sockaddr_in address = to_sockaddr(to);
  const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const int error = errno;
  std::shared_ptr<Stream> stream(new Stream(loop, fd, to, max_unsent, true));
  if (result != 0 && error != EINPROGRESS) {
    // Told later, as every other failure is: the caller has not set its handlers yet.
    loop.defer([weak = std::weak_ptr<Stream>(stream), error] {
      if (const auto self = weak.lock()) self->fail(error);
    });
  }
  return stream;
}

std::shared_ptr<Stream> Stream::adopt(Loop& loop, int fd, const Address& from, std::size_t max_unsent) {
  return std::shared_ptr<Stream>(new Stream(loop, fd, from, max_unsent, false));
}

Address Stream::local() const { return fd_ >= 0 ? local_of(fd_) : Address{}; }

void Stream::arm() {
  if (fd_ < 0) return;
  const bool want_write = connecting_ || (unsent() > 0 && !flush_queued_);
  const int events = (paused_ || connecting_ ? 0 : EV_READ) | (want_write ? EV_WRITE : 0);
  if (events == armed_) return;
  ev_io_stop(loop_.raw(), &io_);
  armed_ = events;
  if (events == 0) return;
  ev_io_set(&io_, fd_, events);
  ev_io_start(loop_.raw(), &io_);
}

void Stream::on_event(int events) {
  const std::shared_ptr<const Handlers> handlers = handlers_;
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return fail(error);
    connecting_ = false;
    arm();
    if (handlers && handlers->on_connected) handlers->on_connected();
    return;
  }
  if ((events & EV_READ) != 0 && lingering_) return await_close();
  if ((events & EV_READ) != 0) {
    const ssize_t got = read_once();
    if (got == 0) return fail("closed by the other side");
    if (got < 0 && errno != EAGAIN && errno != EINTR) return fail(errno);
  }
  if (fd_ >= 0 && (events & EV_WRITE) != 0) flush();
}

void Stream::write(std::string_view bytes) {
  if (fd_ < 0 || closing_ || write_ended_) return;
  wrote_at_ = loop_.now();
  out_.append(bytes);
  // Much may be written in one turn to a peer that reads well: the bound is for what the system won't take.
  if (unsent() > max_unsent_ && !connecting_) push();
  if (unsent() > max_unsent_) {
    // A peer that reads nothing: memory is bounded, the connection goes. Not within the writer's call.
    closing_ = true;
    loop_.defer([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->fail("the other side doesn't read");
    });
    return;
  }
  if (flush_queued_ || connecting_) return;
  flush_queued_ = true;
  loop_.to_flush_.push_back(shared_from_this());
}

bool Stream::push() {
  while (unsent() > 0) {
    const ssize_t sent = ::send(fd_, out_.data() + out_at_, unsent(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && errno == EAGAIN) break;
    if (sent < 0) return false;
    out_at_ += static_cast<std::size_t>(sent);
  }
  if (unsent() == 0) {
    out_.clear();
    out_at_ = 0;
  } else if (out_at_ > kReadSize) {
    out_.erase(0, out_at_);
    out_at_ = 0;
  }
  return true;
}

void Stream::flush() {
  if (fd_ < 0 || connecting_) return;
  if (!push()) return output_broken(errno);
  if (unsent() == 0 && last_flush_) return end_of_output();
  if (unsent() == 0 && write_ended_) shutdown(fd_, SHUT_WR);
  arm();
}

// The other side takes nothing more; what it said before may still lie unread, and is read first.
void Stream::output_broken(int error) {
  out_.clear();
  out_at_ = 0;
  constexpr int kMostReads = 16;  // a message is far shorter
  for (int i = 0; i < kMostReads && fd_ >= 0 && !paused_ && !closing_; ++i) {
    if (read_once() <= 0) break;
  }
  fail(error);
}

ssize_t Stream::read_once() {
  static thread_local std::array<char, kReadSize> buffer;
  const std::shared_ptr<const Handlers> handlers = handlers_;
  const ssize_t got = ::recv(fd_, buffer.data(), buffer.size(), 0);
  if (got > 0 && !closing_ && handlers && handlers->on_bytes) {
    handlers->on_bytes(std::string_view(buffer.data(), static_cast<std::size_t>(got)));
  }
  return got;
}

void Stream::fail(const std::string& why) {
  if (fd_ < 0) return;
  const std::shared_ptr<const Handlers> handlers = handlers_;
  close();
  if (handlers && handlers->on_closed) handlers->on_closed(why);
}

void Stream::fail(int error) {
  error_ = error;
  fail(std::strerror(error));
}

void Stream::end_of_output() {
  if (!lingering_) return close();
  shutdown(fd_, SHUT_WR);
  arm();
}

void Stream::close() {
  if (fd_ < 0) return;
  ev_io_stop(loop_.raw(), &io_);
  ::close(fd_);
  fd_ = -1;
  handlers_.reset();
  loop_.timers().cancel(std::exchange(close_timer_, 0));
  if (last_flush_) {
    last_flush_ = false;
    loop_.last_flushes_.erase(shared_from_this());
  }
}

bool Stream::wrote_recently() const { return wrote_at_ >= 0 && loop_.now() < wrote_at_ + kFlushGrace; }

bool Stream::has_unread() const {
  char first = 0;
  return fd_ >= 0 && !connecting_ && ::recv(fd_, &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Closed by the other side too; or it has sent something that is not taken any more.
void Stream::await_close() {
  if (!has_unread()) return close();
  paused_ = true;
  arm();
  loop_.timers().cancel(close_timer_);
  close_timer_ = loop_.after(kLastWordsGrace, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->close();
  });
}

void Stream::close_after_flush() {
  if (fd_ < 0 || last_flush_) return;
  if (unsent() == 0) return close();
  begin_last_flush();
}

void Stream::shutdown_write() {
  if (fd_ < 0 || closing_ || write_ended_) return;
  write_ended_ = true;
  if (unsent() == 0 && !connecting_) shutdown(fd_, SHUT_WR);
}

void Stream::close_gracefully() {
  if (fd_ < 0 || last_flush_) return;
  lingering_ = true;
  begin_last_flush();
  if (unsent() == 0) end_of_output();
}

void Stream::begin_last_flush() {
  closing_ = true;
  handlers_.reset();
  last_flush_ = true;
  loop_.last_flushes_.insert(shared_from_this());
  close_timer_ = loop_.after(kFlushGrace, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->close();
  });
}

void Stream::reset() {
  if (fd_ < 0) return;
  const struct linger hard { 1, 0 };
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
  close();
}

void Stream::pause_reading(bool paused) {
  paused_ = paused;
  arm();
}

// ---- Listener ----

Listener::Listener(Loop& loop, const Address& at, std::function<void(int, Address)> on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) fail_with("socket");
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = to_sockaddr(at);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd_, 1024) != 0) {
    const int error = errno;
    ::close(fd_);
    errno = error;
    fail_with("cannot listen on " + at.str());
  }
  local_ = local_of(fd_);
  ev_init(&io_, [](struct ev_loop*, ev_io* w, int) { static_cast<Listener*>(w->data)->accept_some(); });
  ev_set_priority(&io_, kAccepts);
  ev_io_set(&io_, fd_, EV_READ);
  io_.data = this;
  ev_io_start(loop_.raw(), &io_);
}

bool Listener::accept_some() {
  constexpr int kMost = 64;  // the rest in the next turn
  for (int i = 0; i < kMost; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const int fd = accept4(fd_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)) {
      // The connection stays pending and would wake the loop at once, again and again.
      constexpr double kLater = 0.05;  // s
      ev_io_stop(loop_.raw(), &io_);
      loop_.timers().cancel(again_);
      again_ = loop_.after(kLater, [this] {
        again_ = 0;
        ev_io_start(loop_.raw(), &io_);
      });
      return false;
    }
    if (fd < 0) return false;
    on_accept_(fd, from_sockaddr(from));
  }
  return true;
}

void Listener::accept_pending() {
  constexpr int kRounds = 32;  // more than the backlog holds
  for (int i = 0; i < kRounds && accept_some(); ++i) {
  }
}

Listener::~Listener() {
  loop_.timers().cancel(again_);
  ev_io_stop(loop_.raw(), &io_);
  ::close(fd_);
}

// ---- DatagramSocket ----

DatagramSocket::DatagramSocket(Loop& loop, const Address& at,
                               std::function<void(std::string_view, Address)> on_datagram)
    : loop_(loop), on_datagram_(std::move(on_datagram)) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) fail_with("socket");
  const sockaddr_in address = to_sockaddr(at);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    const int error = errno;
    ::close(fd_);
    errno = error;
    fail_with("cannot bind " + at.str());
  }
  local_ = local_of(fd_);
  ev_init(&io_, [](struct ev_loop*, ev_io* w, int) {
    DatagramSocket& self = *static_cast<DatagramSocket*>(w->data);
    DatagramBuffer buffer;
    for (int i = 0; i < 64; ++i) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const ssize_t got = recvfrom(self.fd_, buffer.data(), buffer.size(), MSG_TRUNC,
                                   reinterpret_cast<sockaddr*>(&from), &size);
      if (got < 0) return;
      if (static_cast<std::size_t>(got) > buffer.size()) continue;  // longer than any of ours
      self.on_datagram_(std::string_view(buffer.data(), static_cast<std::size_t>(got)), from_sockaddr(from));
    }
  });
  ev_io_set(&io_, fd_, EV_READ);
  io_.data = this;
  ev_io_start(loop_.raw(), &io_);
}

DatagramSocket::~DatagramSocket() {
  ev_io_stop(loop_.raw(), &io_);
  ::close(fd_);
}

void DatagramSocket::send(std::string_view bytes, const Address& to) {
  const sockaddr_in address = to_sockaddr(to);
  sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&address),
         sizeof address);
}

}  // namespace mintrock::net
