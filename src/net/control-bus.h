// Control messages between the system's processes: protobuf over ZeroMQ.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "proto/envelope.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace deckpitch::net {

/// One socket to hear from anybody and one per address to speak to. Messages
/// may be lost, late, doubled or reordered across reconnects; those who use
/// the bus repeat what matters. Sending never blocks: when a receiver falls
/// behind, the oldest unsent messages to it are kept and new ones dropped.
class ControlBus {
public:
  /// Called on the bus's own thread for each well-formed message.
  using Handler = std::function<void(wire::Envelope)>;

  ControlBus(InstanceId Self, Incarnation Life, Handler OnMessage);
  ~ControlBus();
  ControlBus(const ControlBus &) = delete;
  ControlBus &operator=(const ControlBus &) = delete;

  /// Binds "ip:port" and starts the thread; gives the bound address.
  Result<std::string> listen(const std::string &Address);
  /// Queues a message to the process at that address, from any thread. Sender
  /// and incarnation are filled in.
  void send(const std::string &Address, wire::Envelope Message);
  void stop();

  std::uint64_t bytesSent() const;
  std::uint64_t bytesReceived() const;
  std::uint64_t messagesRefused() const; ///< malformed or oversized

  struct Impl;

private:
  std::unique_ptr<Impl> m_Impl;
};

} // namespace deckpitch::net
