// Output of a run: the progress line, the plot data and plot script, and reading a trace while it is written.
#include "lab/progress.hpp"

#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdio>

#include "lab/plot.hpp"

namespace mintrock::lab {
namespace {

TEST(ProgressLine, ShowsCallsServiceMarginsAndActiveFaults) {
  Scenario s;
  Event swallow;
  swallow.kind = Event::Kind::kSwallow;
  swallow.at_s = 10;
  swallow.duration_s = 5;
  swallow.target = 2;
  Event surge;
  surge.at_s = 20;
  surge.duration_s = 5;
  surge.factor = 1.5;
  s.events = {swallow, surge};
  Checker::Snapshot previous, current;
  previous.established = 50;
  current.tries = 200;
  current.established = 80;
  current.unsuccessful = 10;
  current.rules = {{"one answer", 1, 0, {}, 0.5, ""}, {"drains kept", 1, 3, {}, 1.2, ""}};
  EXPECT_EQ(format_progress_line(s, 12, previous, current),
            "  12 s      200 calls   75.0% set up  answer 50% drain 120% BROKEN 3 | swallow 2");
  EXPECT_NE(format_progress_line(s, 21, previous, current).find("| surge x1.5"), std::string::npos);
  EXPECT_EQ(format_progress_line(s, 16, previous, current).find('|'), std::string::npos)
      << "the fault has ended by then";
}

CheckReport two_seconds() {
  CheckReport report;
  report.seconds.push_back({0, 10, 8, 1, 1, 0, 0.01, 0.05, {{"a", 0.8}}});
  report.seconds.push_back({1, 5, 5, 0, 0, 0, 0.02, 0.03, {{"a", 1}, {"b_c", 0.5}}});
  report.faults.push_back({0.5, 1, "pause core-1"});
  return report;
}

TEST(Plot, DataHasAColumnPerClassAndARowPerSecond) {
  EXPECT_EQ(plot_data(two_seconds()),
            "# second tries stood refused failed unanswered p50_ms p99_ms \"a\" \"b c\"\n"
            "0 10 8 1 1 0 10 50 0.8 NaN\n"
            "1 5 5 0 0 0 20 30 1 0.5\n");
}

TEST(Plot, ScriptDrawsEachFaultAsABandAndEachPictureToItsOwnFile) {
  const std::string script = plot_script(two_seconds(), "dir");
  EXPECT_NE(script.find("rectangle from first 0.5"), std::string::npos);
  EXPECT_NE(script.find("\"pause core-1\""), std::string::npos);
  for (const char* name : {"'dir/rate.svg'", "'dir/service.svg'", "'dir/delay.svg'"})
    EXPECT_NE(script.find(name), std::string::npos) << name;
  EXPECT_NE(script.find("using 1:10 title \"b c\""), std::string::npos);
}

TEST(TraceTail, ReadsATraceWhileItIsWritten) {
  const std::string path = std::string(::testing::TempDir()) + "tail-" + std::to_string(getpid());
  TraceWriter writer(path);
  TraceTail tail(path);
  v1::Record record;
  record.set_text(std::string(100, 'x'));
  for (int i = 0; i < 3; ++i) writer.write(record);
  writer.flush();
  EXPECT_EQ(tail.read_new().size(), 3u);
  EXPECT_TRUE(tail.read_new().empty());
  {  // half a record, then the rest of it
    std::ofstream out(path, std::ios::binary | std::ios::app);
    std::string bytes;
    record.SerializeToString(&bytes);
    out << static_cast<char>(bytes.size()) << bytes.substr(0, 10) << std::flush;
    EXPECT_TRUE(tail.read_new().empty());
    out << bytes.substr(10) << std::flush;
  }
  EXPECT_EQ(tail.read_new().size(), 1u);
  std::remove(path.c_str());
}

}  // namespace
}  // namespace mintrock::lab
