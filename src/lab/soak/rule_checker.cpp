#include "lab/soak/rule_checker.hpp"

#include <algorithm>
#include <cstdio>
#include <limits>
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

RuleChecker::Call* RuleChecker::find(std::uint64_t call) {
  const auto found = calls_.find(call);
  return found == calls_.end() ? nullptr : &found->second;
}

void RuleChecker::write_trace(double now, std::uint64_t call, const char* event, const std::string& detail) {
  if (trace_ == nullptr) return;
  char head[64];
  std::snprintf(head, sizeof head, "%.4f %016llx ", now, static_cast<unsigned long long>(call));
  *trace_ << head << event << " " << detail << "\n";
}

void RuleChecker::add_violation(Rule rule, std::uint64_t call, std::string description, double now) {
  violations_.push_back({rule, now, call, std::move(description)});
}

void RuleChecker::setup_sent(std::uint64_t call, std::size_t edge, double deadline_s, double now) {
  write_trace(now, call, "taken", std::to_string(edge));
  Call& entry = calls_[call];
  entry.edge = edge;
  entry.answer_by = now + deadline_s + limits_.answer_grace + limits_.slack;
}

void RuleChecker::final_answer_received(std::uint64_t call, FinalAnswer answer,
                                        const std::string& description, double now) {
  write_trace(now, call, "answered", description);
  Call* const entry = find(call);
  if (entry == nullptr)
    return add_violation(Rule::kForged, call, "final answer for a call that no caller set up", now);
  if (entry->caller_left) return;  // the answer crossed the caller's release or close
  if (!entry->awaiting_answer) return add_violation(Rule::kDuplicate, call, "second final answer", now);
  entry->awaiting_answer = false;
  if (answer != FinalAnswer::kServed) {
    entry->servers.clear();  // its caller knows that no call is established
    return;
  }
  calls_served_ += 1;
  entry->served = true;
  const bool given_by_server =
      std::any_of(entry->servers.begin(), entry->servers.end(),
                  [&](const auto& each) { return each.second.description == description; });
  if (!given_by_server)
    add_violation(Rule::kForged, call, "served with an answer that no core server gave for it", now);
}

void RuleChecker::end_notified(std::uint64_t call, double now) {
  write_trace(now, call, "told over");
  Call* const entry = find(call);
  if (entry == nullptr || !entry->served) return;
  entry->served = false;
  entry->servers.clear();
  ends_notified_ += 1;
}

void RuleChecker::caller_left(std::uint64_t call, double now) {
  write_trace(now, call, "caller left");
  Call* const entry = find(call);
  if (entry == nullptr || entry->caller_left) return;
  entry->caller_left = true;
  entry->caller_left_at = now;
  entry->awaiting_answer = false;
  entry->served = false;
  entry->servers.clear();
}

void RuleChecker::closed_unanswered(std::uint64_t call, bool just_written, double now) {
  write_trace(now, call, just_written ? "closed, crossed" : "closed unanswered");
  Call* const entry = find(call);
  if (entry == nullptr || !entry->awaiting_answer) return;
  if (!just_written && !entry->orphaned) {
    add_violation(Rule::kLost, call, "connection closed without a final answer", now);
  }
  caller_left(call, now);
}

void RuleChecker::handed_over(std::uint64_t call, double now) {
  write_trace(now, call, "handed over");
  Call* const entry = find(call);
  if (entry == nullptr) return;
  entry->orphaned = false;
  for (auto& [server, server_call] : entry->servers) {
    if (server_call.ended) server_call.notify_by = now + limits_.end_notice_after_end + limits_.slack;
  }
}

void RuleChecker::edge_stopped(std::size_t edge, bool planned, double now) {
  write_trace(now, 0, planned ? "edge ended" : "edge killed", std::to_string(edge));
  for (auto& [id, entry] : calls_) {
    if (entry.edge != edge) continue;
    if (entry.awaiting_answer && planned)
      add_violation(Rule::kLost, id, "no final answer before its edge proxy stopped", now);
    if (entry.awaiting_answer) caller_left(id, now);
    entry.orphaned = true;
    entry.attempt_server.clear();
  }
}

void RuleChecker::server_unavailable(const std::string& server, double now) {
  unavailable_since_.emplace(server, now);
}

void RuleChecker::server_unavailable(const std::string& server, std::size_t edge, double published,
                                     double due) {
  notices_.emplace(std::make_pair(server, edge), Notice{published, due});
}

