#include "edge/credit_control.hpp"

#include <xxhash.h>

#include <algorithm>
#include <cmath>

#include "edge/results.hpp"

namespace mintrock::edge {
namespace {

namespace avp = diameter::avp;
using diameter::AvpDef;
using diameter::AvpView;
using diameter::Builder;
using diameter::Header;
using diameter::MessageView;

constexpr double kMaxMilliseconds = 4294967295.0;

std::string text_of(const MessageView& message, const AvpDef& def) {
  const AvpView* found = message.find(def.code, def.vendor);
  return found != nullptr ? std::string(found->data) : std::string();
}

std::optional<std::uint32_t> number_of(const MessageView& message, const AvpDef& def) {
  const AvpView* found = message.find(def.code, def.vendor);
  return found != nullptr ? diameter::as_u32(*found) : std::nullopt;
}

void append_padded(std::string& out, std::string_view whole) {
  out.append(whole);
  out.resize((out.size() + 3) & ~std::size_t{3}, '\0');
}

Header request_header(std::uint32_t command, std::uint32_t hop_by_hop, std::uint32_t end_to_end) {
  Header header;
  header.flags = diameter::kRequest | diameter::kProxiable;
  header.command = command;
  header.application = diameter::kApplicationCreditControl;
  header.hop_by_hop = hop_by_hop;
  header.end_to_end = end_to_end;
  return header;
}

void write_common(Builder& out, const CallRecord& call, const std::string& server, std::uint32_t type,
                  std::uint32_t request_number) {
  out.text(avp::kSessionId, call.session_id)
      .text(avp::kOriginHost, call.origin_host)
      .text(avp::kOriginRealm, call.origin_realm)
      .text(avp::kDestinationRealm, call.destination_realm)
      .u32(avp::kAuthApplicationId, diameter::kApplicationCreditControl)
      .text(avp::kServiceContextId, call.service_context)
      .u32(avp::kCcRequestType, type)
      .u32(avp::kCcRequestNumber, request_number)
      .text(avp::kDestinationHost, server);
}

std::uint32_t to_milliseconds(double seconds) {
  return static_cast<std::uint32_t>(std::clamp(std::ceil(seconds * 1000), 0.0, kMaxMilliseconds));
}

// Whether the AVP is written by this node itself or concerns this hop alone. All others are forwarded
// unchanged.
bool is_hop_local(const AvpView& each) {
  static const AvpDef* const kHopLocal[] = {
      &avp::kSessionId,         &avp::kOriginHost,       &avp::kOriginRealm,       &avp::kDestinationRealm,
      &avp::kAuthApplicationId, &avp::kServiceContextId, &avp::kCcRequestType,     &avp::kCcRequestNumber,
      &avp::kDestinationHost,   &avp::kCalledStationId,  &avp::kServiceIdentifier, &avp::kMaximumWaitTime,
      &avp::kLinesRequired,     &avp::kRedialIndicator};
  return std::any_of(std::begin(kHopLocal), std::end(kHopLocal),
                     [&](const AvpDef* def) { return def->code == each.code && def->vendor == each.vendor; });
}

}  // namespace

std::uint32_t request_type(const MessageView& message) {
  return number_of(message, avp::kCcRequestType).value_or(0);
}
std::string session_of(const MessageView& message) { return text_of(message, avp::kSessionId); }

CallRecord read_setup(const MessageView& request, const std::string& from_peer) {
  CallRecord call;
  call.from_peer = from_peer;
  call.header = request.header;
  call.end_to_end = request.header.end_to_end;
  call.session_id = text_of(request, avp::kSessionId);
  call.origin_host = text_of(request, avp::kOriginHost);
  call.origin_realm = text_of(request, avp::kOriginRealm);
  call.destination_realm = text_of(request, avp::kDestinationRealm);
  call.destination_host = text_of(request, avp::kDestinationHost);
  call.service_context = text_of(request, avp::kServiceContextId);
  call.called = text_of(request, avp::kCalledStationId);
  call.service_identifier = number_of(request, avp::kServiceIdentifier);
  call.max_wait_ms = number_of(request, avp::kMaximumWaitTime);
  call.lines = number_of(request, avp::kLinesRequired).value_or(1);
  call.redial = number_of(request, avp::kRedialIndicator).value_or(0);
  call.request_number = number_of(request, avp::kCcRequestNumber).value_or(0);
  for (const AvpView& each : request.avps) {
    if (each.code == avp::kProxyInfo.code && each.vendor == 0) append_padded(call.proxy_info, each.encoded);
    if (!is_hop_local(each)) append_padded(call.forwarded_avps, each.encoded);
  }
  return call;
}

std::string write_setup(const CallRecord& call, const std::string& server, std::uint32_t hop_by_hop,
                        bool repeated, double give_up_after_s, bool plain) {
  Header header = request_header(diameter::kCreditControl, hop_by_hop, call.end_to_end);
  if (repeated) header.flags |= diameter::kRetransmitted;
  Builder out(header);
  write_common(out, call, server, diameter::kInitial, call.request_number);
  if (!call.called.empty()) out.text(avp::kCalledStationId, call.called);
  if (call.service_identifier) out.u32(avp::kServiceIdentifier, *call.service_identifier);
  if (!plain) {
    out.u32(avp::kMaximumWaitTime, to_milliseconds(give_up_after_s));
    if (call.lines != 1) out.u32(avp::kLinesRequired, call.lines);
    if (call.redial != 0) out.u32(avp::kRedialIndicator, call.redial);
  }
  out.raw(call.forwarded_avps).text(avp::kRouteRecord, call.from_peer);
  return out.finish();
}

std::string write_termination(const CallRecord& call, const std::string& server, std::uint32_t hop_by_hop,
                              std::uint32_t end_to_end) {
  Builder out(request_header(diameter::kCreditControl, hop_by_hop, end_to_end));
  write_common(out, call, server, diameter::kTermination, call.request_number + 1);
  out.text(avp::kRouteRecord, call.from_peer);
  return out.finish();
}

std::string write_setup_answer(const CallRecord& call, const SetupAnswer& answer) {
  const bool protocol_error = answer.result >= 3000 && answer.result < 4000;
  Builder out(diameter::answer_header(call.header, protocol_error));
  out.text(avp::kSessionId, call.session_id)
      .u32(avp::kResultCode, answer.result)
      .text(avp::kOriginHost, answer.origin_host)
      .text(avp::kOriginRealm, answer.origin_realm)
      .u32(avp::kAuthApplicationId, diameter::kApplicationCreditControl)
      .u32(avp::kCcRequestType, diameter::kInitial)
      .u32(avp::kCcRequestNumber, call.request_number);
  if (answer.retry_after_s > 0) out.u32(avp::kRetryAfter, to_milliseconds(answer.retry_after_s));
  if (!answer.text.empty()) out.text(avp::kErrorMessage, answer.text);
  if (!answer.failed_avp.empty()) out.text(avp::kFailedAvp, answer.failed_avp);
  out.raw(call.proxy_info);
  return out.finish();
}

std::string write_success(const MessageView& request, const diameter::LocalNode& local) {
  Builder out(diameter::answer_header(request.header, false));
  out.text(avp::kSessionId, session_of(request))
      .u32(avp::kResultCode, diameter::kSuccess)
      .text(avp::kOriginHost, local.host)
      .text(avp::kOriginRealm, local.realm);
  if (request.header.command == diameter::kCreditControl) {
    out.u32(avp::kAuthApplicationId, diameter::kApplicationCreditControl)
        .u32(avp::kCcRequestType, request_type(request))
        .u32(avp::kCcRequestNumber, number_of(request, avp::kCcRequestNumber).value_or(0));
  }
  diameter::copy_proxy_info(request, out);
  return out.finish();
}

std::string write_abort(const CallRecord& call, const diameter::LocalNode& local, std::uint32_t hop_by_hop,
                        std::uint32_t end_to_end) {
  Builder out(request_header(diameter::kAbortSession, hop_by_hop, end_to_end));
  out.text(avp::kSessionId, call.session_id)
      .text(avp::kOriginHost, local.host)
      .text(avp::kOriginRealm, local.realm)
      .text(avp::kDestinationRealm, call.origin_realm)
      .text(avp::kDestinationHost, call.origin_host)
      .u32(avp::kAuthApplicationId, diameter::kApplicationCreditControl);
  return out.finish();
}

CoreAnswer read_core_answer(const MessageView& answer) {
  CoreAnswer out;
  out.result = number_of(answer, avp::kResultCode).value_or(0);
  double wait_s = 0;
  if (const AvpView* group = answer.find(avp::kServerLoad.code, avp::kServerLoad.vendor)) {
    MessageView inner;
    if (!diameter::split_avps(group->data, inner.avps)) {
      if (const auto ms = number_of(inner, avp::kProcessorWait)) out.report.wait_s = *ms / 1000.0;
      if (const auto queue = number_of(inner, avp::kQueueLength)) out.report.queue = *queue;
      if (const auto spare = number_of(inner, avp::kSpareLines)) out.report.spare = *spare;
      if (const auto total = number_of(inner, avp::kTotalLines)) out.report.total = *total;
    }
  }
  if (const auto ms = number_of(answer, avp::kRetryAfter)) wait_s = *ms / 1000.0;
  for (const AvpView& each : answer.avps) {
    if (each.code != avp::kLoad.code || each.vendor != 0) continue;
    MessageView inner;
    if (diameter::split_avps(each.data, inner.avps)) continue;
    const AvpView* value = inner.find(avp::kLoadValue.code);
    const auto type = number_of(inner, avp::kLoadType);
    const auto raw = value != nullptr ? diameter::as_u64(*value) : std::nullopt;
    // RFC 8583 section 7.3: the value is 0 to 65535; only the load of type HOST (0) is used.
    if (raw && type.value_or(1) == 0) out.load = std::min(1.0, static_cast<double>(*raw) / 65535.0);
  }
  const ResultMeaning meaning = meaning_of(out.result);
  out.established = meaning.established;
  out.outcome = meaning.outcome;
  out.cause = meaning.cause;
  if (out.cause == Cause::kProcessorFull) out.advised_wait_s = wait_s;
  if (!out.established) {
    out.failed_avp = text_of(answer, avp::kFailedAvp);
    out.text = text_of(answer, avp::kErrorMessage);
  }
  return out;
}

void write_report(Builder& out, const Report& report) {
  if (!report.wait_s && !report.queue && !report.spare && !report.total) return;
  const auto rounded_down = [](double value) {
    return static_cast<std::uint32_t>(std::clamp(value, 0.0, kMaxMilliseconds));
  };
  out.begin_group(avp::kServerLoad);
  if (report.wait_s) out.u32(avp::kProcessorWait, rounded_down(*report.wait_s * 1000));
  if (report.queue) out.u32(avp::kQueueLength, rounded_down(*report.queue));
  if (report.spare) out.u32(avp::kSpareLines, rounded_down(*report.spare));
  if (report.total) out.u32(avp::kTotalLines, rounded_down(*report.total));
  out.end_group();
}

std::uint64_t stable_hash(std::string_view text) {
  if (text.empty()) return 0;
  const std::uint64_t hash = XXH3_64bits(text.data(), text.size());
  return hash == 0 ? 1 : hash;
}

}  // namespace mintrock::edge
