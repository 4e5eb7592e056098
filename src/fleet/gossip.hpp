// Messages between proxies: protobuf datagrams, checked before they are believed.
//
// Pure: bytes in, news out. No rule rests on what they say.
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

inline constexpr std::size_t kMaxDatagramBytes = 1400;  // of a datagram
inline constexpr std::size_t kMaxEntries = 64;          // servers in one message
inline constexpr std::uint32_t kVersion = 1;

// Writes messages of one proxy.
class Writer {
 public:
  Writer(std::uint32_t own_number, std::uint64_t boot) : own_(own_number), boot_(boot) {}
  // `identity` names a server; those without a name, and what does not fit, are left out.
  std::string pack(const std::vector<Hearsay>& hearsay, const std::function<std::string(ServerId)>& identity);

 private:
  std::uint32_t own_;
  std::uint64_t boot_;
  std::uint64_t sequence_ = 0;
};

// Reads messages of the others. Keeps one state a sender: its boot and the newest sequence number.
class Reader {
 public:
  Reader(std::uint32_t own_number, std::uint32_t fleet_size) : own_(own_number), fleet_size_(fleet_size) {}
  // `expected`: the number of the proxy whose address it came from. Nothing, with the reason in `why`, where
  // the message is broken, of another version, not from the one it says, doubled or overtaken. Servers
  // without a number here are left out.
  std::optional<PeerNews> read(std::string_view bytes, std::uint32_t expected,
                               const std::function<ServerId(const std::string&)>& number, std::string& why);

 private:
  struct Seen {
    std::uint64_t boot = 0;
    std::uint64_t sequence = 0;
  };
  std::uint32_t own_;
  std::uint32_t fleet_size_;
  std::map<std::uint32_t, Seen> seen_;
};

}  // namespace mintrock::fleet

#endif  // MINTROCK_SRC_FLEET_GOSSIP_HPP_