void RuleChecker::delay_reports(std::size_t edge, double due, double max_delay_s) {
  for (auto& [key, notice] : notices_) {
    if (key.second == edge) notice.due = std::max(notice.due, std::min(due, notice.published + max_delay_s));
  }
}

double RuleChecker::told_at(const std::string& server, std::size_t edge) const {
  double at = std::numeric_limits<double>::infinity();
  const auto unavailable = unavailable_since_.find(server);
  if (unavailable != unavailable_since_.end()) at = unavailable->second;
  const auto notice = notices_.find({server, edge});
  return notice == notices_.end() ? at : std::min(at, notice->second.due);
}

void RuleChecker::attempt_received(std::uint64_t call, const std::string& server, bool delayed, double now) {
  write_trace(now, call, delayed ? "attempt, delayed" : "attempt", server);
  Call* const entry = find(call);
  if (entry == nullptr) return add_violation(Rule::kForged, call, "set-up that no caller sent", now);
  if (!delayed && entry->caller_left && now > entry->caller_left_at + limits_.abandon_grace + limits_.slack) {
    add_violation(Rule::kCallerGone, call, "sent on to " + server, now);
  }
  if (!delayed && !entry->attempt_server.empty()) {
    add_violation(Rule::kDuplicate, call, "at " + server + " while in flight at " + entry->attempt_server,
                  now);
  }
  if (!delayed && now > told_at(server, entry->edge) + limits_.drain_grace + limits_.slack) {
    add_violation(Rule::kDrain, call, "sent to " + server, now);
  }
  entry->attempt_server = server;
}

void RuleChecker::attempt_ended(std::uint64_t call, const std::string& server, double now) {
  write_trace(now, call, "attempt over", server);
  Call* const entry = find(call);
  if (entry != nullptr && entry->attempt_server == server) entry->attempt_server.clear();
}

void RuleChecker::call_established(std::uint64_t call, const std::string& server,
                                   const std::string& description, double now) {
  write_trace(now, call, "stands", server);
  Call* const entry = find(call);
  if (entry == nullptr) return;
  ServerCall& server_call = entry->servers[server];
  server_call = {};
  server_call.description = description;
  server_call.established = true;
}

void RuleChecker::call_ended(std::uint64_t call, const std::string& server, double now) {
  write_trace(now, call, "over", server);
  attempt_ended(call, server, now);
  Call* const entry = find(call);
  if (entry == nullptr) return;
  const auto found = entry->servers.find(server);
  if (found == entry->servers.end() || !found->second.established || found->second.ended) return;
  found->second.ended = true;
  found->second.notify_by = now + limits_.end_notice_after_end + limits_.slack;
}

void RuleChecker::release_delivered(std::uint64_t call, const std::string& server, double now) {
  write_trace(now, call, "release passed", server);
  Call* const entry = find(call);
  if (entry == nullptr) return;
  const auto found = entry->servers.find(server);
  if (found == entry->servers.end() || !found->second.ended) return;
  ServerCall& server_call = found->second;
  server_call.notify_by =
      std::min(server_call.notify_by, now + limits_.end_notice_after_release + limits_.slack);
}

void RuleChecker::call_released(std::uint64_t call, const std::string& server, double now) {
  write_trace(now, call, "let go", server);
  attempt_ended(call, server, now);
  Call* const entry = find(call);
  if (entry == nullptr) return;
  const auto found = entry->servers.find(server);
  if (found != entry->servers.end() && !found->second.ended) found->second.established = false;
}

void RuleChecker::check(double now) {
  for (auto& [id, entry] : calls_) {
    if (entry.orphaned || entry.caller_left) continue;
    if (entry.awaiting_answer && now > entry.answer_by) {
      add_violation(Rule::kLost, id, "no final answer in time", now);
      entry.awaiting_answer = false;
    }
    if (!entry.served) continue;
    for (auto& [server, server_call] : entry.servers) {
      if (!server_call.ended || now <= server_call.notify_by) continue;
      add_violation(Rule::kLost, id, "ended at " + server + ", but its caller was not notified in time", now);
      server_call.ended = false;
    }
  }
}

bool RuleChecker::settled() const {
  return std::none_of(calls_.begin(), calls_.end(), [](const auto& each) {
    const Call& call = each.second;
    if (call.orphaned || call.caller_left) return false;
    return call.awaiting_answer ||
           (call.served && std::any_of(call.servers.begin(), call.servers.end(),
                                       [](const auto& at) { return at.second.ended; }));
  });
}

}  // namespace mintrock::lab::soak
