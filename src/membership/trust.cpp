#include "membership/trust.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace mintrock::membership {
namespace {

// Minimum factor of the stored weight: a server that is never drawn gets no chance to answer.
constexpr double kMinWeightFactor = 0.01;
constexpr double kUnknownAge = 1e9;  // s; upper bound of ages, also stands for an unknown age

std::string format_age(double seconds) {
  char text[40];
  if (seconds < 120) {
    std::snprintf(text, sizeof text, "%.0f s", seconds);
  } else if (seconds < 7200) {
    std::snprintf(text, sizeof text, "%.0f min", seconds / 60);
  } else if (seconds < kUnknownAge) {
    std::snprintf(text, sizeof text, "%.0f h", seconds / 3600);
  } else {
    return "an unknown time";
  }
  return text;
}

const char* source_name(Source source) {
  switch (source) {
    case Source::kList:
      return "the list";
    case Source::kPeer:
      return "a peer";
    case Source::kOwnAnswers:
      return "its own answers";
  }
  return "?";
}

double decay(double age_s, double half_life_s) {
  return std::exp2(-std::clamp(age_s, 0.0, kUnknownAge) / std::max(half_life_s, 1e-3));
}

}  // namespace

Age confirmation_age(double confirmed_wall, const ClockReading& stored, const ClockReading& now) {
  constexpr double kMaxClockStep = 5;  // s; a smaller step back of the wall clock is ignored
  const double age_when_stored = std::max(0.0, stored.wall - confirmed_wall);
  if (!stored.boot.empty() && stored.boot == now.boot && now.monotonic >= stored.monotonic) {
    return {age_when_stored + now.monotonic - stored.monotonic, false};
  }
  return {age_when_stored + std::max(0.0, now.wall - stored.wall), now.wall < stored.wall - kMaxClockStep};
}

Trust assess(const TrustSettings& settings, const Evidence& evidence) {
  const double age = std::isnan(evidence.confirmed_age_s) || evidence.clock_unreliable
                         ? kUnknownAge
                         : std::max(0.0, evidence.confirmed_age_s);
  double score = decay(age, settings.half_life_s);
  if (evidence.source == Source::kPeer) score *= settings.peer_factor;
  // Answers raise trust toward 1 however old the list is. Their effect decays with the same half-life as a
  // confirmation.
  if (evidence.answers > 0) {
    const double answer_trust = (1 - std::pow(1 - settings.answer_gain, evidence.answers)) *
                                decay(evidence.last_answer_age_s, settings.half_life_s);
    score += (1 - score) * answer_trust;
  }
  score *= std::pow(settings.refusal_factor, evidence.refusals);
  Trust out;
  out.score = std::clamp(score, 0.0, 1.0);
  out.usage = out.score >= settings.normal_threshold        ? Usage::kNormal
              : out.score >= settings.last_resort_threshold ? Usage::kReduced
                                                            : Usage::kLastResort;
  out.report_as_cold = out.score < settings.cold_threshold;
  out.first_choice = out.score >= settings.first_choice_threshold;
  out.reason = "confirmed by " + std::string(source_name(evidence.source)) + " " + format_age(age) + " ago";
  if (evidence.clock_unreliable) out.reason += ", the wall clock is unreliable";
  if (evidence.answers > 0) out.reason += ", answered " + std::to_string(evidence.answers) + " times";
  if (evidence.refusals > 0) out.reason += ", refused " + std::to_string(evidence.refusals) + " times";
  return out;
}

std::vector<ServerEntry> cached_list_entries(const std::vector<AssessedEntry>& stored, Time now) {
  const bool has_better = std::any_of(stored.begin(), stored.end(), [](const AssessedEntry& each) {
    return each.entry.state == ServerEntry::State::kReady && each.trust.usage != Usage::kLastResort;
  });
  std::vector<ServerEntry> out;
  out.reserve(stored.size());
  for (const AssessedEntry& each : stored) {
    ServerEntry entry = each.entry;
    if (entry.state == ServerEntry::State::kReady) {
      if (each.trust.usage == Usage::kLastResort && has_better) continue;
      if (each.trust.report_as_cold) entry.since = std::max(entry.since, now);
      entry.weight *= std::max(kMinWeightFactor, each.trust.score);
    }
    out.push_back(entry);
  }
  return out;
}

}  // namespace mintrock::membership
