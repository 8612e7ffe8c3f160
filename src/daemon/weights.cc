// The module "weights" of agents and the module "peers" of entries.
#include "daemon/weights-agent.h"
#include "deckpitch/peer-set.h"

#include <boost/asio.hpp>

#include <future>

namespace deckpitch::daemon {

namespace {

/// Forwards peer sets from the control loop to the WeightsAgent on the transfer
/// loop.
class WeightsModule final : public Module {
public:
  explicit WeightsModule(Process &In)
      : m_Process(In), m_Io(In.m_Threads.nextWorker()),
        m_Agent(std::make_shared<WeightsAgent>(
            In, m_Io, [this](WeightsId Weights) { requestPeers(Weights); })) {}

  Result<void> listen() override {
    BOOST_LEAF_ASSIGN(m_Process.m_Addresses.m_Bulk, m_Agent->listen());
    return {};
  }

  Result<void> start() override {
    asio::post(m_Io, [Agent = m_Agent] { Agent->start(); });
    return {};
  }

  void onMessage(const wire::Envelope &Message) override {
    if (!Message.has_weights() || !Message.weights().has_peer_set())
      return;
    const wire::PeerSet &Received = Message.weights().peer_set();
    std::vector<PeerAddress> Peers;
    for (const wire::Peer &Each : Received.peers())
      Peers.push_back({InstanceId{Each.id()}, DataCentreId{Each.data_centre()},
                       Each.bulk_address()});
    asio::post(m_Io, [Agent = m_Agent, Weights = WeightsId{Received.weights()},
                      Peers = std::move(Peers)]() mutable {
      Agent->setPeers(Weights, std::move(Peers));
    });
  }

  void stop() override {
    asio::post(m_Io, [Agent = m_Agent] { Agent->stop(); });
  }

  boost::json::object dump() const override {
    std::promise<boost::json::object> DumpResult;
    asio::post(m_Io, [&] { DumpResult.set_value(m_Agent->dump()); });
    return DumpResult.get_future().get();
  }

private:
  /// Asks the configured entries in turn, since any of them may be gone.
  void requestPeers(const WeightsId &Weights) {
    asio::post(m_Process.m_Threads.control(), [this, Weights] {
      const auto &Entries = m_Process.m_Settings.m_Entries;
      wire::Envelope Message;
      Message.mutable_weights()->mutable_peer_request()->set_weights(
          Weights.m_Text);
      m_Process.m_Bus->send(Entries[m_NextEntry++ % Entries.size()],
                            std::move(Message));
    });
  }

  Process &m_Process;
  asio::io_context &m_Io;
  std::shared_ptr<WeightsAgent> m_Agent;
  std::size_t m_NextEntry = 0;
};

/// Answers requests for peers from this entry's membership and declarations.
class PeersModule final : public Module {
public:
  explicit PeersModule(Process &In) : m_Process(In) {}

  void onMessage(const wire::Envelope &Message) override {
    if (!Message.has_weights() || !Message.weights().has_peer_request())
      return;
    const auto Members = m_Process.m_Membership.load();
    const InstanceId Sender{Message.sender()};
    const auto Found = Members->m_Members.find(Sender);
    if (Found == Members->m_Members.end())
      return;
    const WeightsId Weights{Message.weights().peer_request().weights()};
    const auto Chosen =
        choosePeers(*m_Process.m_Declarations.load(), *Members, Sender, Weights,
                    MaxPeersPerAnswer, m_Answered++);
    wire::Envelope Answer;
    wire::PeerSet &Set = *Answer.mutable_weights()->mutable_peer_set();
    Set.set_weights(Weights.m_Text);
    for (const Member *Each : Chosen) {
      wire::Peer &Added = *Set.add_peers();
      Added.set_id(Each->m_Id.m_Text);
      Added.set_data_centre(Each->m_DataCentre.m_Text);
      Added.set_bulk_address(Each->m_Addresses.m_Bulk);
    }
    m_Process.m_Bus->send(Found->second.m_Addresses.m_Control,
                          std::move(Answer));
  }

  boost::json::object dump() const override {
    return {{"answered", m_Answered}};
  }

private:
  static constexpr std::uint32_t MaxPeersPerAnswer = 20;

  Process &m_Process;
  std::uint64_t m_Answered = 0;
};

const Registration<WeightsModule> RegisteredWeights("weights", Role::Agent);
const Registration<PeersModule> RegisteredPeers("peers", Role::Entry);

} // namespace

} // namespace deckpitch::daemon
