#include "diameter/codec.hpp"

#include <algorithm>

#include "diameter/dictionary.hpp"

namespace mintrock::diameter {
namespace {

std::uint32_t read_be(std::string_view bytes, std::size_t at, std::size_t width) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < width; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

void append_be(std::string& out, std::uint64_t value, std::size_t width) {
  char bytes[8];
  for (std::size_t i = 0; i < width; ++i) bytes[i] = static_cast<char>(value >> (8 * (width - 1 - i)) & 0xFF);
  out.append(bytes, width);
}

void write_be_at(std::string& out, std::size_t at, std::uint32_t value, std::size_t width) {
  for (std::size_t i = 0; i < width; ++i)
    out[at + i] = static_cast<char>(value >> (8 * (width - 1 - i)) & 0xFF);
}

std::size_t padded_length(std::size_t length) { return (length + 3) & ~std::size_t{3}; }

// Returns the header of an AVP with an invalid length, with the length corrected so that the result is
// well-formed, for use in Failed-AVP (RFC 6733 section 7.1.5).
std::string make_failed_avp(std::string_view bytes, bool vendor) {
  const std::size_t size = vendor ? 12 : 8;
  std::string avp(bytes.substr(0, std::min(size, bytes.size())));
  avp.resize(size, '\0');
  write_be_at(avp, 5, static_cast<std::uint32_t>(size), 3);
  return avp;
}

}  // namespace

const AvpView* MessageView::find(std::uint32_t code, std::uint32_t vendor) const {
  for (const AvpView& avp : avps) {
    if (avp.code == code && avp.vendor == vendor) return &avp;
  }
  return nullptr;
}

Header read_header(std::string_view bytes) {
  Header header;
  header.version = static_cast<std::uint8_t>(bytes[0]);
  header.length = read_be(bytes, 1, 3);
  header.flags = static_cast<std::uint8_t>(bytes[4]);
  header.command = read_be(bytes, 5, 3);
  header.application = read_be(bytes, 8, 4);
  header.hop_by_hop = read_be(bytes, 12, 4);
  header.end_to_end = read_be(bytes, 16, 4);
  return header;
}

std::optional<Fault> split_avps(std::string_view bytes, std::vector<AvpView>& out) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const std::size_t left = bytes.size() - at;
    if (left < 8) {
      return Fault{5014, make_failed_avp(bytes.substr(at), false),
                   "an AVP header is cut at byte " + std::to_string(at) + " of the AVPs"};
    }
    AvpView avp;
    avp.code = read_be(bytes, at, 4);
    avp.flags = static_cast<std::uint8_t>(bytes[at + 4]);
    const std::size_t length = read_be(bytes, at + 5, 3);
    const bool vendor = (avp.flags & kVendorBit) != 0;
    const std::size_t header_size = vendor ? 12 : 8;
    if (length < header_size || length > left) {
      return Fault{5014, make_failed_avp(bytes.substr(at), vendor),
                   "AVP " + std::to_string(avp.code) + " at byte " + std::to_string(at) +
                       " of the AVPs has length " + std::to_string(length) + ", with " +
                       std::to_string(left) + " bytes left"};
    }
    if (vendor) avp.vendor = read_be(bytes, at + 8, 4);
    avp.encoded = bytes.substr(at, length);
    avp.data = avp.encoded.substr(header_size);
    out.push_back(avp);
    at += std::min(padded_length(length), left);  // some peers don't pad the last AVP of a group
  }
  return std::nullopt;
}

std::optional<Fault> decode(std::string_view frame, MessageView& out) {
  out.avps.clear();
  if (frame.size() < kHeaderSize) return Fault{5015, "", "message shorter than its header"};
  out.header = read_header(frame);
  const Header& header = out.header;
  if (header.version != 1) return Fault{5011, "", "version " + std::to_string(header.version)};
  if (header.length != frame.size() || header.length % 4 != 0) {
    return Fault{5015, "", "message length " + std::to_string(header.length)};
  }
  // Section 3: requests must not set E, answers must not set T.
  if ((header.flags & kRequest) != 0 ? (header.flags & kErrorBit) != 0
                                     : (header.flags & kRetransmitted) != 0) {
    return Fault{3008, "", "command flags " + std::to_string(header.flags)};
  }
  return split_avps(frame.substr(kHeaderSize), out.avps);
}

