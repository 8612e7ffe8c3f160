// Control messages between deckpitch processes: protobuf over ZeroMQ.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "proto/envelope.pb.h"

#include <functional>
#include <memory>
#include <string>

namespace deckpitch::net {

/// Receives from all peers on one socket and sends to each address on a socket
/// of its own. Messages may be lost, delayed, duplicated or reordered across
/// reconnects, so callers must repeat messages that matter. Sending never
/// blocks: if a receiver falls behind, the oldest unsent messages to it are
/// kept and new ones are dropped.
class ControlBus {
public:
  /// Called on the bus's own thread for each well-formed message.
  using Handler = std::function<void(wire::Envelope)>;

  ControlBus(InstanceId Self, Incarnation OwnIncarnation, Handler OnMessage);
  ~ControlBus();
  ControlBus(const ControlBus &) = delete;
  ControlBus &operator=(const ControlBus &) = delete;

  /// Binds "ip:port", starts the thread and returns the bound address. No
  /// effect after a first success. Errors: InvalidInput; Unavailable if another
  /// call may succeed.
  Result<std::string> listen(const std::string &Address);
  /// Queues a message to the process at Address and fills in the sender and its
  /// incarnation. May be called from any thread.
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
