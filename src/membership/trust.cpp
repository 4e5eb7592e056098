#include "membership/trust.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace mintrock::membership {
namespace {

constexpr double kLeastWeight = 0.01;  // of the kept one: a server that nobody draws proves nothing
constexpr double kVeryOld = 1e9;       // s

std::string age_text(double seconds) {
  char text[40];
  if (seconds < 120) {
    std::snprintf(text, sizeof text, "%.0f s", seconds);
  } else if (seconds < 7200) {
    std::snprintf(text, sizeof text, "%.0f min", seconds / 60);
  } else if (seconds < kVeryOld) {
    std::snprintf(text, sizeof text, "%.0f h", seconds / 3600);
  } else {
    return "an unknown time";
  }
  return text;
}

const char* source_text(Source source) {
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

double halved(double age_s, double half_life_s) {
  return std::exp2(-std::clamp(age_s, 0.0, kVeryOld) / std::max(half_life_s, 1e-3));
}

}  // namespace

Age confirmation_age(double confirmed_wall, const ClockReading& kept, const ClockReading& now) {
  constexpr double kDrift = 5;  // s that a wall clock may be set back without meaning
  const double before = std::max(0.0, kept.wall - confirmed_wall);
  if (!kept.boot.empty() && kept.boot == now.boot && now.monotonic >= kept.monotonic) {
    return {before + now.monotonic - kept.monotonic, false};
  }
  return {before + std::max(0.0, now.wall - kept.wall), now.wall < kept.wall - kDrift};
}

Trust assess(const TrustSettings& settings, const Evidence& evidence) {
  const double age = std::isnan(evidence.confirmed_age_s) || evidence.clock_unreliable
                         ? kVeryOld
                         : std::max(0.0, evidence.confirmed_age_s);
  double degree = halved(age, settings.half_life_s);
  if (evidence.source == Source::kPeer) degree *= settings.peer_factor;
  // Answers bring trust toward whole, however old the list; an answer fades as a confirmation does.
  if (evidence.answers > 0) {
    const double proven = (1 - std::pow(1 - settings.answer_gain, evidence.answers)) *
                          halved(evidence.last_answer_age_s, settings.half_life_s);
    degree += (1 - degree) * proven;
  }
  degree *= std::pow(settings.refusal_factor, evidence.refusals);
  Trust out;
  out.score = std::clamp(degree, 0.0, 1.0);
  out.usage = out.score >= settings.normal_threshold        ? Usage::kNormal
              : out.score >= settings.last_resort_threshold ? Usage::kReduced
                                                            : Usage::kLastResort;
  out.report_as_cold = out.score < settings.cold_threshold;
  out.first_choice = out.score >= settings.first_choice_threshold;
  out.reason = "confirmed by " + std::string(source_text(evidence.source)) + " " + age_text(age) + " ago";
  if (evidence.clock_unreliable) out.reason += ", the clock jumped";
  if (evidence.answers > 0) out.reason += ", answered " + std::to_string(evidence.answers) + " times";
  if (evidence.refusals > 0) out.reason += ", refused " + std::to_string(evidence.refusals) + " times";
  return out;
}

std::vector<ServerEntry> cached_list_entries(const std::vector<AssessedEntry>& kept, Time now) {
  const bool better = std::any_of(kept.begin(), kept.end(), [](const AssessedEntry& each) {
    return each.entry.state == ServerEntry::State::kReady && each.trust.usage != Usage::kLastResort;
  });
  std::vector<ServerEntry> out;
  out.reserve(kept.size());
  for (const AssessedEntry& each : kept) {
    ServerEntry entry = each.entry;
    if (entry.state == ServerEntry::State::kReady) {
      if (each.trust.usage == Usage::kLastResort && better) continue;
      if (each.trust.report_as_cold) entry.since = std::max(entry.since, now);
      entry.weight *= std::max(kLeastWeight, each.trust.score);
    }
    out.push_back(entry);
  }
  return out;
}

}  // namespace mintrock::membership
