// The connections to one core server, and which of them may carry what.
//
// | use                | connections                             | first choice | | a set-up           | that
// are not retired                    | an idle one, then a new one, then the one | |                    | |
// with the fewest set-ups, doubted ones last | | a release, an end  | established, neither retired nor
// doubted | the earliest                              | | making room        | as for a release, without
// set-ups       | the earliest that has carried a line      |
//
// Pure: does no I/O and reads no clock.
#ifndef MINTROCK_SRC_PLATFORM_CONNECTION_CHOICE_HPP_
#define MINTROCK_SRC_PLATFORM_CONNECTION_CHOICE_HPP_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_set>
#include <vector>

#include "platform/connection_health.hpp"
#include "platform/core_codec.hpp"
#include "platform/missed_end_tracker.hpp"

namespace mintrock::platform {

// Connections kept open to a ready server: it sends the state of its trunk group on them. At most as many
// retired ones are kept.
constexpr std::size_t kMinConnections = 2;

struct SentRelease {
  std::uint64_t id = 0;
  double sent_at = 0;
};

struct CoreConnection {
  bool is_usable() const { return up && !retired && !health.is_doubted(); }
  // No set-up is open on it.
  bool is_unused() const { return in_flight.empty() && queued.empty(); }

  bool up = false;
  bool retired = false;  // half-closed: nothing more is sent, but received lines are handled
  double retired_at = 0;
  double started_at = 0;
  double up_since = 0;
  double last_line_at = 0;
  ConnectionHealth health;
  LineSplitter splitter;
  std::set<std::uint64_t> in_flight;  // set-ups written and not yet answered
  std::deque<std::uint64_t> queued;   // set-ups to be written once the connection is up
  // Ids of abandoned attempts, whose answers are late; bounded by its owner.
  std::unordered_set<std::uint64_t> abandoned;
  std::deque<SentRelease> sent_releases;  // recent ones that the server has not acknowledged
};

using CoreConnectionMap = std::map<ConnectionId, CoreConnection>;

struct SetupChoice {
  ConnectionId connection = 0;  // 0: there is none
  bool idle = false;
};
SetupChoice choose_for_setup(const CoreConnectionMap& connections);

// Returns 0 if no connection is usable.
ConnectionId first_usable(const CoreConnectionMap& connections);

// The connections that are neither retired nor doubted.
std::size_t count_active(const CoreConnectionMap& connections);

// Doubted connections don't count towards the maximum, as most of them are of no use; they are bounded
// nevertheless.
bool may_open_connection(const CoreConnectionMap& connections, std::size_t max_connections);

// The connection to retire when another one is needed in its place; 0: none.
ConnectionId choose_to_retire(const CoreConnectionMap& connections);

// The doubted connections to retire, as no set-up is open on them any more.
std::vector<ConnectionId> doubted_and_unused(const CoreConnectionMap& connections);

// The retired connections to close. A server that does not close them is unreachable or ignores the
// half-close: only a few are kept, each for `max_age` seconds.
std::vector<ConnectionId> expired_retired(const CoreConnectionMap& connections, double max_age, double now);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CONNECTION_CHOICE_HPP_
