// mintrock_drill: runs many Controllers, one per instance, behind the simulator's wire protocol on standard
// input and output. It makes no decisions of its own.
#include <algorithm>
#include <cstdio>
#include <exception>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "bench/wire.hpp"
#include "mintrock/controller.hpp"

namespace {

using mintrock::Action;
using mintrock::Controller;
using mintrock::Event;
using mintrock::Time;
namespace wire = mintrock::wire;

struct Instance {
  std::unique_ptr<Controller> controller;
  std::vector<wire::Field> fields;
};

class InstanceHost {
 public:
  std::string process_batch(const wire::Header& header, std::string_view body) {
    actions_.clear();
    now_ = header.now;
    current_ = -1;
    for (const wire::Record& record : wire::parse_batch(body)) {
      std::visit([this](const auto& r) { apply(r); }, record);
    }
    wire::Reply reply;
    for (const auto& [instance, actions] : actions_) reply.add(instance, actions);
    return reply.frame(header.batch);
  }

 private:
  std::uint16_t current_number() const {
    if (current_ < 0) throw wire::WireError("an event before any FOR record");
    return static_cast<std::uint16_t>(current_);
  }
  Instance& instance() {
    const auto found = instances_.find(current_number());
    if (found == instances_.end()) throw wire::WireError("an event for an instance that is not running");
    return found->second;
  }
  void deliver(const Event& event) { instance().controller->handle(now_, event, actions_[current_number()]); }

  void apply(const wire::ForInstance& r) { current_ = r.instance; }
  void apply(const wire::PowerOn& r) {
    wire::InstanceSettings parsed = wire::parse_settings(r.settings);
    instances_[current_number()] = {std::make_unique<Controller>(parsed.settings, r.seed),
                                    std::move(parsed.report_fields)};
    deliver(mintrock::Started{});
  }
  // Also drops the actions that the halted instance requested earlier in this batch.
  void apply(const wire::Halt&) {
    instances_.erase(current_number());
    actions_.erase(current_number());
  }
  void apply(const wire::ServerRows& r) { lists_[r.buffer] = r.entries; }
  void apply(const wire::Topology& r) {
    mintrock::ServerList list;
    list.mode = r.mode;
    if (r.mode != mintrock::ServerList::Mode::kFailed) {
      const auto found = lists_.find(r.buffer);
      if (found == lists_.end()) throw wire::WireError("TOPOLOGY names a list buffer that was never sent");
      list.entries = found->second;
    }
    deliver(list);
  }
  void apply(const wire::Finished& r) {
    mintrock::AttemptEnded ended = r.ended;
    ended.report = wire::make_report(instance().fields, r.telemetry);
    deliver(ended);
  }
  void apply(const wire::ProbeDone& r) {
    deliver(mintrock::LoadNotice{r.server, wire::make_report(instance().fields, r.telemetry)});
  }
  void apply(const wire::PeerMessage& r) { deliver(r.news); }
  void apply(const mintrock::NewCall& r) { deliver(r); }
  void apply(const mintrock::SetupStood& r) { deliver(r); }
  void apply(const mintrock::CallAbandoned& r) { deliver(r); }
  void apply(const mintrock::TimerFired& r) { deliver(r); }

  std::map<std::uint16_t, Instance> instances_;
  std::map<std::uint8_t, std::vector<mintrock::ServerEntry>> lists_;
  std::map<std::uint16_t, std::vector<Action>> actions_;  // of the current batch, by instance
  Time now_ = 0;
  int current_ = -1;
};

// Returns false at the end of the input if may_end is set; an end within a frame throws.
bool read_exactly(std::string& buffer, std::size_t size, bool may_end) {
  buffer.resize(size);
  const std::size_t got = std::fread(buffer.data(), 1, size, stdin);
  if (got == 0 && size > 0 && may_end && std::feof(stdin)) return false;
  if (got != size) throw wire::WireError("input ends inside a frame");
  return true;
}

// Reads in chunks, so that a wrong length fails at the end of the input instead of allocating all memory.
void read_body(std::string& body, std::size_t size) {
  constexpr std::size_t kChunkSize = 1 << 20;
  body.clear();
  std::string chunk;
  while (body.size() < size) {
    read_exactly(chunk, std::min(kChunkSize, size - body.size()), false);
    body += chunk;
  }
}

}  // namespace

int main() {
  try {
    InstanceHost host;
    std::string header;
    std::string body;
    while (read_exactly(header, wire::kHeaderSize, true)) {
      const wire::Header parsed = wire::parse_header(header);
      read_body(body, parsed.length);
      const std::string reply = host.process_batch(parsed, body);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        throw wire::WireError("cannot write the reply");
      }
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "mintrock_drill: %s\n", error.what());
    return 1;
  }
}
