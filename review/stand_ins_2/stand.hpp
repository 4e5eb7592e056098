// Stand-ins for what surrounds one edge proxy on the platform, written from the platform's pages: core servers
// (JSON lines), callers (binary messages) and the event bus (server-sent events over HTTP), on loopback
// addresses and the real clock, in one thread. The edge proxy itself is a process of its own, started with the
// `run` command of deploy/balancer.toml.
#ifndef MINTROCK_REVIEW_STAND_HPP_
#define MINTROCK_REVIEW_STAND_HPP_

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

namespace stand {

using nlohmann::json;

struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline double clock_s() {
  timespec t{};
  clock_gettime(CLOCK_MONOTONIC, &t);
  return static_cast<double>(t.tv_sec) + static_cast<double>(t.tv_nsec) * 1e-9;
}
inline double started_s() {
  static const double at = clock_s();
  return at;
}
inline double now() { return clock_s() - started_s(); }  // s since the start of the case
inline std::int64_t unix_ms() {
  timespec t{};
  clock_gettime(CLOCK_REALTIME, &t);
  return static_cast<std::int64_t>(t.tv_sec) * 1000 + t.tv_nsec / 1000000;
}

// What was sent, answered and run, one event a line.
class Record {
 public:
  static Record& get() {
    static Record record;
    return record;
  }
  void open(const std::string& name) {
    file_ = std::fopen(name.c_str(), "w");
    if (file_ == nullptr) throw CannotRun("cannot write " + name);
  }
  void line(const std::string& who, const std::string& what) {
    if (file_ == nullptr) return;
    std::fprintf(file_, "%8.3f  %-12s %s\n", now(), who.c_str(), what.c_str());
    std::fflush(file_);
  }

 private:
  std::FILE* file_ = nullptr;
};
inline void note(const std::string& who, const std::string& what) { Record::get().line(who, what); }

struct Addr {
  std::string ip;
  int port = 0;
  std::string str() const { return ip + ":" + std::to_string(port); }
  sockaddr_in raw() const {
    sockaddr_in in{};
    in.sin_family = AF_INET;
    in.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &in.sin_addr);
    return in;
  }
};

// A loopback address of this process's own, so that cases can run side by side.
inline std::string own_ip(int last) {
  const int pid = static_cast<int>(getpid());
  return "127." + std::to_string(64 + (pid >> 8) % 128) + "." + std::to_string(pid & 255) + "." +
         std::to_string(last);
}

inline int listen_on(Addr& at, int backlog = 256) {
  const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  const sockaddr_in in = at.raw();
  if (fd < 0 || bind(fd, reinterpret_cast<const sockaddr*>(&in), sizeof in) != 0 || listen(fd, backlog) != 0)
    throw CannotRun("cannot listen on " + at.str());
  sockaddr_in got{};
  socklen_t size = sizeof got;
  getsockname(fd, reinterpret_cast<sockaddr*>(&got), &size);
  at.port = ntohs(got.sin_port);
  return fd;
}
inline Addr free_addr(const std::string& ip) {
  Addr at{ip, 0};
  close(listen_on(at));
  return at;
}

// ---- Event loop ----

class Conn;

class Loop {
 public:
  static Loop& get() {
    static Loop loop;
    return loop;
  }
  void after(double seconds, std::function<void()> fn) { timers_.emplace(now() + seconds, std::move(fn)); }
  void add_listener(int fd, std::function<void(int)> on_accept) { listeners_[fd] = std::move(on_accept); }
  void remove_listener(int fd) { listeners_.erase(fd); }
  void add(const std::shared_ptr<Conn>& conn) { conns_.insert(conn); }
  void run_until(double time, const std::function<bool()>& done = {});

 private:
  std::multimap<double, std::function<void()>> timers_;
  std::map<int, std::function<void(int)>> listeners_;
  std::set<std::shared_ptr<Conn>> conns_;
};

inline void after(double seconds, std::function<void()> fn) { Loop::get().after(seconds, std::move(fn)); }

class Conn : public std::enable_shared_from_this<Conn> {
 public:
  std::function<void()> on_open;
  std::function<void(const std::string&)> on_bytes;
  std::function<void(const std::string& why)> on_close;  // by the other side only

