// Structured logs: one JSON object per line, through spdlog. Members: time, level, event, and the event's own
// members (call, session, peer, detail).
#ifndef MINTROCK_SRC_EDGE_LOGGING_HPP_
#define MINTROCK_SRC_EDGE_LOGGING_HPP_

#include <spdlog/spdlog.h>

#include <initializer_list>
#include <string>
#include <utility>

namespace mintrock::edge {

// Sets up the process's logger. `level`: debug, info, warning or error. `file`: empty for standard error.
void init_logging(const std::string& level, const std::string& file);
// The same to standard error for a process that must never block on the reader of its log. A line is dropped
// if it can't be written at once or exceeds `lines_per_s`; the next line written reports how many were
// dropped.
void init_nonblocking_logging(const std::string& level, double lines_per_s);
void set_log_level(const std::string& level);

void log_event(spdlog::level::level_enum level, const char* event,
               std::initializer_list<std::pair<const char*, std::string>> members);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_LOGGING_HPP_
