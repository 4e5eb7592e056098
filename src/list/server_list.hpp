// The pool list: what it says of the core servers, read and checked, merged and kept under the numbers that
// the decisions use.
//
// Pure: text and times in, news out. docs/edge-design.md has the form of the text.
#ifndef MINTROCK_SRC_LIST_SERVER_LIST_HPP_
#define MINTROCK_SRC_LIST_SERVER_LIST_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::list {

// One core server as the list knows it.
struct Entry {
  std::string identity;  // Diameter identity (Origin-Host)
  std::string address;   // a.b.c.d:port
  std::uint32_t node = 0;
  std::uint32_t kind = 0;
  double weight = 1;
  ServerEntry::State state = ServerEntry::State::kReady;
  double started_at = 0;  // s since the Unix epoch; 0: long ago
};

struct Update {
  std::uint64_t revision = 0;
  bool full = true;
  std::vector<Entry> entries;
  std::vector<std::string> errors;  // entries that were left out, each one line: which, and what is wrong
};

// Reads one event's JSON. A broken entry is left out and named in `errors`, the rest stands; text that is no
// list at all throws std::runtime_error.
Update parse_update(const std::string& json);
std::string print_update(const Update& update);

// What this proxy knows of the list: one number for each identity, never given to another.
class ServerTable {
 public:
  // Merges update; false if its revision is older than what is known (it is then ignored).
  bool apply(const Update& update);
  // The same news for the decisions. `since` on the monotonic clock, from the wall clock at the same instant.
  ServerList to_server_list(const Update& update, ServerList::Mode mode, double now, double wall);

  // An identity that is told to serve at a new address is another process: what was known by it is gone,
  // under its old number. To be asked before apply(); tells which those are.
  ServerList retire_moved_servers(const Update& update);
  // One that is gone, and that nobody asks for any more. Its number is not given again.
  void forget(ServerId server);

  const std::map<ServerId, Entry>& entries() const { return entries_; }
  const Entry* find(ServerId server) const;
  ServerId id_of(const std::string& identity) const;  // 0: unknown
  std::uint64_t revision() const { return revision_; }
  // All that is known and not gone, for the file that a restart begins with.
  Update snapshot() const;

 private:
  std::map<std::string, ServerId> numbers_;
  std::map<ServerId, Entry> entries_;
  std::uint64_t revision_ = 0;
  ServerId last_ = 0;
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_SERVER_LIST_HPP_
