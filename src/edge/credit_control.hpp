// Conversion between Credit-Control messages (RFC 8506) and the program's own structures, for set-ups,
// terminations, answers and cuts. docs/diameter.md lists the AVPs.
//
// Pure: converts messages, does no I/O and reads no clock.
#ifndef MINTROCK_SRC_EDGE_CREDIT_CONTROL_HPP_
#define MINTROCK_SRC_EDGE_CREDIT_CONTROL_HPP_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "diameter/codec.hpp"
#include "diameter/dictionary.hpp"
#include "diameter/peer.hpp"
#include "mintrock/controller.hpp"

namespace mintrock::edge {

// The contents of a set-up request, independent of the front end that received it.
struct CallRecord {
  std::string from_peer;  // the peer that sent the request, for Route-Record (RFC 6733 6.1.9)
  std::string session_id;
  std::string origin_host;
  std::string origin_realm;
  std::string destination_realm;
  std::string destination_host;  // the caller's preferred core server; empty: none
  std::string service_context;
  std::string called;  // the called number; empty: none
  std::optional<std::uint32_t> service_identifier;
  std::optional<std::uint32_t> max_wait_ms;
  std::uint32_t lines = 1;
  std::uint32_t redial = 0;  // 0: first try, 1: redial, 2: redial after the call was cut
  std::uint32_t end_to_end = 0;
  std::uint32_t request_number = 0;
  diameter::Header header;     // of the request; the answer repeats its identifiers
  std::string proxy_info;      // encoded Proxy-Info AVPs, copied into the answer
  std::string forwarded_avps;  // encoded AVPs that are sent to the core server unchanged
};

// Reads a CCR received from `from_peer`. The message must have passed the dictionary check.
CallRecord read_setup(const diameter::MessageView& request, const std::string& from_peer = "");

std::uint32_t request_type(const diameter::MessageView& message);  // CC-Request-Type; 0: none
std::string session_of(const diameter::MessageView& message);      // Session-Id; empty: none

// Encodes a set-up for a core server. `repeated` sets the T flag. `plain` restricts the message to AVPs of
// RFC 6733 and RFC 8506, for core servers that can't ignore unknown AVPs.
std::string write_setup(const CallRecord& call, const std::string& server, std::uint32_t hop_by_hop,
                        bool repeated, double give_up_after_s, bool plain = false);

// Encodes the release of a call or an attempt for a core server: CCR TERMINATION.
std::string write_termination(const CallRecord& call, const std::string& server, std::uint32_t hop_by_hop,
                              std::uint32_t end_to_end);

// The answer to a set-up. The origin is the core server that holds the call, or else this node.
struct SetupAnswer {
  std::uint32_t result = diameter::kUnableToComply;
  std::string origin_host;
  std::string origin_realm;
  double retry_after_s = 0;  // 0: none
  std::string text;          // Error-Message
  std::string failed_avp;    // data of the Failed-AVP; empty: none
};
std::string write_setup_answer(const CallRecord& call, const SetupAnswer& answer);

// Encodes a DIAMETER_SUCCESS answer to any CCR or ASR.
std::string write_success(const diameter::MessageView& request, const diameter::LocalNode& local);

// Encodes the notification of a cut call for its caller: ASR (RFC 6733 section 8.5.1).
std::string write_abort(const CallRecord& call, const diameter::LocalNode& local, std::uint32_t hop_by_hop,
                        std::uint32_t end_to_end);

// The contents of a core server's answer, with its Result-Code interpreted.
struct CoreAnswer {
  std::uint32_t result = 0;  // 0: the answer has no Result-Code
  bool established = false;
  Outcome outcome = Outcome::kError;
  Cause cause = Cause::kNone;
  double advised_wait_s = 0;  // how long to wait before the server is used again; 0: no advice
  Report report;
  std::optional<double> load;  // host load by RFC 8583, 0 to 1
  std::string failed_avp;      // data of the first Failed-AVP
  std::string text;            // Error-Message
};
CoreAnswer read_core_answer(const diameter::MessageView& answer);

// Writes the Server-Load group of a core server's answer.
void write_report(diameter::Builder& builder, const Report& report);

// A hash that does not depend on the process: 0 for an empty text, never 0 for another one.
std::uint64_t stable_hash(std::string_view text);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CREDIT_CONTROL_HPP_
