// One contract for each port, held by the HTTP adapter over the stand-in and
// by the fake within this process.
#include "fake-engine.h"
#include "fake-origin.h"
#include "fake-platform.h"
#include "harness.h"
#include "net/adapters.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>
#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include <optional>

using namespace deckpitch;
using namespace deckpitch::test;
using net::PlatformEvent;
using net::PlatformInstance;
using testing::ElementsAre;

namespace {

namespace asio = boost::asio;

/// A stand-in process and the adapter that the registry gives for it.
template <typename Port> class OverHttp {
public:
  explicit OverHttp(const std::string &Kind)
      : m_Process("deckpitch-standins", {"--kind=" + Kind, "--engines=1",
                                         "--slots=1", "--strict_fencing=true"}),
        m_Address(m_Process.announcement().at("address").as_string().c_str()),
        m_Port(net::Adapters<Port>::make(m_Http, "http://" + m_Address)) {}

  Port &port() { return *m_Port; }
  void setOutage(bool On) { switchTo(On ? R"({"outage":true})" : "{}"); }
  void switchTo(const std::string &Faults) {
    EXPECT_TRUE(setFaults(m_Address, Faults));
  }
  void tell(const std::string &Method, const std::string &Target,
            const std::string &Body) {
    EXPECT_EQ(statusOf(call(m_Address, Method, Target, Body)), 200U);
  }

private:
  Child m_Process;
  std::string m_Address;
  net::HttpClient m_Http;
  std::unique_ptr<Port> m_Port;
};

/// Runs coroutines of the port one after another.
class Loop {
public:
  asio::io_context &io() { return m_Io; }

  template <typename T> T await(asio::awaitable<T> Work) {
    std::optional<T> Out;
    auto Run = [&]() -> asio::awaitable<void> {
      Out.emplace(co_await std::move(Work));
    };
    asio::co_spawn(m_Io, Run, asio::detached);
    runUntil([&] { return Out.has_value(); });
    return std::move(*Out);
  }

  template <typename Condition> void runUntil(Condition Holds) {
    m_Io.restart();
    while (!Holds())
      m_Io.run_one();
  }

private:
  asio::io_context m_Io;
};

template <typename T> ErrorCode codeOf(const Outcome<T> &Got) {
  EXPECT_TRUE(Got.has_error());
  return Got.has_error() ? Got.error().m_Code : ErrorCode::Unsupported;
}

class HttpPlatformSubject : public OverHttp<net::Platform> {
public:
  explicit HttpPlatformSubject(asio::io_context &) : OverHttp("platform") {}

