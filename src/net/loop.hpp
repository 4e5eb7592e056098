// The event loop (libev) of one thread: timers, signals, streams, listeners and datagrams on loopback
// sockets.
//
// Writes are gathered and go out once a turn, just before the loop waits: many messages, one system call.
#ifndef MINTROCK_SRC_NET_LOOP_HPP_
#define MINTROCK_SRC_NET_LOOP_HPP_

#include <ev.h>
#include <netinet/in.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "net/timers.hpp"

namespace mintrock::net {

// An IPv4 endpoint.
struct Address {
  std::uint32_t ip = 0x7F000001;  // host order
  std::uint16_t port = 0;
  std::string str() const;
  bool operator==(const Address& other) const { return ip == other.ip && port == other.port; }
};

// Reads "a.b.c.d:port"; throws std::runtime_error naming the text.
Address parse_address(const std::string& text);

// Seconds on CLOCK_MONOTONIC, the same for all processes of the machine.
double monotonic_now();
// Seconds since the Unix epoch.
double wall_now();

class Stream;

class Loop {
 public:
  Loop();
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  void run();  // until stop()
  void stop();
  double now() const { return monotonic_now(); }
  Timers& timers() { return timers_; }
  TimerId after(double seconds, std::function<void()> fn) {
    return timers_.schedule(now() + seconds, std::move(fn));
  }
  // Calls `fn` at the end of this turn: for what must not happen inside a callback of its own object.
  void defer(std::function<void()> fn) { deferred_.push_back(std::move(fn)); }
  void on_signal(int signal, std::function<void()> fn);
  // Streams that only their last bytes keep open.
  std::size_t closing_streams() const { return last_flushes_.size(); }
  struct ev_loop* raw() {
    return loop_;
  }

 private:
  friend class Stream;
  void before_wait();
  void flush_all();
  struct SignalWatch;
  struct ev_loop* loop_;
  ev_prepare prepare_;
  ev_timer timer_;
  Timers timers_;
  std::vector<std::function<void()>> deferred_;
  std::vector<std::shared_ptr<Stream>> to_flush_;
  std::set<std::shared_ptr<Stream>> last_flushes_;  // of streams that nobody else keeps any more
  std::vector<std::unique_ptr<SignalWatch>> signals_;
};

// One TCP connection. After on_closed, or after close(), no callback comes any more.
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  struct Handlers {
    std::function<void()> on_connected;  // outgoing ones only
    std::function<void(std::string_view)> on_bytes;
    std::function<void(const std::string& why)> on_closed;  // refused, closed by the other side, or a fault
  };

  // `max_unsent`: bytes that may wait for a peer that doesn't read; with more, the connection is closed.
  static std::shared_ptr<Stream> connect(Loop& loop, const Address& to, std::size_t max_unsent);
  static std::shared_ptr<Stream> adopt(Loop& loop, int fd, const Address& from, std::size_t max_unsent);
  ~Stream();

  void set_handlers(Handlers handlers) { handlers_ = std::make_shared<const Handlers>(std::move(handlers)); }
  void write(std::string_view bytes);
  void close();              // at once; what was not sent is lost
  void close_after_flush();  // once what was written has gone, or after a second
  // Nothing more is written; once what was has gone the other side is told so. Reading goes on until it
  // closes.
  void shutdown_write();
  // The same, and then waits for the other side to close too, for a second. What it still sends is left
  // unread, as it was never taken; a while after it came the connection is closed, which is a reset: sooner,
  // that may overtake what was written.
  void close_gracefully();
  // Bytes have arrived that were not read yet.
  bool has_unread() const;
  // Closes with a reset, as a process that dies does.
  void reset();
  bool is_open() const { return fd_ >= 0; }
  int error() const { return error_; }  // the system's, once closed by a fault; 0: an orderly end
  std::size_t unsent() const { return out_.size() - out_at_; }
  // Something was handed to it so lately that the other side may not have read it yet.
  bool wrote_recently() const;
  const Address& remote() const { return remote_; }
  Address local() const;
  void pause_reading(bool paused);

 private:
  friend class Loop;
  Stream(Loop& loop, int fd, const Address& remote, std::size_t max_unsent, bool connecting);
  void arm();
  void on_event(int events);
  bool push();  // to the system, as much as it takes; false: a fault, in errno
  void flush();
  void fail(const std::string& why);
  void fail(int error);
  void output_broken(int error);
  ssize_t read_once();  // hands on what came; as recv returns
  void begin_last_flush();
  void end_of_output();
  void await_close();
  Loop& loop_;
  int fd_;
  Address remote_;
  std::size_t max_unsent_;
  bool connecting_;
  bool flush_queued_ = false;
  bool closing_ = false;
  bool last_flush_ = false;  // the loop keeps this stream until what was written has gone
  bool write_ended_ = false;
  bool lingering_ = false;  // close_gracefully() was called: it ends with the other side's close
  bool paused_ = false;
  double wrote_at_ = -1;  // when anything was handed to it last; below 0: never
  int error_ = 0;
  int armed_ = 0;
  ev_io io_;
  // A handler may close its stream, or set others, while it runs: who calls one holds them meanwhile.
  std::shared_ptr<const Handlers> handlers_;
  std::string out_;
  std::size_t out_at_ = 0;
  TimerId close_timer_ = 0;
};

class Listener {
 public:
  // Binds and listens; throws std::runtime_error naming the address. Port 0: any free one.
  Listener(Loop& loop, const Address& at, std::function<void(int fd, Address from)> on_accept);
  ~Listener();
  Address local() const { return local_; }
  // Takes what the system has accepted already: before the listener goes, which would reset it.
  void accept_pending();

 private:
  bool accept_some();  // false: none is left, or no descriptor
  Loop& loop_;
  int fd_;
  Address local_;
  ev_io io_;
  TimerId again_ = 0;  // set while no descriptor is to be had
  std::function<void(int, Address)> on_accept_;
};

class DatagramSocket {
 public:
  DatagramSocket(Loop& loop, const Address& at,
                 std::function<void(std::string_view, Address from)> on_datagram);
  ~DatagramSocket();
  void send(std::string_view bytes, const Address& to);  // may be lost
  Address local() const { return local_; }

 private:
  Loop& loop_;
  int fd_;
  Address local_;
  ev_io io_;
  std::function<void(std::string_view, Address)> on_datagram_;
};

}  // namespace mintrock::net

#endif  // MINTROCK_SRC_NET_LOOP_HPP_
