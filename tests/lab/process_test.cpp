// Isolation of lab processes that run side by side.
#include "lab/process.hpp"

#include <gtest/gtest.h>

#include <set>

namespace mintrock::lab {
namespace {

// Trials that ran side by side once took each other's ports, so that their proxies connected to the core
// servers of other trials.
TEST(LoopbackForProcess, IsUniquePerProcessAndDiffersFromTheCommonAddress) {
  constexpr std::uint32_t kNetwork = 0x7F000000;
  constexpr std::uint32_t kNetworkMask = 0xFF000000;
  constexpr pid_t kMaxPid = (1 << 22) - 1;
  std::set<std::uint32_t> addresses = {kLoopback};
  for (const pid_t pid : {1, 2, 255, 256, 257, 65535, 65536, 70000, 1 << 21, kMaxPid - 1, kMaxPid}) {
    const std::uint32_t ip = loopback_for_process(pid);
    EXPECT_EQ(ip & kNetworkMask, kNetwork);
    EXPECT_TRUE(addresses.insert(ip).second) << pid;
  }
}

}  // namespace
}  // namespace mintrock::lab
