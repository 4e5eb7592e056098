#include "platform/config.hpp"

#include <charconv>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace mintrock::platform {
namespace {

using nlohmann::json;

[[noreturn]] void bad(const std::string& place) {
  throw std::runtime_error("the platform's configuration: " + place);
}

const json& member(const json& from, const char* key) {
  const auto found = from.find(key);
  if (found == from.end()) bad(std::string(key) + " is missing");
  return *found;
}

std::string text(const json& from, const char* key) {
  const json& value = member(from, key);
  if (!value.is_string()) bad(std::string(key) + " is no text");
  return value.get<std::string>();
}

std::string plain(const json& value) { return value.is_string() ? value.get<std::string>() : value.dump(); }

// Nested JSON as the pairs that the simulator's wire has.
void flatten(const json& from, const std::string& path, instance::PathValues& out) {
  if (from.is_object()) {
    for (const auto& [key, value] : from.items()) flatten(value, path.empty() ? key : path + "." + key, out);
    return;
  }
  if (!from.is_array()) {
    out[path] = plain(from);
    return;
  }
  const bool nested = !from.empty() && from.front().is_structured();
  if (nested) out[path + ".count"] = std::to_string(from.size());
  std::string joined;
  for (std::size_t i = 0; i < from.size(); ++i) {
    if (nested) {
      flatten(from[i], path + "." + std::to_string(i), out);
    } else {
      joined += (i == 0 ? "" : ",") + plain(from[i]);
    }
  }
  if (!nested) out[path] = joined;
}

double number(const json& from, const char* key, double least, double most, double otherwise) {
  const auto found = from.find(key);
  if (found == from.end()) return otherwise;
  if (!found->is_number()) bad(std::string(key) + " is no number");
  const double value = found->get<double>();
  if (!(value >= least && value <= most)) bad(std::string(key) + " is out of range");
  return value;
}

json parse_object(const std::string& file) {
  json parsed = json::parse(file, nullptr, false);
  if (!parsed.is_object()) bad("no JSON object");
  return parsed;
}

}  // namespace

Config parse_config(const std::string& file) {
  const json parsed = parse_object(file);
  Config out;
  out.name = text(parsed, "name");
  out.listen = net::parse_address(text(parsed, "listen"));
  out.bus = net::parse_address(text(parsed, "bus"));
  const auto peers = parsed.find("peers");
  out.has_peers = peers != parsed.end() && peers->is_array() && parsed.contains("peer_listen");
  if (out.has_peers) {
    out.peer_listen = net::parse_address(text(parsed, "peer_listen"));
    for (const json& each : *peers) {
      if (!each.is_string()) bad("a peer is no text");
      out.peers.push_back(net::parse_address(each.get<std::string>()));
    }
  }
  const std::string seed = text(parsed, "seed");
  const auto [end, error] = std::from_chars(seed.data(), seed.data() + seed.size(), out.seed, 16);
  if (error != std::errc() || end != seed.data() + seed.size()) bad("seed is no hex number");
  if (parsed.contains("limits")) {
    const json& limits = parsed["limits"];
    if (!limits.is_object()) bad("limits are no object");
    out.memory_mb = static_cast<std::uint32_t>(number(limits, "memory_mb", 8, 1e6, out.memory_mb));
    out.sockets = static_cast<std::uint32_t>(number(limits, "sockets", 64, 1e6, out.sockets));
  }
  const json& settings = member(parsed, "settings");
  if (!settings.is_object()) bad("settings are no object");
  instance::PathValues pairs;
  flatten(settings, "", pairs);
  out.instance = instance::parse_settings(pairs);
  const auto names = [&](const char* key, std::vector<std::string>& into, bool objects) {
    const json& list = member(settings, key);
    if (!list.is_array()) bad(std::string(key) + " are no list");
    for (const json& each : list) {
      if (objects && !each.is_object()) bad(std::string(key) + " has an item that is no object");
      const json& name = objects ? member(each, "name") : each;
      if (!name.is_string()) bad(std::string(key) + " has an item without a name");
      into.push_back(name.get<std::string>());
    }
  };
  names("classes", out.class_names, true);
  names("skus", out.kind_names, false);
  if (out.class_names.empty()) bad("no classes");
  if (settings.contains("limits") && settings["limits"].is_object()) {
    out.connect_timeout_s = number(settings["limits"], "connect_timeout_s", 0.01, 60, out.connect_timeout_s);
    out.max_open_calls =
        static_cast<std::uint32_t>(number(settings["limits"], "open_cap", 1, 1e7, out.max_open_calls));
  }
  const json& known = member(parsed, "known");
  if (!known.is_object()) bad("known is no object");
  const json& batch = member(known, "batch");
  if (!batch.is_array()) bad("batch is no list");
  for (const json& each : batch)
    out.known_servers.push_back(parse_topology_event(each.dump(), out.kind_names));
  const json& offset = member(known, "offset");
  if (!offset.is_number_unsigned()) bad("offset is no number");
  out.list_offset = offset.get<std::uint64_t>();
  return out;
}

net::Address parse_bus_address(const std::string& file) {
  return net::parse_address(text(parse_object(file), "bus"));
}

}  // namespace mintrock::platform
