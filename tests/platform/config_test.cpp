#include "platform/config.hpp"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>
#include <stdexcept>

#include "bench/wire.hpp"

namespace mintrock::platform {
namespace {

using nlohmann::json;

const char kConfig[] = R"({
  "bus": "127.0.0.1:8500",
  "known": {"offset": 4, "batch": [{"offset": 4, "topology": {"seq": 0, "whole": true, "hosts": [
    {"host": "s-1", "dial": "127.0.0.2:2905", "site": "east", "class": "big", "block": 1, "health": "SERVING",
     "share": 86.0, "born_ms": 0},
    {"host": "s-2", "dial": "127.0.0.3:2905", "site": "east", "class": "small", "block": 0, "health": "DRAINING",
     "share": 4, "born_ms": 1764590000500},
    {"host": "s-3", "dial": 17, "health": "SERVING"}]}}]},
  "limits": {"cores": 0.25, "memory_mb": 32, "sockets": 256},
  "listen": "127.0.0.1:2905", "name": "n0", "peer_listen": "127.0.0.1:7946",
  "peers": ["127.0.1.1:7946", "127.0.1.2:7946"], "peers_all": "127.0.1.3:7946", "seed": "6444882f5c620abb",
  "settings": {
    "callers": {"marks_retry": true},
    "classes": [{"deadline_s": 3.09, "effect": "repeatable", "goal_time_s": 0.42, "name": "status", "value": 1.0},
                {"deadline_s": 4, "effect": "once", "goal_time_s": 0.52, "name": "unlock", "value": 2.0}],
    "domain": {"clear_wait_s": 0.25, "t1_s": 0.171129, "skilled_pools": [[0, 1], [1]], "class_width": [1, 1]},
    "fleet_size": 3, "me": 1,
    "limits": {"cancelling": true, "connect_timeout_s": 0.4, "max_retry_after_s": 2.0, "open_cap": 20000,
               "peers": true, "retry_after": true, "try_limit": 4},
    "load_info": {"fields": ["spare", "total", "mean_ms", "allowed"], "how": "piggyback"},
    "registry_mode": "push",
    "rules": {"fall_s": 2.0, "overload_factor": 3.0, "start_capacity": 0.28, "warm_up_s": 15.0},
    "skus": ["small", "big"], "tenants": []}})";

TEST(PlatformConfig, ParsesAllValues) {
  const Config config = parse_config(kConfig);
  EXPECT_EQ(config.listen.str(), "127.0.0.1:2905");
  EXPECT_EQ(config.bus.str(), "127.0.0.1:8500");
  EXPECT_EQ(config.seed, 0x6444882f5c620abbu);
  EXPECT_EQ(config.sockets, 256u);
  EXPECT_EQ(config.memory_mb, 32u);
  EXPECT_EQ(config.class_names, (std::vector<std::string>{"status", "unlock"}));
  EXPECT_DOUBLE_EQ(config.connect_timeout_s, 0.4);
  ASSERT_EQ(config.peers.size(), 2u);
  const Settings& s = config.instance.settings;
  ASSERT_EQ(s.classes.size(), 2u);
  EXPECT_DOUBLE_EQ(s.classes[0].target_s, 0.42);
  EXPECT_EQ(s.classes[1].effect, Effect::kOnce);
  EXPECT_EQ(s.classes[0].nodes, (std::vector<std::uint32_t>{0, 1}));
  EXPECT_EQ(s.classes[1].nodes, (std::vector<std::uint32_t>{1}));
  EXPECT_DOUBLE_EQ(s.release_wait_s, 0.25);
  EXPECT_DOUBLE_EQ(s.repeat_after_s, 0.171129);
  EXPECT_EQ(s.attempt_limit, 4u);
  EXPECT_EQ(s.own_number, 1u);
  EXPECT_TRUE(s.marks_redials && s.can_cancel && s.gives_retry_after && s.can_tell_peers);
  EXPECT_FALSE(s.must_subscribe);
}

// The simulator's text and the platform's JSON must yield the same settings for every key.
TEST(PlatformConfig, YieldsTheSameSettingsAsTheSimulatorsText) {
  const Settings& from_json = parse_config(kConfig).instance.settings;
  const auto from_text = wire::parse_settings(std::string_view(
      "callers.marks_retry=true\nclasses.count=2\nclasses.0.deadline_s=3.09\nclasses.0.goal_time_s=0.42\n"
      "domain.skilled_pools.count=2\ndomain.skilled_pools.0=0,1\ndomain.skilled_pools.1=1\n"
      "rules.start_capacity=0.28\nfleet_size=3\nload_info.fields=spare,total,mean_ms,allowed\n"));
  EXPECT_EQ(from_json.classes[0].nodes, from_text.settings.classes[0].nodes);
  EXPECT_EQ(from_json.classes[1].nodes, from_text.settings.classes[1].nodes);
  EXPECT_EQ(from_json.classes[0].deadline_s, from_text.settings.classes[0].deadline_s);
  EXPECT_EQ(from_json.start_capacity, from_text.settings.start_capacity);
  EXPECT_EQ(from_json.fleet_size, from_text.settings.fleet_size);
  EXPECT_EQ(parse_config(kConfig).instance.report_fields, from_text.report_fields);
}

TEST(PlatformConfig, ParsesKnownServersAndReportsMalformedOnes) {
  const Config config = parse_config(kConfig);
  EXPECT_EQ(config.list_offset, 4u);
  ASSERT_EQ(config.known_servers.size(), 1u);
  const list::Update& update = config.known_servers[0].update;
  EXPECT_TRUE(update.full);
  ASSERT_EQ(update.entries.size(), 2u);
  EXPECT_EQ(update.entries[0].identity, "s-1");
  EXPECT_EQ(update.entries[0].kind, 1u);
  EXPECT_EQ(update.entries[0].node, 1u);
  EXPECT_EQ(update.entries[1].state, ServerEntry::State::kDraining);
  EXPECT_DOUBLE_EQ(update.entries[1].started_at, 1764590000.5);
  EXPECT_EQ(update.errors.size(), 1u);
}

TEST(PlatformConfig, RejectsInvalidConfigurations) {
  const json good = json::parse(kConfig);
  for (const char* key : {"bus", "known", "listen", "name", "seed", "settings"}) {
    json bad = good;
    bad.erase(key);
    EXPECT_THROW(parse_config(bad.dump()), std::runtime_error) << key;
    bad[key] = 17;
    EXPECT_THROW(parse_config(bad.dump()), std::runtime_error) << key;
  }
  for (const char* text : {"", "{", "[]", "17"}) {
    EXPECT_THROW(parse_config(text), std::runtime_error);
    EXPECT_THROW(parse_bus_address(text), std::runtime_error);
  }
  EXPECT_EQ(parse_bus_address(R"({"bus":"127.0.0.1:8501"})").port, 8501);
}

TEST(Topology, RejectsInvalidEvents) {
  for (const char* text : {"", "{", "{}", R"({"offset":1})", R"({"offset":"1","topology":{"hosts":[]}})",
                           R"({"offset":1,"topology":{"hosts":17}})"}) {
    EXPECT_THROW(parse_topology_event(text, {}), std::runtime_error) << text;
  }
  const auto change = parse_topology_event(
      R"({"offset":5,"topology":{"seq":7,"whole":false,"hosts":[{"host":"s-1","health":"DELETED"}]}})", {});
  EXPECT_FALSE(change.update.full);
  ASSERT_EQ(change.update.entries.size(), 1u);
  EXPECT_EQ(change.update.entries[0].state, ServerEntry::State::kGone);
}

}  // namespace
}  // namespace mintrock::platform
