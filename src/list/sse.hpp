// Parses a stream of Server-Sent Events (WHATWG HTML, section 9.2.6).
//
// Pure: does no I/O and reads no clock. An event that exceeds the size limit is dropped as a whole and
// counted.
#ifndef MINTROCK_SRC_LIST_SSE_HPP_
#define MINTROCK_SRC_LIST_SSE_HPP_

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace mintrock::list {

struct SseEvent {
  std::string id;  // the last id received, in this event or an earlier one
  std::string type;
  std::string data;
};

class SseParser {
 public:
  explicit SseParser(std::size_t max_size = 16 << 20) : max_size_(max_size) {}

  // `on_comment` is called for each comment line; it may be empty.
  void feed(std::string_view bytes, const std::function<void(const SseEvent&)>& on_event,
            const std::function<void()>& on_comment = {}) {
    for (const char c : bytes) {
      if (after_cr_ && c == '\n') {  // CRLF is a single line end
        after_cr_ = false;
        continue;
      }
      after_cr_ = c == '\r';
      if (c == '\r' || c == '\n') {
        end_line(on_event, on_comment);
      } else {
        add(c);
      }
    }
  }

  // Prepares for a new connection: drops a partly received event, keeps the last id.
  void restart() {
    line_.clear();
    data_.clear();
    type_.clear();
    has_data_ = too_long_ = after_cr_ = false;
    pending_id_ = id_;
  }

  void set_last_id(const std::string& id) { id_ = pending_id_ = id; }
  // Returns the id of the last complete event. An event that broke off after its id was not delivered, so it
  // must be requested again.
  const std::string& last_id() const { return id_; }
  std::size_t dropped() const { return dropped_; }

 private:
  void add(char c) {
    if (!too_long_ && line_.size() + data_.size() >= max_size_) {
      too_long_ = true;
      std::string().swap(line_);  // clear() keeps the memory
      std::string().swap(data_);
    }
    if (!too_long_ || line_.empty()) line_.push_back(c);  // of a dropped event: whether a line is empty
  }

  void end_line(const std::function<void(const SseEvent&)>& on_event,
                const std::function<void()>& on_comment) {
    std::string line;
    line.swap(line_);
    if (line.empty()) {
      id_ = pending_id_;
      if (too_long_) {
        dropped_ += 1;
      } else if (has_data_) {
        on_event({id_, type_.empty() ? "message" : type_, data_});
      }
      std::string().swap(data_);
      type_.clear();
      has_data_ = too_long_ = false;
      return;
    }
    if (line.front() == ':') {  // a comment, sent to keep the connection alive
      if (on_comment) on_comment();
      return;
    }
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
      pending_id_ = value;
    }
  }

  std::size_t max_size_;
  std::string line_, data_, type_, id_, pending_id_;
  bool has_data_ = false;
  bool too_long_ = false;
  bool after_cr_ = false;
  std::size_t dropped_ = 0;
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_SSE_HPP_
