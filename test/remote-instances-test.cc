// Instances of other data centres, which report here only while they run
// requests of this entry.
#include "instance-table-fixture.h"

#include <gtest/gtest.h>

#include <vector>

using namespace deckpitch;
using namespace deckpitch::test;
using namespace std::chrono_literals;

namespace {

/// Agents report to the entries of their own data centre only.
TEST_F(InstanceTableTest, RemoteInstanceIsChosenOnlyIfLocalOnesAreFull) {
  list({listed("near"), listed("far", "b")});
  // Busier than the idle one elsewhere, but not full.
  m_Table.started({"near"}, Start);
  m_Table.started({"near"}, Start);
  for (int I = 0; I < 20; ++I)
    EXPECT_EQ(chosen(), "near");
  InstanceReport Full;
  Full.m_Running = 4;
  Full.m_Weights = {{"m", 1, true}};
  m_Table.report(listed("near").m_Address, Full, Start);
  EXPECT_EQ(chosen(), "far");
}

TEST_F(InstanceTableTest, RemoteInstanceIsChosenAfterARefusal) {
  list({listed("near"), listed("also"), listed("far", "b")});
  for (const char *Each : {"near", "also"})
    for (int I = 0; I < 2; ++I)
      m_Table.started({Each}, Start);
  EXPECT_NE(chosen(), "far");
  m_Query.m_Full = {{"near"}};
  EXPECT_EQ(chosen(), "far");
}

TEST_F(InstanceTableTest, RemoteInstanceIsAskedHoweverLongItIsListed) {
  list({listed("far", "b")});
  EXPECT_TRUE(m_Table.slotQuestion({"far"}, m_Query, Start + 1h));
  EXPECT_FALSE(m_Table.isConfirmed({"far"}, Start + 1h));
  EXPECT_TRUE(m_Table.subscribedAddresses().empty());
  m_Table.started({"far"}, Start);
  EXPECT_EQ(m_Table.subscribedAddresses(),
            std::vector{listed("far", "b").m_Address});
}

/// An entry that knows another data centre's instance from the list only must
/// not send there what its agent's answer rules out.
TEST_F(InstanceTableTest, AnswerOfARemoteAgentDecidesWhatItCanTake) {
  list({listed("far", "b", 2)});
  m_Table.setWeights({{"m", 2}}, Start - 1h);
  EXPECT_EQ(chosen(), "far");
  EXPECT_FALSE(m_Table.canTake({"far"}, m_Query, Start));
  InstanceReport Answer;
  Answer.m_Weights = {{"m", 1, true}};
  m_Table.report(listed("far").m_Address, Answer, Start);
  EXPECT_FALSE(m_Table.canTake({"far"}, m_Query, Start));
  Answer.m_Weights = {{"m", 2, true}};
  m_Table.report(listed("far").m_Address, Answer, Start);
  EXPECT_TRUE(m_Table.canTake({"far"}, m_Query, Start));
  Answer.m_TakesRequests = false;
  m_Table.report(listed("far").m_Address, Answer, Start);
  EXPECT_FALSE(m_Table.canTake({"far"}, m_Query, Start));
}

} // namespace