  void loseNextAnswer() { switchTo(R"({"loseAnswers":1})"); }
  void forgetHistory() { tell("POST", "/_standin/compact", ""); }
  void setInstances(const std::vector<PlatformInstance> &List) {
    boost::json::array Items;
    for (const PlatformInstance &Each : List)
      Items.push_back(
          boost::json::object{{"name", Each.m_Name},
                              {"address", Each.m_Address},
                              {"dataCentre", Each.m_DataCentre},
                              {"state", Each.m_Leaving ? "leaving" : "live"}});
    const boost::json::object Body{{"items", std::move(Items)}};
    tell("PUT", "/_standin/instances", boost::json::serialize(Body));
  }
};

class FakePlatformSubject : public FakePlatform {
public:
  using FakePlatform::FakePlatform;
  FakePlatform &port() { return *this; }
};

template <typename Subject> class PlatformContract : public testing::Test {
protected:
  using Seen = std::vector<std::string>;

  auto &port() { return m_Subject.port(); }

  Outcome<Revision> create(const std::string &Kind, const std::string &Name,
                           const std::string &Json) {
    return m_Loop.await(port().create(Kind, Name, Json));
  }
  Outcome<Revision> update(Revision At, const std::string &Json) {
    return m_Loop.await(port().update({"pools", "a", At, Json}));
  }
  std::string read(const std::string &Name) {
    const auto Got = m_Loop.await(port().get("pools", Name));
    return Got ? Got->m_Json : "";
  }

  static std::string textOf(const PlatformEvent &Event) {
    static constexpr std::array Types{"put", "delete", "bookmark"};
    const std::string Name = Event.m_Object.m_Name;
    return std::string(Types[static_cast<std::size_t>(Event.m_Type)]) +
           (Name.empty() ? "" : " " + Name + Event.m_Object.m_Json);
  }

  /// What a watch over pools tells up to its first bookmark.
  Seen watch(Revision Since) {
    Seen Out;
    const auto OnEvent = [&Out](const PlatformEvent &Event) {
      Out.push_back(textOf(Event));
      return Event.m_Type != PlatformEvent::Type::Bookmark;
    };
    m_WatchEnd = m_Loop.await(port().watch({"pools"}, Since, OnEvent));
    return Out;
  }

  Loop m_Loop;
  Subject m_Subject{m_Loop.io()};
  Error m_WatchEnd;
};

using PlatformSubjects =
    testing::Types<HttpPlatformSubject, FakePlatformSubject>;
TYPED_TEST_SUITE(PlatformContract, PlatformSubjects);

TYPED_TEST(PlatformContract, CreatesOnce) {
  const auto At = this->create("pools", "a", R"({"x":1})");
  ASSERT_TRUE(At);
  EXPECT_EQ(codeOf(this->create("pools", "a", "{}")), ErrorCode::Conflict);
  const auto Got = this->m_Loop.await(this->port().get("pools", "a"));
  ASSERT_TRUE(Got);
  EXPECT_EQ(*Got, (net::PlatformObject{"pools", "a", *At, R"({"x":1})"}));
}

TYPED_TEST(PlatformContract, UpdatesTheSeenRevisionOnly) {
  EXPECT_EQ(codeOf(this->update({1}, "{}")), ErrorCode::NotFound);
  const auto First = this->create("pools", "a", R"({"x":1})");
  ASSERT_TRUE(First);
  const auto Second = this->update(*First, R"({"x":2})");
  ASSERT_TRUE(Second);
  EXPECT_LT(*First, *Second);
  EXPECT_EQ(codeOf(this->update(*First, R"({"x":3})")), ErrorCode::Conflict);
  EXPECT_EQ(this->read("a"), R"({"x":2})");
}

TYPED_TEST(PlatformContract, RemovesTheSeenRevisionOnly) {
  const auto Remove = [this](Revision Seen) {
    return this->m_Loop.await(this->port().remove("pools", "a", Seen));
  };
  EXPECT_EQ(codeOf(Remove({1})), ErrorCode::NotFound);
  const auto At = this->create("pools", "a", "{}");
  ASSERT_TRUE(At);
  EXPECT_EQ(codeOf(Remove({At->m_Value + 1})), ErrorCode::Conflict);
  const auto Removed = Remove(*At);
  ASSERT_TRUE(Removed);
  EXPECT_LT(*At, *Removed);
  EXPECT_EQ(codeOf(this->m_Loop.await(this->port().get("pools", "a"))),
            ErrorCode::NotFound);
}

TYPED_TEST(PlatformContract, RefusesValuesThatAreNoJsonOrTooLarge) {
  EXPECT_EQ(codeOf(this->create("pools", "a", "{")), ErrorCode::InvalidInput);
  const std::string Limit(1024 * 1024 - 2, 'x');
  EXPECT_EQ(codeOf(this->create("pools", "a", "\"x" + Limit + "\"")),
            ErrorCode::InvalidInput);
  EXPECT_TRUE(this->create("pools", "a", "\"" + Limit + "\""));
}

TYPED_TEST(PlatformContract, ListsAKindAsOfOneRevision) {
  ASSERT_TRUE(this->create("pools", "a", "{}"));
  ASSERT_TRUE(this->create("pools", "b", "{}"));
  const auto Newest = this->create("leases", "c", "{}");
  ASSERT_TRUE(Newest);
  const auto List = this->m_Loop.await(this->port().list("pools"));
  ASSERT_TRUE(List);
  EXPECT_EQ(List->m_Revision, *Newest);
  ASSERT_EQ(List->m_Items.size(), 2U);
  EXPECT_EQ(List->m_Items[0].m_Name, "a");
  EXPECT_EQ(List->m_Items[1].m_Name, "b");
  const auto None = this->m_Loop.await(this->port().list("claims"));
  ASSERT_TRUE(None);
  EXPECT_TRUE(None->m_Items.empty());
}

TYPED_TEST(PlatformContract, AWatchContinuesFromARevision) {
  const auto First = this->create("pools", "a", R"({"x":1})");
  ASSERT_TRUE(First);
  ASSERT_TRUE(this->create("leases", "c", "{}"));
  const auto Second = this->update(*First, R"({"x":2})");
  ASSERT_TRUE(Second);
  ASSERT_TRUE(this->m_Loop.await(this->port().remove("pools", "a", *Second)));
  EXPECT_THAT(this->watch({0}),
              ElementsAre(R"(put a{"x":1})", R"(put a{"x":2})", "delete a",
                          "bookmark"));
  EXPECT_THAT(this->watch(*First),
              ElementsAre(R"(put a{"x":2})", "delete a", "bookmark"));
  EXPECT_EQ(this->m_WatchEnd.m_Code, ErrorCode::Unavailable);
}

TYPED_TEST(PlatformContract, AnOpenWatchTellsAWrite) {
  std::vector<std::string> Seen;
  std::optional<Error> End;
  auto Follow = [&]() -> asio::awaitable<void> {
    const std::vector<std::string> Kinds{"pools"};
    const std::function<bool(PlatformEvent)> OnEvent =
        [&Seen](const PlatformEvent &Event) {
          Seen.push_back(TestFixture::textOf(Event));
          return Event.m_Type != PlatformEvent::Type::Put;
        };
    End = co_await this->port().watch(Kinds, Revision(), OnEvent);
  };
  asio::co_spawn(this->m_Loop.io(), Follow, asio::detached);
  this->m_Loop.runUntil([&] { return !Seen.empty(); });
  EXPECT_EQ(Seen.front(), "bookmark");
  ASSERT_TRUE(this->create("pools", "a", "{}"));
  this->m_Loop.runUntil([&] { return End.has_value(); });
  EXPECT_EQ(Seen.back(), "put a{}");
}

TYPED_TEST(PlatformContract, AWatchThatIsTooOldIsNotFound) {
  const auto At = this->create("pools", "a", "{}");
  ASSERT_TRUE(At);
  ASSERT_TRUE(this->update(*At, "{}"));
  this->m_Subject.forgetHistory();
  EXPECT_TRUE(this->watch(*At).empty());
  EXPECT_EQ(this->m_WatchEnd.m_Code, ErrorCode::NotFound);
}

TYPED_TEST(PlatformContract, AnOutageIsUnavailableForReadsAndUnknownForWrites) {
  const auto At = this->create("pools", "a", "{}");
  ASSERT_TRUE(At);
  this->m_Subject.setOutage(true);
  EXPECT_EQ(codeOf(this->m_Loop.await(this->port().get("pools", "a"))),
            ErrorCode::Unavailable);
  EXPECT_EQ(codeOf(this->m_Loop.await(this->port().list("pools"))),
            ErrorCode::Unavailable);
  EXPECT_EQ(codeOf(this->m_Loop.await(this->port().instances())),
            ErrorCode::Unavailable);
  EXPECT_EQ(codeOf(this->update(*At, R"({"x":2})")), ErrorCode::Timeout);
  EXPECT_TRUE(this->watch(*At).empty());
  EXPECT_EQ(this->m_WatchEnd.m_Code, ErrorCode::Unavailable);
  this->m_Subject.setOutage(false);
  EXPECT_EQ(this->read("a"), "{}");
}

TYPED_TEST(PlatformContract, ALostAnswerIsUnknownAndReadBackShowsTheEffect) {
  const auto At = this->create("pools", "a", "{}");
  ASSERT_TRUE(At);
  this->m_Subject.loseNextAnswer();
  EXPECT_EQ(codeOf(this->update(*At, R"({"x":2})")), ErrorCode::Timeout);
  EXPECT_EQ(this->read("a"), R"({"x":2})");
}

TYPED_TEST(PlatformContract, GivesTheListOfInstances) {
  this->m_Subject.setInstances(
      {{"i", "127.0.0.1:1", "lahore", false}, {"j", "", "multan", true}});
  const auto List = this->m_Loop.await(this->port().instances());
  ASSERT_TRUE(List);
  ASSERT_EQ(List->size(), 2U);
  EXPECT_EQ(List->front().m_Address, "127.0.0.1:1");
  EXPECT_EQ(List->front().m_DataCentre, "lahore");
  EXPECT_FALSE(List->front().m_Leaving);
  EXPECT_EQ(List->back().m_Name, "j");
  EXPECT_TRUE(List->back().m_Leaving);
}

TYPED_TEST(PlatformContract, CountsCallsWhateverTheirOutcome) {
  ASSERT_TRUE(this->create("pools", "a", "{}"));
  EXPECT_EQ(this->read("none"), "");
  this->watch({0});
  EXPECT_EQ(this->port().calls(), 3U);
}

class HttpOriginSubject : public OverHttp<net::Origin> {
public:
  HttpOriginSubject() : OverHttp("origin") {}

