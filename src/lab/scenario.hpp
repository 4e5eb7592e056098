// A scenario of the lab: the participants, the load, and the faults with their times. It is read from a YAML
// file whose keys are all checked; docs/lab.md lists them.
#ifndef MINTROCK_SRC_LAB_SCENARIO_HPP_
#define MINTROCK_SRC_LAB_SCENARIO_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::lab {

// A fault, or a change of load or of the server list, at a given time.
struct Event {
  enum class Kind {
    kSurge,           // multiplies the load by `factor`
    kSwallow,         // a core server accepts set-ups but never answers them
    kSlow,            // a core server's processor runs `factor` times slower
    kPause,           // a core server's processor stops working
    kCrash,           // a core server crashes, resetting its connections, and restarts cold after `for`
    kRefuse,          // a core server resets its connections and accepts no new ones
    kReset,           // a core server resets its connections once
    kLoseAnswers,     // a core server loses a `share` of its answers
    kLateAnswers,     // a core server sends its answers `by` later
    kGarbage,         // a core server sends malformed bytes once on each connection
    kStrayAnswer,     // a core server sends an unsolicited answer once on each connection
    kDoubleAnswers,   // a core server sends each answer twice
    kWatchdogSilent,  // a core server or a caller ignores watchdog requests
    kReject,          // a core server answers every set-up at once with `result` and a Failed-AVP
    kHotNumber,   // a `share` of the calls goes to one number, which has `lines` lines at each core server
    kDrain,       // a core server is listed as draining; after `for` it stops and is replaced by a cold one
    kKillProxy,   // SIGKILL; the proxy is restarted after `for`
    kTermProxy,   // SIGTERM; the proxy is restarted after `for`
    kCallerLost,  // a caller's connection is reset
    kListDown     // the server list is unreachable
  };
  Kind kind = Kind::kSurge;
  double at_s = 0;        // since the start of the script
  double duration_s = 0;  // the key `for`
  double factor = 1;
  double share = 1;
  double delay_s = 0;           // kLateAnswers: the key `by`
  std::uint32_t result = 5001;  // kReject
  std::uint32_t lines = 1;      // kHotNumber
  std::uint32_t target = 0;     // number of the core server, proxy or caller, from 0
  bool to_caller = false;       // the target of kWatchdogSilent or kCallerLost is a caller
  int line = 0;
};

struct Scenario {
  struct Class {
    std::string name;
    std::uint32_t service_identifier = 0;
    double share = 1;   // of the calls
    double hold_s = 5;  // mean duration of an established call
    Settings::Class settings;
  };
  std::string name;
  std::uint32_t seed = 1;
  double duration_s = 60;
  std::uint32_t proxies = 2;
  std::uint32_t callers = 4;
  std::uint32_t cores = 2;
  double rate = 50;             // first tries per second, redials not counted
  double patience_s = 3;        // a caller gives up a try after this time
  std::uint32_t redials = 0;    // how often a caller may redial after its first try
  double redial_after_s = 1;    // delay before a redial if the answer has no Retry-After
  double abandon_share = 0;     // share of the callers who hang up before the answer
  double setup_work_s = 0.008;  // mean processor time of a set-up
  double release_work_s = 0.002;
  double full_after_s = 2;         // a set-up that would wait longer is refused as too busy
  double list_delay_s = 1;         // from a change to the list update that reports it
  double report_interval_s = 0.2;  // interval at which a core server refreshes its load report
  double watchdog_interval_s = 6;  // the watchdog timer Tw of proxies and callers
  bool core_watchdog = false;
  std::string log_level = "warning";
  std::vector<Class> classes;
  Settings rules;  // parameters of the rules, as written to the proxies' configuration
  double drain_grace_s = 0.25;
  std::vector<Event> events;
  // Random kills of proxies: one every `mean_kill_interval_s` on average (0: none), each keeping its proxy
  // down for a time drawn from the range. They are drawn from the seed and added to `events` when the
  // scenario is loaded.
  double mean_kill_interval_s = 0;
  double min_kill_downtime_s = 0.3;
  double max_kill_downtime_s = 1.5;
};

// Reads and checks a scenario file; throws config::Error with a one-line message.
Scenario load_scenario(const std::string& file);

// The kind's name in scenario files and traces.
const char* name(Event::Kind kind);

// Diameter identities of the participants.
std::string core_name(std::uint32_t number);
std::string proxy_name(std::uint32_t number);
std::string caller_name(std::uint32_t number);
inline constexpr const char* kRealm = "lab.test";
inline constexpr const char* kHotCalledNumber = "2340000000";  // the number that kHotNumber overloads

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_SCENARIO_HPP_
