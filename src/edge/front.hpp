// What every front has in common, whatever protocol it speaks: it offers calls to the desk and is told, once,
// what became of each.
#ifndef MINTROCK_SRC_EDGE_FRONT_HPP_
#define MINTROCK_SRC_EDGE_FRONT_HPP_

#include <string>

#include "edge/call_desk.hpp"
#include "edge/core_side.hpp"
#include "edge/credit_control.hpp"

namespace mintrock::edge {

// The side of the program that fronts talk to.
class Switchboard {
 public:
  virtual ~Switchboard() = default;
  virtual CallId next_call() = 0;
  // Takes a call over and offers it to the desk; the front's `answer` comes once, maybe before this returns.
  //
  virtual void offer(class Front& front, CallId call, RecordPtr record, bool peer_on_trial) = 0;
  // The caller ends the call, or waits no more. False: not known.
  virtual bool hang_up(CallId call) = 0;
  // A call that this proxy doesn't know ends at the core server that it names.
  virtual bool pass_termination(const CallRecord& record) = 0;
  virtual const std::string& identity_of(ServerId server) = 0;
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void answer(CallId call, const Verdict& verdict) = 0;
  virtual void cut(CallId call) = 0;     // it stood, and the core side ended it
  virtual void forget(CallId call) = 0;  // nothing more comes for it
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_FRONT_HPP_
