// What one core server answers to set-ups, for those who look after the proxy: counts by result, when a line
// of warning is due, and whether it answers nothing but errors.
//
// Pure; bounded: at most kMostCodes codes, those beyond are counted under 0. Decides nothing about calls.
#ifndef MINTROCK_SRC_EDGE_ANSWER_WATCH_HPP_
#define MINTROCK_SRC_EDGE_ANSWER_WATCH_HPP_

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "edge/results.hpp"

namespace mintrock::edge {

class AnswerWatch {
 public:
  static constexpr std::size_t kMostCodes = 32;
  static constexpr double kWarnEvery = 10;           // s between lines about one server
  static constexpr std::uint32_t kErrorsInARow = 5;  // so many, and nothing else between: "only errors"

  struct Warning {
    std::uint32_t result = 0;
    std::string failed_avp;    // what it names; empty: none was told
    std::uint64_t errors = 0;  // since the last line
  };

  // An answer to a set-up. `failed_avp`: the data of its Failed-AVP. A warning, if one is due now: errors are
  // what says that the server can't do its work, not that it has no room, or that a number is busy.
  std::optional<Warning> answered(double now, std::uint32_t result, const std::string& failed_avp) {
    const auto known = counts_.find(result);
    counts_[known != counts_.end() || counts_.size() < kMostCodes ? result : 0] += 1;
    const ResultMeaning meaning = meaning_of(result);
    const bool error = !meaning.established && meaning.outcome == Outcome::kError;
    if (!error || meaning.cause == Cause::kNumberBusy) {
      in_a_row_ = 0;
      return std::nullopt;
    }
    in_a_row_ += 1;
    last_error_ = result;
    last_failed_avp_ = describe_failed_avp(failed_avp);
    // One caller's unknown user is no fault of the server; nothing but such answers may be.
    if (meaning.cause == Cause::kRejected && !errors_only()) return std::nullopt;
    unsaid_ += 1;
    if (now < quiet_until_) return std::nullopt;
    quiet_until_ = now + kWarnEvery;
    Warning out{result, last_failed_avp_, unsaid_};
    unsaid_ = 0;
    return out;
  }

  bool errors_only() const { return in_a_row_ >= kErrorsInARow; }
  std::uint32_t last_error() const { return last_error_; }  // 0: none yet
  const std::string& last_failed_avp() const { return last_failed_avp_; }
  const std::map<std::uint32_t, std::uint64_t>& counts() const { return counts_; }  // by Result-Code

 private:
  std::map<std::uint32_t, std::uint64_t> counts_;
  std::uint32_t in_a_row_ = 0;
  std::uint32_t last_error_ = 0;
  std::string last_failed_avp_;
  std::uint64_t unsaid_ = 0;
  double quiet_until_ = -1e18;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_ANSWER_WATCH_HPP_
