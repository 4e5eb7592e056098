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
constexpr double kMaxWait = 1.0;       // s; limits the loop's sleep in case a timer is missed
constexpr double kFlushTimeout = 1.0;  // s for a closing stream to send its remaining output
constexpr double kResetDelay = 0.2;    // s for the remote side to read that output before a reset
// Event priorities within one loop iteration: streams are read first (0), then connections are accepted,
// which may need the slots of connections that have just closed, then timers fire.
constexpr int kAcceptPriority = -1;
constexpr int kTimerPriority = -2;
static_assert(kTimerPriority >= EV_MINPRI, "libev supports this many priority levels");

double read_clock(clockid_t id) {
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

Address local_address(int fd) {
  sockaddr_in in{};
  socklen_t size = sizeof in;
  getsockname(fd, reinterpret_cast<sockaddr*>(&in), &size);
  return from_sockaddr(in);
}

[[noreturn]] void throw_errno(const std::string& what) {
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

double monotonic_now() { return read_clock(CLOCK_MONOTONIC); }
double wall_now() { return read_clock(CLOCK_REALTIME); }

// ---- Loop ----

struct Loop::SignalWatch {
  ev_signal watch{};
  std::function<void()> fn;
};

Loop::Loop() : loop_(ev_loop_new(EVFLAG_AUTO)) {
  if (loop_ == nullptr) throw std::runtime_error("cannot create an event loop");
  ev_set_userdata(loop_, this);
  ev_prepare_init(&prepare_watcher_, [](struct ev_loop* raw, ev_prepare*, int) {
    static_cast<Loop*>(ev_userdata(raw))->before_wait();
  });
  ev_prepare_start(loop_, &prepare_watcher_);
  ev_init(&timer_watcher_, [](struct ev_loop* raw, ev_timer*, int) {
    Loop& loop = *static_cast<Loop*>(ev_userdata(raw));
    loop.timers_.run(loop.now());
  });
  // Input that has arrived by the start of an iteration is read before the timers fire, so a caller's close
  // or an answer takes precedence over the timeout that it races with.
  ev_set_priority(&timer_watcher_, kTimerPriority);
}

Loop::~Loop() {
  flush_queue_.clear();
  deferred_.clear();
  for (const auto& stream : std::exchange(final_flushes_, {})) stream->close();
  for (const auto& each : signal_watches_) ev_signal_stop(loop_, &each->watch);
  ev_timer_stop(loop_, &timer_watcher_);
  ev_prepare_stop(loop_, &prepare_watcher_);
  ev_loop_destroy(loop_);
}

void Loop::run() {
  ev_run(loop_, 0);
  flush_all();  // output of the last iteration
}
void Loop::stop() { ev_break(loop_, EVBREAK_ALL); }

void Loop::on_signal(int signal, std::function<void()> fn) {
  auto signal_watch = std::make_unique<SignalWatch>();
  signal_watch->fn = std::move(fn);
  ev_signal_init(
      &signal_watch->watch,
      [](struct ev_loop*, ev_signal* w, int) { static_cast<SignalWatch*>(w->data)->fn(); }, signal);
  signal_watch->watch.data = signal_watch.get();
  ev_signal_start(loop_, &signal_watch->watch);
  signal_watches_.push_back(std::move(signal_watch));
  // A signal that arrived before the handler was set may be blocked and pending.
  sigset_t to_unblock;
  sigemptyset(&to_unblock);
  sigaddset(&to_unblock, signal);
  pthread_sigmask(SIG_UNBLOCK, &to_unblock, nullptr);
}

void Loop::flush_all() {
  for (const auto& stream : std::exchange(flush_queue_, {})) {
    stream->flush_queued_ = false;
    stream->flush();
  }
}

void Loop::before_wait() {
  // Deferred callbacks may write, and a failed flush may defer callbacks. A few rounds usually finish both;
  // the rest runs in the next iteration, which then starts without waiting.
  for (int round = 0; round < 4 && !(deferred_.empty() && flush_queue_.empty()); ++round) {
    for (const auto& fn : std::exchange(deferred_, {})) fn();
    flush_all();
  }
  const bool work_left = !deferred_.empty() || !flush_queue_.empty();
  const double wait = work_left ? 0.0 : std::clamp(timers_.next_due() - now(), 0.0, kMaxWait);
  ev_now_update(loop_);
  ev_timer_stop(loop_, &timer_watcher_);
  ev_timer_set(&timer_watcher_, wait, 0.0);
  ev_timer_start(loop_, &timer_watcher_);
}

// ---- Stream ----

Stream::Stream(Loop& loop, int fd, const Address& remote, std::size_t max_unsent, bool connecting)
    : loop_(loop), fd_(fd), remote_(remote), max_unsent_(max_unsent), connecting_(connecting) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  ev_init(&io_watcher_, [](struct ev_loop*, ev_io* w, int events) {
    // A handler may drop the last other reference to this stream.
    const std::shared_ptr<Stream> self = static_cast<Stream*>(w->data)->shared_from_this();
    self->on_event(events);
  });
  io_watcher_.data = this;
  update_watcher();
}

Stream::~Stream() { close(); }

std::shared_ptr<Stream> Stream::connect(Loop& loop, const Address& to, std::size_t max_unsent) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0) throw_errno("socket");
  const sockaddr_in address = to_sockaddr(to);
  const int result = ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
  const int error = errno;
  std::shared_ptr<Stream> stream(new Stream(loop, fd, to, max_unsent, true));
  if (result != 0 && error != EINPROGRESS) {
    // Reports the failure later, like every other one, because the caller has not set its handlers yet.
    loop.defer([weak = std::weak_ptr<Stream>(stream), error] {
      if (const auto self = weak.lock()) self->fail(error);
    });
  }
  return stream;
}

