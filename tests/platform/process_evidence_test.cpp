// Tests each kind of evidence of a core server's process, and each pair that contradict each other.
#include "platform/process_evidence.hpp"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace mintrock::platform {
namespace {

struct Case {
  std::string name;
  ProcessEvidence evidence;
  ProcessEnd expected;
  double next_check_at;
};

constexpr double kNow = 100;

// A ready server with a usable connection, a call, and a line a moment ago.
ProcessEvidence serving() {
  ProcessEvidence out;
  out.usable_connection = true;
  out.established_calls = true;
  out.last_activity_at = out.last_line_at = out.last_serving_at = kNow - 0.1;
  return out;
}

template <typename Change>
ProcessEvidence serving_but(Change change) {
  ProcessEvidence out = serving();
  change(out);
  return out;
}

std::vector<Case> cases() {
  using E = ProcessEvidence&;
  return {
      {"serving", serving(), ProcessEnd::kNone, kNever},
      {"quiet", serving_but([](E e) { e.last_activity_at = e.last_line_at = e.last_serving_at = 1; }),
       ProcessEnd::kNone, kNever},

      {"refused", serving_but([](E e) {
         e.latest_end = ConnectionEnd::kRefused;
         e.usable_connection = false;
       }),
       ProcessEnd::kRefused, kNever},
      {"refused beside a usable connection", serving_but([](E e) { e.latest_end = ConnectionEnd::kRefused; }),
       ProcessEnd::kNone, kNever},
      {"refused beside a usable connection, not serving", serving_but([](E e) {
         e.latest_end = ConnectionEnd::kRefused;
         e.last_serving_at = kNow - 5;
       }),
       ProcessEnd::kRefused, kNever},

      {"closed without a line", serving_but([](E e) {
         e.latest_end = ConnectionEnd::kClosedWithoutLine;
         e.usable_connection = false;
         e.last_line_at = kNow - 5;
       }),
       ProcessEnd::kClosesWithoutLine, kNever},
      {"closed without a line, after a recent one", serving_but([](E e) {
         e.latest_end = ConnectionEnd::kClosedWithoutLine;
         e.usable_connection = false;
       }),
       ProcessEnd::kNone, kNever},
      {"closed without a line beside a usable connection", serving_but([](E e) {
         e.latest_end = ConnectionEnd::kClosedWithoutLine;
         e.last_line_at = kNow - 5;
       }),
       ProcessEnd::kNone, kNever},

      {"address reassigned", serving_but([](E e) {
         e.address_reassigned = true;
         e.usable_connection = false;
       }),
       ProcessEnd::kAddressReassigned, kNow + 4.9},
      {"address reassigned, but connections speak", serving_but([](E e) { e.address_reassigned = true; }),
       ProcessEnd::kNone, kNow + 4.9},
      {"address reassigned, connections silent", serving_but([](E e) {
         e.address_reassigned = true;
         e.last_line_at = kNow - 5;
       }),
       ProcessEnd::kSilent, kNow},
      {"left the list, but speaks", serving_but([](E e) { e.left_list = true; }), ProcessEnd::kNone,
       kNow + 4.9},
      {"left the list, silent", serving_but([](E e) {
         e.left_list = true;
         e.last_line_at = kNow - 5;
       }),
       ProcessEnd::kSilent, kNow},
      {"left the list, not connected yet", serving_but([](E e) {
         e.left_list = true;
         e.usable_connection = false;
         e.last_line_at = kNever;
       }),
       ProcessEnd::kNone, kNever},
      {"left the list, silent, holds nothing", serving_but([](E e) {
         e.left_list = true;
         e.established_calls = false;
         e.last_line_at = kNow - 5;
       }),
       ProcessEnd::kNone, kNever},

      {"connections time out", serving_but([](E e) {
         e.connects_time_out = true;
         e.last_activity_at = kNow - 5;
       }),
       ProcessEnd::kUnreachable, kNow},
      {"connections time out, but bytes came", serving_but([](E e) { e.connects_time_out = true; }),
       ProcessEnd::kNone, kNow + 4.9},

      {"connections time out since the start", serving_but([](E e) {
         e.connects_time_out = true;
         e.last_activity_at = kNever;
         e.first_connection_at = kNow - 0.6;
       }),
       ProcessEnd::kNone, kNow + 1.4},
      {"connections have timed out for 2 s since the start", serving_but([](E e) {
         e.connects_time_out = true;
         e.last_activity_at = kNever;
         e.first_connection_at = kNow - 2;
       }),
       ProcessEnd::kUnreachable, kNow},

      {"replaced", serving_but([](E e) { e.replaced = true; }), ProcessEnd::kReplaced, 0},
      {"replaced, but an older connection speaks", serving_but([](E e) {
         e.replaced = true;
         e.older_connection_line_at = kNow - 0.1;
       }),
       ProcessEnd::kNone, kNow + 4.9},
      {"replaced, and the older connection has become silent", serving_but([](E e) {
         e.replaced = true;
         e.older_connection_line_at = kNow - 5;
       }),
       ProcessEnd::kReplaced, kNow},
      {"replaced, then refused: all has ended", serving_but([](E e) {
         e.replaced = true;
         e.latest_end = ConnectionEnd::kRefused;
         e.usable_connection = false;
       }),
       ProcessEnd::kRefused, 0},
  };
}

TEST(ProcessEvidence, EachContradictionIsDecidedAsDocumented) {
  for (const Case& each : cases()) {
    EXPECT_EQ(find_process_end(each.evidence, kNow), each.expected) << each.name;
    EXPECT_DOUBLE_EQ(next_process_check_at(each.evidence), each.next_check_at) << each.name;
  }
}

// A timer that is set to the next check finds the end then, and none a moment before.
TEST(ProcessEvidence, TheNextCheckIsWhenTimeAloneShowsTheEnd) {
  for (const Case& each : cases()) {
    if (each.expected != ProcessEnd::kNone || each.next_check_at == kNever) continue;
    EXPECT_EQ(find_process_end(each.evidence, each.next_check_at - 0.001), ProcessEnd::kNone) << each.name;
    EXPECT_NE(find_process_end(each.evidence, each.next_check_at), ProcessEnd::kNone) << each.name;
  }
}

// Review, case 9: what set a call up may have been gone when the server's process was replaced.
TEST(ProcessEvidence, HolderOfAReportedCallDependsOnWhoCouldLearnOfTheStart) {
  struct Case {
    const char* name;
    double started_at;        // of the server's latest process, as listed
    double proxy_started_at;  // of this proxy
    double reported_at;
    bool earlier_process;  // held by it
  };
  constexpr double kLongAgo = 0;
  for (const Case& each :
       {Case{"no start listed", kLongAgo, 100, 101, false}, Case{"1 s before the proxy", 99, 100, 101, true},
        Case{"9.9 s before it", 90.1, 100, 109, true}, Case{"ten seconds before it", 90, 100, 101, false},
        Case{"a minute before it", 40, 100, 101, false}, Case{"an hour before it", 40, 3640, 3641, false},
        Case{"after it, then reported", 100.5, 100, 102, true},
        Case{"reported, then after it", 103, 100, 102, true},
        Case{"1 s before it, reported late by another proxy's caller", 99, 100, 110.5, false},
        Case{"long after it, listed before the report", 200, 100, 201, false},
        Case{"long after it, soon after the report", 203, 100, 202, true},
        Case{"long after it, a little before the report, listed later", 200, 100, 210, false}}) {
    const double listed_at_report = each.started_at <= each.reported_at ? each.started_at : kLongAgo;
    const double held_since =
        reported_call_held_since(listed_at_report, each.proxy_started_at, each.reported_at);
    EXPECT_EQ(held_since < each.started_at, each.earlier_process) << each.name;
  }
}

}  // namespace
}  // namespace mintrock::platform
