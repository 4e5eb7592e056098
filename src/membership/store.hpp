// The pool list as it is kept on disk for a start without it: every accepted change in one transaction, each
// row and the whole checked when it is read back.
//
// On SQLite (docs/membership.md weighs it against LMDB and a log of its own): a change is there whole or not
// at all, whenever the process dies. SQLite does not notice a flipped bit within a row; each row carries an
// XXH3 of what it says, and so does the list as a whole, so that a damaged row is left out by name and never
// believed. Calls block on the disk: they belong on a thread of their own, never on the loop.
#ifndef MINTROCK_SRC_MEMBERSHIP_STORE_HPP_
#define MINTROCK_SRC_MEMBERSHIP_STORE_HPP_

#include <cstdint>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include "membership/trust.hpp"

namespace mintrock::membership {

// One core server as it is kept. Times are seconds since the Unix epoch; 0: never, or long ago.
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
  double answered_share = 1;  // of this proxy's set-ups there lately; 0 to 1
  double delay_s = 0;         // of those that stood
  bool operator==(const StoredEntry& other) const;
};

// What one write brings.
struct Change {
  std::uint64_t revision = 0;  // of the list; 0: of this proxy's own doing
  double wall = 0;             // when, s since the Unix epoch
  double monotonic = 0;        // the same on the monotonic clock, of the boot that `boot` names
  std::string boot;            // names the machine's boot; empty: not known
  bool full = false;           // entries that are not named are removed
  std::vector<StoredEntry> entries;
  std::vector<std::string> removed;  // identities
};

struct StoredList {
  std::uint64_t revision = 0;
  double wall = 0;
  double monotonic = 0;
  std::string boot;
  std::vector<StoredEntry> entries;  // by identity
  std::vector<std::string> errors;   // damaged rows, one line each
  bool intact = true;                // nothing is missing and nothing was changed behind the store's back
};

class StoreError : public std::runtime_error {
 public:
  enum class Kind {
    kNoAccess,      // cannot be read or written, the disk is full or read-only
    kBusy,          // another process has it
    kNewerVersion,  // written by a later version of the program
    kCorrupt        // no store, or one that cannot be read
  };
  StoreError(Kind kind, const std::string& what) : std::runtime_error(what), kind_(kind) {}
  Kind kind() const { return kind_; }

 private:
  Kind kind_;
};

class Store {
 public:
  static constexpr int kVersion = 1;
  static constexpr std::size_t kMaxEntries = 10000;  // a change that would bring more is refused whole

  // kPowerCut: each change is on the disk when `apply` returns; kProcessCrash: in the system's hands.
  enum class Durability { kProcessCrash, kPowerCut };

  // Opens a store for this process alone, or makes one; throws StoreError. One that is damaged is left as it
  // is: `set_aside` makes room.
  Store(const std::string& path, Durability durability);
  ~Store();
  Store(const Store&) = delete;

  // Moves a damaged store to PATH.damaged (the one before it is lost); false if that can't be done.
  static bool set_aside(const std::string& path);

  void apply(const Change& change);  // whole, or throws StoreError and changes nothing
  StoredList load() const;           // throws StoreError

 private:
  struct Database;
  std::unique_ptr<Database> db_;
};

}  // namespace mintrock::membership

#endif  // MINTROCK_SRC_MEMBERSHIP_STORE_HPP_
