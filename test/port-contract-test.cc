// Contract tests of the platform port, run against the HTTP adapter with the
// stand-in process and against the in-process fake.
#include "fake-platform.h"
#include "port-subjects.h"

#include <gmock/gmock.h>

using namespace deckpitch;
using namespace deckpitch::test;
using net::PlatformEvent;
using net::PlatformInstance;
using testing::ElementsAre;

namespace {

class HttpPlatformSubject : public HttpSubject<net::Platform> {
public:
  explicit HttpPlatformSubject(asio::io_context &) : HttpSubject("platform") {}

  void loseNextAnswer() { injectFaults(R"({"loseAnswers":1})"); }
  void compactHistory() { sendCommand("POST", "/_standin/compact", ""); }
  void setInstances(const std::vector<PlatformInstance> &List) {
    boost::json::array Items;
    for (const PlatformInstance &Each : List)
      Items.push_back(
          boost::json::object{{"name", Each.m_Name},
                              {"address", Each.m_Address},
                              {"dataCentre", Each.m_DataCentre},
                              {"state", Each.m_Leaving ? "leaving" : "live"}});
    const boost::json::object Body{{"items", std::move(Items)}};
    sendCommand("PUT", "/_standin/instances", boost::json::serialize(Body));
  }
};

class FakePlatformSubject : public FakePlatform {
public:
  using FakePlatform::FakePlatform;
  FakePlatform &port() { return *this; }
};

template <typename Subject> class PlatformContract : public testing::Test {
protected:
  using EventTexts = std::vector<std::string>;

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

  /// Returns the events of a watch on pools up to and including its first
  /// bookmark.
  EventTexts watch(Revision Since) {
    EventTexts Out;
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

TYPED_TEST(PlatformContract, UpdatesTheExpectedRevisionOnly) {
  EXPECT_EQ(codeOf(this->update({1}, "{}")), ErrorCode::NotFound);
  const auto First = this->create("pools", "a", R"({"x":1})");
  ASSERT_TRUE(First);
  const auto Second = this->update(*First, R"({"x":2})");
  ASSERT_TRUE(Second);
  EXPECT_LT(*First, *Second);
  EXPECT_EQ(codeOf(this->update(*First, R"({"x":3})")), ErrorCode::Conflict);
  EXPECT_EQ(this->read("a"), R"({"x":2})");
}

TYPED_TEST(PlatformContract, RemovesTheExpectedRevisionOnly) {
  const auto Remove = [this](Revision Expected) {
    return this->m_Loop.await(this->port().remove("pools", "a", Expected));
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

TYPED_TEST(PlatformContract, RefusesValuesThatAreNotJsonOrTooLarge) {
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

TYPED_TEST(PlatformContract, AnOpenWatchReportsAWrite) {
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

TYPED_TEST(PlatformContract, AWatchFromACompactedRevisionIsNotFound) {
  const auto At = this->create("pools", "a", "{}");
  ASSERT_TRUE(At);
  ASSERT_TRUE(this->update(*At, "{}"));
  this->m_Subject.compactHistory();
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

TYPED_TEST(PlatformContract, ReturnsTheListOfInstances) {
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

} // namespace
