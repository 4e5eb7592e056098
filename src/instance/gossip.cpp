#include "instance/gossip.hpp"

#include <algorithm>
#include <cmath>
#include <cstdint>

#include "instance/bytes.hpp"

namespace mintrock::instance {
namespace {

constexpr std::uint8_t kVersion = 1;
constexpr std::size_t kEntrySize = 10;   // bytes
constexpr std::size_t kMaxEntries = 25;  // as many as fit into 256 bytes

}  // namespace

std::string pack_gossip(const std::vector<GossipEntry>& entries) {
  const auto milliseconds = [](double seconds) {
    return static_cast<std::uint16_t>(
        std::clamp(std::isfinite(seconds) ? seconds * 1000 : 65535, 0.0, 65535.0));
  };
  Writer out;
  const std::size_t count = std::min(entries.size(), kMaxEntries);
  out.u8(kVersion);
  out.u8(static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    write_server(out, entries[i].server);
    out.u16(milliseconds(entries[i].wait_s));
    out.u16(milliseconds(entries[i].age_s));
  }
  return out.str();
}

std::vector<GossipEntry> unpack_gossip(std::string_view bytes) {
  std::vector<GossipEntry> entries;
  if (bytes.size() < 2) return entries;
  Reader in(bytes);
  const bool version_ok = in.u8() == kVersion;
  const std::size_t count = in.u8();
  if (!version_ok || count > kMaxEntries || in.remaining() != count * kEntrySize) return entries;
  while (!in.done()) {
    GossipEntry entry;
    entry.server = read_server(in);
    entry.wait_s = in.u16() / 1000.0;
    entry.age_s = in.u16() / 1000.0;
    entries.push_back(entry);
  }
  return entries;
}

}  // namespace mintrock::instance
