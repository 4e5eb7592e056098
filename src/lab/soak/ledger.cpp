#include "lab/soak/ledger.hpp"

#include <algorithm>
#include <cstdio>
#include <utility>

namespace mintrock::lab::soak {

const char* name(Rule rule) {
  switch (rule) {
    case Rule::kLost:
      return "lost";
    case Rule::kDuplicate:
      return "duplicate";
    case Rule::kForged:
      return "forged";
    case Rule::kDrain:
      return "drain";
    case Rule::kCallerGone:
      return "caller gone";
  }
  return "";
}

Ledger::Call* Ledger::find(std::uint64_t call) {
  const auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : &found->second;
}

void Ledger::record(double now, std::uint64_t call, const char* what, const std::string& detail) {
  if (trace_ == nullptr) return;
  char head[64];
  std::snprintf(head, sizeof head, "%.4f %016llx ", now, static_cast<unsigned long long>(call));
  *trace_ << head << what << " " << detail << "\n";
}

void Ledger::report(Rule rule, std::uint64_t call, std::string what, double now) {
  violations_.push_back({rule, now, call, std::move(what)});
}

void Ledger::taken(std::uint64_t call, std::size_t edge, double waits_s, double now) {
  record(now, call, "taken", std::to_string(edge));
  Call& record = calls_[call];
  record.edge = edge;
  record.due = now + waits_s + limits_.late_answer + limits_.slack;
}

void Ledger::answered(std::uint64_t call, FinalAnswer answer, const std::string& description, double now) {
  record(now, call, "answered", description);
  Call* const record = find(call);
  if (record == nullptr) return report(Rule::kForged, call, "an answer to nothing", now);
  if (record->left) return;  // it crossed the caller's leaving
  if (!record->open) return report(Rule::kDuplicate, call, "a second final answer", now);
  record->open = false;
  if (answer != FinalAnswer::kServed) {
    record->servers.clear();  // its caller knows that it does not stand
    return;
  }
  served_ += 1;
  record->served = true;
  const bool made = std::any_of(record->servers.begin(), record->servers.end(),
                                [&](const auto& each) { return each.second.description == description; });
  if (!made) report(Rule::kForged, call, "served with what no core server made for it", now);
}

void Ledger::told_over(std::uint64_t call, double now) {
  record(now, call, "told over");
  Call* const record = find(call);
  if (record == nullptr || !record->served) return;
  record->served = false;
  record->servers.clear();
  ended_ += 1;
}

void Ledger::caller_left(std::uint64_t call, double now) {
  record(now, call, "caller left");
  Call* const record = find(call);
  if (record == nullptr || record->left) return;
  record->left = true;
  record->left_at = now;
  record->open = false;
  record->served = false;
  record->servers.clear();
}

void Ledger::closed_unanswered(std::uint64_t call, bool crossed, double now) {
  record(now, call, crossed ? "closed, crossed" : "closed unanswered");
  Call* const record = find(call);
  if (record == nullptr || !record->open) return;
  if (!crossed && !record->orphaned) {
    report(Rule::kLost, call, "its connection was ended with no answer", now);
  }
  caller_left(call, now);
}

void Ledger::handed_over(std::uint64_t call, double now) {
  record(now, call, "handed over");
  Call* const record = find(call);
  if (record == nullptr) return;
  record->orphaned = false;
  for (auto& [server, standing] : record->servers) {
    if (standing.over) standing.due = now + limits_.told_after_end + limits_.slack;
  }
}

void Ledger::edge_stopped(std::size_t edge, bool planned, double now) {
  record(now, 0, planned ? "edge ended" : "edge killed", std::to_string(edge));
  for (auto& [id, record] : calls_) {
    if (record.edge != edge) continue;
    if (record.open && planned) report(Rule::kLost, id, "unanswered when its edge proxy stopped", now);
    if (record.open) caller_left(id, now);
    record.orphaned = true;
    record.out_at.clear();
  }
}

void Ledger::told_unavailable(const std::string& server, double now) { unavailable_.emplace(server, now); }

void Ledger::attempt(std::uint64_t call, const std::string& server, bool delayed, double now) {
  record(now, call, delayed ? "attempt, delayed" : "attempt", server);
  Call* const record = find(call);
  if (record == nullptr) return report(Rule::kForged, call, "a set-up that no caller sent", now);
  if (!delayed && record->left && now > record->left_at + limits_.caller_gone + limits_.slack) {
    report(Rule::kCallerGone, call, "sent on to " + server, now);
  }
  if (!delayed && !record->out_at.empty()) {
    report(Rule::kDuplicate, call, "at " + server + " while out at " + record->out_at, now);
  }
  const auto told = unavailable_.find(server);
  if (!delayed && told != unavailable_.end() && now > told->second + limits_.drain + limits_.slack) {
    report(Rule::kDrain, call, "sent to " + server, now);
  }
  record->out_at = server;
}

void Ledger::attempt_over(std::uint64_t call, const std::string& server, double now) {
  record(now, call, "attempt over", server);
  Call* const record = find(call);
  if (record != nullptr && record->out_at == server) record->out_at.clear();
}

void Ledger::stands(std::uint64_t call, const std::string& server, const std::string& description,
                    double now) {
  record(now, call, "stands", server);
  Call* const record = find(call);
  if (record == nullptr) return;
  Standing& standing = record->servers[server];
  standing = {};
  standing.description = description;
  standing.up = true;
}

void Ledger::over(std::uint64_t call, const std::string& server, double now) {
  record(now, call, "over", server);
  attempt_over(call, server, now);
  Call* const record = find(call);
  if (record == nullptr) return;
  const auto found = record->servers.find(server);
  if (found == record->servers.end() || !found->second.up || found->second.over) return;
  found->second.over = true;
  found->second.due = now + limits_.told_after_end + limits_.slack;
}

void Ledger::release_passed(std::uint64_t call, const std::string& server, double now) {
  record(now, call, "release passed", server);
  Call* const record = find(call);
  if (record == nullptr) return;
  const auto found = record->servers.find(server);
  if (found == record->servers.end() || !found->second.over) return;
  Standing& standing = found->second;
  standing.due = std::min(standing.due, now + limits_.told_after_release + limits_.slack);
}

void Ledger::let_go(std::uint64_t call, const std::string& server, double now) {
  record(now, call, "let go", server);
  attempt_over(call, server, now);
  Call* const record = find(call);
  if (record == nullptr) return;
  const auto found = record->servers.find(server);
  if (found != record->servers.end() && !found->second.over) found->second.up = false;
}

void Ledger::judge(double now) {
  for (auto& [id, record] : calls_) {
    if (record.orphaned || record.left) continue;
    if (record.open && now > record.due) {
      report(Rule::kLost, id, "no final answer in its time", now);
      record.open = false;
    }
    if (!record.served) continue;
    for (auto& [server, standing] : record.servers) {
      if (!standing.over || now <= standing.due) continue;
      report(Rule::kLost, id, "over at " + server + ", and its caller was not told in time", now);
      standing.over = false;
    }
  }
}

bool Ledger::settled() const {
  return std::none_of(calls_.begin(), calls_.end(), [](const auto& each) {
    const Call& call = each.second;
    if (call.orphaned || call.left) return false;
    return call.open || (call.served && std::any_of(call.servers.begin(), call.servers.end(),
                                                    [](const auto& at) { return at.second.over; }));
  });
}

}  // namespace mintrock::lab::soak
