// The commands, AVPs and result codes that mintrock supports, and the validation of messages against them.
//
// Sources: RFC 6733 (base), RFC 8506 (Credit-Control, application 4), RFC 8583 (Load), RFC 7155 section 4.2.5
// (Called-Station-Id), 3GPP TS 29.273 (Maximum-Wait-Time). AVPs defined by mintrock itself use
// enterprise number 32473, which RFC 5612 reserves for documentation.
#ifndef MINTROCK_SRC_DIAMETER_DICTIONARY_HPP_
#define MINTROCK_SRC_DIAMETER_DICTIONARY_HPP_

#include <cstdint>
#include <optional>

#include "diameter/codec.hpp"

namespace mintrock::diameter {

enum class AvpType { kOctets, kText, kIdentity, kUnsigned32, kUnsigned64, kEnumerated, kAddress, kGrouped };

struct AvpDef {
  std::uint32_t code;
  std::uint32_t vendor;
  AvpType type;
  bool mandatory;  // the M bit in AVPs that mintrock sends
  const char* name;
  std::uint32_t min_value = 0;  // for integers: the smallest and greatest allowed values
  std::uint32_t max_value = 0xFFFFFFFFu;
};

inline constexpr std::uint32_t kVendor3gpp = 10415;
inline constexpr std::uint32_t kVendorMintrock = 32473;

namespace avp {
using T = AvpType;
// RFC 7155 section 4.2.5
inline constexpr AvpDef kCalledStationId{30, 0, T::kText, true, "Called-Station-Id"};
// RFC 6733 section 4.5
inline constexpr AvpDef kHostIpAddress{257, 0, T::kAddress, true, "Host-IP-Address"};
inline constexpr AvpDef kAuthApplicationId{258, 0, T::kUnsigned32, true, "Auth-Application-Id"};
inline constexpr AvpDef kAcctApplicationId{259, 0, T::kUnsigned32, true, "Acct-Application-Id"};
inline constexpr AvpDef kVendorSpecificApplicationId{260, 0, T::kGrouped, true,
                                                     "Vendor-Specific-Application-Id"};
inline constexpr AvpDef kSessionId{263, 0, T::kText, true, "Session-Id"};
inline constexpr AvpDef kOriginHost{264, 0, T::kIdentity, true, "Origin-Host"};
inline constexpr AvpDef kSupportedVendorId{265, 0, T::kUnsigned32, true, "Supported-Vendor-Id"};
inline constexpr AvpDef kVendorId{266, 0, T::kUnsigned32, true, "Vendor-Id"};
inline constexpr AvpDef kFirmwareRevision{267, 0, T::kUnsigned32, false, "Firmware-Revision"};
inline constexpr AvpDef kResultCode{268, 0, T::kUnsigned32, true, "Result-Code"};
inline constexpr AvpDef kProductName{269, 0, T::kText, false, "Product-Name"};
inline constexpr AvpDef kDisconnectCause{273, 0, T::kEnumerated, true, "Disconnect-Cause", 0, 2};
inline constexpr AvpDef kOriginStateId{278, 0, T::kUnsigned32, true, "Origin-State-Id"};
inline constexpr AvpDef kFailedAvp{279, 0, T::kGrouped, true, "Failed-AVP"};
inline constexpr AvpDef kProxyHost{280, 0, T::kIdentity, true, "Proxy-Host"};
inline constexpr AvpDef kErrorMessage{281, 0, T::kText, false, "Error-Message"};
inline constexpr AvpDef kRouteRecord{282, 0, T::kIdentity, true, "Route-Record"};
inline constexpr AvpDef kDestinationRealm{283, 0, T::kIdentity, true, "Destination-Realm"};
inline constexpr AvpDef kProxyInfo{284, 0, T::kGrouped, true, "Proxy-Info"};
inline constexpr AvpDef kDestinationHost{293, 0, T::kIdentity, true, "Destination-Host"};
inline constexpr AvpDef kErrorReportingHost{294, 0, T::kIdentity, false, "Error-Reporting-Host"};
inline constexpr AvpDef kTerminationCause{295, 0, T::kEnumerated, true, "Termination-Cause", 1, 8};
inline constexpr AvpDef kOriginRealm{296, 0, T::kIdentity, true, "Origin-Realm"};
inline constexpr AvpDef kInbandSecurityId{299, 0, T::kUnsigned32, true, "Inband-Security-Id"};
inline constexpr AvpDef kProxyState{33, 0, T::kOctets, true, "Proxy-State"};
// RFC 8506 section 8
inline constexpr AvpDef kCcRequestNumber{415, 0, T::kUnsigned32, true, "CC-Request-Number"};
inline constexpr AvpDef kCcRequestType{416, 0, T::kEnumerated, true, "CC-Request-Type", 1, 4};
inline constexpr AvpDef kServiceIdentifier{439, 0, T::kUnsigned32, true, "Service-Identifier"};
inline constexpr AvpDef kServiceContextId{461, 0, T::kText, true, "Service-Context-Id"};
// Forwarded unchanged. They are listed so that their M bit does not cause an error. RFC 6733 section 4.5,
// RFC 7155 section 4, RFC 8506 section 8. Groups have the type kOctets because their contents are not
// checked.
inline constexpr AvpDef kUserName{1, 0, T::kText, true, "User-Name"};
inline constexpr AvpDef kClass{25, 0, T::kOctets, true, "Class"};
inline constexpr AvpDef kCallingStationId{31, 0, T::kText, true, "Calling-Station-Id"};
inline constexpr AvpDef kEventTimestamp{55, 0, T::kOctets, true, "Event-Timestamp"};
inline constexpr AvpDef kMultiSessionId{50, 0, T::kText, true, "Acct-Multi-Session-Id"};
inline constexpr AvpDef kCorrelationId{411, 0, T::kOctets, true, "CC-Correlation-Id"};
inline constexpr AvpDef kInputOctets{412, 0, T::kUnsigned64, true, "CC-Input-Octets"};
inline constexpr AvpDef kMoney{413, 0, T::kOctets, true, "CC-Money"};
inline constexpr AvpDef kOutputOctets{414, 0, T::kUnsigned64, true, "CC-Output-Octets"};
inline constexpr AvpDef kSessionFailover{418, 0, T::kEnumerated, true, "CC-Session-Failover"};
inline constexpr AvpDef kSubSessionId{419, 0, T::kUnsigned64, true, "CC-Sub-Session-Id"};
inline constexpr AvpDef kCcTime{420, 0, T::kUnsigned32, true, "CC-Time"};
inline constexpr AvpDef kTotalOctets{421, 0, T::kUnsigned64, true, "CC-Total-Octets"};
inline constexpr AvpDef kCheckBalance{422, 0, T::kEnumerated, true, "Check-Balance-Result"};
inline constexpr AvpDef kCostInformation{423, 0, T::kOctets, true, "Cost-Information"};
inline constexpr AvpDef kFailureHandling{427, 0, T::kEnumerated, true, "Credit-Control-Failure-Handling"};
inline constexpr AvpDef kDirectDebiting{428, 0, T::kEnumerated, true, "Direct-Debiting-Failure-Handling"};
inline constexpr AvpDef kFinalUnit{430, 0, T::kOctets, true, "Final-Unit-Indication"};
inline constexpr AvpDef kGrantedUnit{431, 0, T::kOctets, true, "Granted-Service-Unit"};
inline constexpr AvpDef kRatingGroup{432, 0, T::kUnsigned32, true, "Rating-Group"};
inline constexpr AvpDef kRequestedAction{436, 0, T::kEnumerated, true, "Requested-Action"};
inline constexpr AvpDef kRequestedUnit{437, 0, T::kOctets, true, "Requested-Service-Unit"};
inline constexpr AvpDef kParameterInfo{440, 0, T::kOctets, true, "Service-Parameter-Info"};
inline constexpr AvpDef kSubscriptionId{443, 0, T::kOctets, true, "Subscription-Id"};
inline constexpr AvpDef kUsedUnit{446, 0, T::kOctets, true, "Used-Service-Unit"};
inline constexpr AvpDef kValidityTime{448, 0, T::kUnsigned32, true, "Validity-Time"};
inline constexpr AvpDef kMultipleIndicator{455, 0, T::kEnumerated, true, "Multiple-Services-Indicator"};
inline constexpr AvpDef kMultipleServices{456, 0, T::kOctets, true, "Multiple-Services-Credit-Control"};
inline constexpr AvpDef kUserEquipment{458, 0, T::kOctets, true, "User-Equipment-Info"};
// RFC 8583 section 6, and RFC 8581 for SourceID
inline constexpr AvpDef kSourceId{649, 0, T::kIdentity, false, "SourceID"};
inline constexpr AvpDef kLoad{650, 0, T::kGrouped, false, "Load"};
inline constexpr AvpDef kLoadType{651, 0, T::kEnumerated, false, "Load-Type", 0, 1};
inline constexpr AvpDef kLoadValue{652, 0, T::kUnsigned64, false, "Load-Value"};
// 3GPP TS 29.273 section 9.2.3.5.3: milliseconds that the requester waits for the answer
inline constexpr AvpDef kMaximumWaitTime{1537, kVendor3gpp, T::kUnsigned32, false, "Maximum-Wait-Time"};
// Defined by mintrock; see docs/diameter.md
inline constexpr AvpDef kServerLoad{1, kVendorMintrock, T::kGrouped, false, "Server-Load"};
inline constexpr AvpDef kProcessorWait{2, kVendorMintrock, T::kUnsigned32, false, "Processor-Wait"};  // ms
inline constexpr AvpDef kQueueLength{3, kVendorMintrock, T::kUnsigned32, false, "Queue-Length"};
inline constexpr AvpDef kSpareLines{4, kVendorMintrock, T::kUnsigned32, false, "Spare-Lines"};
inline constexpr AvpDef kTotalLines{5, kVendorMintrock, T::kUnsigned32, false, "Total-Lines"};
inline constexpr AvpDef kRetryAfter{6, kVendorMintrock, T::kUnsigned32, false, "Retry-After"};  // ms
inline constexpr AvpDef kRedialIndicator{7, kVendorMintrock, T::kEnumerated, false, "Redial-Indicator", 0, 2};
inline constexpr AvpDef kLinesRequired{8, kVendorMintrock, T::kUnsigned32, false, "Lines-Required",
                                       1, 1000000};
inline constexpr AvpDef kRefusalCause{9, kVendorMintrock, T::kEnumerated, false, "Refusal-Cause", 1, 4};
}  // namespace avp

// Command codes.
enum CommandCode : std::uint32_t {
  kCapabilitiesExchange = 257,
  kReAuth = 258,
  kCreditControl = 272,
  kAbortSession = 274,
  kDeviceWatchdog = 280,
  kDisconnectPeer = 282
};

inline constexpr std::uint32_t kApplicationBase = 0;
inline constexpr std::uint32_t kApplicationCreditControl = 4;
inline constexpr std::uint32_t kApplicationRelay = 0xFFFFFFFFu;

// Result-Code values, RFC 6733 section 7.1 and RFC 8506 section 9.
enum ResultCode : std::uint32_t {
  kSuccess = 2001,
  kCommandUnsupported = 3001,
  kUnableToDeliver = 3002,
  kRealmNotServed = 3003,
  kTooBusy = 3004,
  kLoopDetected = 3005,
  kApplicationUnsupported = 3007,
  kInvalidHdrBits = 3008,
  kInvalidAvpBits = 3009,
  kUnknownPeer = 3010,
  kElectionLost = 4003,
  kEndUserServiceDenied = 4010,
  kAvpUnsupported = 5001,
  kUnknownSessionId = 5002,
  kInvalidAvpValue = 5004,
  kMissingAvp = 5005,
  kResourcesExceeded = 5006,
  kAvpNotAllowed = 5008,
  kAvpOccursTooManyTimes = 5009,
  kNoCommonApplication = 5010,
  kUnsupportedVersion = 5011,
  kUnableToComply = 5012,
  kInvalidAvpLength = 5014,
  kInvalidMessageLength = 5015
};

// CC-Request-Type, RFC 8506 section 8.3.
enum CcRequestType : std::uint32_t { kInitial = 1, kUpdate = 2, kTermination = 3, kEvent = 4 };

// Returns the dictionary entry of an AVP, or null if it is unknown.
const AvpDef* find_avp(std::uint32_t code, std::uint32_t vendor);

// Whether a single AVP is valid: its flags, length and value.
bool is_well_formed(const AvpView& avp);

bool is_known_command(std::uint32_t command);

// Validates a decoded message against the dictionary and the grammar of its command: unknown AVPs with the M
// bit (5001), flags (3009), lengths for the type (5014), values (5004), AVPs that are missing (5005), occur
// too often (5009) or are not allowed (5008). Grouped AVPs are validated recursively, at most 4 levels deep.
// Unknown commands are not validated.
std::optional<Fault> validate(const MessageView& message);

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_DICTIONARY_HPP_