  static std::shared_ptr<Conn> adopt(int fd) {
    auto conn = std::make_shared<Conn>();
    conn->fd_ = fd;
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    Loop::get().add(conn);
    return conn;
  }
  static std::shared_ptr<Conn> open(const Addr& to) {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) throw CannotRun("no socket");
    auto conn = adopt(fd);
    conn->connecting_ = true;
    const sockaddr_in in = to.raw();
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&in), sizeof in) != 0 && errno != EINPROGRESS)
      conn->failed_ = true;
    return conn;
  }
  ~Conn() { close(); }
  void write(const std::string& bytes) {
    if (fd_ < 0) return;
    out_ += bytes;
    if (!connecting_) flush();
  }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void reset() {
    if (fd_ < 0) return;
    const linger hard{1, 0};
    setsockopt(fd_, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
    close();
  }
  bool is_open() const { return fd_ >= 0; }
  void pause(bool paused) { paused_ = paused; }

 private:
  friend class Loop;
  void flush() {
    while (!out_.empty()) {
      const ssize_t sent = ::send(fd_, out_.data(), out_.size(), MSG_NOSIGNAL);
      if (sent < 0) return;  // the loss of the connection is seen when it is read
      out_.erase(0, static_cast<std::size_t>(sent));
    }
  }
  void lose(const std::string& why) {
    if (fd_ < 0) return;
    close();
    if (on_close) on_close(why);
  }
  void handle(short events) {
    const auto self = shared_from_this();
    if (connecting_) {
      int error = 0;
      socklen_t size = sizeof error;
      getsockopt(fd_, SOL_SOCKET, SO_ERROR, &error, &size);
      if (error != 0) return lose(std::strerror(error));
      connecting_ = false;
      if (on_open) on_open();
      if (fd_ >= 0) flush();
      return;
    }
    if ((events & POLLOUT) != 0) flush();
    if (fd_ < 0 || (events & (POLLIN | POLLHUP | POLLERR)) == 0) return;
    char buffer[65536];
    const ssize_t got = ::recv(fd_, buffer, sizeof buffer, 0);
    if (got > 0) {
      if (on_bytes) on_bytes(std::string(buffer, static_cast<std::size_t>(got)));
    } else if (got == 0) {
      lose("closed");
    } else if (errno != EAGAIN && errno != EINTR) {
      lose(std::strerror(errno));
    }
  }
  int fd_ = -1;
  bool connecting_ = false;
  bool failed_ = false;
  bool paused_ = false;
  std::string out_;
};

inline void Loop::run_until(double time, const std::function<bool()>& done) {
  while (now() < time && !(done && done())) {
    while (!timers_.empty() && timers_.begin()->first <= now()) {
      const auto fn = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      fn();
    }
    double wait = std::min(0.02, time - now());
    if (!timers_.empty()) wait = std::min(wait, timers_.begin()->first - now());
    std::vector<pollfd> fds;
    std::vector<std::shared_ptr<Conn>> polled;
    for (auto it = conns_.begin(); it != conns_.end();) {
      const auto conn = *it;
      if (conn->fd_ >= 0 && conn->failed_) conn->lose("refused");
      if (conn->fd_ < 0) {
        it = conns_.erase(it);
        continue;
      }
      ++it;
      if (conn->paused_) continue;
      const bool writes = conn->connecting_ || !conn->out_.empty();
      fds.push_back({conn->fd_, static_cast<short>(POLLIN | (writes ? POLLOUT : 0)), 0});
      polled.push_back(conn);
    }
    const std::size_t conn_count = fds.size();
    for (const auto& [fd, fn] : listeners_) fds.push_back({fd, POLLIN, 0});
    const int wait_ms = std::max(0, static_cast<int>(std::ceil(wait * 1000)));
    if (poll(fds.data(), fds.size(), wait_ms) <= 0) continue;
    for (std::size_t i = 0; i < fds.size(); ++i) {
      if (fds[i].revents == 0) continue;
      if (i < conn_count) {
        if (polled[i]->fd_ == fds[i].fd) polled[i]->handle(fds[i].revents);
        continue;
      }
      for (;;) {
        const auto listener = listeners_.find(fds[i].fd);
        if (listener == listeners_.end()) break;
        const int fd = accept4(fds[i].fd, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) break;
        const auto on_accept = listener->second;
        on_accept(fd);
      }
    }
  }
}

// ---- Core server ----

