// Server-Sent Events: a stream of text cut into events (WHATWG HTML, section 9.2.6).
//
// Pure: bytes in, events out. A line or an event longer than the bound is dropped whole, with a word about
// it.
#ifndef MINTROCK_SRC_LIST_SSE_HPP_
#define MINTROCK_SRC_LIST_SSE_HPP_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace mintrock::list {

struct SseEvent {
  std::string id;  // the last one given, in this event or before
  std::string type;
  std::string data;
};

class SseParser {
 public:
  explicit SseParser(std::size_t most = 16 << 20) : most_(most) {}

  void feed(std::string_view bytes, const std::function<void(const SseEvent&)>& on_event) {
    for (const char c : bytes) {
      if (after_return_ && c == '\n') {  // CRLF is one end of line
        after_return_ = false;
        continue;
      }
      after_return_ = c == '\r';
      if (c == '\r' || c == '\n') {
        end_line(on_event);
      } else if (line_.size() + data_.size() < most_) {
        line_.push_back(c);
      } else {
        too_long_ = true;
      }
    }
  }

  // A new connection: what was begun is dropped, the last id stands.
  void restart() {
    line_.clear();
    data_.clear();
    type_.clear();
    has_data_ = too_long_ = after_return_ = false;
    begun_id_ = id_;
  }

  void set_last_id(const std::string& id) { id_ = begun_id_ = id; }
  // Of the last whole event: one that broke off behind its id has not been told, and is asked for again.
  const std::string& last_id() const { return id_; }
  std::size_t dropped() const { return dropped_; }

 private:
  void end_line(const std::function<void(const SseEvent&)>& on_event) {
    std::string line;
    line.swap(line_);
    if (line.empty()) {
      id_ = begun_id_;
      if (too_long_) {
        dropped_ += 1;
      } else if (has_data_) {
        on_event({id_, type_.empty() ? "message" : type_, data_});
      }
      data_.clear();
      type_.clear();
      has_data_ = too_long_ = false;
      return;
    }
    if (line.front() == ':') return;  // a comment keeps the connection alive
    const std::size_t colon = line.find(':');
    const std::string field = line.substr(0, colon);
    std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
    if (!value.empty() && value[0] == ' ') value.erase(0, 1);
    if (field == "data") {
      if (has_data_) data_ += '\n';
      data_ += value;
      has_data_ = true;
    } else if (field == "event") {
      type_ = value;
    } else if (field == "id") {
      begun_id_ = value;
    }
  }

  std::size_t most_;
  std::string line_, data_, type_, id_, begun_id_;
  bool has_data_ = false;
  bool too_long_ = false;
  bool after_return_ = false;
  std::size_t dropped_ = 0;
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_SSE_HPP_