std::shared_ptr<Stream> Stream::adopt(Loop& loop, int fd, const Address& from, std::size_t max_unsent) {
  return std::shared_ptr<Stream>(new Stream(loop, fd, from, max_unsent, false));
}

Address Stream::local() const { return fd_ >= 0 ? local_address(fd_) : Address{}; }

void Stream::update_watcher() {
  if (fd_ < 0) return;
  const bool wants_write = connecting_ || (unsent() > 0 && !flush_queued_);
  const int events = (paused_ || connecting_ ? 0 : EV_READ) | (wants_write ? EV_WRITE : 0);
  if (events == watched_events_) return;
  ev_io_stop(loop_.raw(), &io_watcher_);
  watched_events_ = events;
  if (events == 0) return;
  ev_io_set(&io_watcher_, fd_, events);
  ev_io_start(loop_.raw(), &io_watcher_);
}

void Stream::on_event(int events) {
  const std::shared_ptr<const Handlers> handlers = handlers_;
  if (connecting_) {
    int error = 0;
    socklen_t size = sizeof error;
    getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
    if (error != 0) return fail(error);
    connecting_ = false;
    update_watcher();
    if (handlers && handlers->on_connected) handlers->on_connected();
    return;
  }
  if ((events & EV_READ) != 0 && lingering_) return on_readable_while_lingering();
  if ((events & EV_READ) != 0) {
    const ssize_t got = read_once();
    if (got == 0) return fail("closed by the remote side");
    if (got < 0 && errno != EAGAIN && errno != EINTR) return fail(errno);
  }
  if (fd_ >= 0 && (events & EV_WRITE) != 0) flush();
}

void Stream::write(std::string_view bytes) {
  if (fd_ < 0 || closing_ || write_shutdown_) return;
  last_write_at_ = loop_.now();
  out_.append(bytes);
  // A peer that reads may be sent more than the limit in one iteration, so the limit applies only to what the
  // socket does not accept.
  if (unsent() > max_unsent_ && !connecting_) send_pending();
  if (unsent() > max_unsent_) {
    // The peer does not read: closes the connection to bound memory, deferred to avoid calling on_closed
    // within the writer's call.
    closing_ = true;
    loop_.defer([weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->fail("the remote side does not read");
    });
    return;
  }
  if (flush_queued_ || connecting_) return;
  flush_queued_ = true;
  loop_.flush_queue_.push_back(shared_from_this());
}

