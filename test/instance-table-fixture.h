// Fixture of an entry's instances, of a service with engines of four slots.
#pragma once

#include "deckpitch/instance-table.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

namespace deckpitch::test {

using namespace std::chrono_literals;

inline constexpr TimePoint Start{1'000s};
inline const ServiceId Pool{"pool"};

inline FleetInstance listed(const std::string &Id,
                            const std::string &Centre = "a",
                            std::uint64_t Version = 1) {
  FleetInstance Out;
  Out.m_Id = {Id};
  Out.m_Service = Pool;
  Out.m_Address =
      "10.0.0.1:" + std::to_string(std::hash<std::string>{}(Id) % 60'000);
  Out.m_DataCentre = {Centre};
  Out.m_Slots = 4;
  Out.m_Weights = {{"m", Version, true}};
  return Out;
}

class InstanceTableTest : public testing::Test {
protected:
  InstanceTableTest() {
    ServiceDeclaration Service;
    Service.m_Id = Pool;
    Service.m_Engine = EngineProfile{.m_Slots = 4};
    m_Table.setServices({Service});
    m_Query.m_Service = Pool;
    m_Query.m_Model = "m";
    m_Query.m_Objective = 1ms; // No queue besides the slots.
  }

  void list(std::vector<FleetInstance> List) {
    m_Table.setInstances(List, Start);
  }
  ChoiceOutcome outcome(TimePoint Now = Start) {
    return m_Table.choose(m_Query, Now).m_Outcome;
  }
  std::string chosen(TimePoint Now = Start) {
    const InstanceChoice Choice = m_Table.choose(m_Query, Now);
    return Choice.m_Outcome == ChoiceOutcome::Chosen ? Choice.m_Instance.m_Text
                                                     : "none";
  }

  InstanceTable m_Table{DataCentreId{"a"}};
  ChoiceQuery m_Query;
};

} // namespace deckpitch::test
