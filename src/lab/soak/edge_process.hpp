// One real mintrock-edge process of a soak: started as the platform starts it, with the same name and address
// each time, and stopped by signals.
#ifndef MINTROCK_SRC_LAB_SOAK_EDGE_PROCESS_HPP_
#define MINTROCK_SRC_LAB_SOAK_EDGE_PROCESS_HPP_

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace mintrock::lab::soak {

// An edge proxy could not be started: the trial ends without a result, as there is nothing to check.
class StartError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class EdgeProcess {
 public:
  // Keeps the configuration and the log of the process in `dir`.
  EdgeProcess(std::string program, std::string dir, std::string name);
  ~EdgeProcess();
  EdgeProcess(const EdgeProcess&) = delete;
  EdgeProcess& operator=(const EdgeProcess&) = delete;

  // Throws StartError, which names the file, if it can't be written.
  void write_config(const std::string& text) const;
  // Throws StartError if the files can't be written, the process can't be created or the program can't be
  // executed.
  void start(const nlohmann::json& config);
  void signal(int number) const;
  bool running() const { return pid_ > 0; }
  pid_t pid() const { return pid_; }  // 0: not running
  // The last line of the log; empty if there is none.
  std::string last_log_line() const;
  // When the log has a line that contains `text` first, s since the Unix epoch; 0: never.
  double logged_at(const std::string& text) const;
  // The exit status, as waitpid gives it, once the process has ended; returned only once.
  std::optional<int> poll_exit();

 private:
  [[noreturn]] void exec_program(int log, int error_pipe) const;

  std::string program_;
  std::string config_file_;
  std::string log_file_;
  pid_t pid_ = 0;
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_EDGE_PROCESS_HPP_
