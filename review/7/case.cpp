// A new configuration moves the event bus. The new one is slow: it begins its answer to each request 3 s after
// that came. A core server begins to drain. 4 s after SIGHUP that counts as told, and 250 ms later nothing new
// may be sent there.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr double kSlow = 3.0;                 // s from a request to the first byte of its answer
constexpr double kTold = 4.0;                 // s after SIGHUP
constexpr double kGrace = 0.25 + 0.05;        // s
constexpr double kWatched = 20.0;             // s after SIGHUP

std::vector<std::string> run(const Setting& setting) {
  const std::string ip = own_ip(1);
  Bus bus(ip);
  const auto cores = core_servers(ip, 4);
  Core& second = *cores[1];
  Edge edge(setting.root, setting.temporary, ip);
  const json site = settings(usual_classes());
  const json known = bus.known(serving(cores));
  edge.start(config(edge, bus, known, site));
  Callers callers(edge.listen);
  callers.admit();
  const int link = callers.connect();
  for (const auto& each : cores) {
    Core* const core = each.get();
    core->on_stands = [core](const std::string& call) {
      after(7.5, [core, call] {
        if (core->calls.count(call) != 0) core->end(call, 16);
      });
    };
  }
  std::uint64_t number = 0;
  std::function<void()> calls = [&] {
    const std::uint64_t n = ++number;
    callers.set_up(link, call_id(n), "dock-status", 3000, "dest:" + std::to_string(n % 4) + ";width:1;via:-1");
    after(0.1, calls);
  };
  calls();
  Loop::get().run_until(now() + 2);

  bus.move();
  if (setting.trouble) bus.response_delay = kSlow;
  edge.write_config(config(edge, bus, known, site));
  edge.signal(SIGHUP);
  const double reloaded = now();
  // A client that waits, to see when the bus tells.
  double heard = -1;
  std::string text;
  const auto waiting = Conn::open(bus.addr);
  waiting->on_open = [&] { waiting->write("GET /bus/read HTTP/1.1\r\nLast-Event-ID: 1\r\n\r\n"); };
  waiting->on_bytes = [&](const std::string& bytes) {
    text += bytes;
    if (heard < 0 && text.find("DRAINING") != std::string::npos) {
      heard = now() - reloaded;
      note("other client", "has the event " + std::to_string(heard) + " s after SIGHUP");
    }
  };
  Loop::get().run_until(reloaded + 0.5);
  const std::uint64_t before = second.setups;
  if (before == 0) throw CannotRun("no set-up reached the second core server");
  bus.publish({second.host("DRAINING")});
  int late = 0;
  double first_late = 0;
  double last_late = 0;
  second.on_arrived = [&](const std::string&) {
    const double at = now() - reloaded;
    if (at <= kTold + kGrace) return;
    if (++late == 1) first_late = at;
    last_late = at;
  };
  Loop::get().run_until(reloaded + kWatched);
  if (heard < 0 || heard > kTold) throw CannotRun("the bus did not tell in time");
  if (edge.ended()) throw CannotRun("the proxy has ended");
  if (late == 0) return {};
  return {"drain: " + std::to_string(late) + " set-ups reached the draining core server, " +
          std::to_string(first_late) + " to " + std::to_string(last_late) + " s after SIGHUP"};
}

}  // namespace

int main(int argc, char** argv) { return run_case(argc, argv, run); }
