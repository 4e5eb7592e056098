// Interfaces between the protocol front ends of the caller side and the proxy: a front end offers calls and
// receives the result of each exactly once.
#ifndef MINTROCK_SRC_EDGE_FRONT_HPP_
#define MINTROCK_SRC_EDGE_FRONT_HPP_

#include <optional>
#include <string>

#include "edge/call_manager.hpp"
#include "edge/core_side.hpp"
#include "edge/credit_control.hpp"

namespace mintrock::edge {

// The services that the proxy provides to front ends.
class FrontDelegate {
 public:
  virtual ~FrontDelegate() = default;
  virtual CallId next_call_id() = 0;
  // Return the error to answer with if the proxy does not serve the request: its realm is not served or, for
  // set-ups, its class is unknown.
  virtual std::optional<diameter::Fault> validate_realm(const CallRecord& record) = 0;
  virtual std::optional<diameter::Fault> validate_setup(const CallRecord& record) = 0;
  // Takes over a call and offers it to the call manager; calls front.answer() once, possibly before
  // returning.
  virtual void offer(class Front& front, CallId call, RecordPtr record, bool peer_reopening) = 0;
  // The caller ends the call, or abandons it while pending. Returns true if a core server will confirm the
  // end with Front::on_release_confirmed().
  virtual bool hang_up(CallId call) = 0;
  // Ends a call that is unknown to this proxy at the core server that the record names, or at all of them if
  // it names none. Returns how many servers will confirm the end.
  virtual std::uint32_t forward_termination(const CallRecord& record) = 0;
  virtual const std::string& identity_of(ServerId server) = 0;
  // The core server's answer to the call's last attempt, where the result is kRejected.
  virtual const CoreAnswer& rejection_of(CallId call) = 0;
};

// A protocol front end.
class Front {
 public:
  virtual ~Front() = default;
  virtual void answer(CallId call, const SetupResult& result) = 0;
  virtual void cut(CallId call) = 0;     // the core side ended the established call
  virtual void forget(CallId call) = 0;  // no further callback follows
  // A core server confirms the end of a session: it has ended it, or (`ended` false) does not know it.
  virtual void on_release_confirmed(const std::string& session, bool ended) = 0;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_FRONT_HPP_
