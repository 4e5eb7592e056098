#include "lab/process.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <stdexcept>
#include <thread>

namespace mintrock::lab {
namespace {

sockaddr_in socket_address(std::uint32_t ip, std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(ip);
  address.sin_port = htons(port);
  return address;
}

}  // namespace

std::uint32_t loopback_for_process(pid_t pid) {
  constexpr std::uint32_t kUpperHalf = 0x7F800000;  // of 127.0.0.0/8; process ids have at most 22 bits
  return kUpperHalf | (static_cast<std::uint32_t>(pid) & 0x003FFFFF);
}

pid_t spawn(const std::vector<std::string>& command) {
  std::vector<char*> argv;
  for (const std::string& each : command) argv.push_back(const_cast<char*>(each.c_str()));
  argv.push_back(nullptr);
  const pid_t pid = fork();
  if (pid < 0) throw std::runtime_error("fork failed");
  if (pid == 0) {
    execv(argv[0], argv.data());
    std::perror(argv[0]);
    _exit(127);
  }
  return pid;
}

std::uint16_t PortFinder::next() {
  for (int i = 0; i < 1000; ++i) {
    const auto port = static_cast<std::uint16_t>(20000 + random_() % 12000);
    if (allocated_.count(port) != 0) continue;
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = socket_address(ip_, port);
    const int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const bool free = bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (!free) continue;
    allocated_.insert(port);
    return port;
  }
  throw std::runtime_error("no free port");
}

std::string make_temporary_folder(const std::string& name) {
  // mkdtemp requires a template that ends in six Xs, and replaces them.
  std::string path = (std::filesystem::temp_directory_path() / (name + "-")).string() + std::string(6, 'X');
  if (mkdtemp(path.data()) == nullptr) throw std::runtime_error("cannot create a temporary folder");
  return path;
}

void wait_for_port(std::uint16_t port) {
  for (int i = 0; i < 1000; ++i) {
    const int fd = socket(AF_INET, SOCK_STREAM, 0);
    const sockaddr_in address = socket_address(kLoopback, port);
    const bool connected = connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
    close(fd);
    if (connected) return;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  throw std::runtime_error("no listener on port " + std::to_string(port));
}

ChildProcesses::~ChildProcesses() {
  for (const pid_t pid : pids_) kill(pid, SIGKILL);
  for (const pid_t pid : pids_) waitpid(pid, nullptr, 0);
}

pid_t ChildProcesses::spawn(const std::vector<std::string>& command) {
  pids_.push_back(lab::spawn(command));
  return pids_.back();
}

void ChildProcesses::stop() {
  for (const pid_t pid : pids_) kill(pid, SIGTERM);
  for (int i = 0; i < 1500 && !pids_.empty(); ++i) {
    for (std::size_t k = pids_.size(); k-- > 0;) {
      if (waitpid(pids_[k], nullptr, WNOHANG) != 0)
        pids_.erase(pids_.begin() + static_cast<std::ptrdiff_t>(k));
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
}

}  // namespace mintrock::lab
