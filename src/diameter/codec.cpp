#include "diameter/codec.hpp"

#include <algorithm>

#include "diameter/dictionary.hpp"

namespace mintrock::diameter {
namespace {

std::uint32_t get(std::string_view bytes, std::size_t at, std::size_t width) {
  std::uint32_t value = 0;
  for (std::size_t i = 0; i < width; ++i) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
  return value;
}

void put(std::string& out, std::uint64_t value, std::size_t width) {
  char bytes[8];
  for (std::size_t i = 0; i < width; ++i) bytes[i] = static_cast<char>(value >> (8 * (width - 1 - i)) & 0xFF);
  out.append(bytes, width);
}

void put_at(std::string& out, std::size_t at, std::uint32_t value, std::size_t width) {
  for (std::size_t i = 0; i < width; ++i)
    out[at + i] = static_cast<char>(value >> (8 * (width - 1 - i)) & 0xFF);
}

std::size_t padded(std::size_t length) { return (length + 3) & ~std::size_t{3}; }

// RFC 6733 section 7.1.5: the offending AVP's header, with the least data that makes it well-formed.
std::string repaired_avp(std::string_view head, bool vendor) {
  const std::size_t size = vendor ? 12 : 8;
  std::string avp(head.substr(0, std::min(size, head.size())));
  avp.resize(size, '\0');
  put_at(avp, 5, static_cast<std::uint32_t>(size), 3);
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
  header.length = get(bytes, 1, 3);
  header.flags = static_cast<std::uint8_t>(bytes[4]);
  header.command = get(bytes, 5, 3);
  header.application = get(bytes, 8, 4);
  header.hop_by_hop = get(bytes, 12, 4);
  header.end_to_end = get(bytes, 16, 4);
  return header;
}

std::optional<Fault> split_avps(std::string_view bytes, std::vector<AvpView>& out) {
  std::size_t at = 0;
  while (at < bytes.size()) {
    const std::size_t left = bytes.size() - at;
    if (left < 8) {
      return Fault{5014, repaired_avp(bytes.substr(at), false),
                   "an AVP header is cut at byte " + std::to_string(at) + " of the AVPs"};
    }
    AvpView avp;
    avp.code = get(bytes, at, 4);
    avp.flags = static_cast<std::uint8_t>(bytes[at + 4]);
    const std::size_t length = get(bytes, at + 5, 3);
    const bool vendor = (avp.flags & kVendorBit) != 0;
    const std::size_t head = vendor ? 12 : 8;
    if (length < head || length > left) {
      return Fault{5014, repaired_avp(bytes.substr(at), vendor),
                   "AVP " + std::to_string(avp.code) + " at byte " + std::to_string(at) +
                       " of the AVPs has length " + std::to_string(length) + ", with " +
                       std::to_string(left) + " bytes left"};
    }
    if (vendor) avp.vendor = get(bytes, at + 8, 4);
    avp.encoded = bytes.substr(at, length);
    avp.data = avp.encoded.substr(head);
    out.push_back(avp);
    at += std::min(padded(length), left);  // the last AVP of a group may come unpadded from some peers
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
  // Section 3: E is not for requests, T not for answers.
  if ((header.flags & kRequest) != 0 ? (header.flags & kErrorBit) != 0
                                     : (header.flags & kRetransmitted) != 0) {
    return Fault{3008, "", "command flags " + std::to_string(header.flags)};
  }
  return split_avps(frame.substr(kHeaderSize), out.avps);
}

std::optional<std::uint32_t> as_u32(const AvpView& avp) {
  if (avp.data.size() != 4) return std::nullopt;
  return get(avp.data, 0, 4);
}

std::optional<std::uint64_t> as_u64(const AvpView& avp) {
  if (avp.data.size() != 8) return std::nullopt;
  return std::uint64_t{get(avp.data, 0, 4)} << 32 | get(avp.data, 4, 4);
}

void Framer::feed(std::string_view bytes) {
  if (broken_) return;
  if (at_ > 0) {  // moved once a read, not once a message
    buffer_.erase(0, at_);
    at_ = 0;
  }
  buffer_.append(bytes);
}

Framer::Status Framer::next(std::string_view& frame) {
  if (broken_) return Status::kFault;
  const std::string_view rest = std::string_view(buffer_).substr(at_);
  // The version is looked at with the first bytes: a peer that speaks something else is told at once.
  if (rest.size() < kHeaderSize) return Status::kNeedMore;
  header_ = read_header(rest);
  const std::uint32_t length = header_.length;
  if (header_.version != 1 || length < kHeaderSize || length % 4 != 0 || length > max_length_) {
    broken_ = true;
    fault_ = header_.version != 1 ? Fault{5011, "", "version " + std::to_string(header_.version)}
                                  : Fault{5015, "", "message length " + std::to_string(length)};
    return Status::kFault;
  }
  if (rest.size() < length) return Status::kNeedMore;
  frame = rest.substr(0, length);
  at_ += length;
  return Status::kFrame;
}

Builder::Builder(const Header& header) {
  out_.reserve(512);  // most messages are shorter
  put(out_, header.version, 1);
  put(out_, 0, 3);
  put(out_, header.flags, 1);
  put(out_, header.command, 3);
  put(out_, header.application, 4);
  put(out_, header.hop_by_hop, 4);
  put(out_, header.end_to_end, 4);
}

void Builder::head(const AvpDef& def, std::size_t data_length) {
  const std::size_t size = (def.vendor != 0 ? 12 : 8) + data_length;
  const std::uint64_t flags = (def.vendor != 0 ? kVendorBit : 0) | (def.mandatory ? kMandatoryBit : 0);
  put(out_, std::uint64_t{def.code} << 32 | flags << 24 | (size & kMaxLength), 8);
  if (def.vendor != 0) put(out_, def.vendor, 4);
}

void Builder::pad() { out_.resize(padded(out_.size()), '\0'); }

Builder& Builder::u32(const AvpDef& def, std::uint32_t value) {
  head(def, 4);
  put(out_, value, 4);
  return *this;
}

Builder& Builder::u64(const AvpDef& def, std::uint64_t value) {
  head(def, 8);
  put(out_, value, 8);
  return *this;
}

Builder& Builder::text(const AvpDef& def, std::string_view value) {
  head(def, value.size());
  out_.append(value);
  pad();
  return *this;
}

Builder& Builder::ipv4(const AvpDef& def, std::uint32_t host_order) {
  head(def, 6);
  put(out_, 1, 2);
  put(out_, host_order, 4);
  pad();
  return *this;
}

Builder& Builder::raw(std::string_view whole) {
  out_.append(whole);
  pad();
  return *this;
}

Builder& Builder::begin_group(const AvpDef& def) {
  open_.push_back(out_.size());
  head(def, 0);
  return *this;
}

Builder& Builder::end_group() {
  const std::size_t begin = open_.back();
  open_.pop_back();
  put_at(out_, begin + 5, static_cast<std::uint32_t>(out_.size() - begin), 3);
  return *this;
}

std::string Builder::finish() {
  while (!open_.empty()) end_group();
  put_at(out_, 1, static_cast<std::uint32_t>(out_.size()), 3);
  return std::move(out_);
}

}  // namespace mintrock::diameter
