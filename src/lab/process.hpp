// Child processes, free ports and temporary folders for the programs that the lab starts.
#ifndef MINTROCK_SRC_LAB_PROCESS_HPP_
#define MINTROCK_SRC_LAB_PROCESS_HPP_

#include <sys/types.h>

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace mintrock::lab {

// Starts a program; the first element of `command` is its path. Throws std::runtime_error if fork fails.
pid_t spawn(const std::vector<std::string>& command);

// 127.0.0.1, in host order.
constexpr std::uint32_t kLoopback = 0x7F000001;

// Returns a loopback address, in host order, that is unique to the process: trials that run side by side
// never collide on a port, even as their listeners close and reopen.
std::uint32_t loopback_for_process(pid_t pid);

// Finds ports of a loopback address that have no listener, below the range that the system uses for outgoing
// connections. Never returns the same port twice.
class PortFinder {
 public:
  explicit PortFinder(std::uint32_t ip = kLoopback) : ip_(ip) {}
  std::uint16_t next();

 private:
  std::uint32_t ip_;
  std::mt19937 random_{std::random_device{}()};
  std::set<std::uint16_t> allocated_;
};

// Creates a new folder in the system's temporary directory; its name begins with `name`.
std::string make_temporary_folder(const std::string& name);

// Waits until the port of 127.0.0.1 accepts connections; throws std::runtime_error after 10 s.
void wait_for_port(std::uint16_t port);

// Child processes; the destructor kills and reaps those that still run.
class ChildProcesses {
 public:
  ~ChildProcesses();
  pid_t spawn(const std::vector<std::string>& command);
  void stop();  // sends SIGTERM and waits up to 15 s; the destructor kills what is left

 private:
  std::vector<pid_t> pids_;
};

}  // namespace mintrock::lab

#endif  // MINTROCK_SRC_LAB_PROCESS_HPP_
