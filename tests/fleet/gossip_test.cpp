#include "fleet/gossip.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace mintrock::fleet {
namespace {

std::string identity(ServerId id) { return id == 9 ? "" : "core-" + std::to_string(id); }
ServerId number(const std::string& name) { return name == "core-1" ? 11 : name == "core-2" ? 12 : 0; }

TEST(Hearsay, GoesOverWithNamesInPlaceOfNumbers) {
  Writer writer(1, 100);
  Reader reader(0, 3);
  std::string why;
  const auto news =
      reader.read(writer.pack({{1, 0.25, 1.5}, {9, 1, 1}, {3, 1, 1}}, identity), 1, number, why);
  ASSERT_TRUE(news) << why;
  ASSERT_EQ(news->hearsay.size(), 1u) << "servers without a name there, or a number here, are left out";
  EXPECT_EQ(news->hearsay[0].server, 11u);
  EXPECT_EQ(news->hearsay[0].wait_s, 0.25);
  EXPECT_EQ(news->hearsay[0].age_s, 1.5);
}

TEST(Hearsay, DoubledOvertakenForgedAndBrokenMessagesAreDropped) {
  Writer writer(1, 100);
  Reader reader(0, 3);
  std::string why;
  const std::string first = writer.pack({{1, 1, 1}}, identity);
  const std::string second = writer.pack({{1, 1, 1}}, identity);
  EXPECT_TRUE(reader.read(second, 1, number, why));
  EXPECT_FALSE(reader.read(second, 1, number, why)) << "doubled";
  EXPECT_FALSE(reader.read(first, 1, number, why)) << "overtaken";
  EXPECT_FALSE(reader.read(writer.pack({}, identity), 2, number, why)) << "from another address";
  EXPECT_FALSE(reader.read(Writer(7, 1).pack({}, identity), 7, number, why)) << "no such proxy";
  EXPECT_FALSE(reader.read(Writer(0, 1).pack({}, identity), 0, number, why)) << "its own";
  EXPECT_FALSE(reader.read("\xFF\xFF\xFF", 1, number, why));
  EXPECT_FALSE(reader.read("", 1, number, why));
  EXPECT_FALSE(reader.read(std::string(3000, 'a'), 1, number, why));
  EXPECT_FALSE(Writer(1, 99).pack({}, identity).empty());
  EXPECT_FALSE(reader.read(Writer(1, 99).pack({}, identity), 1, number, why)) << "an older life";
  EXPECT_TRUE(reader.read(Writer(1, 101).pack({}, identity), 1, number, why)) << "a newer one";
}

TEST(Hearsay, IsBoundedAndNeverNonsense) {
  Writer writer(1, 1);
  std::vector<Hearsay> many;
  for (ServerId i = 100; i < 1000; ++i) many.push_back({i, std::numeric_limits<double>::infinity(), -5});
  const std::string bytes =
      writer.pack(many, [](ServerId id) { return std::string(100, 'x') + std::to_string(id); });
  EXPECT_LE(bytes.size(), kMaxDatagramBytes);
  Reader reader(0, 2);
  std::string why;
  const auto news = reader.read(
      bytes, 1, [](const std::string&) { return ServerId{1}; }, why);
  ASSERT_TRUE(news);
  for (const auto& each : news->hearsay) {
    EXPECT_LE(each.wait_s, 3600);
    EXPECT_EQ(each.age_s, 0);
  }
}

}  // namespace
}  // namespace mintrock::fleet
