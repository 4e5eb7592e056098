// The answer of a call never arrives, and its connection is of no further use. The call has run and comes to its
// end; its caller gets a final answer when its time is out. The core server repeats the end on the next connection
// that is opened, 17 s later. The caller has had its one final answer: nothing more may be sent for the call.
#include "stand.hpp"

using namespace stand;

namespace {

std::vector<std::string> run(const Setting& setting) {
  const std::string ip = own_ip(1);
  Bus bus(ip);
  Core first("s-00c41f7a", {ip, 0});
  Core second("s-01d52e8b", {ip, 0});
  second.block = 1;
  Edge edge(setting.root, setting.temporary, ip);
  edge.start(config(edge, bus, bus.known({first.host("SERVING"), second.host("SERVING")}),
                    settings(usual_classes())));
  Callers callers(edge.listen);
  const std::string unanswered = call_id(1);
  bool stood = false;
  int finals = 0;  // final answers of the call: an answer, or a release before one
  double first_final = 0;
  std::vector<std::string> broken;
  callers.on_message = [&](int, const Message& message) {
    if (message.call != unanswered || (message.type != 9 && message.type != 12)) return;
    if (message.type == 12 && stood) return;  // the end of a call that stood
    if (message.type == 9) stood = true;
    if (++finals == 1) {
      first_final = now();
      return;
    }
    broken.push_back("lost: " + unanswered + " got a second final answer " + std::to_string(now() - first_final) +
                     " s after the first, a release with cause " + std::to_string(message.cause()));
  };
  callers.admit();
  const int link = callers.connect();
  first.on_setup = [&](int on, const std::string& call, const json&) {
    if (call != unanswered || !setting.trouble) return false;
    note(first.id, call + " stands, its answer never arrives on connection " + std::to_string(on));
    first.calls.at(call).stands = true;
    first.on_stands(call);
    after(0.01, [&first, on] { first.make_useless(on); });
    return true;
  };
  for (Core* core : {&first, &second}) {
    core->on_stands = [core](const std::string& call) {
      core->act(7.5, [core, call] {
        if (core->calls.count(call) != 0) core->end(call, 16);
      });
    };
  }
  // A quiet time: one call in two seconds, to the other core server.
  std::uint64_t number = 100;
  std::function<void()> quiet = [&] {
    callers.set_up(link, call_id(number++), "dock-status", 3000, "dest:1;width:1;via:-1");
    after(2.0, quiet);
  };
  callers.set_up(link, unanswered, "unlock", 9000);
  after(1.0, quiet);
  Loop::get().run_until(now() + 10);
  if (finals != 1) throw CannotRun("the call has no final answer");
  // 17 s after the final answer more calls come, the last ones at once.
  Loop::get().run_until(first_final + 17);
  for (std::uint64_t n = 2; n < 10; ++n) {
    callers.set_up(link, call_id(n), "unlock", 3000);
    Loop::get().run_until(now() + 0.1);
  }
  for (std::uint64_t n = 10; n < 16; ++n) callers.set_up(link, call_id(n), "unlock", 3000);
  Loop::get().run_until(now() + 3);
  return broken;
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, run); }
