// Remembers servers that left the list and were forgotten, for calls that turn out later to stand there.
//
// Pure: does no I/O and reads no clock. Bounded: the earliest ones are dropped first.
#ifndef MINTROCK_SRC_LIST_DEPARTED_SERVERS_HPP_
#define MINTROCK_SRC_LIST_DEPARTED_SERVERS_HPP_

#include <algorithm>
#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <utility>

#include "list/server_list.hpp"

namespace mintrock::list {

class DepartedServers {
 public:
  static constexpr std::size_t kMaxServers = 512;

  // Replaces an earlier entry of the same identity.
  void add(Entry entry) {
    take(entry.identity);
    if (servers_.size() >= kMaxServers) servers_.pop_front();
    servers_.push_back(std::move(entry));
  }
  // Returns the latest entry of the identity and forgets it.
  std::optional<Entry> take(const std::string& identity) {
    const auto found = std::find_if(servers_.begin(), servers_.end(),
                                    [&](const Entry& each) { return each.identity == identity; });
    if (found == servers_.end()) return {};
    std::optional<Entry> out = std::move(*found);
    servers_.erase(found);
    return out;
  }
  bool contains(const std::string& identity) const {
    return std::any_of(servers_.begin(), servers_.end(),
                       [&](const Entry& each) { return each.identity == identity; });
  }
  std::size_t size() const { return servers_.size(); }

 private:
  std::deque<Entry> servers_;  // in the order in which they were forgotten
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_DEPARTED_SERVERS_HPP_
