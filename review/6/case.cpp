// An answer stops short and its connection stays open, of no further use. A call that was set up on the same
// connection earlier, and stands, comes to its end. Its caller has to be told within 8 s.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double kToldWithin = 8.0 + 0.05;  // s from the end of the call

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
  const std::string standing = call_id(1);  // stands, and ends
  const std::string spoilt = call_id(2);    // its answer stops short
  std::map<std::string, double> told;
  callers.on_message = [&](int, const Message& message) {
    if (message.type == 12) told.emplace(message.call, now());
  };
  callers.admit();
  const int link = callers.connect();

  first.on_setup = [&](int on, const std::string& call, const json&) {
    if (call != spoilt || !setting.trouble || first.calls.at(call).stands || told.count(call) != 0) return false;
    static bool done = false;
    if (std::exchange(done, true)) return false;
    note(first.id, "the answer of " + call + " stops short on connection " + std::to_string(on));
    first.calls.at(call).stands = true;  // it has run
    first.write(on, R"({"type":"answer","id":")" + call + R"(","fields":{},"sd)");
    after(0.01, [&first, on] { first.make_useless(on); });
    return true;
  };
  // Other calls, one a second, last 7.5 s each.
  for (Core* core : {&first, &second}) {
    core->on_stands = [&, core](const std::string& call) {
      if (call == standing || call == spoilt) return;
      after(7.5, [core, call] {
        if (core->calls.count(call) != 0) core->end(call, 16);
      });
    };
  }
  int number = 100;
  std::function<void()> others = [&] {
    const int n = number++;
    callers.set_up(link, call_id(static_cast<std::uint64_t>(n)), "dock-status", 3000,
                   "dest:" + std::to_string(n % 2) + ";width:1;via:-1");
    after(1.0, others);
  };

  callers.set_up(link, standing, "unlock", 3000);
  Loop::get().run_until(now() + 1);
  callers.set_up(link, spoilt, "unlock", 3000);
  after(0.5, others);
  Loop::get().run_until(now() + 6);
  if (first.calls.count(standing) == 0 || !first.calls.at(standing).stands) throw CannotRun("the call does not stand");
  first.end(standing, 16);
  const double ended = now();
  Loop::get().run_until(ended + kToldWithin + 1, [&] { return told.count(standing) != 0; });
  if (told.count(standing) == 0)
    return {"lost: the caller of " + standing + " was not told in " + std::to_string(kToldWithin + 1) +
            " s that its call is over"};
  const double after_s = told.at(standing) - ended;
  note("case", "told " + std::to_string(after_s) + " s after the end");
  if (after_s > kToldWithin) return {"lost: the caller of " + standing + " was told too late"};
  return {};
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, run); }
