// A Diameter peer over sockets: connects the state machine of diameter/peer.hpp to streams and timers.
#ifndef MINTROCK_SRC_EDGE_PEER_LINK_HPP_
#define MINTROCK_SRC_EDGE_PEER_LINK_HPP_

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "diameter/peer.hpp"
#include "net/loop.hpp"

namespace mintrock::edge {

class PeerLink : private diameter::PeerDelegate {
 public:
  struct Handlers {
    std::function<void()> on_up;
    std::function<void(const std::string& reason)> on_down;
    std::function<void(bool suspect)> on_suspect;
    std::function<void(const diameter::MessageView&, bool reopening)> on_message;
    std::function<void(const std::string& what)> on_malformed;
    std::function<void(const std::string& reason)> on_connect_failed;  // a connection could not be opened
  };

  PeerLink(net::Loop& loop, const diameter::LocalNode& local, diameter::PeerSettings settings,
           std::uint64_t seed, std::optional<net::Address> address, std::size_t max_unsent,
           Handlers handlers);
  ~PeerLink() override;
  PeerLink(const PeerLink&) = delete;

  void start();
  void stop(diameter::DisconnectCause cause);
  // Takes over an accepted connection whose CER was read; `rest` holds the bytes received after it. Returns
  // false if the state machine rejects the connection: it is then answered if need be, and closed.
  bool adopt(std::shared_ptr<net::Stream> stream, const diameter::MessageView& cer, std::string_view rest);
  bool send(std::string bytes) { return peer_.send(std::move(bytes)); }
  diameter::Peer& peer() { return peer_; }
  const diameter::Peer& peer() const { return peer_; }

 private:
  void connect() override;
  void send(diameter::Connection connection, std::string bytes) override;
  void close(diameter::Connection connection) override;
  void on_up() override { handlers_.on_up(); }
  void on_down(const std::string& reason) override { handlers_.on_down(reason); }
  void on_suspect_change(bool now_suspect) override { handlers_.on_suspect(now_suspect); }
  void on_message(const diameter::MessageView& view, bool reopening) override {
    handlers_.on_message(view, reopening);
  }
  void on_protocol_error(const std::string& what) override { handlers_.on_malformed(what); }

  std::shared_ptr<net::Stream>& stream(diameter::Connection connection) {
    return streams_[connection == diameter::Connection::kInitiated ? 0 : 1];
  }
  void watch_stream(diameter::Connection connection);
  void reschedule_timer();

  net::Loop& loop_;
  std::optional<net::Address> address_;
  std::size_t max_unsent_;
  Handlers handlers_;
  std::shared_ptr<net::Stream> streams_[2];
  net::TimerId timer_ = 0;
  double timer_at_ = 0;
  diameter::Peer peer_;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_PEER_LINK_HPP_
