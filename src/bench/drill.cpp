// mintrock_drill: hosts many Controllers, one for each instance, on the simulator's wire. Nothing is decided
// here.
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

class Drill {
 public:
  std::string answer(const wire::Header& header, std::string_view body) {
    actions_.clear();
    now_ = header.now;
    current_ = -1;
    for (const wire::Record& record : wire::parse_batch(body)) {
      std::visit([this](const auto& r) { take(r); }, record);
    }
    wire::Reply reply;
    for (const auto& [instance, actions] : actions_) reply.add(instance, actions);
    return reply.frame(header.batch);
  }

 private:
  std::uint16_t number() const {
    if (current_ < 0) throw wire::WireError("an event before any FOR record");
    return static_cast<std::uint16_t>(current_);
  }
  Instance& instance() {
    const auto found = instances_.find(number());
    if (found == instances_.end()) throw wire::WireError("an event for an instance that is not running");
    return found->second;
  }
  void pass(const Event& event) { instance().controller->handle(now_, event, actions_[number()]); }

  void take(const wire::ForInstance& r) { current_ = r.instance; }
  void take(const wire::PowerOn& r) {
    wire::InstanceSettings parsed = wire::parse_settings(r.settings);
    instances_[number()] = {std::make_unique<Controller>(parsed.settings, r.seed),
                            std::move(parsed.report_fields)};
    pass(mintrock::Started{});
  }
  // What the life that ends here wanted in this batch goes with it.
  void take(const wire::Halt&) {
    instances_.erase(number());
    actions_.erase(number());
  }
  void take(const wire::Rows& r) { lists_[r.buffer] = r.entries; }
  void take(const wire::Topology& r) {
    mintrock::ServerList list;
    list.mode = r.mode;
    if (r.mode != mintrock::ServerList::Mode::kFailed) {
      const auto found = lists_.find(r.buffer);
      if (found == lists_.end()) throw wire::WireError("a list number that was never sent");
      list.entries = found->second;
    }
    pass(list);
  }
  void take(const wire::Finished& r) {
    mintrock::AttemptEnded ended = r.ended;
    ended.report = wire::make_report(instance().fields, r.telemetry);
    pass(ended);
  }
  void take(const wire::ProbeDone& r) {
    pass(mintrock::LoadNotice{r.server, wire::make_report(instance().fields, r.telemetry)});
  }
  void take(const wire::Mail& r) { pass(r.news); }
  void take(const mintrock::NewCall& r) { pass(r); }
  void take(const mintrock::SetupStood& r) { pass(r); }
  void take(const mintrock::CallAbandoned& r) { pass(r); }
  void take(const mintrock::TimerFired& r) { pass(r); }

  std::map<std::uint16_t, Instance> instances_;
  std::map<std::uint8_t, std::vector<mintrock::ServerEntry>> lists_;
  std::map<std::uint16_t, std::vector<Action>> actions_;  // of this batch, by instance
  Time now_ = 0;
  int current_ = -1;
};

// False at a clean end of input; an end inside a frame throws.
bool read_exactly(std::string& buffer, std::size_t size, bool may_end) {
  buffer.resize(size);
  const std::size_t got = std::fread(buffer.data(), 1, size, stdin);
  if (got == 0 && size > 0 && may_end && std::feof(stdin)) return false;
  if (got != size) throw wire::WireError("input ends inside a frame");
  return true;
}

// Reads in pieces, so that a nonsense length fails at the end of input and not for want of memory.
void read_body(std::string& body, std::size_t size) {
  constexpr std::size_t kPiece = 1 << 20;
  body.clear();
  std::string piece;
  while (body.size() < size) {
    read_exactly(piece, std::min(kPiece, size - body.size()), false);
    body += piece;
  }
}

}  // namespace

int main() {
  try {
    Drill drill;
    std::string header;
    std::string body;
    while (read_exactly(header, wire::kHeaderSize, true)) {
      const wire::Header parsed = wire::parse_header(header);
      read_body(body, parsed.length);
      const std::string reply = drill.answer(parsed, body);
      if (std::fwrite(reply.data(), 1, reply.size(), stdout) != reply.size() || std::fflush(stdout) != 0) {
        throw wire::WireError("the reply could not be written");
      }
    }
    return 0;
  } catch (const std::exception& error) {
    std::fprintf(stderr, "mintrock_drill: %s\n", error.what());
    return 1;
  }
}
