#include "platform/topology.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "list/json_fields.hpp"

namespace mintrock::platform {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxHosts = 10000;

list::Entry parse_host(const json& from, const std::vector<std::string>& kinds) {
  if (!from.is_object()) throw std::runtime_error("not an object");
  list::Entry entry;
  entry.identity = list::text_field(from, "host", 255);
  const std::string health = list::text_field(from, "health", 40);
  if (health == "SERVING") {
    entry.state = ServerEntry::State::kReady;
  } else if (health == "DRAINING") {
    entry.state = ServerEntry::State::kDraining;
  } else if (health == "DELETED") {
    entry.state = ServerEntry::State::kGone;
  } else {
    throw std::runtime_error("health is not one of SERVING, DRAINING, DELETED");
  }
  if (entry.state != ServerEntry::State::kGone || from.contains("dial"))
    entry.address = list::text_field(from, "dial", 64);
  entry.node = static_cast<std::uint32_t>(list::number_field(from, "block", 0, 65535));
  if (from.contains("class")) {
    const auto found = std::find(kinds.begin(), kinds.end(), list::text_field(from, "class", 255));
    entry.kind =
        static_cast<std::uint32_t>(found - kinds.begin());  // an unknown name: one past the last kind
  }
  entry.weight = list::number_field(from, "share", 1, 1e9);
  entry.started_at = list::number_field(from, "born_ms", 0, 1e15) / 1000;
  return entry;
}

}  // namespace

TopologyEvent parse_topology_event(const std::string& json_text, const std::vector<std::string>& kinds) {
  const json parsed = json::parse(json_text, nullptr, false);
  if (!parsed.is_object()) throw std::runtime_error("the event is not a JSON object");
  TopologyEvent out;
  const auto offset = parsed.find("offset");
  if (offset == parsed.end() || !offset->is_number_unsigned()) {
    throw std::runtime_error("offset is missing or not an unsigned integer");
  }
  out.offset = out.update.revision = offset->get<std::uint64_t>();
  const auto topology = parsed.find("topology");
  if (topology == parsed.end() || !topology->is_object())
    throw std::runtime_error("topology is missing or not an object");
  const auto whole = topology->find("whole");
  out.update.full = whole != topology->end() && whole->is_boolean() && whole->get<bool>();
  const auto hosts = topology->find("hosts");
  if (hosts == topology->end() || !hosts->is_array() || hosts->size() > kMaxHosts) {
    throw std::runtime_error("hosts is missing, not an array, or too long");
  }
  for (std::size_t i = 0; i < hosts->size(); ++i) {
    try {
      out.update.entries.push_back(parse_host((*hosts)[i], kinds));
    } catch (const std::exception& error) {
      out.update.errors.push_back("host " + std::to_string(i) + ": " + error.what());
    }
  }
  return out;
}

}  // namespace mintrock::platform