// A sound core server: sends its state first on a new connection and then regularly on at most four; answers
// set-ups; sends the end of a call on its set-up's connection, otherwise on any open one, and on the next one
// opened as well; cuts a call on a release; gives up the open set-ups of a connection that closes.
class Core {
 public:
  struct Call {
    int link = 0;
    bool stands = false;
    std::string sdp;
  };
  std::string id;
  Addr addr;
  int block = 0;
  std::int64_t born_ms = 0;
  double setup_time = 0.02;
  double state_period = 0.5;
  // Takes a set-up instead of the usual answer; returns whether it did.
  std::function<bool(int link, const std::string& call, const json& message)> on_setup;
  std::function<void(const std::string& call)> on_arrived;
  std::function<void(const std::string& call)> on_stands;
  std::map<std::string, Call> calls;
  std::uint64_t setups = 0;

  Core(std::string name, const Addr& at) : id(std::move(name)), addr(at) {
    start();
    send_states();
  }
  void start() {
    if (listener_ >= 0) return;
    listener_ = listen_on(addr);
    Loop::get().add_listener(listener_, [this](int fd) { accept(fd); });
    note(id, "process listens at " + addr.str());
  }
  // The process dies: its connections are reset, its calls are cut, new connections are refused.
  void die() {
    note(id, "process dies, " + std::to_string(calls.size()) + " calls cut");
    if (listener_ >= 0) {
      Loop::get().remove_listener(listener_);
      ::close(listener_);
    }
    listener_ = -1;
    for (auto& [n, link] : links_) link.conn->reset();
    links_.clear();
    calls.clear();
    repeat_.clear();
    new_life();
  }
  // The process gets no processor time: connections come up, but nothing is read or written.
  void hang() {
    if (hung_ || listener_ < 0) return;
    note(id, "hangs");
    hung_ = true;
    Loop::get().remove_listener(listener_);
    for (auto& [n, link] : links_) link.conn->pause(true);
  }
  // What fell due meanwhile is done in the order of time; then what arrived meanwhile is read and accepted.
  void resume() {
    if (!hung_) return;
    note(id, "resumes");
    hung_ = false;
    for (const auto& fn : std::exchange(deferred_, {})) fn();
    for (auto& [n, link] : links_) {
      if (!link.useless) link.conn->pause(false);
    }
    Loop::get().add_listener(listener_, [this](int fd) { accept(fd); });
  }
  void act(double delay, std::function<void()> fn) {
    after(delay, [this, fn = std::move(fn), life = life_] {
      if (life != life_) return;
      if (hung_) {
        deferred_.push_back(fn);
      } else {
        fn();
      }
    });
  }
  bool running() const { return listener_ >= 0; }
  void send(int link, const json& line) { write(link, line.dump() + "\n"); }
  void write(int link, const std::string& bytes) {
    const auto found = links_.find(link);
    if (found != links_.end() && !found->second.useless) found->second.conn->write(bytes);
  }
  // From now on nothing is read from this connection or written to it, though it stays open.
  void make_useless(int link) {
    const auto found = links_.find(link);
    if (found == links_.end()) return;
    found->second.useless = true;
    found->second.conn->pause(true);
  }
  void answer(const std::string& call) {
    Call& entry = calls.at(call);
    entry.stands = true;
    entry.sdp = "answer " + call + " by " + id;
    note(id, "answer " + call + " on connection " + std::to_string(entry.link));
    send(entry.link, {{"type", "answer"}, {"id", call}, {"fields", json::object()}, {"sdp", entry.sdp}});
    if (on_stands) on_stands(call);
  }
  void refuse(const std::string& call, int cause, const std::string& why) {
    const int link = calls.at(call).link;
    calls.erase(call);
    note(id, "release " + call + " cause " + std::to_string(cause) + " " + why);
    json fields = json::object();
    if (!why.empty()) fields["note"] = why;
    send(link, {{"type", "release"}, {"id", call}, {"fields", fields}, {"cause", cause}});
  }
  // The call has come to its end (16), or is cut (41).
  void end(const std::string& call, int cause) {
    int link = calls.at(call).link;
    calls.erase(call);
    if (links_.count(link) == 0) {
      link = 0;
      for (const auto& [n, each] : links_) {
        if (link == 0 || !each.useless) link = n;
      }
    }
    note(id, "release " + call + " cause " + std::to_string(cause) + ": over, on connection " +
                 std::to_string(link));
    const json line{{"type", "release"}, {"id", call}, {"fields", json::object()}, {"cause", cause}};
    send(link, line);
    repeat_.push_back(line);
  }
  std::size_t open_links() const { return links_.size(); }
  json host(const char* health, bool with_start = true) const {
    return {{"host", id},    {"dial", addr.str()}, {"site", "lagos"}, {"class", "one-core"},
            {"block", block}, {"health", health},   {"share", 1},      {"born_ms", with_start ? born_ms : 0}};
  }

