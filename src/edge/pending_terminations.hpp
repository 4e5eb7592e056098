// Terminations that callers requested and core servers have not confirmed yet.
//
// The caller gets a success answer only after the core side has confirmed the end. A termination that is lost
// together with the proxy or a connection stays unanswered, so the caller sends it again, possibly through
// another proxy (RFC 6733 section 5.5.4). If the request does not name the core server, several are asked;
// the termination completes when one of them has ended the session or all of them have answered.
//
// Does no I/O and reads no clock. The owner keeps the number of entries at `max_size` by checking full().
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

// A caller's termination request with what is needed to answer it.
struct TerminationRequest {
  std::string peer;     // the caller it came from
  std::string request;  // the encoded request
  std::string success;  // the encoded answer for success
};

class PendingTerminations {
 public:
  PendingTerminations(std::size_t max_size, double timeout_s) : max_size_(max_size), timeout_s_(timeout_s) {}

  bool full() const { return pending_.size() >= max_size_; }
  std::size_t size() const { return pending_.size(); }

  // Records a termination that has been sent to `servers` core servers. `ended_locally`: the call belonged to
  // this proxy, so it has ended whatever the servers answer. If the session's termination is pending already,
  // only the request to answer is replaced.
  void add(const std::string& session, TerminationRequest request, std::uint32_t servers, bool ended_locally,
           double now) {
    const auto [entry, inserted] = pending_.try_emplace(session);
    entry->second.request = std::move(request);
    if (!inserted) return;
    entry->second.awaited = servers;
    entry->second.ended = ended_locally;
    entry->second.serial = ++last_serial_;
    deadlines_.push_back({now + timeout_s_, last_serial_, session});
  }
  // A repeated request for a pending termination: only the latest request is answered. Returns false if none
  // is pending for the session.
  bool replace_request(const std::string& session, TerminationRequest& request) {
    const auto entry = pending_.find(session);
    if (entry == pending_.end()) return false;
    entry->second.request = std::move(request);
    return true;
  }

  struct Completed {
    TerminationRequest request;
    bool ended = false;  // false: no server knew the session
  };
  // A core server answered: it has ended the session, or (`ended` false) does not know it. Returns the
  // termination if this completes it.
  std::optional<Completed> confirm(const std::string& session, bool ended) {
    const auto entry = pending_.find(session);
    if (entry == pending_.end()) return std::nullopt;
    entry->second.ended |= ended;
    if (--entry->second.awaited > 0 && !entry->second.ended) return std::nullopt;
    Completed out{std::move(entry->second.request), entry->second.ended};
    pending_.erase(entry);
    return out;
  }

  double deadline() const {
    return deadlines_.empty() ? std::numeric_limits<double>::infinity() : deadlines_.front().due;
  }
  // Removes and returns the requests that were not confirmed in time.
  std::vector<TerminationRequest> take_expired(double now) {
    std::vector<TerminationRequest> out;
    while (!deadlines_.empty() && deadlines_.front().due <= now) {
      const auto entry = pending_.find(deadlines_.front().session);
      if (entry != pending_.end() && entry->second.serial == deadlines_.front().serial) {
        out.push_back(std::move(entry->second.request));
        pending_.erase(entry);
      }
      deadlines_.pop_front();
    }
    return out;
  }

 private:
  struct Pending {
    TerminationRequest request;
    std::uint32_t awaited = 0;  // answers still to come
    bool ended = false;
    std::uint64_t serial = 0;  // distinguishes it from earlier terminations of the session
  };
  struct Deadline {
    double due;
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
