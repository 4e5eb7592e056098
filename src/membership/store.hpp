// Stores the server list on disk, for a start without the list server. Every accepted change is one
// transaction; each row and the list as a whole are verified when they are read back.
//
// Uses SQLite (docs/membership.md compares it with LMDB and a custom log), so a change is stored completely
// or not at all, whenever the process dies. SQLite does not detect a flipped bit within a row. Therefore each
// row carries an XXH3 hash of its fields, and so does the list as a whole; a corrupt row is reported and left
// out. Calls block on the disk, so make them on a separate thread and never on the event loop.
#ifndef MINTROCK_SRC_MEMBERSHIP_STORE_HPP_
#define MINTROCK_SRC_MEMBERSHIP_STORE_HPP_

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "membership/trust.hpp"

namespace mintrock::membership {

// One core server as stored. Times are seconds since the Unix epoch; 0 means never or long ago.
struct StoredEntry {
  std::string identity;  // 1 to 255 bytes, printable
  std::string address;
  std::uint32_t node = 0;
  std::uint32_t kind = 0;
  double weight = 1;  // 0 or more
  ServerEntry::State state = ServerEntry::State::kReady;
  double started_at = 0;
  double first_confirmed = 0;
  double last_confirmed = 0;
  Source source = Source::kList;
  double answered_share = 1;  // recent share of this proxy's set-ups that were answered; 0 to 1
  double delay_s = 0;         // delay of those that were established
  bool operator==(const StoredEntry& other) const;
};

// The contents of one write.
struct Change {
  std::uint64_t revision = 0;  // of the list; 0: the change comes from the proxy itself
  double wall = 0;             // time of the change, s since the Unix epoch
  double monotonic = 0;        // the same time on the monotonic clock of the boot that `boot` names
  std::string boot;            // identifies the machine's boot; empty: unknown
  bool full = false;           // a snapshot: entries that are not in it are removed
  std::vector<StoredEntry> entries;
  std::vector<std::string> removed;  // identities
};

struct StoredList {
  std::uint64_t revision = 0;
  double wall = 0;
  double monotonic = 0;
  std::string boot;
  std::vector<StoredEntry> entries;  // ordered by identity
  std::vector<std::string> errors;   // one line for each corrupt row or head
  bool intact = true;                // nothing is missing or was modified outside the store
};

class StoreError : public std::runtime_error {
 public:
  enum class Kind {
    kNoAccess,      // the file cannot be read or written, or the disk is full or read-only
    kBusy,          // another process has the file open
    kNewerVersion,  // written by a newer version of the program
    kCorrupt        // the file is not a store, or its contents cannot be read
  };
  StoreError(Kind kind, const std::string& what) : std::runtime_error(what), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

class Store {
 public:
  static constexpr int kVersion = 1;
  static constexpr std::size_t kMaxEntries = 10000;  // a change that exceeds this is refused completely

  // The failure that an applied change survives. kPowerCut: each change is on the disk when `apply` returns.
  // kProcessCrash: the operating system has it.
  enum class Durability { kProcessCrash, kPowerCut };

  // Opens a store for exclusive use by this process, or creates one. Throws StoreError. A corrupt file is
  // left as it is; call `set_aside` to make room for a new one.
  Store(const std::string& path, Durability durability);
  ~Store();
  Store(const Store&) = delete;

  // Renames a corrupt store to PATH.damaged, overwriting an earlier one. Returns false if that fails.
  static bool set_aside(const std::string& path);

  void apply(const Change& change);  // atomic: on an exception nothing is changed
  StoredList load() const;           // throws StoreError

 private:
  struct Database;
  std::unique_ptr<Database> db_;
};

}  // namespace mintrock::membership

#endif  // MINTROCK_SRC_MEMBERSHIP_STORE_HPP_
