#include "cluster.h"
#include "standins/token.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

TEST(Harness, StopsPausesAndKillsAProcess) {
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

TEST(Harness, ReturnsAnEmptyAnnouncementWhenTheProcessExitsEarly) {
  Child Process("deckpitch-standins", {"--kind=nothing"});
  EXPECT_TRUE(Process.announcement().empty());
  EXPECT_EQ(Process.waitForExit(), 2);
  EXPECT_NE(Process.errors().find("--kind is unknown"), std::string::npos);
}

TEST(Harness, StartsAClusterAndRestartsItsParts) {
  Cluster TestCluster({.m_Engines = 2, .m_Services = 1});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  EXPECT_EQ(TestCluster.addWeights("m@1", 1 << 20, 1 << 16).size(), 64U);
  EXPECT_EQ(TestCluster.enginesServing("m@1"), 0U);
  const std::string Before = TestCluster.agent(0).m_Control;
  TestCluster.agent(0).m_Process->signal(SIGKILL);
  ASSERT_TRUE(TestCluster.restart(TestCluster.agent(0)))
      << TestCluster.failure();
  EXPECT_EQ(TestCluster.agent(0).m_Control, Before);
  TestCluster.engine(1).m_Process->signal(SIGKILL);
  ASSERT_TRUE(TestCluster.restart(TestCluster.engine(1)))
      << TestCluster.failure();
  for (std::size_t I = 0; I < TestCluster.agents(); ++I)
    EXPECT_EQ(TestCluster.agent(I).m_Process->stop(), 0);
  for (std::size_t I = 0; I < TestCluster.entries(); ++I)
    EXPECT_EQ(TestCluster.entry(I).m_Process->stop(), 0);
}

TEST(CommandLine, PrintsUsageForHelpAndForMissingSettings) {
  for (const std::string Name : {"deckpitchd", "deckpitchctl"}) {
    Child Process(Name, {"--help"});
    // The exit code of the flags library.
    EXPECT_EQ(Process.waitForExit(), 1) << Name;
    const std::string Usage = Process.output();
    EXPECT_EQ(Usage.find("No flags matched"), std::string::npos) << Usage;
    EXPECT_NE(Usage.find(Name == "deckpitchd" ? "--settings" : "--output"),
              std::string::npos)
        << Usage;
  }
  Child WithoutSettings("deckpitchd", {});
  EXPECT_EQ(WithoutSettings.waitForExit(), 2);
  EXPECT_NE(WithoutSettings.errors().find("exit codes"), std::string::npos);
}

} // namespace
