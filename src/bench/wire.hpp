// The simulator's wire protocol: converts frames, records and settings text to the types of the library and
// back. It makes no decisions. Malformed input throws WireError with a readable message.
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

inline constexpr std::size_t kHeaderSize = 16;  // bytes before each batch

struct Header {
  std::uint32_t length = 0;
  Time now = 0;
  std::uint32_t batch = 0;
};
Header parse_header(std::string_view data);

// The records of a batch. Load reports stay raw, since each instance has its own report fields.
struct ForInstance {
  std::uint16_t instance = 0;
};
struct PowerOn {
  std::uint64_t seed = 0;
  std::string settings;
};
struct ServerRows {
  std::uint8_t buffer = 0;
  std::vector<ServerEntry> entries;
};
struct Topology {
  ServerList::Mode mode = ServerList::Mode::kFull;
  std::uint8_t buffer = 0;
};
struct Halt {};
struct PeerMessage {
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
using Record = std::variant<ForInstance, PowerOn, ServerRows, Topology, Halt, PeerMessage, Finished,
                            ProbeDone, NewCall, SetupStood, CallAbandoned, TimerFired>;
std::vector<Record> parse_batch(std::string_view body);

// Collects the actions of one batch and encodes them as a reply frame.
class Reply {
 public:
  void add(std::uint16_t instance, const std::vector<Action>& actions);
  std::string frame(std::uint32_t batch) const;

 private:
  void append(const Action& action);
  Writer body_;
  std::uint32_t count_ = 0;
};

}  // namespace mintrock::wire

#endif  // MINTROCK_SRC_BENCH_WIRE_HPP_
