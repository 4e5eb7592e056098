// Calls as the Credit-Control application carries them (RFC 8506): set-ups, ends, answers and cuts, read into
// this program's terms and written from them. docs/diameter.md has the table.
//
// Pure: messages in, messages out.
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

// What a set-up says, whichever front it came through.
struct CallRecord {
  std::string from_peer;  // whom it came from, for Route-Record (RFC 6733 6.1.9)
  std::string session_id;
  std::string origin_host;
  std::string origin_realm;
  std::string destination_realm;
  std::string destination_host;  // the first choice; empty: none
  std::string service_context;
  std::string called;  // the number; empty: none
  std::optional<std::uint32_t> service_identifier;
  std::optional<std::uint32_t> max_wait_ms;
  std::uint32_t lines = 1;
  std::uint32_t redial = 0;  // 0 first try, 1 redialled, 2 was cut and comes again
  std::uint32_t end_to_end = 0;
  std::uint32_t request_number = 0;
  diameter::Header header;  // of the request, for its answer
  std::string proxy_info;   // encoded AVPs, for its answer
  std::string passed_on;    // encoded AVPs that go to the core server as they came
};

// Reads a CCR that passed the dictionary's check, and came from that peer.
CallRecord read_setup(const diameter::MessageView& request, const std::string& from_peer = "");

std::uint32_t request_type(const diameter::MessageView& message);  // CC-Request-Type; 0: none
std::string session_of(const diameter::MessageView& message);      // Session-Id; empty: none

// A set-up toward a core server. `plain`: only AVPs of RFC 6733 and RFC 8506, for one that can't pass over
// others.
std::string write_setup(const CallRecord& call, const std::string& server, std::uint32_t hop_by_hop,
                        bool repeated, double give_up_after_s, bool plain = false);

// The end of a call, or of an attempt, toward a core server: CCR TERMINATION.
std::string write_termination(const CallRecord& call, const std::string& server, std::uint32_t hop_by_hop,
                              std::uint32_t end_to_end);

// The answer to a set-up. `origin`: the core server where the call stands, else this node.
struct SetupAnswer {
  std::uint32_t result = diameter::kUnableToComply;
  std::string origin_host;
  std::string origin_realm;
  double retry_after_s = 0;  // 0: none
  std::string text;          // Error-Message
  std::string failed_avp;    // data of the Failed-AVP; empty: none
};
std::string write_setup_answer(const CallRecord& call, const SetupAnswer& answer);

// A success for any CCR or ASR.
std::string write_success(const diameter::MessageView& request, const diameter::LocalNode& local);

// A cut toward the caller: ASR (RFC 6733 section 8.5.1).
std::string write_abort(const CallRecord& call, const diameter::LocalNode& local, std::uint32_t hop_by_hop,
                        std::uint32_t end_to_end);

// What a core server's answer to a set-up says.
struct CoreAnswer {
  std::uint32_t result = 0;  // 0: it has none
  bool established = false;
  Outcome outcome = Outcome::kError;
  Cause cause = Cause::kNone;
  double advised_wait_s = 0;
  Report report;
  std::optional<double> load;  // RFC 8583, of the host, 0 to 1
  std::string failed_avp;      // data of the first Failed-AVP
  std::string text;            // Error-Message
};
CoreAnswer read_core_answer(const diameter::MessageView& answer);

// The Server-Load group of a core server's answer.
void write_report(diameter::Builder& builder, const Report& report);

// A stable number for a called number; never 0.
std::uint64_t key_of(std::string_view called);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_CREDIT_CONTROL_HPP_
