#include "platform/core_codec.hpp"

#include <gtest/gtest.h>

#include <string>

namespace mintrock::platform {
namespace {

std::optional<CoreMessage> read(const std::string& line, std::string& error) {
  const char* fault = nullptr;
  auto message = read_core_message(line, fault);
  error = fault == nullptr ? "" : fault;
  return message;
}

TEST(CoreCodec, ReadsAnAnswerWithItsLoad) {
  std::string error;
  const auto message = read(
      R"({"type":"answer","id":"9b1f03aa5c7e2d41","fields":{"load":"spare:12;total:40;mean_ms:80;allowed:3"},"sdp":"v=0\r\n"})",
      error);
  ASSERT_TRUE(message) << error;
  EXPECT_EQ(message->type, CoreMessage::Type::kAnswer);
  EXPECT_EQ(message->id, 0x9b1f03aa5c7e2d41u);
  EXPECT_EQ(message->description, "v=0\r\n");
  EXPECT_EQ(message->report.spare, 12);
  EXPECT_EQ(message->report.total, 40);
  EXPECT_DOUBLE_EQ(*message->report.wait_s, 0.08);
  EXPECT_FALSE(message->report.queue);
}

TEST(CoreCodec, ReadsRefusalWithNumbersAsNumbersOrStrings) {
  std::string error;
  for (const char* waited : {"250", "\"250\""}) {
    const auto message =
        read(R"({"type":"release","id":"9b1f03aa5c7e2d41","fields":{"note":"cpu_full","waited":)" +
                 std::string(waited) + R"(},"cause":34})",
             error);
    ASSERT_TRUE(message) << error;
    EXPECT_EQ(message->cause, 34);
    EXPECT_EQ(message->note, "cpu_full");
    EXPECT_DOUBLE_EQ(message->waited_s, 0.25);
  }
}

// A negative figure means 'unknown'; taken as a wait it would open every server.
TEST(CoreCodec, ReportLeavesOutUnknownValues) {
  const Report report = read_report("spare:3;total:9;mean_ms:-1;allowed:-1;other:x;;:5");
  EXPECT_EQ(report.spare, 3);
  EXPECT_EQ(report.total, 9);
  EXPECT_FALSE(report.wait_s);
}

TEST(CoreCodec, EveryMalformedLineHasAnErrorText) {
  for (const char* bad : {"",
                          "nonsense",
                          "[]",
                          "17",
                          "{",
                          R"({"id":"9b1f03aa5c7e2d41"})",
                          R"({"type":7,"id":"9b1f03aa5c7e2d41"})",
                          R"({"type":"setup","id":"9b1f03aa5c7e2d41"})",
                          R"({"type":"answer","sdp":"v=0"})",
                          R"({"type":"answer","id":"9b1f","sdp":"v=0"})",
                          R"({"type":"answer","id":17,"sdp":"v=0"})",
                          R"({"type":"answer","id":"9b1f03aa5c7e2d41"})",
                          R"({"type":"answer","id":"9b1f03aa5c7e2d41","sdp":17})",
                          R"({"type":"answer","id":"9b1f03aa5c7e2d41","sdp":""})",
                          R"({"type":"release","id":"9b1f03aa5c7e2d41","cause":"16"})",
                          R"({"type":"release","id":"9b1f03aa5c7e2d41","cause":1e99})",
                          R"({"type":"release","id":"9b1f03aa5c7e2d41","cause":-1})",
                          R"({"type":"release","id":"9b1f03aa5c7e2d41","cause":16,"fields":[]})",
                          R"({"type":"release","id":"9b1f03aa5c7e2d41","cause":16,"fields":{"note":{}}})",
                          "{\"type\":\"answer\",\"id\":\"9b1f03aa5c7e2d41\",\"sdp\":\"\xff\xfe\"}"}) {
    std::string error;
    EXPECT_FALSE(read(bad, error)) << bad;
    EXPECT_FALSE(error.empty()) << bad;
  }
}

TEST(CoreCodec, SplitsLinesAndStopsAtOverlongOne) {
  LineSplitter splitter;
  splitter.feed("a\nb");
  EXPECT_EQ(splitter.next(), "a");
  EXPECT_FALSE(splitter.next());
  splitter.feed("c\n\n");
  EXPECT_EQ(splitter.next(), "bc");
  EXPECT_EQ(splitter.next(), "");
  for (int i = 0; i < 100 && !splitter.too_long(); ++i) {
    splitter.feed(std::string(1000, 'x'));
    EXPECT_FALSE(splitter.next());
    EXPECT_LT(i, 17) << "more than one message is buffered";
  }
  EXPECT_TRUE(splitter.too_long());
}

TEST(CoreCodec, SetupCarriesTheCallersFields) {
  EXPECT_EQ(write_core_setup(0x9b1f03aa5c7e2d41, "voice", "7f", 1500, "c=IN\r\n\"\xc3\xa9"),
            "{\"fields\":{\"class\":\"voice\",\"key\":\"7f\",\"left\":\"1500\"},\"id\":\"9b1f03aa5c7e2d41\","
            "\"sdp\":\"c=IN\\r\\n\\\"\xc3\xa9\",\"type\":\"setup\"}\n");
}

TEST(CoreCodec, MapsReleaseCausesBeforeTheAnswer) {
  EXPECT_EQ(result_before_answer(34, "all_trunks_busy").outcome, Outcome::kFull);
  EXPECT_EQ(result_before_answer(34, "all_trunks_busy").cause, Cause::kNoLine);
  EXPECT_EQ(result_before_answer(34, "cpu_full").cause, Cause::kProcessorFull);
  EXPECT_EQ(result_before_answer(17, "number_busy").outcome, Outcome::kError);
  EXPECT_EQ(result_before_answer(17, "number_busy").cause, Cause::kNumberBusy);
  EXPECT_EQ(result_before_answer(47, "").outcome, Outcome::kError);
  EXPECT_EQ(result_before_answer(102, "").outcome, Outcome::kNotSent);
  EXPECT_EQ(result_before_answer(41, "").outcome, Outcome::kReset);
  EXPECT_EQ(result_before_answer(16, "").outcome, Outcome::kEnded)
      << "it was established and must not be set up again";
  EXPECT_EQ(result_before_answer(200, "").outcome, Outcome::kReset);
}

}  // namespace
}  // namespace mintrock::platform
