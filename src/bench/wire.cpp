#include "bench/wire.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstring>
#include <map>
#include <utility>

namespace mintrock::wire {
namespace {

constexpr std::size_t kEntrySize = 25;
constexpr std::size_t kMaxItems = 100000;  // of a list in the settings; more is taken for nonsense
constexpr std::size_t kMaxNote = 65535;    // bytes of a log line
constexpr std::uint8_t kHearsayVersion = 1;
constexpr std::size_t kHearsaySize = 10;  // bytes of an entry
constexpr std::size_t kMostHearsay = 25;  // entries that a message of 256 bytes holds

constexpr std::uint16_t kRedialled = 2;
constexpr std::uint16_t kWasCut = 16;

template <class... Ts>
struct Overloaded : Ts... {
  using Ts::operator()...;
};
template <class... Ts>
Overloaded(Ts...) -> Overloaded<Ts...>;

// Rejects overlong forms, surrogates and values past U+10FFFF as well as broken sequences.
bool valid_utf8(std::string_view text) {
  std::size_t i = 0;
  while (i < text.size()) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const std::size_t extra = lead < 0x80       ? 0
                              : lead >> 5 == 6  ? 1
                              : lead >> 4 == 14 ? 2
                              : lead >> 3 == 30 ? 3
                                                : 9;
    if (extra == 9 || extra >= text.size() - i) return false;
    std::uint32_t code = extra == 0 ? lead : lead & (0x3Fu >> extra);
    for (std::size_t k = 1; k <= extra; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if (next >> 6 != 2) return false;
      code = code << 6 | (next & 0x3Fu);
    }
    constexpr std::uint32_t kLeast[] = {0, 0x80, 0x800, 0x10000};
    if (code < kLeast[extra] || code > 0x10FFFF || (code >= 0xD800 && code < 0xE000)) return false;
    i += extra + 1;
  }
  return true;
}

ServerId read_server(Reader& in) {
  const std::uint64_t address = in.u32();
  return address << 16 | in.u16();
}

void write_server(Writer& out, ServerId server) {
  out.u32(static_cast<std::uint32_t>(server >> 16));
  out.u16(static_cast<std::uint16_t>(server & 0xFFFF));
}

std::vector<float> read_telemetry(Reader& in) {
  std::vector<float> values(in.u8());
  for (float& value : values) value = in.f32();
  return values;
}

double finite_seconds(double value, const char* what) {
  if (!std::isfinite(value)) throw WireError(std::string("not a finite number: ") + what);
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
  ended.spent_s = finite_seconds(in.f64(), "spent_s");
  ended.outcome = read_outcome(in.u16());
  const std::uint32_t note = in.u32();
  ended.cause = read_cause(note);
  if (ended.cause == Cause::kProcessorFull) ended.told_wait_s = static_cast<double>(note / 16) / 1000.0;
  ended.call_over = in.boolean();
  record.telemetry = read_telemetry(in);
  return record;
}

NewCall read_new_call(Reader& in) {
  NewCall call;
  call.call = in.u32();
  call.key = in.u64();
  call.call_class = in.u8();
  in.f64();  // a guess of the work: not used
  call.ttl_s = finite_seconds(in.f64(), "ttl_s");
  const std::uint16_t bits = in.u16();
  call.redialled = (bits & kRedialled) != 0;
  call.was_cut = (bits & kWasCut) != 0;
  in.f32();  // advice on a route: none of the sites gives any
  in.u16();  // its tenant: not used
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
  entry.since = finite_seconds(in.f64(), "since_s");
  return entry;
}

Rows read_rows(Reader& in) {
  Rows rows;
  rows.buffer = in.u8();
  if (rows.buffer > 15) throw WireError("list buffer out of range");
  const std::uint32_t count = in.u32();
  if (count > in.left() / kEntrySize) throw WireError("list count past the end of the frame");
  for (std::uint32_t i = 0; i < count; ++i) rows.entries.push_back(read_entry(in));
  return rows;
}

Topology read_topology(Reader& in) {
  Topology topology;
  in.u32();  // the version only grows and events come in order
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
      record.spent_s = finite_seconds(in.f64(), "spent_s");
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
      finite_seconds(in.f64(), "spent_s");
      record.telemetry = read_telemetry(in);
      return record;
    }
    case 9:
      in.u16();  // the sender's number: who tells it is of no matter
      return Mail{{unpack_hearsay(in.bytes(in.u16()))}};
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

// The settings text as pairs, with typed look-ups. A key that is missing leaves the default.
class Pairs {
 public:
  explicit Pairs(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = std::min(text.find('\n'), text.size());
      const std::string_view line = text.substr(0, end);
      text.remove_prefix(std::min(end + 1, text.size()));
      if (line.empty()) continue;
      const std::size_t equals = line.find('=');
      if (equals == std::string_view::npos || equals == 0) {
        throw WireError("settings line without path=value: " + std::string(line.substr(0, 60)));
      }
      pairs_[std::string(line.substr(0, equals))] = std::string(line.substr(equals + 1));
    }
  }

