// Mutation testing of the project's guards: removes one guard at a time from a copy of the source and checks
// that the test named for it fails, or that the scenario named for it breaks its rule. A check that also
// passes without the guard proves nothing.
#ifndef MINTROCK_SRC_LAB_MUTATE_HPP_
#define MINTROCK_SRC_LAB_MUTATE_HPP_

#include <string>
#include <vector>

namespace mintrock::lab {

struct Mutation {
  struct Change {
    std::string file;  // path below the source folder
    std::string find;  // must occur in the file exactly once
    std::string replace;
  };
  std::string name;
  std::string guards;  // what the guard does, one line
  std::vector<Change> changes;
  std::string scenario;  // path below the source folder; `rule` must then be broken
  std::string rule;      // name of a checker rule, or "left behind" for calls that a core server still holds
  std::string target;    // without a scenario: the test program
  std::string test;      // filter of its tests, at least one of which must fail
  bool expect_undetected = false;  // other guards cover for it: the check must still pass
};

// Reads the list of mutations; throws config::Error with a one-line message.
std::vector<Mutation> load_mutations(const std::string& file);

// Replaces `find` in `text`; throws std::runtime_error unless it occurs there exactly once.
std::string apply_change(const std::string& text, const Mutation::Change& change);

struct MutateOptions {
  std::string list_file;
  std::string source_dir = ".";
  std::string build_dir;    // for the copy and its build; kept, so that the next run builds less
  std::string name_filter;  // runs only mutations whose name contains this; empty: all
  std::string report_file;
};
// Prints each guard with its rule and margins. Returns 0 only if every mutation had the expected result and
// every check passed on the unchanged source.
int run_mutations(const MutateOptions& options);

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_MUTATE_HPP_
