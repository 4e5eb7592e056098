// Terminations are answered once the core side has confirmed them, and at the latest when they time out.
#include "edge/pending_terminations.hpp"

#include <gtest/gtest.h>

namespace mintrock::edge {
namespace {

TerminationRequest request(const std::string& name) { return {"dock", name, name + "-done"}; }

TEST(PendingTerminations, ATerminationCompletesWhenItsServerConfirmsIt) {
  PendingTerminations pending(10, 2);
  pending.add("s", request("r"), 1, false, 0);
  const auto completed = pending.confirm("s", true);
  ASSERT_TRUE(completed);
  EXPECT_TRUE(completed->ended);
  EXPECT_EQ(completed->request.success, "r-done");
  EXPECT_FALSE(pending.confirm("s", true)) << "once only";
  EXPECT_TRUE(pending.take_expired(100).empty());
}

TEST(PendingTerminations, OneSentToSeveralServersCompletesWithTheFirstThatEndedItOrTheLastAnswer) {
  PendingTerminations pending(10, 2);
  pending.add("a", request("a"), 3, false, 0);
  EXPECT_FALSE(pending.confirm("a", false));
  EXPECT_TRUE(pending.confirm("a", true)->ended);
  pending.add("b", request("b"), 2, false, 0);
  EXPECT_FALSE(pending.confirm("b", false));
  EXPECT_FALSE(pending.confirm("b", false)->ended);
  pending.add("own", request("own"), 1, true, 0);
  EXPECT_TRUE(pending.confirm("own", false)->ended)
      << "the proxy's own call has ended, whatever the server answers";
}

TEST(PendingTerminations, ARepeatedRequestReplacesTheEarlierOne) {
  PendingTerminations pending(10, 2);
  pending.add("s", request("first"), 1, false, 0);
  TerminationRequest again = request("again");
  EXPECT_TRUE(pending.replace_request("s", again));
  EXPECT_EQ(pending.confirm("s", true)->request.request, "again");
  EXPECT_FALSE(pending.replace_request("s", again));
}

// A termination that is kept unanswered would keep the caller from sending it through another proxy.
TEST(PendingTerminations, UnconfirmedRequestsExpire) {
  PendingTerminations pending(10, 2);
  pending.add("s", request("r"), 1, false, 0);
  pending.add("t", request("t"), 1, false, 1);
  EXPECT_EQ(pending.deadline(), 2);
  EXPECT_TRUE(pending.take_expired(1.9).empty());
  ASSERT_EQ(pending.take_expired(2).size(), 1u);
  EXPECT_FALSE(pending.confirm("s", true)) << "it has expired";
  pending.confirm("t", true);
  pending.add("t", request("t2"), 1, false, 2.5);
  EXPECT_TRUE(pending.take_expired(3.1).empty())
      << "the deadline of the older one does not apply to the newer one";
  EXPECT_EQ(pending.take_expired(4.5).size(), 1u);
}

TEST(PendingTerminations, AreBounded) {
  PendingTerminations pending(2, 2);
  pending.add("a", request("a"), 1, false, 0);
  EXPECT_FALSE(pending.full());
  pending.add("b", request("b"), 1, false, 0);
  EXPECT_TRUE(pending.full());
}

}  // namespace
}  // namespace mintrock::edge
