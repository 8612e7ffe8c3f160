#include "deckpitch/lease.h"

#include "deckpitch/json-reader.h"

#include <boost/json.hpp>

namespace deckpitch {

Result<LeaseRecord> parseLease(std::string_view Json) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  LeaseRecord Out;
  JsonObjectReader Reader(Value, "", Found);
  const auto Read = [&](std::string_view Key, std::uint64_t &Number) {
    Reader.optional(Key, Number, std::uint64_t{0}, UINT64_MAX);
  };
  Reader.optional("holder", Out.m_Holder.m_Text);
  Read("life", Out.m_Incarnation.m_Value);
  Read("term", Out.m_Term);
  Read("renewal", Out.m_Renewal);
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

std::string formatLease(const LeaseRecord &Value) {
  return boost::json::serialize(
      boost::json::object{{"holder", Value.m_Holder.m_Text},
                          {"life", Value.m_Incarnation.m_Value},
                          {"term", Value.m_Term},
                          {"renewal", Value.m_Renewal}});
}

Lease::Lease(InstanceId Self, Incarnation Own, LeaseLimits Limits)
    : m_Self(std::move(Self)), m_Incarnation(Own), m_Limits(Limits) {}

bool Lease::isOwn(const LeaseRecord &Record) const {
  return Record.m_Holder == m_Self && Record.m_Incarnation == m_Incarnation;
}

Lease::Step Lease::write(TimePoint Now, LeaseRecord Record) {
  ++Record.m_Renewal;
  m_LastWrite = Record;
  m_LastWriteAt = Now;
  const Step::Kind How = m_Exists ? Step::Kind::Update : Step::Kind::Create;
  return {How, Now, m_At, std::move(Record)};
}

Lease::Step Lease::next(TimePoint Now, bool Wanted) {
  if (m_Holds && Now >= m_Until) {
    m_Holds = false;
    m_MustRead = true;
    m_NextAction = Now;
  }
  if (!m_Holds && !Wanted) {
    m_MustRead =
        true; // the last read is stale when it becomes a candidate again
    return {Step::Kind::Wait, Now + readPeriod(), {}, {}};
  }
  if (Now < m_NextAction)
    return {Step::Kind::Wait, m_NextAction, {}, {}};
  if (m_MustRead)
    return {Step::Kind::Read, Now, {}, {}};
  if (m_Holds && Wanted)
    return write(Now, m_Seen);
  if (m_Holds)
    return write(Now, {{}, {}, m_Seen.m_Term, m_Seen.m_Renewal});
  const bool IsFree = !m_Exists || m_Seen.m_Holder.empty();
  const TimePoint Expires =
      m_LastChange + m_Limits.m_Duration + m_Limits.m_Margin;
  if (IsFree || Now >= Expires)
    return write(Now,
                 {m_Self, m_Incarnation, m_Seen.m_Term + 1, m_Seen.m_Renewal});
  return {Step::Kind::Read, Now, {}, {}};
}

void Lease::onRead(TimePoint Now, Revision At,
                   const std::optional<LeaseRecord> &Record) {
  m_MustRead = false;
  if (!Record) {
    m_Exists = false;
    m_Seen.m_Holder = {};
    m_NextAction = Now;
    return;
  }
  if (At < m_At && m_Exists) {
    m_NextAction = Now + readPeriod(); // ignore a stale read
    return;
  }
  if (!m_Exists || At != m_At)
    m_LastChange = Now;
  m_Exists = true;
  m_At = At;
  m_Seen = *Record;
  // A write whose response was lost took effect.
  if (isOwn(*Record) && *Record == m_LastWrite)
    return onWritten(m_LastWriteAt, At);
  m_Holds = m_Holds && isOwn(*Record);
  const TimePoint Expires =
      m_LastChange + m_Limits.m_Duration + m_Limits.m_Margin;
  const bool IsFree = Record->m_Holder.empty() || Now >= Expires;
  m_NextAction =
      IsFree || m_Holds ? Now : std::min(Expires, Now + readPeriod());
}

void Lease::onReadFailed(TimePoint Now) {
  m_MustRead = true;
  m_NextAction = Now + readPeriod();
}

void Lease::onWritten(TimePoint Asked, Revision At) {
  m_Exists = true;
  m_At = At;
  m_Seen = m_LastWrite;
  m_MustRead = false;
  m_LastChange = Asked;
  m_Holds = isOwn(m_Seen);
  m_Until = Asked + m_Limits.m_Duration;
  m_NextAction = Asked + readPeriod();
}

void Lease::onWriteFailed(TimePoint Now) {
  m_MustRead = true;
  m_NextAction = Now + (m_Holds ? readPeriod() / 4 : readPeriod());
}

} // namespace deckpitch
