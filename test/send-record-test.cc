// Which sends prove that a request has not run.
#include "deckpitch/send-record.h"

#include <gtest/gtest.h>

#include <array>
#include <utility>
#include <vector>

using namespace deckpitch;

namespace {

/// How one send ends; a send whose outcome is unknown is never ended.
enum class SendEnd { Unsent, Rejected, Unknown };

constexpr std::array AllEnds{SendEnd::Unsent, SendEnd::Rejected,
                             SendEnd::Unknown};

void end(SendRecord &Sends, SendEnd How) {
  if (How == SendEnd::Unsent)
    Sends.endUnsent();
  if (How == SendEnd::Rejected)
    Sends.endRejected();
}

SendRecord recordOf(const std::vector<SendEnd> &Ends) {
  SendRecord Out;
  for (const SendEnd Each : Ends) {
    Out.begin();
    end(Out, Each);
  }
  return Out;
}

/// A request was reported as not run after one of several sends had been
/// rejected, though another may have run.
TEST(SendRecord, OneSendThatMayHaveRunLeavesNoProof) {
  for (const SendEnd First : AllEnds)
    for (const SendEnd Second : AllEnds)
      for (const SendEnd Third : AllEnds) {
        const bool MayHaveRun = First == SendEnd::Unknown ||
                                Second == SendEnd::Unknown ||
                                Third == SendEnd::Unknown;
        const SendRecord Sends = recordOf({First, Second, Third});
        EXPECT_EQ(Sends.proofOfNotRun().has_value(), !MayHaveRun);
      }
}

/// A request must not be reported as not run while its send is under way.
TEST(SendRecord, ProvesNothingWhileASendIsOpen) {
  SendRecord Sends;
  EXPECT_TRUE(Sends.proofOfNotRun());
  Sends.begin();
  EXPECT_FALSE(Sends.proofOfNotRun());
  Sends.endRejected();
  EXPECT_TRUE(Sends.proofOfNotRun());
}

/// A stream that moves is sent to the next instance while it runs at the first.
TEST(SendRecord, OverlappingSendsEndInAnyOrder) {
  SendRecord Sends;
  Sends.begin();
  Sends.begin();
  Sends.endRejected();
  EXPECT_FALSE(Sends.proofOfNotRun());
  EXPECT_EQ(Sends.sends(), 2U);
  EXPECT_EQ(Sends.runs(), 1U);
  EXPECT_EQ(Sends.rejections(), 1U);
}

/// Attempts that wrote nothing must not use up the sends of a route.
TEST(SendRecord, CountsOnlySendsThatMayHaveArrived) {
  const SendRecord Sends = recordOf(
      {SendEnd::Unsent, SendEnd::Rejected, SendEnd::Unsent, SendEnd::Unknown});
  EXPECT_EQ(Sends.sends(), 2U);
  EXPECT_EQ(Sends.runs(), 1U);
}

} // namespace
