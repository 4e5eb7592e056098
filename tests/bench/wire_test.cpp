// Tests of the simulator's wire protocol: hand-written bytes, truncations, invalid values, and round trips
// through mintrock_drill.
#include "bench/wire.hpp"

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <limits>
#include <sstream>
#include <string>
#include <vector>

namespace mintrock::wire {
namespace {

const char kSettings[] =
    "classes.count=1\nclasses.0.goal_time_s=1.5\nclasses.0.deadline_s=6\nclasses.0.value=2\n"
    "classes.0.late_share=0.25\nclasses.0.effect=repeatable\ndomain.skilled_pools.0=0,3\n"
    "domain.clear_wait_s=0.5\ndomain.t1_s=0.25\nfleet_size=4\nlimits.try_limit=3\nlimits.cancelling=true\n"
    "limits.retry_after=true\nlimits.max_retry_after_s=2\nregistry_mode=push\nrules.start_capacity=0.3\n"
    "rules.warm_up_s=12\nrules.overload_factor=2\nrules.fall_s=1.5\ntenants.count=1\n"
    "tenants.0.allowance_per_s=9\nover_share_worth=0.2\n"
    "load_info.fields=spare,total,mean_ms,somenewfield\nsome.new.key=whatever\n";

void append_server(Writer& w, std::uint32_t address, std::uint16_t port) {
  w.u32(address);
  w.u16(port);
}

std::string for_instance(std::uint16_t n) {
  Writer w;
  w.u8(12);
  w.u16(n);
  return w.str();
}

std::string power_on(const std::string& settings) {
  Writer w;
  w.u8(1);
  w.u64(99);
  w.u32(static_cast<std::uint32_t>(settings.size()));
  w.bytes(settings);
  return w.str();
}

std::string rows_and_topology() {
  Writer w;
  w.u8(11);
  w.u8(5);
  w.u32(1);
  append_server(w, 0x0a124a07, 5003);
  w.u16(3);
  w.u16(0);
  w.u16(1);
  w.f32(1.0f);
  w.u8(1);
  w.f64(0);
  w.u8(2);
  w.u32(41);
  w.u8(1);
  w.u8(5);
  return w.str();
}

std::string new_call(std::uint32_t id) {
  Writer w;
  w.u8(3);
  w.u32(id);
  w.u64(77);
  w.u8(0);
  w.f64(0);
  w.f64(2.5);
  w.u16(2 | 16);
  w.f32(-1);
  w.u16(0);
  w.f32(3);
  w.f32(1);
  return w.str();
}

std::string finished() {
  Writer w;
  w.u8(5);
  w.u32(7);
  append_server(w, 0x0a124a07, 5003);
  w.u16(0);
  w.f64(0.25);
  w.u16(503);
  w.u32(3 + 16 * 250);
  w.u8(0);
  w.u8(4);
  for (const float v : {3.0f, 4.0f, 120.0f, 9.0f}) w.f32(v);
  return w.str();
}

std::string framed(const std::string& body, double now = 1.0, std::uint32_t batch = 1) {
  Writer w;
  w.u32(static_cast<std::uint32_t>(body.size()));
  w.f64(now);
  w.u32(batch);
  return w.str() + body;
}

struct DrillRun {
  int exit_code = -1;
  std::string out;
  std::string err;
};

std::string read_file(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  std::stringstream text;
  text << in.rdbuf();
  return text.str();
}

DrillRun run_drill(const std::string& input) {
  const std::string base = testing::TempDir() + "mintrock_wire_" + std::to_string(getpid());
  std::ofstream(base + ".in", std::ios::binary) << input;
  const std::string command =
      std::string(MINTROCK_DRILL) + " <" + base + ".in >" + base + ".out 2>" + base + ".err";
  const int status = std::system(command.c_str());
  DrillRun run{WIFEXITED(status) ? WEXITSTATUS(status) : -1, read_file(base + ".out"),
               read_file(base + ".err")};
  for (const char* suffix : {".in", ".out", ".err"}) std::remove((base + suffix).c_str());
  return run;
}

void expect_failure_message(const std::string& input) {
  const DrillRun run = run_drill(input);
  EXPECT_EQ(run.exit_code, 1);
  EXPECT_EQ(run.err.rfind("mintrock_drill: ", 0), 0u) << run.err;
  EXPECT_EQ(run.err.find('\n'), run.err.size() - 1) << "expected a single line: " << run.err;
}

TEST(Wire, ParsesSettings) {
  const InstanceSettings parsed = parse_settings(kSettings);
  const Settings& s = parsed.settings;
  ASSERT_EQ(s.classes.size(), 1u);
  EXPECT_EQ(s.classes[0].target_s, 1.5);
  EXPECT_EQ(s.classes[0].value, 2);
  EXPECT_EQ(s.classes[0].nodes, (std::vector<std::uint32_t>{0, 3}));
  EXPECT_EQ(s.release_wait_s, 0.5);
  EXPECT_EQ(s.repeat_after_s, 0.25);
  EXPECT_EQ(s.attempt_limit, 3u);
  EXPECT_TRUE(s.can_cancel);
  EXPECT_EQ(parsed.report_fields,
            (std::vector<Field>{Field::kSpare, Field::kTotal, Field::kWaitMs, Field::kUnknown}));
}

TEST(Wire, ParsesFleetSettingsAndReports) {
  const InstanceSettings parsed = parse_settings(
      "fleet_size=265\nme=3\nlimits.peers=true\ncallers.marks_retry=true\nclasses.count=1\n"
      "classes.0.deadline_s=9.0\nload_info.fields=spare,total,load_share,depth\n");
  EXPECT_EQ(parsed.settings.fleet_size, 265u);
  EXPECT_EQ(parsed.settings.own_number, 3u);
  EXPECT_TRUE(parsed.settings.can_tell_peers);
  EXPECT_TRUE(parsed.settings.marks_redials);
  EXPECT_EQ(parsed.settings.classes.at(0).deadline_s, 9.0);
  const Report report = make_report(parsed.report_fields, {12, 100, 0.5F, 7});
  EXPECT_EQ(report.spare, 12.0);
  EXPECT_EQ(report.total, 100.0);
  EXPECT_EQ(report.queue, 7.0);
  EXPECT_FALSE(report.wait_s);
}

TEST(Wire, GossipRoundTrip) {
  const std::string bytes =
      pack_gossip({{0x0a124a07138b, 0.25, 1.5}, {7, 1e9, std::numeric_limits<double>::quiet_NaN()}});
  ASSERT_EQ(bytes.size(), 22u);
  const std::vector<GossipEntry> decoded = unpack_gossip(bytes);
  ASSERT_EQ(decoded.size(), 2u);
  EXPECT_EQ(decoded[0].server, 0x0a124a07138bu);
  EXPECT_DOUBLE_EQ(decoded[0].wait_s, 0.25);
  EXPECT_DOUBLE_EQ(decoded[0].age_s, 1.5);
  EXPECT_DOUBLE_EQ(decoded[1].wait_s, 65.535) << "capped";
  EXPECT_LE(pack_gossip(std::vector<GossipEntry>(1000)).size(), 256u);
}

TEST(Wire, GossipOfAnotherVersionOrLengthIsIgnored) {
  const std::string valid = pack_gossip({{7, 0.25, 1.5}});
  for (std::size_t n = 0; n < valid.size(); ++n) EXPECT_TRUE(unpack_gossip(valid.substr(0, n)).empty()) << n;
  EXPECT_TRUE(unpack_gossip(valid + "x").empty());
  std::string other = valid;
  other[0] = 99;
  EXPECT_TRUE(unpack_gossip(other).empty());
  std::string many = valid;
  many[1] = static_cast<char>(200);
  EXPECT_TRUE(unpack_gossip(many).empty());
}

TEST(Wire, MissingSettingsKeepTheirDefaults) {
  const Settings s = parse_settings("").settings;
  const Settings defaults;
  EXPECT_TRUE(s.classes.empty());
  EXPECT_EQ(s.attempt_limit, defaults.attempt_limit);
  EXPECT_EQ(s.release_wait_s, defaults.release_wait_s);
}

TEST(Wire, RejectsInvalidSettings) {
  for (const char* bad :
       {"limits.try_limit=-1", "limits.try_limit=x", "limits.try_limit=1.5", "classes.count=99999999",
        "no_equals_sign", "=3", "limits.cancelling=maybe", "classes.count=1\nclasses.0.effect=magic",
        "rules.fall_s=nan", "domain.clear_wait_s=inf", "classes.count=1\ndomain.skilled_pools.0=0,a"}) {
    EXPECT_THROW(parse_settings(bad), WireError) << bad;
  }
}

TEST(Wire, ParsesHandWrittenRecords) {
  const std::vector<Record> records =
      parse_batch(for_instance(3) + rows_and_topology() + new_call(7) + finished());
  ASSERT_EQ(records.size(), 5u);
  EXPECT_EQ(std::get<ForInstance>(records[0]).instance, 3);
  const ServerEntry& entry = std::get<ServerRows>(records[1]).entries.at(0);
  EXPECT_EQ(entry.id, (0x0a124a07ull << 16 | 5003));
  EXPECT_EQ(entry.node, 3u);
  const NewCall& call = std::get<NewCall>(records[3]);
  EXPECT_EQ(call.call, 7u);
  EXPECT_EQ(call.first_choice, 3);
  EXPECT_TRUE(call.redialled && call.was_cut);
  const Finished& end = std::get<Finished>(records[4]);
  EXPECT_EQ(end.ended.outcome, Outcome::kFull);
  EXPECT_EQ(end.ended.cause, Cause::kProcessorFull);
  EXPECT_EQ(end.ended.advised_wait_s, 0.25);
  const Report report = make_report({Field::kSpare, Field::kUnknown, Field::kWaitMs}, end.telemetry);
  EXPECT_EQ(report.spare, 3);
  EXPECT_EQ(report.wait_s, 0.12);
}

TEST(Wire, EveryTruncationThrows) {
  const std::string whole = power_on(kSettings) + rows_and_topology() + new_call(7) + finished();
  std::size_t complete = 0;  // truncations between records are well-formed
  for (std::size_t size = 1; size < whole.size(); ++size) {
    try {
      parse_batch(std::string_view(whole).substr(0, size));
      ++complete;
    } catch (const WireError&) {
    }
  }
  EXPECT_EQ(complete, 4u);  // after POWER_ON, the server rows, TOPOLOGY and NEW_REQUEST
}

TEST(Wire, RejectsUnknownCodesAndInvalidCounts) {
  EXPECT_THROW(parse_batch(std::string(1, '\x63')), WireError);
  Writer rows;
  rows.u8(11);
  rows.u8(0);
  rows.u32(0xffffffffu);
  EXPECT_THROW(parse_batch(rows.str()), WireError);
  std::string outcome = finished();
  outcome[22] = 0x01;  // unknown outcome
  EXPECT_THROW(parse_batch(outcome), WireError);
  for (const char* bad : {"\xff", "\xc0\x80", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xe2\x82"}) {
    EXPECT_THROW(parse_batch(power_on(bad)), WireError);
  }
  EXPECT_NO_THROW(parse_batch(power_on("a=\xc3\xa9")));
}

TEST(Wire, EncodesEveryAction) {
  Reply reply;
  reply.add(2, {SendSetup{1, 0x0a124a07ull << 16 | 5003, 0.5}, RefuseCall{2, 0.25}, FailCall{3},
                CancelAttempt{4, 1}, SetTimer{77, 0.5}, Subscribe{}, Log{"hi"}});
  Writer expected;
  expected.u32(8);
  expected.u32(3 + 19 + 13 + 5 + 7 + 17 + 2 + 5);
  expected.u32(12);
  expected.u8(13), expected.u16(2);
  expected.u8(1), expected.u32(1), expected.f64(0.5), append_server(expected, 0x0a124a07, 5003);
  expected.u8(2), expected.u32(2), expected.f64(0.25);
  expected.u8(3), expected.u32(3);
  expected.u8(4), expected.u32(4), expected.u16(1);
  expected.u8(5), expected.u64(77), expected.f64(0.5);
  expected.u8(11), expected.u8(1);
  expected.u8(9), expected.u16(2), expected.bytes("hi");
  EXPECT_EQ(reply.frame(12), expected.str());
}

TEST(Drill, SendsACallAndAnswersEmptyBatches) {
  const std::string body = for_instance(3) + power_on(kSettings) + rows_and_topology() + new_call(7);
  const DrillRun run = run_drill(framed("") + framed(body, 2.0, 9));
  EXPECT_EQ(run.exit_code, 0) << run.err;
  ASSERT_EQ(run.out.size(), 12u + 12u + 3u + 19u);
  Reader in(run.out);
  in.bytes(12);
  EXPECT_EQ(in.u32(), 2u);
  EXPECT_EQ(in.u32(), 22u);
  EXPECT_EQ(in.u32(), 9u);
  EXPECT_EQ(in.u8(), 13);
  EXPECT_EQ(in.u16(), 3);
  EXPECT_EQ(in.u8(), 1);
  EXPECT_EQ(in.u32(), 7u);
  EXPECT_GT(in.f64(), 0);
  EXPECT_EQ(in.u32(), 0x0a124a07u);
  EXPECT_EQ(in.u16(), 5003);
}

// Actions of an instance that is halted later in the same batch name calls that its next run doesn't know.
TEST(Drill, HaltAndPowerOnInOneBatchDropOldActions) {
  const std::string first = for_instance(3) + power_on(kSettings) + rows_and_topology();
  const DrillRun run =
      run_drill(framed(first) + framed(for_instance(3) + new_call(7) + std::string(1, '\x0a') +
                                       power_on(kSettings) + new_call(8)));
  EXPECT_EQ(run.exit_code, 0) << run.err;
  Reader in(std::string_view(run.out).substr(24));
  in.bytes(3);
  EXPECT_NE(in.u8(), 0);
  EXPECT_EQ(in.u32(), 8u) << "only the call of the new run appears";
}

TEST(Drill, MalformedInputFailsWithASingleMessage) {
  const std::string valid = framed(for_instance(3) + power_on(kSettings));
  expect_failure_message(valid.substr(0, 9));
  expect_failure_message(valid.substr(0, valid.size() - 1));
  expect_failure_message(framed(std::string(1, '\x63')));
  expect_failure_message(framed(new_call(1)));
  expect_failure_message(framed(for_instance(3) + new_call(1)));
  expect_failure_message(framed(for_instance(3) + power_on("limits.try_limit=-3")));
  expect_failure_message(valid + framed(std::string("\x0c\x00\x03\x02\x00\x00\x00\x01\x01\x07", 10)));
  expect_failure_message(framed("", std::numeric_limits<double>::quiet_NaN()));
  expect_failure_message(std::string("\xff\xff\xff\xff", 4) + valid.substr(4));
}

}  // namespace
}  // namespace mintrock::wire
