#include "platform/process_evidence.hpp"

#include <algorithm>

namespace mintrock::platform {
namespace {

// While a connection is open, a refusal may come from a draining server that finishes its calls.
bool shown_by_refusal(const ProcessEvidence& evidence, double now) {
  if (evidence.latest_end != ConnectionEnd::kRefused) return false;
  return !evidence.usable_connection || now >= evidence.last_serving_at + kGoneTimeout;
}

// Something else accepts connections at its address.
bool shown_by_silent_close(const ProcessEvidence& evidence, double now) {
  return evidence.latest_end == ConnectionEnd::kClosedWithoutLine && !evidence.usable_connection &&
         now >= evidence.last_line_at + kGoneTimeout;
}

// A connection from before the listed start has carried a line since: the earlier process lives, or its last
// lines were read late.
double replacement_check_at(const ProcessEvidence& evidence) {
  if (!evidence.replaced) return kNever;
  return evidence.older_connection_line_at == kNever ? 0 : evidence.older_connection_line_at + kGoneTimeout;
}

double unreachable_at(const ProcessEvidence& evidence) {
  if (!evidence.connects_time_out) return kNever;
  const bool heard = evidence.last_activity_at != kNever;
  return heard ? evidence.last_activity_at + kGoneTimeout : evidence.first_connection_at + kUnheardTimeout;
}

// Such a server can't be probed by a new connection: silence is the only sign that it is gone.
double silent_at(const ProcessEvidence& evidence) {
  const bool left = evidence.address_reassigned || evidence.left_list;
  return left && evidence.established_calls ? evidence.last_line_at + kGoneTimeout : kNever;
}

}  // namespace

ProcessEnd find_process_end(const ProcessEvidence& evidence, double now) {
  if (shown_by_refusal(evidence, now)) return ProcessEnd::kRefused;
  if (shown_by_silent_close(evidence, now)) return ProcessEnd::kClosesWithoutLine;
  if (evidence.address_reassigned && !evidence.usable_connection) return ProcessEnd::kAddressReassigned;
  if (now >= unreachable_at(evidence)) return ProcessEnd::kUnreachable;
  if (now >= silent_at(evidence)) return ProcessEnd::kSilent;
  if (now >= replacement_check_at(evidence)) return ProcessEnd::kReplaced;
  return ProcessEnd::kNone;
}

double next_process_check_at(const ProcessEvidence& evidence) {
  return std::min({unreachable_at(evidence), silent_at(evidence), replacement_check_at(evidence)});
}

double reported_call_held_since(double started_at, double proxy_started_at, double now) {
  const bool by_former_process = now < proxy_started_at + kHandoverPeriod;
  if (by_former_process && started_at > 0 && started_at > proxy_started_at - kHandoverPeriod)
    return proxy_started_at - kHandoverPeriod;
  return std::max(started_at, now - kHandoverTime);
}

const char* name(ProcessEnd end) {
  switch (end) {
    case ProcessEnd::kNone:
      return "none";
    case ProcessEnd::kRefused:
      return "refused";
    case ProcessEnd::kClosesWithoutLine:
      return "closes connections without sending a line";
    case ProcessEnd::kAddressReassigned:
      return "its address belongs to another server";
    case ProcessEnd::kReplaced:
      return "a later process is listed";
    case ProcessEnd::kUnreachable:
      return "no connection is established";
    case ProcessEnd::kSilent:
      return "silent since it left the list or lost its address";
  }
  return "";
}

}  // namespace mintrock::platform
