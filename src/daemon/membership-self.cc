#include "daemon/membership-self.h"

#include "daemon/membership-wire.h"

namespace deckpitch::daemon {

namespace {

/// Heartbeats after which a full one is sent at the latest.
constexpr std::uint64_t FullHeartbeatInterval = 30;

Member withoutLoad(Member Value) {
  Value.m_Load = {};
  Value.m_InForce = {};
  return Value;
}

} // namespace

Member selfOf(const Process &In) {
  const Settings &Value = In.m_Settings;
  Member Self;
  Self.m_Id = Value.m_Instance;
  Self.m_Incarnation = In.m_Incarnation;
  Self.m_Role = Value.m_Role;
  Self.m_DataCentre = Value.m_DataCentre;
  Self.m_UpstreamName = Value.m_Upstream.m_Name;
  Self.m_Addresses = In.m_Addresses;
  Self.m_State =
      In.m_Leaving.load() ? MemberState::Leaving : MemberState::Alive;
  Self.m_InForce = In.m_Declarations.load()->m_Revision;
  if (Value.m_Role == Role::Entry)
    return Self;
  Self.m_Serving = *In.m_Serving.load();
  Self.m_Load = {In.m_InFlight.load(), Value.m_Requests.m_InstanceConcurrency,
                 In.m_Waiting.load()};
  return Self;
}

void drainIfLeaving(const Process &In, const wire::MemberUpdate &Update) {
  for (const wire::Member &Each : Update.members()) {
    const Member Reported = fromWire(Each).m_Member;
    if (Reported.m_Id == In.m_Settings.m_Instance &&
        Reported.m_Incarnation == In.m_Incarnation &&
        Reported.m_State == MemberState::Leaving && !In.m_Leaving.load())
      In.m_StartDrain("member");
  }
}

bool HeartbeatWriter::advance() {
  Member Next = selfOf(m_In);
  ++m_Sequence;
  const bool Changed = withoutLoad(Next) != withoutLoad(m_Member);
  if (Changed)
    m_ChangedAt = m_Sequence;
  m_Member = std::move(Next);
  return Changed;
}

wire::MembershipMessage
HeartbeatWriter::messageFor(const InstanceId &Receiver,
                            std::uint64_t DeclarationsDigest) {
  wire::MembershipMessage Out;
  wire::Heartbeat &Beat = *Out.mutable_heartbeat();
  Beat.set_sequence(m_Sequence);
  Beat.set_declarations_digest(DeclarationsDigest);
  Beat.set_address(m_Member.m_Addresses.m_Control);
  Sent &Of = m_Sent[Receiver];
  const std::uint64_t Acknowledged = Of.m_LastAcknowledged;
  if (Acknowledged == 0 || Acknowledged < m_ChangedAt ||
      m_Sequence - Acknowledged >= FullHeartbeatInterval) {
    Of.m_LastFull = m_Sequence;
    *Beat.mutable_member() = toWire({m_Member, m_Sequence});
    return Out;
  }
  Beat.mutable_short_form()->set_in_force(m_Member.m_InForce.m_Value);
  if (m_Member.m_Load != LoadReport())
    *Beat.mutable_short_form()->mutable_load() = toWire(m_Member.m_Load);
  return Out;
}

void HeartbeatWriter::handleReply(const InstanceId &Receiver,
                                  const wire::HeartbeatReply &Reply) {
  Sent &Of = m_Sent[Receiver];
  if (Reply.send_whole())
    Of = {};
  else if (Reply.sequence() >= Of.m_LastFull)
    Of.m_LastAcknowledged = std::max(Of.m_LastAcknowledged, Of.m_LastFull);
}

} // namespace deckpitch::daemon
