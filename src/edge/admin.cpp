#include "edge/admin.hpp"

#include <http_parser.h>
#include <unistd.h>

#include <utility>

namespace mintrock::edge {
namespace {

constexpr std::size_t kMaxConnections = 64;
constexpr std::size_t kMaxUrlLength = 1024;
constexpr std::size_t kMaxUnsent = 64 << 20;  // bytes; bounds one response
constexpr double kIdleTimeout = 30;           // s

}  // namespace

struct AdminServer::Connection {
  std::uint64_t id = 0;
  std::shared_ptr<net::Stream> stream;
  http_parser parser{};
  http_parser_settings settings{};
  std::string url;
  bool complete = false;   // a whole request has been parsed
  net::TimerId timer = 0;  // closes the connection when idle
};

AdminServer::AdminServer(net::Loop& loop, const net::Address& address,
                         std::map<std::string, Handler> handlers)
    : loop_(loop), handlers_(std::move(handlers)) {
  listener_ = std::make_unique<net::Listener>(loop_, address,
                                              [this](int fd, net::Address from) { on_accepted(fd, from); });
}

AdminServer::~AdminServer() {
  for (auto& [id, each] : connections_) {
    loop_.timers().cancel(each->timer);
    each->stream->close();
  }
}

void AdminServer::drop(std::uint64_t id) {
  const auto found = connections_.find(id);
  if (found == connections_.end()) return;
  loop_.timers().cancel(found->second->timer);
  found->second->stream->close_after_flush();
  // Destroyed later: its parser may be running in a caller of this function.
  loop_.defer([keep = std::shared_ptr<Connection>(std::move(found->second))] {});
  connections_.erase(found);
}

void AdminServer::on_accepted(int fd, net::Address from) {
  if (connections_.size() >= kMaxConnections) {
    ::close(fd);
    return;
  }
  auto owned = std::make_unique<Connection>();
  Connection& connection = *owned;
  connection.id = ++last_id_;
  connection.stream = net::Stream::adopt(loop_, fd, from, kMaxUnsent);
  http_parser_init(&connection.parser, HTTP_REQUEST);
  connection.parser.data = &connection;
  http_parser_settings_init(&connection.settings);
  connection.settings.on_message_begin = [](http_parser* p) {
    Connection& self = *static_cast<Connection*>(p->data);
    self.url.clear();
    return 0;
  };
  connection.settings.on_url = [](http_parser* p, const char* at, std::size_t size) {
    Connection& self = *static_cast<Connection*>(p->data);
    self.url.append(at, size);
    return self.url.size() > kMaxUrlLength ? -1 : 0;
  };
  connection.settings.on_message_complete = [](http_parser* p) {
    static_cast<Connection*>(p->data)->complete = true;
    http_parser_pause(p, 1);  // handle one request at a time; pipelined requests follow
    return 0;
  };
  const std::uint64_t id = connection.id;
  net::Stream::Handlers handlers;
  handlers.on_closed = [this, id](const std::string&) { drop(id); };
  handlers.on_bytes = [this, id](std::string_view bytes) {
    while (!bytes.empty()) {
      const auto found = connections_.find(id);
      if (found == connections_.end()) return;
      Connection& c = *found->second;
      const std::size_t used = http_parser_execute(&c.parser, &c.settings, bytes.data(), bytes.size());
      const auto error = HTTP_PARSER_ERRNO(&c.parser);
      bytes.remove_prefix(std::min(used, bytes.size()));
      if (error == HPE_PAUSED && c.complete) {
        http_parser_pause(&c.parser, 0);
        c.complete = false;
        respond(c);
      } else if (error != HPE_OK) {
        c.stream->write("HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
        return drop(id);
      }
    }
  };
  connection.stream->set_handlers(std::move(handlers));
  connection.timer = loop_.after(kIdleTimeout, [this, id] { drop(id); });
  connections_[id] = std::move(owned);
}

void AdminServer::respond(Connection& connection) {
  Response response;
  const std::string path = connection.url.substr(0, connection.url.find('?'));
  const auto found = handlers_.find(path);
  if (connection.parser.method != HTTP_GET) {
    response = {405, "text/plain", "GET only\n"};
  } else if (found == handlers_.end()) {
    response = {404, "text/plain", "no such page\n"};
  } else {
    response = found->second();
  }
  const bool keep_alive = http_should_keep_alive(&connection.parser) != 0;
  const char* reason = response.status == 200 ? "OK" : response.status == 404 ? "Not Found" : "Error";
  connection.stream->write("HTTP/1.1 " + std::to_string(response.status) + " " + reason +
                           "\r\nContent-Type: " + response.type +
                           "\r\nContent-Length: " + std::to_string(response.body.size()) +
                           (keep_alive ? "" : "\r\nConnection: close") + "\r\n\r\n" + response.body);
  if (!keep_alive) return drop(connection.id);
  loop_.timers().cancel(connection.timer);
  connection.timer = loop_.after(kIdleTimeout, [this, id = connection.id] { drop(id); });
}

}  // namespace mintrock::edge