  const std::string* find(const std::string& key) const {
    const auto found = pairs_.find(key);
    return found == pairs_.end() ? nullptr : &found->second;
  }

  void read(const std::string& key, double& out) const {
    if (const std::string* text = find(key)) out = number(key, *text);
  }
  void read(const std::string& key, std::uint32_t& out) const {
    if (const std::string* text = find(key)) {
      const double value = number(key, *text);
      if (value > 4294967295.0 || value != std::floor(value)) bad(key);
      out = static_cast<std::uint32_t>(value);
    }
  }
  void read(const std::string& key, bool& out) const {
    if (const std::string* text = find(key)) {
      if (*text != "true" && *text != "false") bad(key);
      out = *text == "true";
    }
  }
  std::size_t count(const std::string& key) const {
    std::uint32_t value = 0;
    read(key + ".count", value);
    if (value > kMaxItems) bad(key + ".count");
    return value;
  }
  static std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::size_t at = 0;
    while (at < text.size()) {
      const std::size_t end = std::min(text.find(',', at), text.size());
      parts.push_back(text.substr(at, end - at));
      at = end + 1;
    }
    return parts;
  }
  // All figures read here are sizes, times or shares: none may be negative.
  static double number(const std::string& key, const std::string& text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value) || value < 0)
      bad(key);
    return value;
  }
  [[noreturn]] static void bad(const std::string& key) {
    throw WireError("nonsense in settings at " + key.substr(0, 60));
  }

 private:
  std::map<std::string, std::string> pairs_;
};

void read_class(const Pairs& pairs, std::size_t index, Settings::Class& out) {
  const std::string base = "classes." + std::to_string(index) + ".";
  pairs.read(base + "goal_time_s", out.aim_s);
  pairs.read(base + "deadline_s", out.deadline_s);
  pairs.read(base + "value", out.value);
  if (const std::string* effect = pairs.find(base + "effect")) {
    if (*effect == "repeatable") {
      out.effect = Effect::kRepeatable;
    } else if (*effect == "by_key") {
      out.effect = Effect::kByKey;
    } else if (*effect == "once") {
      out.effect = Effect::kOnce;
    } else {
      Pairs::bad(base + "effect");
    }
  }
  const std::string key = "domain.skilled_pools." + std::to_string(index);
  if (const std::string* nodes = pairs.find(key)) {
    for (const std::string& part : Pairs::split(*nodes)) {
      const double node = Pairs::number(key, part);
      if (node > 4294967295.0 || node != std::floor(node)) Pairs::bad(key);
      out.nodes.push_back(static_cast<std::uint32_t>(node));
    }
  }
}

}  // namespace

std::uint64_t Reader::bits(std::size_t width) {
  const std::string_view raw = bytes(width);
  std::uint64_t value = 0;
  for (const char c : raw) value = value << 8 | static_cast<unsigned char>(c);
  return value;
}

std::string_view Reader::bytes(std::size_t count) {
  if (count > left()) throw WireError("frame ends inside a record");
  const std::string_view part = data_.substr(at_, count);
  at_ += count;
  return part;
}

float Reader::f32() {
  const std::uint32_t raw = u32();
  float value = 0;
  std::memcpy(&value, &raw, sizeof value);
  return value;
}

double Reader::f64() {
  const std::uint64_t raw = u64();
  double value = 0;
  std::memcpy(&value, &raw, sizeof value);
  return value;
}

bool Reader::boolean() {
  const std::uint8_t raw = u8();
  if (raw > 1) throw WireError("a truth value is neither 0 nor 1");
  return raw == 1;
}

void Writer::bits(std::uint64_t v, std::size_t width) {
  for (std::size_t i = width; i-- > 0;) out_.push_back(static_cast<char>(v >> (8 * i) & 0xFF));
}

void Writer::f32(float v) {
  std::uint32_t raw = 0;
  std::memcpy(&raw, &v, sizeof raw);
  u32(raw);
}

void Writer::f64(double v) {
  std::uint64_t raw = 0;
  std::memcpy(&raw, &v, sizeof raw);
  u64(raw);
}

