// Child processes and free ports, for what the lab starts.
#ifndef MINTROCK_SRC_LAB_PROCESS_HPP_
#define MINTROCK_SRC_LAB_PROCESS_HPP_

#include <sys/types.h>

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mintrock::lab {

// Starts a program; throws std::runtime_error if there can be no further process.
pid_t spawn(const std::vector<std::string>& words);

// Ports of the loopback address that nobody listens on, below those that the system gives to outgoing
// connections. None is handed out twice.
class PortFinder {
 public:
  std::uint16_t next();

 private:
  std::mt19937 random_{std::random_device{}()};
  std::set<std::uint16_t> given_;
};

// A new folder of its own under the system's temporary one, its name beginning so.
std::string make_temporary_folder(const std::string& name);

// Returns once somebody listens there; throws std::runtime_error after 10 s.
void wait_for_port(std::uint16_t port);

// Processes that end with their owner, at the latest.
class Children {
 public:
  ~Children();
  pid_t spawn(const std::vector<std::string>& words);
  void stop();  // SIGTERM, then SIGKILL after 15 s

 private:
  std::vector<pid_t> pids_;
};

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_PROCESS_HPP_
