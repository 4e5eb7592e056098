// What one core server answers to set-ups, for those who look after the proxy: counts by result, when a line
// of warning is due, and whether it answers nothing but errors.
//
// Pure; bounded: at most kMaxCodes codes, those beyond are counted under 0. Decides nothing about calls.
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
  static constexpr double kWarnInterval = 10;  // s between lines about one server
  static constexpr std::uint32_t kErrorsOnlyThreshold =
      5;  // so many, and nothing else between: "only errors"

  struct Warning {
    std::uint32_t result = 0;
    std::string failed_avp;    // what it names; empty: none was told
    std::uint64_t errors = 0;  // since the last line
  };

  // An answer to a set-up. `failed_avp`: the data of its Failed-AVP. A warning, if one is due now: errors are
  // what says that the server can't do its work, not that it has no room, or that a number is busy.
  std::optional<Warning> record_answer(double now, std::uint32_t result, const std::string& failed_avp) {
    const auto known = counts_by_result_.find(result);
    counts_by_result_[known != counts_by_result_.end() || counts_by_result_.size() < kMaxCodes ? result
                                                                                               : 0] += 1;
    const Meaning meaning = meaning_of(result);
    const bool error = !meaning.stands && meaning.outcome == Outcome::kError;
    if (!error || meaning.cause == Cause::kNumberBusy) {
      consecutive_errors_ = 0;
      return std::nullopt;
    }
    consecutive_errors_ += 1;
    last_error_ = result;
    last_failed_avp_ = describe_failed_avp(failed_avp);
    // One caller's unknown user is no fault of the server; nothing but such answers may be.
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
  const std::map<std::uint32_t, std::uint64_t>& counts_by_result() const {
    return counts_by_result_;
  }  // by Result-Code

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
