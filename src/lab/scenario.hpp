// A scenario of the lab: who takes part, what load there is, what goes wrong and when. One YAML file, every
// key checked; docs/lab.md lists them.
#ifndef MINTROCK_SRC_LAB_SCENARIO_HPP_
#define MINTROCK_SRC_LAB_SCENARIO_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::lab {

struct Event {
  enum class Kind {
    kSurge,           // load times `factor`
    kSwallow,         // a core server takes set-ups and answers none
    kSlow,            // its processor runs `factor` times slower
    kPause,           // its processor stands still
    kCrash,           // it dies, connections reset, and comes back cold after `for`
    kRefuse,          // it closes its connections and takes none
    kReset,           // it resets its connections, once
    kLoseAnswers,     // a `share` of its answers is lost
    kLateAnswers,     // its answers leave `by` later
    kGarbage,         // it sends bytes that are no message, once on each connection
    kStrayAnswer,     // it answers requests that nobody sent, once on each connection
    kDoubleAnswers,   // it sends each answer twice
    kWatchdogSilent,  // watchdog requests to it (a core server, or a caller) go unanswered
    kReject,          // it answers every set-up at once with `result`, and a Failed-AVP
    kHotNumber,   // a `share` of the calls goes to one number, which has `lines` lines at each core server
    kDrain,       // listed as draining; after `for` it stops and is replaced, cold
    kKillProxy,   // kill -9; started again after `for`
    kTermProxy,   // SIGTERM; started again after `for`
    kCallerLost,  // a caller's connection is reset
    kListDown     // the pool list answers nobody
  };
  Kind kind = Kind::kSurge;
  double at_s = 0;
  double duration_s = 0;
  double factor = 1;
  double share = 1;
  double delay_s = 0;
  std::uint32_t result = 5001;  // kReject
  std::uint32_t lines = 1;      // kHotNumber
  std::uint32_t target = 0;     // number of the core server, proxy or caller, from 0
  bool to_caller = false;       // kWatchdogSilent
  int line = 0;
};

struct Scenario {
  struct Class {
    std::string name;
    std::uint32_t service_identifier = 0;
    double share = 1;   // of the calls
    double hold_s = 5;  // mean time that a call stands
    Settings::Class settings;
  };
  std::string name;
  std::uint32_t seed = 1;
  double duration_s = 60;
  std::uint32_t proxies = 2;
  std::uint32_t callers = 4;
  std::uint32_t cores = 2;
  double rate = 50;             // calls a second, first tries
  double patience_s = 3;        // a try is given up after this
  std::uint32_t redials = 0;    // times that a caller turned away dials again
  double redial_after_s = 1;    // where no retry-after was told
  double abandon_share = 0;     // of the callers who hang up before the answer
  double setup_work_s = 0.008;  // processor time of a set-up, mean
  double release_work_s = 0.002;
  double full_after_s = 2;         // a set-up that would wait longer is turned away
  double list_delay_s = 1;         // from a change to its news
  double report_interval_s = 0.2;  // a core server's report is refreshed
  double watchdog_interval_s = 6;  // Tw of proxies and callers
  bool core_watchdog = false;
  std::string log_level = "warning";
  std::vector<Class> classes;
  Settings rules;  // figures of the rules, as the proxies are told
  double drain_grace_s = 0.25;
  std::vector<Event> events;
  // Proxies killed at random, one after the other: one every `kill_every_s` on average, each down for a time
  // drawn from the range; 0: none. Drawn from the seed and added to `events` when the scenario is read.
  double mean_kill_interval_s = 0;
  double min_kill_downtime_s = 0.3;
  double max_kill_downtime_s = 1.5;
};

// Reads and checks; throws config::Error with one line.
Scenario load_scenario(const std::string& file);

const char* name(Event::Kind kind);

// Names of the parts.
std::string core_name(std::uint32_t number);  // its Diameter identity
std::string proxy_name(std::uint32_t number);
std::string caller_name(std::uint32_t number);
inline constexpr const char* kRealm = "lab.test";
inline constexpr const char* kHotCalledNumber = "2340000000";  // kHotNumber's

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_SCENARIO_HPP_
