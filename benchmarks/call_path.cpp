// What one step of a call costs, without sockets: reading, checking, writing, deciding.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "diameter/codec.hpp"
#include "diameter/dictionary.hpp"
#include "diameter/duplicate_cache.hpp"
#include "edge/call_desk.hpp"
#include "edge/credit_control.hpp"

namespace mintrock::edge {
namespace {

namespace avp = diameter::avp;

std::string setup() {
  diameter::Header header;
  header.flags = diameter::kRequest | diameter::kProxiable;
  header.command = diameter::kCreditControl;
  header.application = diameter::kApplicationCreditControl;
  diameter::Builder b(header);
  b.text(avp::kSessionId, "dock-1.lab.test;17;1").text(avp::kOriginHost, "dock-1.lab.test");
  b.text(avp::kOriginRealm, "lab.test").text(avp::kDestinationRealm, "lab.test");
  b.u32(avp::kAuthApplicationId, 4).text(avp::kServiceContextId, "calls@lab.test");
  b.u32(avp::kCcRequestType, 1).u32(avp::kCcRequestNumber, 0).text(avp::kDestinationHost, "core-0.lab.test");
  b.text(avp::kCalledStationId, "2341234567")
      .u32(avp::kServiceIdentifier, 1)
      .u32(avp::kMaximumWaitTime, 3000);
  return b.finish();
}

void Decode(benchmark::State& state) {
  const std::string frame = setup();
  diameter::MessageView view;
  for (auto _ : state) benchmark::DoNotOptimize(diameter::decode(frame, view));
}
BENCHMARK(Decode);

void Check(benchmark::State& state) {
  const std::string frame = setup();
  diameter::MessageView view;
  diameter::decode(frame, view);
  for (auto _ : state) benchmark::DoNotOptimize(diameter::validate(view));
}
BENCHMARK(Check);

void ReadAndWriteSetup(benchmark::State& state) {
  const std::string frame = setup();
  diameter::MessageView view;
  diameter::decode(frame, view);
  for (auto _ : state) {
    const CallRecord record = read_setup(view, "dock-1.lab.test");
    benchmark::DoNotOptimize(write_setup(record, "core-0.lab.test", 7, false, 2.5));
  }
}
BENCHMARK(ReadAndWriteSetup);

void FullDuplicates(benchmark::State& state) {
  diameter::DuplicateCache seen(100000, 30);
  std::uint32_t id = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(seen.find_or_insert("dock-1.lab.test", ++id, 1));
    seen.store_answer("dock-1.lab.test", id, std::string(200, 'x'));
  }
}
BENCHMARK(FullDuplicates);

struct Nowhere : DeskPorts {
  void answer(CallId, const Verdict&) override {}
  void cut(CallId) override {}
  Handover send_setup(CallId, std::uint32_t, ServerId, double) override { return Handover::kTaken; }
  void release(CallId, std::uint32_t, ServerId) override {}
  void forget(CallId) override {}
  void subscribe() override {}
  void tell_peer(std::uint32_t, const std::vector<Hearsay>&) override {}
  void log(const std::string&) override {}
};

// Offered, decided, stands, ends: the desk and the Controller together.
void DeskCall(benchmark::State& state) {
  Nowhere ports;
  Settings settings;
  settings.classes.resize(1);
  CallDesk desk(settings, 1, 1000, ports);
  desk.start(0);
  ServerList list;
  list.entries.resize(3);
  for (std::uint32_t i = 0; i < 3; ++i) list.entries[i].id = i + 1;
  desk.list(list, 0);
  double now = 1;
  for (auto _ : state) {
    now += 0.001;
    const CallId id = desk.next_call();
    Offer offer;
    offer.ttl_s = 3;
    desk.offer(id, offer, now);
    desk.stood(id, 0, {}, now + 0.0005);
    desk.hang_up(id, now + 0.0006);
    desk.tick(now + 0.0006);
  }
}
BENCHMARK(DeskCall);

}  // namespace
}  // namespace mintrock::edge
