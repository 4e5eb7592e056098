// The stored list survives disk faults, concurrent processes and kills.
#include "membership/store.hpp"

#include <gtest/gtest.h>
#include <signal.h>
#include <sqlite3.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <iterator>
#include <limits>
#include <random>
#include <string>
#include <vector>

#include "membership/async_store.hpp"

namespace mintrock::membership {
namespace {

class StoreTest : public ::testing::Test {
 protected:
  StoreTest() : path(std::string(::testing::TempDir()) + "store-" + std::to_string(getpid())) {
    remove_files();
  }
  ~StoreTest() override { remove_files(); }
  void remove_files() const {
    for (const char* each : {"", "-journal", ".damaged"}) std::remove((path + each).c_str());
  }
  static StoredEntry make_entry(int number, double confirmed = 1000) {
    StoredEntry e;
    e.identity = "core-" + std::to_string(number) + ".test";
    e.address = "127.0.0.1:" + std::to_string(3000 + number);
    e.node = static_cast<std::uint32_t>(number);
    e.weight = 1.5;
    e.last_confirmed = confirmed;
    return e;
  }
  static Change make_change(std::uint64_t revision, int entries, bool full = true) {
    Change c;
    c.revision = revision;
    c.wall = 1e9 + static_cast<double>(revision);
    c.monotonic = 50;
    c.boot = "b";
    c.full = full;
    for (int i = 0; i < entries; ++i) c.entries.push_back(make_entry(i, static_cast<double>(revision)));
    return c;
  }
  std::string read_file() const {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void write_file(const std::string& text) const {
    remove_files();
    std::ofstream(path, std::ios::binary) << text;
  }
  // Returns the kind of error with which the store fails to open or load.
  StoreError::Kind open_error() const {
    try {
      Store(path, Store::Durability::kProcessCrash).load();
    } catch (const StoreError& error) {
      EXPECT_NE(std::string(error.what()).find(path), std::string::npos)
          << "the message does not name the file";
      return error.kind();
    }
    ADD_FAILURE() << "no error";
    return StoreError::Kind::kBusy;
  }

  std::string path;
};

TEST_F(StoreTest, AppliedChangesAreReadBack) {
  {
    Store store(path, Store::Durability::kPowerCut);
    EXPECT_TRUE(store.load().intact);
    EXPECT_TRUE(store.load().entries.empty());
    store.apply(make_change(7, 3));
    Change more = make_change(8, 0, false);
    more.entries = {make_entry(1, 5000)};
    more.entries[0].state = ServerEntry::State::kDraining;
    more.removed = {"core-2.test"};
    store.apply(more);
  }
  const StoredList back = Store(path, Store::Durability::kPowerCut).load();
  EXPECT_TRUE(back.intact);
  EXPECT_EQ(back.revision, 8u);
  EXPECT_EQ(back.boot, "b");
  ASSERT_EQ(back.entries.size(), 2u);
  EXPECT_EQ(back.entries[0], make_entry(0, 7));
  EXPECT_EQ(back.entries[1].state, ServerEntry::State::kDraining);
}

TEST_F(StoreTest, RejectedChangeHasNoEffect) {
  Store store(path, Store::Durability::kProcessCrash);
  store.apply(make_change(1, 3));
  Change invalid = make_change(2, 2);
  invalid.entries[1].weight = std::numeric_limits<double>::quiet_NaN();
  EXPECT_THROW(store.apply(invalid), std::invalid_argument);
  EXPECT_THROW(store.apply(make_change(3, static_cast<int>(Store::kMaxEntries) + 1)), std::length_error);
  const StoredList back = store.load();
  EXPECT_EQ(back.revision, 1u);
  EXPECT_EQ(back.entries.size(), 3u);
  EXPECT_TRUE(back.intact);
}

// A file truncated at any byte is either rejected as corrupt, or yields only entries that were written.
TEST_F(StoreTest, TruncatedFileYieldsNoFalseEntry) {
  { Store(path, Store::Durability::kPowerCut).apply(make_change(7, 4)); }
  const std::string original = read_file();
  ASSERT_GT(original.size(), 1000u);
  for (std::size_t size = 0; size < original.size(); size += size < 200 ? 1 : 7) {
    write_file(original.substr(0, size));
    try {
      const StoredList back = Store(path, Store::Durability::kProcessCrash).load();
      EXPECT_TRUE(back.entries.empty() || !back.intact) << size;
      for (const StoredEntry& e : back.entries) EXPECT_EQ(e, make_entry(static_cast<int>(e.node), 7)) << size;
    } catch (const StoreError& error) {
      EXPECT_EQ(error.kind(), StoreError::Kind::kCorrupt) << size << ": " << error.what();
    }
  }
}

// With any bit flipped, the store accepts only entries that were written.
TEST_F(StoreTest, FlippedBitYieldsNoFalseEntry) {
  { Store(path, Store::Durability::kPowerCut).apply(make_change(7, 4)); }
  const std::string original = read_file();
  std::mt19937 random(5);
  for (std::size_t at = 0; at < original.size(); at += 3) {
    std::string corrupt = original;
    corrupt[at] = static_cast<char>(corrupt[at] ^ (1 << (random() % 8)));
    write_file(corrupt);
    try {
      const StoredList back = Store(path, Store::Durability::kProcessCrash).load();
      for (const StoredEntry& e : back.entries) EXPECT_EQ(e, make_entry(static_cast<int>(e.node), 7)) << at;
      EXPECT_TRUE(back.revision == 7 || !back.intact || back.entries.empty()) << at;
      EXPECT_TRUE(back.entries.size() == 4 || !back.intact || back.entries.empty()) << at;
    } catch (const StoreError& error) {
      EXPECT_TRUE(error.kind() == StoreError::Kind::kCorrupt ||
                  error.kind() == StoreError::Kind::kNewerVersion ||
                  error.kind() == StoreError::Kind::kNoAccess)
          << at << ": " << error.what();
    }
  }
}

TEST_F(StoreTest, NewerVersionForeignFileAndFolderAreRejectedWithTheirKind) {
  { Store(path, Store::Durability::kPowerCut).apply(make_change(1, 1)); }
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open(path.c_str(), &db), SQLITE_OK);
  sqlite3_exec(db, "PRAGMA user_version = 2", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  EXPECT_EQ(open_error(), StoreError::Kind::kNewerVersion);
  write_file(std::string(3000, 'x'));
  EXPECT_EQ(open_error(), StoreError::Kind::kCorrupt);
  EXPECT_TRUE(Store::set_aside(path));
  EXPECT_TRUE(Store(path, Store::Durability::kPowerCut).load().entries.empty())
      << "a new store can be created";
  remove_files();
  ASSERT_EQ(mkdir(path.c_str(), 0700), 0);
  EXPECT_EQ(open_error(), StoreError::Kind::kNoAccess);
  rmdir(path.c_str());
}

TEST_F(StoreTest, SecondProcessCannotOpenTheStore) {
  Store store(path, Store::Durability::kPowerCut);
  store.apply(make_change(1, 1));
  const pid_t pid = fork();
  if (pid == 0) {
    try {
      Store other(path, Store::Durability::kPowerCut);
      _exit(1);
    } catch (const StoreError& error) {
      _exit(error.kind() == StoreError::Kind::kBusy ? 0 : 2);
    }
  }
  int status = 0;
  waitpid(pid, &status, 0);
  EXPECT_EQ(status, 0);
}

TEST_F(StoreTest, MergedChangesEqualTheirSequence) {
  Change first = make_change(1, 3);
  Change second = make_change(2, 0, false);
  second.entries = {make_entry(1, 9)};
  second.removed = {"core-0.test"};
  const Change merged = merge_changes(first, second);
  EXPECT_TRUE(merged.full);
  EXPECT_EQ(merged.revision, 2u);
  Store store(path, Store::Durability::kProcessCrash);
  store.apply(merged);
  const StoredList back = store.load();
  ASSERT_EQ(back.entries.size(), 2u);
  EXPECT_EQ(back.entries[0], make_entry(1, 9));
  EXPECT_EQ(back.entries[1], make_entry(2, 1));
  EXPECT_EQ(merge_changes(second, make_change(3, 1)).entries.size(), 1u)
      << "a snapshot replaces earlier changes";
}

TEST_F(StoreTest, AsyncStoreWritesAllChangesAndReplacesACorruptStore) {
  std::vector<std::string> errors;
  const auto on_error = [&](const std::string& what) { errors.push_back(what); };
  {
    AsyncStore async_store(path, Store::Durability::kPowerCut, on_error);
    for (std::uint64_t i = 1; i <= 200; ++i) async_store.write(make_change(i, 3));
  }
  EXPECT_TRUE(errors.empty());
  {
    AsyncStore async_store(path, Store::Durability::kPowerCut, on_error);
    EXPECT_EQ(async_store.loaded().revision, 200u);
    EXPECT_EQ(async_store.loaded().entries.size(), 3u);
  }
  write_file(std::string(3000, 'x'));
  AsyncStore async_store(path, Store::Durability::kPowerCut, on_error);
  ASSERT_EQ(errors.size(), 1u);
  EXPECT_NE(errors[0].find("set aside"), std::string::npos);
  EXPECT_TRUE(async_store.loaded().entries.empty());
}

// After a kill at any moment during a write, the store holds the last acknowledged change or the one after
// it, never a mix.
TEST_F(StoreTest, KillDuringAWriteLeavesOneCompleteChange) {
  std::mt19937 random(9);
  for (int round = 0; round < 20; ++round) {
    remove_files();
    int pipes[2];
    ASSERT_EQ(pipe(pipes), 0);
    const pid_t pid = fork();
    if (pid == 0) {
      close(pipes[0]);
      Store store(path, Store::Durability::kPowerCut);
      for (std::uint64_t revision = 1;; ++revision) {
        store.apply(make_change(revision, 1 + static_cast<int>(revision % 7)));
        if (write(pipes[1], &revision, sizeof revision) != sizeof revision) _exit(1);
      }
    }
    close(pipes[1]);
    const unsigned changes_before_kill = 1 + random() % 40;  // acknowledged
    std::uint64_t last = 0;
    for (unsigned i = 0; i < changes_before_kill; ++i)
      ASSERT_EQ(read(pipes[0], &last, sizeof last), ssize_t{sizeof last});
    kill(pid, SIGKILL);
    for (std::uint64_t more = 0; read(pipes[0], &more, sizeof more) == ssize_t{sizeof more};) last = more;
    waitpid(pid, nullptr, 0);
    close(pipes[0]);
    const StoredList back = Store(path, Store::Durability::kPowerCut).load();
    EXPECT_TRUE(back.intact);
    EXPECT_TRUE(back.revision == last || back.revision == last + 1) << back.revision << " after " << last;
    EXPECT_EQ(back.entries.size(), 1 + back.revision % 7);
    for (const StoredEntry& e : back.entries) {
      EXPECT_EQ(e.last_confirmed, static_cast<double>(back.revision)) << "a mix of two changes";
    }
  }
}

}  // namespace
}  // namespace mintrock::membership
