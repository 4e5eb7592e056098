// The simulator's wire: frames, records and settings text, turned into the library's own terms and back.
// Nothing is decided here. Malformed input throws WireError with a plain message.
#ifndef MINTROCK_SRC_BENCH_WIRE_HPP_
#define MINTROCK_SRC_BENCH_WIRE_HPP_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "instance/bytes.hpp"
#include "instance/gossip.hpp"
#include "instance/settings.hpp"
#include "mintrock/controller.hpp"

namespace mintrock::wire {

using WireError = instance::FormatError;
using instance::make_report;
using instance::pack_gossip;
using instance::parse_settings;
using instance::Reader;
using instance::unpack_gossip;
using instance::Writer;
using Field = instance::Field;
using InstanceSettings = instance::InstanceSettings;

inline constexpr std::size_t kHeaderSize = 16;  // of a batch

struct Header {
  std::uint32_t length = 0;
  Time now = 0;
  std::uint32_t batch = 0;
};
Header parse_header(std::string_view data);

// Records as they stand in a batch; load reports are still raw, since their fields are the instance's own.
struct ForInstance {
  std::uint16_t instance = 0;
};
struct PowerOn {
  std::uint64_t seed = 0;
  std::string settings;
};
struct Rows {
  std::uint8_t buffer = 0;
  std::vector<ServerEntry> entries;
};
struct Topology {
  ServerList::Mode mode = ServerList::Mode::kFull;
  std::uint8_t buffer = 0;
};
struct Halt {};
struct Mail {
  PeerNews news;
};
struct Finished {
  AttemptEnded ended;
  std::vector<float> telemetry;
};
struct ProbeDone {
  ServerId server = 0;
  std::vector<float> telemetry;
};
using Record = std::variant<ForInstance, PowerOn, Rows, Topology, Halt, Mail, Finished, ProbeDone, NewCall,
                            SetupStood, CallAbandoned, TimerFired>;
std::vector<Record> parse_batch(std::string_view body);

// Collects one reply.
class Reply {
 public:
  void add(std::uint16_t instance, const std::vector<Action>& actions);
  std::string frame(std::uint32_t batch) const;

 private:
  void put(const Action& action);
  Writer body_;
  std::uint32_t count_ = 0;
};

}  // namespace mintrock::wire

#endif  // MINTROCK_SRC_BENCH_WIRE_HPP_
