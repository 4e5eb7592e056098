// The settings that tests of the Controller begin with.
#ifndef MINTROCK_TESTS_USUAL_SETTINGS_HPP_
#define MINTROCK_TESTS_USUAL_SETTINGS_HPP_

#include "mintrock/controller.hpp"

namespace mintrock {

inline Settings usual() {
  Settings s;
  s.classes.resize(2);
  s.classes[0].target_s = 1.2;
  s.classes[1].target_s = 1.5;
  s.classes[1].value = 4;
  for (Settings::Class& c : s.classes) c.deadline_s = 9;
  s.release_wait_s = 0.5;
  s.start_capacity = 0.3;
  s.warm_up_s = 12;
  s.overload_factor = 2;
  s.fall_s = 2;
  s.attempt_limit = 4;
  s.max_retry_after_s = 2;
  s.can_cancel = true;
  s.gives_retry_after = true;
  return s;
}

}  // namespace mintrock

#endif  // MINTROCK_TESTS_USUAL_SETTINGS_HPP_
