// Checks that tests/mutations.yaml fits the source: each text to be replaced occurs exactly once in its file.
#include "lab/mutate.hpp"

#include <gtest/gtest.h>

#include <fstream>
#include <iterator>
#include <set>
#include <stdexcept>
#include <string>

namespace mintrock::lab {
namespace {

TEST(Mutations, AChangeAppliesToExactlyOnePlace) {
  EXPECT_EQ(apply_change("a b c", {"", "b", "x"}), "a x c");
  EXPECT_THROW(apply_change("a b c", {"", "d", "x"}), std::runtime_error);
  EXPECT_THROW(apply_change("a b b", {"", "b", "x"}), std::runtime_error);
  EXPECT_THROW(apply_change("a b b", {"", "", "x"}), std::runtime_error);
}

TEST(Mutations, TheListMatchesTheSource) {
  const std::string root = MINTROCK_SOURCE_DIR;
  const std::vector<Mutation> mutations = load_mutations(root + "/tests/mutations.yaml");
  std::set<std::string> names, rules;
  for (const Mutation& m : mutations) {
    EXPECT_TRUE(names.insert(m.name).second) << m.name << " is listed twice";
    if (!m.rule.empty() && !m.expect_undetected) rules.insert(m.rule);
    if (!m.scenario.empty()) {
      EXPECT_TRUE(std::ifstream(root + "/" + m.scenario)) << m.scenario;
    }
    for (const Mutation::Change& change : m.changes) {
      std::ifstream in(root + "/" + change.file);
      const std::string text{std::istreambuf_iterator<char>(in), {}};
      EXPECT_NO_THROW(apply_change(text, change)) << m.name << ": " << change.file << ": " << change.find;
    }
  }
  for (const char* rule :
       {"one answer", "one attempt", "drains kept", "cold not pushed over", "release awaited"}) {
    EXPECT_EQ(rules.count(rule), 1u) << "no mutation breaks: " << rule;
  }
}

}  // namespace
}  // namespace mintrock::lab
