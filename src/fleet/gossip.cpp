#include "fleet/gossip.hpp"

#include <algorithm>
#include <cmath>

#include "hearsay.pb.h"

namespace mintrock::fleet {
namespace {

constexpr std::uint32_t kMaxMs = 3600 * 1000;

std::uint32_t milliseconds(double seconds) {
  if (!std::isfinite(seconds)) return kMaxMs;
  return static_cast<std::uint32_t>(std::clamp(seconds * 1000, 0.0, double{kMaxMs}));
}

}  // namespace

std::string Writer::pack(const std::vector<GossipEntry>& entries,
                         const std::function<std::string(ServerId)>& identity) {
  v1::News message;
  message.set_version(kVersion);
  message.set_sender(own_number_);
  message.set_boot(boot_);
  message.set_sequence(++sequence_);
  for (const GossipEntry& entry : entries) {
    const std::string name = identity(entry.server);
    if (name.empty() || static_cast<std::size_t>(message.hearsay_size()) == kMaxEntries) continue;
    v1::Hearsay& out = *message.add_hearsay();
    out.set_server(name);
    out.set_wait_ms(milliseconds(entry.wait_s));
    out.set_age_ms(milliseconds(entry.age_s));
    if (message.ByteSizeLong() > kMaxDatagramBytes) {
      message.mutable_hearsay()->RemoveLast();
      break;
    }
  }
  return message.SerializeAsString();
}

std::optional<PeerNews> Reader::read(std::string_view bytes, std::uint32_t expected,
                                     const std::function<ServerId(const std::string&)>& id_of,
                                     std::string& error) {
  v1::News message;
  if (bytes.size() > kMaxDatagramBytes ||
      !message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    error = "malformed message";
    return std::nullopt;
  }
  if (message.version() != kVersion) {
    error = "unsupported version " + std::to_string(message.version());
    return std::nullopt;
  }
  if (message.sender() != expected || message.sender() == own_number_ || message.sender() >= fleet_size_) {
    error = "unexpected sender: proxy " + std::to_string(message.sender());
    return std::nullopt;
  }
  if (static_cast<std::size_t>(message.hearsay_size()) > kMaxEntries) {
    error = "too many servers";
    return std::nullopt;
  }
  LastMessage& last = last_messages_[message.sender()];
  const bool newer =
      message.boot() > last.boot || (message.boot() == last.boot && message.sequence() > last.sequence);
  if (!newer) {
    error = "duplicate or older than the last message";
    return std::nullopt;
  }
  last = {message.boot(), message.sequence()};
  PeerNews out;
  for (const v1::Hearsay& entry : message.hearsay()) {
    const ServerId server = id_of(entry.server());
    if (server == 0 || entry.wait_ms() > kMaxMs || entry.age_ms() > kMaxMs) continue;
    out.entries.push_back({server, entry.wait_ms() / 1000.0, entry.age_ms() / 1000.0});
  }
  return out;
}

}  // namespace mintrock::fleet
