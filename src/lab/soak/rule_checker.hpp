// Checks what passes on the sockets of a soak against the platform's rules, call by call.
//
// Does no I/O (but for the trace) and reads no clock: the simulated callers and core servers report what they
// observe and when, all by the same clock. The rules: the end of a call at a core server is reported to its
// caller, whether or not the caller saw the call's answer; each set-up that was sent gets one final answer;
// nothing is sent to a core server for a caller that has gone.
#ifndef MINTROCK_SRC_LAB_SOAK_RULE_CHECKER_HPP_
#define MINTROCK_SRC_LAB_SOAK_RULE_CHECKER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace mintrock::lab::soak {

enum class Rule {
  kLost,        // no final answer in time, or the end of a call not reported to its caller
  kDuplicate,   // a second final answer, or two attempts in flight at once
  kForged,      // served with an answer that no core server gave for the call
  kDrain,       // sent to a server that was reported as draining or gone
  kCallerGone,  // sent to a core server for a caller that had gone
};
const char* name(Rule rule);

enum class FinalAnswer { kServed, kRefused, kFailed };

// In seconds, from the platform's specification.
struct Limits {
  double end_notice_after_release = 1.05;  // from the delivery of the core server's release for the call
  double end_notice_after_end = 8.05;      // from the end of the call, where no release could be sent
  double answer_grace = 0.5;               // for the final answer, after the caller's deadline
  double abandon_grace = 0.1;              // for attempts, after the caller has left
  double drain_grace = 0.25;               // for attempts, after the server was reported unavailable
  double slack = 0.25;                     // added to each limit for delays of a busy machine
};

struct Violation {
  Rule rule = Rule::kLost;
  double time = 0;
  std::uint64_t call = 0;
  std::string description;
};

class RuleChecker {
 public:
  // Writes one line to `trace` for each observation, unless it is null.
  explicit RuleChecker(const Limits& limits, std::ostream* trace = nullptr)
      : limits_(limits), trace_(trace) {}

  // ---- Callers ----
  // The caller has sent its set-up in full and waits `deadline_s` for the final answer.
  void setup_sent(std::uint64_t call, std::size_t edge, double deadline_s, double now);
  void final_answer_received(std::uint64_t call, FinalAnswer answer, const std::string& description,
                             double now);
  // The caller was notified of the end of its call.
  void end_notified(std::uint64_t call, double now);
  // The caller gave up, hung up or closed its connection: it is not waiting for anything any more.
  void caller_left(std::uint64_t call, double now);
  // The edge proxy closed the connection without answering the call. `just_written`: the set-up was written
  // so shortly before that the two may have crossed.
  void closed_unanswered(std::uint64_t call, bool just_written, double now);
  // The caller hands its established call over to a restarted edge proxy.
  void handed_over(std::uint64_t call, double now);

  // ---- Edge proxies ----
  // No end has to be reported for the calls that the edge proxy held until they are handed over. `planned`:
  // the edge proxy had time to answer its open set-ups first.
  void edge_stopped(std::size_t edge, bool planned, double now);

  // ---- Core servers ----
  void server_unavailable(const std::string& server, double now);  // reported as draining or gone
  // The same for one edge proxy: `published` by its discovery then, it counts as reported at `due`.
  void server_unavailable(const std::string& server, std::size_t edge, double published, double due);
  // What the edge proxy's discovery has not delivered yet counts as reported at `due`, for each change
  // `max_delay_s` after its publication at the latest.
  void delay_reports(std::size_t edge, double due, double max_delay_s);
  // `delayed`: the set-up was held up on the network or by the server, so that the time of its arrival does
  // not show when it was sent.
  void attempt_received(std::uint64_t call, const std::string& server, bool delayed, double now);
  void attempt_ended(std::uint64_t call, const std::string& server, double now);
  // The call is established at the server, whether or not its answer can be sent.
  void call_established(std::uint64_t call, const std::string& server, const std::string& description,
                        double now);
  // The call has ended at the server.
  void call_ended(std::uint64_t call, const std::string& server, double now);
  // The server's release for this call has reached the edge proxy's side of the network.
  void release_delivered(std::uint64_t call, const std::string& server, double now);
  // The edge proxy released the call, or closed the connection of its set-up.
  void call_released(std::uint64_t call, const std::string& server, double now);

  // Writes a step of the trial's script to the trace.
  void trace_step(const std::string& step, double now) { write_trace(now, 0, "script:", step); }

  // Records a violation for everything that was due by `now` and has not come. To be called periodically.
  void check(double now);
  const std::vector<Violation>& violations() const { return violations_; }
  std::size_t calls() const { return calls_.size(); }
  std::size_t calls_served() const { return calls_served_; }
  std::size_t ends_notified() const { return ends_notified_; }
  bool settled() const;  // no caller waits for an answer or for the end of its call

 private:
  struct Notice {
    double published = 0;
    double due = 0;
  };
  struct ServerCall {
    std::string description;
    bool established = false;
    bool ended = false;
    double notify_by = 0;  // deadline for notifying the caller, once the call has ended
  };
  struct Call {
    std::size_t edge = 0;
    double answer_by = 0;
    bool awaiting_answer = true;
    bool served = false;
    bool caller_left = false;
    double caller_left_at = 0;
    bool orphaned = false;       // its edge proxy has stopped
    std::string attempt_server;  // where an attempt is in flight; empty: nowhere
    std::map<std::string, ServerCall> servers;
  };

  Call* find(std::uint64_t call);
  // When the edge proxy counts as told that the server is unavailable; infinity: it is available.
  double told_at(const std::string& server, std::size_t edge) const;
  void write_trace(double now, std::uint64_t call, const char* event, const std::string& detail = "");
  void add_violation(Rule rule, std::uint64_t call, std::string description, double now);

  Limits limits_;
  std::ostream* trace_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::map<std::string, double> unavailable_since_;
  std::map<std::pair<std::string, std::size_t>, Notice> notices_;  // by server and edge proxy
  std::vector<Violation> violations_;
  std::size_t calls_served_ = 0;
  std::size_t ends_notified_ = 0;
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_RULE_CHECKER_HPP_
