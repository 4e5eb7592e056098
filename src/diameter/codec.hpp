// The encoding of Diameter messages (RFC 6733 sections 3 and 4): framing, decoding into views, building.
//
// A pure module: it does no I/O and reads no clock. A MessageView points into the frame that it was decoded
// from and must not outlive it. No allocation is sized by a length field that the peer sent.
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
inline constexpr std::uint32_t kMaxLength = 0xFFFFFF;  // length fields have 24 bits

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
  bool is_request() const { return (flags & kRequest) != 0; }
};

struct AvpView {
  std::uint32_t code = 0;
  std::uint32_t vendor = 0;
  std::uint8_t flags = 0;
  std::string_view data;     // without padding
  std::string_view encoded;  // header and data, without padding
};

// An error in a message, described as in RFC 6733 section 7.
struct Fault {
  std::uint32_t result_code = 0;
  std::string failed_avp;  // the encoded AVP to put into Failed-AVP; empty: none
  std::string text;        // one line: what is wrong, and where
};

struct MessageView {
  Header header;
  std::vector<AvpView> avps;

  // Returns the first AVP with this code and vendor, or null.
  const AvpView* find(std::uint32_t code, std::uint32_t vendor = 0) const;
};

// Reads a header from at least kHeaderSize bytes, without validating it.
Header read_header(std::string_view bytes);

// Splits a buffer of AVPs: the body of a message or the data of a grouped AVP. Returns a fault with 5014 (AVP
// length) if an AVP is shorter than its own header or extends past the end of the buffer.
std::optional<Fault> split_avps(std::string_view bytes, std::vector<AvpView>& out);

// Decodes one complete frame. Checks the version (5011), the length (5015), the command flags (3008) and the
// lengths of the AVPs (5014). On a fault, `out.header` and the AVPs decoded so far are still set, so that the
// caller can build an answer.
std::optional<Fault> decode(std::string_view frame, MessageView& out);

// The value of an AVP, or nullopt if its data has the wrong length for the type.
std::optional<std::uint32_t> as_u32(const AvpView& avp);
std::optional<std::uint64_t> as_u64(const AvpView& avp);

// Splits a byte stream into frames. Buffers at most `max_length` bytes plus one read. After a fault all
// further bytes are ignored, because the message boundaries are lost.
class Framer {
 public:
  explicit Framer(std::uint32_t max_length) : max_length_(max_length) {}

  enum class Status { kNeedMore, kFrame, kFault };
  void feed(std::string_view bytes);
  // Extracts the next frame, which is valid until the next call of `feed`. After kFault, `fault()` and
  // `header()` describe the error.
  Status next(std::string_view& frame);
  const Fault& fault() const { return fault_; }
  const Header& header() const { return header_; }
  std::size_t buffered() const { return buffer_.size() - consumed_; }
  // The bytes fed so far that `next` has not returned.
  std::string_view unread() const { return std::string_view(buffer_).substr(consumed_); }

 private:
  std::uint32_t max_length_;
  std::string buffer_;
  std::size_t consumed_ = 0;
  bool failed_ = false;
  Fault fault_;
  Header header_;
};

struct AvpDef;  // defined in dictionary.hpp

// Builds one message. The flags of each AVP are taken from its dictionary entry.
class Builder {
 public:
  explicit Builder(const Header& header);
  Builder& u32(const AvpDef& def, std::uint32_t value);
  Builder& u64(const AvpDef& def, std::uint64_t value);
  Builder& text(const AvpDef& def, std::string_view value);
  // Appends an IPv4 address (RFC 6733 section 4.3.1, address family 1).
  Builder& ipv4(const AvpDef& def, std::uint32_t host_order);
  // Appends an AVP that is already encoded, such as a Proxy-Info copied unchanged from a request.
  Builder& raw(std::string_view encoded);
  Builder& begin_group(const AvpDef& def);
  Builder& end_group();
  // Closes any open groups and returns the message. The builder is empty afterwards.
  std::string finish();

 private:
  void append_avp_header(const AvpDef& def, std::size_t data_length);
  void append_padding();
  std::string out_;
  std::vector<std::size_t> open_groups_;  // start offsets of the open groups
};

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_CODEC_HPP_
