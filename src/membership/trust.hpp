// How far a kept entry of the pool list is believed while no fresh list can be had, and how gently its server
// is approached.
//
// Pure: ages, sources and evidence in, a degree of trust and what follows from it out; no clock, no I/O.
// docs/membership.md weighs the options and has the table. What follows is told to the Controller as an entry
// of a cached list (ServerList::kCached): it still decides each call. Old entries are drawn less
// often, and told as just started where the settings say so, under rule four's budget for cold servers; those
// that are too old are left out while others are ready. In any case traffic grows only as a server answers.
#ifndef MINTROCK_SRC_MEMBERSHIP_TRUST_HPP_
#define MINTROCK_SRC_MEMBERSHIP_TRUST_HPP_

#include <cstdint>
#include <string>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::membership {

// Who confirmed an entry last.
enum class Source { kList, kPeer, kOwnAnswers };

struct TrustSettings {
  double half_life_s = 600;  // trust halves with each such time since the entry was last confirmed; over 0
  double first_choice_threshold = 0.5;  // from this trust on an entry may be a first choice; 0 to 1
  double normal_threshold = 0.9;        // from this trust on it is told as it was kept, below as just started
  // Below this trust an entry is told as just started, so that the budget for cold servers holds it. 0:
  // never, since that budget knows no kept rate (docs/membership.md).
  double cold_threshold = 0;
  double last_resort_threshold = 1e-4;  // below, an entry is too old: used only where no other is left
  double peer_factor = 0.8;             // a peer's word counts for so much of the list's own; 0 to 1
  double refusal_factor = 0.5;          // trust is multiplied by this with each refused or failed connection
  double answer_gain = 0.3;             // share of the way to full trust that an answer brings
};

// What is known of one entry.
struct Evidence {
  double confirmed_age_s = 0;  // since the last confirmation; below 0 is taken for 0, no number for very old
  Source source = Source::kList;
  bool clock_unreliable = false;    // the wall clock jumped while the proxy was down: the age may be anything
  std::uint32_t answers = 0;        // of this server to this proxy, since this start
  std::uint32_t refusals = 0;       // connections refused or lost since this start, after the last answer
  double last_answer_age_s = 1e18;  // since the last of those answers
};

enum class Usage {
  kNormal,      // believed: as the list had it
  kReduced,     // drawn less often; its traffic grows only as it answers
  kLastResort,  // the same, and only where no other entry is left
};

// A moment, by both clocks. `boot` names the machine's boot, within which the monotonic clock goes on.
struct ClockReading {
  double wall = 0;  // s since the Unix epoch
  double monotonic = 0;
  std::string boot;  // empty: not known
};
struct Age {
  double seconds = 0;       // since the confirmation
  bool unreliable = false;  // the wall clock went back between the two moments, and nothing else tells
};
// The age, `now`, of what was confirmed at `confirmed_wall` and kept at the moment `kept`. Within one boot
// the monotonic clock tells how long the list lay, whatever the wall clock did; else the wall clock must be
// believed unless it went back.
Age confirmation_age(double confirmed_wall, const ClockReading& kept, const ClockReading& now);

struct Trust {
  double score = 0;  // 0 to 1
  Usage usage = Usage::kLastResort;
  bool first_choice = false;
  bool report_as_cold = false;  // to be told as just started
  std::string reason;           // one line, for operators
};

// Degree and consequences for one entry.
Trust assess(const TrustSettings& settings, const Evidence& evidence);

// A kept entry as the Controller is to be told of it.
struct AssessedEntry {
  ServerEntry entry;
  Trust trust;
};
// The whole list, as of `now` on the Controller's clock: entries that are drained or gone stay so, whatever
// their age (a drain is never undone by a kept list); those too old are left out while any other is ready;
// weights are scaled by trust, so that the better known servers are drawn more often; those with `as_cold`
// are told as started now.
std::vector<ServerEntry> cached_list_entries(const std::vector<AssessedEntry>& kept, Time now);

}  // namespace mintrock::membership

#endif  // MINTROCK_SRC_MEMBERSHIP_TRUST_HPP_