std::optional<std::uint32_t> as_u32(const AvpView& avp) {
  if (avp.data.size() != 4) return std::nullopt;
  return read_be(avp.data, 0, 4);
}

std::optional<std::uint64_t> as_u64(const AvpView& avp) {
  if (avp.data.size() != 8) return std::nullopt;
  return std::uint64_t{read_be(avp.data, 0, 4)} << 32 | read_be(avp.data, 4, 4);
}

void Framer::feed(std::string_view bytes) {
  if (failed_) return;
  if (consumed_ > 0) {  // the buffer is compacted once per read, not once per message
    buffer_.erase(0, consumed_);
    consumed_ = 0;
  }
  buffer_.append(bytes);
}

Framer::Status Framer::next(std::string_view& frame) {
  if (failed_) return Status::kFault;
  const std::string_view rest = std::string_view(buffer_).substr(consumed_);
  // The header is checked before the whole message has arrived, so that a wrong version or length is reported
  // at once.
  if (rest.size() < kHeaderSize) return Status::kNeedMore;
  header_ = read_header(rest);
  const std::uint32_t length = header_.length;
  if (header_.version != 1 || length < kHeaderSize || length % 4 != 0 || length > max_length_) {
    failed_ = true;
    fault_ = header_.version != 1 ? Fault{5011, "", "version " + std::to_string(header_.version)}
                                  : Fault{5015, "", "message length " + std::to_string(length)};
    return Status::kFault;
  }
  if (rest.size() < length) return Status::kNeedMore;
  frame = rest.substr(0, length);
  consumed_ += length;
  return Status::kFrame;
}

Builder::Builder(const Header& header) {
  out_.reserve(512);  // larger than most messages
  append_be(out_, header.version, 1);
  append_be(out_, 0, 3);
  append_be(out_, header.flags, 1);
  append_be(out_, header.command, 3);
  append_be(out_, header.application, 4);
  append_be(out_, header.hop_by_hop, 4);
  append_be(out_, header.end_to_end, 4);
}

void Builder::append_avp_header(const AvpDef& def, std::size_t data_length) {
  const std::size_t size = (def.vendor != 0 ? 12 : 8) + data_length;
  const std::uint64_t flags = (def.vendor != 0 ? kVendorBit : 0) | (def.mandatory ? kMandatoryBit : 0);
  append_be(out_, std::uint64_t{def.code} << 32 | flags << 24 | (size & kMaxLength), 8);
  if (def.vendor != 0) append_be(out_, def.vendor, 4);
}

void Builder::append_padding() { out_.resize(padded_length(out_.size()), '\0'); }

Builder& Builder::u32(const AvpDef& def, std::uint32_t value) {
  append_avp_header(def, 4);
  append_be(out_, value, 4);
  return *this;
}

Builder& Builder::u64(const AvpDef& def, std::uint64_t value) {
  append_avp_header(def, 8);
  append_be(out_, value, 8);
  return *this;
}

Builder& Builder::text(const AvpDef& def, std::string_view value) {
  append_avp_header(def, value.size());
  out_.append(value);
  append_padding();
  return *this;
}

Builder& Builder::ipv4(const AvpDef& def, std::uint32_t host_order) {
  append_avp_header(def, 6);
  append_be(out_, 1, 2);
  append_be(out_, host_order, 4);
  append_padding();
  return *this;
}

Builder& Builder::raw(std::string_view encoded) {
  out_.append(encoded);
  append_padding();
  return *this;
}

Builder& Builder::begin_group(const AvpDef& def) {
  open_groups_.push_back(out_.size());
  append_avp_header(def, 0);
  return *this;
}

Builder& Builder::end_group() {
  const std::size_t begin = open_groups_.back();
  open_groups_.pop_back();
  write_be_at(out_, begin + 5, static_cast<std::uint32_t>(out_.size() - begin), 3);
  return *this;
}

std::string Builder::finish() {
  while (!open_groups_.empty()) end_group();
  write_be_at(out_, 1, static_cast<std::uint32_t>(out_.size()), 3);
  return std::move(out_);
}

}  // namespace mintrock::diameter
