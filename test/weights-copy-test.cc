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

/// A copy that connects to one peer, whose side the test plays.
class WeightsCopyTest : public testing::Test {
protected:
  WeightsCopyTest() {
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
  ~WeightsCopyTest() override {
    m_Copy->stop();
    m_Context.m_Uplink->stop();
  }

  void acceptConnection() {
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
  wire::BulkHello peerHello(std::uint64_t PeerIncarnation) const {
    wire::BulkHello Hello;
    Hello.set_instance("peer");
    Hello.set_incarnation(PeerIncarnation);
    Hello.set_data_centre("lahore");
    Hello.set_weights(Weights.m_Text);
    Hello.set_whole(std::string(m_Manifest.m_Whole.m_Bytes.begin(),
                                m_Manifest.m_Whole.m_Bytes.end()));
    Hello.set_chunks(Chunks);
    return Hello;
  }
  void sendHello(std::uint64_t PeerIncarnation = 1) {
    wire::BulkFrame Frame;
    *Frame.mutable_hello() = peerHello(PeerIncarnation);
    EXPECT_TRUE(m_Loop.await(net::writeBulk(m_Peer, Frame, {})));
  }
  /// Connects to the copy as the peer; whether the copy answers the hello.
  bool callCopy(std::uint64_t PeerIncarnation) {
    m_Caller = tcp::socket(m_Loop.io());
    m_Caller.connect(m_Acceptor.local_endpoint());
    auto Connection =
        std::make_shared<daemon::BulkConnection>(m_Acceptor.accept());
    Connection->start();
    asio::co_spawn(m_Loop.io(),
                   m_Copy->accept(Connection, peerHello(PeerIncarnation)),
                   asio::detached);
    const auto Answer = m_Loop.await(net::readBulk(m_Caller));
    return Answer && Answer->m_Header.has_hello();
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
  tcp::socket m_Caller{m_Loop.io()}; ///< of the peer, to the copy
};

// Chunks that arrived between the copy's hello and the peer's answer were
// announced only to peers already connected. The answering peer never learnt of
// them and declined every offer of them while the connection lasted: an agent
// stayed at 10 of 12 chunks for more than 60 s, with all peers connected and
// complete.
TEST_F(WeightsCopyTest, AnnouncesChunksStagedDuringTheHandshake) {
  acceptConnection();
  const auto First = read();
  ASSERT_TRUE(First);
  ChunkSet Announced =
      ChunkSet::fromBytes(Chunks, First->m_Header.hello().here());
  EXPECT_EQ(Announced.count(), 0U);
  m_Copy->start();
  m_Loop.runUntil([&] { return m_Copy->swarm().complete(); });
  sendHello();
  for (auto Next = read(); Next; Next = read()) {
    for (std::uint32_t Each : Next->m_Header.have().here())
      Announced.insert(Each);
    // The copy offers only chunks that it has announced to the peer.
    if (Next->m_Header.has_grant())
      break;
  }
  EXPECT_EQ(Announced.count(), Chunks);
}

// A peer that accepts the connection and never answers, such as an instance
// without power or a stopped process, occupied a connection forever, and its
// own connections were refused while the one to it seemed to be in progress.
TEST_F(WeightsCopyTest, ClosesConnectionsToPeersThatDoNotAnswer) {
  acceptConnection();
  ASSERT_TRUE(read());
  EXPECT_FALSE(read());
}

// A machine that loses power does not close its connections. The agent that
// returned was refused by all peers until they found the old connections
// silent, and copied no weights meanwhile.
TEST_F(WeightsCopyTest, ARestartedPeerReplacesItsFormerConnection) {
  acceptConnection();
  ASSERT_TRUE(read());
  sendHello(1);
  m_Loop.runUntil([&] { return m_Copy->swarm().peerCount() == 1; });
  EXPECT_FALSE(callCopy(1));
  ASSERT_TRUE(callCopy(2));
  while (read())
    ;
  EXPECT_EQ(m_Copy->swarm().peerCount(), 1U);
}

// Once the old connections were found silent, each new one was dropped for ten
// more seconds.
TEST_F(WeightsCopyTest, ARestartedPeerIsNotExcludedForTheSilenceOfTheFormer) {
  SwarmOptions Options;
  Options.m_SilenceTimeout = std::chrono::milliseconds(50);
  m_Copy = std::make_shared<WeightsCopy>(m_Context, m_Manifest, Options);
  m_Copy->setInstances({{"self"}});
  m_Copy->start();
  EXPECT_TRUE(callCopy(1));
  m_Loop.runUntil(
      [&] { return m_Copy->swarm().isQuarantined({"peer"}, daemon::now()); });
  EXPECT_TRUE(callCopy(2));
  EXPECT_EQ(m_Copy->swarm().peerCount(), 1U);
}

class SilentEngine final : public FakeEngine {
public:
  explicit SilentEngine(std::uint32_t &Reads) : FakeEngine(1), m_Reads(Reads) {}

  net::asio::awaitable<Outcome<std::string>> staged(WeightsId,
                                                    std::uint32_t) override {
    ++m_Reads;
    co_return Error{ErrorCode::Timeout, "no answer"};
  }

private:
  std::uint32_t &m_Reads;
};

// Staging is read before a copy begins. An instance that accepts connections
// and does not answer cost some seconds for each chunk, during which nothing
// was copied from elsewhere.
TEST_F(WeightsCopyTest, StopsReadingStagingOfAnUnresponsiveEngine) {
  std::uint32_t Reads = 0;
  m_Context.m_Engine = std::make_unique<SilentEngine>(Reads);
  EngineStatus Staged;
  Staged.m_Staging.push_back({Weights, {}});
  for (std::uint32_t I = 0; I < Chunks; ++I)
    Staged.m_Staging.back().m_Chunks.push_back(I);
  const auto Run = [&]() -> asio::awaitable<bool> {
    co_await m_Copy->recover(Staged, {});
    co_return true;
  };
  EXPECT_TRUE(m_Loop.await(Run()));
  EXPECT_GE(Reads, 1U);
  EXPECT_LE(Reads, 3U);
}

} // namespace
