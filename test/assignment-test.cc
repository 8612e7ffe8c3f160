#include "deckpitch/assignment.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

const WeightsId Old{"m@1"};
const WeightsId New{"m@2"};

struct FleetModel {
  DeclarationSet m_Declarations;
  MembershipView m_Members;

  Pool &pool(const std::string &Name, const std::string &Version,
             std::vector<DataCentreReadiness> Readiness) {
    Pool &Out = m_Declarations.m_Pools[PoolId{Name}].m_Value;
    Out.m_Id = PoolId{Name};
    Out.m_Model = "m";
    Out.m_Version = Version;
    Out.m_Readiness = std::move(Readiness);
    return Out;
  }

  Member &agent(const std::string &Name, const std::string &Centre) {
    Member &Out = m_Members.m_Members[InstanceId{Name}];
    Out.m_Id = InstanceId{Name};
    Out.m_DataCentre = DataCentreId{Centre};
    return Out;
  }

  Member &serving(const std::string &Name, const std::string &Centre,
                  const std::string &Condition) {
    Member &Out = agent(Name, Centre);
    Out.m_Serving = {PoolId{"chat"}, Old, {}, true, 0, 0, Condition};
    assignments()[Out.m_Id] = {PoolId{"chat"}, Old};
    return Out;
  }

  std::map<InstanceId, AssignedPool> &assignments() {
    return m_Declarations.m_Assignment.m_Value.m_Instances;
  }

  Assignment plan() const { return planAssignment(m_Declarations, m_Members); }
};

std::size_t countOf(const Assignment &In, const AssignedPool &Wanted) {
  std::size_t Count = 0;
  for (const auto &[Id, Each] : In.m_Instances)
    Count += Each == Wanted;
  return Count;
}

TEST(Assignment, MeetsTheReadinessOfEachDataCentre) {
  FleetModel Subject;
  Subject.pool("chat", "1",
               {{DataCentreId{"lahore"}, 2}, {DataCentreId{"multan"}, 1}});
  for (const char *Name : {"a", "b", "c"})
    Subject.agent(Name, "lahore");
  Subject.agent("d", "multan");
  const Assignment Plan = Subject.plan();
  EXPECT_EQ(countOf(Plan, {PoolId{"chat"}, Old}), 3U);
  EXPECT_TRUE(Plan.m_Instances.contains(InstanceId{"d"}));
}

TEST(Assignment, MovesNoInstanceWithoutNeed) {
  FleetModel Subject;
  Subject.pool("chat", "1", {{DataCentreId{"lahore"}, 2}});
  Subject.pool("code", "7", {{DataCentreId{"lahore"}, 1}});
  for (const char *Name : {"a", "b", "c", "d"})
    Subject.agent(Name, "lahore");
  Subject.m_Declarations.m_Assignment.m_Value = Subject.plan();
  EXPECT_EQ(Subject.plan(), Subject.m_Declarations.m_Assignment.m_Value);
  Subject.m_Members.m_Members.erase(InstanceId{"a"});
  const Assignment After = Subject.plan();
  std::size_t Moved = 0;
  for (const auto &[Id, Each] : After.m_Instances)
    Moved +=
        Subject.assignments().contains(Id) && Subject.assignments()[Id] != Each;
  EXPECT_EQ(Moved, 0U);
  EXPECT_EQ(After.m_Instances.size(), 3U);
}

TEST(Assignment, PrefersInstancesThatHoldTheWeights) {
  FleetModel Subject;
  Subject.pool("chat", "1", {{DataCentreId{"lahore"}, 1}});
  Subject.agent("a", "lahore");
  Subject.agent("b", "lahore").m_Serving.m_Weights = Old;
  EXPECT_TRUE(Subject.plan().m_Instances.contains(InstanceId{"b"}));
}

TEST(Assignment, DropsMembersThatLeave) {
  FleetModel Subject;
  Subject.pool("chat", "1", {{DataCentreId{"lahore"}, 1}});
  Subject.serving("a", "lahore", "Serving").m_State = MemberState::Leaving;
  Subject.agent("b", "lahore");
  const Assignment Plan = Subject.plan();
  EXPECT_FALSE(Plan.m_Instances.contains(InstanceId{"a"}));
  EXPECT_TRUE(Plan.m_Instances.contains(InstanceId{"b"}));
}

