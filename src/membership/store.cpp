#include "membership/store.hpp"

#include <sqlite3.h>
#include <xxhash.h>

#include <cmath>
#include <cstdio>
#include <cstring>
#include <tuple>

namespace mintrock::membership {
namespace {

constexpr int kApplicationId = 0x4D744C73;  // identifies the file as a store (PRAGMA application_id)

auto as_tuple(const StoredEntry& e) {
  return std::tie(e.identity, e.address, e.node, e.kind, e.weight, e.state, e.started_at, e.first_confirmed,
                  e.last_confirmed, e.source, e.answered_share, e.delay_s);
}

// Appends a field to the bytes that are hashed. Texts carry their length, so that no two different entries
// give the same bytes.
void append(std::string& out, const std::string& text) { out += std::to_string(text.size()) + ":" + text; }
void append(std::string& out, double value) {
  char bytes[sizeof value];
  std::memcpy(bytes, &value, sizeof value);
  out.append(bytes, sizeof bytes);
}

// Returns the 64 bits of the hash as a signed integer, as SQLite stores it.
std::int64_t hash(const std::string& bytes) {
  return static_cast<std::int64_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

std::int64_t hash_of(const StoredEntry& e) {
  std::string out;
  append(out, e.identity);
  append(out, e.address);
  for (const double each : {static_cast<double>(e.node), static_cast<double>(e.kind), e.weight,
                            static_cast<double>(e.state), e.started_at, e.first_confirmed, e.last_confirmed,
                            static_cast<double>(e.source), e.answered_share, e.delay_s}) {
    append(out, each);
  }
  return hash(out);
}

// Hash of the list's head and the number of rows, which detects a missing or additional row.
std::int64_t hash_of(const StoredList& all, std::uint64_t rows) {
  std::string out;
  append(out, std::to_string(all.revision));
  append(out, all.wall);
  append(out, all.monotonic);
  append(out, all.boot);
  append(out, std::to_string(rows));
  return hash(out);
}

bool is_valid(const StoredEntry& e) {
  bool valid = !e.identity.empty() && e.identity.size() <= 255 && e.address.size() <= 255;
  for (const char c : e.identity) valid = valid && c > ' ' && c <= '~';
  for (const double each : {e.weight, e.started_at, e.first_confirmed, e.last_confirmed, e.delay_s}) {
    valid = valid && std::isfinite(each) && each >= 0;
  }
  return valid && e.answered_share >= 0 && e.answered_share <= 1;
}

}  // namespace

bool StoredEntry::operator==(const StoredEntry& other) const { return as_tuple(*this) == as_tuple(other); }

struct Store::Database {
  sqlite3* handle = nullptr;
  std::string path;
  ~Database() { sqlite3_close(handle); }

  [[noreturn]] void fail(int code) const {
    using Kind = StoreError::Kind;
    const int primary = code & 0xFF;
    const Kind kind = primary == SQLITE_BUSY || primary == SQLITE_LOCKED           ? Kind::kBusy
                      : primary == SQLITE_CORRUPT || primary == SQLITE_NOTADB      ? Kind::kCorrupt
                      : primary == SQLITE_SCHEMA || primary == SQLITE_ERROR        ? Kind::kCorrupt
                      : primary == SQLITE_CONSTRAINT || primary == SQLITE_MISMATCH ? Kind::kCorrupt
                                                                                   : Kind::kNoAccess;
    throw StoreError(kind, path + ": " + (handle != nullptr ? sqlite3_errmsg(handle) : sqlite3_errstr(code)));
  }
  void run(const char* sql) const {
    const int code = sqlite3_exec(handle, sql, nullptr, nullptr, nullptr);
    if (code != SQLITE_OK) fail(code);
  }
};

namespace {

// A prepared statement. The first error is kept and returned by step().
class Statement {
 public:
  Statement(sqlite3* db, const char* sql) { code_ = sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr); }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;

