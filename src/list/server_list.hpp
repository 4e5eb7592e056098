// The server list: parses and checks its updates, and keeps the known core servers under the ids that the
// controller uses.
//
// Pure: does no I/O and reads no clock. docs/edge-design.md describes the format of the text.
#ifndef MINTROCK_SRC_LIST_SERVER_LIST_HPP_
#define MINTROCK_SRC_LIST_SERVER_LIST_HPP_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "mintrock/controller.hpp"

namespace mintrock::list {

// One core server of the list.
struct Entry {
  std::string identity;  // Diameter identity (Origin-Host)
  std::string address;   // a.b.c.d:port
  std::uint32_t node = 0;
  std::uint32_t kind = 0;
  double weight = 1;
  ServerEntry::State state = ServerEntry::State::kReady;
  double started_at = 0;  // s since the Unix epoch; 0: long ago
};

// One event of the server list: the full list, or a delta.
struct Update {
  std::uint64_t revision = 0;
  bool full = true;
  std::vector<Entry> entries;
  std::vector<std::string> errors;  // one line for each omitted entry: its index and the error
};

// Converts a start time of the list to the monotonic clock; `now` and `wall` are the monotonic clock and the
// wall clock at the same instant. A start before the monotonic clock's origin, or at no known time, becomes
// 0, a start in the future becomes `now`.
double monotonic_start(double started_at, double now, double wall);

// Parses the JSON of one event. A malformed entry is omitted and reported in `errors`. Throws
// std::runtime_error if the text is not a list event at all.
Update parse_update(const std::string& json_text);
std::string print_update(const Update& update);

// The core servers known from the list. Each identity gets an id, which is never given to another one.
class ServerTable {
 public:
  // Merges the update. Returns false and ignores it if its revision is older than the known one.
  bool apply(const Update& update);
  // Converts the update into the controller's event. Start times are converted to the monotonic clock; `now`
  // and `wall` are the monotonic clock and the wall clock at the same instant.
  ServerList to_server_list(const Update& update, ServerList::Mode mode, double now, double wall);

  // An identity that becomes ready at a new address is another process. Marks its previous entry as gone and
  // returns those entries under their old ids; the identity gets a new id. Must be called before apply().
  ServerList retire_moved_servers(const Update& update);
  // Removes a server that is gone and no longer in use. Its id is not given again.
  void forget(ServerId server);
  // Adds a server that was forgotten again, as gone. Returns its new id.
  ServerId readmit(Entry entry);

  const std::map<ServerId, Entry>& entries() const { return entries_; }
  const Entry* find(ServerId server) const;
  ServerId id_of(const std::string& identity) const;  // 0: unknown
  std::uint64_t revision() const { return revision_; }
  // Returns all servers that are not gone, to be stored for the next start.
  Update snapshot() const;

 private:
  std::map<std::string, ServerId> ids_;
  std::map<ServerId, Entry> entries_;
  std::uint64_t revision_ = 0;
  ServerId last_id_ = 0;
};

}  // namespace mintrock::list

#endif  // MINTROCK_SRC_LIST_SERVER_LIST_HPP_
