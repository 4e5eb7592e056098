// Duplicate detection (RFC 6733 sections 3 and 9.4): requests known by Origin-Host and End-to-End id, with
// the answer that was given.
//
// Pure. Bounded in number and in age; the oldest goes first.
#ifndef MINTROCK_SRC_DIAMETER_DUPLICATES_HPP_
#define MINTROCK_SRC_DIAMETER_DUPLICATES_HPP_

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace mintrock::diameter {

class Duplicates {
 public:
  // Keeps at most `most` requests, each for `keep_s` seconds.
  Duplicates(std::size_t most, double keep_s) : most_(most), keep_s_(keep_s) {}

  struct Entry {
    std::string answer;  // empty: not answered yet
    double until = 0;
  };

  // The entry if this request was seen before and is still kept, else null; then it is noted.
  const Entry* seen(std::string_view host, std::uint32_t end_to_end, double now) {
    expire(now);
    Key key{std::string(host), end_to_end};
    const auto [at, fresh] = entries_.emplace(key, Entry{{}, now + keep_s_});
    if (!fresh) return &at->second;
    order_.emplace_back(now + keep_s_, std::move(key));
    while (entries_.size() > most_) drop_oldest();
    return nullptr;
  }

  // Notes the answer that was given; nothing if the request is no longer kept.
  void answered(std::string_view host, std::uint32_t end_to_end, std::string answer) {
    const auto found = entries_.find({std::string(host), end_to_end});
    if (found != entries_.end()) found->second.answer = std::move(answer);
  }

  std::size_t size() const { return entries_.size(); }

 private:
  using Key = std::pair<std::string, std::uint32_t>;
  struct KeyHash {
    std::size_t operator()(const Key& key) const {
      return std::hash<std::string>()(key.first) ^ key.second * std::size_t{0x9E3779B97F4A7C15u};
    }
  };
  void expire(double now) {
    while (!order_.empty() && order_.front().first <= now) drop_oldest();
  }
  void drop_oldest() {
    entries_.erase(order_.front().second);
    order_.pop_front();
  }

  std::size_t most_;
  double keep_s_;
  std::unordered_map<Key, Entry, KeyHash> entries_;
  std::deque<std::pair<double, Key>> order_;
};

}  // namespace mintrock::diameter

#endif  // MINTROCK_SRC_DIAMETER_DUPLICATES_HPP_
