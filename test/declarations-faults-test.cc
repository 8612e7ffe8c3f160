// Declarations and leases under faults of real processes, judged by each
// process's whole history and by the orders that the engines received.
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

struct Order {
  std::string m_Name;
  std::string m_Weights;
  std::uint64_t m_Fence = 0;
  unsigned m_Status = 0;
};

/// Every order that the engine received, in order.
std::vector<Order> ordersOf(const StandInNode &Engine) {
  std::vector<Order> Out;
  const json::value Told =
      jsonOf(call(Engine.m_Address, "GET", "/_standin/orders"));
  if (!Told.is_array())
    return Out;
  for (const json::value &Each : Told.get_array()) {
    const json::object &Given = Each.at("order").as_object();
    const json::value *Weights = Given.if_contains("weights");
    Out.push_back({Given.at("order").as_string().c_str(),
                   Weights ? Weights->as_string().c_str() : "",
                   Given.at("fence").to_number<std::uint64_t>(),
                   Each.at("status").to_number<unsigned>()});
  }
  return Out;
}

/// Fencing numbers never shrink, and once weights were ordered active, those
/// before them are never loaded or activated again.
testing::AssertionResult neverWentBack(const StandInNode &Engine,
                                       const std::vector<std::string> &Path) {
  std::uint64_t Fence = 0;
  std::size_t Reached = 0;
  for (const Order &Each : ordersOf(Engine)) {
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

/// Declares the pool for all engines; gives its revision, or 0.
std::uint64_t declared(Cluster &Under, const std::string &Version,
                       std::size_t Entry = 0) {
  if (!Under.declarePool("chat", "m", Version, Entry))
    return 0;
  // At the platform: an entry's own replica may still be behind.
  const json::value Object =
      jsonOf(call(Under.platform(), "GET", "/v1/objects/pools/chat"));
  const json::value *Revision =
      Object.is_object() ? Object.get_object().if_contains("revision")
                         : nullptr;
  return Revision ? Revision->to_number<std::uint64_t>() : 0;
}

bool serving(Cluster &Under, const std::string &Weights) {
  return eventually(
      [&] { return Under.enginesServing(Weights) == Under.engines(); });
}

class PausedAssigner : public testing::TestWithParam<bool> {};

/// The holder is paused in the time in which a new one lets its view fill: it
/// knows version 1 and has not assigned it yet, so on waking up it has an
/// assignment of its own to write.
TEST_P(PausedAssigner, WakesUpAndGivesNoOrderThatTakesEffect) {
  Cluster Under(
      {.m_Entries = 3, .m_Engines = 2, .m_StrictFencing = GetParam()});
  ASSERT_TRUE(Under.start()) << Under.failure();
  ASSERT_TRUE(
      eventually([&] { return leaseHolder(Under, "assigner").has_value(); }));
  const std::size_t Paused = *leaseHolder(Under, "assigner");
  History Seen(Under);
  const std::uint64_t One = declared(Under, "1", Paused);
  ASSERT_TRUE(Seen.at({&Under.entry(Paused)}, One)) << Under.logs();
  Under.entry(Paused).m_Process->signal(SIGSTOP);
  for (int I = 1; I <= 3; ++I)
    Under.addWeights("m@" + std::to_string(I), WeightBytes, ChunkBytes, I);
  ASSERT_TRUE(eventually([&] {
    return leaseHolder(Under, "assigner", Paused).has_value();
  })) << Under.logs();
  const std::size_t Next = *leaseHolder(Under, "assigner", Paused);
  ASSERT_TRUE(serving(Under, "m@1")) << Under.logs();
  const std::uint64_t Two = declared(Under, "2", Next);
  ASSERT_NE(Two, 0U);
  ASSERT_TRUE(serving(Under, "m@2")) << Under.logs();
  Under.entry(Paused).m_Process->signal(SIGCONT);
  ASSERT_TRUE(Seen.everywhere(Two)) << Under.logs();
  // What it did on waking up has its effect before this has.
  ASSERT_NE(declared(Under, "3", Next), 0U);
  ASSERT_TRUE(serving(Under, "m@3")) << Under.logs();
  for (std::size_t I = 0; I < Under.engines(); ++I) {
    EXPECT_TRUE(neverWentBack(Under.engine(I), {"m@1", "m@2", "m@3"}));
    EXPECT_EQ(counterOf(Under.engine(I).m_Address, "staleOrders"), 0U);
  }
  EXPECT_TRUE(Seen.grew());
}

INSTANTIATE_TEST_SUITE_P(Engines, PausedAssigner, testing::Bool(),
                         [](const auto &Info) {
                           return Info.param ? "Strict" : "Lax";
                         });

TEST(DeclarationsFaults, AVersionChangedTwiceWithinOneRollout) {
  Cluster Under({.m_Entries = 2, .m_Engines = 3});
  ASSERT_TRUE(Under.start()) << Under.failure();
  for (int I = 1; I <= 3; ++I)
    Under.addWeights("m@" + std::to_string(I), WeightBytes * 8, ChunkBytes, I);
  History Seen(Under);
  ASSERT_NE(declared(Under, "1"), 0U);
  ASSERT_TRUE(serving(Under, "m@1")) << Under.logs();
  ASSERT_TRUE(setFaults(Under.origin(), R"({"bytesPerSecond":1048576})"));
  const std::uint64_t Sent = counterOf(Under.origin(), "bytes");
  ASSERT_NE(declared(Under, "2"), 0U);
  ASSERT_TRUE(eventually(
      [&] { return counterOf(Under.origin(), "bytes") > Sent + ChunkBytes; }));
  ASSERT_EQ(Under.enginesServing("m@2"), 0U); // the rollout is under way
  const std::uint64_t Last = declared(Under, "3", 1);
  ASSERT_NE(Last, 0U);
  ASSERT_TRUE(serving(Under, "m@3")) << Under.logs();
  EXPECT_TRUE(Seen.everywhere(Last));
  for (std::size_t I = 0; I < Under.engines(); ++I)
    EXPECT_TRUE(neverWentBack(Under.engine(I), {"m@1", "m@2", "m@3"}));
  EXPECT_TRUE(Seen.grew());
}

TEST(DeclarationsFaults, GoingBackToAnOlderVersionIsANewerDeclaration) {
  Cluster Under({.m_Entries = 2, .m_Engines = 2});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", WeightBytes, ChunkBytes, 1);
  Under.addWeights("m@2", WeightBytes, ChunkBytes, 2);
  History Seen(Under);
  std::uint64_t Last = 0;
  for (const char *Version : {"1", "2", "1"}) {
    Last = declared(Under, Version);
    ASSERT_NE(Last, 0U);
    ASSERT_TRUE(serving(Under, std::string("m@") + Version)) << Under.logs();
  }
  EXPECT_TRUE(Seen.everywhere(Last));
  EXPECT_TRUE(Seen.grew());
}

/// The rest of the fleet has gone to a release that knows more keys.
TEST(DeclarationsFaults, AProcessOfAnOlderReleaseAppliesWhatItKnows) {
  Cluster Under({.m_Entries = 2, .m_Engines = 2});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", WeightBytes, ChunkBytes);
  const std::string Newer =
      R"({"name":"chat","kind":"engine","model":"m","version":"1",)"
      R"("readiness":[{"dataCentre":"lahore","ready":2}],)"
      R"("later":{"key":[1,2]}})";
  net::HttpHeaders Headers;
  Headers.add("If-None-Match", "*");
  const auto Stored =
      call(Under.platform(), "PUT", "/v1/objects/pools/chat", Newer, Headers);
  ASSERT_EQ(statusOf(Stored), 201U);
  History Seen(Under);
  EXPECT_TRUE(
      Seen.everywhere(jsonOf(Stored).at("revision").to_number<unsigned>()));
  EXPECT_TRUE(serving(Under, "m@1")) << Under.logs();
  EXPECT_TRUE(Seen.grew());
  const auto Kept = call(Under.platform(), "GET", "/v1/objects/pools/chat");
  ASSERT_TRUE(Kept);
  EXPECT_NE(Kept->m_Body.find(R"("later":{"key":[1,2]})"), std::string::npos);
}

std::string stateAt(const Node &Entry, const std::string &Instance) {
  const json::value Dump = moduleDump(Entry, "membership");
  if (!Dump.is_object())
    return {};
  const auto *Found = Dump.at("members").as_object().if_contains(Instance);
  return Found ? Found->at("state").as_string().c_str() : "";
}

/// Whether all those entries have that state of all those instances.
bool seen(const std::vector<Node *> &At, const std::vector<Node *> &Of,
          const std::string &State) {
  return eventually([&] {
    return std::all_of(At.begin(), At.end(), [&](const Node *Entry) {
      return std::all_of(Of.begin(), Of.end(), [&](const Node *Each) {
        return stateAt(*Entry, Each->m_Instance) == State;
      });
    });
  });
}

TEST(DeclarationsFaults, AnInstanceListThatIsWrongBothWaysMovesNobody) {
  Cluster Under({.m_Entries = 2, .m_Engines = 3});
  ASSERT_TRUE(Under.start()) << Under.failure();
  Under.addWeights("m@1", WeightBytes, ChunkBytes);
  ASSERT_TRUE(Under.declarePool("chat", "m", "1"));
  ASSERT_TRUE(serving(Under, "m@1")) << Under.logs();
  // It names the dead agent 0 and one that never was; it misses the others.
  const std::string List = R"({"items":[{"name":"agent-0","state":"running"},)"
                           R"({"name":"agent-9","state":"leaving"}]})";
  ASSERT_EQ(
      statusOf(call(Under.platform(), "PUT", "/_standin/instances", List)),
      200U);
  Under.agent(0).m_Process->signal(SIGKILL);
  const std::vector<Node *> Entries{&Under.entry(0), &Under.entry(1)};
  const std::vector<Node *> Live{&Under.agent(1), &Under.agent(2)};
  EXPECT_TRUE(seen(Entries, {&Under.agent(0)}, "gone")) << Under.logs();
  const std::uint64_t Reads = counterOf(Under.platform(), "instances");
  bool Revived = false;
  bool Killed = false;
  EXPECT_TRUE(eventually([&] {
    for (const Node *Each : Entries) {
      Revived = Revived || stateAt(*Each, "agent-0") != "gone";
      Killed = Killed || stateAt(*Each, "agent-1") == "gone";
    }
    return counterOf(Under.platform(), "instances") >= Reads + 3;
  }));
  EXPECT_FALSE(Revived);
  EXPECT_FALSE(Killed);
  EXPECT_TRUE(seen(Entries, {&Under.agent(0)}, "gone"));
  EXPECT_TRUE(seen(Entries, Live, "alive"));
  for (const Node *Each : Entries)
    EXPECT_EQ(stateAt(*Each, "agent-9"), "");
}

/// All processes of one data centre stop and go on. This is no cut of the
/// network: the frozen ones neither act nor notice, and what others sent them
/// waits in buffers.
TEST(DeclarationsFaults, AFrozenDataCentreComesBackToWhatIsInForce) {
  Cluster Under({.m_Entries = 4,
                 .m_Engines = 4,
                 .m_DataCentres = {"lahore", "multan"},
                 .m_SpreadEntries = true});
  ASSERT_TRUE(Under.start()) << Under.failure();
  History Seen(Under);
  Written Last = putPool(Under, "1", 0);
  ASSERT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  const std::vector<Node *> Awake{&Under.entry(0), &Under.entry(2),
                                  &Under.agent(0), &Under.agent(2)};
  const std::vector<Node *> Frozen{&Under.entry(1), &Under.entry(3),
                                   &Under.agent(1), &Under.agent(3)};
  const std::vector<Node *> Watching{&Under.entry(0), &Under.entry(2)};
  for (Node *Each : Frozen)
    Each->m_Process->signal(SIGSTOP);
  EXPECT_TRUE(seen(Watching, Frozen, "gone")) << Under.logs();
  for (const char *Version : {"2", "3"}) {
    Last = putPool(Under, Version, Last.m_Revision);
    ASSERT_EQ(Last.m_Status, 200U);
    EXPECT_TRUE(Seen.at(Awake, Last.m_Revision)) << Under.logs();
  }
  for (Node *Each : Frozen)
    Each->m_Process->signal(SIGCONT);
  EXPECT_TRUE(Seen.everywhere(Last.m_Revision)) << Under.logs();
  std::vector<Node *> All = Awake;
  All.insert(All.end(), Frozen.begin(), Frozen.end());
  EXPECT_TRUE(
      seen({&Under.entry(0), &Under.entry(1), &Under.entry(2), &Under.entry(3)},
           All, "alive"))
      << Under.logs();
  EXPECT_TRUE(Seen.grew());
}

} // namespace