  void add(const WeightsId &Weights, std::uint64_t Bytes,
           std::uint32_t ChunkBytes, std::uint64_t Seed) {
    const boost::json::object Body{
        {"bytes", Bytes}, {"chunkBytes", ChunkBytes}, {"seed", Seed}};
    tell("PUT", "/_standin/weights/" + Weights.m_Text,
         boost::json::serialize(Body));
  }
};

class FakeOriginSubject : public FakeOrigin {
public:
  FakeOrigin &port() { return *this; }
};

template <typename Subject> class OriginPortContract : public testing::Test {
protected:
  static constexpr std::uint64_t Bytes = 100;
  static constexpr std::uint32_t ChunkBytes = 40;

  void SetUp() override { m_Subject.add(m_Weights, Bytes, ChunkBytes, 7); }

  Outcome<Manifest> manifest(const WeightsId &Of) {
    return m_Loop.await(m_Subject.port().manifest(Of));
  }
  Outcome<net::OriginChunk> chunk(const Manifest &Of, std::uint32_t Index) {
    const net::OriginPace Paced =
        [this](std::size_t Count) -> asio::awaitable<void> {
      m_Paced += Count;
      co_return;
    };
    return m_Loop.await(m_Subject.port().chunk(Of, Index, Paced));
  }

  const WeightsId m_Weights{"m@1"};
  Loop m_Loop;
  Subject m_Subject;
  std::size_t m_Paced = 0;
};

using OriginSubjects = testing::Types<HttpOriginSubject, FakeOriginSubject>;
TYPED_TEST_SUITE(OriginPortContract, OriginSubjects);

TYPED_TEST(OriginPortContract, GivesAManifestAndChunksThatMatchIt) {
  const auto Of = this->manifest(this->m_Weights);
  ASSERT_TRUE(Of);
  EXPECT_EQ(Of->m_Weights, this->m_Weights);
  ASSERT_EQ(Of->chunkCount(), 3U);
  std::string Content;
  for (std::uint32_t I = 0; I < Of->chunkCount(); ++I) {
    const auto Chunk = this->chunk(*Of, I);
    ASSERT_TRUE(Chunk);
    Content += Chunk->m_Bytes;
    EXPECT_EQ(Chunk->m_Bytes.size(), Of->chunkLength(I));
    EXPECT_NE(Chunk->m_Tag.find(toHex(Of->m_Whole)), std::string::npos);
  }
  EXPECT_EQ(Content, standins::contentBytes(7, 0, this->Bytes));
  EXPECT_EQ(this->m_Paced, this->Bytes);
}

TYPED_TEST(OriginPortContract, UnknownWeightsAreNotFound) {
  EXPECT_EQ(codeOf(this->manifest(WeightsId{"m@2"})), ErrorCode::NotFound);
  auto Of = this->manifest(this->m_Weights);
  ASSERT_TRUE(Of);
  Of->m_Weights = WeightsId{"m@2"};
  EXPECT_EQ(codeOf(this->chunk(*Of, 0)), ErrorCode::NotFound);
}

TYPED_TEST(OriginPortContract, AnOutageIsUnavailable) {
  const auto Of = this->manifest(this->m_Weights);
  ASSERT_TRUE(Of);
  this->m_Subject.setOutage(true);
  EXPECT_EQ(codeOf(this->manifest(this->m_Weights)), ErrorCode::Unavailable);
  EXPECT_EQ(codeOf(this->chunk(*Of, 0)), ErrorCode::Unavailable);
  this->m_Subject.setOutage(false);
  EXPECT_TRUE(this->chunk(*Of, 0));
}

class HttpEngineSubject : public OverHttp<net::Engine> {
public:
  HttpEngineSubject() : OverHttp("engine") {
    switchTo(R"({"strictFencing":true})");
  }
};

class FakeEngineSubject : public FakeEngine {
public:
  FakeEngineSubject() : FakeEngine(1) {}
  FakeEngine &port() { return *this; }
};

template <typename Subject> class EnginePortContract : public testing::Test {
protected:
  auto &port() { return m_Subject.port(); }

  Manifest manifestOf(const WeightsId &Weights) {
    FakeOrigin Origin;
    Origin.add(Weights, 20, 10, 7);
    return *m_Loop.await(Origin.manifest(Weights));
  }
  void stage(const WeightsId &Weights, std::uint32_t Index) {
    const std::uint64_t Offset = std::uint64_t{Index} * 10;
    EXPECT_TRUE(m_Loop.await(
        port().stage(Weights, Index, standins::contentBytes(7, Offset, 10))));
  }
  void stageBoth(const WeightsId &Weights) {
    stage(Weights, 0);
    stage(Weights, 1);
  }
  Outcome<bool> load(const WeightsId &Weights, std::uint64_t Fence = 1) {
    return m_Loop.await(port().load(manifestOf(Weights), {Fence}));
  }
  EngineStatus status() {
    const auto Got = m_Loop.await(port().status());
    EXPECT_TRUE(Got);
    return Got ? *Got : EngineStatus();
  }

  const WeightsId m_Weights{"m@1"};
  Loop m_Loop;
  Subject m_Subject;
};

using EngineSubjects = testing::Types<HttpEngineSubject, FakeEngineSubject>;
TYPED_TEST_SUITE(EnginePortContract, EngineSubjects);

TYPED_TEST(EnginePortContract, KeepsStagedChunks) {
  EXPECT_EQ(codeOf(this->m_Loop.await(this->port().staged(this->m_Weights, 1))),
            ErrorCode::NotFound);
  this->stage(this->m_Weights, 1);
  const auto Got = this->m_Loop.await(this->port().staged(this->m_Weights, 1));
  ASSERT_TRUE(Got);
  EXPECT_EQ(*Got, standins::contentBytes(7, 10, 10));
  EXPECT_THAT(this->status().m_Staging,
              ElementsAre(StagedWeights{this->m_Weights, {1}}));
  EXPECT_TRUE(this->m_Loop.await(this->port().dropStaging(this->m_Weights)));
  EXPECT_TRUE(this->status().m_Staging.empty());
}

TYPED_TEST(EnginePortContract, LoadsOnlyWhatMatchesItsManifest) {
  this->stage(this->m_Weights, 0);
  EXPECT_EQ(codeOf(this->load(this->m_Weights)), ErrorCode::CorruptData);
  EXPECT_TRUE(this->m_Loop.await(
      this->port().stage(this->m_Weights, 1, std::string(10, 'x'))));
  EXPECT_EQ(codeOf(this->load(this->m_Weights)), ErrorCode::CorruptData);
  this->stage(this->m_Weights, 1);
  EXPECT_TRUE(this->load(this->m_Weights));
  const Digest Whole = this->manifestOf(this->m_Weights).m_Whole;
  EXPECT_THAT(this->status().m_Loaded,
              ElementsAre(LoadedWeights{this->m_Weights, Whole, false}));
}

TYPED_TEST(EnginePortContract, ActivatesWhatIsLoaded) {
  const auto Activate = [this] {
    return this->m_Loop.await(this->port().activate(this->m_Weights, {1}));
  };
  EXPECT_EQ(codeOf(Activate()), ErrorCode::NotFound);
  this->stageBoth(this->m_Weights);
  ASSERT_TRUE(this->load(this->m_Weights));
  EXPECT_TRUE(Activate());
  const EngineStatus Status = this->status();
  ASSERT_NE(Status.active(), nullptr);
  EXPECT_EQ(Status.active()->m_Weights, this->m_Weights);
}

TYPED_TEST(EnginePortContract, RefusesAnOrderWithAnOldFencingNumber) {
  this->stageBoth(this->m_Weights);
  ASSERT_TRUE(this->load(this->m_Weights, 5));
  EXPECT_EQ(
      codeOf(this->m_Loop.await(this->port().activate(this->m_Weights, {4}))),
      ErrorCode::StaleFence);
  const EngineStatus Status = this->status();
  EXPECT_EQ(Status.active(), nullptr);
  EXPECT_EQ(Status.m_Fence, FencingNumber{5});
}

TYPED_TEST(EnginePortContract, NeedsAFreeSlotWhichUnloadGives) {
  const WeightsId Next{"m@2"};
  this->stageBoth(this->m_Weights);
  this->stageBoth(Next);
  ASSERT_TRUE(this->load(this->m_Weights));
  EXPECT_EQ(codeOf(this->load(Next)), ErrorCode::Unavailable);
  EXPECT_TRUE(this->m_Loop.await(this->port().unload(this->m_Weights, {1})));
  EXPECT_THAT(this->status().m_Staging,
              ElementsAre(StagedWeights{Next, {0, 1}}));
  EXPECT_TRUE(this->load(Next));
}

TEST(Adapters, AreFoundByTheAddressesScheme) {
  using Known = net::Adapters<net::Platform>;
  using net::PortAddress;
  EXPECT_EQ(net::parsePortAddress("127.0.0.1:1"),
            (PortAddress{"http", "127.0.0.1:1"}));
  EXPECT_EQ(net::parsePortAddress("store://a/b"),
            (PortAddress{"store", "a/b"}));
  EXPECT_TRUE(Known::knows("127.0.0.1:1"));
  EXPECT_TRUE(Known::knows("http://127.0.0.1:1"));
  EXPECT_FALSE(Known::knows("store://a"));
  net::HttpClient Http;
  EXPECT_EQ(Known::make(Http, "store://a"), nullptr);
  EXPECT_NE(Known::make(Http, "127.0.0.1:1"), nullptr);
}

/// A port of the test's own, with an adapter of another scheme.
class Place {
public:
  virtual ~Place() = default;
  virtual std::string rest() const = 0;
};

class ElsewherePlace final : public Place {
public:
  ElsewherePlace(net::HttpClient &, std::string Rest)
      : m_Rest(std::move(Rest)) {}
  std::string rest() const override { return m_Rest; }

private:
  std::string m_Rest;
};

const net::AdapterRegistration<Place, ElsewherePlace>
    RegisteredElsewhere("elsewhere");

TEST(Adapters, OneThatRegistersItselfIsMadeForItsScheme) {
  net::HttpClient Http;
  const auto Made = net::Adapters<Place>::make(Http, "elsewhere://a/b?c");
  ASSERT_NE(Made, nullptr);
  EXPECT_EQ(Made->rest(), "a/b?c");
  EXPECT_EQ(net::Adapters<Place>::schemes(), "elsewhere");
  EXPECT_EQ(net::Adapters<Place>::make(Http, "127.0.0.1:1"), nullptr);
}

} // namespace
