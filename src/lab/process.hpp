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

// 127.0.0.1, in host order.
constexpr std::uint32_t kLoopback = 0x7F000001;

// A loopback address that no other process gets, in host order: trials side by side never meet on a port,
// though their listeners come and go.
std::uint32_t loopback_for_process(pid_t process);

// Ports of a loopback address that nobody listens on, below those that the system gives to outgoing
// connections. None is handed out twice.
class PortFinder {
 public:
  explicit PortFinder(std::uint32_t ip = kLoopback) : ip_(ip) {}
  std::uint16_t next();

 private:
  std::uint32_t ip_;
  std::mt19937 random_{std::random_device{}()};
  std::set<std::uint16_t> given_;
};

// A new folder of its own under the system's temporary one, its name beginning so.
std::string make_temporary_folder(const std::string& name);

// Returns once somebody listens there; throws std::runtime_error after 10 s.
void wait_for_port(std::uint16_t port);

// Processes that end with their owner, at the latest.
class ChildProcesses {
 public:
  ~ChildProcesses();
  pid_t spawn(const std::vector<std::string>& words);
  void stop();  // SIGTERM, then SIGKILL after 15 s

 private:
  std::vector<pid_t> pids_;
};

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_PROCESS_HPP_
