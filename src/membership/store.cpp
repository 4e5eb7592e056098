#include "membership/store.hpp"

#include <sqlite3.h>
#include <xxhash.h>

#include <cmath>
#include <cstdio>
#include <cstring>
#include <tuple>

namespace mintrock::membership {
namespace {

constexpr int kApplication = 0x4D744C73;  // marks the file as ours (PRAGMA application_id)

auto fields(const StoredEntry& e) {
  return std::tie(e.identity, e.address, e.node, e.kind, e.weight, e.state, e.started_at, e.first_confirmed,
                  e.last_confirmed, e.source, e.answered_share, e.delay_s);
}

// What is hashed: every field, lengths included, so that no two entries read alike.
void add(std::string& out, const std::string& text) { out += std::to_string(text.size()) + ":" + text; }
void add(std::string& out, double value) {
  char bytes[sizeof value];
  std::memcpy(bytes, &value, sizeof value);
  out.append(bytes, sizeof bytes);
}

// SQLite's integers are signed; the 64 bits are the same.
std::int64_t hash(const std::string& bytes) {
  return static_cast<std::int64_t>(XXH3_64bits(bytes.data(), bytes.size()));
}

std::int64_t hash_of(const StoredEntry& e) {
  std::string out;
  add(out, e.identity);
  add(out, e.address);
  for (const double each : {static_cast<double>(e.node), static_cast<double>(e.kind), e.weight,
                            static_cast<double>(e.state), e.started_at, e.first_confirmed, e.last_confirmed,
                            static_cast<double>(e.source), e.answered_share, e.delay_s}) {
    add(out, each);
  }
  return hash(out);
}

// The whole: its head, and the sum of its rows, so that a row more or less is noticed.
std::int64_t hash_of(const StoredList& all, std::uint64_t rows) {
  std::string out;
  add(out, std::to_string(all.revision));
  add(out, all.wall);
  add(out, all.monotonic);
  add(out, all.boot);
  add(out, std::to_string(rows));
  return hash(out);
}

bool sane(const StoredEntry& e) {
  bool good = !e.identity.empty() && e.identity.size() <= 255 && e.address.size() <= 255;
  for (const char c : e.identity) good = good && c > ' ' && c <= '~';
  for (const double each : {e.weight, e.started_at, e.first_confirmed, e.last_confirmed, e.delay_s}) {
    good = good && std::isfinite(each) && each >= 0;
  }
  return good && e.answered_share >= 0 && e.answered_share <= 1;
}

}  // namespace

bool StoredEntry::operator==(const StoredEntry& other) const { return fields(*this) == fields(other); }

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

// One prepared statement.
class Statement {
 public:
  Statement(sqlite3* db, const char* sql) { code_ = sqlite3_prepare_v2(db, sql, -1, &statement_, nullptr); }
  ~Statement() { sqlite3_finalize(statement_); }
  Statement(const Statement&) = delete;

  Statement& bind(const std::string& value) {
    return note(
        sqlite3_bind_text(statement_, ++at_, value.data(), static_cast<int>(value.size()), SQLITE_TRANSIENT));
  }
  Statement& bind(double value) { return note(sqlite3_bind_double(statement_, ++at_, value)); }
  Statement& bind(std::int64_t value) { return note(sqlite3_bind_int64(statement_, ++at_, value)); }
  // SQLITE_ROW, SQLITE_DONE, or what is wrong.
  int step() { return code_ != SQLITE_OK ? code_ : sqlite3_step(statement_); }
  void reset() {
    sqlite3_reset(statement_);
    at_ = 0;
  }
  std::string text(int column) const {
    const auto* bytes = reinterpret_cast<const char*>(sqlite3_column_text(statement_, column));
    return bytes == nullptr
               ? ""
               : std::string(bytes, static_cast<std::size_t>(sqlite3_column_bytes(statement_, column)));
  }
  double real(int column) const { return sqlite3_column_double(statement_, column); }
  std::int64_t whole(int column) const { return sqlite3_column_int64(statement_, column); }

 private:
  Statement& note(int code) {
    if (code_ == SQLITE_OK) code_ = code;
    return *this;
  }
  sqlite3_stmt* statement_ = nullptr;
  int code_ = SQLITE_OK;
  int at_ = 0;
};

}  // namespace

