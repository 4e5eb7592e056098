#include "edge/logging.hpp"

#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <nlohmann/json.hpp>

namespace mintrock::edge {

void init_logging(const std::string& level, const std::string& file) {
  auto logger =
      file.empty() ? spdlog::stderr_logger_st("mintrock") : spdlog::basic_logger_st("mintrock", file);
  logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l",%v})");
  logger->flush_on(spdlog::level::info);
  spdlog::set_default_logger(std::move(logger));
  set_log_level(level);
}

void set_log_level(const std::string& level) { spdlog::set_level(spdlog::level::from_str(level)); }

void log_event(spdlog::level::level_enum level, const char* event,
               std::initializer_list<std::pair<const char*, std::string>> members) {
  if (!spdlog::should_log(level)) return;
  nlohmann::ordered_json json{{"event", event}};
  for (const auto& [key, value] : members) {
    if (!value.empty()) json[key] = value;
  }
  // Bytes from outside may be no UTF-8; they are shown as far as they can be.
  const std::string text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  spdlog::log(level, "{}", std::string_view(text).substr(1, text.size() - 2));
}

}  // namespace mintrock::edge
