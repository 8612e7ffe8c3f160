#include "net/control-bus.h"
#include "net/address.h"
#include "net/boot-clock.h"
#include "net/listen.h"

#include <zmq.hpp>

#include <atomic>
#include <chrono>
#include <deque>
#include <mutex>
#include <thread>
#include <unordered_map>

namespace deckpitch::net {

namespace {

constexpr int MaxMessageBytes = 4 * 1024 * 1024;
constexpr int SendQueueMessages = 1000;
constexpr int ListenBacklog = 1024;
constexpr auto IdlePeerLifetime = std::chrono::minutes(5);
constexpr const char *WakeAddress = "inproc://wake";

struct Outgoing {
  std::string m_Address;
  std::string m_Bytes;
};

struct Peer {
  zmq::socket_t m_Socket;
  BootClock::time_point m_LastUsed;
};

} // namespace

struct ControlBus::Impl {
  Impl(InstanceId Self, Incarnation OwnIncarnation, Handler OnMessage)
      : m_Self(std::move(Self)), m_Incarnation(OwnIncarnation),
        m_OnMessage(std::move(OnMessage)) {}

  void wake() {
    std::lock_guard Lock(m_Mutex);
    if (m_WakeSender)
      m_WakeSender.send(zmq::message_t(), zmq::send_flags::dontwait);
  }

  void run() {
    zmq::pollitem_t Items[] = {{m_Receiver.handle(), 0, ZMQ_POLLIN, 0},
                               {m_WakeReceiver.handle(), 0, ZMQ_POLLIN, 0}};
    while (!m_Stopping) {
      zmq::poll(Items, 2, std::chrono::milliseconds(1000));
      drainWakes();
      sendQueued();
      receiveAll();
      dropIdlePeers();
    }
    sendQueued();
    m_Peers.clear();
  }

  void drainWakes() {
    zmq::message_t Ignored;
    while (m_WakeReceiver.recv(Ignored, zmq::recv_flags::dontwait))
      ;
  }

  void sendQueued() {
    std::deque<Outgoing> Batch;
    {
      std::lock_guard Lock(m_Mutex);
      Batch.swap(m_Queue);
    }
    for (Outgoing &Each : Batch)
      sendTo(Each);
  }

  void sendTo(Outgoing &Message) {
    auto Found = m_Peers.find(Message.m_Address);
    if (Found == m_Peers.end()) {
      zmq::socket_t Socket(m_Context, zmq::socket_type::push);
      Socket.set(zmq::sockopt::linger, 200);
      Socket.set(zmq::sockopt::sndhwm, SendQueueMessages);
      Socket.set(zmq::sockopt::reconnect_ivl, 100);
      Socket.set(zmq::sockopt::reconnect_ivl_max, 2000);
      try {
        Socket.connect("tcp://" + Message.m_Address);
      } catch (const zmq::error_t &) {
        return;
      }
      Found =
          m_Peers.emplace(Message.m_Address, Peer{std::move(Socket), {}}).first;
    }
    Found->second.m_LastUsed = BootClock::now();
    if (Found->second.m_Socket.send(zmq::buffer(Message.m_Bytes),
                                    zmq::send_flags::dontwait))
      m_Sent += Message.m_Bytes.size();
  }

  void receiveAll() {
    zmq::message_t Part;
    while (m_Receiver.recv(Part, zmq::recv_flags::dontwait)) {
      m_Received += Part.size();
      wire::Envelope Message;
      const bool IsComplete =
          !Part.more() &&
          Message.ParseFromArray(Part.data(), static_cast<int>(Part.size()));
      if (!IsComplete || Message.sender().empty()) {
        ++m_Refused;
        continue;
      }
      m_OnMessage(std::move(Message));
    }
  }

  void dropIdlePeers() {
    const auto Now = BootClock::now();
    std::erase_if(m_Peers, [&](const auto &Each) {
      return Now - Each.second.m_LastUsed > IdlePeerLifetime;
    });
  }

  InstanceId m_Self;
  Incarnation m_Incarnation;
  Handler m_OnMessage;
  zmq::context_t m_Context{1};
  zmq::socket_t m_Receiver;
  zmq::socket_t m_WakeReceiver;
  std::unordered_map<std::string, Peer> m_Peers;
  std::mutex m_Mutex;
  zmq::socket_t m_WakeSender;
  std::deque<Outgoing> m_Queue;
  std::atomic<bool> m_Stopping{false};
  std::atomic<std::uint64_t> m_Sent{0};
  std::atomic<std::uint64_t> m_Received{0};
  std::atomic<std::uint64_t> m_Refused{0};
  std::string m_Bound; ///< set before the thread starts
  std::thread m_Thread;
};

ControlBus::ControlBus(InstanceId Self, Incarnation OwnIncarnation,
                       Handler OnMessage)
    : m_Impl(std::make_unique<Impl>(std::move(Self), OwnIncarnation,
                                    std::move(OnMessage))) {}

ControlBus::~ControlBus() { stop(); }

Result<std::string> ControlBus::listen(const std::string &Address) {
  Impl &Bus = *m_Impl;
  if (Bus.m_Thread.joinable())
    return Bus.m_Bound;
  BOOST_LEAF_CHECK(parseEndpoint(Address));
  std::lock_guard Lock(Bus.m_Mutex);
  try {
    Bus.m_Receiver = zmq::socket_t(Bus.m_Context, zmq::socket_type::pull);
    Bus.m_Receiver.set(zmq::sockopt::maxmsgsize, std::int64_t{MaxMessageBytes});
    Bus.m_Receiver.set(zmq::sockopt::backlog, ListenBacklog);
    Bus.m_Receiver.set(zmq::sockopt::linger, 0);
    Bus.m_Receiver.bind("tcp://" + Address);
    Bus.m_WakeReceiver = zmq::socket_t(Bus.m_Context, zmq::socket_type::pair);
    Bus.m_WakeReceiver.bind(WakeAddress);
    Bus.m_WakeSender = zmq::socket_t(Bus.m_Context, zmq::socket_type::pair);
    Bus.m_WakeSender.connect(WakeAddress);
  } catch (const zmq::error_t &Fault) {
    for (zmq::socket_t *Each :
         {&Bus.m_Receiver, &Bus.m_WakeReceiver, &Bus.m_WakeSender})
      Each->close();
    return boost::leaf::new_error(
        listenError(Address, {Fault.num(), boost::system::system_category()}));
  }
  const std::string Bound = Bus.m_Receiver.get(zmq::sockopt::last_endpoint);
  Bus.m_Bound = Bound.substr(Bound.find("//") + 2);
  Bus.m_Thread = std::thread([&Bus] { Bus.run(); });
  return Bus.m_Bound;
}

void ControlBus::send(const std::string &Address, wire::Envelope Message) {
  if (Address.empty())
    return;
  Message.set_sender(m_Impl->m_Self.m_Text);
  Message.set_incarnation(m_Impl->m_Incarnation.m_Value);
  {
    std::lock_guard Lock(m_Impl->m_Mutex);
    m_Impl->m_Queue.push_back({Address, Message.SerializeAsString()});
  }
  m_Impl->wake();
}

void ControlBus::stop() {
  if (!m_Impl->m_Thread.joinable())
    return;
  m_Impl->m_Stopping = true;
  m_Impl->wake();
  m_Impl->m_Thread.join();
}

std::uint64_t ControlBus::bytesSent() const { return m_Impl->m_Sent; }
std::uint64_t ControlBus::bytesReceived() const { return m_Impl->m_Received; }
std::uint64_t ControlBus::messagesRefused() const { return m_Impl->m_Refused; }

} // namespace deckpitch::net
