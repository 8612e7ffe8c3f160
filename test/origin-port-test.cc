// Contract tests of the origin port, run against the HTTP adapter with the
// stand-in process and against the in-process fake.
#include "fake-origin.h"
#include "port-subjects.h"

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

class HttpOriginSubject : public HttpSubject<net::Origin> {
public:
  HttpOriginSubject() : HttpSubject("origin") {}

  void add(const WeightsId &Weights, std::uint64_t Bytes,
           std::uint32_t ChunkBytes, std::uint64_t Seed) {
    const boost::json::object Body{
        {"bytes", Bytes}, {"chunkBytes", ChunkBytes}, {"seed", Seed}};
    sendCommand("PUT", "/_standin/weights/" + Weights.m_Text,
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
    const net::OriginPacer Pacer =
        [this](std::size_t Count) -> asio::awaitable<void> {
      m_PacedBytes += Count;
      co_return;
    };
    return m_Loop.await(m_Subject.port().chunk(Of, Index, Pacer));
  }

  const WeightsId m_Weights{"m@1"};
  Loop m_Loop;
  Subject m_Subject;
  std::size_t m_PacedBytes = 0;
};

using OriginSubjects = testing::Types<HttpOriginSubject, FakeOriginSubject>;
TYPED_TEST_SUITE(OriginPortContract, OriginSubjects);

TYPED_TEST(OriginPortContract, ReturnsAManifestAndChunksThatMatchIt) {
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
  EXPECT_EQ(this->m_PacedBytes, this->Bytes);
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

} // namespace
