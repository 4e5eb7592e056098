#include "instance/gossip.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "instance/bytes.hpp"

namespace mintrock::instance {
namespace {

constexpr std::uint8_t kHearsayVersion = 1;
constexpr std::size_t kHearsaySize = 10;  // bytes of an entry
constexpr std::size_t kMaxEntries = 25;   // entries that a message of 256 bytes holds

}  // namespace

std::string pack_gossip(const std::vector<Hearsay>& hearsay) {
  const auto milliseconds = [](double seconds) {
    return static_cast<std::uint16_t>(
        std::clamp(std::isfinite(seconds) ? seconds * 1000 : 65535, 0.0, 65535.0));
  };
  Writer out;
  const std::size_t count = std::min(hearsay.size(), kMaxEntries);
  out.u8(kHearsayVersion);
  out.u8(static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    write_server(out, hearsay[i].server);
    out.u16(milliseconds(hearsay[i].wait_s));
    out.u16(milliseconds(hearsay[i].age_s));
  }
  return out.str();
}

std::vector<Hearsay> unpack_gossip(std::string_view bytes) {
  std::vector<Hearsay> hearsay;
  if (bytes.size() < 2) return hearsay;
  Reader in(bytes);
  const bool known = in.u8() == kHearsayVersion;
  const std::size_t count = in.u8();
  if (!known || count > kMaxEntries || in.remaining() != count * kHearsaySize) return hearsay;
  while (!in.done()) {
    Hearsay entry;
    entry.server = read_server(in);
    entry.wait_s = in.u16() / 1000.0;
    entry.age_s = in.u16() / 1000.0;
    hearsay.push_back(entry);
  }
  return hearsay;
}

}  // namespace mintrock::instance
