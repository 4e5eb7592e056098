// The settings of mintrock-edge, read from one YAML file. docs/configuration.md lists every key.
#ifndef MINTROCK_SRC_EDGE_CONFIG_HPP_
#define MINTROCK_SRC_EDGE_CONFIG_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "config/yaml.hpp"
#include "diameter/peer.hpp"
#include "edge/request_routing.hpp"
#include "membership/trust.hpp"
#include "mintrock/controller.hpp"
#include "net/loop.hpp"

namespace mintrock::edge {

struct Config {
  struct Node {
    std::string identity;  // Origin-Host
    std::string realm;     // Origin-Realm
    net::Address listen;   // callers connect here
    net::Address admin;    // HTTP
  } node;

  struct Core {
    bool plain = false;         // send no AVPs but those of RFC 6733 and RFC 8506
    bool watchdog = false;      // send watchdog requests to core servers (theirs are always answered)
    double watchdog_s = 30;     // Tw
    double reconnect_s = 1;     // Tc
    double connect_s = 0.5;     // for a connection and its CEA; also how long a set-up waits for one
    double session_hold_s = 2;  // standing calls outlive their connection for so long
    double linger_s = 30;       // how long the answer of a given-up attempt is still known
    std::uint32_t max_unsent = 1 << 20;  // bytes
  } core;

  struct Callers {
    std::vector<std::string> peers;  // Origin-Hosts; empty: any
    bool plain = false;              // the same toward callers: a retry-after then stands in Error-Message
    double watchdog_s = 30;          // Tw
    double cer_s = 5;                // for the CER of a new connection
    double session_hold_s = 10;      // standing calls outlive their caller's connection for so long
    std::uint32_t max_connections = 10000;
    std::uint32_t max_unsent = 1 << 20;  // bytes
    double end_wait_s = 2;               // for a core server's word that a call has ended
    double duplicates_s = 30;            // how long an answer is kept for a repeated request
    std::uint32_t max_duplicates = 100000;
  } callers;

  struct List {
    net::Address server;
    std::string path = "/list";
    std::string cache_file;       // empty: none
    std::string store;            // SQLite; empty: none
    bool store_power_cut = true;  // each change is on the disk when it counts as kept
    membership::TrustSettings trust;
    double reconnect_s = 1;
    double idle_s = 30;
  } list;

  struct Fleet {
    net::Address listen;
    std::vector<net::Address> peers;  // by number, the own one included
  } fleet;

  struct Log {
    std::string level = "info";
    std::string file;  // empty: standard error
  } log;

  std::uint32_t max_calls = 20000;  // open and standing, together
  std::uint32_t max_message = 65536;
  std::uint64_t seed = 0;  // 0: drawn at start
  ClassTable classes;
  std::map<std::string, RealmTable::Action> realms;
  RealmTable::Action other_realms = RealmTable::Action::kRefuse;
  Settings settings;  // what the Controller is told
};

// The `rules` of a configuration, or of a scenario of the lab.
void read_rules(config::Section& from, Settings& out);

// Reads and checks a file; throws config::Error with one line.
Config load_config(const std::string& file);

// Keys that differ between the two and can't be changed by a reload; empty: all can be.
std::vector<std::string> needs_restart(const Config& old_config, const Config& new_config);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CONFIG_HPP_
