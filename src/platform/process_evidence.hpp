// Decides whether the process of a core server that holds calls has ended.
//
// A call depends on the process that holds it, not on that process's address, which another process can take
// over, nor on its identity, under which a process can come back without its calls. The evidence:
//
// | shows the end of the process                     | is outweighed by                                   |
// | a refused connection                             | a usable connection, and a sign of serving in 5 s  |
// | connections closed without a line, none for 5 s  | a usable connection                                |
// | another server at its address, by the list       | a usable connection                                |
// | a later start at its identity or address, listed | lines since then on a connection from before it    |
// | connections that aren't established, for 5 s     | a connection or any bytes in that time             |
// | the same for 2 s, if nothing was ever heard      | the same; connections may come up 1 s late         |
// | silence for 5 s after it left list or address    | a line in that time                                |
//
// Which of two processes with one identity holds a call that its caller reports depends on whether the proxy
// that set the call up was still there at the later start, to learn of it and to end the earlier process's
// calls:
//
// | the latest start listed                       | the call is reported   | it is held by | | none, or with
// the identity itself             | at any time            | the present process                   | |
// kHandoverPeriod or more before this proxy's   | at any time            | the present process | | after
// that, before or after this proxy's      | within kHandoverPeriod | the earlier one: what set it up may   |
// |                                               | of this proxy's start  | have been gone. It is released,
// too   | | while this proxy ran                          | later, by the caller   | the present process, if
// it started    | |                                               | of another proxy       | kHandoverTime
// ago or was listed then  |
//
// What a process sends itself outweighs what the list tells of it, which is late. Age outweighs a sign of
// life: 5 s without another one, since the end of a call must be reported to its caller within 8 s.
//
// Pure: does no I/O and reads no clock.
#ifndef MINTROCK_SRC_PLATFORM_PROCESS_EVIDENCE_HPP_
#define MINTROCK_SRC_PLATFORM_PROCESS_EVIDENCE_HPP_

#include <limits>

namespace mintrock::platform {

// A process that shows no sign of life for this long is taken for gone.
constexpr double kGoneTimeout = 5.0;  // s
// The same for a process that this proxy has not heard since it started: it may have been lost before.
constexpr double kUnheardTimeout = 2.0;  // s
constexpr double kNever = std::numeric_limits<double>::infinity();
// After a restart a proxy is ready within this time, and then its callers report their calls. So long before
// its start its former process may have ended.
constexpr double kHandoverPeriod = 10.0;  // s
// A call that its caller reports was established at most this long before, unless the proxy that set it up
// had the time to learn of the server's restart itself: list updates are up to 5 s late.
constexpr double kHandoverTime = 5.0;  // s

// What the list tells of an identity's earlier processes.
enum class StartSource {
  kFirstProcess,  // the list added the identity: there was none
  kUnknown,       // a whole list had the identity with its start: there may have been one
};

// Returns a time at which the process that holds a call ran, if the call's caller reports it at `now`. The
// latest start listed of the server's process is `started_at` (0: long ago), and this proxy started at
// `proxy_started_at`. All times are in seconds on the monotonic clock.
double reported_call_held_since(double started_at, double proxy_started_at, double now);

// How the connection that has just been removed ended.
enum class ConnectionEnd { kNone, kRefused, kClosedWithoutLine, kOther };

// All times are in seconds on the monotonic clock.
struct ProcessEvidence {
  // ---- From the server list ----
  bool left_list = false;
  bool address_reassigned = false;  // another server was listed as ready at the address
  // The start of a later process was listed, at the server's identity or under another one at its address,
  // and calls or connections from before that start are left.
  bool replaced = false;

  // ---- From the connections ----
  ConnectionEnd latest_end = ConnectionEnd::kNone;
  bool usable_connection = false;  // one is established, and can be written to
  bool connects_time_out = false;  // none was established since a connection timed out
  bool established_calls = false;
  // A connection was established, or bytes were received; kNever: not yet.
  double last_activity_at = kNever;
  double first_connection_at = 0;  // when the first one was started
  double last_line_at = kNever;    // or when the first connection was started; kNever: none was
  double last_serving_at = 0;      // a connection was established, or a state or the end of a call received
  // The last line that a connection from before the listed start carried since that start; kNever: none.
  double older_connection_line_at = kNever;
};

// What shows that the process has ended. kReplaced ends what the process before the listed start held; every
// other one ends all that the server holds.
enum class ProcessEnd {
  kNone,
  kRefused,
  kClosesWithoutLine,
  kAddressReassigned,
  kReplaced,
  kUnreachable,
  kSilent,
};

ProcessEnd find_process_end(const ProcessEvidence& evidence, double now);

// When the passage of time alone may change the result of find_process_end(); kNever: it does not.
double next_process_check_at(const ProcessEvidence& evidence);

// For the log.
const char* name(ProcessEnd end);

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_PROCESS_EVIDENCE_HPP_
