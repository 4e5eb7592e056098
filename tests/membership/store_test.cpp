// The kept list against what disks and processes do to it.
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

class Kept : public ::testing::Test {
 protected:
  Kept() : path(std::string(::testing::TempDir()) + "store-" + std::to_string(getpid())) { clean(); }
  ~Kept() override { clean(); }
  void clean() const {
    for (const char* each : {"", "-journal", ".damaged"}) std::remove((path + each).c_str());
  }
  static StoredEntry entry(int number, double confirmed = 1000) {
    StoredEntry e;
    e.identity = "core-" + std::to_string(number) + ".test";
    e.address = "127.0.0.1:" + std::to_string(3000 + number);
    e.node = static_cast<std::uint32_t>(number);
    e.weight = 1.5;
    e.last_confirmed = confirmed;
    return e;
  }
  static Change change(std::uint64_t revision, int entries, bool full = true) {
    Change c;
    c.revision = revision;
    c.wall = 1e9 + static_cast<double>(revision);
    c.monotonic = 50;
    c.boot = "b";
    c.full = full;
    for (int i = 0; i < entries; ++i) c.entries.push_back(entry(i, static_cast<double>(revision)));
    return c;
  }
  std::string bytes() const {
    std::ifstream in(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(in), {}};
  }
  void put(const std::string& text) const {
    clean();
    std::ofstream(path, std::ios::binary) << text;
  }
  StoreError::Kind fault() const {
    try {
      Store(path, Store::Durability::kProcessCrash).load();
    } catch (const StoreError& error) {
      EXPECT_NE(std::string(error.what()).find(path), std::string::npos) << "names the file";
      return error.kind();
    }
    ADD_FAILURE() << "opens";
    return StoreError::Kind::kBusy;
  }

  std::string path;
};

TEST_F(Kept, WhatIsKeptIsReadBack) {
  {
    Store store(path, Store::Durability::kPowerCut);
    EXPECT_TRUE(store.load().intact);
    EXPECT_TRUE(store.load().entries.empty());
    store.apply(change(7, 3));
    Change more = change(8, 0, false);
    more.entries = {entry(1, 5000)};
    more.entries[0].state = ServerEntry::State::kDraining;
    more.removed = {"core-2.test"};
    store.apply(more);
  }
  const StoredList back = Store(path, Store::Durability::kPowerCut).load();
  EXPECT_TRUE(back.intact);
  EXPECT_EQ(back.revision, 8u);
  EXPECT_EQ(back.boot, "b");
  ASSERT_EQ(back.entries.size(), 2u);
  EXPECT_EQ(back.entries[0], entry(0, 7));
  EXPECT_EQ(back.entries[1].state, ServerEntry::State::kDraining);
}

TEST_F(Kept, AChangeThatCannotBeTakenWholeChangesNothing) {
  Store store(path, Store::Durability::kProcessCrash);
  store.apply(change(1, 3));
  Change nonsense = change(2, 2);
  nonsense.entries[1].weight = std::numeric_limits<double>::quiet_NaN();
  EXPECT_THROW(store.apply(nonsense), std::invalid_argument);
  EXPECT_THROW(store.apply(change(3, static_cast<int>(Store::kMaxEntries) + 1)), std::length_error);
  const StoredList back = store.load();
  EXPECT_EQ(back.revision, 1u);
  EXPECT_EQ(back.entries.size(), 3u);
  EXPECT_TRUE(back.intact);
}

// Cut anywhere, it is either refused by name, or what it still says is what was written.
TEST_F(Kept, CutAtEveryByteNothingFalseIsRead) {
  { Store(path, Store::Durability::kPowerCut).apply(change(7, 4)); }
  const std::string whole = bytes();
  ASSERT_GT(whole.size(), 1000u);
  for (std::size_t size = 0; size < whole.size(); size += size < 200 ? 1 : 7) {
    put(whole.substr(0, size));
    try {
      const StoredList back = Store(path, Store::Durability::kProcessCrash).load();
      EXPECT_TRUE(back.entries.empty() || !back.intact) << size;
      for (const StoredEntry& e : back.entries) EXPECT_EQ(e, entry(static_cast<int>(e.node), 7)) << size;
    } catch (const StoreError& error) {
      EXPECT_EQ(error.kind(), StoreError::Kind::kCorrupt) << size << ": " << error.what();
    }
  }
}

