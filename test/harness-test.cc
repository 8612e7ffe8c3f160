#include "cluster.h"
#include "standins/token.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

TEST(Harness, StopsFreezesAndKillsAProcess) {
  Child Process("deckpitch-standins", {"--kind=service"});
  const std::string Address =
      Process.announcement().at("address").as_string().c_str();
  EXPECT_EQ(statusOf(call(Address, "GET", "/v1/health")), 200U);
  Process.signal(SIGSTOP);
  Process.signal(SIGCONT);
  EXPECT_EQ(statusOf(call(Address, "GET", "/v1/health")), 200U);
  EXPECT_EQ(Process.stop(), 0);
  Child Killed("deckpitch-standins", {"--kind=service"});
  Killed.announcement();
  Killed.signal(SIGKILL);
  EXPECT_EQ(Killed.waitForExit(), -SIGKILL);
}

TEST(Harness, GivesNothingForAProcessThatEndsWithoutAnnouncing) {
  Child Process("deckpitch-standins", {"--kind=nothing"});
  EXPECT_TRUE(Process.announcement().empty());
  EXPECT_EQ(Process.waitForExit(), 2);
  EXPECT_NE(Process.errors().find("--kind is unknown"), std::string::npos);
}

TEST(Harness, StartsAClusterAndRestartsItsParts) {
  Cluster Under({.m_Engines = 2, .m_Services = 1});
  ASSERT_TRUE(Under.start()) << Under.failure();
  EXPECT_EQ(Under.addWeights("m@1", 1 << 20, 1 << 16).size(), 64U);
  EXPECT_EQ(Under.enginesServing("m@1"), 0U);
  const std::string Before = Under.agent(0).m_Control;
  Under.agent(0).m_Process->signal(SIGKILL);
  ASSERT_TRUE(Under.restart(Under.agent(0))) << Under.failure();
  EXPECT_EQ(Under.agent(0).m_Control, Before);
  Under.engine(1).m_Process->signal(SIGKILL);
  ASSERT_TRUE(Under.restart(Under.engine(1))) << Under.failure();
  for (std::size_t I = 0; I < Under.agents(); ++I)
    EXPECT_EQ(Under.agent(I).m_Process->stop(), 0);
  for (std::size_t I = 0; I < Under.entries(); ++I)
    EXPECT_EQ(Under.entry(I).m_Process->stop(), 0);
}

TEST(Programs, SayHowTheyAreUsed) {
  for (const std::string Name : {"deckpitchd", "deckpitchctl"}) {
    Child Asked(Name, {"--help"});
    EXPECT_EQ(Asked.waitForExit(), 1) << Name; // The flags library's own code.
    const std::string Said = Asked.output();
    EXPECT_EQ(Said.find("No flags matched"), std::string::npos) << Said;
    EXPECT_NE(Said.find(Name == "deckpitchd" ? "--settings" : "--output"),
              std::string::npos)
        << Said;
  }
  Child Bare("deckpitchd", {});
  EXPECT_EQ(Bare.waitForExit(), 2);
  EXPECT_NE(Bare.errors().find("exit codes"), std::string::npos);
}

} // namespace
