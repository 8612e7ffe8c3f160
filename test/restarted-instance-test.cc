// Instances that have started anew at their address.
#include "instance-table-fixture.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace deckpitch::test;
using namespace std::chrono_literals;

namespace {

/// The first incarnation holds weights and is full; the second has the same
/// name and address and nothing else.
class RestartedInstance : public InstanceTableTest {
protected:
  RestartedInstance() {
    m_First.m_Start = 100;
    m_Second.m_Start = 90; // The instance's clock was set back.
    m_Second.m_Weights.clear();
    list({m_First});
    report(100, 4, {{"m", 1, true}});
  }

  static FleetInstance incarnation(const std::string &Id) {
    FleetInstance Out = listed(Id);
    Out.m_Address = "10.0.0.1:80";
    return Out;
  }
  void report(std::uint64_t ReportedStart, std::uint32_t Running,
              std::vector<HeldWeights> Weights) {
    InstanceReport Report{Running, 0, true, true, std::move(Weights)};
    Report.m_Start = ReportedStart;
    m_Table.report(m_First.m_Address, Report, Start);
  }

  FleetInstance m_First = incarnation("i~100");
  FleetInstance m_Second = incarnation("i~90");
};

TEST_F(RestartedInstance, EarlierIncarnationStateIsDropped) {
  EXPECT_EQ(outcome(), ChoiceOutcome::Full);
  list({m_Second});
  EXPECT_EQ(outcome(), ChoiceOutcome::NoWeights);
  report(90, 0, {{"m", 1, true}});
  EXPECT_EQ(chosen(), "i~90");
}

TEST_F(RestartedInstance, EarlierIncarnationReportIsIgnored) {
  list({m_Second});
  report(90, 0, {{"m", 1, true}});
  report(100, 0, {{"m", 1, true}});
  EXPECT_EQ(outcome(), ChoiceOutcome::NoWeights);
  report(90, 0, {{"m", 1, true}});
  EXPECT_EQ(chosen(), "i~90");
}

TEST_F(RestartedInstance, NewIncarnationReportOverridesList) {
  report(100, 0, {{"m", 1, true}});
  EXPECT_EQ(chosen(), "i~100");
  report(90, 0, {});
  EXPECT_EQ(outcome(), ChoiceOutcome::NoWeights);
}

TEST_F(RestartedInstance, ReportWithoutStartCountsForListedIncarnation) {
  list({m_Second});
  report(0, 0, {{"m", 1, true}});
  EXPECT_EQ(chosen(), "i~90");
}

TEST_F(RestartedInstance, SameIncarnationIsKeptAfterRelisting) {
  list({});
  list({m_First});
  report(100, 0, {{"m", 1, true}});
  EXPECT_EQ(chosen(), "i~100");
}

/// The next list still named the earlier incarnation and everything it served.
TEST_F(RestartedInstance, ReplacedIncarnationStaysUnused) {
  report(90, 0, {});
  list({m_First});
  EXPECT_EQ(outcome(), ChoiceOutcome::NoWeights);
  report(100, 0, {{"m", 1, true}});
  EXPECT_EQ(chosen(), "i~100");
}

/// Entries that had just started sent requests to every instance in the store's
/// list, including ones already gone.
TEST_F(RestartedInstance, UnconfirmedInstanceIsAskedFirst) {
  EXPECT_TRUE(m_Table.isConfirmed(m_First.m_Id, Start));
  list({m_Second});
  EXPECT_FALSE(m_Table.isConfirmed(m_Second.m_Id, Start));
  EXPECT_TRUE(m_Table.slotQuestion(m_Second.m_Id, m_Query, Start));
  report(0, 0, {});
  EXPECT_FALSE(m_Table.isConfirmed(m_Second.m_Id, Start));
  report(100, 0, {});
  EXPECT_FALSE(m_Table.isConfirmed(m_Second.m_Id, Start));
  report(90, 0, {});
  EXPECT_TRUE(m_Table.isConfirmed(m_Second.m_Id, Start));
}

TEST_F(RestartedInstance, RequestsAtEarlierIncarnationAreReportedAtOnce) {
  m_Table.started(m_First.m_Id, Start);
  EXPECT_TRUE(m_Table.replacedWithRequests().empty());
  list({m_Second});
  EXPECT_EQ(m_Table.replacedWithRequests(),
            std::vector<InstanceId>{m_First.m_Id});
  m_Table.ended(m_First.m_Id, InstanceTable::End::Failed, false, Start);
  EXPECT_TRUE(m_Table.replacedWithRequests().empty());
}

} // namespace
