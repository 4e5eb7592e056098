#include "platform/config.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace mintrock::platform {
namespace {

using nlohmann::json;

[[noreturn]] void fail(const std::string& problem) {
  throw std::runtime_error("platform configuration: " + problem);
}

const json& member(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end()) fail(std::string(key) + " is missing");
  return *found;
}

std::string text(const json& from, const char* key) {
  const json& value = member(from, key);
  if (!value.is_string()) fail(std::string(key) + " is not a string");
  return value.get<std::string>();
}

std::string to_text(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// Flattens nested JSON into the path=value pairs of the simulator's protocol.
void flatten(const json& from, const std::string& path, instance::PathValues& out) {
  if (from.is_object()) {
    for (const auto& [key, value] : from.items()) flatten(value, path.empty() ? key : path + "." + key, out);
    return;
  }
  if (!from.is_array()) {
    out[path] = to_text(from);
    return;
  }
  const bool nested = !from.empty() && from.front().is_structured();
  if (nested) out[path + ".count"] = std::to_string(from.size());
  std::string joined;
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (nested) {
      flatten(from[i], path + "." + std::to_string(i), out);
    } else {
      joined += (i == 0 ? "" : ",") + to_text(from[i]);
    }
  }
  if (!nested) out[path] = joined;
}

double number(const json& from, const char* key, double min, double max, double fallback) {
  const auto found = from.find(key);
  if (found == from.end()) return fallback;
  if (!found->is_number()) fail(std::string(key) + " is not a number");
  const double value = found->get<double>();
  if (!(value >= min && value <= max)) fail(std::string(key) + " is out of range");
  return value;
}

json parse_object(const std::string& json_text) {
  json parsed = json::parse(json_text, nullptr, false);
  if (!parsed.is_object()) fail("not a JSON object");
  return parsed;
}

}  // namespace

Config parse_config(const std::string& json_text) {
  const json parsed = parse_object(json_text);
  Config out;
  out.name = text(parsed, "name");
  out.listen = net::parse_address(text(parsed, "listen"));
  out.bus = net::parse_address(text(parsed, "bus"));
  const auto peers = parsed.find("peers");
  out.has_peers = peers != parsed.end() && peers->is_array() && parsed.contains("peer_listen");
  if (out.has_peers) {
    out.peer_listen = net::parse_address(text(parsed, "peer_listen"));
    for (const json& each : *peers) {
      if (!each.is_string()) fail("peers has an item that is not a string");
      out.peers.push_back(net::parse_address(each.get<std::string>()));
    }
  }
  const std::string seed = text(parsed, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), out.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size()) fail("seed is not a hexadecimal number");
  if (parsed.contains("limits")) {
    const json& limits = parsed["limits"];
    if (!limits.is_object()) fail("limits is not an object");
    out.memory_mb = static_cast<std::uint32_t>(number(limits, "memory_mb", 8, 1e6, out.memory_mb));
    out.sockets = static_cast<std::uint32_t>(number(limits, "sockets", 64, 1e6, out.sockets));
  }
  const json& settings = member(parsed, "settings");
  if (!settings.is_object()) fail("settings is not an object");
  instance::PathValues pairs;
  flatten(settings, "", pairs);
  out.instance = instance::parse_settings(pairs);
  const auto read_names = [&](const char* key, std::vector<std::string>& into, bool objects) {
    const json& list = member(settings, key);
    if (!list.is_array()) fail(std::string(key) + " is not a list");
    for (const json& each : list) {
      if (objects && !each.is_object()) fail(std::string(key) + " has an item that is not an object");
      const json& name = objects ? member(each, "name") : each;
      if (!name.is_string()) fail(std::string(key) + " has an item without a name");
      into.push_back(name.get<std::string>());
    }
  };
  read_names("classes", out.class_names, true);
  read_names("skus", out.kind_names, false);
  if (out.class_names.empty()) fail("classes is empty");
  if (settings.contains("limits") && settings["limits"].is_object()) {
    out.connect_timeout_s = number(settings["limits"], "connect_timeout_s", 0.01, 60, out.connect_timeout_s);
    out.max_open_calls =
        static_cast<std::uint32_t>(number(settings["limits"], "open_cap", 1, 1e7, out.max_open_calls));
  }
  const json& known = member(parsed, "known");
  if (!known.is_object()) fail("known is not an object");
  const json& batch = member(known, "batch");
  if (!batch.is_array()) fail("known.batch is not a list");
  for (const json& each : batch)
    out.known_servers.push_back(parse_topology_event(each.dump(), out.kind_names));
  const json& offset = member(known, "offset");
  if (!offset.is_number_unsigned()) fail("known.offset is not an unsigned number");
  out.list_offset = offset.get<std::uint64_t>();
  return out;
}

net::Address parse_bus_address(const std::string& json_text) {
  return net::parse_address(text(parse_object(json_text), "bus"));
}

}  // namespace mintrock::platform
