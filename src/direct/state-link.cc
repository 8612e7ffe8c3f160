#include "direct/state-link.h"

#include "daemon/clock.h"
#include "net/address.h"
#include "net/listen.h"
#include "net/log.h"

#include <utility>

namespace deckpitch::direct {

using asio::ip::udp;

namespace {

Result<udp::endpoint> parseUdp(const std::string &Address) {
  BOOST_LEAF_AUTO(Endpoint, net::parseEndpoint(Address));
  return udp::endpoint(Endpoint.address(), Endpoint.port());
}

std::string textOf(const udp::endpoint &Endpoint) {
  return net::formatEndpoint({Endpoint.address(), Endpoint.port()});
}

} // namespace

StateLink::StateLink(asio::io_context &Io, std::uint64_t Incarnation)
    : m_Socket(Io), m_Incarnation(Incarnation) {}

Result<void> StateLink::listen(const std::string &Address, OnMessage Call) {
  if (m_Socket.is_open())
    return {};
  BOOST_LEAF_AUTO(Endpoint, parseUdp(Address));
  boost::system::error_code Ec;
  m_Socket.open(Endpoint.protocol(), Ec);
  if (!Ec)
    m_Socket.bind(Endpoint, Ec);
  if (!Ec)
    m_Socket.non_blocking(true, Ec);
  if (Ec) {
    stop();
    return boost::leaf::new_error(net::listenError(Address, Ec));
  }
  m_OnMessage = std::move(Call);
  receive();
  return {};
}

void StateLink::receive() {
  m_Socket.async_receive_from(
      asio::buffer(m_Buffer), m_From,
      [this](const boost::system::error_code &Ec, std::size_t Bytes) {
        if (Ec == asio::error::operation_aborted)
          return;
        wire::LinkMessage Message;
        // A refused port is reported as an error of the next read; a datagram
        // that cannot be parsed comes from another program.
        if (!Ec &&
            Message.ParseFromArray(m_Buffer.data(), static_cast<int>(Bytes)))
          m_OnMessage(Message, textOf(m_From));
        receive();
      });
}

void StateLink::send(const std::string &To, wire::LinkMessage Message) {
  const auto Endpoint = outcomeOf([&] { return parseUdp(To); });
  if (!Endpoint)
    return net::log(Event::LinkAddressRefused, {{"address", To}});
  Message.set_incarnation(m_Incarnation);
  Message.set_sequence(++m_Sequence);
  Message.set_sent_us(static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(
          daemon::now().time_since_epoch())
          .count()));
  const std::string Bytes = Message.SerializeAsString();
  boost::system::error_code Ignored; // The next message replaces a lost one.
  m_Socket.send_to(asio::buffer(Bytes), *Endpoint, 0, Ignored);
}

void StateLink::stop() {
  boost::system::error_code Ignored;
  m_Socket.close(Ignored);
}

bool LinkOrder::isNewer(const wire::LinkMessage &Message) {
  const bool IsSameIncarnation = Message.incarnation() == m_Incarnation;
  if (IsSameIncarnation) {
    m_Candidate.reset();
    if (Message.sequence() <= m_Sequence)
      return false;
  } else if (!isNewerIncarnation(Message) && !hasProvedLive(Message)) {
    return false;
  }
  if (Message.incarnation() < m_Incarnation)
    m_Replaced = m_Incarnation;
  m_Candidate.reset();
  m_Incarnation = Message.incarnation();
  m_Sequence = Message.sequence();
  return true;
}

/// Whether the incarnation is newer without proof. Late messages of a larger
/// one that a smaller one replaced must not bring it back.
bool LinkOrder::isNewerIncarnation(const wire::LinkMessage &Message) const {
  return Message.incarnation() > m_Incarnation &&
         Message.incarnation() != m_Replaced;
}

/// Measured on the sender's clock: messages that queued here during a pause of
/// this process are all read at the same local time.
bool LinkOrder::hasProvedLive(const wire::LinkMessage &Message) {
  if (!m_Candidate || m_Candidate->m_Incarnation != Message.incarnation()) {
    m_Candidate = Candidate{Message.incarnation(), Message.sent_us()};
    return false;
  }
  const auto Proof =
      std::chrono::duration_cast<std::chrono::microseconds>(LivenessProof)
          .count();
  const std::uint64_t First = m_Candidate->m_FirstSentUs;
  return Message.sent_us() >= First &&
         Message.sent_us() - First >= static_cast<std::uint64_t>(Proof);
}

} // namespace deckpitch::direct
