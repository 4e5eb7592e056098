#include "lab/traced_connection.hpp"

#include <utility>

#include "diameter/dictionary.hpp"
#include "diameter/peer.hpp"
#include "lab/scenario.hpp"

namespace mintrock::lab {

TracedConnection::TracedConnection(net::Loop& loop, std::shared_ptr<net::Stream> stream, TraceWriter& trace,
                                   std::string local_name, std::uint64_t id, Handlers handlers)
    : loop_(loop),
      stream_(std::move(stream)),
      trace_(trace),
      local_name_(std::move(local_name)),
      id_(id),
      framer_(1 << 20),
      handlers_(std::move(handlers)) {
  local_port_ = stream_->local().port;
  remote_port_ = stream_->remote().port;
  net::Stream::Handlers stream_handlers;
  stream_handlers.on_connected = [this] {
    local_port_ = stream_->local().port;
    record(v1::Record::OPENED, true, {}, "");
    if (handlers_.on_open) handlers_.on_open();
  };
  stream_handlers.on_bytes = [this](std::string_view bytes) {
    const std::shared_ptr<bool> alive = alive_;
    framer_.feed(bytes);
    std::string_view frame;
    while (*alive && framer_.next(frame) == diameter::Framer::Status::kFrame) {
      record(v1::Record::FRAME, false, frame, "");
      diameter::MessageView view;
      if (!diameter::decode(frame, view)) handlers_.on_message(view);
    }
  };
  stream_handlers.on_closed = [this](const std::string& reason) {
    record(v1::Record::CLOSED, false, {}, reason);
    if (handlers_.on_closed) handlers_.on_closed(reason);
  };
  stream_->set_handlers(std::move(stream_handlers));
}

TracedConnection::~TracedConnection() {
  *alive_ = false;
  if (stream_->is_open()) close();
}

void TracedConnection::record(v1::Record::Kind kind, bool outgoing, std::string_view frame,
                              const std::string& text) {
  v1::Record out;
  out.set_time(loop_.now());
  out.set_kind(kind);
  out.set_who(local_name_);
  out.set_with(peer);
  out.set_outgoing(outgoing);
  out.set_frame(frame.data(), frame.size());
  out.set_text(text);
  out.set_local_port(local_port_);
  out.set_remote_port(remote_port_);
  out.set_connection(id_);
  trace_.write(out);
}

void TracedConnection::send(const std::string& frame) {
  if (!stream_->is_open()) return;
  record(v1::Record::FRAME, true, frame, "");
  stream_->write(frame);
}

void TracedConnection::reset() {
  if (!stream_->is_open()) return;
  record(v1::Record::CLOSED, true, {}, "reset");
  stream_->reset();
}

void TracedConnection::close() {
  if (!stream_->is_open()) return;
  record(v1::Record::CLOSED, true, {}, "closed");
  stream_->close_after_flush();
}

void write_capabilities(diameter::Builder& builder, const std::string& host, std::uint32_t origin_state) {
  namespace avp = diameter::avp;
  builder.text(avp::kOriginHost, host)
      .text(avp::kOriginRealm, kRealm)
      .ipv4(avp::kHostIpAddress, 0x7F000001)
      .u32(avp::kVendorId, diameter::kVendorMintrock)
      .text(avp::kProductName, "mintrock-lab")
      .u32(avp::kOriginStateId, origin_state)
      .u32(avp::kAuthApplicationId, diameter::kApplicationCreditControl);
}

diameter::Builder begin_call_request(const std::string& host, const std::string& session, std::uint32_t type,
                                     std::uint32_t hop_by_hop, std::uint32_t end_to_end,
                                     std::uint8_t extra_flags) {
  namespace avp = diameter::avp;
  diameter::Header header;
  header.flags = static_cast<std::uint8_t>(diameter::kRequest | diameter::kProxiable | extra_flags);
  header.command = diameter::kCreditControl;
  header.application = diameter::kApplicationCreditControl;
  header.hop_by_hop = hop_by_hop;
  header.end_to_end = end_to_end;
  diameter::Builder out(header);
  out.text(avp::kSessionId, session)
      .text(avp::kOriginHost, host)
      .text(avp::kOriginRealm, kRealm)
      .text(avp::kDestinationRealm, kRealm)
      .u32(avp::kAuthApplicationId, diameter::kApplicationCreditControl)
      .text(avp::kServiceContextId, "calls@" + std::string(kRealm))
      .u32(avp::kCcRequestType, type)
      .u32(avp::kCcRequestNumber, type == diameter::kInitial ? 0 : 1);
  return out;
}

std::string make_cer(const std::string& host, std::uint32_t hop_by_hop, std::uint32_t origin_state) {
  diameter::Header header;
  header.flags = diameter::kRequest;
  header.command = diameter::kCapabilitiesExchange;
  header.hop_by_hop = hop_by_hop;
  header.end_to_end = hop_by_hop;
  diameter::Builder cer(header);
  write_capabilities(cer, host, origin_state);
  return cer.finish();
}

std::string make_base_answer(const diameter::MessageView& request, const std::string& host,
                             std::uint32_t origin_state) {
  namespace avp = diameter::avp;
  diameter::Builder answer(diameter::answer_header(request.header, false));
  answer.u32(avp::kResultCode, diameter::kSuccess);
  if (request.header.command == diameter::kCapabilitiesExchange) {
    write_capabilities(answer, host, origin_state);
  } else {
    answer.text(avp::kOriginHost, host).text(avp::kOriginRealm, kRealm);
  }
  return answer.finish();
}

void write_note(TraceWriter& trace, double time, const std::string& participant, const std::string& peer,
                const std::string& json) {
  v1::Record out;
  out.set_time(time);
  out.set_kind(v1::Record::NOTE);
  out.set_who(participant);
  out.set_with(peer);
  out.set_text(json);
  trace.write(out);
}

}  // namespace mintrock::lab
