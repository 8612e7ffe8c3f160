// Tests declarations and leases under faults of real processes. The checks use
// the complete history of each process and the orders that the engines
// received.
#include "declarations-fixture.h"

#include <boost/json.hpp>

#include <algorithm>
#include <csignal>
#include <string>
#include <vector>

using namespace deckpitch;
using namespace deckpitch::test;

namespace json = boost::json;

namespace {

constexpr std::uint64_t WeightBytes = 1 << 18;
constexpr std::uint32_t ChunkBytes = 1 << 16;

struct EngineOrder {
  std::string m_Name;
  std::string m_Weights;
  std::uint64_t m_Fence = 0;
  unsigned m_Status = 0;
};

/// Returns the orders that the engine received, oldest first.
std::vector<EngineOrder> ordersOf(const StandInNode &Engine) {
  std::vector<EngineOrder> Out;
  const json::value Reply =
      jsonOf(call(Engine.m_Address, "GET", "/_standin/orders"));
  if (!Reply.is_array())
    return Out;
  for (const json::value &Each : Reply.get_array()) {
    const json::object &Given = Each.at("order").as_object();
    const json::value *Weights = Given.if_contains("weights");
    Out.push_back({Given.at("order").as_string().c_str(),
                   Weights ? Weights->as_string().c_str() : "",
                   Given.at("fence").to_number<std::uint64_t>(),
                   Each.at("status").to_number<unsigned>()});
  }
  return Out;
}

/// Checks that fencing numbers never decrease and that once weights were
/// activated, earlier ones on the path are never loaded or activated again.
testing::AssertionResult
neverRevertsToEarlierWeights(const StandInNode &Engine,
                             const std::vector<std::string> &Path) {
  std::uint64_t Fence = 0;
  std::size_t Reached = 0;
  for (const EngineOrder &Each : ordersOf(Engine)) {
    if (Each.m_Fence < Fence)
      return testing::AssertionFailure() << "fence " << Each.m_Fence;
    Fence = Each.m_Fence;
    if (Each.m_Name == "unload")
      continue;
    const auto At = std::find(Path.begin(), Path.end(), Each.m_Weights);
    const auto Index = static_cast<std::size_t>(At - Path.begin());
    if (Index < Reached)
      return testing::AssertionFailure()
             << Each.m_Name << " " << Each.m_Weights;
    if (Each.m_Name == "activate")
      Reached = Index;
  }
  return testing::AssertionSuccess();
}

/// Declares the pool for all engines; returns its revision, or 0 on failure.
std::uint64_t declarePoolVersion(Cluster &TestCluster,
                                 const std::string &Version,
                                 std::size_t Entry = 0) {
  if (!TestCluster.declarePool("chat", "m", Version, Entry))
    return 0;
  // Read from the platform, as the replica of an entry may lag behind.
  const json::value Object =
      jsonOf(call(TestCluster.platform(), "GET", "/v1/objects/pools/chat"));
  const json::value *Revision =
      Object.is_object() ? Object.get_object().if_contains("revision")
                         : nullptr;
  return Revision ? Revision->to_number<std::uint64_t>() : 0;
}

bool awaitServing(Cluster &TestCluster, const std::string &Weights) {
  return eventually([&] {
    return TestCluster.enginesServing(Weights) == TestCluster.engines();
  });
}

class PausedAssigner : public testing::TestWithParam<bool> {};

/// Guards against a paused lease holder that, once resumed, overrides the
/// assignments of its successor. It is paused during the period in which a new
/// holder fills its view: it knows version 1 and has not assigned it yet, so it
/// resumes with an assignment of its own to write.
TEST_P(PausedAssigner, ResumesAndGivesNoOrderThatTakesEffect) {
  Cluster TestCluster(
      {.m_Entries = 3, .m_Engines = 2, .m_StrictFencing = GetParam()});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  ASSERT_TRUE(eventually(
      [&] { return leaseHolder(TestCluster, "assigner").has_value(); }));
  const std::size_t Paused = *leaseHolder(TestCluster, "assigner");
  AppliedHistory Applied(TestCluster);
  const std::uint64_t One = declarePoolVersion(TestCluster, "1", Paused);
  ASSERT_TRUE(Applied.at({&TestCluster.entry(Paused)}, One))
      << TestCluster.logs();
  TestCluster.entry(Paused).m_Process->signal(SIGSTOP);
  for (int I = 1; I <= 3; ++I)
    TestCluster.addWeights("m@" + std::to_string(I), WeightBytes, ChunkBytes,
                           I);
  ASSERT_TRUE(eventually([&] {
    return leaseHolder(TestCluster, "assigner", Paused).has_value();
  })) << TestCluster.logs();
  const std::size_t Next = *leaseHolder(TestCluster, "assigner", Paused);
  ASSERT_TRUE(awaitServing(TestCluster, "m@1")) << TestCluster.logs();
  const std::uint64_t Two = declarePoolVersion(TestCluster, "2", Next);
  ASSERT_NE(Two, 0U);
  ASSERT_TRUE(awaitServing(TestCluster, "m@2")) << TestCluster.logs();
  TestCluster.entry(Paused).m_Process->signal(SIGCONT);
  ASSERT_TRUE(Applied.awaitEverywhere(Two)) << TestCluster.logs();
  // Anything that the resumed holder wrote takes effect before this change.
  ASSERT_NE(declarePoolVersion(TestCluster, "3", Next), 0U);
  ASSERT_TRUE(awaitServing(TestCluster, "m@3")) << TestCluster.logs();
  for (std::size_t I = 0; I < TestCluster.engines(); ++I) {
    EXPECT_TRUE(neverRevertsToEarlierWeights(TestCluster.engine(I),
                                             {"m@1", "m@2", "m@3"}));
    EXPECT_EQ(counterOf(TestCluster.engine(I).m_Address, "staleOrders"), 0U);
  }
  EXPECT_TRUE(Applied.isMonotonic());
}

INSTANTIATE_TEST_SUITE_P(Engines, PausedAssigner, testing::Bool(),
                         [](const auto &Info) {
                           return Info.param ? "Strict" : "Lax";
                         });

TEST(DeclarationsFaults, AVersionChangedDuringARolloutReplacesIt) {
  Cluster TestCluster({.m_Entries = 2, .m_Engines = 3});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  for (int I = 1; I <= 3; ++I)
    TestCluster.addWeights("m@" + std::to_string(I), WeightBytes * 8,
                           ChunkBytes, I);
  AppliedHistory Applied(TestCluster);
  ASSERT_NE(declarePoolVersion(TestCluster, "1"), 0U);
  ASSERT_TRUE(awaitServing(TestCluster, "m@1")) << TestCluster.logs();
  ASSERT_TRUE(setFaults(TestCluster.origin(), R"({"bytesPerSecond":1048576})"));
  const std::uint64_t Sent = counterOf(TestCluster.origin(), "bytes");
  ASSERT_NE(declarePoolVersion(TestCluster, "2"), 0U);
  ASSERT_TRUE(eventually([&] {
    return counterOf(TestCluster.origin(), "bytes") > Sent + ChunkBytes;
  }));
  // The rollout is still in progress.
  ASSERT_EQ(TestCluster.enginesServing("m@2"), 0U);
  const std::uint64_t Last = declarePoolVersion(TestCluster, "3", 1);
  ASSERT_NE(Last, 0U);
  ASSERT_TRUE(awaitServing(TestCluster, "m@3")) << TestCluster.logs();
  EXPECT_TRUE(Applied.awaitEverywhere(Last));
  for (std::size_t I = 0; I < TestCluster.engines(); ++I)
    EXPECT_TRUE(neverRevertsToEarlierWeights(TestCluster.engine(I),
                                             {"m@1", "m@2", "m@3"}));
  EXPECT_TRUE(Applied.isMonotonic());
}

TEST(DeclarationsFaults, ARollbackIsAppliedAsANewerDeclaration) {
  Cluster TestCluster({.m_Entries = 2, .m_Engines = 2});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", WeightBytes, ChunkBytes, 1);
  TestCluster.addWeights("m@2", WeightBytes, ChunkBytes, 2);
  AppliedHistory Applied(TestCluster);
  std::uint64_t Last = 0;
  for (const char *Version : {"1", "2", "1"}) {
    Last = declarePoolVersion(TestCluster, Version);
    ASSERT_NE(Last, 0U);
    ASSERT_TRUE(awaitServing(TestCluster, std::string("m@") + Version))
        << TestCluster.logs();
  }
  EXPECT_TRUE(Applied.awaitEverywhere(Last));
  EXPECT_TRUE(Applied.isMonotonic());
}

/// An object written by a newer release has keys that this release does not
/// know. They must neither block the known ones nor be lost.
TEST(DeclarationsFaults, AnOlderReleaseAppliesTheKeysThatItKnows) {
  Cluster TestCluster({.m_Entries = 2, .m_Engines = 2});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", WeightBytes, ChunkBytes);
  const std::string Newer =
      R"({"name":"chat","kind":"engine","model":"m","version":"1",)"
      R"("readiness":[{"dataCentre":"lahore","ready":2}],)"
      R"("later":{"key":[1,2]}})";
  net::HttpHeaders Headers;
  Headers.add("If-None-Match", "*");
  const auto Stored = call(TestCluster.platform(), "PUT",
                           "/v1/objects/pools/chat", Newer, Headers);
  ASSERT_EQ(statusOf(Stored), 201U);
  AppliedHistory Applied(TestCluster);
  EXPECT_TRUE(Applied.awaitEverywhere(
      jsonOf(Stored).at("revision").to_number<unsigned>()));
  EXPECT_TRUE(awaitServing(TestCluster, "m@1")) << TestCluster.logs();
  EXPECT_TRUE(Applied.isMonotonic());
  const auto Kept =
      call(TestCluster.platform(), "GET", "/v1/objects/pools/chat");
  ASSERT_TRUE(Kept);
  EXPECT_NE(Kept->m_Body.find(R"("later":{"key":[1,2]})"), std::string::npos);
}

std::string memberStateAt(const Node &Entry, const std::string &Instance) {
  const json::value Dump = moduleDump(Entry, "membership");
  if (!Dump.is_object())
    return {};
  const auto *Found = Dump.at("members").as_object().if_contains(Instance);
  return Found ? Found->at("state").as_string().c_str() : "";
}

/// Waits until all the entries see all the instances in the given state.
bool awaitStates(const std::vector<Node *> &At, const std::vector<Node *> &Of,
                 const std::string &State) {
  return eventually([&] {
    return std::all_of(At.begin(), At.end(), [&](const Node *Entry) {
      return std::all_of(Of.begin(), Of.end(), [&](const Node *Each) {
        return memberStateAt(*Entry, Each->m_Instance) == State;
      });
    });
  });
}

TEST(DeclarationsFaults, AWrongInstanceListChangesNoMemberState) {
  Cluster TestCluster({.m_Entries = 2, .m_Engines = 3});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  TestCluster.addWeights("m@1", WeightBytes, ChunkBytes);
  ASSERT_TRUE(TestCluster.declarePool("chat", "m", "1"));
  ASSERT_TRUE(awaitServing(TestCluster, "m@1")) << TestCluster.logs();
  // It lists agent 0, which is killed, and an unknown instance, and omits the
  // live ones.
  const std::string List = R"({"items":[{"name":"agent-0","state":"running"},)"
                           R"({"name":"agent-9","state":"leaving"}]})";
  ASSERT_EQ(statusOf(call(TestCluster.platform(), "PUT", "/_standin/instances",
                          List)),
            200U);
  TestCluster.agent(0).m_Process->signal(SIGKILL);
  const std::vector<Node *> Entries{&TestCluster.entry(0),
                                    &TestCluster.entry(1)};
  const std::vector<Node *> Live{&TestCluster.agent(1), &TestCluster.agent(2)};
  EXPECT_TRUE(awaitStates(Entries, {&TestCluster.agent(0)}, "gone"))
      << TestCluster.logs();
  const std::uint64_t Reads = counterOf(TestCluster.platform(), "instances");
  bool Revived = false;
  bool Killed = false;
  EXPECT_TRUE(eventually([&] {
    for (const Node *Each : Entries) {
      Revived = Revived || memberStateAt(*Each, "agent-0") != "gone";
      Killed = Killed || memberStateAt(*Each, "agent-1") == "gone";
    }
    return counterOf(TestCluster.platform(), "instances") >= Reads + 3;
  }));
  EXPECT_FALSE(Revived);
  EXPECT_FALSE(Killed);
  EXPECT_TRUE(awaitStates(Entries, {&TestCluster.agent(0)}, "gone"));
  EXPECT_TRUE(awaitStates(Entries, Live, "alive"));
  for (const Node *Each : Entries)
    EXPECT_EQ(memberStateAt(*Each, "agent-9"), "");
}

/// Pauses and resumes all processes of one data centre. This differs from a
/// network partition: paused processes neither act nor notice the pause, and
/// messages to them wait in socket buffers.
TEST(DeclarationsFaults, AResumedDataCentreAppliesTheCurrentDeclarations) {
  Cluster TestCluster({.m_Entries = 4,
                       .m_Engines = 4,
                       .m_DataCentres = {"lahore", "multan"},
                       .m_SpreadEntries = true});
  ASSERT_TRUE(TestCluster.start()) << TestCluster.failure();
  AppliedHistory Applied(TestCluster);
  PutResult Last = putPool(TestCluster, "1", 0);
  ASSERT_TRUE(Applied.awaitEverywhere(Last.m_Revision)) << TestCluster.logs();
  const std::vector<Node *> RunningNodes{
      &TestCluster.entry(0), &TestCluster.entry(2), &TestCluster.agent(0),
      &TestCluster.agent(2)};
  const std::vector<Node *> PausedNodes{
      &TestCluster.entry(1), &TestCluster.entry(3), &TestCluster.agent(1),
      &TestCluster.agent(3)};
  const std::vector<Node *> Observers{&TestCluster.entry(0),
                                      &TestCluster.entry(2)};
  for (Node *Each : PausedNodes)
    Each->m_Process->signal(SIGSTOP);
  EXPECT_TRUE(awaitStates(Observers, PausedNodes, "gone"))
      << TestCluster.logs();
  for (const char *Version : {"2", "3"}) {
    Last = putPool(TestCluster, Version, Last.m_Revision);
    ASSERT_EQ(Last.m_Status, 200U);
    EXPECT_TRUE(Applied.at(RunningNodes, Last.m_Revision))
        << TestCluster.logs();
  }
  for (Node *Each : PausedNodes)
    Each->m_Process->signal(SIGCONT);
  EXPECT_TRUE(Applied.awaitEverywhere(Last.m_Revision)) << TestCluster.logs();
  std::vector<Node *> All = RunningNodes;
  All.insert(All.end(), PausedNodes.begin(), PausedNodes.end());
  EXPECT_TRUE(awaitStates({&TestCluster.entry(0), &TestCluster.entry(1),
                           &TestCluster.entry(2), &TestCluster.entry(3)},
                          All, "alive"))
      << TestCluster.logs();
  EXPECT_TRUE(Applied.isMonotonic());
}

} // namespace
