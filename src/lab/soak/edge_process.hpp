// One real mintrock-edge process of a soak: started as the platform starts it, under the same name and
// address each time, and told to end by signals.
#ifndef MINTROCK_SRC_LAB_SOAK_EDGE_PROCESS_HPP_
#define MINTROCK_SRC_LAB_SOAK_EDGE_PROCESS_HPP_

#include <sys/types.h>

#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <string>

namespace mintrock::lab::soak {

// A proxy could not be started: nothing that it was to be judged by has happened.
class StartError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

class EdgeProcess {
 public:
  // Its configuration and log lie in `dir`.
  EdgeProcess(std::string program, std::string dir, std::string name);
  ~EdgeProcess();
  EdgeProcess(const EdgeProcess&) = delete;
  EdgeProcess& operator=(const EdgeProcess&) = delete;

  // Throws StartError naming the file where it can't be written.
  void write_config(const std::string& text) const;
  // Throws StartError where its files can't be written, there can be no further process, or the program can't
  // be run.
  void start(const nlohmann::json& config);
  void signal(int which) const;
  bool running() const { return pid_ > 0; }
  // The last line of its log; empty where there is none.
  std::string last_words() const;
  // Its exit status, as waitpid gives it, once it has ended; told once.
  std::optional<int> ended();

 private:
  [[noreturn]] void run_program(int log, int failure) const;

  std::string program_;
  std::string config_file_;
  std::string log_file_;
  pid_t pid_ = 0;
};

}  // namespace mintrock::lab::soak

#endif  // MINTROCK_SRC_LAB_SOAK_EDGE_PROCESS_HPP_
