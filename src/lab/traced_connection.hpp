// One Diameter connection of a stand-in: frames in and out, each written to its trace. It knows no states and
// keeps no rules: what a stand-in sends, right or wrong, is the scenario's matter.
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
    std::function<void()> on_open;  // outgoing ones
    std::function<void(const diameter::MessageView&)> on_message;
    std::function<void(const std::string& why)> on_closed;
  };
  TracedConnection(net::Loop& loop, std::shared_ptr<net::Stream> stream, TraceWriter& trace, std::string who,
                   std::uint64_t number, Handlers handlers);
  ~TracedConnection();
  TracedConnection(const TracedConnection&) = delete;

  void send(const std::string& frame);
  void send_raw(std::string_view bytes) { stream_->write(bytes); }  // garbage: no frame, not traced as one
  void reset();
  void close();
  std::string peer;  // the identity at the other end, once known
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

// Identity, realm and capabilities for a CER or a CEA of a stand-in.
void write_capabilities(diameter::Builder& builder, const std::string& host, std::uint32_t origin_state);

// A Credit-Control request as callers send it, but for what set-ups and ends have besides, which is added to
// it; `type` is CC-Request-Type.
diameter::Builder begin_call_request(const std::string& host, const std::string& session, std::uint32_t type,
                                     std::uint32_t hop_by_hop, std::uint32_t end_to_end,
                                     std::uint8_t more_flags = 0);

// A stand-in's CER; and the success that answers a CER, DWR or DPR.
std::string make_cer(const std::string& host, std::uint32_t hop_by_hop, std::uint32_t origin_state);
std::string make_base_answer(const diameter::MessageView& request, const std::string& host,
                             std::uint32_t origin_state);

// A fact about a stand-in, as JSON.
void write_note(TraceWriter& trace, double time, const std::string& who, const std::string& with,
                const std::string& json);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_TRACED_CONNECTION_HPP_
