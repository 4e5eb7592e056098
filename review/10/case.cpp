// An edge proxy is restarted by SIGTERM while a core server is replaced: it drains, stops and is removed from
// the list between the end of the one process and the start of the next. A call that stood there is named to
// the new process with `at`. Its caller has to be told within 8 s of the end of the call.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double kToldWithin = 8.0 + 0.05;  // s from the end of the call
constexpr double kKilled = 3.0 + 0.7;       // s after SIGTERM
constexpr double kDown = 3.0;               // s from the end of the call to the start of the next process

std::vector<std::string> run(const Setting& setting) {
  const std::string ip = own_ip(1);
  Bus bus(ip);
  Core first("s-00c41f7a", {ip, 0});
  Core second("s-01d52e8b", {ip, 0});
  second.block = 1;
  Edge edge(setting.root, setting.temporary, ip);
  const json site = settings(usual_classes());
  edge.start(config(edge, bus, bus.known({first.host("SERVING"), second.host("SERVING")}), site));
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
  Loop::get().run_until(now() + 1.0);
  if (stood.count(standing) == 0) throw CannotRun("the call does not stand");
  if (setting.trouble) bus.publish({first.host("DRAINING")});
  Loop::get().run_until(now() + 0.5);

  edge.signal(SIGTERM);
  Loop::get().run_until(now() + kKilled, [&] { return edge.ended(); });
  if (!edge.ended()) throw CannotRun("the proxy did not end");
  callers.close_all();
  Loop::get().run_until(now() + 0.2);
  double ended = now();
  std::vector<json> hosts{second.host("SERVING")};
  std::unique_ptr<Core> replacement;
  if (setting.trouble) {
    first.die();  // cuts the call
    replacement = std::make_unique<Core>("s-02e63f9c", Addr{ip, 0});
    replacement->born_ms = unix_ms();
    hosts.push_back(replacement->host("SERVING"));
  } else {
    hosts.push_back(first.host("SERVING"));
  }
  Loop::get().run_until(ended + kDown);

  edge.start(config(edge, bus, bus.known(hosts), site));
  callers.admit();
  callers.set_up(callers.connect(), standing, "unlock", 3000, "dest:0;width:1;via:-1;at:" + first.id);
  const double handed_over = now();
  if (!setting.trouble) {
    Loop::get().run_until(now() + 1.0);
    first.end(standing, 16);
    ended = now();
  }
  Loop::get().run_until(ended + 14, [&] { return told.count(standing) != 0; });
  if (told.count(standing) == 0) return {"lost: the caller of " + standing + " was not told in 14 s"};
  const std::string when = std::to_string(told.at(standing) - ended) + " s after the end of the call and " +
                           std::to_string(told.at(standing) - handed_over) + " s after it was named";
  note("case", "told " + when);
  if (told.at(standing) <= ended + kToldWithin) return {};
  return {"lost: the caller of " + standing + " was told " + when};
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, run); }
