// Readers and writers of big-endian values, for the simulator's protocol and the messages between proxies.
#ifndef MINTROCK_SRC_INSTANCE_BYTES_HPP_
#define MINTROCK_SRC_INSTANCE_BYTES_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

#include "mintrock/controller.hpp"

namespace mintrock::instance {

// Thrown on malformed input.
class FormatError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Rejects malformed sequences, overlong forms, surrogates and values above U+10FFFF.
bool valid_utf8(std::string_view text);

// Parses a text that is exactly one decimal number. Returns nullopt for anything else and for non-finite
// values.
std::optional<double> read_finite(std::string_view text);

// Reads big-endian values from a buffer that it does not own. Throws FormatError at the end of the buffer.
class Reader {
 public:
  explicit Reader(std::string_view data) : data_(data) {}
  bool done() const { return at_ == data_.size(); }
  std::uint8_t u8() { return static_cast<std::uint8_t>(integer(1)); }
  std::uint16_t u16() { return static_cast<std::uint16_t>(integer(2)); }
  std::uint32_t u32() { return static_cast<std::uint32_t>(integer(4)); }
  std::uint64_t u64() { return integer(8); }
  float f32();
  double f64();
  bool boolean();
  std::string_view bytes(std::size_t count);
  std::size_t remaining() const { return data_.size() - at_; }

 private:
  std::uint64_t integer(std::size_t width);  // `width` in bytes
  std::string_view data_;
  std::size_t at_ = 0;
};

// Appends big-endian values to a string.
class Writer {
 public:
  void u8(std::uint8_t v) { integer(v, 1); }
  void u16(std::uint16_t v) { integer(v, 2); }
  void u32(std::uint32_t v) { integer(v, 4); }
  void u64(std::uint64_t v) { integer(v, 8); }
  void f32(float v);
  void f64(double v);
  void bytes(std::string_view v) { out_.append(v); }
  const std::string& str() const { return out_; }

 private:
  void integer(std::uint64_t v, std::size_t width);  // `width` in bytes
  std::string out_;
};

// A server id takes six bytes: four of address and two of port, or another id of 48 bits.
ServerId read_server(Reader& in);
void write_server(Writer& out, ServerId server);

}  // namespace mintrock::instance

#endif  // MINTROCK_SRC_INSTANCE_BYTES_HPP_
