// Ends of calls that callers asked for and core servers have not confirmed yet.
//
// A caller is told that its call has ended once the core side has said so: an end that is lost on the way,
// with the proxy or with a connection, stays unanswered and comes again (RFC 6733 section 5.5.4), through
// whatever proxy. An end whose server nobody names is asked of several; it is over when all have answered.
//
// Pure: events and times in; at most `most` at once.
#ifndef MINTROCK_SRC_EDGE_ENDINGS_HPP_
#define MINTROCK_SRC_EDGE_ENDINGS_HPP_

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <deque>
#include <limits>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace mintrock::edge {

// What the caller's request must be answered with, kept until then.
struct EndRequest {
  std::string peer;     // whom it came from
  std::string request;  // its bytes
  std::string success;  // its answer, if all goes well
};

class Endings {
 public:
  Endings(std::size_t most, double wait_s) : most_(most), wait_s_(wait_s) {}

  bool full() const { return open_.size() >= most_; }
  std::size_t size() const { return open_.size(); }

  // An end is on its way to so many core servers. `known`: the call was this proxy's own, so it has ended
  // whatever they say. An end that is under way already goes on, for the latest request.
  void begin(const std::string& session, EndRequest request, std::uint32_t servers, bool known, double now) {
    const auto [at, fresh] = open_.try_emplace(session);
    at->second.request = std::move(request);
    if (!fresh) return;
    at->second.left = servers;
    at->second.ended = known;
    at->second.serial = ++last_;
    due_.push_back({now + wait_s_, last_, session});
  }
  // The same end again, while it is under way: answered once, to the later request. False: not known.
  bool repeated(const std::string& session, EndRequest& request) {
    const auto at = open_.find(session);
    if (at == open_.end()) return false;
    at->second.request = std::move(request);
    return true;
  }

  struct Over {
    EndRequest request;
    bool ended = false;  // some server held it and has ended it; else none knew it
  };
  // A core server answered: it has ended the session, or does not know it. The end, if it is over by that.
  std::optional<Over> confirmed(const std::string& session, bool ended) {
    const auto at = open_.find(session);
    if (at == open_.end()) return std::nullopt;
    at->second.ended |= ended;
    if (--at->second.left > 0 && !at->second.ended) return std::nullopt;
    Over out{std::move(at->second.request), at->second.ended};
    open_.erase(at);
    return out;
  }

  double deadline() const { return due_.empty() ? std::numeric_limits<double>::infinity() : due_.front().at; }
  // Those that nobody confirmed in time.
  std::vector<EndRequest> overdue(double now) {
    std::vector<EndRequest> out;
    while (!due_.empty() && due_.front().at <= now) {
      const auto at = open_.find(due_.front().session);
      if (at != open_.end() && at->second.serial == due_.front().serial) {
        out.push_back(std::move(at->second.request));
        open_.erase(at);
      }
      due_.pop_front();
    }
    return out;
  }

 private:
  struct Open {
    EndRequest request;
    std::uint32_t left = 0;
    bool ended = false;
    std::uint64_t serial = 0;
  };
  struct Due {
    double at;
    std::uint64_t serial;
    std::string session;
  };
  std::size_t most_;
  double wait_s_;
  absl::flat_hash_map<std::string, Open> open_;
  std::deque<Due> due_;
  std::uint64_t last_ = 0;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_ENDINGS_HPP_
