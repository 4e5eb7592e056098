#include "lab/soak/edge_process.hpp"

#include <fcntl.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <utility>

namespace mintrock::lab::soak {
namespace {

std::string describe(const std::string& what, int error) { return what + ": " + std::strerror(error); }

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
  // The child tells over it why the program can't be run; running the program closes it.
  int failure[2];
  if (pipe2(failure, O_CLOEXEC) != 0) {
    const int error = errno;
    close(log);
    throw StartError(describe("pipe", error));
  }
  pid_ = fork();
  if (pid_ == 0) {
    run_program(log, failure[1]);
  }
  const int fork_error = errno;
  close(log);
  close(failure[1]);
  int exec_error = 0;
  const bool failed = pid_ > 0 && read(failure[0], &exec_error, sizeof exec_error) == sizeof exec_error;
  close(failure[0]);
  if (pid_ < 0) throw StartError(describe("fork", fork_error));
  if (!failed) return;
  waitpid(std::exchange(pid_, 0), nullptr, 0);
  throw StartError(describe(program_, exec_error));
}

void EdgeProcess::run_program(int log, int failure) const {
  if (dup2(log, STDERR_FILENO) >= 0) {
    setenv("LB_CONFIG", config_file_.c_str(), 1);
    execl(program_.c_str(), program_.c_str(), "--platform", nullptr);
  }
  const int error = errno;
  [[maybe_unused]] const ssize_t told = write(failure, &error, sizeof error);
  _exit(EXIT_FAILURE);
}

std::string EdgeProcess::last_words() const {
  std::ifstream log(log_file_);
  std::string last;
  for (std::string line; std::getline(log, line);) last = line;
  return last;
}

void EdgeProcess::signal(int which) const {
  if (pid_ > 0) kill(pid_, which);
}

std::optional<int> EdgeProcess::ended() {
  int status = 0;
  if (pid_ <= 0 || waitpid(pid_, &status, WNOHANG) != pid_) return std::nullopt;
  pid_ = 0;
  return status;
}

}  // namespace mintrock::lab::soak
