// What each guard is worth: one after the other is taken out of a copy of the source, and what is said to
// notice must notice - a scenario whose rule is then broken, or a test that then fails. A check that holds
// without the guard proves nothing.
#ifndef MINTROCK_SRC_LAB_MUTATE_HPP_
#define MINTROCK_SRC_LAB_MUTATE_HPP_

#include <string>
#include <vector>

namespace mintrock::lab {

struct Mutation {
  struct Change {
    std::string file;  // below the source folder
    std::string find;  // stands there exactly once
    std::string replace;
  };
  std::string name;
  std::string guards;  // what it guards against, one line
  std::vector<Change> changes;
  std::string scenario;  // below the source folder; with `rule`, the rule that must be broken
  std::string rule;      // as the checker names it; "left behind" for calls that a core server keeps
  std::string target;    // else: a test program, and
  std::string test;      // the filter of its tests, one of which must fail
  bool expect_undetected =
      false;  // others behind it hold: nothing is expected to notice, and that is to be seen
};

// Reads the list; throws config::Error with one line.
std::vector<Mutation> load_mutations(const std::string& file);

// Replaces `find`, which must stand in `text` exactly once; throws std::runtime_error.
std::string apply_change(const std::string& text, const Mutation::Change& change);

struct MutateOptions {
  std::string list_file;
  std::string source_dir = ".";
  std::string build_dir;    // of the copy; kept for the next time
  std::string name_filter;  // a part of the names; empty: all
  std::string report_file;
};
// Prints a table of guard against rule and margin. 0 only if each was noticed, and nothing cries without one.
int run_mutations(const MutateOptions& options);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_MUTATE_HPP_
