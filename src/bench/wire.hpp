// The simulator's wire: frames, records and settings text, turned into the library's own terms and back.
// Nothing is decided here. Malformed input throws WireError with a plain message.
#ifndef MINTROCK_SRC_BENCH_WIRE_HPP_
#define MINTROCK_SRC_BENCH_WIRE_HPP_

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::wire {

class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Reads big-endian values from a buffer it does not own; reading past the end throws.
class Reader {
 public:
  explicit Reader(std::string_view data) : data_(data) {}
  bool done() const { return at_ == data_.size(); }
  std::uint8_t u8() { return static_cast<std::uint8_t>(bits(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(bits(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(bits(4)); }
  std::uint64_t u64() { return bits(8); }
  float f32();
  double f64();
  bool boolean();
  std::string_view bytes(std::size_t count);
  std::size_t left() const { return data_.size() - at_; }

 private:
  std::uint64_t bits(std::size_t width);
  std::string_view data_;
  std::size_t at_ = 0;
};

class Writer {
 public:
  void u8(std::uint8_t v) { bits(v, 1); }
  void u16(std::uint16_t v) { bits(v, 2); }
  void u32(std::uint32_t v) { bits(v, 4); }
  void u64(std::uint64_t v) { bits(v, 8); }
  void f32(float v);
  void f64(double v);
  void bytes(std::string_view v) { out_.append(v); }
  const std::string& str() const { return out_; }

 private:
  void bits(std::uint64_t v, std::size_t width);
  std::string out_;
};

inline constexpr std::size_t kHeaderSize = 16;  // of a batch

struct Header {
  std::uint32_t length = 0;
  Time now = 0;
  std::uint32_t batch = 0;
};
Header parse_header(std::string_view data);

enum class Field { kSpare, kTotal, kWaitMs, kQueue, kUnknown };

// What an instance's settings say: the library's part, and the order of the values in load reports.
struct InstanceSettings {
  Settings settings;
  std::vector<Field> fields;
};
InstanceSettings parse_settings(std::string_view text);

Report make_report(const std::vector<Field>& fields, const std::vector<float>& values);

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

// The bytes of a message between proxies: version, number of entries, then for each the server, the wait and
// its age in milliseconds. A message of another version or of a wrong length says nothing.
std::string pack_hearsay(const std::vector<Hearsay>& hearsay);
std::vector<Hearsay> unpack_hearsay(std::string_view bytes);

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
