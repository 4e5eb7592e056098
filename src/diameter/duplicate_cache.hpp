// Duplicate detection (RFC 6733 sections 3 and 9.4): requests known by Origin-Host and End-to-End id, with
// the answer that was given.
//
// Pure. Bounded in number and in age; the oldest goes first.
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
  // Keeps at most `most` requests, each for `keep_s` seconds.
  DuplicateCache(std::size_t most, double keep_s) : most_(most), keep_s_(keep_s) {}

  struct Entry {
    std::string answer;  // empty: not answered yet
    double until = 0;
    std::string host;
    std::uint32_t end_to_end = 0;
  };

  // The entry if this request was seen before and is still kept, else null; then it is noted.
  const Entry* find_or_insert(std::string_view host, std::uint32_t end_to_end, double now) {
    const std::uint64_t key = key_of(host, end_to_end);
    if (Entry* known = find(key, host, end_to_end); known != nullptr && known->until > now) return known;
    // Places are used in turn, so the one that is taken over is the oldest. Its strings' memory is used
    // again.
    if (places_.size() < most_) {
      next_ = places_.size();
      places_.emplace_back();
    } else {
      next_ = (next_ + 1) % places_.size();
      const Entry& old = places_[next_];
      const auto at = index_.find(key_of(old.host, old.end_to_end));
      if (at != index_.end() && at->second == next_) index_.erase(at);
    }
    Entry& fresh = places_[next_];
    fresh.answer.clear();
    fresh.until = now + keep_s_;
    fresh.host.assign(host);
    fresh.end_to_end = end_to_end;
    index_[key] = next_;
    return nullptr;
  }

  // Notes the answer that was given; nothing if the request is no longer kept.
  void store_answer(std::string_view host, std::uint32_t end_to_end, std::string_view answer) {
    Entry* known = find(key_of(host, end_to_end), host, end_to_end);
    if (known != nullptr) known->answer.assign(answer);
  }

  std::size_t size() const { return places_.size(); }

 private:
  static std::uint64_t key_of(std::string_view host, std::uint32_t end_to_end) {
    return absl::HashOf(host, end_to_end);
  }
  // Two requests of one key are told apart by what stands in the place: the later one is then kept alone.
  Entry* find(std::uint64_t key, std::string_view host, std::uint32_t end_to_end) {
    const auto at = index_.find(key);
    if (at == index_.end()) return nullptr;
    Entry& entry = places_[at->second];
    return entry.end_to_end == end_to_end && entry.host == host ? &entry : nullptr;
  }

  std::size_t most_;
  double keep_s_;
  std::vector<Entry> places_;
  std::size_t next_ = 0;
  absl::flat_hash_map<std::uint64_t, std::size_t> index_;
};

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_DUPLICATE_CACHE_HPP_