TEST(Assignment, SwapsWithoutDowntimeHappenAllAtOnce) {
  FleetModel Subject;
  Subject.pool("chat", "2", {{DataCentreId{"lahore"}, 3}});
  for (const char *Name : {"a", "b", "c"})
    Subject.serving(Name, "lahore", ConditionLoaded);
  EXPECT_EQ(countOf(Subject.plan(), {PoolId{"chat"}, New}), 3U);
}

TEST(Assignment, DrainsAtMostMaxUnavailable) {
  FleetModel Subject;
  Subject.pool("chat", "2", {{DataCentreId{"lahore"}, 4}}).m_MaxUnavailable = 2;
  for (const char *Name : {"a", "b", "c", "d"})
    Subject.serving(Name, "lahore", ConditionStaged);
  const AssignedPool Target{PoolId{"chat"}, New};
  Subject.m_Declarations.m_Assignment.m_Value = Subject.plan();
  EXPECT_EQ(countOf(Subject.m_Declarations.m_Assignment.m_Value, Target), 2U);
  EXPECT_EQ(countOf(Subject.plan(), Target), 2U);
  // One of the two serves the new weights, so the next may drain.
  for (auto &[Id, Each] : Subject.assignments())
    if (Each == Target) {
      Subject.m_Members.m_Members.at(Id).m_Serving.m_Weights = New;
      break;
    }
  EXPECT_EQ(countOf(Subject.plan(), Target), 3U);
}

TEST(Assignment, APausedPoolKeepsItsWeights) {
  FleetModel Subject;
  Subject.pool("chat", "2", {{DataCentreId{"lahore"}, 2}}).m_Paused = true;
  for (const char *Name : {"a", "b"})
    Subject.serving(Name, "lahore", ConditionLoaded);
  Subject.agent("c", "lahore");
  EXPECT_EQ(countOf(Subject.plan(), {PoolId{"chat"}, Old}), 2U);
}

TEST(Assignment, AnInstanceStillCopyingKeepsServing) {
  FleetModel Subject;
  Subject.pool("chat", "2", {{DataCentreId{"lahore"}, 1}});
  Subject.serving("a", "lahore", "Copying");
  EXPECT_EQ(countOf(Subject.plan(), {PoolId{"chat"}, Old}), 1U);
}

TEST(Assignment, ANewDeciderWaitsForAssignedInstances) {
  FleetModel Subject;
  Subject.pool("chat", "1", {{DataCentreId{"lahore"}, 2}});
  Subject.serving("a", "lahore", "Serving");
  Subject.serving("b", "lahore", "Serving");
  const auto Missing = Subject.m_Members.m_Members.extract(InstanceId{"b"});
  const Assignment &InForce = Subject.m_Declarations.m_Assignment.m_Value;
  const auto May = [&](std::chrono::milliseconds SinceTakeover) {
    return mayPlan(InForce, Subject.m_Members, SinceTakeover);
  };
  // Planning now would drop b, which has not reported yet.
  EXPECT_FALSE(Subject.plan().m_Instances.contains(InstanceId{"b"}));
  EXPECT_FALSE(May(std::chrono::milliseconds(0)));
  EXPECT_FALSE(May(MaxSettlingTime - std::chrono::milliseconds(1)));
  EXPECT_TRUE(May(MaxSettlingTime));
  Subject.agent("b", "lahore").m_State = MemberState::Suspect;
  EXPECT_TRUE(May(std::chrono::milliseconds(0)));
  EXPECT_TRUE(Subject.plan().m_Instances.contains(InstanceId{"b"}));
}

TEST(Assignment, TheFirstPlanDoesNotWait) {
  FleetModel Subject;
  Subject.pool("chat", "1", {{DataCentreId{"lahore"}, 2}});
  Subject.agent("a", "lahore");
  EXPECT_TRUE(mayPlan(Subject.m_Declarations.m_Assignment.m_Value,
                      Subject.m_Members, {}));
}

} // namespace
