// One Diameter connection of a stand-in. Writes every frame it sends or receives to the stand-in's trace. It
// has no peer state machine and enforces no protocol rules: the scenario decides what a stand-in sends, valid
// or not.
#ifndef MINTROCK_SRC_LAB_TRACED_CONNECTION_HPP_
#define MINTROCK_SRC_LAB_TRACED_CONNECTION_HPP_

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "diameter/codec.hpp"
#include "lab/trace.hpp"
#include "net/loop.hpp"

namespace mintrock::lab {

class TracedConnection {
 public:
  struct Handlers {
    std::function<void()> on_open;  // called for outgoing connections only
    std::function<void(const diameter::MessageView&)> on_message;
    std::function<void(const std::string& reason)> on_closed;
  };
  TracedConnection(net::Loop& loop, std::shared_ptr<net::Stream> stream, TraceWriter& trace,
                   std::string local_name, std::uint64_t id, Handlers handlers);
  ~TracedConnection();
  TracedConnection(const TracedConnection&) = delete;

  void send(const std::string& frame);
  // Sends malformed bytes. They are not a frame and are therefore not traced.
  void send_raw(std::string_view bytes) { stream_->write(bytes); }
  void reset();
  void close();
  std::string peer;  // Diameter identity of the peer, once known
  net::Stream& stream() { return *stream_; }
  std::uint64_t id() const { return id_; }

 private:
  void record(v1::Record::Kind kind, bool outgoing, std::string_view frame, const std::string& text);
  net::Loop& loop_;
  std::shared_ptr<net::Stream> stream_;
  TraceWriter& trace_;
  std::string local_name_;
  std::uint64_t id_;
  std::uint16_t local_port_ = 0;
  std::uint16_t remote_port_ = 0;
  diameter::Framer framer_;
  Handlers handlers_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

// Writes the identity, realm and capabilities of a stand-in into a CER or a CEA.
void write_capabilities(diameter::Builder& builder, const std::string& host, std::uint32_t origin_state);

// Begins a Credit-Control request with the AVPs that a caller's set-ups and ends have in common; the caller
// of this function adds the rest. `type` is the CC-Request-Type.
diameter::Builder begin_call_request(const std::string& host, const std::string& session, std::uint32_t type,
                                     std::uint32_t hop_by_hop, std::uint32_t end_to_end,
                                     std::uint8_t extra_flags = 0);

// Encodes a stand-in's CER.
std::string make_cer(const std::string& host, std::uint32_t hop_by_hop, std::uint32_t origin_state);
// Encodes the success answer to a CER, DWR or DPR.
std::string make_base_answer(const diameter::MessageView& request, const std::string& host,
                             std::uint32_t origin_state);

// Writes a NOTE record to the trace: a fact about `participant`, in JSON. `peer` may be empty.
void write_note(TraceWriter& trace, double time, const std::string& participant, const std::string& peer,
                const std::string& json);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_TRACED_CONNECTION_HPP_
