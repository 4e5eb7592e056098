// A small HTTP/1.1 server for operators. It supports GET only, and sends one response at a time per
// connection.
#ifndef MINTROCK_SRC_EDGE_ADMIN_HPP_
#define MINTROCK_SRC_EDGE_ADMIN_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/loop.hpp"

namespace mintrock::edge {

class AdminServer {
 public:
  struct Response {
    int status = 200;
    std::string type = "text/plain; charset=utf-8";
    std::string body;
  };
  using Handler = std::function<Response()>;

  // `handlers` maps each path to the function that produces its page.
  AdminServer(net::Loop& loop, const net::Address& address, std::map<std::string, Handler> handlers);
  ~AdminServer();
  net::Address listening() const { return listener_->local(); }

 private:
  struct Connection;
  void on_accepted(int fd, net::Address from);
  void drop(std::uint64_t id);
  void respond(Connection& connection);

  net::Loop& loop_;
  std::map<std::string, Handler> handlers_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::uint64_t last_id_ = 0;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_ADMIN_HPP_
