// A small HTTP/1.1 server for those who look after the proxy: GET only, one response at a time a connection.
#ifndef MINTROCK_SRC_EDGE_ADMIN_HPP_
#define MINTROCK_SRC_EDGE_ADMIN_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "net/loop.hpp"

namespace mintrock::edge {

class Admin {
 public:
  struct Response {
    int status = 200;
    std::string type = "text/plain; charset=utf-8";
    std::string body;
  };
  using Handler = std::function<Response()>;

  Admin(net::Loop& loop, const net::Address& at, std::map<std::string, Handler> paths);
  ~Admin();
  net::Address listening() const { return listener_->local(); }

 private:
  struct Connection;
  void accepted(int fd, net::Address from);
  void drop(std::uint64_t id);
  void respond(Connection& connection);

  net::Loop& loop_;
  std::map<std::string, Handler> paths_;
  std::map<std::uint64_t, std::unique_ptr<Connection>> connections_;
  std::uint64_t last_ = 0;
  std::unique_ptr<net::Listener> listener_;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_ADMIN_HPP_
