// A single-threaded event loop on libev with timers, signal handlers, TCP streams, TCP listeners and UDP
// sockets, used on loopback addresses.
//
// Stream writes are buffered and flushed once per loop iteration, just before the loop waits, so that many
// messages share one system call.
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

// Parses "a.b.c.d:port". Throws std::runtime_error that quotes the text.
Address parse_address(const std::string& text);

// Seconds on CLOCK_MONOTONIC, which all processes of the machine share.
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

  void run();  // returns after stop()
  void stop();
  double now() const { return monotonic_now(); }
  Timers& timers() { return timers_; }
  TimerId after(double seconds, std::function<void()> fn) {
    return timers_.schedule(now() + seconds, std::move(fn));
  }
  // Calls `fn` at the end of the current loop iteration. Use it for work that must not run inside a callback
  // of the object that it changes.
  void defer(std::function<void()> fn) { deferred_.push_back(std::move(fn)); }
  void on_signal(int signal, std::function<void()> fn);
  // Number of closed streams that stay open only until their remaining output is sent.
  std::size_t closing_streams() const { return final_flushes_.size(); }
  struct ev_loop* raw() {
    return loop_;
  }

 private:
  friend class Stream;
  void before_wait();
  void flush_all();
  struct SignalWatch;
  struct ev_loop* loop_;
  ev_prepare prepare_watcher_;
  ev_timer timer_watcher_;
  Timers timers_;
  std::vector<std::function<void()>> deferred_;
  std::vector<std::shared_ptr<Stream>> flush_queue_;
  std::set<std::shared_ptr<Stream>> final_flushes_;  // keeps closing streams alive until their output is sent
  std::vector<std::unique_ptr<SignalWatch>> signal_watches_;
};

// One TCP connection. No callback is called after on_closed or after close().
class Stream : public std::enable_shared_from_this<Stream> {
 public:
  struct Handlers {
    std::function<void()> on_connected;  // outgoing connections only
    std::function<void(std::string_view)> on_bytes;
    // The connection was refused, closed by the remote side, or failed.
    std::function<void(const std::string& reason)> on_closed;
  };

  // `max_unsent`: maximum number of bytes buffered for a peer that does not read. A stream that exceeds it is
  // closed.
  static std::shared_ptr<Stream> connect(Loop& loop, const Address& to, std::size_t max_unsent);
  static std::shared_ptr<Stream> adopt(Loop& loop, int fd, const Address& from, std::size_t max_unsent);
  ~Stream();

  void set_handlers(Handlers handlers) { handlers_ = std::make_shared<const Handlers>(std::move(handlers)); }
  void write(std::string_view bytes);
  void close();              // closes immediately; unsent output is lost
  void close_after_flush();  // closes when the buffered output is sent, or after one second
  // Accepts no more output and shuts down the write side (SHUT_WR) when the buffered output is sent. Reading
  // continues until the remote side closes.
  void shutdown_write();
  // Like shutdown_write(), and then waits up to one second for the remote side to close too. Input that still
  // arrives is left unread, because it was never accepted. Closing a socket with unread input sends a reset,
  // which could overtake the output; the close is therefore delayed after such input.
  void close_gracefully();
  // True if bytes have arrived that were not read yet.
  bool has_unread() const;
  // Closes the connection with a TCP reset, as happens when a process dies.
  void reset();
  bool is_open() const { return fd_ >= 0; }
  int error() const { return error_; }  // the errno that closed the connection; 0 after an orderly close
  std::size_t unsent() const { return out_.size() - out_offset_; }
  // True if the last write is so recent that the remote side may not have read it yet.
  bool wrote_recently() const;
  const Address& remote() const { return remote_; }
  Address local() const;
  void pause_reading(bool paused);

 private:
  friend class Loop;
  Stream(Loop& loop, int fd, const Address& remote, std::size_t max_unsent, bool connecting);
  void update_watcher();
  void on_event(int events);
  bool send_pending();  // sends as much as the socket accepts; false on an error, which is in errno
  void flush();
  void fail(const std::string& reason);
  void fail(int error);
  void on_write_error(int error);
  ssize_t read_once();  // passes the received bytes to on_bytes; returns what recv returns
  void begin_final_flush();
  void on_output_drained();
  void on_readable_while_lingering();
  Loop& loop_;
  int fd_;
  Address remote_;
  std::size_t max_unsent_;
  bool connecting_;
  bool flush_queued_ = false;
  bool closing_ = false;
  bool final_flush_ = false;  // the loop keeps this stream alive until its output is sent
  bool write_shutdown_ = false;
  bool lingering_ = false;  // close_gracefully() was called: the stream closes when the remote side does
  bool paused_ = false;
  double last_write_at_ = -1;  // time of the last write; negative: none
  int error_ = 0;
  int watched_events_ = 0;
  ev_io io_watcher_;
  // A handler may close its stream or replace the handlers while it runs, so the code that calls one holds
  // its own reference.
  std::shared_ptr<const Handlers> handlers_;
  std::string out_;
  std::size_t out_offset_ = 0;
  TimerId close_timer_ = 0;
};

class Listener {
 public:
  // Binds and listens. Throws std::runtime_error that names the address. Port 0 selects any free port.
  Listener(Loop& loop, const Address& at, std::function<void(int fd, Address from)> on_accept);
  ~Listener();
  Address local() const { return local_; }
  // Accepts the connections in the backlog. Call it before destroying the listener, which would reset them.
  void accept_pending();

 private:
  bool accept_some();  // false if the backlog is empty or no file descriptor is free
  Loop& loop_;
  int fd_;
  Address local_;
  ev_io io_watcher_;
  TimerId retry_timer_ = 0;  // set while accepting is paused for lack of file descriptors
  std::function<void(int, Address)> on_accept_;
};

class DatagramSocket {
 public:
  DatagramSocket(Loop& loop, const Address& at,
                 std::function<void(std::string_view, Address from)> on_datagram);
  ~DatagramSocket();
  void send(std::string_view bytes, const Address& to);  // best effort: errors are ignored
  Address local() const { return local_; }

 private:
  Loop& loop_;
  int fd_;
  Address local_;
  ev_io io_watcher_;
  std::function<void(std::string_view, Address)> on_datagram_;
};

}  // namespace mintrock::net

#endif  // MINTROCK_SRC_NET_LOOP_HPP_
