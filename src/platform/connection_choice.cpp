#include "platform/connection_choice.hpp"

#include <algorithm>
#include <utility>

namespace mintrock::platform {

SetupChoice choose_for_setup(const CoreConnectionMap& connections) {
  using Rank = std::pair<bool, std::size_t>;
  ConnectionId best = 0;
  Rank best_rank;
  for (const auto& [id, connection] : connections) {
    if (connection.retired) continue;
    const std::size_t load = connection.in_flight.size() + connection.queued.size() + (connection.up ? 0 : 1);
    const Rank rank{connection.health.is_doubted(), load};
    if (best != 0 && rank >= best_rank) continue;
    best = id;
    best_rank = rank;
  }
  return {best, best != 0 && best_rank == Rank{false, 0}};
}

ConnectionId first_usable(const CoreConnectionMap& connections) {
  const auto found = std::find_if(connections.begin(), connections.end(),
                                  [](const auto& each) { return each.second.is_usable(); });
  return found == connections.end() ? 0 : found->first;
}

std::size_t count_active(const CoreConnectionMap& connections) {
  return static_cast<std::size_t>(std::count_if(connections.begin(), connections.end(), [](const auto& each) {
    return !each.second.retired && !each.second.health.is_doubted();
  }));
}

bool may_open_connection(const CoreConnectionMap& connections, std::size_t max_connections) {
  const auto open = std::count_if(connections.begin(), connections.end(),
                                  [](const auto& each) { return !each.second.retired; });
  return count_active(connections) < max_connections &&
         static_cast<std::size_t>(open) < max_connections + kMinConnections;
}

ConnectionId choose_to_retire(const CoreConnectionMap& connections) {
  const auto found = std::find_if(connections.begin(), connections.end(), [](const auto& each) {
    return each.second.is_usable() && each.second.is_unused() && each.second.health.heard();
  });
  return found == connections.end() ? 0 : found->first;
}

std::vector<ConnectionId> doubted_and_unused(const CoreConnectionMap& connections) {
  std::vector<ConnectionId> out;
  for (const auto& [id, connection] : connections) {
    if (connection.health.is_doubted() && connection.is_unused() && !connection.retired) out.push_back(id);
  }
  return out;
}

std::vector<ConnectionId> expired_retired(const CoreConnectionMap& connections, double max_age, double now) {
  std::vector<ConnectionId> out;
  std::size_t kept = 0;
  for (auto it = connections.rbegin(); it != connections.rend(); ++it) {
    if (!it->second.retired) continue;
    kept += 1;
    if (kept > kMinConnections || now >= it->second.retired_at + max_age) out.push_back(it->first);
  }
  return out;
}

}  // namespace mintrock::platform
