#include "platform/ended_calls.hpp"

namespace mintrock::platform {

void EndedCalls::close(std::uint64_t id, bool may_have_run) {
  const auto [entry, inserted] = closed_.emplace(id, may_have_run);
  entry->second = entry->second || may_have_run;
  if (!inserted) return;
  closed_order_.push_back(id);
  if (closed_order_.size() <= max_closed_) return;
  closed_.erase(closed_order_.front());
  closed_order_.pop_front();
  owed_until_ = 0;  // an unknown call may be the forgotten one
}

bool EndedCalls::handle_end(std::uint64_t id, double now) {
  if (closed_.count(id) != 0) return false;
  if (now < owed_until_) {
    close(id, true);
    return true;
  }
  if (!unclaimed_.insert(id).second) return false;
  unclaimed_order_.push_back(id);
  if (unclaimed_order_.size() <= max_unclaimed_) return false;
  unclaimed_.erase(unclaimed_order_.front());
  unclaimed_order_.pop_front();
  return false;
}

bool EndedCalls::claim(std::uint64_t id) {
  if (closed_.count(id) != 0) return true;
  if (unclaimed_.count(id) == 0) return false;
  close(id, true);
  return true;
}

bool EndedCalls::may_have_run(std::uint64_t id) const {
  const auto found = closed_.find(id);
  return found == closed_.end() ? unclaimed_.count(id) != 0 : found->second;
}

}  // namespace mintrock::platform
