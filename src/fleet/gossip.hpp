// Gossip between the proxies of a fleet: protobuf datagrams with the waits at core servers.
//
// Pure: does no I/O and reads no clock. Messages are checked before they are used, and no rule of the
// controller depends on their content.
#ifndef MINTROCK_SRC_FLEET_GOSSIP_HPP_
#define MINTROCK_SRC_FLEET_GOSSIP_HPP_

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::fleet {

inline constexpr std::size_t kMaxDatagramBytes = 1400;
inline constexpr std::size_t kMaxEntries = 64;  // servers in one message
inline constexpr std::uint32_t kVersion = 1;

// Writes the messages of one proxy.
class Writer {
 public:
  // `boot` must be larger at each start of the proxy.
  Writer(std::uint32_t own_number, std::uint64_t boot) : own_number_(own_number), boot_(boot) {}
  // `identity` returns the name of a server. Servers without a name and entries that do not fit are omitted.
  std::string pack(const std::vector<GossipEntry>& entries,
                   const std::function<std::string(ServerId)>& identity);

 private:
  std::uint32_t own_number_;
  std::uint64_t boot_;
  std::uint64_t sequence_ = 0;
};

// Reads the messages of the other proxies. Keeps the boot and the latest sequence number of each sender.
class Reader {
 public:
  Reader(std::uint32_t own_number, std::uint32_t fleet_size)
      : own_number_(own_number), fleet_size_(fleet_size) {}
  // `expected` is the number of the proxy that has the sender's address. Returns nullopt, with the reason in
  // `error`, if the message is malformed, has another version, names a sender other than `expected`, or is a
  // duplicate of or older than one already read. Servers for which `id_of` returns 0 are omitted.
  std::optional<PeerNews> read(std::string_view bytes, std::uint32_t expected,
                               const std::function<ServerId(const std::string&)>& id_of, std::string& error);

 private:
  struct LastMessage {
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
  };
  std::uint32_t own_number_;
  std::uint32_t fleet_size_;
  std::map<std::uint32_t, LastMessage> last_messages_;
};

}  // namespace mintrock::fleet

#endif  // MINTROCK_SRC_FLEET_GOSSIP_HPP_
