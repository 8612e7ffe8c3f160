// The state that a process reports of itself in its heartbeats.
#pragma once

#include "daemon/module.h"
#include "deckpitch/membership-table.h"

namespace deckpitch::daemon {

/// Returns the process's own member in its current state.
Member selfOf(const Process &In);

/// Starts the drain if a record marks this incarnation of the process as
/// leaving.
void drainIfLeaving(const Process &In, const wire::MemberUpdate &Update);

/// Numbers heartbeats. They are sent in full until the receiver has
/// acknowledged the latest change other than of the load and the declarations
/// in force, and again at regular intervals; the others are sent in short form.
class HeartbeatWriter {
public:
  explicit HeartbeatWriter(const Process &In) : m_In(In) {}

  /// Starts the next heartbeat. Returns true if the member changed, apart from
  /// its load and the declarations in force.
  bool advance();
  /// Returns the current heartbeat for the receiver.
  wire::MembershipMessage messageFor(const InstanceId &Receiver,
                                     std::uint64_t DeclarationsDigest);
  /// Handles a reply. Full heartbeats are not repeated once acknowledged.
  void handleReply(const InstanceId &Receiver,
                   const wire::HeartbeatReply &Reply);
  const Member &member() const { return m_Member; }
  std::uint64_t sequence() const { return m_Sequence; }

private:
  const Process &m_In;
  Member m_Member;
  std::uint64_t m_Sequence = 0;
  std::uint64_t m_ChangedAt = 0;
  struct Sent {
    std::uint64_t m_LastFull = 0;         ///< sequence of the last full one
    std::uint64_t m_LastAcknowledged = 0; ///< last full one acknowledged
  };
  std::map<InstanceId, Sent> m_Sent;
};

} // namespace deckpitch::daemon
