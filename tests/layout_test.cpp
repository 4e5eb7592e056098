// Limits on the size and layout of the decision module.
#include <gtest/gtest.h>

#include <fstream>
#include <string>

namespace {

TEST(Layout, DecisionModuleStaysSmallAndNarrow) {
  std::ifstream in(std::string(MINTROCK_SOURCE_DIR) + "/src/rules.cpp");
  ASSERT_TRUE(in);
  std::string line;
  int line_count = 0;
  std::string head;
  while (std::getline(in, line)) {
    EXPECT_LE(line.size(), 110u) << line;
    if (line.find_first_not_of(" \t\r") == std::string::npos) continue;
    if (++line_count <= 3) head += line;
  }
  EXPECT_GT(line_count, 0);
  EXPECT_LE(line_count, 1000);
  EXPECT_NE(head.find("include/mintrock/controller.hpp"), std::string::npos)
      << "the header comment must name the interface";
}

}  // namespace
