// Ends of calls that callers asked for and core servers have not confirmed yet.
//
// A caller is told that its call has ended once the core side has said so: an end that is lost on the way,
// with the proxy or with a connection, stays unanswered and comes again (RFC 6733 section 5.5.4), through
// whatever proxy. An end whose server nobody names is asked of several; it is over when all have answered.
//
// Pure: events and times in; at most `most` at once.
#ifndef MINTROCK_SRC_EDGE_PENDING_TERMINATIONS_HPP_
#define MINTROCK_SRC_EDGE_PENDING_TERMINATIONS_HPP_

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
struct TerminationRequest {
  std::string peer;     // whom it came from
  std::string request;  // its bytes
  std::string success;  // its answer, if all goes well
};

class PendingTerminations {
 public:
  PendingTerminations(std::size_t max_size, double timeout_s) : max_size_(max_size), timeout_s_(timeout_s) {}

  bool full() const { return pending_.size() >= max_size_; }
  std::size_t size() const { return pending_.size(); }

  // An end is on its way to so many core servers. `known`: the call was this proxy's own, so it has ended
  // whatever they say. An end that is under way already goes on, for the latest request.
  void add(const std::string& session, TerminationRequest request, std::uint32_t servers, bool ended_locally,
           double now) {
    const auto [at, inserted] = pending_.try_emplace(session);
    at->second.request = std::move(request);
    if (!inserted) return;
    at->second.awaited = servers;
    at->second.ended = ended_locally;
    at->second.serial = ++last_serial_;
    deadlines_.push_back({now + timeout_s_, last_serial_, session});
  }
  // The same end again, while it is under way: answered once, to the later request. False: not known.
  bool replace_request(const std::string& session, TerminationRequest& request) {
    const auto at = pending_.find(session);
    if (at == pending_.end()) return false;
    at->second.request = std::move(request);
    return true;
  }

  struct Completed {
    TerminationRequest request;
    bool ended = false;  // some server held it and has ended it; else none knew it
  };
  // A core server answered: it has ended the session, or does not know it. The end, if it is over by that.
  std::optional<Completed> confirm(const std::string& session, bool ended) {
    const auto at = pending_.find(session);
    if (at == pending_.end()) return std::nullopt;
    at->second.ended |= ended;
    if (--at->second.awaited > 0 && !at->second.ended) return std::nullopt;
    Completed out{std::move(at->second.request), at->second.ended};
    pending_.erase(at);
    return out;
  }

  double deadline() const {
    return deadlines_.empty() ? std::numeric_limits<double>::infinity() : deadlines_.front().at;
  }
  // Those that nobody confirmed in time.
  std::vector<TerminationRequest> take_expired(double now) {
    std::vector<TerminationRequest> out;
    while (!deadlines_.empty() && deadlines_.front().at <= now) {
      const auto at = pending_.find(deadlines_.front().session);
      if (at != pending_.end() && at->second.serial == deadlines_.front().serial) {
        out.push_back(std::move(at->second.request));
        pending_.erase(at);
      }
      deadlines_.pop_front();
    }
    return out;
  }

 private:
  struct Pending {
    TerminationRequest request;
    std::uint32_t awaited = 0;
    bool ended = false;
    std::uint64_t serial = 0;
  };
  struct Deadline {
    double at;
    std::uint64_t serial;
    std::string session;
  };
  std::size_t max_size_;
  double timeout_s_;
  absl::flat_hash_map<std::string, Pending> pending_;
  std::deque<Deadline> deadlines_;
  std::uint64_t last_serial_ = 0;
};

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_PENDING_TERMINATIONS_HPP_
