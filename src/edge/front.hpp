// What every front has in common, whatever protocol it speaks: it offers calls to the desk and is told, once,
// what became of each.
#ifndef MINTROCK_SRC_EDGE_FRONT_HPP_
#define MINTROCK_SRC_EDGE_FRONT_HPP_

#include <optional>
#include <string>

#include "edge/call_manager.hpp"
#include "edge/core_side.hpp"
#include "edge/credit_control.hpp"

namespace mintrock::edge {

// The side of the program that fronts talk to.
class FrontDelegate {
 public:
  virtual ~FrontDelegate() = default;
  virtual CallId next_call_id() = 0;
  // Whether the request is served here at all; else its answer: a realm that is not served, and, of set-ups,
  // an unknown class.
  virtual std::optional<diameter::Fault> validate_realm(const CallRecord& record) = 0;
  virtual std::optional<diameter::Fault> validate_setup(const CallRecord& record) = 0;
  // Takes a call over and offers it to the desk; the front's `answer` comes once, maybe before this returns.
  //
  virtual void offer(class Front& front, CallId call, RecordPtr record, bool peer_reopening) = 0;
  // The caller ends the call, or waits no more. True: a core server is to confirm it, see Front::released.
  virtual bool hang_up(CallId call) = 0;
  // A call that this proxy doesn't know ends at the core server that it names; where it names none, all are
  // asked. How many are to confirm it.
  virtual std::uint32_t forward_termination(const CallRecord& record) = 0;
  virtual const std::string& identity_of(ServerId server) = 0;
  // What a core server answered to the call's last attempt; where its verdict is kRejected.
  virtual const CoreAnswer& rejection_of(CallId call) = 0;
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void answer(CallId call, const SetupResult& result) = 0;
  virtual void cut(CallId call) = 0;     // it stood, and the core side ended it
  virtual void forget(CallId call) = 0;  // nothing more comes for it
  // A core server confirms the end of a session: it has ended it, or knows of none.
  virtual void on_release_confirmed(const std::string& session, bool ended) = 0;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_FRONT_HPP_
