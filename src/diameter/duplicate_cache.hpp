// Duplicate detection (RFC 6733 sections 3 and 9.4): a cache of requests, identified by Origin-Host and
// End-to-End id, with the answer sent to each.
//
// A pure module: it does no I/O and reads no clock. Bounded in size and in age; evicts the oldest request
// first.
#ifndef MINTROCK_SRC_DIAMETER_DUPLICATE_CACHE_HPP_
#define MINTROCK_SRC_DIAMETER_DUPLICATE_CACHE_HPP_

#include <absl/container/flat_hash_map.h>
#include <absl/hash/hash.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace mintrock::diameter {

class DuplicateCache {
 public:
  // Keeps at most `max_entries` requests, each for `keep_s` seconds.
  DuplicateCache(std::size_t max_entries, double keep_s) : max_entries_(max_entries), keep_s_(keep_s) {}

  struct Entry {
    std::string answer;  // empty: not answered yet
    double expires_at = 0;
    std::string host;
    std::uint32_t end_to_end = 0;
  };

  // Returns the entry of a request that was seen before and has not expired. Otherwise inserts the request
  // and returns null.
  const Entry* find_or_insert(std::string_view host, std::uint32_t end_to_end, double now) {
    const std::uint64_t key = key_of(host, end_to_end);
    if (Entry* cached = find(key, host, end_to_end); cached != nullptr && cached->expires_at > now)
      return cached;
    // The slots are filled in a ring, so the one that is overwritten is the oldest. Its strings keep their
    // memory for reuse.
    if (slots_.size() < max_entries_) {
      newest_ = slots_.size();
      slots_.emplace_back();
    } else {
      newest_ = (newest_ + 1) % slots_.size();
      const Entry& evicted = slots_[newest_];
      const auto found = index_.find(key_of(evicted.host, evicted.end_to_end));
      if (found != index_.end() && found->second == newest_) index_.erase(found);
    }
    Entry& inserted = slots_[newest_];
    inserted.answer.clear();
    inserted.expires_at = now + keep_s_;
    inserted.host.assign(host);
    inserted.end_to_end = end_to_end;
    index_[key] = newest_;
    return nullptr;
  }

  // Stores the answer to a request. Does nothing if the request is no longer cached.
  void store_answer(std::string_view host, std::uint32_t end_to_end, std::string_view answer) {
    Entry* cached = find(key_of(host, end_to_end), host, end_to_end);
    if (cached != nullptr) cached->answer.assign(answer);
  }

  std::size_t size() const { return slots_.size(); }

 private:
  static std::uint64_t key_of(std::string_view host, std::uint32_t end_to_end) {
    return absl::HashOf(host, end_to_end);
  }
  // Requests whose keys collide are distinguished by the fields of the entry; only the later one is indexed.
  Entry* find(std::uint64_t key, std::string_view host, std::uint32_t end_to_end) {
    const auto found = index_.find(key);
    if (found == index_.end()) return nullptr;
    Entry& entry = slots_[found->second];
    return entry.end_to_end == end_to_end && entry.host == host ? &entry : nullptr;
  }

  std::size_t max_entries_;
  double keep_s_;
  std::vector<Entry> slots_;
  std::size_t newest_ = 0;
  absl::flat_hash_map<std::uint64_t, std::size_t> index_;
};

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_DUPLICATE_CACHE_HPP_
