// The configuration that the platform gives an edge proxy at its start: addresses, limits, settings and the
// known core servers.
//
// Pure: does no I/O and reads no clock. Invalid text throws std::runtime_error that names the key.
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
  std::vector<net::Address> peers;  // of each edge proxy of the fleet, by its number
  std::uint64_t seed = 0;
  std::uint32_t memory_mb = 192;
  std::uint32_t sockets = 256;
  instance::InstanceSettings instance;
  std::vector<std::string> class_names;  // by class number
  std::vector<std::string> kind_names;
  double connect_timeout_s = 0.5;
  std::uint32_t max_open_calls = 20000;
  std::vector<TopologyEvent> known_servers;  // list updates from before the start, to be applied in order
  std::uint64_t list_offset = 0;             // number of the last event in known_servers
};

Config parse_config(const std::string& json_text);
// Parses the event bus's address only, for a reload of the configuration file.
net::Address parse_bus_address(const std::string& json_text);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CONFIG_HPP_