// A flipped bit anywhere: no entry is believed that was not written.
TEST_F(Kept, AFlippedBitIsNeverBelieved) {
  { Store(path, Store::Durability::kPowerCut).apply(change(7, 4)); }
  const std::string whole = bytes();
  std::mt19937 random(5);
  for (std::size_t at = 0; at < whole.size(); at += 3) {
    std::string spoilt = whole;
    spoilt[at] = static_cast<char>(spoilt[at] ^ (1 << (random() % 8)));
    put(spoilt);
    try {
      const StoredList back = Store(path, Store::Durability::kProcessCrash).load();
      for (const StoredEntry& e : back.entries) EXPECT_EQ(e, entry(static_cast<int>(e.node), 7)) << at;
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

TEST_F(Kept, ALaterVersionAnotherFileAndAFolderAreRefusedByName) {
  { Store(path, Store::Durability::kPowerCut).apply(change(1, 1)); }
  sqlite3* db = nullptr;
  ASSERT_EQ(sqlite3_open(path.c_str(), &db), SQLITE_OK);
  sqlite3_exec(db, "PRAGMA user_version = 2", nullptr, nullptr, nullptr);
  sqlite3_close(db);
  EXPECT_EQ(fault(), StoreError::Kind::kNewerVersion);
  put(std::string(3000, 'x'));
  EXPECT_EQ(fault(), StoreError::Kind::kCorrupt);
  EXPECT_TRUE(Store::set_aside(path));
  EXPECT_TRUE(Store(path, Store::Durability::kPowerCut).load().entries.empty())
      << "there is room for a new one";
  clean();
  ASSERT_EQ(mkdir(path.c_str(), 0700), 0);
  EXPECT_EQ(fault(), StoreError::Kind::kNoAccess);
  rmdir(path.c_str());
}

TEST_F(Kept, TwoProcessesCannotHaveOneStore) {
  Store store(path, Store::Durability::kPowerCut);
  store.apply(change(1, 1));
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

TEST_F(Kept, ChangesThatWaitTogetherComeToTheirSum) {
  Change first = change(1, 3);
  Change then = change(2, 0, false);
  then.entries = {entry(1, 9)};
  then.removed = {"core-0.test"};
  const Change both = merge_changes(first, then);
  EXPECT_TRUE(both.full);
  EXPECT_EQ(both.revision, 2u);
  Store store(path, Store::Durability::kProcessCrash);
  store.apply(both);
  const StoredList back = store.load();
  ASSERT_EQ(back.entries.size(), 2u);
  EXPECT_EQ(back.entries[0], entry(1, 9));
  EXPECT_EQ(back.entries[1], entry(2, 1));
  EXPECT_EQ(merge_changes(then, change(3, 1)).entries.size(), 1u) << "a whole list is what counts";
}

TEST_F(Kept, TheKeeperWritesAllAndBeginsADamagedStoreAnew) {
  std::vector<std::string> faults;
  const auto fault = [&](const std::string& what) { faults.push_back(what); };
  {
    AsyncStore async_store(path, Store::Durability::kPowerCut, fault);
    for (std::uint64_t i = 1; i <= 200; ++i) async_store.write(change(i, 3));
  }
  EXPECT_TRUE(faults.empty());
  {
    AsyncStore async_store(path, Store::Durability::kPowerCut, fault);
    EXPECT_EQ(async_store.loaded().revision, 200u);
    EXPECT_EQ(async_store.loaded().entries.size(), 3u);
  }
  put(std::string(3000, 'x'));
  AsyncStore async_store(path, Store::Durability::kPowerCut, fault);
  ASSERT_EQ(faults.size(), 1u);
  EXPECT_NE(faults[0].find("set aside"), std::string::npos);
  EXPECT_TRUE(async_store.loaded().entries.empty());
}

// Killed at any moment while it writes, a store has the last change that was acknowledged or the one after
// it, never a mix.
TEST_F(Kept, KilledWhileItWritesItHasOneChangeWhole) {
  std::mt19937 random(9);
  for (int round = 0; round < 20; ++round) {
    clean();
    int pipes[2];
    ASSERT_EQ(pipe(pipes), 0);
    const pid_t pid = fork();
    if (pid == 0) {
      close(pipes[0]);
      Store store(path, Store::Durability::kPowerCut);
      for (std::uint64_t revision = 1;; ++revision) {
        store.apply(change(revision, 1 + static_cast<int>(revision % 7)));
        if (write(pipes[1], &revision, sizeof revision) != sizeof revision) _exit(1);
      }
    }
    close(pipes[1]);
    const unsigned after = 1 + random() % 40;  // acknowledged changes, then the kill comes at whatever moment
    std::uint64_t last = 0;
    for (unsigned i = 0; i < after; ++i) ASSERT_EQ(read(pipes[0], &last, sizeof last), ssize_t{sizeof last});
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
