// Processes of the lab beside each other.
#include "lab/process.hpp"

#include <gtest/gtest.h>

#include <set>

namespace mintrock::lab {
namespace {

// Trials side by side took each other's ports: their proxies reached core servers of other trials.
TEST(LoopbackOfProcess, EachProcessHasItsOwnBesideTheCommonOne) {
  constexpr std::uint32_t kNetwork = 0x7F000000;
  constexpr std::uint32_t kNetworkMask = 0xFF000000;
  constexpr pid_t kLargest = (1 << 22) - 1;
  std::set<std::uint32_t> taken = {kLoopback};
  for (const pid_t process : {1, 2, 255, 256, 257, 65535, 65536, 70000, 1 << 21, kLargest - 1, kLargest}) {
    const std::uint32_t ip = loopback_for_process(process);
    EXPECT_EQ(ip & kNetworkMask, kNetwork);
    EXPECT_TRUE(taken.insert(ip).second) << process;
  }
}

}  // namespace
}  // namespace mintrock::lab
