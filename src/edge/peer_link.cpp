#include "edge/peer_link.hpp"

#include <utility>

namespace mintrock::edge {

using diameter::Link;

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
  reschedule();
}

void PeerLink::stop(diameter::DisconnectCause cause) {
  peer_.stop(cause, loop_.now());
  reschedule();
}

bool PeerLink::adopt(std::shared_ptr<net::Stream> accepted, const diameter::MessageView& cer,
                     std::string_view rest) {
  // In place before the machine answers over it.
  std::shared_ptr<net::Stream> before = std::exchange(stream(Link::kAccepted), accepted);
  std::string reply;
  if (!peer_.accept(cer, loop_.now(), reply)) {
    stream(Link::kAccepted) = std::move(before);
    accepted->write(reply);
    accepted->close_after_flush();
    return false;
  }
  watch(Link::kAccepted);
  if (!rest.empty()) peer_.received(Link::kAccepted, rest, loop_.now());
  reschedule();
  return true;
}

void PeerLink::connect() {
  if (!address_) return;
  stream(Link::kInitiated) = net::Stream::connect(loop_, *address_, max_unsent_);
  watch(Link::kInitiated);
}

void PeerLink::watch(Link link) {
  const std::shared_ptr<net::Stream> watched = stream(link);
  // A stream that was replaced says nothing more.
  const std::weak_ptr<net::Stream> weak = watched;
  const auto current = [this, link, weak] { return stream(link) == weak.lock(); };
  net::Stream::Handlers handlers;
  const auto connected = std::make_shared<bool>(link == Link::kAccepted);
  handlers.on_connected = [this, current, connected] {
    if (!current()) return;
    *connected = true;
    peer_.connected(loop_.now());
    reschedule();
  };
  handlers.on_bytes = [this, link, current](std::string_view bytes) {
    if (!current()) return;
    peer_.received(link, bytes, loop_.now());
    reschedule();
  };
  handlers.on_closed = [this, link, current, connected](const std::string& why) {
    if (!current()) return;
    stream(link).reset();
    if (*connected) {
      peer_.closed(link, loop_.now(), why);
    } else {
      peer_.connect_failed(loop_.now());
      if (handlers_.refused) handlers_.refused(why);
    }
    reschedule();
  };
  watched->set_handlers(std::move(handlers));
}

void PeerLink::send(Link link, std::string bytes) {
  if (stream(link)) stream(link)->write(bytes);
}

void PeerLink::close(Link link) {
  // What was written last (a DPA, an error answer) still goes out.
  if (stream(link)) std::exchange(stream(link), nullptr)->close_after_flush();
}

// The timer is only set anew when the machine wants to be called earlier; one that comes too early looks
// again.
void PeerLink::reschedule() {
  const double due = peer_.deadline();
  if (timer_ != 0 && timer_at_ <= due) return;
  loop_.timers().cancel(std::exchange(timer_, 0));
  if (due > 1e15) return;
  timer_at_ = due;
  timer_ = loop_.timers().schedule(due, [this] {
    timer_ = 0;
    if (loop_.now() >= peer_.deadline()) peer_.tick(loop_.now());
    reschedule();
  });
}

}  // namespace mintrock::edge
