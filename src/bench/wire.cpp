#include "bench/wire.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace mintrock::wire {
namespace {

using instance::read_server;
using instance::valid_utf8;
using instance::write_server;

constexpr std::size_t kEntrySize = 25;
constexpr std::size_t kMaxLogText = 65535;  // bytes

constexpr std::uint16_t kRedialled = 2;
constexpr std::uint16_t kWasCut = 16;

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

std::vector<float> read_telemetry(Reader& in) {
  std::vector<float> values(in.u8());
  for (float& value : values) value = in.f32();
  return values;
}

double check_finite(double value, const char* name) {
  if (!std::isfinite(value)) throw WireError(std::string("not a finite number: ") + name);
  return value;
}

Outcome read_outcome(std::uint16_t code) {
  switch (code) {
    case 200:
      return Outcome::kEnded;
    case 500:
      return Outcome::kError;
    case 503:
      return Outcome::kFull;
    case 504:
      return Outcome::kTimedOut;
    case 502:
      return Outcome::kConnectFailed;
    case 598:
      return Outcome::kReset;
    case 499:
      return Outcome::kCancelled;
    case 410:
      return Outcome::kNotSent;
    default:
      throw WireError("unknown outcome " + std::to_string(code));
  }
}

Cause read_cause(std::uint32_t note) {
  switch (note % 16) {
    case 1:
      return Cause::kNoLine;
    case 2:
      return Cause::kTurnedBack;
    case 3:
      return Cause::kProcessorFull;
    case 4:
      return Cause::kNumberBusy;
    default:
      return Cause::kNone;
  }
}

Finished read_finished(Reader& in) {
  Finished record;
  AttemptEnded& ended = record.ended;
  ended.call = in.u32();
  ended.server = read_server(in);
  ended.attempt = in.u16();
  ended.spent_s = check_finite(in.f64(), "spent_s");
  ended.outcome = read_outcome(in.u16());
  const std::uint32_t note = in.u32();
  ended.cause = read_cause(note);
  if (ended.cause == Cause::kProcessorFull) ended.advised_wait_s = static_cast<double>(note / 16) / 1000.0;
  ended.call_ended = in.boolean();
  record.telemetry = read_telemetry(in);
  return record;
}

NewCall read_new_call(Reader& in) {
  NewCall call;
  call.call = in.u32();
  call.key = in.u64();
  call.call_class = in.u8();
  in.f64();  // estimated work; not used
  call.ttl_s = check_finite(in.f64(), "ttl_s");
  const std::uint16_t bits = in.u16();
  call.redialled = (bits & kRedialled) != 0;
  call.was_cut = (bits & kWasCut) != 0;
  in.f32();  // route advice; not used, since no site provides it
  in.u16();  // tenant; not used
  const double dest = in.f32();
  if (dest >= 0 && dest < 65536) call.first_choice = static_cast<std::int64_t>(dest);
  const double lines = in.f32();
  if (lines >= 0 && lines < 1e6) call.lines = lines;
  return call;
}

ServerEntry read_entry(Reader& in) {
  ServerEntry entry;
  entry.id = read_server(in);
  entry.node = in.u16();
  in.u16();  // zone
  entry.kind = in.u16();
  entry.weight = in.f32();
  switch (in.u8()) {
    case 0:
      entry.state = ServerEntry::State::kGone;
      break;
    case 1:
      entry.state = ServerEntry::State::kReady;
      break;
    case 2:
      entry.state = ServerEntry::State::kDraining;
      break;
    default:
      throw WireError("unknown availability in a list entry");
  }
  entry.since = check_finite(in.f64(), "since_s");
  return entry;
}

ServerRows read_rows(Reader& in) {
  ServerRows rows;
  rows.buffer = in.u8();
  if (rows.buffer > 15) throw WireError("list buffer out of range");
  const std::uint32_t count = in.u32();
  if (count > in.remaining() / kEntrySize) throw WireError("list count exceeds the rest of the frame");
  for (std::uint32_t i = 0; i < count; ++i) rows.entries.push_back(read_entry(in));
  return rows;
}

Topology read_topology(Reader& in) {
  Topology topology;
  in.u32();  // version; not needed, since versions only increase and events arrive in order
  switch (in.u8()) {
    case 0:
      topology.mode = ServerList::Mode::kDelta;
      break;
    case 1:
      topology.mode = ServerList::Mode::kFull;
      break;
    case 2:
      topology.mode = ServerList::Mode::kCached;
      break;
    case 3:
      topology.mode = ServerList::Mode::kFailed;
      break;
    default:
      throw WireError("unknown list mode");
  }
  topology.buffer = in.u8();
  return topology;
}

Record read_record(Reader& in) {
  const std::uint8_t code = in.u8();
  switch (code) {
    case 1: {
      PowerOn record;
      record.seed = in.u64();
      record.settings = std::string(in.bytes(in.u32()));
      if (!valid_utf8(record.settings)) throw WireError("settings are not valid UTF-8");
      return record;
    }
    case 2:
      return read_topology(in);
    case 3:
      return read_new_call(in);
    case 4: {
      SetupStood record;
      record.call = in.u32();
      record.attempt = in.u16();
      record.spent_s = check_finite(in.f64(), "spent_s");
      record.server = read_server(in);
      return record;
    }
    case 5:
      return read_finished(in);
    case 6:
      return CallAbandoned{in.u32()};
    case 7:
      return TimerFired{in.u64()};
    case 8: {
      ProbeDone record;
      record.server = read_server(in);
      read_outcome(in.u16());
      check_finite(in.f64(), "spent_s");
      record.telemetry = read_telemetry(in);
      return record;
    }
    case 9:
      in.u16();  // the sender's number; not used
      return PeerMessage{{unpack_gossip(in.bytes(in.u16()))}};
    case 10:
      return Halt{};
    case 11:
      return read_rows(in);
    case 12:
      return ForInstance{in.u16()};
    default:
      throw WireError("unknown event code " + std::to_string(code));
  }
}

}  // namespace

