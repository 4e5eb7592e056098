// One of two edge proxies is killed, and while it is down one of four core servers is lost for 5 s and returns as a new process. The
// list that the proxy starts with tells of that start. A call that stood there before is named with `at`. It
// was cut, and its caller has to be told.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double kToldWithin = 8.0 + 0.05;  // s; counted from the hand-over, later than the page does

std::vector<std::string> run(const Setting& setting) {
  const std::string ip = own_ip(1);
  Bus bus(ip);
  const auto cores = core_servers(ip, 4);
  Core& first = *cores[0];
  Edge edge(setting.root, setting.temporary, ip);
  const json site = settings(usual_classes(), 2);
  edge.start(config(edge, bus, bus.known(serving(cores)), site));
  const Others others(setting, ip, 1, serving(cores), site);
  Callers callers(edge.listen);
  const std::string standing = call_id(1);
  std::map<std::string, double> told;
  std::set<std::string> stood;
  callers.on_message = [&](int, const Message& message) {
    if (message.type == 9) stood.insert(message.call);
    if (message.type == 12) told.emplace(message.call, now());
  };
  callers.admit();
  callers.set_up(callers.connect(), standing, "unlock", 3000);
  Loop::get().run_until(now() + 1);
  if (stood.count(standing) == 0) throw CannotRun("the call does not stand");

  edge.signal(SIGKILL);
  Loop::get().run_until(now() + 2, [&] { return edge.ended(); });
  callers.close_all();
  Loop::get().run_until(now() + 0.2);
  if (setting.trouble) first.die();
  Loop::get().run_until(now() + 5.0);
  if (setting.trouble) {
    first.start();
    first.born_ms = unix_ms();
  }
  // The list knows of a start after 0.44 to 2.2 s.
  Loop::get().run_until(now() + 1.0);

  edge.start(config(edge, bus, bus.known(serving(cores)), site));
  callers.admit();
  callers.set_up(callers.connect(), standing, "unlock", 3000, "dest:0;width:1;via:-1;at:" + first.id);
  const double handed_over = now();
  double ended = handed_over;
  if (!setting.trouble) {
    Loop::get().run_until(now() + 1.0);
    first.end(standing, 16);
    ended = now();
  }
  Loop::get().run_until(ended + kToldWithin + 1, [&] { return told.count(standing) != 0; });
  if (told.count(standing) != 0 && told.at(standing) <= ended + kToldWithin) return {};
  return {"lost: the caller of " + standing + " was not told in " + std::to_string(kToldWithin) +
          " s after the hand-over that its call is over"};
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, run); }
