#include "diameter/dictionary.hpp"

#include <algorithm>
#include <array>
#include <string>
#include <vector>

namespace mintrock::diameter {
namespace {

constexpr AvpDef kAllAvps[] = {avp::kCalledStationId,
                               avp::kHostIpAddress,
                               avp::kAuthApplicationId,
                               avp::kAcctApplicationId,
                               avp::kVendorSpecificApplicationId,
                               avp::kSessionId,
                               avp::kOriginHost,
                               avp::kSupportedVendorId,
                               avp::kVendorId,
                               avp::kFirmwareRevision,
                               avp::kResultCode,
                               avp::kProductName,
                               avp::kDisconnectCause,
                               avp::kOriginStateId,
                               avp::kFailedAvp,
                               avp::kProxyHost,
                               avp::kErrorMessage,
                               avp::kRouteRecord,
                               avp::kDestinationRealm,
                               avp::kProxyInfo,
                               avp::kDestinationHost,
                               avp::kErrorReportingHost,
                               avp::kTerminationCause,
                               avp::kOriginRealm,
                               avp::kInbandSecurityId,
                               avp::kProxyState,
                               avp::kCcRequestNumber,
                               avp::kCcRequestType,
                               avp::kServiceIdentifier,
                               avp::kServiceContextId,
                               avp::kUserName,
                               avp::kClass,
                               avp::kCallingStationId,
                               avp::kEventTimestamp,
                               avp::kMultiSessionId,
                               avp::kCorrelationId,
                               avp::kInputOctets,
                               avp::kMoney,
                               avp::kOutputOctets,
                               avp::kSessionFailover,
                               avp::kSubSessionId,
                               avp::kCcTime,
                               avp::kTotalOctets,
                               avp::kCheckBalance,
                               avp::kCostInformation,
                               avp::kFailureHandling,
                               avp::kDirectDebiting,
                               avp::kFinalUnit,
                               avp::kGrantedUnit,
                               avp::kRatingGroup,
                               avp::kRequestedAction,
                               avp::kRequestedUnit,
                               avp::kParameterInfo,
                               avp::kSubscriptionId,
                               avp::kUsedUnit,
                               avp::kValidityTime,
                               avp::kMultipleIndicator,
                               avp::kMultipleServices,
                               avp::kUserEquipment,
                               avp::kSourceId,
                               avp::kLoad,
                               avp::kLoadType,
                               avp::kLoadValue,
                               avp::kMaximumWaitTime,
                               avp::kServerLoad,
                               avp::kProcessorWait,
                               avp::kQueueLength,
                               avp::kSpareLines,
                               avp::kTotalLines,
                               avp::kRetryAfter,
                               avp::kRedialIndicator,
                               avp::kLinesRequired,
                               avp::kRefusalCause};

// How often an AVP may occur in a command. AVPs that a grammar doesn't name are allowed by its *[ AVP ], but
// Result-Code and Failed-AVP are not allowed in requests.
struct OccurrenceRule {
  const AvpDef* def;
  std::uint32_t min_count;
  std::uint32_t max_count;  // 0: unlimited
};

struct Grammar {
  std::uint32_t command;
  bool request;
  std::vector<OccurrenceRule> avps;
};

const std::vector<Grammar>& grammars() {
  using namespace avp;  // NOLINT: keeps the table readable
  static const std::vector<Grammar> kGrammars = {
      // RFC 6733 sections 5.3.1 and 5.3.2
      {kCapabilitiesExchange,
       true,
       {{&kOriginHost, 1, 1},
        {&kOriginRealm, 1, 1},
        {&kHostIpAddress, 1, 0},
        {&kVendorId, 1, 1},
        {&kProductName, 1, 1},
        {&kOriginStateId, 0, 1},
        {&kFirmwareRevision, 0, 1}}},
      {kCapabilitiesExchange,
       false,
       {{&kResultCode, 1, 1},
        {&kOriginHost, 1, 1},
        {&kOriginRealm, 1, 1},
        {&kOriginStateId, 0, 1},
        {&kErrorMessage, 0, 1}}},
      // Sections 5.5.1 and 5.5.2
      {kDeviceWatchdog, true, {{&kOriginHost, 1, 1}, {&kOriginRealm, 1, 1}, {&kOriginStateId, 0, 1}}},
      {kDeviceWatchdog, false, {{&kResultCode, 1, 1}, {&kOriginHost, 1, 1}, {&kOriginRealm, 1, 1}}},
      // Sections 5.4.1 and 5.4.2
      {kDisconnectPeer, true, {{&kOriginHost, 1, 1}, {&kOriginRealm, 1, 1}, {&kDisconnectCause, 1, 1}}},
      {kDisconnectPeer, false, {{&kResultCode, 1, 1}, {&kOriginHost, 1, 1}, {&kOriginRealm, 1, 1}}},
      // Sections 8.5.1 and 8.5.2
      {kAbortSession,
       true,
       {{&kSessionId, 1, 1},
        {&kOriginHost, 1, 1},
        {&kOriginRealm, 1, 1},
        {&kDestinationRealm, 1, 1},
        {&kDestinationHost, 1, 1},
        {&kAuthApplicationId, 1, 1}}},
      {kAbortSession,
       false,
       {{&kSessionId, 1, 1}, {&kResultCode, 1, 1}, {&kOriginHost, 1, 1}, {&kOriginRealm, 1, 1}}},
      // RFC 8506 sections 3.1 and 3.2
      {kCreditControl,
       true,
       {{&kSessionId, 1, 1},
        {&kOriginHost, 1, 1},
        {&kOriginRealm, 1, 1},
        {&kDestinationRealm, 1, 1},
        {&kAuthApplicationId, 1, 1},
        {&kServiceContextId, 1, 1},
        {&kCcRequestType, 1, 1},
        {&kCcRequestNumber, 1, 1},
        {&kDestinationHost, 0, 1},
        {&kServiceIdentifier, 0, 1},
        {&kCalledStationId, 0, 1},
        {&kMaximumWaitTime, 0, 1},
        {&kRedialIndicator, 0, 1},
        {&kLinesRequired, 0, 1}}},
      {kCreditControl,
       false,
       {{&kSessionId, 1, 1},
        {&kResultCode, 1, 1},
        {&kOriginHost, 1, 1},
        {&kOriginRealm, 1, 1},
        {&kAuthApplicationId, 1, 1},
        {&kCcRequestType, 1, 1},
        {&kCcRequestNumber, 1, 1},
        {&kServerLoad, 0, 1},
        {&kRetryAfter, 0, 1},
        {&kRefusalCause, 0, 1}}},
  };
  return kGrammars;
}

constexpr int kMaxGroupDepth = 4;
constexpr std::uint32_t kLookupTableSize = 1024;  // above every code of the base and mintrock AVPs

std::optional<Fault> avp_fault(std::uint32_t code, const AvpView& avp, const std::string& description) {
  const AvpDef* def = find_avp(avp.code, avp.vendor);
  const std::string name = def != nullptr ? def->name : "AVP " + std::to_string(avp.code);
  return Fault{code, std::string(avp.encoded), name + ": " + description};
}

std::optional<Fault> check_value(const AvpDef& def, const AvpView& avp, int depth);

std::optional<Fault> check_avp(const AvpView& avp, int depth) {
  constexpr std::uint8_t kReserved = 0x1F;
  const AvpDef* def = find_avp(avp.code, avp.vendor);
  if (def == nullptr) {
    if ((avp.flags & kMandatoryBit) != 0) return avp_fault(kAvpUnsupported, avp, "not known, and mandatory");
    return std::nullopt;
  }
  // Section 4.1: unrecognized flag bits are an error.
  if ((avp.flags & kReserved) != 0) return avp_fault(kInvalidAvpBits, avp, "reserved flags are set");
  return check_value(*def, avp, depth);
}

std::optional<Fault> check_value(const AvpDef& def, const AvpView& avp, int depth) {
  const std::size_t size = avp.data.size();
  switch (def.type) {
    case AvpType::kOctets:
      return std::nullopt;
    case AvpType::kText:
      return std::nullopt;
    case AvpType::kIdentity:
      if (size == 0) return avp_fault(kInvalidAvpLength, avp, "an empty identity");
      if (size > 255) return avp_fault(kInvalidAvpValue, avp, "an identity of over 255 bytes");
      for (const char c : avp.data) {
        if (c <= ' ' || c > '~') return avp_fault(kInvalidAvpValue, avp, "no character of a host name");
      }
      return std::nullopt;
    case AvpType::kUnsigned32:
    case AvpType::kEnumerated: {
      const auto value = as_u32(avp);
      if (!value) return avp_fault(kInvalidAvpLength, avp, "not 4 bytes");
      if (*value < def.min_value || *value > def.max_value) {
        return avp_fault(kInvalidAvpValue, avp, "value " + std::to_string(*value));
      }
      return std::nullopt;
    }
    case AvpType::kUnsigned64:
      if (size != 8) return avp_fault(kInvalidAvpLength, avp, "not 8 bytes");
      return std::nullopt;
    case AvpType::kAddress: {
      if (size < 3) return avp_fault(kInvalidAvpLength, avp, "an address too short");
      const int family =
          static_cast<unsigned char>(avp.data[0]) << 8 | static_cast<unsigned char>(avp.data[1]);
      if ((family == 1 && size != 6) || (family == 2 && size != 18)) {
        return avp_fault(kInvalidAvpLength, avp, "an address of a wrong length");
      }
      return std::nullopt;
    }
    case AvpType::kGrouped: {
      if (def.code == avp::kFailedAvp.code && def.vendor == 0)
        return std::nullopt;  // may contain malformed AVPs
      if (depth >= kMaxGroupDepth) return avp_fault(kInvalidAvpValue, avp, "groups too deep");
      std::vector<AvpView> inner;
      if (split_avps(avp.data, inner)) return avp_fault(kInvalidAvpLength, avp, "a broken group");
      for (const AvpView& each : inner) {
        if (auto fault = check_avp(each, depth + 1)) return fault;
      }
      return std::nullopt;
    }
  }
  return std::nullopt;
}

// Returns an encoded AVP with a minimal value. RFC 6733 section 7.5 requires one in Failed-AVP for each
// missing AVP.
std::string minimal_avp(const AvpDef& def) {
  Header header;  // cut off below
  Builder builder(header);
  switch (def.type) {
    case AvpType::kUnsigned32:
    case AvpType::kEnumerated:
      builder.u32(def, 0);
      break;
    case AvpType::kUnsigned64:
      builder.u64(def, 0);
      break;
    case AvpType::kAddress:
      builder.ipv4(def, 0);
      break;
    default:
      builder.text(def, "");
  }
  return builder.finish().substr(kHeaderSize);
}

}  // namespace

const AvpDef* find_avp(std::uint32_t code, std::uint32_t vendor) {
  // Tables indexed by code for the base and mintrock AVPs: every AVP of every message is looked up.
  static const auto kTables = [] {
    std::array<std::array<const AvpDef*, kLookupTableSize>, 2> tables{};
    for (const AvpDef& def : kAllAvps) {
      if (def.code < kLookupTableSize && (def.vendor == 0 || def.vendor == kVendorMintrock)) {
        tables[def.vendor == 0 ? 0 : 1][def.code] = &def;
      }
    }
    return tables;
  }();
  if (vendor == 0 || vendor == kVendorMintrock)
    return code < kLookupTableSize ? kTables[vendor == 0 ? 0 : 1][code] : nullptr;
  const AvpDef& max_wait = avp::kMaximumWaitTime;
  return code == max_wait.code && vendor == max_wait.vendor ? &max_wait : nullptr;
}

bool is_well_formed(const AvpView& avp) { return !check_avp(avp, 0); }

bool is_known_command(std::uint32_t command) {
  const auto& all = grammars();
  return std::any_of(all.begin(), all.end(), [&](const Grammar& g) { return g.command == command; });
}

std::optional<Fault> validate(const MessageView& message) {
  const Grammar* grammar = nullptr;
  for (const Grammar& each : grammars()) {
    if (each.command == message.header.command && each.request == message.header.is_request())
      grammar = &each;
  }
  if (grammar == nullptr) return std::nullopt;
  for (const AvpView& avp : message.avps) {
    if (auto fault = check_avp(avp, 0)) return fault;
    const bool answer_only =
        avp.vendor == 0 && (avp.code == avp::kResultCode.code || avp.code == avp::kFailedAvp.code);
    if (answer_only && message.header.is_request()) return avp_fault(kAvpNotAllowed, avp, "not in a request");
  }
  // Answers that report an error have their own grammar (RFC 6733 section 7.2) and may lack the AVPs that the
  // request lacked. Only Result-Code, Origin-Host and Origin-Realm are always required.
  const AvpView* result = message.find(avp::kResultCode.code);
  const bool failed = (message.header.flags & kErrorBit) != 0 ||
                      (result != nullptr && as_u32(*result).value_or(0) / 1000 != 2);
  for (const OccurrenceRule& rule : grammar->avps) {
    std::uint32_t count = 0;
    const AvpView* last = nullptr;
    for (const AvpView& avp : message.avps) {
      if (avp.code != rule.def->code || avp.vendor != rule.def->vendor) continue;
      count += 1;
      last = &avp;
    }
    const bool always_required = rule.def->code == avp::kResultCode.code ||
                                 rule.def->code == avp::kOriginHost.code ||
                                 rule.def->code == avp::kOriginRealm.code;
    if (count < rule.min_count && (!failed || always_required)) {
      return Fault{kMissingAvp, minimal_avp(*rule.def), std::string(rule.def->name) + ": missing"};
    }
    if (rule.max_count != 0 && count > rule.max_count)
      return avp_fault(kAvpOccursTooManyTimes, *last, "too many");
  }
  return std::nullopt;
}

}  // namespace mintrock::diameter
