// Checks the order of the numbered events of a subscription: which event to apply, which to skip as a
// duplicate, and when to resubscribe after the last applied one.
//
// Pure: does no I/O and reads no clock. After a missing or unreadable event no later delta is applied. An
// event that stays unreadable is skipped after a few attempts, so that it cannot block the list.
#ifndef MINTROCK_SRC_LIST_EVENT_ORDER_HPP_
#define MINTROCK_SRC_LIST_EVENT_ORDER_HPP_

#include <cstdint>

namespace mintrock::list {

class EventOrder {
 public:
  enum class Decision { kApply, kSkip, kResubscribe };
  explicit EventOrder(std::uint64_t last) : last_(last) {}

  // Returns what to do with the event of this number. A full list can be applied without the events before
  // it.
  Decision classify(std::uint64_t number, bool full) {
    if (resubscribing_ || number <= last_) return Decision::kSkip;
    if (number > last_ + 1 && !full && resubscriptions_ < kMaxResubscriptions) return resubscribe();
    last_ = number;
    resubscriptions_ = 0;
    return Decision::kApply;
  }
  Decision on_unreadable() {
    return resubscribing_ || resubscriptions_ >= kMaxResubscriptions ? Decision::kSkip : resubscribe();
  }
  void on_resubscribed() { resubscribing_ = false; }
  std::uint64_t last() const { return last_; }  // number of the last event applied

 private:
  static constexpr int kMaxResubscriptions = 3;
  Decision resubscribe() {
    resubscriptions_ += 1;
    resubscribing_ = true;
    return Decision::kResubscribe;
  }
  std::uint64_t last_;
  int resubscriptions_ = 0;     // since the last event was applied
  bool resubscribing_ = false;  // events that still arrive on the old subscription are skipped
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_EVENT_ORDER_HPP_
