#include "daemon/membership-wire.h"

#include <algorithm>

namespace deckpitch::daemon {

namespace {

void readServing(const wire::Serving &Message, ServingReport &Out) {
  Out.m_Pool.m_Text = Message.pool();
  Out.m_Weights.m_Text = Message.weights();
  if (Message.digest().size() == Out.m_Digest.m_Bytes.size())
    std::copy(Message.digest().begin(), Message.digest().end(),
              Out.m_Digest.m_Bytes.begin());
  Out.m_Ready = Message.ready();
  Out.m_ChunksHeld = Message.chunks_held();
  Out.m_ChunksTotal = Message.chunks_total();
  Out.m_Condition = Message.condition();
}

void writeServing(const ServingReport &Value, wire::Serving &Out) {
  Out.set_pool(Value.m_Pool.m_Text);
  Out.set_weights(Value.m_Weights.m_Text);
  if (Value.m_Digest != Digest())
    Out.set_digest(Value.m_Digest.m_Bytes.data(),
                   Value.m_Digest.m_Bytes.size());
  Out.set_ready(Value.m_Ready);
  Out.set_chunks_held(Value.m_ChunksHeld);
  Out.set_chunks_total(Value.m_ChunksTotal);
  Out.set_condition(Value.m_Condition);
}

/// Maps unknown states, which a newer release may send, to Alive.
MemberState stateOf(std::uint32_t Number) {
  if (Number > static_cast<std::uint32_t>(MemberState::Gone))
    return MemberState::Alive;
  return static_cast<MemberState>(Number);
}

} // namespace

wire::Load toWire(const LoadReport &Load) {
  wire::Load Out;
  Out.set_in_flight(Load.m_InFlight);
  Out.set_limit(Load.m_Limit);
  Out.set_waiting(Load.m_Waiting);
  return Out;
}

LoadReport fromWire(const wire::Load &Message) {
  return {Message.in_flight(), Message.limit(), Message.waiting()};
}

wire::Member toWire(const MemberRecord &Record) {
  const Member &Value = Record.m_Member;
  wire::Member Out;
  Out.set_id(Value.m_Id.m_Text);
  Out.set_incarnation(Value.m_Incarnation.m_Value);
  Out.set_role(static_cast<std::uint32_t>(Value.m_Role));
  Out.set_data_centre(Value.m_DataCentre.m_Text);
  Out.set_upstream_name(Value.m_UpstreamName);
  Out.set_control_address(Value.m_Addresses.m_Control);
  Out.set_requests_address(Value.m_Addresses.m_Requests);
  Out.set_bulk_address(Value.m_Addresses.m_Bulk);
  Out.set_operator_address(Value.m_Addresses.m_Operator);
  Out.set_state(static_cast<std::uint32_t>(Value.m_State));
  Out.set_in_force(Value.m_InForce.m_Value);
  if (Value.m_Role == Role::Agent)
    writeServing(Value.m_Serving, *Out.mutable_serving());
  if (Value.m_Load != LoadReport())
    *Out.mutable_load() = toWire(Value.m_Load);
  Out.set_sequence(Record.m_Sequence);
  return Out;
}

MemberRecord fromWire(const wire::Member &Message) {
  MemberRecord Record;
  Record.m_Sequence = Message.sequence();
  Member &Out = Record.m_Member;
  Out.m_Id.m_Text = Message.id();
  Out.m_Incarnation.m_Value = Message.incarnation();
  Out.m_Role = Message.role() == 0 ? Role::Entry : Role::Agent;
  Out.m_DataCentre.m_Text = Message.data_centre();
  Out.m_UpstreamName = Message.upstream_name();
  Out.m_Addresses.m_Control = Message.control_address();
  Out.m_Addresses.m_Requests = Message.requests_address();
  Out.m_Addresses.m_Bulk = Message.bulk_address();
  Out.m_Addresses.m_Operator = Message.operator_address();
  Out.m_State = stateOf(Message.state());
  Out.m_InForce.m_Value = Message.in_force();
  readServing(Message.serving(), Out.m_Serving);
  Out.m_Load = fromWire(Message.load());
  return Record;
}

} // namespace deckpitch::daemon
