// The order of a watch's numbered events: which is taken, which is known already, and when the watch has to
// be begun again behind the last good one.
//
// Pure: numbers in, verdicts out. With one missing or unreadable nothing behind it is taken as if it had been
// told; one that can never be read is passed over after a few times, since it must not stop the list.
#ifndef MINTROCK_SRC_LIST_EVENT_ORDER_HPP_
#define MINTROCK_SRC_LIST_EVENT_ORDER_HPP_

#include <cstdint>

namespace mintrock::list {

class EventOrder {
 public:
  enum class Decision { kApply, kSkip, kResubscribe };
  explicit EventOrder(std::uint64_t last) : last_(last) {}

  // A whole list needs nothing before it.
  Decision classify(std::uint64_t number, bool whole) {
    if (asking_ || number <= last_) return Decision::kSkip;
    if (number > last_ + 1 && !whole && asked_ < kMostAsked) return ask();
    last_ = number;
    asked_ = 0;
    return Decision::kApply;
  }
  Decision on_unreadable() { return asking_ || asked_ >= kMostAsked ? Decision::kSkip : ask(); }
  void on_resubscribed() { asking_ = false; }
  std::uint64_t last() const { return last_; }  // the last one taken

 private:
  static constexpr int kMostAsked = 3;
  Decision ask() {
    asked_ += 1;
    asking_ = true;
    return Decision::kResubscribe;
  }
  std::uint64_t last_;
  int asked_ = 0;        // times, behind last_
  bool asking_ = false;  // what still comes of the old watch is behind the missing one
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_EVENT_ORDER_HPP_
