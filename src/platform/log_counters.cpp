#include "platform/log_counters.hpp"

#include <string>

#include "edge/logging.hpp"

namespace mintrock::platform {

using edge::log_event;

void log_counters(const edge::CallManager& call_manager, const CallerSide& callers, const CoreCounters& core,
                  std::size_t taken_over) {
  const edge::CallCounters& calls = call_manager.counters();
  const CallerCounters& caller_counters = callers.counters();
  const auto text = [](std::uint64_t value) { return std::to_string(value); };
  log_event(spdlog::level::info, "state",
            {{"offered", text(calls.offered)},
             {"stood", text(calls.established)},
             {"refused", text(calls.refused)},
             {"failed", text(calls.failed)},
             {"abandoned", text(calls.abandoned)},
             {"overdue", text(calls.overdue)},
             {"attempts", text(calls.attempts)},
             {"timed_out", text(calls.timed_out)},
             {"cancelled", text(calls.cancelled)},
             {"ended", text(calls.ended + calls.cut)},
             {"open", text(call_manager.pending())},
             {"standing", text(call_manager.established())},
             {"taken_over", text(taken_over)},
             {"callers", text(callers.connections())},
             {"caller_faults", text(caller_counters.faults)},
             {"closed_for_room", text(caller_counters.evicted)},
             {"ends_kept", text(caller_counters.ends_queued)},
             {"ends_offered", text(caller_counters.ends_offered)},
             {"ends_dropped", text(caller_counters.ends_dropped)},
             {"ends_repeated", text(caller_counters.ends_resent)},
             {"core_lost", text(core.lost)},
             {"core_refused", text(core.refused)},
             {"core_not_up", text(core.connect_timeouts)},
             {"core_spoilt", text(core.unreadable)},
             {"core_late", text(core.late_answers)},
             {"core_doubled", text(core.duplicate_answers)},
             {"core_stranger", text(core.unsolicited_answers)}});
}

}  // namespace mintrock::platform
