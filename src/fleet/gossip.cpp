#include "fleet/gossip.hpp"

#include <algorithm>
#include <cmath>

#include "hearsay.pb.h"

namespace mintrock::fleet {
namespace {

constexpr std::uint32_t kLongestMs = 3600 * 1000;

std::uint32_t milliseconds(double seconds) {
  if (!std::isfinite(seconds)) return kLongestMs;
  return static_cast<std::uint32_t>(std::clamp(seconds * 1000, 0.0, double{kLongestMs}));
}

}  // namespace

std::string Writer::pack(const std::vector<Hearsay>& hearsay,
                         const std::function<std::string(ServerId)>& identity) {
  v1::News news;
  news.set_version(kVersion);
  news.set_sender(own_);
  news.set_boot(boot_);
  news.set_sequence(++sequence_);
  for (const Hearsay& each : hearsay) {
    const std::string name = identity(each.server);
    if (name.empty() || static_cast<std::size_t>(news.hearsay_size()) == kMaxEntries) continue;
    v1::Hearsay& out = *news.add_hearsay();
    out.set_server(name);
    out.set_wait_ms(milliseconds(each.wait_s));
    out.set_age_ms(milliseconds(each.age_s));
    if (news.ByteSizeLong() > kMaxDatagramBytes) {
      news.mutable_hearsay()->RemoveLast();
      break;
    }
  }
  return news.SerializeAsString();
}

std::optional<PeerNews> Reader::read(std::string_view bytes, std::uint32_t expected,
                                     const std::function<ServerId(const std::string&)>& number,
                                     std::string& why) {
  v1::News news;
  if (bytes.size() > kMaxDatagramBytes ||
      !news.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    why = "no message of a proxy";
    return std::nullopt;
  }
  if (news.version() != kVersion) {
    why = "version " + std::to_string(news.version());
    return std::nullopt;
  }
  if (news.sender() != expected || news.sender() == own_ || news.sender() >= fleet_size_) {
    why = "says that it comes from proxy " + std::to_string(news.sender());
    return std::nullopt;
  }
  if (static_cast<std::size_t>(news.hearsay_size()) > kMaxEntries) {
    why = "too many servers";
    return std::nullopt;
  }
  Seen& seen = seen_[news.sender()];
  const bool newer = news.boot() > seen.boot || (news.boot() == seen.boot && news.sequence() > seen.sequence);
  if (!newer) {
    why = "doubled or overtaken";
    return std::nullopt;
  }
  seen = {news.boot(), news.sequence()};
  PeerNews out;
  for (const v1::Hearsay& each : news.hearsay()) {
    const ServerId server = number(each.server());
    if (server == 0 || each.wait_ms() > kLongestMs || each.age_ms() > kLongestMs) continue;
    out.hearsay.push_back({server, each.wait_ms() / 1000.0, each.age_ms() / 1000.0});
  }
  return out;
}

}  // namespace mintrock::fleet