Store::Store(const std::string& path, Durability durability) : db_(std::make_unique<Database>()) {
  db_->path = path;
  const int code =
      sqlite3_open_v2(path.c_str(), &db_->handle, SQLITE_OPEN_READWRITE | SQLITE_OPEN_CREATE, nullptr);
  if (code != SQLITE_OK) db_->fail(code);
  sqlite3_extended_result_codes(db_->handle, 1);
  // Held from the first read to the end: two processes that keep one list would each undo the other's drains.
  db_->run("PRAGMA locking_mode = EXCLUSIVE; PRAGMA page_size = 1024; PRAGMA journal_mode = DELETE;");
  db_->run(durability == Durability::kPowerCut ? "PRAGMA synchronous = FULL" : "PRAGMA synchronous = OFF");
  db_->run("BEGIN EXCLUSIVE");
  const auto number = [&](const char* sql) {
    Statement s(db_->handle, sql);
    const int got = s.step();
    if (got != SQLITE_ROW) db_->fail(got);
    return s.whole(0);
  };
  const std::int64_t application = number("PRAGMA application_id");
  const std::int64_t version = number("PRAGMA user_version");
  const std::int64_t tables = number("SELECT count(*) FROM sqlite_master");
  if (tables == 0 && application == 0 && version == 0) {
    db_->run(
        "CREATE TABLE entry (identity TEXT PRIMARY KEY, address TEXT, node INTEGER, kind INTEGER, weight "
        "REAL,"
        " state INTEGER, started_at REAL, first_confirmed REAL, last_confirmed REAL, source INTEGER,"
        " answered_share REAL, delay_s REAL, hash INTEGER) WITHOUT ROWID;"
        "CREATE TABLE head (one INTEGER PRIMARY KEY CHECK (one = 1), revision INTEGER, wall REAL,"
        " monotonic REAL, boot TEXT, rows INTEGER, hash INTEGER);");
    db_->run(("PRAGMA application_id = " + std::to_string(kApplication)).c_str());
    db_->run(("PRAGMA user_version = " + std::to_string(kVersion)).c_str());
  } else if (application != kApplication) {
    throw StoreError(StoreError::Kind::kCorrupt, path + ": is no store of a list");
  } else if (version > kVersion) {
    throw StoreError(StoreError::Kind::kNewerVersion, path + ": is of version " + std::to_string(version) +
                                                          ", this program knows " + std::to_string(kVersion));
  } else if (version != kVersion) {
    throw StoreError(StoreError::Kind::kCorrupt, path + ": is of no known version");
  }
  db_->run("COMMIT");
}

Store::~Store() = default;

bool Store::set_aside(const std::string& path) {
  std::remove((path + "-journal").c_str());  // of the damaged one; it must not be played into the next
  return std::rename(path.c_str(), (path + ".damaged").c_str()) == 0;
}

void Store::apply(const Change& change) {
  for (const StoredEntry& e : change.entries) {
    if (!sane(e)) throw std::invalid_argument("an entry of the list is no sane one: " + e.identity);
  }
  db_->run("BEGIN IMMEDIATE");
  try {
    if (change.full) db_->run("DELETE FROM entry");
    const auto done = [&](Statement& s) {
      const int got = s.step();
      if (got != SQLITE_DONE) db_->fail(got);
      s.reset();
    };
    Statement remove(db_->handle, "DELETE FROM entry WHERE identity = ?");
    for (const std::string& each : change.removed) {
      remove.bind(each);
      done(remove);
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
      done(put);
    }
    Statement count(db_->handle, "SELECT count(*) FROM entry");
    const int got = count.step();
    if (got != SQLITE_ROW) db_->fail(got);
    const auto rows = static_cast<std::uint64_t>(count.whole(0));
    if (rows > kMaxEntries)
      throw std::length_error("the list has over " + std::to_string(kMaxEntries) + " entries");
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
    done(write);
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
    out.revision = static_cast<std::uint64_t>(head.whole(0));
    out.wall = head.real(1);
    out.monotonic = head.real(2);
    out.boot = head.text(3);
    rows = static_cast<std::uint64_t>(head.whole(4));
    if (head.whole(5) != hash_of(out, rows)) {
      out = {};
      out.intact = false;
      out.errors.emplace_back("the list's head is damaged: its age is not known");
    }
  } else if (got != SQLITE_DONE) {
    db_->fail(got);
  }
  Statement read(db_->handle, "SELECT * FROM entry ORDER BY identity");
  std::uint64_t seen = 0;
  while ((got = read.step()) == SQLITE_ROW) {
    seen += 1;
    StoredEntry e;
    e.identity = read.text(0);
    e.address = read.text(1);
    e.node = static_cast<std::uint32_t>(read.whole(2));
    e.kind = static_cast<std::uint32_t>(read.whole(3));
    e.weight = read.real(4);
    const std::int64_t state = read.whole(5);
    e.started_at = read.real(6);
    e.first_confirmed = read.real(7);
    e.last_confirmed = read.real(8);
    const std::int64_t source = read.whole(9);
    e.answered_share = read.real(10);
    e.delay_s = read.real(11);
    const bool known = state >= 0 && state <= 2 && source >= 0 && source <= 2;
    e.state = known ? static_cast<ServerEntry::State>(state) : ServerEntry::State::kGone;
    e.source = known ? static_cast<Source>(source) : Source::kList;
    if (!known || read.whole(12) != hash_of(e) || !sane(e)) {
      out.intact = false;
      out.errors.push_back("row " + std::to_string(seen) + " is damaged");
      continue;
    }
    out.entries.push_back(std::move(e));
    if (seen > kMaxEntries) break;
  }
  if (got != SQLITE_DONE && got != SQLITE_ROW) db_->fail(got);
  if (seen != rows) out.intact = false;
  return out;
}

}  // namespace mintrock::membership
