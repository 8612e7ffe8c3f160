#include "daemon/weights-copy.h"

#include "fake-engine.h"
#include "fake-origin.h"
#include "net/address.h"
#include "port-subjects.h"

using namespace deckpitch;
using namespace deckpitch::test;

namespace {

using asio::ip::tcp;
using daemon::WeightsCopy;

constexpr std::uint32_t ChunkBytes = 16;
constexpr std::uint32_t Chunks = 8;
const WeightsId Weights{"m@2"};

/// A copy that calls one peer, which is the test.
class Copying : public testing::Test {
protected:
  Copying() {
    m_Settings.m_Instance.m_Text = "self";
    m_Settings.m_DataCentre.m_Text = "lahore";
    auto Origin = std::make_unique<FakeOrigin>();
    Origin->add(Weights, std::uint64_t{Chunks} * ChunkBytes, ChunkBytes, 1);
    m_Manifest = *m_Loop.await(Origin->manifest(Weights));
    m_Context.m_Origin = std::move(Origin);
    m_Context.m_Uplink =
        std::make_shared<daemon::Uplink>(m_Loop.io(), m_Context.m_Link.m_Up);
    m_Context.m_Uplink->start();
    SwarmOptions Options;
    Options.m_OriginWindow = Chunks;
    m_Copy = std::make_shared<WeightsCopy>(m_Context, m_Manifest, Options);
    m_Copy->setInstances({{"self"}});
  }
  ~Copying() override {
    m_Copy->stop();
    m_Context.m_Uplink->stop();
  }

  void callPeer() {
    m_Copy->setPeers({{{"peer"},
                       m_Settings.m_DataCentre,
                       net::formatEndpoint(m_Acceptor.local_endpoint())}});
    bool IsAccepted = false;
    m_Acceptor.async_accept(m_Peer, [&](const boost::system::error_code &Ec) {
      EXPECT_FALSE(Ec);
      IsAccepted = true;
    });
    m_Loop.runUntil([&] { return IsAccepted; });
  }
  Outcome<net::BulkMessage> read() {
    return m_Loop.await(net::readBulk(m_Peer));
  }
  void greetBack() {
    wire::BulkFrame Frame;
    wire::BulkHello &Hello = *Frame.mutable_hello();
    Hello.set_instance("peer");
    Hello.set_data_centre("lahore");
    Hello.set_weights(Weights.m_Text);
    Hello.set_whole(std::string(m_Manifest.m_Whole.m_Bytes.begin(),
                                m_Manifest.m_Whole.m_Bytes.end()));
    Hello.set_chunks(Chunks);
    EXPECT_TRUE(m_Loop.await(net::writeBulk(m_Peer, Frame, {})));
  }

  Loop m_Loop;
  Settings m_Settings;
  daemon::TransferContext m_Context{m_Loop.io(),
                                    m_Settings,
                                    Incarnation{1},
                                    std::make_unique<FakeEngine>(1),
                                    nullptr,
                                    nullptr,
                                    daemon::makeShapedLink({}),
                                    nullptr};
  Manifest m_Manifest;
  std::shared_ptr<WeightsCopy> m_Copy;
  tcp::acceptor m_Acceptor{m_Loop.io(), {asio::ip::address_v4::loopback(), 0}};
  tcp::socket m_Peer{m_Loop.io()};
};

// An agent held 10 of 12 chunks for more than 60 s, with all
// peers connected and complete. A caller names what it holds in its hello;
// what it gained until the answer came was told to those peers that it had
// then, and never to the one that was answering. That one declined the offers
// of all these chunks for as long as the connection lasted.
TEST_F(Copying, TellsAPeerWhatCameWhileItAnswered) {
  callPeer();
  const auto First = read();
  ASSERT_TRUE(First);
  ChunkSet Told = ChunkSet::fromBytes(Chunks, First->m_Header.hello().here());
  EXPECT_EQ(Told.count(), 0U);
  m_Copy->start();
  m_Loop.runUntil([&] { return m_Copy->swarm().complete(); });
  greetBack();
  for (auto Next = read(); Next; Next = read()) {
    for (std::uint32_t Each : Next->m_Header.have().here())
      Told.insert(Each);
    // It offers only what the peer knows that it has.
    if (Next->m_Header.has_grant())
      break;
  }
  EXPECT_EQ(Told.count(), Chunks);
}

// A peer that takes the call and never answers, as a machine without power or a
// stopped process does, kept its place among the connections for ever, and its
// own calls were refused as long as the one to it seemed to be on its way.
TEST_F(Copying, HangsUpOnAPeerThatDoesNotAnswer) {
  callPeer();
  ASSERT_TRUE(read());
  EXPECT_FALSE(read());
}

class SilentEngine final : public FakeEngine {
public:
  explicit SilentEngine(std::uint32_t &Asked) : FakeEngine(1), m_Asked(Asked) {}

  net::asio::awaitable<Outcome<std::string>> staged(WeightsId,
                                                    std::uint32_t) override {
    ++m_Asked;
    co_return Error{ErrorCode::Timeout, "no answer"};
  }

private:
  std::uint32_t &m_Asked;
};

// Staging is read before a copy begins. An instance that takes connections and
// does not answer costs some seconds for each chunk, and nothing was copied
// from anywhere meanwhile.
TEST_F(Copying, AsksAnInstanceThatDoesNotAnswerForAFewChunksOnly) {
  std::uint32_t Asked = 0;
  m_Context.m_Engine = std::make_unique<SilentEngine>(Asked);
  EngineStatus Staged;
  Staged.m_Staging.push_back({Weights, {}});
  for (std::uint32_t I = 0; I < Chunks; ++I)
    Staged.m_Staging.back().m_Chunks.push_back(I);
  const auto Run = [&]() -> asio::awaitable<bool> {
    co_await m_Copy->recover(Staged, {});
    co_return true;
  };
  EXPECT_TRUE(m_Loop.await(Run()));
  EXPECT_GE(Asked, 1U);
  EXPECT_LE(Asked, 3U);
}

} // namespace
