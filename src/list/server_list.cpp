#include "list/server_list.hpp"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <set>
#include <stdexcept>
#include <utility>

#include "list/json_fields.hpp"

namespace mintrock::list {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxEntries = 10000;

const char* name(ServerEntry::State state) {
  switch (state) {
    case ServerEntry::State::kReady:
      return "ready";
    case ServerEntry::State::kDraining:
      return "draining";
    case ServerEntry::State::kGone:
      return "gone";
  }
  return "?";
}

Entry parse_entry(const json& from) {
  if (!from.is_object()) throw std::runtime_error("not an object");
  Entry entry;
  constexpr std::size_t kMaxTextSize = 255;
  entry.identity = text_field(from, "identity", kMaxTextSize);
  const std::string state = text_field(from, "state", kMaxTextSize);
  if (state == "ready") {
    entry.state = ServerEntry::State::kReady;
  } else if (state == "draining") {
    entry.state = ServerEntry::State::kDraining;
  } else if (state == "gone") {
    entry.state = ServerEntry::State::kGone;
  } else {
    throw std::runtime_error("state '" + state.substr(0, 40) + "' is none of ready, draining, gone");
  }
  // A server that is gone needs no address.
  if (entry.state != ServerEntry::State::kGone) entry.address = text_field(from, "address", kMaxTextSize);
  const double node = number_field(from, "node", 0, 4294967295.0);
  const double kind = number_field(from, "kind", 0, 4294967295.0);
  if (node != std::floor(node) || kind != std::floor(kind))
    throw std::runtime_error("node or kind is not an integer");
  entry.node = static_cast<std::uint32_t>(node);
  entry.kind = static_cast<std::uint32_t>(kind);
  entry.weight = number_field(from, "weight", 1, 1e9);
  entry.started_at = number_field(from, "started_at", 0, 1e12);
  return entry;
}

}  // namespace

double monotonic_start(double started_at, double now, double wall) {
  if (started_at <= 0) return 0;
  return std::max(0.0, std::min(now, now - (wall - started_at)));
}

Update parse_update(const std::string& json_text) {
  const json parsed = json::parse(json_text, nullptr, false);
  if (!parsed.is_object()) throw std::runtime_error("the list event is not a JSON object");
  Update update;
  const auto revision = parsed.find("revision");
  if (revision == parsed.end() || !revision->is_number_unsigned()) {
    throw std::runtime_error("the list event has no valid revision");
  }
  update.revision = revision->get<std::uint64_t>();
  const std::string mode = parsed.value("mode", json("")).is_string() ? parsed.value("mode", "") : "";
  if (mode != "full" && mode != "delta")
    throw std::runtime_error("the mode of the list event is neither full nor delta");
  update.full = mode == "full";
  const auto entries = parsed.find("entries");
  if (entries == parsed.end() || !entries->is_array() || entries->size() > kMaxEntries) {
    throw std::runtime_error("the entries of the list event are missing or too many");
  }
  std::set<std::string> seen;
  for (std::size_t i = 0; i < entries->size(); ++i) {
    try {
      Entry entry = parse_entry((*entries)[i]);
      if (!seen.insert(entry.identity).second) throw std::runtime_error("duplicate identity");
      update.entries.push_back(std::move(entry));
    } catch (const std::exception& error) {
      update.errors.push_back("entry " + std::to_string(i) + ": " + error.what());
    }
  }
  return update;
}

std::string print_update(const Update& update) {
  json entries = json::array();
  for (const Entry& entry : update.entries) {
    entries.push_back({{"identity", entry.identity},
                       {"address", entry.address},
                       {"node", entry.node},
                       {"kind", entry.kind},
                       {"weight", entry.weight},
                       {"state", name(entry.state)},
                       {"started_at", entry.started_at}});
  }
  return json{{"revision", update.revision}, {"mode", update.full ? "full" : "delta"}, {"entries", entries}}
      .dump();
}

bool ServerTable::apply(const Update& update) {
  if (update.revision < revision_) return false;
  revision_ = update.revision;
  if (update.full) {
    for (auto& [id, entry] : entries_) entry.state = ServerEntry::State::kGone;
  }
  for (const Entry& entry : update.entries) {
    ServerId& id = ids_[entry.identity];
    if (id == 0) id = ++last_id_;
    const std::string address = entry.address.empty() ? entries_[id].address : entry.address;
    entries_[id] = entry;
    entries_[id].address = address;
  }
  return true;
}

ServerList ServerTable::to_server_list(const Update& update, ServerList::Mode mode, double now, double wall) {
  ServerList out;
  out.mode = mode;
  for (const Entry& entry : update.entries) {
    ServerEntry each;
    each.id = id_of(entry.identity);
    each.node = entry.node;
    each.kind = entry.kind;
    each.weight = entry.weight;
    each.state = entry.state;
    each.since = monotonic_start(entry.started_at, now, wall);
    out.entries.push_back(each);
  }
  return out;
}

void ServerTable::forget(ServerId server) {
  const auto found = entries_.find(server);
  if (found == entries_.end()) return;
  const auto id_entry = ids_.find(found->second.identity);
  if (id_entry != ids_.end() && id_entry->second == server) ids_.erase(id_entry);
  entries_.erase(found);
}

ServerId ServerTable::readmit(Entry entry) {
  const ServerId id = ++last_id_;
  entry.state = ServerEntry::State::kGone;
  ids_[entry.identity] = id;
  entries_[id] = std::move(entry);
  return id;
}

ServerList ServerTable::retire_moved_servers(const Update& update) {
  ServerList out;
  out.mode = ServerList::Mode::kDelta;
  if (update.revision < revision_) return out;
  for (const Entry& entry : update.entries) {
    const auto id_entry = ids_.find(entry.identity);
    if (id_entry == ids_.end() || entry.state != ServerEntry::State::kReady) continue;
    Entry& known = entries_[id_entry->second];
    if (known.address == entry.address) continue;
    known.state = ServerEntry::State::kGone;
    ServerEntry gone;
    gone.id = id_entry->second;
    gone.state = ServerEntry::State::kGone;
    out.entries.push_back(gone);
    ids_.erase(id_entry);
  }
  return out;
}

const Entry* ServerTable::find(ServerId server) const {
  const auto found = entries_.find(server);
  return found == entries_.end() ? nullptr : &found->second;
}

ServerId ServerTable::id_of(const std::string& identity) const {
  const auto found = ids_.find(identity);
  return found == ids_.end() ? 0 : found->second;
}

Update ServerTable::snapshot() const {
  Update update;
  update.revision = revision_;
  for (const auto& [id, entry] : entries_) {
    if (entry.state != ServerEntry::State::kGone) update.entries.push_back(entry);
  }
  return update;
}

}  // namespace mintrock::list