 private:
  struct Link {
    std::shared_ptr<Conn> conn;
    std::string in;
    bool useless = false;
  };
  json state() const {
    return {{"type", "state"},
            {"id", "0000000000000000"},
            {"fields", {{"load", "spare:" + std::to_string(200 - static_cast<int>(calls.size())) +
                                     ";total:200;mean_ms:3;allowed:60"}}}};
  }
  void accept(int fd) {
    const int n = ++last_link_;
    links_[n].conn = Conn::adopt(fd);
    note(id, "connection " + std::to_string(n) + " opened");
    links_[n].conn->on_bytes = [this, n](const std::string& bytes) { read(n, bytes); };
    links_[n].conn->on_close = [this, n](const std::string& why) {
      note(id, "connection " + std::to_string(n) + " ended: " + why);
      links_.erase(n);
      give_up_setups(n);
    };
    send(n, state());
    for (const json& line : std::exchange(repeat_, {})) {
      note(id, "release " + line["id"].get<std::string>() + " again, on connection " + std::to_string(n));
      send(n, line);
    }
  }
  void give_up_setups(int n) {
    for (auto it = calls.begin(); it != calls.end();) {
      const bool open = it->second.link == n && !it->second.stands;
      if (open) note(id, "set-up " + it->first + " given up with its connection");
      it = open ? calls.erase(it) : std::next(it);
    }
  }
  void read(int n, const std::string& bytes) {
    if (links_.count(n) == 0) return;
    links_[n].in += bytes;
    for (;;) {
      const auto found = links_.find(n);
      if (found == links_.end() || found->second.useless) return;
      const std::size_t end = found->second.in.find('\n');
      if (end == std::string::npos) return;
      const std::string line = found->second.in.substr(0, end);
      found->second.in.erase(0, end + 1);
      handle(n, json::parse(line));
    }
  }
  void handle(int n, const json& message) {
    const std::string type = message.at("type");
    const std::string call = message.at("id");
    if (type == "ping") {
      send(n, {{"type", "pong"}, {"id", call}, {"fields", json::object()}, {"cause", 1}});
    } else if (type == "setup") {
      setups += 1;
      note(id, "set-up " + call + " arrived on connection " + std::to_string(n));
      calls[call] = {n, false, ""};
      if (on_arrived) on_arrived(call);
      if (on_setup && on_setup(n, call, message)) return;
      act(setup_time, [this, call] {
        if (calls.count(call) != 0 && !calls.at(call).stands) answer(call);
      });
    } else if (type == "release") {
      note(id, "release " + call + " from the proxy, cause " + message.value("cause", json(0)).dump());
      calls.erase(call);
      send(n, {{"type", "released"}, {"id", call}, {"fields", json::object()}});
    }
  }
  void send_states() {
    int sent = 0;
    for (auto& [n, link] : links_) {
      if (!hung_ && !link.useless && ++sent <= 4) link.conn->write(state().dump() + "\n");
    }
    after(state_period, [this] { send_states(); });
  }
  void new_life() {
    life_ += 1;
    hung_ = false;
    deferred_.clear();
  }
  int listener_ = -1;
  int last_link_ = 0;
  int life_ = 0;
  bool hung_ = false;
  std::map<int, Link> links_;
  std::vector<json> repeat_;
  std::vector<std::function<void()>> deferred_;
};

// Core servers with ids and blocks of their own, the first of which is block 0.
inline std::vector<std::unique_ptr<Core>> core_servers(const std::string& ip, int count) {
  std::vector<std::unique_ptr<Core>> out;
  for (int i = 0; i < count; ++i) {
    char name[16];
    std::snprintf(name, sizeof name, "s-%08x", 0x00c41f7au + 0x01013701u * static_cast<unsigned>(i));
    out.push_back(std::make_unique<Core>(name, Addr{ip, 0}));
    out.back()->block = i;
  }
  return out;
}
inline std::vector<json> serving(const std::vector<std::unique_ptr<Core>>& cores) {
  std::vector<json> out;
  for (const auto& core : cores) out.push_back(core->host("SERVING"));
  return out;
}

// ---- Event bus ----

class Bus {
 public:
  Addr addr;
  double response_delay = 0;  // from a request to the first byte of its response