std::string pack_hearsay(const std::vector<Hearsay>& hearsay) {
  const auto milliseconds = [](double seconds) {
    return static_cast<std::uint16_t>(
        std::clamp(std::isfinite(seconds) ? seconds * 1000 : 65535, 0.0, 65535.0));
  };
  Writer out;
  const std::size_t count = std::min(hearsay.size(), kMostHearsay);
  out.u8(kHearsayVersion);
  out.u8(static_cast<std::uint8_t>(count));
  for (std::size_t i = 0; i < count; ++i) {
    write_server(out, hearsay[i].server);
    out.u16(milliseconds(hearsay[i].wait_s));
    out.u16(milliseconds(hearsay[i].age_s));
  }
  return out.str();
}

std::vector<Hearsay> unpack_hearsay(std::string_view bytes) {
  std::vector<Hearsay> hearsay;
  if (bytes.size() < 2) return hearsay;
  Reader in(bytes);
  const bool known = in.u8() == kHearsayVersion;
  const std::size_t count = in.u8();
  if (!known || count > kMostHearsay || in.left() != count * kHearsaySize) return hearsay;
  while (!in.done()) {
    Hearsay entry;
    entry.server = read_server(in);
    entry.wait_s = in.u16() / 1000.0;
    entry.age_s = in.u16() / 1000.0;
    hearsay.push_back(entry);
  }
  return hearsay;
}

Header parse_header(std::string_view data) {
  Reader in(data);
  Header header;
  header.length = in.u32();
  header.now = finite_seconds(in.f64(), "the clock");
  header.batch = in.u32();
  return header;
}

InstanceSettings parse_settings(std::string_view text) {
  const Pairs pairs(text);
  InstanceSettings out;
  Settings& s = out.settings;
  s.classes.resize(pairs.count("classes"));
  for (std::size_t i = 0; i < s.classes.size(); ++i) read_class(pairs, i, s.classes[i]);
  pairs.read("domain.clear_wait_s", s.release_wait_s);
  pairs.read("domain.t1_s", s.repeat_after_s);
  pairs.read("rules.start_capacity", s.start_capacity);
  pairs.read("rules.warm_up_s", s.warm_up_s);
  pairs.read("rules.overload_factor", s.overload_factor);
  pairs.read("rules.fall_s", s.fall_s);
  pairs.read("fleet_size", s.fleet_size);
  pairs.read("me", s.own_number);
  pairs.read("limits.peers", s.tells_peers);
  pairs.read("callers.marks_retry", s.marks_redials);
  pairs.read("limits.try_limit", s.attempt_limit);
  pairs.read("limits.max_retry_after_s", s.max_retry_after_s);
  pairs.read("limits.cancelling", s.can_cancel);
  pairs.read("limits.retry_after", s.gives_retry_after);
  if (const std::string* mode = pairs.find("registry_mode")) s.asks_for_list = *mode == "ask";
  if (const std::string* fields = pairs.find("load_info.fields")) {
    static const std::pair<const char*, Field> kNames[] = {{"spare", Field::kSpare},
                                                           {"total", Field::kTotal},
                                                           {"mean_ms", Field::kWaitMs},
                                                           {"depth", Field::kQueue}};
    for (const std::string& name : Pairs::split(*fields)) {
      Field field = Field::kUnknown;
      for (const auto& [known, value] : kNames) {
        if (name == known) field = value;
      }
      out.fields.push_back(field);
    }
  }
  return out;
}

Report make_report(const std::vector<Field>& fields, const std::vector<float>& values) {
  Report report;
  for (std::size_t i = 0; i < values.size() && i < fields.size(); ++i) {
    const double value = values[i];
    switch (fields[i]) {
      case Field::kSpare:
        report.spare = value;
        break;
      case Field::kWaitMs:
        report.wait_s = value / 1000.0;
        break;
      case Field::kQueue:
        report.queue = value;
        break;
      case Field::kTotal:
        report.total = value;
        break;
      case Field::kUnknown:
        break;
    }
  }
  return report;
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
  for (const Action& action : actions) put(action);
}

void Reply::put(const Action& action) {
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
                          const std::string bytes = pack_hearsay(a.hearsay);
                          body_.u8(8);
                          body_.u32(a.peer);
                          body_.u16(static_cast<std::uint16_t>(bytes.size()));
                          body_.bytes(bytes);
                        },
                        [&](const Log& a) {
                          const std::string_view text = std::string_view(a.text).substr(0, kMaxNote);
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
