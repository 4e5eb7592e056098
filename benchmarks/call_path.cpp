// Benchmarks of the steps of a call, without sockets: decoding, validating, encoding, deciding.
#include <benchmark/benchmark.h>

#include <string>
#include <vector>

#include "diameter/codec.hpp"
#include "diameter/dictionary.hpp"
#include "diameter/duplicate_cache.hpp"
#include "edge/call_manager.hpp"
#include "edge/credit_control.hpp"

namespace mintrock::edge {
namespace {

namespace avp = diameter::avp;

std::string make_setup() {
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
  const std::string frame = make_setup();
  diameter::MessageView view;
  for (auto _ : state) benchmark::DoNotOptimize(diameter::decode(frame, view));
}
BENCHMARK(Decode);

void Validate(benchmark::State& state) {
  const std::string frame = make_setup();
  diameter::MessageView view;
  diameter::decode(frame, view);
  for (auto _ : state) benchmark::DoNotOptimize(diameter::validate(view));
}
BENCHMARK(Validate);

void ReadAndWriteSetup(benchmark::State& state) {
  const std::string frame = make_setup();
  diameter::MessageView view;
  diameter::decode(frame, view);
  for (auto _ : state) {
    const CallRecord record = read_setup(view, "dock-1.lab.test");
    benchmark::DoNotOptimize(write_setup(record, "core-0.lab.test", 7, false, 2.5));
  }
}
BENCHMARK(ReadAndWriteSetup);

void FullDuplicateCache(benchmark::State& state) {
  diameter::DuplicateCache cache(100000, 30);
  std::uint32_t id = 0;
  for (auto _ : state) {
    benchmark::DoNotOptimize(cache.find_or_insert("dock-1.lab.test", ++id, 1));
    cache.store_answer("dock-1.lab.test", id, std::string(200, 'x'));
  }
}
BENCHMARK(FullDuplicateCache);

struct NullDelegate : CallManagerDelegate {
  void answer(CallId, const SetupResult&) override {}
  void cut(CallId) override {}
  SendResult send_setup(CallId, std::uint32_t, ServerId, double) override { return SendResult::kAccepted; }
  void release(CallId, std::uint32_t, ServerId) override {}
  void forget(CallId) override {}
  void subscribe() override {}
  void send_gossip(std::uint32_t, const std::vector<GossipEntry>&) override {}
  void log(const std::string&) override {}
};

// A complete call through the call manager and the Controller: offered, decided, established, ended.
void CompleteCall(benchmark::State& state) {
  NullDelegate delegate;
  Settings settings;
  settings.classes.resize(1);
  CallManager call_manager(settings, 1, 1000, delegate);
  call_manager.start(0);
  ServerList list;
  list.entries.resize(3);
  for (std::uint32_t i = 0; i < 3; ++i) list.entries[i].id = i + 1;
  call_manager.update_servers(list, 0);
  double now = 1;
  for (auto _ : state) {
    now += 0.001;
    const CallId id = call_manager.next_call_id();
    CallRequest request;
    request.ttl_s = 3;
    call_manager.offer(id, request, now);
    call_manager.on_established(id, 0, {}, now + 0.0005);
    call_manager.hang_up(id, now + 0.0006);
    call_manager.tick(now + 0.0006);
  }
}
BENCHMARK(CompleteCall);

}  // namespace
}  // namespace mintrock::edge