  explicit Bus(const std::string& ip) : addr{ip, 0} { listen(); }
  void listen() {
    listener_ = listen_on(addr);
    Loop::get().add_listener(listener_, [this](int fd) { accept(fd); });
    if (!ticking_) tick();
  }
  // Begins the events of one start of the proxy, numbered from 1, with the whole list.
  json known(const std::vector<json>& hosts) {
    events_.clear();
    const json whole = event(hosts, true);
    events_.push_back(whole.dump());
    return {{"offset", 1}, {"batch", json::array({whole})}};
  }
  void publish(const std::vector<json>& hosts) {
    events_.push_back(event(hosts, false).dump());
    note("bus", "event " + std::to_string(events_.size()) + " " + json(hosts).dump());
    for (auto& [n, watch] : watches_) tell(watch);
  }
  // Another address; the old one accepts nothing, tells nothing more and closes after 1.5 s.
  void move() {
    Loop::get().remove_listener(listener_);
    ::close(listener_);
    for (auto& [n, watch] : watches_) {
      after(1.5, [conn = watch.conn] { conn->close(); });
    }
    watches_.clear();
    addr.port = 0;
    listen();
    note("bus", "moved to " + addr.str());
  }

 private:
  struct Watch {
    std::shared_ptr<Conn> conn;
    std::string in;
    bool told = false;
    std::size_t next = 0;
  };
  json event(const std::vector<json>& hosts, bool whole) const {
    const std::size_t n = events_.size() + 1;
    return {{"offset", n}, {"topology", {{"seq", n}, {"whole", whole}, {"hosts", hosts}}}};
  }
  void accept(int fd) {
    const int n = ++last_;
    watches_[n].conn = Conn::adopt(fd);
    note("bus", "connection " + std::to_string(n) + " opened");
    watches_[n].conn->on_close = [this, n](const std::string& why) {
      note("bus", "connection " + std::to_string(n) + " ended: " + why);
      watches_.erase(n);
    };
    watches_[n].conn->on_bytes = [this, n](const std::string& bytes) {
      Watch& watch = watches_[n];
      const bool had = watch.in.find("\r\n\r\n") != std::string::npos;
      watch.in += bytes;
      if (had || watch.in.find("\r\n\r\n") == std::string::npos) return;
      const std::size_t at = watch.in.find("Last-Event-ID: ");
      watch.next = at == std::string::npos ? 0 : std::strtoul(watch.in.c_str() + at + 15, nullptr, 10);
      note("bus", "GET on connection " + std::to_string(n) + " after event " + std::to_string(watch.next));
      after(response_delay, [this, n] {
        const auto found = watches_.find(n);
        if (found == watches_.end()) return;
        note("bus", "response begins on connection " + std::to_string(n));
        found->second.told = true;
        found->second.conn->write("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\n");
        tell(found->second);
      });
    };
  }
  void tell(Watch& watch) {
    if (!watch.told) return;
    for (; watch.next < events_.size(); ++watch.next)
      watch.conn->write("id: " + std::to_string(watch.next + 1) + "\ndata: " + events_[watch.next] + "\n\n");
  }
  void tick() {
    ticking_ = true;
    for (auto& [n, watch] : watches_) {
      if (watch.told) watch.conn->write(": here\n\n");
    }
    after(1.0, [this] { tick(); });
  }
  bool ticking_ = false;
  int listener_ = -1;
  int last_ = 0;
  std::map<int, Watch> watches_;
  std::vector<std::string> events_;
};

// ---- Callers ----

struct Message {
  int type = 0;
  std::string call;
  std::map<int, std::string> parameters;
  int cause() const {
    const auto found = parameters.find(31);
    return found == parameters.end() || found->second.empty() ? 16
                                                               : static_cast<unsigned char>(found->second[0]);
  }
};

inline std::string message(int type, const std::string& call, const std::map<int, std::string>& parameters) {
  const auto u16 = [](std::size_t n) {
    return std::string{static_cast<char>(n >> 8 & 255), static_cast<char>(n & 255)};
  };
  std::string body(1, static_cast<char>(type));
  for (std::size_t i = 0; i < 16; i += 2)
    body += static_cast<char>(std::stoi(call.substr(i, 2), nullptr, 16));
  for (const auto& [code, value] : parameters) body += static_cast<char>(code) + u16(value.size()) + value;
  return u16(body.size()) + body;
}

