#include "fleet/gossip.hpp"

#include <gtest/gtest.h>

#include <limits>

namespace mintrock::fleet {
namespace {

std::string identity(ServerId id) { return id == 9 ? "" : "core-" + std::to_string(id); }
ServerId id_of(const std::string& name) { return name == "core-1" ? 11 : name == "core-2" ? 12 : 0; }

TEST(Gossip, SendsServerNamesInsteadOfIds) {
  Writer writer(1, 100);
  Reader reader(0, 3);
  std::string error;
  const auto message =
      reader.read(writer.pack({{1, 0.25, 1.5}, {9, 1, 1}, {3, 1, 1}}, identity), 1, id_of, error);
  ASSERT_TRUE(message) << error;
  ASSERT_EQ(message->entries.size(), 1u)
      << "servers without a name at the sender or an id at the receiver are omitted";
  EXPECT_EQ(message->entries[0].server, 11u);
  EXPECT_EQ(message->entries[0].wait_s, 0.25);
  EXPECT_EQ(message->entries[0].age_s, 1.5);
}

TEST(Gossip, DropsDuplicateOvertakenForgedAndMalformedMessages) {
  Writer writer(1, 100);
  Reader reader(0, 3);
  std::string error;
  const std::string first = writer.pack({{1, 1, 1}}, identity);
  const std::string second = writer.pack({{1, 1, 1}}, identity);
  EXPECT_TRUE(reader.read(second, 1, id_of, error));
  EXPECT_FALSE(reader.read(second, 1, id_of, error)) << "duplicate";
  EXPECT_FALSE(reader.read(first, 1, id_of, error)) << "overtaken";
  EXPECT_FALSE(reader.read(writer.pack({}, identity), 2, id_of, error)) << "from another address";
  EXPECT_FALSE(reader.read(Writer(7, 1).pack({}, identity), 7, id_of, error)) << "unknown proxy";
  EXPECT_FALSE(reader.read(Writer(0, 1).pack({}, identity), 0, id_of, error)) << "own number";
  EXPECT_FALSE(reader.read("\xFF\xFF\xFF", 1, id_of, error));
  EXPECT_FALSE(reader.read("", 1, id_of, error));
  EXPECT_FALSE(reader.read(std::string(3000, 'a'), 1, id_of, error));
  EXPECT_FALSE(Writer(1, 99).pack({}, identity).empty());
  EXPECT_FALSE(reader.read(Writer(1, 99).pack({}, identity), 1, id_of, error)) << "an earlier boot";
  EXPECT_TRUE(reader.read(Writer(1, 101).pack({}, identity), 1, id_of, error)) << "a later boot";
}

TEST(Gossip, LimitsSizeAndValues) {
  Writer writer(1, 1);
  std::vector<GossipEntry> many;
  for (ServerId i = 100; i < 1000; ++i) many.push_back({i, std::numeric_limits<double>::infinity(), -5});
  const std::string bytes =
      writer.pack(many, [](ServerId id) { return std::string(100, 'x') + std::to_string(id); });
  EXPECT_LE(bytes.size(), kMaxDatagramBytes);
  Reader reader(0, 2);
  std::string error;
  const auto message = reader.read(
      bytes, 1, [](const std::string&) { return ServerId{1}; }, error);
  ASSERT_TRUE(message);
  for (const auto& each : message->entries) {
    EXPECT_LE(each.wait_s, 3600);
    EXPECT_EQ(each.age_s, 0);
  }
}

}  // namespace
}  // namespace mintrock::fleet
