// Monitors the answers of one core server to set-ups, for operators: counts by Result-Code, rate-limited
// warnings, and whether the server answers only errors. Has no influence on calls.
//
// Does no I/O and reads no clock. Counts at most kMaxCodes different codes; further codes are counted
// together, under 0.
#ifndef MINTROCK_SRC_EDGE_ANSWER_MONITOR_HPP_
#define MINTROCK_SRC_EDGE_ANSWER_MONITOR_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "edge/results.hpp"

namespace mintrock::edge {

class AnswerMonitor {
 public:
  static constexpr std::size_t kMaxCodes = 32;
  static constexpr double kWarnInterval = 10;               // s between warnings about one server
  static constexpr std::uint32_t kErrorsOnlyThreshold = 5;  // consecutive errors that count as "only errors"

  struct Warning {
    std::uint32_t result = 0;
    std::string failed_avp;    // the AVP that Failed-AVP names; empty: none
    std::uint64_t errors = 0;  // errors since the last warning
  };

  // Records an answer to a set-up and returns a warning if one is due. `failed_avp`: the data of the answer's
  // Failed-AVP. Errors are answers that say that the server can't do its work; a full server or a busy number
  // is no error.
  std::optional<Warning> record_answer(double now, std::uint32_t result, const std::string& failed_avp) {
    const auto known = counts_by_result_.find(result);
    counts_by_result_[known != counts_by_result_.end() || counts_by_result_.size() < kMaxCodes ? result
                                                                                               : 0] += 1;
    const ResultMeaning meaning = meaning_of(result);
    const bool error = !meaning.established && meaning.outcome == Outcome::kError;
    if (!error || meaning.cause == Cause::kNumberBusy) {
      consecutive_errors_ = 0;
      return std::nullopt;
    }
    consecutive_errors_ += 1;
    last_error_ = result;
    last_failed_avp_ = describe_failed_avp(failed_avp);
    // A single rejected call, such as one to an unknown user, is not the server's fault, but a server that
    // answers nothing else may be at fault.
    if (meaning.cause == Cause::kRejected && !errors_only()) return std::nullopt;
    unreported_errors_ += 1;
    if (now < quiet_until_) return std::nullopt;
    quiet_until_ = now + kWarnInterval;
    Warning out{result, last_failed_avp_, unreported_errors_};
    unreported_errors_ = 0;
    return out;
  }

  bool errors_only() const { return consecutive_errors_ >= kErrorsOnlyThreshold; }
  std::uint32_t last_error() const { return last_error_; }  // 0: none yet
  const std::string& last_failed_avp() const { return last_failed_avp_; }
  const std::map<std::uint32_t, std::uint64_t>& counts_by_result() const { return counts_by_result_; }

 private:
  std::map<std::uint32_t, std::uint64_t> counts_by_result_;
  std::uint32_t consecutive_errors_ = 0;
  std::uint32_t last_error_ = 0;
  std::string last_failed_avp_;
  std::uint64_t unreported_errors_ = 0;
  double quiet_until_ = -1e18;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_ANSWER_MONITOR_HPP_
