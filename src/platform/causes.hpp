// Causes of a release in the messages of both callers and core servers (Q.850 cause values).
#ifndef MINTROCK_SRC_PLATFORM_CAUSES_HPP_
#define MINTROCK_SRC_PLATFORM_CAUSES_HPP_

namespace mintrock::platform {

inline constexpr int kCauseNormal = 16;  // a call has ended, or a set-up is abandoned
inline constexpr int kCauseNumberBusy = 17;
inline constexpr int kCauseNoCircuit = 34;
inline constexpr int kCauseTemporaryFailure = 41;
inline constexpr int kCauseCongestion = 42;
inline constexpr int kCauseUnavailable = 47;
inline constexpr int kCauseInvalid = 100;  // invalid contents
inline constexpr int kCauseTimer = 102;

}  // namespace mintrock::platform

#endif  // MINTROCK_SRC_PLATFORM_CAUSES_HPP_
