#include "lab/mutate.hpp"

#include <sys/wait.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>
#include <stdexcept>

#include "config/yaml.hpp"
#include "lab/process.hpp"

namespace mintrock::lab {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

std::string read_file(const fs::path& path) {
  std::ifstream in(path);
  if (!in) throw std::runtime_error(path.string() + ": cannot be read");
  return {std::istreambuf_iterator<char>(in), {}};
}

void write_file(const fs::path& path, const std::string& text) {
  std::ofstream out(path, std::ios::trunc);
  if (!(out << text) || !out.flush()) throw std::runtime_error(path.string() + ": cannot be written");
}

// Runs a program with its output redirected to a file and returns its exit status, 128 if a signal ended it.
int run(const std::vector<std::string>& command, const fs::path& output) {
  std::vector<std::string> shell_command = {"/bin/sh", "-c", "out=$1; shift; exec \"$@\" >\"$out\" 2>&1",
                                            "sh", output.string()};
  shell_command.insert(shell_command.end(), command.begin(), command.end());
  const pid_t pid = spawn(shell_command);
  int status = 0;
  while (waitpid(pid, &status, 0) < 0 && errno == EINTR) {
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
}

struct CheckResult {
  bool noticed = false;
  std::string summary;  // the result as shown in the table
};

class Workspace {
 public:
  explicit Workspace(const MutateOptions& options)
      : options_(options), source_(fs::path(options.build_dir) / "source") {
    fs::create_directories(options_.build_dir);
    const fs::path from = fs::absolute(options.source_dir);
    for (const char* part : {"CMakeLists.txt", "README.md", "LICENSE", "cmake", "include", "src", "proto",
                             "tests", "benchmarks", "scenarios", "docs"}) {
      copy_changed(from / part, source_ / part);
    }
    run_build({"cmake", "-G", "Ninja", "-S", source_.string(), "-B",
               (fs::path(options_.build_dir) / "out").string(), "-DMINTROCK_PROGRAMS=ON",
               "-DMINTROCK_BUILD_TESTS=ON", "-DCMAKE_BUILD_TYPE=Debug", "-DCMAKE_CXX_FLAGS_DEBUG=-O1"});
  }

  void build(const std::string& target) {
    run_build({"cmake", "--build", (fs::path(options_.build_dir) / "out").string(), "--target", target});
  }

  // Applies a mutation to the copy and restores the files when destroyed.
  class AppliedMutation {
   public:
    AppliedMutation(const Workspace& workspace, const Mutation& mutation) {
      for (const Mutation::Change& change : mutation.changes) {
        const fs::path path = workspace.source_ / change.file;
        originals_.emplace_back(path, read_file(path));
        try {
          write_file(path, apply_change(originals_.back().second, change));
        } catch (const std::exception& error) {
          throw std::runtime_error(mutation.name + ": " + change.file + ": " + error.what());
        }
      }
    }
    ~AppliedMutation() {
      for (auto at = originals_.rbegin(); at != originals_.rend(); ++at)
        std::ofstream(at->first) << at->second;
    }
    AppliedMutation(const AppliedMutation&) = delete;

   private:
    std::vector<std::pair<fs::path, std::string>> originals_;
  };

  CheckResult run_check(const Mutation& m) {
    const fs::path out = fs::path(options_.build_dir) / "out";
    const fs::path log = fs::path(options_.build_dir) / (m.name + ".log");
    if (m.scenario.empty()) {
      build(m.target);
      const int status = run({(out / "tests" / m.target).string(), "--gtest_filter=" + m.test}, log);
      return {status != 0, status != 0 ? "fails" : "passes"};
    }
    build("mintrock-edge");
    const fs::path traces = fs::path(options_.build_dir) / "traces";
    fs::remove_all(traces);
    const fs::path report = fs::path(options_.build_dir) / "report.json";
    fs::remove(report);
    run({fs::read_symlink("/proc/self/exe").string(), "run", (source_ / m.scenario).string(), "--edge",
         (out / "src" / "mintrock-edge").string(), "--report", report.string(), "--trace", traces.string(),
         "--quiet"},
        log);
    const json read = json::parse(read_file(report), nullptr, false);
    if (!read.is_object())
      throw std::runtime_error(m.name + ": the run wrote no report, see " + log.string());
    if (m.rule == "left behind") {
      const auto left = read.at("left_behind").get<std::uint64_t>();
      return {left > 0, std::to_string(left) + " left"};
    }
    for (const json& rule : read.at("rules")) {
      if (rule.at("name") != m.rule) continue;
      const auto broken = rule.at("broken").get<std::uint64_t>();
      char text[80];
      std::snprintf(text, sizeof text, "%llu of %llu broken, worst at %.0f%%",
                    static_cast<unsigned long long>(broken),
                    static_cast<unsigned long long>(rule.at("checked").get<std::uint64_t>()),
                    100 * rule.at("worst_of_limit").get<double>());
      return {broken > 0, text};
    }
    throw std::runtime_error(m.name + ": the checker has no rule named '" + m.rule + "'");
  }

 private:
  // Writes only files whose contents differ, so that little is rebuilt.
  static void copy_changed(const fs::path& from, const fs::path& to) {
    if (fs::is_directory(from)) {
      for (const auto& entry : fs::recursive_directory_iterator(from)) {
        if (entry.is_regular_file()) copy_changed(entry.path(), to / fs::relative(entry.path(), from));
      }
      return;
    }
    const std::string text = read_file(from);
    if (fs::exists(to) && read_file(to) == text) return;
    fs::create_directories(to.parent_path());
    write_file(to, text);
    fs::permissions(to, fs::status(from).permissions());
  }

  void run_build(const std::vector<std::string>& command) {
    const fs::path log = fs::path(options_.build_dir) / "build.log";
    if (run(command, log) != 0) throw std::runtime_error("build failed, see " + log.string());
  }

  const MutateOptions& options_;
  fs::path source_;
};

}  // namespace

std::vector<Mutation> load_mutations(const std::string& file) {
  config::Section top = config::load(file);
  std::vector<Mutation> out;
  top.read_sections("mutations", [&](config::Section& from) {
    Mutation m;
    from.require("name");
    from.read("name", m.name);
    from.require("guards");
    from.read("guards", m.guards);
    from.read("scenario", m.scenario);
    from.read("rule", m.rule);
    from.read("target", m.target);
    from.read("test", m.test);
    from.read("holds", m.expect_undetected);
    from.read_sections("changes", [&](config::Section& each) {
      Mutation::Change change;
      each.require("file");
      each.read("file", change.file);
      each.require("find");
      each.read("find", change.find);
      each.read("replace", change.replace);
      m.changes.push_back(change);
    });
    if (m.changes.empty()) from.fail("changes", "is empty");
    if (m.scenario.empty() == m.test.empty())
      from.fail("scenario", "exactly one of scenario and test is required");
    if (m.scenario.empty() != m.rule.empty()) from.fail("rule", "must be given exactly if scenario is");
    if (m.test.empty() != m.target.empty()) from.fail("target", "must be given exactly if test is");
    out.push_back(m);
  });
  top.reject_unknown_keys();
  return out;
}

std::string apply_change(const std::string& text, const Mutation::Change& change) {
  const std::size_t at = text.find(change.find);
  if (change.find.empty() || at == std::string::npos) {
    throw std::runtime_error("does not contain '" + change.find + "'");
  }
  if (text.find(change.find, at + 1) != std::string::npos) {
    throw std::runtime_error("contains '" + change.find + "' more than once");
  }
  return text.substr(0, at) + change.replace + text.substr(at + change.find.size());
}

int run_mutations(const MutateOptions& options) {
  std::vector<Mutation> mutations;
  for (Mutation& each : load_mutations(options.list_file)) {
    if (each.name.find(options.name_filter) != std::string::npos) mutations.push_back(std::move(each));
  }
  if (mutations.empty()) throw std::runtime_error("no mutation matches");
  Workspace workspace(options);
  json report = json::array();
  bool all_as_expected = true;
  std::map<std::string, CheckResult> baseline;  // results with all guards in place, by check
  std::printf("%-24s %-20s %-34s %-34s %s\n", "without", "noticed by", "with all guards", "without it", "");
  for (const Mutation& m : mutations) {
    const std::string key = m.scenario.empty() ? m.target + m.test : m.scenario + m.rule;
    if (baseline.count(key) == 0) baseline[key] = workspace.run_check(m);
    CheckResult without;
    {
      const Workspace::AppliedMutation applied(workspace, m);
      without = workspace.run_check(m);
    }
    const bool as_expected = !baseline[key].noticed && without.noticed != m.expect_undetected;
    all_as_expected &= as_expected;
    std::printf("%-24s %-20s %-34s %-34s %s\n", m.name.c_str(), (m.rule.empty() ? m.test : m.rule).c_str(),
                baseline[key].summary.c_str(), without.summary.c_str(),
                baseline[key].noticed ? "FALSE ALARM"
                : without.noticed     ? (m.expect_undetected ? "NOTICED, EXPECTED TO HOLD" : "noticed")
                : m.expect_undetected ? "holds: other guards cover for it"
                                      : "NOT NOTICED");
    std::fflush(stdout);
    report.push_back({{"name", m.name},
                      {"guards", m.guards},
                      {"by", m.rule.empty() ? m.test : m.rule},
                      {"with_all", baseline[key].summary},
                      {"without", without.summary},
                      {"noticed", without.noticed},
                      {"as_expected", as_expected}});
  }
  if (!options.report_file.empty()) write_file(options.report_file, report.dump(2) + "\n");
  std::printf("%s\n", all_as_expected ? "every mutation had the expected result" : "NOT GOOD");
  return all_as_expected ? 0 : 1;
}

}  // namespace mintrock::lab
