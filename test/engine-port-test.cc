// Contract tests of the engine port, run against the HTTP adapter with the
// stand-in process and against the in-process fake.
#include "fake-engine.h"
#include "fake-origin.h"
#include "port-subjects.h"
#include "standins/content.h"

#include <gmock/gmock.h>

using namespace deckpitch;
using namespace deckpitch::test;
using testing::ElementsAre;

namespace {

class HttpEngineSubject : public HttpSubject<net::Engine> {
public:
  HttpEngineSubject() : HttpSubject("engine") {
    injectFaults(R"({"strictFencing":true})");
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

TYPED_TEST(EnginePortContract, LoadNeedsAFreeSlotAndUnloadReleasesOne) {
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

} // namespace
