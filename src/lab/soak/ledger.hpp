// What passed on the sockets of a soak, call by call, held against the platform's rules.
//
// Pure: the stand-ins report what they saw and when, by one clock; the ledger judges. A call that is over at
// a core server has to be told to its caller, whether its answer was seen or not; a request that was taken
// gets one final answer; nothing is sent for a caller that has gone.
#ifndef MINTROCK_SRC_LAB_SOAK_LEDGER_HPP_
#define MINTROCK_SRC_LAB_SOAK_LEDGER_HPP_

#include <cstddef>
#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <unordered_map>
#include <vector>

namespace mintrock::lab::soak {

enum class Rule {
  kLost,        // no final answer in time, or a call's end not told
  kDuplicate,   // a second final answer, or two attempts out at once
  kForged,      // served with what no core server made for the call
  kDrain,       // sent to a server that was told to drain or gone
  kCallerGone,  // sent on for a caller that had gone
};
const char* name(Rule rule);

enum class FinalAnswer { kServed, kRefused, kFailed };

// In seconds, from the platform's pages.
struct Limits {
  double told_after_release = 1.05;  // the end of a call, once its core server's release has passed
  double told_after_end = 8.05;      // where no release could be sent
  double late_answer = 0.5;          // after the caller's own time
  double caller_gone = 0.1;
  double drain = 0.25;
  double slack = 0.25;  // what a busy machine may add to each
};

struct Violation {
  Rule rule = Rule::kLost;
  double at = 0;
  std::uint64_t call = 0;
  std::string what;
};

class Ledger {
 public:
  // Each thing reported goes to `trace` too, a line each, if there is one.
  explicit Ledger(const Limits& limits, std::ostream* trace = nullptr) : limits_(limits), trace_(trace) {}

  // ---- Callers ----
  void taken(std::uint64_t call, std::size_t edge, double waits_s, double now);
  void answered(std::uint64_t call, FinalAnswer answer, const std::string& description, double now);
  void told_over(std::uint64_t call, double now);
  // Gave up, hung up or closed its connection: nothing is owed to it any more.
  void caller_left(std::uint64_t call, double now);
  // The edge proxy ended the connection with the call unanswered; `crossed`: it had just been written.
  void closed_unanswered(std::uint64_t call, bool crossed, double now);
  // The caller names its standing call to a restarted edge proxy.
  void handed_over(std::uint64_t call, double now);

  // ---- Edge proxies ----
  // What it holds is owed by nobody until it is handed over; `planned`: it had time to answer first.
  void edge_stopped(std::size_t edge, bool planned, double now);

  // ---- Core servers ----
  void told_unavailable(const std::string& server, double now);  // to drain, or gone
  // `delayed`: held up on its way or by the server, so that its time says nothing of when it was sent.
  void attempt(std::uint64_t call, const std::string& server, bool delayed, double now);
  void attempt_over(std::uint64_t call, const std::string& server, double now);
  // The call stands there, whether its answer can be sent or not.
  void stands(std::uint64_t call, const std::string& server, const std::string& description, double now);
  // It is over there.
  void over(std::uint64_t call, const std::string& server, double now);
  // A release of this call has reached the edge proxy's side of the network.
  void release_passed(std::uint64_t call, const std::string& server, double now);
  // The edge proxy let it go, or cut it.
  void let_go(std::uint64_t call, const std::string& server, double now);

  // A step of the trial's script, for the trace.
  void note(const std::string& step, double now) { record(now, 0, "script:", step); }

  // Judges what is still owed. Called now and then; all that is due by `now` is found.
  void judge(double now);
  const std::vector<Violation>& violations() const { return violations_; }
  std::size_t calls() const { return calls_.size(); }
  std::size_t served() const { return served_; }
  std::size_t ended() const { return ended_; }
  bool settled() const;  // nobody waits for anything

 private:
  struct Standing {
    std::string description;
    bool up = false;
    bool over = false;
    double due = 0;  // to be told by then, once over
  };
  struct Call {
    std::size_t edge = 0;
    double due = 0;  // of the final answer
    bool open = true;
    bool served = false;
    bool left = false;  // its caller
    double left_at = 0;
    bool orphaned = false;  // its edge proxy has stopped
    std::string out_at;     // the server that its attempt is out at
    std::map<std::string, Standing> servers;
  };

  Call* find(std::uint64_t call);
  void record(double now, std::uint64_t call, const char* what, const std::string& detail = "");
  void report(Rule rule, std::uint64_t call, std::string what, double now);

  Limits limits_;
  std::ostream* trace_;
  std::unordered_map<std::uint64_t, Call> calls_;
  std::map<std::string, double> unavailable_;
  std::vector<Violation> violations_;
  std::size_t served_ = 0;
  std::size_t ended_ = 0;
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_LEDGER_HPP_
