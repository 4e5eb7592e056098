// Settings that most tests of the Controller start from.
#ifndef MINTROCK_TESTS_USUAL_SETTINGS_HPP_
#define MINTROCK_TESTS_USUAL_SETTINGS_HPP_

#include "mintrock/controller.hpp"

namespace mintrock {

inline Settings usual_settings() {
  Settings settings;
  settings.classes.resize(2);
  settings.classes[0].target_s = 1.2;
  settings.classes[1].target_s = 1.5;
  settings.classes[1].value = 4;
  for (Settings::Class& c : settings.classes) c.deadline_s = 9;
  settings.release_wait_s = 0.5;
  settings.start_capacity = 0.3;
  settings.warm_up_s = 12;
  settings.overload_factor = 2;
  settings.fall_s = 2;
  settings.attempt_limit = 4;
  settings.max_retry_after_s = 2;
  settings.can_cancel = true;
  settings.gives_retry_after = true;
  return settings;
}

}  // namespace mintrock

#endif  // MINTROCK_TESTS_USUAL_SETTINGS_HPP_