Header parse_header(std::string_view data) {
  Reader in(data);
  Header header;
  header.length = in.u32();
  header.now = check_finite(in.f64(), "the clock");
  header.batch = in.u32();
  return header;
}

std::vector<Record> parse_batch(std::string_view body) {
  Reader in(body);
  std::vector<Record> records;
  while (!in.done()) records.push_back(read_record(in));
  return records;
}

void Reply::add(std::uint16_t instance, const std::vector<Action>& actions) {
  if (actions.empty()) return;
  body_.u8(13);
  body_.u16(instance);
  ++count_;
  for (const Action& action : actions) append(action);
}

void Reply::append(const Action& action) {
  ++count_;
  std::visit(Overloaded{[&](const SendSetup& a) {
                          body_.u8(1);
                          body_.u32(a.call);
                          body_.f64(a.give_up_after_s);
                          write_server(body_, a.server);
                        },
                        [&](const RefuseCall& a) {
                          body_.u8(2);
                          body_.u32(a.call);
                          body_.f64(a.retry_after_s);
                        },
                        [&](const FailCall& a) {
                          body_.u8(3);
                          body_.u32(a.call);
                        },
                        [&](const CancelAttempt& a) {
                          body_.u8(4);
                          body_.u32(a.call);
                          body_.u16(static_cast<std::uint16_t>(a.attempt));
                        },
                        [&](const SetTimer& a) {
                          body_.u8(5);
                          body_.u64(a.token);
                          body_.f64(a.after_s);
                        },
                        [&](const Subscribe&) {
                          body_.u8(11);
                          body_.u8(1);
                        },
                        [&](const TellPeer& a) {
                          const std::string bytes = pack_gossip(a.entries);
                          body_.u8(8);
                          body_.u32(a.peer);
                          body_.u16(static_cast<std::uint16_t>(bytes.size()));
                          body_.bytes(bytes);
                        },
                        [&](const Log& a) {
                          const std::string_view text = std::string_view(a.text).substr(0, kMaxLogText);
                          body_.u8(9);
                          body_.u16(static_cast<std::uint16_t>(text.size()));
                          body_.bytes(text);
                        }},
             action);
}

std::string Reply::frame(std::uint32_t batch) const {
  Writer header;
  header.u32(count_);
  header.u32(static_cast<std::uint32_t>(body_.str().size()));
  header.u32(batch);
  return header.str() + body_.str();
}

}  // namespace mintrock::wire
