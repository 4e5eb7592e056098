// Computes how far a stored entry of the server list can be trusted while no fresh list is available, and how
// cautiously its server is used.
//
// Pure: does no I/O and reads no clock. The input is an entry's age, source and evidence; the output is a
// trust score and its consequences. docs/membership.md compares the options and has the table. The result is
// passed to the Controller as an entry of a cached list (ServerList::kCached); the Controller still decides
// each call. Old entries are drawn less often and, where the settings ask for it, reported as just started,
// which puts them under rule four's budget for cold servers. Entries that are too old are left out while
// others are ready. In any case traffic grows only as a server answers.
#ifndef MINTROCK_SRC_MEMBERSHIP_TRUST_HPP_
#define MINTROCK_SRC_MEMBERSHIP_TRUST_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::membership {

// Who last confirmed an entry.
enum class Source { kList, kPeer, kOwnAnswers };

struct TrustSettings {
  double half_life_s = 600;             // half-life of trust since the entry was last confirmed; over 0
  double first_choice_threshold = 0.5;  // minimum score of a first choice; 0 to 1
  double normal_threshold = 0.9;        // minimum score for Usage::kNormal
  // An entry with a lower score is reported as just started, so that the budget for cold servers limits it. 0
  // disables this, because that budget has no stored rate to start from (docs/membership.md).
  double cold_threshold = 0;
  double last_resort_threshold = 1e-4;  // an entry with a lower score is too old: Usage::kLastResort
  double peer_factor = 0.8;             // trust in a peer's confirmation, relative to the list's; 0 to 1
  double refusal_factor = 0.5;          // multiplies trust for each refused or failed connection
  double answer_gain = 0.3;             // fraction of the gap to full trust that each answer closes
};

// What is known about one entry.
struct Evidence {
  double confirmed_age_s = 0;  // since the last confirmation; negative counts as 0, NaN as very old
  Source source = Source::kList;
  bool clock_unreliable = false;  // the wall clock jumped while the proxy was down, so the age is unknown
  std::uint32_t answers = 0;      // from this server to this proxy since the process started
  // Connections refused or lost since the process started, after the last answer.
  std::uint32_t refusals = 0;
  double last_answer_age_s = 1e18;  // since the last of those answers
};

enum class Usage {
  kNormal,      // as in a fresh list
  kReduced,     // drawn less often; the server's traffic grows only as it answers
  kLastResort,  // like kReduced, and only if no other entry is left
};

// The readings of both clocks at one moment. The monotonic clock is continuous within the machine's boot that
// `boot` names.
struct ClockReading {
  double wall = 0;  // s since the Unix epoch
  double monotonic = 0;
  std::string boot;  // empty: unknown
};
struct Age {
  double seconds = 0;       // since the confirmation
  bool unreliable = false;  // the wall clock went back between the readings, and the boot is not the same
};
// Returns the age, at `now`, of an entry that was confirmed at `confirmed_wall` and stored at `stored`.
// Within one boot the monotonic clock gives the time since it was stored, whatever the wall clock did.
// Otherwise the wall clock is trusted unless it went back.
Age confirmation_age(double confirmed_wall, const ClockReading& stored, const ClockReading& now);

struct Trust {
  double score = 0;  // 0 to 1
  Usage usage = Usage::kLastResort;
  bool first_choice = false;
  bool report_as_cold = false;  // report the server to the Controller as just started
  std::string reason;           // one line, for operators
};

// Computes the score of one entry and its consequences.
Trust assess(const TrustSettings& settings, const Evidence& evidence);

// A stored entry in the form that the Controller takes, with its trust.
struct AssessedEntry {
  ServerEntry entry;
  Trust trust;
};
// Returns the entries of the cached list for the Controller, as of `now` on the Controller's clock. Entries
// that are draining or gone stay so whatever their age, so a stored list never undoes a drain. Entries that
// are too old are left out while any other is ready. Weights are scaled by trust, so that better confirmed
// servers are drawn more often. Entries with `report_as_cold` are reported as started now.
std::vector<ServerEntry> cached_list_entries(const std::vector<AssessedEntry>& stored, Time now);

}  // namespace mintrock::membership

#endif  // MINTROCK_SRC_MEMBERSHIP_TRUST_HPP_
