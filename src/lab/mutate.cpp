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

// Runs a program with its output in a file; its exit status.
int run(const std::vector<std::string>& words, const fs::path& output) {
  std::vector<std::string> all = {"/bin/sh", "-c", "out=$1; shift; exec \"$@\" >\"$out\" 2>&1", "sh",
                                  output.string()};
  all.insert(all.end(), words.begin(), words.end());
  const pid_t pid = spawn(all);
  int status = 0;
  while (waitpid(pid, &status, 0) < 0 && errno == EINTR) {
  }
  return WIFEXITED(status) ? WEXITSTATUS(status) : 128;
}

struct Judged {
  bool noticed = false;
  std::string what;  // how far, for the table
};

class Bench {
 public:
  explicit Bench(const MutateOptions& options)
      : options_(options), source_(fs::path(options.build_dir) / "source") {
    fs::create_directories(options_.build_dir);
    const fs::path from = fs::absolute(options.source_dir);
    for (const char* part : {"CMakeLists.txt", "README.md", "LICENSE", "cmake", "include", "src", "proto",
                             "tests", "benchmarks", "scenarios", "docs"}) {
      update(from / part, source_ / part);
    }
    must({"cmake", "-G", "Ninja", "-S", source_.string(), "-B",
          (fs::path(options_.build_dir) / "out").string(), "-DMINTROCK_PROGRAMS=ON",
          "-DMINTROCK_BUILD_TESTS=ON", "-DCMAKE_BUILD_TYPE=Debug", "-DCMAKE_CXX_FLAGS_DEBUG=-O1"});
  }

  void build(const std::string& target) {
    must({"cmake", "--build", (fs::path(options_.build_dir) / "out").string(), "--target", target});
  }

  // Takes the guard out, and puts it back at the end.
  class Without {
   public:
    Without(const Bench& bench, const Mutation& mutation) {
      for (const Mutation::Change& change : mutation.changes) {
        const fs::path path = bench.source_ / change.file;
        before_.emplace_back(path, read_file(path));
        try {
          write_file(path, apply_change(before_.back().second, change));
        } catch (const std::exception& error) {
          throw std::runtime_error(mutation.name + ": " + change.file + ": " + error.what());
        }
      }
    }
    ~Without() {
      for (auto at = before_.rbegin(); at != before_.rend(); ++at) std::ofstream(at->first) << at->second;
    }
    Without(const Without&) = delete;

   private:
    std::vector<std::pair<fs::path, std::string>> before_;
  };

  Judged judge(const Mutation& m) {
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
    throw std::runtime_error(m.name + ": the checker knows no rule '" + m.rule + "'");
  }

 private:
  // Only what differs is written, so that little is built anew.
  static void update(const fs::path& from, const fs::path& to) {
    if (fs::is_directory(from)) {
      for (const auto& entry : fs::recursive_directory_iterator(from)) {
        if (entry.is_regular_file()) update(entry.path(), to / fs::relative(entry.path(), from));
      }
      return;
    }
    const std::string text = read_file(from);
    if (fs::exists(to) && read_file(to) == text) return;
    fs::create_directories(to.parent_path());
    write_file(to, text);
    fs::permissions(to, fs::status(from).permissions());
  }

  void must(const std::vector<std::string>& words) {
    const fs::path log = fs::path(options_.build_dir) / "build.log";
    if (run(words, log) != 0) throw std::runtime_error("does not build, see " + log.string());
  }

  const MutateOptions& options_;
  fs::path source_;
};

}  // namespace

std::vector<Mutation> load_mutations(const std::string& file) {
  config::Section top = config::load(file);
  std::vector<Mutation> out;
  top.sections("mutations", [&](config::Section& from) {
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
    from.sections("changes", [&](config::Section& each) {
      Mutation::Change change;
      each.require("file");
      each.read("file", change.file);
      each.require("find");
      each.read("find", change.find);
      each.read("replace", change.replace);
      m.changes.push_back(change);
    });
    if (m.changes.empty()) from.fail("changes", "is empty");
    if (m.scenario.empty() == m.test.empty()) from.fail("scenario", "one of scenario and test is wanted");
    if (m.scenario.empty() != m.rule.empty()) from.fail("rule", "goes with scenario");
    if (m.test.empty() != m.target.empty()) from.fail("target", "goes with test");
    out.push_back(m);
  });
  top.finish();
  return out;
}

std::string apply_change(const std::string& text, const Mutation::Change& change) {
  const std::size_t at = text.find(change.find);
  if (change.find.empty() || at == std::string::npos) {
    throw std::runtime_error("does not have '" + change.find + "'");
  }
  if (text.find(change.find, at + 1) != std::string::npos) {
    throw std::runtime_error("has '" + change.find + "' more than once");
  }
  return text.substr(0, at) + change.replace + text.substr(at + change.find.size());
}

int run_mutations(const MutateOptions& options) {
  std::vector<Mutation> all;
  for (Mutation& each : load_mutations(options.list_file)) {
    if (each.name.find(options.name_filter) != std::string::npos) all.push_back(std::move(each));
  }
  if (all.empty()) throw std::runtime_error("no such mutation");
  Bench bench(options);
  json report = json::array();
  bool good = true;
  std::map<std::string, Judged> whole;  // with all guards in place, by what is run
  std::printf("%-24s %-20s %-34s %-34s %s\n", "without", "noticed by", "with all guards", "without it", "");
  for (const Mutation& m : all) {
    const std::string key = m.scenario.empty() ? m.target + m.test : m.scenario + m.rule;
    if (whole.count(key) == 0) whole[key] = bench.judge(m);
    Judged without;
    {
      const Bench::Without taken(bench, m);
      without = bench.judge(m);
    }
    const bool fine = !whole[key].noticed && without.noticed != m.expect_undetected;
    good &= fine;
    std::printf("%-24s %-20s %-34s %-34s %s\n", m.name.c_str(), (m.rule.empty() ? m.test : m.rule).c_str(),
                whole[key].what.c_str(), without.what.c_str(),
                whole[key].noticed    ? "CRIES WITHOUT CAUSE"
                : without.noticed     ? (m.expect_undetected ? "NOTICED, AND WAS SAID TO HOLD" : "noticed")
                : m.expect_undetected ? "holds: others stand behind it"
                                      : "NOT NOTICED");
    std::fflush(stdout);
    report.push_back({{"name", m.name},
                      {"guards", m.guards},
                      {"by", m.rule.empty() ? m.test : m.rule},
                      {"with_all", whole[key].what},
                      {"without", without.what},
                      {"noticed", without.noticed},
                      {"as_expected", fine}});
  }
  if (!options.report_file.empty()) write_file(options.report_file, report.dump(2) + "\n");
  std::printf("%s\n", good ? "every guard is seen to work" : "NOT GOOD");
  return good ? 0 : 1;
}

}  // namespace mintrock::lab
