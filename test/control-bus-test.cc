#include "harness.h"
#include "net/control-bus.h"
#include "raw-connection.h"

#include <gtest/gtest.h>
#include <zmq.hpp>

#include <atomic>
#include <optional>
#include <set>

using namespace deckpitch;
using namespace deckpitch::net;
using deckpitch::test::eventually;
using deckpitch::test::RawConnection;

namespace {

/// A bus that counts the messages it receives.
struct Listener {
  explicit Listener(const std::string &Name, const std::string &Address)
      : m_Bus({Name}, {7}, [this](const wire::Envelope &Message) {
          m_FromSender += Message.sender() == "sender" ? 1 : 0;
          ++m_Received;
        }) {
    const auto Bound = outcomeOf([&] { return m_Bus.listen(Address); });
    m_Address = Bound ? *Bound : "";
  }

  std::atomic<int> m_Received{0};
  std::atomic<int> m_FromSender{0};
  std::string m_Address;
  ControlBus m_Bus;
};

constexpr const char *AnyPort = "127.0.0.1:0";

TEST(ControlBusContract, DeliversWithSenderAndIncarnation) {
  Listener Receiver("receiver", AnyPort);
  Listener Sender("sender", AnyPort);
  for (int I = 0; I < 100; ++I)
    Sender.m_Bus.send(Receiver.m_Address, {});
  EXPECT_TRUE(eventually([&] { return Receiver.m_FromSender == 100; }));
  EXPECT_EQ(Receiver.m_Bus.messagesRefused(), 0U);
}

TEST(ControlBusContract, RefusesMalformedMessagesAndReceivesOthers) {
  Listener Receiver("receiver", AnyPort);
  zmq::context_t Context;
  zmq::socket_t Raw(Context, zmq::socket_type::push);
  Raw.set(zmq::sockopt::linger, 0);
  Raw.connect("tcp://" + Receiver.m_Address);
  const std::string NotProtobuf = "\xff\xff\xff\xff";
  const std::string Empty; // valid protobuf without a sender
  for (const std::string &Each : {NotProtobuf, Empty})
    Raw.send(zmq::buffer(Each), zmq::send_flags::none);
  EXPECT_TRUE(
      eventually([&] { return Receiver.m_Bus.messagesRefused() == 2; }));
  Listener Sender("sender", AnyPort);
  Sender.m_Bus.send(Receiver.m_Address, {});
  EXPECT_TRUE(eventually([&] { return Receiver.m_Received == 1; }));
}

TEST(ControlBusContract, SurvivesBytesThatAreNotItsProtocol) {
  Listener Receiver("receiver", AnyPort);
  RawConnection Stranger(Receiver.m_Address);
  Stranger.send("GET / HTTP/1.1\r\n\r\n" + std::string(10'000, '\xff'));
  Listener Sender("sender", AnyPort);
  Sender.m_Bus.send(Receiver.m_Address, {});
  EXPECT_TRUE(eventually([&] { return Receiver.m_Received == 1; }));
}

TEST(ControlBusContract, DropsAnOversizedMessageAndItsSendersConnection) {
  Listener Receiver("receiver", AnyPort);
  zmq::context_t Context;
  zmq::socket_t Raw(Context, zmq::socket_type::push);
  Raw.set(zmq::sockopt::linger, 0);
  Raw.connect("tcp://" + Receiver.m_Address);
  Raw.send(zmq::message_t(std::size_t{5} * 1024 * 1024), zmq::send_flags::none);
  Listener Sender("sender", AnyPort);
  Sender.m_Bus.send(Receiver.m_Address, {});
  EXPECT_TRUE(eventually([&] { return Receiver.m_Received == 1; }));
  EXPECT_LT(Receiver.m_Bus.bytesReceived(), 1024U * 1024);
}

TEST(ControlBusContract, ReachesARestartedReceiver) {
  std::optional<Listener> Receiver(std::in_place, "receiver", AnyPort);
  const std::string Address = Receiver->m_Address;
  Listener Sender("sender", AnyPort);
  Sender.m_Bus.send(Address, {});
  ASSERT_TRUE(eventually([&] { return Receiver->m_Received == 1; }));
  Receiver.reset();
  Sender.m_Bus.send(Address, {});
  Receiver.emplace("receiver", Address);
  EXPECT_TRUE(eventually([&] {
    Sender.m_Bus.send(Address, {});
    return Receiver->m_Received > 0;
  }));
}

// Sends more messages than the send queue holds to an address where nobody
// listens. The sender must not block and must still reach other receivers.
TEST(ControlBusContract, NeverBlocksTheSender) {
  Listener Sender("sender", AnyPort);
  Listener Receiver("receiver", AnyPort);
  for (int I = 0; I < 5000; ++I)
    Sender.m_Bus.send("127.0.0.1:1", {});
  Sender.m_Bus.send(Receiver.m_Address, {});
  EXPECT_TRUE(eventually([&] { return Receiver.m_Received == 1; }));
}

TEST(ControlBusContract, IgnoresInvalidAddresses) {
  Listener Sender("sender", AnyPort);
  Listener Receiver("receiver", AnyPort);
  for (const char *Address : {"", "nowhere", "300.1.1.1:9", "127.0.0.1:999999"})
    Sender.m_Bus.send(Address, {});
  Sender.m_Bus.send(Receiver.m_Address, {});
  EXPECT_TRUE(eventually([&] { return Receiver.m_Received == 1; }));
}

} // namespace
