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
    bool plain = false;              // send only AVPs of RFC 6733 and RFC 8506
    bool watchdog = false;           // send watchdog requests to core servers (theirs are always answered)
    double watchdog_s = 30;          // Tw
    double reconnect_s = 1;          // Tc
    double connect_timeout_s = 0.5;  // for a connection and its CEA; also the time a set-up waits for them
    double session_hold_s = 2;       // how long established calls outlive their connection
    double linger_s = 30;            // how long a late answer to an abandoned attempt is still recognized
    std::uint32_t max_unsent = 1 << 20;  // bytes
  } core;

  struct Callers {
    std::vector<std::string> peers;  // Origin-Hosts; empty: any
    bool plain = false;              // the same toward callers; the retry-after is then sent in Error-Message
    double watchdog_s = 30;          // Tw
    double cer_timeout_s = 5;        // timeout for the CER of a new connection
    double session_hold_s = 10;      // how long established calls outlive their caller's connection
    std::uint32_t max_connections = 10000;
    std::uint32_t max_unsent = 1 << 20;  // bytes
    double end_wait_s = 2;               // how long to wait for a core server to confirm the end of a call
    double duplicates_s = 30;            // how long an answer is kept for retransmitted requests
    std::uint32_t max_duplicates = 100000;
  } callers;

  struct List {
    net::Address server;
    std::string path = "/list";
    std::string cache_file;                // empty: none
    std::string store;                     // SQLite file; empty: none
    bool store_survives_power_cut = true;  // a change counts as stored once it is synced to disk
    membership::TrustSettings trust;
    double reconnect_s = 1;
    double idle_s = 30;
  } list;

  struct Fleet {
    net::Address listen;
    std::vector<net::Address> peers;  // by proxy number, including this proxy
  } fleet;

  struct Log {
    std::string level = "info";
    std::string file;  // empty: standard error
  } log;

  std::uint32_t max_calls = 20000;  // calls being set up and established calls, together
  std::uint32_t max_message = 65536;
  std::uint64_t seed = 0;  // 0: random at each start
  ClassTable classes;
  std::map<std::string, RealmTable::Action> realms;
  RealmTable::Action other_realms = RealmTable::Action::kRefuse;
  Settings settings;  // for the Controller
};

// Reads the `rules` section of a configuration, or of a lab scenario.
void read_rules(config::Section& from, Settings& out);

// Reads and checks a file. Throws config::Error with a one-line message.
Config load_config(const std::string& file);

// The changed keys that a reload can't apply; empty if it can apply every change.
std::vector<std::string> needs_restart(const Config& old_config, const Config& new_config);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CONFIG_HPP_
