#include "instance/bytes.hpp"

#include <charconv>
#include <cmath>
#include <cstring>

namespace mintrock::instance {

bool valid_utf8(std::string_view text) {
  std::size_t i = 0;
  while (i < text.size()) {
    const auto lead = static_cast<unsigned char>(text[i]);
    const std::size_t continuations = lead < 0x80       ? 0
                                      : lead >> 5 == 6  ? 1
                                      : lead >> 4 == 14 ? 2
                                      : lead >> 3 == 30 ? 3
                                                        : 9;
    if (continuations == 9 || continuations >= text.size() - i) return false;
    std::uint32_t code = continuations == 0 ? lead : lead & (0x3Fu >> continuations);
    for (std::size_t k = 1; k <= continuations; ++k) {
      const auto next = static_cast<unsigned char>(text[i + k]);
      if (next >> 6 != 2) return false;
      code = code << 6 | (next & 0x3Fu);
    }
    constexpr std::uint32_t kMinCode[] = {0, 0x80, 0x800, 0x10000};
    if (code < kMinCode[continuations] || code > 0x10FFFF || (code >= 0xD800 && code < 0xE000)) return false;
    i += continuations + 1;
  }
  return true;
}

std::optional<double> read_finite(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) return std::nullopt;
  return value;
}

std::uint64_t Reader::integer(std::size_t width) {
  const std::string_view raw = bytes(width);
  std::uint64_t value = 0;
  for (const char c : raw) value = value << 8 | static_cast<unsigned char>(c);
  return value;
}

std::string_view Reader::bytes(std::size_t count) {
  if (count > remaining()) throw FormatError("truncated record");
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
  if (raw > 1) throw FormatError("boolean is neither 0 nor 1");
  return raw == 1;
}

void Writer::integer(std::uint64_t v, std::size_t width) {
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

ServerId read_server(Reader& in) {
  const std::uint64_t address = in.u32();
  return address << 16 | in.u16();
}

void write_server(Writer& out, ServerId server) {
  out.u32(static_cast<std::uint32_t>(server >> 16));
  out.u16(static_cast<std::uint16_t>(server & 0xFFFF));
}

}  // namespace mintrock::instance
