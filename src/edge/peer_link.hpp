// A Diameter peer on real sockets: the pure machine of diameter/peer.hpp joined to streams and timers.
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
    std::function<void()> up;
    std::function<void(const std::string& why)> down;
    std::function<void(bool suspect)> suspect;
    std::function<void(const diameter::MessageView&, bool reopening)> message;
    std::function<void(const std::string& what)> bad;
    std::function<void(const std::string& why)> refused;  // a connection could not be had
  };

  PeerLink(net::Loop& loop, const diameter::LocalNode& local, diameter::PeerSettings settings,
           std::uint64_t seed, std::optional<net::Address> address, std::size_t max_unsent,
           Handlers handlers);
  ~PeerLink() override;
  PeerLink(const PeerLink&) = delete;

  void start();
  void stop(diameter::DisconnectCause cause);
  // Takes over an accepted connection whose CER was read; `rest` are the bytes that came behind it. False: it
  // was rejected, answered if need be, and is closed.
  bool adopt(std::shared_ptr<net::Stream> stream, const diameter::MessageView& cer, std::string_view rest);
  bool send(std::string bytes) { return peer_.send(std::move(bytes)); }
  diameter::Peer& peer() { return peer_; }
  const diameter::Peer& peer() const { return peer_; }

 private:
  void connect() override;
  void send(diameter::Connection link, std::string bytes) override;
  void close(diameter::Connection link) override;
  void on_up() override { handlers_.up(); }
  void on_down(const std::string& why) override { handlers_.down(why); }
  void on_suspect_change(bool now_suspect) override { handlers_.suspect(now_suspect); }
  void on_message(const diameter::MessageView& view, bool reopening) override {
    handlers_.message(view, reopening);
  }
  void on_protocol_error(const std::string& what) override { handlers_.bad(what); }

  std::shared_ptr<net::Stream>& stream(diameter::Connection link) {
    return streams_[link == diameter::Connection::kInitiated ? 0 : 1];
  }
  void watch(diameter::Connection link);
  void reschedule();

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