  Statement& bind(const std::string& value) {
    return keep_first_error(sqlite3_bind_text(statement_, ++parameter_, value.data(),
                                              static_cast<int>(value.size()), SQLITE_TRANSIENT));
  }
  Statement& bind(double value) {
    return keep_first_error(sqlite3_bind_double(statement_, ++parameter_, value));
  }
  Statement& bind(std::int64_t value) {
    return keep_first_error(sqlite3_bind_int64(statement_, ++parameter_, value));
  }
  // Returns SQLITE_ROW, SQLITE_DONE or an error code.
  int step() { return code_ != SQLITE_OK ? code_ : sqlite3_step(statement_); }
  void reset() {
    sqlite3_reset(statement_);
    parameter_ = 0;
  }
  std::string text(int column) const {
    const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
    return bytes == nullptr
               ? ""
               : std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
  }
  double real(int column) const { return sqlite3_column_double(statement_, column); }
  std::int64_t integer(int column) const { return sqlite3_column_int64(statement_, column); }

 private:
  Statement& keep_first_error(int code) {
    if (code_ == SQLITE_OK) code_ = code;
    return *this;
  }
  sqlite3_stmt* statement_ = nullptr;
  int code_ = SQLITE_OK;
  int parameter_ = 0;
};

}  // namespace

Store::Store(const std::string& path, Durability durability) : db_(std::make_unique<Database>()) {
  db_->path = path;
  const int code =
      sqlite3_open_v2(path.c_str(), &db_->handle, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
  if (code != SQLITE_OK) db_->fail(code);
  sqlite3_extended_result_codes(db_->handle, 1);
  // The lock is held from the first read until the store is closed. Two processes that wrote one list would
  // each undo the other's drains.
  db_->run("PRAGMA locking_mode = EXCLUSIVE; PRAGMA page_size = 1024; PRAGMA journal_mode = DELETE;");
  db_->run(durability == Durability::kPowerCut ? "PRAGMA synchronous = FULL" : "PRAGMA synchronous = OFF");
  db_->run("BEGIN EXCLUSIVE");
  const auto query_integer = [&](const char* sql) {
    Statement s(db_->handle, sql);
    const int got = s.step();
    if (got != SQLITE_ROW) db_->fail(got);
    return s.integer(0);
  };
  const std::int64_t application_id = query_integer("PRAGMA application_id");
  const std::int64_t version = query_integer("PRAGMA user_version");
  const std::int64_t tables = query_integer("SELECT count(*) FROM sqlite_master");
  if (tables == 0 && application_id == 0 && version == 0) {
    db_->run(
        "CREATE TABLE entry (identity TEXT PRIMARY KEY, address TEXT, node INTEGER, kind INTEGER, weight "
        "REAL,"
        " state INTEGER, started_at REAL, first_confirmed REAL, last_confirmed REAL, source INTEGER,"
        " answered_share REAL, delay_s REAL, hash INTEGER) WITHOUT ROWID;"
        "CREATE TABLE head (one INTEGER PRIMARY KEY CHECK (one = 1), revision INTEGER, wall REAL,"
        " monotonic REAL, boot TEXT, rows INTEGER, hash INTEGER);");
    db_->run(("PRAGMA application_id = " + std::to_string(kApplicationId)).c_str());
    db_->run(("PRAGMA user_version = " + std::to_string(kVersion)).c_str());
  } else if (application_id != kApplicationId) {
    throw StoreError(StoreError::Kind::kCorrupt, path + ": is not a server list store");
  } else if (version > kVersion) {
    throw StoreError(StoreError::Kind::kNewerVersion, path + ": has version " + std::to_string(version) +
                                                          ", this program supports up to " +
                                                          std::to_string(kVersion));
  } else if (version != kVersion) {
    throw StoreError(StoreError::Kind::kCorrupt, path + ": has an unknown version");
  }
  db_->run("COMMIT");
}

Store::~Store() = default;

bool Store::set_aside(const std::string& path) {
  std::remove(
      (path + "-journal").c_str());  // of the corrupt file; SQLite must not replay it into the next one
  return std::rename(path.c_str(), (path + ".damaged").c_str()) == 0;
}

void Store::apply(const Change& change) {
  for (const StoredEntry& e : change.entries) {
    if (!is_valid(e)) throw std::invalid_argument("invalid list entry: " + e.identity);
  }
  db_->run("BEGIN IMMEDIATE");
  try {
    if (change.full) db_->run("DELETE FROM entry");
    const auto execute = [&](Statement& s) {
      const int got = s.step();
      if (got != SQLITE_DONE) db_->fail(got);
      s.reset();
    };
    Statement remove(db_->handle, "DELETE FROM entry WHERE identity = ?");
    for (const std::string& each : change.removed) {
      remove.bind(each);
      execute(remove);
    }
    Statement put(db_->handle, "INSERT OR REPLACE INTO entry VALUES (?,?,?,?,?,?,?,?,?,?,?,?,?)");
    for (const StoredEntry& e : change.entries) {
      put.bind(e.identity)
          .bind(e.address)
          .bind(static_cast<std::int64_t>(e.node))
          .bind(static_cast<std::int64_t>(e.kind))
          .bind(e.weight)
          .bind(static_cast<std::int64_t>(e.state))
          .bind(e.started_at)
          .bind(e.first_confirmed)
          .bind(e.last_confirmed)
          .bind(static_cast<std::int64_t>(e.source))
          .bind(e.answered_share)
          .bind(e.delay_s)
          .bind(hash_of(e));
      execute(put);
    }
    Statement count(db_->handle, "SELECT count(*) FROM entry");
    const int got = count.step();
    if (got != SQLITE_ROW) db_->fail(got);
    const auto rows = static_cast<std::uint64_t>(count.integer(0));
    if (rows > kMaxEntries)
      throw std::length_error("the list has more than " + std::to_string(kMaxEntries) + " entries");
    count.reset();
    StoredList head;
    head.revision = change.revision;
    head.wall = change.wall;
    head.monotonic = change.monotonic;
    head.boot = change.boot;
    Statement write(db_->handle, "INSERT OR REPLACE INTO head VALUES (1,?,?,?,?,?,?)");
    write.bind(static_cast<std::int64_t>(change.revision))
        .bind(change.wall)
        .bind(change.monotonic)
        .bind(change.boot)
        .bind(static_cast<std::int64_t>(rows))
        .bind(hash_of(head, rows));
    execute(write);
    db_->run("COMMIT");
  } catch (...) {
    sqlite3_exec(db_->handle, "ROLLBACK", nullptr, nullptr, nullptr);
    throw;
  }
}

StoredList Store::load() const {
  StoredList out;
  std::uint64_t rows = 0;
  Statement head(db_->handle, "SELECT revision, wall, monotonic, boot, rows, hash FROM head");
  int got = head.step();
  if (got == SQLITE_ROW) {
    out.revision = static_cast<std::uint64_t>(head.integer(0));
    out.wall = head.real(1);
    out.monotonic = head.real(2);
    out.boot = head.text(3);
    rows = static_cast<std::uint64_t>(head.integer(4));
    if (head.integer(5) != hash_of(out, rows)) {
      out = {};
      out.intact = false;
      out.errors.emplace_back("the head of the list is corrupt, its age is unknown");
    }
  } else if (got != SQLITE_DONE) {
    db_->fail(got);
  }
  Statement read(db_->handle, "SELECT * FROM entry ORDER BY identity");
  std::uint64_t rows_read = 0;
  while ((got = read.step()) == SQLITE_ROW) {
    rows_read += 1;
    StoredEntry e;
    e.identity = read.text(0);
    e.address = read.text(1);
    e.node = static_cast<std::uint32_t>(read.integer(2));
    e.kind = static_cast<std::uint32_t>(read.integer(3));
    e.weight = read.real(4);
    const std::int64_t state = read.integer(5);
    e.started_at = read.real(6);
    e.first_confirmed = read.real(7);
    e.last_confirmed = read.real(8);
    const std::int64_t source = read.integer(9);
    e.answered_share = read.real(10);
    e.delay_s = read.real(11);
    const bool valid_enums = state >= 0 && state <= 2 && source >= 0 && source <= 2;
    e.state = valid_enums ? static_cast<ServerEntry::State>(state) : ServerEntry::State::kGone;
    e.source = valid_enums ? static_cast<Source>(source) : Source::kList;
    if (!valid_enums || read.integer(12) != hash_of(e) || !is_valid(e)) {
      out.intact = false;
      out.errors.push_back("row " + std::to_string(rows_read) + " is corrupt");
      continue;
    }
    out.entries.push_back(std::move(e));
    if (rows_read > kMaxEntries) break;
  }
  if (got != SQLITE_DONE && got != SQLITE_ROW) db_->fail(got);
  if (rows_read != rows) out.intact = false;
  return out;
}

}  // namespace mintrock::membership
