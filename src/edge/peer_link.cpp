#include "edge/peer_link.hpp"

#include <utility>

namespace mintrock::edge {

using diameter::Connection;

PeerLink::PeerLink(net::Loop& loop, const diameter::LocalNode& local, diameter::PeerSettings settings,
                   std::uint64_t seed, std::optional<net::Address> address, std::size_t max_unsent,
                   Handlers handlers)
    : loop_(loop),
      address_(address),
      max_unsent_(max_unsent),
      handlers_(std::move(handlers)),
      peer_(local, std::move(settings), seed, *this) {}

PeerLink::~PeerLink() {
  loop_.timers().cancel(timer_);
  for (auto& each : streams_) {
    if (each) each->close();
  }
}

void PeerLink::start() {
  peer_.start(loop_.now());
  reschedule_timer();
}

void PeerLink::stop(diameter::DisconnectCause cause) {
  peer_.stop(cause, loop_.now());
  reschedule_timer();
}

bool PeerLink::adopt(std::shared_ptr<net::Stream> accepted, const diameter::MessageView& cer,
                     std::string_view rest) {
  // Set the stream first: the state machine may answer over it from within accept().
  std::shared_ptr<net::Stream> previous = std::exchange(stream(Connection::kAccepted), accepted);
  std::string reply;
  if (!peer_.accept(cer, loop_.now(), reply)) {
    stream(Connection::kAccepted) = std::move(previous);
    accepted->write(reply);
    accepted->close_after_flush();
    return false;
  }
  watch_stream(Connection::kAccepted);
  if (!rest.empty()) peer_.on_received(Connection::kAccepted, rest, loop_.now());
  reschedule_timer();
  return true;
}

void PeerLink::connect() {
  if (!address_) return;
  stream(Connection::kInitiated) = net::Stream::connect(loop_, *address_, max_unsent_);
  watch_stream(Connection::kInitiated);
}

void PeerLink::watch_stream(Connection connection) {
  const std::shared_ptr<net::Stream> watched = stream(connection);
  // Events of a stream that has been replaced are ignored.
  const std::weak_ptr<net::Stream> weak = watched;
  const auto is_current = [this, connection, weak] { return stream(connection) == weak.lock(); };
  net::Stream::Handlers handlers;
  const auto connected = std::make_shared<bool>(connection == Connection::kAccepted);
  handlers.on_connected = [this, is_current, connected] {
    if (!is_current()) return;
    *connected = true;
    peer_.on_connected(loop_.now());
    reschedule_timer();
  };
  handlers.on_bytes = [this, connection, is_current](std::string_view bytes) {
    if (!is_current()) return;
    peer_.on_received(connection, bytes, loop_.now());
    reschedule_timer();
  };
  handlers.on_closed = [this, connection, is_current, connected](const std::string& reason) {
    if (!is_current()) return;
    stream(connection).reset();
    if (*connected) {
      peer_.on_closed(connection, loop_.now(), reason);
    } else {
      peer_.on_connect_failed(loop_.now());
      if (handlers_.on_connect_failed) handlers_.on_connect_failed(reason);
    }
    reschedule_timer();
  };
  watched->set_handlers(std::move(handlers));
}

void PeerLink::send(Connection connection, std::string bytes) {
  if (stream(connection)) stream(connection)->write(bytes);
}

void PeerLink::close(Connection connection) {
  // The last message (a DPA or an error answer) is still sent.
  if (stream(connection)) std::exchange(stream(connection), nullptr)->close_after_flush();
}

// The timer is only replaced if the state machine's deadline is earlier. One that fires too early is
// scheduled again.
void PeerLink::reschedule_timer() {
  const double due = peer_.deadline();
  if (timer_ != 0 && timer_at_ <= due) return;
  loop_.timers().cancel(std::exchange(timer_, 0));
  if (due > 1e15) return;
  timer_at_ = due;
  timer_ = loop_.timers().schedule(due, [this] {
    timer_ = 0;
    if (loop_.now() >= peer_.deadline()) peer_.tick(loop_.now());
    reschedule_timer();
  });
}

}  // namespace mintrock::edge
