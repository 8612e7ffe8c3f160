#include "deckpitch/regions.h"

#include "deckpitch/instance-table.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};

TEST(AllowedRegions, BothRestrictionsBind) {
  const AllowedRegions Any;
  const AllowedRegions One({{"north"}, {"south"}});
  const AllowedRegions Two({{"south"}, {"west"}});
  EXPECT_EQ(intersectionOf(Any, Any), Any);
  EXPECT_EQ(intersectionOf(Any, One), One);
  EXPECT_EQ(intersectionOf(One, Any), One);
  EXPECT_EQ(intersectionOf(One, Two), AllowedRegions({{"south"}}));
  const AllowedRegions None = intersectionOf(One, AllowedRegions({{"west"}}));
  EXPECT_TRUE(None.isRestricted());
  EXPECT_FALSE(None.permits({"north"}));
}

/// A data centre whose region is unknown may lie anywhere.
TEST(AllowedRegions, UnknownRegionIsPermittedOnlyWithoutRestriction) {
  const RegionMap Map({{DataCentreId{"a"}, RegionId{"north"}}});
  EXPECT_FALSE(AllowedRegions({{"north"}}).permits(Map.regionOf({"b"})));
  EXPECT_TRUE(AllowedRegions().permits(Map.regionOf({"b"})));
}

/// Instances in three data centres, each in a region of its own.
class RegionChoice : public testing::Test {
protected:
  RegionChoice() {
    m_Table.setRegions(RegionMap({{DataCentreId{"a"}, RegionId{"north"}},
                                  {DataCentreId{"b"}, RegionId{"south"}},
                                  {DataCentreId{"c"}, RegionId{"west"}}}));
    m_Query.m_Service = {"pool"};
  }

  void list(const std::vector<std::string> &DataCentres) {
    std::vector<FleetInstance> Listed;
    for (const std::string &Each : DataCentres) {
      FleetInstance Instance;
      Instance.m_Id = {"i-" + Each};
      Instance.m_Service = {"pool"};
      Instance.m_Address = "10.0.0.1:" + Each;
      Instance.m_DataCentre = {Each};
      Instance.m_Slots = 1;
      Listed.push_back(std::move(Instance));
    }
    m_Table.setInstances(Listed, Start);
  }
  InstanceChoice choose() { return m_Table.choose(m_Query, Start); }

  InstanceTable m_Table{DataCentreId{"a"}};
  ChoiceQuery m_Query;
};

/// Requests of restricted routes were served in any region.
TEST_F(RegionChoice, NeverLeavesTheAllowedRegions) {
  list({"a", "b", "c"});
  m_Query.m_Regions = AllowedRegions({{"south"}});
  // More than the instance there may hold, while others are idle.
  for (int I = 0; I < 4; ++I) {
    const InstanceChoice Chosen = choose();
    EXPECT_EQ(Chosen.m_Instance.m_Text, "i-b");
    if (Chosen.m_Outcome != ChoiceOutcome::Chosen)
      break;
    m_Table.started(Chosen.m_Instance, Start);
  }
  EXPECT_EQ(choose().m_Outcome, ChoiceOutcome::Full);
}

TEST_F(RegionChoice, RefusesIfNoAllowedRegionHasAnInstance) {
  list({"a", "c"});
  m_Query.m_Regions = AllowedRegions({{"south"}});
  const InstanceChoice None = choose();
  EXPECT_EQ(None.m_Outcome, ChoiceOutcome::NotAllowed);
  EXPECT_GT(None.m_RetryAfter, Duration::zero());
}

/// A repeat after a failure must not leave the region either.
TEST_F(RegionChoice, TriedInstancesAreNotReplacedByOthersElsewhere) {
  list({"a", "b", "c"});
  m_Query.m_Regions = AllowedRegions({{"south"}});
  m_Query.m_Tried = {{"i-b"}};
  EXPECT_EQ(choose().m_Outcome, ChoiceOutcome::NotAllowed);
}

TEST_F(RegionChoice, DataCentreOfUnknownRegionServesNoRestrictedRequest) {
  list({"d"});
  EXPECT_EQ(choose().m_Outcome, ChoiceOutcome::Chosen);
  m_Query.m_Regions = AllowedRegions({{"north"}});
  EXPECT_EQ(choose().m_Outcome, ChoiceOutcome::NotAllowed);
}

} // namespace
