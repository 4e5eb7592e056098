// Diameter messages as bytes (RFC 6733 sections 3 and 4): framing, decoding into views, building.
//
// Pure: bytes in, bytes out. A MessageView points into the frame that it was decoded from and lives no
// longer. Nothing here allocates by a length that the other side named.
#ifndef MINTROCK_SRC_DIAMETER_CODEC_HPP_
#define MINTROCK_SRC_DIAMETER_CODEC_HPP_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mintrock::diameter {

inline constexpr std::size_t kHeaderSize = 20;
inline constexpr std::uint32_t kMaxLength = 0xFFFFFF;  // the length field has 24 bits

// Command flags, RFC 6733 section 3.
enum CommandFlag : std::uint8_t {
  kRequest = 0x80,
  kProxiable = 0x40,
  kErrorBit = 0x20,
  kRetransmitted = 0x10
};
inline constexpr std::uint8_t kReservedCommandBits = 0x0F;

// AVP flags, RFC 6733 section 4.1.
enum AvpFlag : std::uint8_t { kVendorBit = 0x80, kMandatoryBit = 0x40, kProtectedBit = 0x20 };

struct Header {
  std::uint8_t version = 1;
  std::uint32_t length = 0;  // bytes, header included
  std::uint8_t flags = 0;
  std::uint32_t command = 0;
  std::uint32_t application = 0;
  std::uint32_t hop_by_hop = 0;
  std::uint32_t end_to_end = 0;
  bool request() const { return (flags & kRequest) != 0; }
};

struct AvpView {
  std::uint32_t code = 0;
  std::uint32_t vendor = 0;
  std::uint8_t flags = 0;
  std::string_view data;     // without padding
  std::string_view encoded;  // header and data, without padding
};

// What is wrong with a message, in the terms of RFC 6733 section 7.
struct Fault {
  std::uint32_t result_code = 0;
  std::string failed_avp;  // an encoded AVP to put into Failed-AVP; empty: none
  std::string text;        // one line, names what and where
};

struct MessageView {
  Header header;
  std::vector<AvpView> avps;

  // The first AVP of this code and vendor, or null.
  const AvpView* find(std::uint32_t code, std::uint32_t vendor = 0) const;
};

// Reads a header from at least kHeaderSize bytes; checks nothing.
Header read_header(std::string_view bytes);

// Splits a buffer of AVPs (a message's body, or a grouped AVP's data). Fails with 5014 (AVP length) if one is
// shorter than its own header, or runs past the end.
std::optional<Fault> split_avps(std::string_view bytes, std::vector<AvpView>& out);

// Decodes one whole frame. Checks version (5011), length (5015), command flags (3008) and the AVPs' lengths
// (5014). On a fault `out.header` and the AVPs read until then are still set, so that an answer can be made.
std::optional<Fault> decode(std::string_view frame, MessageView& out);

// Values; nothing if the data's length is wrong for the type.
std::optional<std::uint32_t> as_u32(const AvpView& avp);
std::optional<std::uint64_t> as_u64(const AvpView& avp);

// Cuts a byte stream into frames. Holds at most `max_length` bytes and one read; what follows a fault is not
// looked at, since the boundaries of messages are lost.
class Framer {
 public:
  explicit Framer(std::uint32_t max_length) : max_length_(max_length) {}

  enum class Status { kNeedMore, kFrame, kFault };
  void feed(std::string_view bytes);
  // The next frame, valid until the next call of `feed`. With kFault, `fault` and `header` tell why.
  Status next(std::string_view& frame);
  const Fault& fault() const { return fault_; }
  const Header& header() const { return header_; }
  std::size_t buffered() const { return buffer_.size() - at_; }
  // What was fed and not yet handed out.
  std::string_view unread() const { return std::string_view(buffer_).substr(at_); }

 private:
  std::uint32_t max_length_;
  std::string buffer_;
  std::size_t at_ = 0;
  bool broken_ = false;
  Fault fault_;
  Header header_;
};

struct AvpDef;  // of dictionary.hpp

// Builds one message. Flags of each AVP come from the dictionary's entry.
class Builder {
 public:
  explicit Builder(const Header& header);
  Builder& u32(const AvpDef& def, std::uint32_t value);
  Builder& u64(const AvpDef& def, std::uint64_t value);
  Builder& text(const AvpDef& def, std::string_view value);
  // IPv4, RFC 6733 section 4.3.1 (address family 1).
  Builder& ipv4(const AvpDef& def, std::uint32_t host_order);
  // An AVP as it was read, untouched (Proxy-Info, say), or one that is encoded already.
  Builder& raw(std::string_view whole);
  Builder& begin_group(const AvpDef& def);
  Builder& end_group();
  // The finished message; the builder is empty afterwards.
  std::string finish();

 private:
  void head(const AvpDef& def, std::size_t data_length);
  void pad();
  std::string out_;
  std::vector<std::size_t> open_;  // where the groups that are open begin
};

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_CODEC_HPP_