bool Stream::send_pending() {
  while (unsent() > 0) {
    const ssize_t sent = ::send(fd_, out_.data() + out_offset_, unsent(), MSG_NOSIGNAL);
    if (sent < 0 && errno == EINTR) continue;
    if (sent < 0 && errno == EAGAIN) break;
    if (sent < 0) return false;
    out_offset_ += static_cast<std::size_t>(sent);
  }
  if (unsent() == 0) {
    out_.clear();
    out_offset_ = 0;
    if (out_.capacity() > kReadSize) out_.shrink_to_fit();  // a peer that did not read for a while
  } else if (out_offset_ > kReadSize) {
    out_.erase(0, out_offset_);
    out_offset_ = 0;
  }
  return true;
}

void Stream::flush() {
  if (fd_ < 0 || connecting_) return;
  if (!send_pending()) return on_write_error(errno);
  if (unsent() == 0 && final_flush_) return on_output_drained();
  if (unsent() == 0 && write_shutdown_) shutdown(fd_, SHUT_WR);
  update_watcher();
}

// The remote side accepts no more output. Input that it sent before may still be unread and is read first.
void Stream::on_write_error(int error) {
  out_.clear();
  out_offset_ = 0;
  constexpr int kMaxReads = 16;  // enough: a message is far shorter than 16 buffers
  for (int i = 0; i < kMaxReads && fd_ >= 0 && !paused_ && !closing_; ++i) {
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

void Stream::fail(const std::string& reason) {
  if (fd_ < 0) return;
  const std::shared_ptr<const Handlers> handlers = handlers_;
  close();
  if (handlers && handlers->on_closed) handlers->on_closed(reason);
}

void Stream::fail(int error) {
  error_ = error;
  fail(std::strerror(error));
}

void Stream::on_output_drained() {
  if (!lingering_) return close();
  shutdown(fd_, SHUT_WR);
  update_watcher();
}

void Stream::close() {
  if (fd_ < 0) return;
  ev_io_stop(loop_.raw(), &io_watcher_);
  ::close(fd_);
  fd_ = -1;
  handlers_.reset();
  loop_.timers().cancel(std::exchange(close_timer_, 0));
  if (final_flush_) {
    final_flush_ = false;
    loop_.final_flushes_.erase(shared_from_this());
  }
}

bool Stream::wrote_recently() const {
  return last_write_at_ >= 0 && loop_.now() < last_write_at_ + kFlushTimeout;
}

bool Stream::has_unread() const {
  char first = 0;
  return fd_ >= 0 && !connecting_ && ::recv(fd_, &first, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

// Either the remote side has closed too, or it has sent input that is no longer accepted.
void Stream::on_readable_while_lingering() {
  if (!has_unread()) return close();
  paused_ = true;
  update_watcher();
  loop_.timers().cancel(close_timer_);
  close_timer_ = loop_.after(kResetDelay, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->close();
  });
}

void Stream::close_after_flush() {
  if (fd_ < 0 || final_flush_) return;
  if (unsent() == 0) return close();
  begin_final_flush();
}

void Stream::shutdown_write() {
  if (fd_ < 0 || closing_ || write_shutdown_) return;
  write_shutdown_ = true;
  if (unsent() == 0 && !connecting_) shutdown(fd_, SHUT_WR);
}

void Stream::close_gracefully() {
  if (fd_ < 0 || final_flush_) return;
  lingering_ = true;
  begin_final_flush();
  if (unsent() == 0) on_output_drained();
}

void Stream::begin_final_flush() {
  closing_ = true;
  handlers_.reset();
  final_flush_ = true;
  loop_.final_flushes_.insert(shared_from_this());
  close_timer_ = loop_.after(kFlushTimeout, [weak = weak_from_this()] {
    if (const auto self = weak.lock()) self->close();
  });
}

void Stream::reset() {
  if (fd_ < 0) return;
  const struct linger reset_on_close { 1, 0 };
  setsockopt(fd_, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof reset_on_close);
  close();
}

void Stream::pause_reading(bool paused) {
  paused_ = paused;
  update_watcher();
}

// ---- Listener ----

Listener::Listener(Loop& loop, const Address& at, std::function<void(int, Address)> on_accept)
    : loop_(loop), on_accept_(std::move(on_accept)) {
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) throw_errno("socket");
  const int on = 1;
  setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in address = to_sockaddr(at);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || listen(fd_, 1024) != 0) {
    const int error = errno;
    ::close(fd_);
    errno = error;
    throw_errno("cannot listen on " + at.str());
  }
  local_ = local_address(fd_);
  ev_init(&io_watcher_,
          [](struct ev_loop*, ev_io* w, int) { static_cast<Listener*>(w->data)->accept_some(); });
  ev_set_priority(&io_watcher_, kAcceptPriority);
  ev_io_set(&io_watcher_, fd_, EV_READ);
  io_watcher_.data = this;
  ev_io_start(loop_.raw(), &io_watcher_);
}

bool Listener::accept_some() {
  constexpr int kMaxAccepts = 64;  // per iteration
  for (int i = 0; i < kMaxAccepts; ++i) {
    sockaddr_in from{};
    socklen_t size = sizeof from;
    const int fd = accept4(fd_, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (fd < 0 && (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM)) {
      // The connection stays in the backlog and would wake the loop continuously, so accepting is paused.
      constexpr double kRetryDelay = 0.05;  // s
      ev_io_stop(loop_.raw(), &io_watcher_);
      loop_.timers().cancel(retry_timer_);
      retry_timer_ = loop_.after(kRetryDelay, [this] {
        retry_timer_ = 0;
        ev_io_start(loop_.raw(), &io_watcher_);
      });
      return false;
    }
    if (fd < 0) return false;
    on_accept_(fd, from_sockaddr(from));
  }
  return true;
}

void Listener::accept_pending() {
  constexpr int kMaxRounds = 32;  // of 64 connections each: more than the backlog of 1024
  for (int i = 0; i < kMaxRounds && accept_some(); ++i) {
  }
}

Listener::~Listener() {
  loop_.timers().cancel(retry_timer_);
  ev_io_stop(loop_.raw(), &io_watcher_);
  ::close(fd_);
}

// ---- DatagramSocket ----

DatagramSocket::DatagramSocket(Loop& loop, const Address& at,
                               std::function<void(std::string_view, Address)> on_datagram)
    : loop_(loop), on_datagram_(std::move(on_datagram)) {
  fd_ = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd_ < 0) throw_errno("socket");
  const sockaddr_in address = to_sockaddr(at);
  if (bind(fd_, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
    const int error = errno;
    ::close(fd_);
    errno = error;
    throw_errno("cannot bind " + at.str());
  }
  local_ = local_address(fd_);
  ev_init(&io_watcher_, [](struct ev_loop*, ev_io* w, int) {
    DatagramSocket& self = *static_cast<DatagramSocket*>(w->data);
    DatagramBuffer buffer;
    for (int i = 0; i < 64; ++i) {
      sockaddr_in from{};
      socklen_t size = sizeof from;
      const ssize_t got = recvfrom(self.fd_, buffer.data(), buffer.size(), MSG_TRUNC,
                                   reinterpret_cast<sockaddr*>(&from), &size);
      if (got < 0) return;
      if (static_cast<std::size_t>(got) > buffer.size()) continue;  // longer than any valid datagram
      self.on_datagram_(std::string_view(buffer.data(), static_cast<std::size_t>(got)), from_sockaddr(from));
    }
  });
  ev_io_set(&io_watcher_, fd_, EV_READ);
  io_watcher_.data = this;
  ev_io_start(loop_.raw(), &io_watcher_);
}

DatagramSocket::~DatagramSocket() {
  ev_io_stop(loop_.raw(), &io_watcher_);
  ::close(fd_);
}

void DatagramSocket::send(std::string_view bytes, const Address& to) {
  const sockaddr_in address = to_sockaddr(to);
  sendto(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL, reinterpret_cast<const sockaddr*>(&address),
         sizeof address);
}

}  // namespace mintrock::net