// Connections from callers to one edge proxy.
class Callers {
 public:
  std::function<void(int link, const Message&)> on_message;
  std::function<void(int link)> on_closed;

  explicit Callers(const Addr& to) : to_(to) {}
  int connect() {
    const int n = ++last_;
    links_[n].conn = Conn::open(to_);
    links_[n].conn->on_bytes = [this, n](const std::string& bytes) { read(n, bytes); };
    links_[n].conn->on_close = [this, n](const std::string& why) {
      note("callers", "connection " + std::to_string(n) + " ended: " + why);
      links_.erase(n);
      if (on_closed) on_closed(n);
    };
    return n;
  }
  // As the front does: tests the proxy until a test passes. Returns the connection that carried it.
  int admit() {
    const double until = now() + 30;
    for (;;) {
      const int n = connect();
      test(n);
      const double next = now() + 0.2;
      Loop::get().run_until(next, [&] { return tested_.count(n) != 0 || !is_open(n); });
      if (tested_.count(n) != 0) {
        note("front", "the test has passed");
        return n;
      }
      if (is_open(n)) close(n);
      if (now() > until) throw CannotRun("no test passed within 30 s");
      Loop::get().run_until(std::max(now() + 0.01, next));
    }
  }
  bool is_open(int link) const { return links_.count(link) != 0; }
  void close(int link) {
    const auto found = links_.find(link);
    if (found == links_.end()) return;
    found->second.conn->close();
    links_.erase(found);
  }
  void close_all() {
    while (!links_.empty()) close(links_.begin()->first);
  }
  void set_up(int link, const std::string& call, const std::string& service_class, int left_ms,
              const std::string& attributes = "dest:0;width:1;via:-1", const std::string& number = "") {
    note("callers", "set-up " + call + " " + service_class + " " + std::to_string(left_ms) + " ms, " + attributes +
                        ", on connection " + std::to_string(link));
    std::map<int, std::string> parameters{{3, service_class},
                                          {5, std::to_string(left_ms)},
                                          {11, number.empty() ? call : number},
                                          {13, attributes},
                                          {33, call + "\r\nc=IN IP4 127.0.0.1\r\n"}};
    write(link, message(1, call, parameters));
  }
  void release(int link, const std::string& call) {
    note("callers", "release " + call);
    write(link, message(12, call, {{31, std::string(1, 16)}}));
  }
  void test(int link) { write(link, message(52, "0000000000000001", {{31, std::string(1, 0)}})); }
  void write(int link, const std::string& bytes) {
    const auto found = links_.find(link);
    if (found != links_.end()) found->second.conn->write(bytes);
  }

 private:
  struct Link {
    std::shared_ptr<Conn> conn;
    std::string in;
  };
  void read(int n, const std::string& bytes) {
    links_[n].in += bytes;
    for (;;) {
      const auto found = links_.find(n);
      if (found == links_.end()) return;
      std::string& in = found->second.in;
      const auto u16 = [&](std::size_t at) {
        return static_cast<std::size_t>(static_cast<unsigned char>(in[at])) << 8 |
               static_cast<unsigned char>(in[at + 1]);
      };
      if (in.size() < 2 || in.size() < 2 + u16(0)) return;
      const std::size_t size = 2 + u16(0);
      Message out;
      out.type = static_cast<unsigned char>(in[2]);
      char hex[17];
      for (int i = 0; i < 8; ++i) std::snprintf(hex + 2 * i, 3, "%02x", static_cast<unsigned char>(in[3 + i]));
      out.call = hex;
      for (std::size_t at = 11; at + 3 <= size;) {
        const std::size_t length = u16(at + 1);
        out.parameters[static_cast<unsigned char>(in[at])] = in.substr(at + 3, length);
        at += 3 + length;
      }
      in.erase(0, size);
      if (out.type == 53 && out.cause() == 1) tested_.insert(n);
      if (out.type == 9) note("callers", "answer " + out.call + ": " + out.parameters[33]);
      if (out.type == 12) note("callers", "release " + out.call + " cause " + std::to_string(out.cause()));
      if (out.type == 12) write(n, message(16, out.call, {}));  // heard
      if (on_message) on_message(n, out);
    }
  }
  Addr to_;
  int last_ = 0;
  std::map<int, Link> links_;
  std::set<int> tested_;
};

// ---- The edge proxy ----

class Edge {
 public:
  std::string name = "n0";
  Addr listen;
  std::string dir;

