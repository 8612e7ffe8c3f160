#include "deckpitch/fleet.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

ServiceDeclaration serviceOf(const std::string &Id, const std::string &Model,
                             const std::string &Origin = "") {
  ServiceDeclaration Out;
  Out.m_Id = {Id};
  Out.m_Origin = Origin;
  if (!Model.empty())
    Out.m_Engine = EngineProfile{.m_Models = {Model}};
  return Out;
}

TEST(Fleet, FindsTheWeightsSourceOfEachService) {
  FleetDeclaration Declared;
  Declared.m_Services = {serviceOf("pool", "m"), serviceOf("plain", "")};
  EXPECT_TRUE(sourcesOf(Declared).empty()); // no origin yet
  Declared.m_Services.push_back(serviceOf("origin", "", "10.0.0.1:80"));
  Declared.m_Services.back().m_OriginMbps = 9;
  const std::vector<WeightsSource> Expected{{{"pool"}, "m", "10.0.0.1:80", 9}};
  EXPECT_EQ(sourcesOf(Declared), Expected);
}

} // namespace
