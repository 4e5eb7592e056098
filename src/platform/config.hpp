// What the platform tells an edge proxy at its start: addresses, limits, settings, the core servers known.
//
// Pure: text in, checked values out. Nonsense throws std::runtime_error with the place.
#ifndef MINTROCK_SRC_PLATFORM_CONFIG_HPP_
#define MINTROCK_SRC_PLATFORM_CONFIG_HPP_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "instance/settings.hpp"
#include "net/loop.hpp"
#include "platform/topology.hpp"

namespace mintrock::platform {

struct Config {
  std::string name;
  net::Address listen;
  net::Address bus;
  bool has_peers = false;
  net::Address peer_listen;
  std::vector<net::Address> peers;  // one for each edge proxy of the tier, by number
  std::uint64_t seed = 0;
  std::uint32_t memory_mb = 192;
  std::uint32_t sockets = 256;
  instance::InstanceSettings instance;
  std::vector<std::string> class_names;  // their names, in order
  std::vector<std::string> kind_names;
  double connect_timeout_s = 0.5;
  std::uint32_t max_open_calls = 20000;
  std::vector<TopologyEvent> known_servers;
  std::uint64_t list_offset = 0;  // number of the last event known
};

Config parse_config(const std::string& text);
// The event bus's address alone, as a replaced file tells it.
net::Address parse_bus_address(const std::string& text);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CONFIG_HPP_