  Edge(std::string root, std::string temporary, const std::string& ip)
      : listen(free_addr(ip)), dir(std::move(temporary)), root_(std::move(root)) {
    std::FILE* const file = std::fopen((root_ + "/deploy/balancer.toml").c_str(), "r");
    if (file == nullptr) throw CannotRun("no deploy file");
    char line[4096];
    while (std::fgets(line, sizeof line, file) != nullptr) {
      const std::string text = line;
      if (text.rfind("run = \"", 0) == 0) run_ = text.substr(7, text.find('"', 7) - 7);
    }
    std::fclose(file);
    if (run_.empty()) throw CannotRun("no run command");
  }
  ~Edge() {
    if (pid_ <= 0) return;
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  std::string config_file() const { return dir + "/" + name + ".json"; }
  void write_config(const json& config) const {
    const std::string next = config_file() + ".next";
    std::FILE* const file = std::fopen(next.c_str(), "w");
    if (file == nullptr) throw CannotRun("cannot write " + next);
    std::fputs(config.dump().c_str(), file);
    std::fclose(file);
    std::rename(next.c_str(), config_file().c_str());
  }
  void start(const json& config) {
    write_config(config);
    const std::string log = dir + "/" + name + "." + std::to_string(++starts_) + ".log";
    const pid_t parent = getpid();
    pid_ = fork();
    if (pid_ < 0) throw CannotRun("fork");
    if (pid_ == 0) {
      prctl(PR_SET_PDEATHSIG, SIGKILL);
      if (getppid() != parent || chdir(root_.c_str()) != 0) _exit(127);
      const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
      dup2(out, 1);
      dup2(out, 2);
      setenv("LB_NAME", name.c_str(), 1);
      setenv("LB_LISTEN", listen.str().c_str(), 1);
      setenv("LB_CONFIG", config_file().c_str(), 1);
      setenv("TMPDIR", dir.c_str(), 1);
      execl("/bin/sh", "sh", "-c", run_.c_str(), nullptr);
      _exit(127);
    }
    note(name, "started");
    // Ready when the first line of its log is out.
    const double until = now() + 30;
    Loop::get().run_until(until, [&] {
      struct stat info {};
      return ended() || (stat(log.c_str(), &info) == 0 && info.st_size > 0);
    });
    if (ended() || now() >= until) throw CannotRun("the proxy did not start, see " + log);
    note(name, "ready");
  }
  void signal(int number) {
    note(name, "signal " + std::to_string(number));
    if (pid_ > 0) kill(pid_, number);
  }
  bool ended() {
    if (pid_ <= 0) return true;
    int status = 0;
    if (waitpid(pid_, &status, WNOHANG) != pid_) return false;
    pid_ = 0;
    exit_status = status;
    note(name, "ended, status " + std::to_string(status));
    return true;
  }
  int exit_status = 0;

 private:
  std::string root_;
  std::string run_;
  pid_t pid_ = 0;
  int starts_ = 0;
};

// ---- Settings like those of a small deployment ----

struct ClassOf {
  std::string name;
  double goal_s;
  double deadline_s;
  double value;
  std::string effect = "repeatable";
};

inline std::vector<ClassOf> usual_classes() {
  return {{"dock-status", 1.2, 9.0, 1}, {"unlock", 1.5, 9.0, 2}, {"fare-quote", 2.0, 9.0, 1}};
}

inline json settings(const std::vector<ClassOf>& classes, int fleet_size = 1) {
  json list = json::array();
  json pools = json::array();
  json holding = json::array();
  json width = json::array();
  for (const ClassOf& each : classes) {
    list.push_back({{"name", each.name},
                    {"goal_time_s", each.goal_s},
                    {"deadline_s", each.deadline_s},
                    {"dedup_window_s", 5.0},
                    {"effect", each.effect},
                    {"group", "all"},
                    {"late_share", 0.25},
                    {"stream", true},
                    {"value", each.value}});
    json pool = json::array();
    for (int block = 0; block < 24; ++block) pool.push_back(block);
    pools.push_back(pool);
    holding.push_back(9.0);
    width.push_back(1);
  }
  return {{"callers", {{"marks_retry", true}}},
          {"classes", list},
          {"domain",
           {{"centre_advises", false},
            {"class_width", width},
            {"clear_wait_s", 0.5},
            {"far_state", "piggyback"},
            {"gives_wait", true},
            {"holding_s", holding},
            {"self_no", -1},
            {"skilled_pools", pools},
            {"t1_s", 0.5},
            {"topology", "groups"}}},
          {"fleet_size", fleet_size},
          {"goal", {{"whole", 0.5}, {"worst_class", 0.2}, {"worst_tenant", 0.0}, {"worst_window", 0.3}}},
          {"layer", 0},
          {"layers", {"dock-call-servers"}},
          {"limits",
           {{"cancelling", true},
            {"connect_timeout_s", 0.5},
            {"cpu_us_per_request", 0.0},
            {"cpu_us_per_s", 300000},
            {"idle_close_s", 600.0},
            {"max_retry_after_s", 2.0},
            {"multiplex", 1048576},
            {"open_cap", 20000},
            {"parallel_tries", false},
            {"peers", false},
            {"probes", false},
            {"retry_after", true},
            {"try_limit", 4}}},
          {"load_info", {{"fields", {"spare", "total", "mean_ms", "allowed"}}, {"how", "piggyback"}}},
          {"me", 0},
          {"over_share_worth", 0.1},
          {"prices", {{"late_fail", 0.03}, {"peer", 0.01}, {"waste", 0.02}}},
          {"quantum_s", 0.005},
          {"registry_mode", "push"},
          {"rules",
           {{"answer_slack_s", 0.02},
            {"ask_within_s", 10.0},
            {"drain_grace_s", 0.25},
            {"fall_s", 2.0},
            {"overload_factor", 3.0},
            {"start_capacity", 0.28},
            {"warm_up_s", 15.0}}},
          {"service_type", "trunks"},
          {"skus", {"one-core"}},
          {"tenants", json::array()},
          {"weights", "silent"},
          {"worth_by", "request"},
          {"zone", 0},
          {"zones", {"lagos", "abuja"}}};
}

inline json config(const Edge& edge, const Bus& bus, const json& known, const json& settings_of_site) {
  return {{"name", edge.name},
          {"listen", edge.listen.str()},
          {"seed", "8c1f30d27a5be964"},
          {"limits", {{"cores", 1.0}, {"memory_mb", 128}, {"sockets", 512}}},
          {"bus", bus.addr.str()},
          {"known", known},
          {"settings", settings_of_site}};
}

struct Setting {
  std::string root;
  std::string folder;
  std::string temporary;
  bool trouble = true;
};

// The other edge proxies of the fleet, each with an event bus of its own.
class Others {
 public:
  Others(const Setting& setting, const std::string& ip, int count, const std::vector<json>& hosts, json site) {
    for (int i = 1; i <= count; ++i) {
      buses_.push_back(std::make_unique<Bus>(ip));
      edges_.push_back(std::make_unique<Edge>(setting.root, setting.temporary, ip));
      edges_.back()->name = "n" + std::to_string(i);
      site["me"] = i;
      edges_.back()->start(config(*edges_.back(), *buses_.back(), buses_.back()->known(hosts), site));
    }
  }

