#include "platform/shutdown_sequence.hpp"

#include <algorithm>

namespace mintrock::platform {
namespace {

// After SIGTERM the platform waits for the longest deadline of the call classes or for kMaxWait, whichever is
// shorter, and kills the process 0.7 s later at the earliest. The process exits by itself before that.
constexpr double kMaxWait = 3.0;            // s
constexpr double kAnswerMargin = 0.45;      // s after that wait until open set-ups get their final answer
constexpr double kReadAfterAnswers = 0.15;  // s for which core servers are still read then
constexpr double kExitAfterAnswers = 0.2;   // s

}  // namespace

ShutdownSequence::ShutdownSequence(double now, double longest_deadline)
    : accept_until_(now + kAcceptAfterSignal),
      answer_until_(std::max(accept_until_, now + std::min(kMaxWait, longest_deadline) + kAnswerMargin)) {}

bool ShutdownSequence::is_nothing_owed(const ShutdownState& state) {
  // Without a connection to report ends on, an end that is read here delays its report by the next process.
  if (!state.connection_for_ends) return state.unconfirmed_releases == 0 || state.untold_ends;
  return state.unconfirmed_releases == 0 && !state.ends_overdue;
}

ShutdownPhase ShutdownSequence::advance(const ShutdownState& state, double now) {
  const bool closed = state.busy_callers == 0 && state.unsent_streams == 0;
  if (phase_ == ShutdownPhase::kServing && now >= accept_until_) {
    phase_ = ShutdownPhase::kDraining;
  } else if (phase_ == ShutdownPhase::kDraining && now >= answer_until_) {
    phase_ = ShutdownPhase::kFinalAnswers;
  } else if (phase_ == ShutdownPhase::kDraining || phase_ == ShutdownPhase::kFinalAnswers) {
    if ((closed && is_nothing_owed(state)) || now >= answer_until_ + kReadAfterAnswers)
      phase_ = ShutdownPhase::kClosing;
  } else if (phase_ == ShutdownPhase::kClosing) {
    if (closed || now >= answer_until_ + kExitAfterAnswers) phase_ = ShutdownPhase::kDone;
  }
  return phase_;
}

}  // namespace mintrock::platform
