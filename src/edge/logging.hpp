// Structured logs: one JSON object a line, through spdlog. Members: time, level, event, and what the event
// has (call, session, peer, detail).
#ifndef MINTROCK_SRC_EDGE_LOGGING_HPP_
#define MINTROCK_SRC_EDGE_LOGGING_HPP_

#include <spdlog/spdlog.h>

#include <initializer_list>
#include <string>
#include <utility>

namespace mintrock::edge {

// Sets the process's logger up: level of debug, info, warning, error; an empty file is standard error.
void init_logging(const std::string& level, const std::string& file);
// The same to standard error for a process that must never wait for whoever reads it: what is not taken at
// once is dropped, and so is what exceeds `lines_per_s`; how many lines, the next one tells.
void init_bounded_logging(const std::string& level, double lines_per_s);
void set_log_level(const std::string& level);

void log_event(spdlog::level::level_enum level, const char* event,
               std::initializer_list<std::pair<const char*, std::string>> members);

}  // namespace mintrock::edge

#endif  // MINTROCK_SRC_EDGE_LOGGING_HPP_
