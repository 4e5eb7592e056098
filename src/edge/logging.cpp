#include "edge/logging.hpp"

#include <limits.h>
#include <poll.h>
#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <nlohmann/json.hpp>

namespace mintrock::edge {
namespace {

constexpr const char* kPattern = R"({"time":"%Y-%m-%dT%H:%M:%S.%f%z","level":"%l",%v})";

class NonblockingStderr : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
 public:
  explicit NonblockingStderr(double lines_per_s) : lines_per_s_(lines_per_s), tokens_(lines_per_s) {}

 private:
  void sink_it_(const spdlog::details::log_msg& msg) override {
    const auto now = std::chrono::steady_clock::now();
    tokens_ = std::min(lines_per_s_,
                       tokens_ + lines_per_s_ * std::chrono::duration<double>(now - last_refill_).count());
    last_refill_ = now;
    // Poll instead of setting O_NONBLOCK: the descriptor's flags are shared with other processes that hold
    // it.
    pollfd out{STDERR_FILENO, POLLOUT, 0};
    if (tokens_ < 1 || poll(&out, 1, 0) != 1 || (out.revents & POLLOUT) == 0) {
      dropped_ += 1;
      return;
    }
    tokens_ -= 1;
    spdlog::memory_buf_t line;
    formatter_->format(msg, line);
    std::string text(line.data(), line.size());
    if (dropped_ > 0) text += "{\"event\":\"log_dropped\",\"lines\":" + std::to_string(dropped_) + "}\n";
    dropped_ = 0;
    // A pipe that is ready for writing accepts PIPE_BUF (4 KiB) bytes at once; longer lines are cut to that.
    text.resize(std::min<std::size_t>(text.size(), PIPE_BUF));
    if (write(STDERR_FILENO, text.data(), text.size()) < 0) dropped_ = 1;
  }
  void flush_() override {}

  double lines_per_s_;
  double tokens_;
  std::uint64_t dropped_ = 0;
  std::chrono::steady_clock::time_point last_refill_ = std::chrono::steady_clock::now();
};

}  // namespace

void init_nonblocking_logging(const std::string& level, double lines_per_s) {
  auto logger =
      std::make_shared<spdlog::logger>("mintrock", std::make_shared<NonblockingStderr>(lines_per_s));
  logger->set_pattern(kPattern);
  spdlog::set_default_logger(std::move(logger));
  set_log_level(level);
}

void init_logging(const std::string& level, const std::string& file) {
  auto logger =
      file.empty() ? spdlog::stderr_logger_st("mintrock") : spdlog::basic_logger_st("mintrock", file);
  logger->set_pattern(kPattern);
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
  // Values from peers may be invalid UTF-8: invalid bytes are replaced.
  const std::string text = json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  spdlog::log(level, "{}", std::string_view(text).substr(1, text.size() - 2));
}

}  // namespace mintrock::edge
