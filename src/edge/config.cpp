#include "edge/config.hpp"

#include "config/yaml.hpp"

namespace mintrock::edge {
namespace {

constexpr double kSecondsPerDay = 86400;

void read_address(config::Section& from, const char* key, net::Address& out, bool required) {
  if (required) from.require(key);
  std::string text;
  from.read(key, text);
  if (text.empty()) return;
  try {
    out = net::parse_address(text);
  } catch (const std::exception& error) {
    from.fail(key, error.what());
  }
}

void read_identity(config::Section& from, const char* key, std::string& out) {
  from.require(key);
  from.read(key, out);
  if (out.empty() || out.size() > 255) from.fail(key, "is empty or over 255 bytes");
  for (const char c : out) {
    if (c <= ' ' || c > '~') from.fail(key, "is not a host name");
  }
}

void read_class(config::Section& from, Config& out, std::vector<std::string>& names) {
  Settings::Class each;
  std::string name;
  std::uint32_t service = 0;
  std::size_t effect = 0;
  from.require("name");
  from.read("name", name);
  from.require("service_identifier");
  from.read("service_identifier", service, 0, 0xFFFFFFFFu);
  from.require("aim");
  from.read_time("aim", each.target_s, 0.001, kSecondsPerDay);
  from.require("deadline");
  from.read_time("deadline", each.deadline_s, 0.001, kSecondsPerDay);
  from.read("value", each.value, 0, 1e9);
  from.read_choice("effect", {"repeatable", "by_key", "once"}, effect);
  each.effect = static_cast<Effect>(effect);
  from.read_numbers("nodes", each.nodes);
  if (each.target_s > each.deadline_s) from.fail("aim", "is longer than the deadline");
  const auto index = static_cast<std::uint32_t>(out.settings.classes.size());
  names.push_back(name);
  if (!out.classes.by_service.emplace(service, index).second) {
    from.fail("service_identifier", std::to_string(service) + " is already used by another class");
  }
  out.settings.classes.push_back(each);
}

void read_realm(config::Section& from, Config& out) {
  std::string realm;
  std::size_t action = 0;
  from.require("realm");
  from.read("realm", realm);
  from.require("action");
  from.read_choice("action", {"local", "refuse"}, action);
  const auto realm_action = action == 0 ? RealmTable::Action::kLocal : RealmTable::Action::kRefuse;
  if (realm == "*") {
    out.other_realms = realm_action;
  } else if (!out.realms.emplace(RealmTable::case_folded(realm), realm_action).second) {
    from.fail("realm", realm + " is listed twice");
  }
}

}  // namespace

void read_rules(config::Section& from, Settings& out) {
  from.read_time("release_wait", out.release_wait_s, 0, kSecondsPerDay);
  from.read_time("repeat_after", out.repeat_after_s, 0, kSecondsPerDay);
  from.read("start_capacity", out.start_capacity, 0.001, 1);
  from.read_time("warm_up", out.warm_up_s, 0, kSecondsPerDay);
  from.read("overload_factor", out.overload_factor, 0.001, 1000);
  from.read_time("fall_time", out.fall_s, 0.001, kSecondsPerDay);
  from.read("attempt_limit", out.attempt_limit, 1, 100);
  from.read_time("max_retry_after", out.max_retry_after_s, 0, kSecondsPerDay);
  from.read("cancel", out.can_cancel);
  from.read("callers_mark_redials", out.marks_redials);
}

Config load_config(const std::string& file) {
  config::Section top = config::load(file);
  Config out;
  Settings& s = out.settings;
  top.require("node");
  top.read_section("node", [&](config::Section& from) {
    read_identity(from, "identity", out.node.identity);
    read_identity(from, "realm", out.node.realm);
    read_address(from, "listen", out.node.listen, true);
    read_address(from, "admin", out.node.admin, true);
  });
  top.read_section("core", [&](config::Section& from) {
    from.read("plain", out.core.plain);
    from.read("watchdog", out.core.watchdog);
    // RFC 3539 section 3.4.1: Tw must not be under 6 s.
    from.read_time("watchdog_interval", out.core.watchdog_s, 6, kSecondsPerDay);
    from.read_time("reconnect", out.core.reconnect_s, 0.01, kSecondsPerDay);
    from.read_time("connect_timeout", out.core.connect_timeout_s, 0.001, 60);
    from.read_time("session_hold", out.core.session_hold_s, 0, kSecondsPerDay);
    from.read_time("linger", out.core.linger_s, 0, kSecondsPerDay);
    from.read("max_unsent", out.core.max_unsent, 4096, 1u << 30);
  });
  top.read_section("callers", [&](config::Section& from) {
    from.read_list("peers", out.callers.peers);
    from.read("plain", out.callers.plain);
    from.read_time("watchdog_interval", out.callers.watchdog_s, 6, kSecondsPerDay);
    from.read_time("cer_timeout", out.callers.cer_timeout_s, 0.01, 60);
    from.read_time("session_hold", out.callers.session_hold_s, 0, kSecondsPerDay);
    from.read("max_connections", out.callers.max_connections, 1, 1000000);
    from.read("max_unsent", out.callers.max_unsent, 4096, 1u << 30);
    from.read_time("end_wait", out.callers.end_wait_s, 0.01, 60);
    from.read_time("duplicates_kept", out.callers.duplicates_s, 0, kSecondsPerDay);
    from.read("max_duplicates", out.callers.max_duplicates, 1, 10000000);
  });
  top.require("list");
  top.read_section("list", [&](config::Section& from) {
    read_address(from, "server", out.list.server, true);
    from.read("path", out.list.path);
    from.read("cache_file", out.list.cache_file);
    from.read("store", out.list.store);
    std::size_t durability = 0;
    from.read_choice("store_survives", {"power_cut", "process_crash"}, durability);
    out.list.store_survives_power_cut = durability == 0;
    from.read_time("trust_half_life", out.list.trust.half_life_s, 1, 100 * kSecondsPerDay);
    from.read_time("reconnect", out.list.reconnect_s, 0.01, kSecondsPerDay);
    from.read_time("idle", out.list.idle_s, 0.1, kSecondsPerDay);
  });
  top.read_section("fleet", [&](config::Section& from) {
    from.read("size", s.fleet_size, 1, 100000);
    from.read("own_number", s.own_number, 0, 99999);
    std::vector<std::string> peers;
    from.read_list("peers", peers);
    for (const std::string& each : peers) {
      try {
        out.fleet.peers.push_back(net::parse_address(each));
      } catch (const std::exception& error) {
        from.fail("peers", error.what());
      }
    }
    read_address(from, "listen", out.fleet.listen, false);
    if (s.own_number >= s.fleet_size) from.fail("own_number", "is not below the size");
    if (!peers.empty() && peers.size() != s.fleet_size) from.fail("peers", "must be as many as fleet.size");
    s.can_tell_peers = !peers.empty();
  });
  top.require("classes");
  std::vector<std::string> names;
  top.read_sections("classes", [&](config::Section& from) { read_class(from, out, names); });
  if (s.classes.empty()) top.fail("classes", "is empty");
  std::vector<std::string> choices = names;
  choices.emplace_back("refuse");
  std::size_t unknown = names.size();
  top.read_choice("unknown_class", choices, unknown);
  if (unknown < names.size()) out.classes.fallback = static_cast<std::uint32_t>(unknown);
  top.read_sections("realms", [&](config::Section& from) { read_realm(from, out); });
  top.read_section("rules", [&](config::Section& from) { read_rules(from, s); });
  s.gives_retry_after = s.max_retry_after_s > 0;
  s.must_subscribe = true;
  top.read_section("limits", [&](config::Section& from) {
    from.read("calls", out.max_calls, 1, 10000000);
    from.read("message_bytes", out.max_message, 1024, 1u << 24);
  });
  top.read_section("log", [&](config::Section& from) {
    static const std::vector<std::string> kLevels = {"debug", "info", "warning", "error"};
    std::size_t level = 1;
    from.read_choice("level", kLevels, level);
    out.log.level = kLevels[level];
    from.read("file", out.log.file);
  });
  std::uint32_t seed = 0;
  top.read("seed", seed, 0, 0xFFFFFFFFu);
  out.seed = seed;
  top.reject_unknown_keys();
  return out;
}

std::vector<std::string> needs_restart(const Config& a, const Config& b) {
  std::vector<std::string> out;
  const auto check = [&](const char* key, bool same) {
    if (!same) out.emplace_back(key);
  };
  check("node", a.node.identity == b.node.identity && a.node.realm == b.node.realm &&
                    a.node.listen == b.node.listen && a.node.admin == b.node.admin);
  check("core", a.core.plain == b.core.plain && a.core.watchdog == b.core.watchdog &&
                    a.core.watchdog_s == b.core.watchdog_s && a.core.reconnect_s == b.core.reconnect_s &&
                    a.core.connect_timeout_s == b.core.connect_timeout_s &&
                    a.core.session_hold_s == b.core.session_hold_s && a.core.linger_s == b.core.linger_s &&
                    a.core.max_unsent == b.core.max_unsent);
  check("realms", a.realms == b.realms && a.other_realms == b.other_realms);
  check("unknown_class", a.classes.fallback == b.classes.fallback);
  check("callers", a.callers.end_wait_s == b.callers.end_wait_s &&
                       a.callers.duplicates_s == b.callers.duplicates_s &&
                       a.callers.max_duplicates == b.callers.max_duplicates);
  check("limits.message_bytes", a.max_message == b.max_message);
  check("seed", a.seed == b.seed);
  check("list", a.list.server == b.list.server && a.list.path == b.list.path &&
                    a.list.cache_file == b.list.cache_file && a.list.store == b.list.store &&
                    a.list.store_survives_power_cut == b.list.store_survives_power_cut &&
                    a.list.trust.half_life_s == b.list.trust.half_life_s &&
                    a.list.reconnect_s == b.list.reconnect_s && a.list.idle_s == b.list.idle_s);
  check("fleet", a.settings.fleet_size == b.settings.fleet_size && a.fleet.peers == b.fleet.peers &&
                     a.settings.own_number == b.settings.own_number && a.fleet.listen == b.fleet.listen);
  check("log.file", a.log.file == b.log.file);
  // The Controller receives its settings once, at start.
  const auto same_class = [](const Settings::Class& x, const Settings::Class& y) {
    return x.target_s == y.target_s && x.deadline_s == y.deadline_s && x.value == y.value &&
           x.effect == y.effect && x.nodes == y.nodes;
  };
  bool classes =
      a.settings.classes.size() == b.settings.classes.size() && a.classes.by_service == b.classes.by_service;
  for (std::size_t i = 0; classes && i < a.settings.classes.size(); ++i) {
    classes = same_class(a.settings.classes[i], b.settings.classes[i]);
  }
  check("classes", classes);
  const Settings& x = a.settings;
  const Settings& y = b.settings;
  check("rules", x.release_wait_s == y.release_wait_s && x.repeat_after_s == y.repeat_after_s &&
                     x.start_capacity == y.start_capacity && x.warm_up_s == y.warm_up_s &&
                     x.overload_factor == y.overload_factor && x.fall_s == y.fall_s &&
                     x.attempt_limit == y.attempt_limit && x.max_retry_after_s == y.max_retry_after_s &&
                     x.can_cancel == y.can_cancel && x.marks_redials == y.marks_redials);
  return out;
}

}  // namespace mintrock::edge
