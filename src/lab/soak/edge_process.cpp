#include "lab/soak/edge_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fstream>
#include <utility>

namespace mintrock::lab::soak {
namespace {

std::string describe(const std::string& subject, int error) { return subject + ": " + std::strerror(error); }

}  // namespace

EdgeProcess::EdgeProcess(std::string program, std::string dir, std::string name)
    : program_(std::move(program)),
      config_file_(dir + "/" + name + ".json"),
      log_file_(dir + "/" + name + ".log") {}

EdgeProcess::~EdgeProcess() {
  if (pid_ <= 0) return;
  kill(pid_, SIGKILL);
  waitpid(pid_, nullptr, 0);
}

void EdgeProcess::write_config(const std::string& text) const {
  std::ofstream file(config_file_, std::ios::trunc);
  file << text << std::flush;
  if (!file) throw StartError(describe(config_file_, errno));
}

void EdgeProcess::start(const nlohmann::json& config) {
  write_config(config.dump());
  const int log = open(log_file_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  if (log < 0) throw StartError(describe(log_file_, errno));
  // The child writes errno to this pipe if exec fails; a successful exec closes it (O_CLOEXEC).
  int error_pipe[2];
  if (pipe2(error_pipe, O_CLOEXEC) != 0) {
    const int error = errno;
    close(log);
    throw StartError(describe("pipe", error));
  }
  pid_ = fork();
  if (pid_ == 0) {
    exec_program(log, error_pipe[1]);
  }
  const int fork_error = errno;
  close(log);
  close(error_pipe[1]);
  int exec_error = 0;
  const bool exec_failed =
      pid_ > 0 && read(error_pipe[0], &exec_error, sizeof exec_error) == sizeof exec_error;
  close(error_pipe[0]);
  if (pid_ < 0) throw StartError(describe("fork", fork_error));
  if (!exec_failed) return;
  waitpid(std::exchange(pid_, 0), nullptr, 0);
  throw StartError(describe(program_, exec_error));
}

void EdgeProcess::exec_program(int log, int error_pipe) const {
  if (dup2(log, STDERR_FILENO) >= 0) {
    setenv("LB_CONFIG", config_file_.c_str(), 1);
    execl(program_.c_str(), program_.c_str(), "--platform", nullptr);
  }
  const int error = errno;
  [[maybe_unused]] const ssize_t written = write(error_pipe, &error, sizeof error);
  _exit(EXIT_FAILURE);
}

std::string EdgeProcess::last_log_line() const {
  std::ifstream log(log_file_);
  std::string last_line;
  for (std::string line; std::getline(log, line);) last_line = line;
  return last_line;
}

double EdgeProcess::logged_at(const std::string& text) const {
  std::ifstream log(log_file_);
  for (std::string line; std::getline(log, line);) {
    if (line.find(text) == std::string::npos) continue;
    const std::string kTime = "\"time\":\"";
    std::tm time{};
    const std::size_t at = line.find(kTime);
    if (at == std::string::npos) return 0;
    const char* const fraction = strptime(line.c_str() + at + kTime.size(), "%Y-%m-%dT%H:%M:%S", &time);
    if (fraction == nullptr) return 0;
    return static_cast<double>(timegm(&time)) + std::strtod(fraction, nullptr);
  }
  return 0;
}

void EdgeProcess::signal(int number) const {
  if (pid_ > 0) kill(pid_, number);
}

std::optional<int> EdgeProcess::poll_exit() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = 0;
  return status;
}

}  // namespace mintrock::lab::soak
