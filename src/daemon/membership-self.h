// What a process says of itself in its heartbeats.
#pragma once

#include "daemon/module.h"
#include "deckpitch/membership-table.h"

namespace deckpitch::daemon {

/// The process's own member as of now.
Member selfOf(const Process &In);

/// Starts the drain if a record says that this life of the process leaves.
void leaveIfTold(const Process &In, const wire::MemberUpdate &Update);

/// Numbers heartbeats and decides which are sent whole: when something changed
/// that is worth it, and now and then.
class HeartbeatWriter {
public:
  explicit HeartbeatWriter(const Process &In) : m_In(In) {}

  /// Starts the next heartbeat; true when the member changed.
  bool advance();
  /// The current heartbeat for that receiver.
  wire::MembershipMessage messageFor(const InstanceId &Receiver,
                                     std::uint64_t DeclarationsDigest);
  /// The receiver answered; what it acknowledges need not be sent whole again.
  void replied(const InstanceId &Receiver, const wire::HeartbeatReply &Reply);
  const Member &member() const { return m_Member; }
  std::uint64_t sequence() const { return m_Sequence; }

private:
  const Process &m_In;
  Member m_Member;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_ChangedAt = 0;
  struct Sent {
    std::uint64_t m_Whole = 0;        ///< last sequence sent whole
    std::uint64_t m_Acknowledged = 0; ///< last whole one that was answered
  };
  std::map<InstanceId, Sent> m_Sent;
};

} // namespace deckpitch::daemon
