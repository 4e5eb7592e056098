// One of twenty core servers hangs for 6.5 s, and one of ten edge proxies is restarted by SIGTERM meanwhile. When the core server
// goes on, it sends the end of a call that came to its end meanwhile on the call's connection, and again on
// the next one that was opened. Both go to the proxy that is ending. The call is named to its successor with
// `at`. Its caller has to be told that it is over.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double kToldWithin = 8.0 + 0.05;  // s; counted from the hand-over, later than the page does
constexpr double kKilled = 3.0 + 0.7;       // s after SIGTERM

std::vector<std::string> run(const Setting& setting) {
  const std::string ip = own_ip(1);
  Bus bus(ip);
  const auto cores = core_servers(ip, 20);
  Core& first = *cores[0];
  Edge edge(setting.root, setting.temporary, ip);
  const json site = settings(usual_classes(), 10);
  const std::vector<json> hosts= serving(cores);
  edge.start(config(edge, bus, bus.known(hosts), site));
  const Others others(setting, ip, 9, hosts, site);
  Callers callers(edge.listen);
  const std::string standing = call_id(1);
  const std::string last = call_id(2);  // the last set-up before the proxy ends
  std::map<std::string, double> told;
  std::set<std::string> stood;
  callers.on_message = [&](int, const Message& message) {
    if (message.type == 9) stood.insert(message.call);
    if (message.type == 12) told.emplace(message.call, now());
  };
  callers.admit();
  const int link = callers.connect();
  // Both calls last 7.7 s; the first one ends 0.5 s after the hang began.
  first.on_stands = [&](const std::string& call) {
    first.act(7.7, [&first, call] {
      if (first.calls.count(call) != 0) first.end(call, 16);
    });
  };
  callers.set_up(link, standing, "unlock", 3000);
  Loop::get().run_until(now() + 7.2);
  if (stood.count(standing) == 0) throw CannotRun("the call does not stand");

  const double start = now();
  if (setting.trouble) first.hang();
  Loop::get().run_until(start + 3.0);
  edge.signal(SIGTERM);
  const double terminated = now();
  // New connections keep coming for 0.2 to 0.4 s.
  Loop::get().run_until(terminated + 0.35);
  callers.set_up(callers.connect(), last, "unlock", 2700);
  Loop::get().run_until(start + 6.5);
  if (setting.trouble) first.resume();
  Loop::get().run_until(terminated + kKilled, [&] { return edge.ended(); });
  if (!edge.ended()) {
    edge.signal(SIGKILL);
    Loop::get().run_until(now() + 2, [&] { return edge.ended(); });
  }
  callers.close_all();
  Loop::get().run_until(now() + 0.3);

  edge.start(config(edge, bus, bus.known(hosts), site));
  callers.admit();
  const int next = callers.connect();
  const double handed_over = now();
  for (const std::string& call : stood) {
    if (told.count(call) == 0) callers.set_up(next, call, "unlock", 3000, "dest:0;width:1;via:-1;at:" + first.id);
  }
  Loop::get().run_until(handed_over + kToldWithin + 1, [&] {
    return told.count(standing) != 0 && now() > handed_over + 1;
  });
  if (told.count(standing) != 0 && told.at(standing) <= handed_over + kToldWithin) return {};
  return {"lost: the caller of " + standing + " was not told in " + std::to_string(kToldWithin) +
          " s after the hand-over that its call is over"};
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, run); }