 private:
  std::vector<std::unique_ptr<Bus>> buses_;
  std::vector<std::unique_ptr<Edge>> edges_;
};

inline std::string call_id(std::uint64_t n) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(0x9b1f03aa00000000ULL + n));
  return text;
}

// Runs a case: arguments are the root of the repository, the folder of the case and a temporary folder.
// TROUBLE=0 leaves the disruption out. Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
inline int run_case(int argc, char** argv, const std::function<std::vector<std::string>(const Setting&)>& body) {
  try {
    if (argc != 4) throw CannotRun("usage: CASE ROOT FOLDER TEMPORARY");
    signal(SIGPIPE, SIG_IGN);
    started_s();
    const char* const trouble = std::getenv("TROUBLE");
    const Setting setting{argv[1], argv[2], argv[3], trouble == nullptr || std::string(trouble) != "0"};
    Record::get().open(setting.folder + "/record.txt");
    note("case", setting.trouble ? "with the disruption" : "without the disruption");
    const std::vector<std::string> broken = body(setting);
    for (const std::string& each : broken) {
      note("BROKEN", each);
      std::printf("broken: %s\n", each.c_str());
    }
    note("case", broken.empty() ? "the rule held" : "the rule was broken");
    std::printf("%s\n", broken.empty() ? "the rule held" : "the rule was broken");
    return broken.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    note("case", std::string("could not run: ") + error.what());
    std::printf("could not run: %s\n", error.what());
    return 2;
  }
}

}  // namespace stand

#endif  // MINTROCK_REVIEW_STAND_HPP_
