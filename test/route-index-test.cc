#include "deckpitch/route-index.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

ServiceRoute route(const std::string &Name, const std::string &Host,
                   const std::string &Prefix) {
  ServiceRoute Out;
  Out.m_Name = Name;
  Out.m_Host = Host;
  Out.m_PathPrefix = Prefix;
  Out.m_Services.push_back({ServiceId{"pool"}, 1});
  return Out;
}

RouteIndex tableOf(std::vector<ServiceRoute> Routes) {
  FleetDeclaration Declared;
  Declared.m_Version = 1;
  Declared.m_Routes = std::move(Routes);
  Declared.m_Organisations = {
      {OrganisationId{"shops"}, std::nullopt, {"key-1", "key-2"}},
      {OrganisationId{"riders"}, 2, {"key-3"}}};
  return RouteIndex(std::move(Declared));
}

std::string nameOf(const RouteIndex &Table, const std::string &Host,
                   const std::string &Path) {
  const ServiceRoute *Found = Table.find(Host, Path);
  return Found ? Found->m_Name : "none";
}

TEST(RouteIndex, FindsLongestPrefixOfHost) {
  const RouteIndex Table =
      tableOf({route("all", "a.example", "/"), route("x", "a.example", "/x/"),
               route("deep", "a.example", "/x/y/"),
               route("other", "b.example", "/x/")});
  EXPECT_EQ(nameOf(Table, "a.example", "/x/y/z"), "deep");
  EXPECT_EQ(nameOf(Table, "a.example", "/x/y"), "x");
  EXPECT_EQ(nameOf(Table, "a.example", "/x/"), "x");
  EXPECT_EQ(nameOf(Table, "a.example", "/xy"), "all");
  EXPECT_EQ(nameOf(Table, "b.example", "/x/y/z"), "other");
}

TEST(RouteIndex, FindsNothingWithoutMatch) {
  const RouteIndex Table = tableOf({route("x", "a.example", "/x/")});
  EXPECT_EQ(nameOf(Table, "a.example", "/"), "none");
  EXPECT_EQ(nameOf(Table, "a.example", ""), "none");
  EXPECT_EQ(nameOf(Table, "c.example", "/x/"), "none");
  EXPECT_EQ(nameOf(Table, "", "/x/"), "none");
  EXPECT_EQ(nameOf(Table, "a.example\n/x/", ""), "none");
}

TEST(RouteIndex, RegionsOfHostSuitAllItsRoutes) {
  ServiceRoute One = route("one", "a.example", "/1/");
  ServiceRoute Two = route("two", "A.example", "/2/");
  One.m_Regions = AllowedRegions({{"north"}, {"south"}});
  Two.m_Regions = AllowedRegions({{"south"}, {"west"}});
  const RouteIndex Table = tableOf(
      {One, Two, route("any", "a.example", "/"), route("x", "b.example", "/")});
  EXPECT_EQ(Table.regionsOf("a.example:80"), AllowedRegions({{"south"}}));
  EXPECT_EQ(Table.regionsOf("b.example"), AllowedRegions());
}

TEST(RouteIndex, IgnoresCaseAndPortOfHost) {
  const RouteIndex Table = tableOf({route("x", "a.example", "/x/")});
  EXPECT_EQ(nameOf(Table, "A.Example:8080", "/x/1"), "x");
}

TEST(RouteIndex, FindsOrganisationByKey) {
  const RouteIndex Table = tableOf({});
  EXPECT_EQ(Table.organisationOf("key-2")->m_Organisation.m_Text, "shops");
  EXPECT_EQ(Table.organisationOf("key-3")->m_Organisation.m_Text, "riders");
  EXPECT_EQ(Table.organisationOf("key-4"), nullptr);
  EXPECT_EQ(Table.organisationOf(""), nullptr);
}

TEST(RouteIndex, ChoosesServicesByWeight) {
  ServiceRoute Split;
  Split.m_Services = {{ServiceId{"a"}, 90}, {ServiceId{"b"}, 10}};
  int ToB = 0;
  for (std::uint64_t Draw = 0; Draw < 1'000; ++Draw)
    ToB += chooseService(Split, Draw)->m_Text == "b";
  EXPECT_EQ(ToB, 100);
  EXPECT_EQ(chooseService(ServiceRoute(), 7), nullptr);
}

} // namespace
