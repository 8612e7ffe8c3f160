#include "deckpitch/claims.h"

#include <algorithm>
#include <set>

namespace deckpitch {

ClaimLog::ClaimLog(std::string Owner, ClaimLogSettings Settings)
    : m_Owner(std::move(Owner)), m_Settings(Settings) {}

const Claim *ClaimLog::find(const std::string &Key) const {
  const auto Found = m_Known.find(Key);
  return Found == m_Known.end() ? nullptr : &Found->second.m_Claim;
}

void ClaimLog::submit(ClaimWaiterId Id, Claim Wanted, TimePoint Deadline,
                      TimePoint Now) {
  const Waiter Added{Id, std::move(Wanted), Deadline};
  const Claim *Existing = find(Added.m_Wanted.m_Key);
  const bool Slow = m_Operation != Operation::Nothing &&
                    Now - m_StartedAt >= m_Settings.m_SlowThreshold;
  if (Existing && Existing->m_Attempt >= Added.m_Wanted.m_Attempt)
    settle(Added, ClaimOutcome::Verdict::Taken);
  else if (Now < m_BackOffUntil || Slow || waiting() >= m_Settings.m_MaxWaiting)
    settle(Added, ClaimOutcome::Verdict::Refused);
  else
    m_Queue.push_back(Added);
}

/// Whether m_Next is still valid, that is, no object at or above it was
/// deleted. An object is deleted no sooner than m_Retention after it was first
/// seen, and thus after its creation. So a position that was valid at
/// m_PositionValidAt stays valid for that time, of which half is kept as a
/// margin for stale reads.
bool ClaimLog::isPositionValid(TimePoint Now) const {
  return m_Synced && Now - m_PositionValidAt < m_Settings.m_Retention / 2;
}

ClaimAction ClaimLog::start(Operation What, ClaimAction Action, TimePoint Now) {
  m_Operation = What;
  m_StartedAt = Now;
  return Action;
}

ClaimAction ClaimLog::next(TimePoint Now) {
  expireWaiters(Now);
  expireClaims(Now);
  if (m_Operation != Operation::Nothing)
    return IdleLog{};
  if (Now < m_BackOffUntil)
    return IdleLog{m_BackOffUntil};
  if (!m_Synced)
    return nextList(Now);
  if (m_MustRead)
    return start(Operation::Reading, ReadLog{m_Next}, Now);
  if (m_Queue.empty())
    return nextDelete(Now);
  if (Now - m_PositionValidAt >= m_Settings.m_Retention / 4) {
    const bool Known = m_Objects.contains(m_Next - 1);
    return Known ? start(Operation::Probing, ReadLog{m_Next - 1}, Now)
                 : nextList(Now);
  }
  if (Now < m_NextAppendAt)
    return IdleLog{m_NextAppendAt};
  settleTakenWaiters();
  if (m_Queue.empty())
    return IdleLog{};
  m_NextAppendAt = Now + m_Settings.m_MinInterval;
  return start(Operation::Appending, makeAppend(), Now);
}

ClaimAction ClaimLog::nextList(TimePoint Now) {
  if (Now < m_NextListAt)
    return IdleLog{m_NextListAt};
  m_NextListAt = Now + m_Settings.m_MinListInterval;
  return start(Operation::Listing, ListLog{}, Now);
}

/// Deletes the lowest object if it is old enough, but never the last one, which
/// marks where the log continues.
ClaimAction ClaimLog::nextDelete(TimePoint Now) {
  if (!m_Deletes || m_Objects.size() < 2)
    return IdleLog{};
  const auto &[Number, Object] = *m_Objects.begin();
  if (Number + 1 >= m_Next)
    return IdleLog{};
  const TimePoint At =
      std::max(Object.m_Seen + m_Settings.m_Retention, m_NextDeleteAt);
  if (Now < At)
    return IdleLog{At};
  m_NextDeleteAt = Now + m_Settings.m_MinDeleteInterval;
  m_Deleting = Number;
  return start(Operation::Deleting, DeleteLog{Number, Object.m_Revision}, Now);
}

AppendLog ClaimLog::makeAppend() {
  AppendLog Action{m_Next, {m_Owner + "-" + std::to_string(++m_Batches), {}}};
  std::set<std::string> Keys;
  std::deque<Waiter> Remaining;
  for (Waiter &Each : m_Queue) {
    const bool Fits = m_InFlight.size() < m_Settings.m_MaxBatch &&
                      Keys.insert(Each.m_Wanted.m_Key).second;
    if (Fits) {
      Action.m_Batch.m_Claims.push_back(Each.m_Wanted);
      m_InFlight.push_back(std::move(Each));
    } else {
      Remaining.push_back(std::move(Each));
    }
  }
  m_Queue = std::move(Remaining);
  m_InFlightBatch = Action.m_Batch;
  m_IsAppendUncertain = false;
  return Action;
}

void ClaimLog::record(const LoggedBatch &Seen, TimePoint Now) {
  const auto [Place, New] =
      m_Objects.try_emplace(Seen.m_Number, KnownObject{Seen.m_Revision, Now});
  if (!New)
    return;
  for (const Claim &Each : Seen.m_Batch.m_Claims) {
    const auto [Known, Added] =
        m_Known.try_emplace(Each.m_Key, KnownClaim{Each, Now});
    if (!Added && Known->second.m_Claim.m_Attempt >= Each.m_Attempt)
      continue;
    Known->second = {Each, Now};
    m_ClaimsBySeen.emplace_back(Now, Each.m_Key);
  }
}

/// Skips numbers that are known already.
void ClaimLog::advance() {
  while (m_Objects.contains(m_Next))
    ++m_Next;
}

void ClaimLog::observed(const LoggedBatch &Seen, TimePoint Now) {
  record(Seen, Now);
  if (m_Synced && m_Operation != Operation::Appending && !m_MustRead)
    advance();
  settleTakenWaiters();
}

void ClaimLog::observedDeletion(std::uint64_t Number) {
  if (Number + 1 < m_Next)
    m_Objects.erase(Number);
}

void ClaimLog::removed() {
  m_Operation = Operation::Nothing;
  m_Objects.erase(m_Deleting);
}

void ClaimLog::listed(const std::vector<LoggedBatch> &All, TimePoint Now) {
  m_Operation = Operation::Nothing;
  m_BackOff = {};
  std::uint64_t Last = 0;
  for (const LoggedBatch &Each : All) {
    record(Each, Now);
    Last = std::max(Last, Each.m_Number);
  }
  m_Next = std::max(m_Next, Last + 1);
  m_Synced = true;
  m_PositionValidAt = m_StartedAt;
  advance();
  settleTakenWaiters();
}

bool ClaimLog::isOwn(const LoggedBatch &Got) const {
  return !m_InFlight.empty() && Got.m_Batch.m_Id == m_InFlightBatch.m_Id;
}

void ClaimLog::read(const std::optional<LoggedBatch> &Got, TimePoint Now) {
  const Operation Previous = std::exchange(m_Operation, Operation::Nothing);
  m_BackOff = {};
  if (Previous == Operation::Probing) {
    const auto Known = m_Objects.find(m_Next - 1);
    m_Synced = Got && Known != m_Objects.end() &&
               Known->second.m_Revision == Got->m_Revision;
    if (m_Synced)
      m_PositionValidAt = m_StartedAt;
    return;
  }
  m_MustRead = false;
  if (!Got) {
    // After a lost response the batch may still arrive, so it must not be sent
    // again. After a conflict the object was deleted or the read is stale.
    if (m_IsAppendUncertain)
      refuse(m_InFlight);
    else
      requeueInFlight();
    m_Synced = m_Synced && m_IsAppendUncertain;
    return;
  }
  if (isOwn(*Got)) {
    record(*Got, Now);
    grantInFlight(Now);
  } else {
    record(*Got, Now);
    requeueInFlight();
  }
  m_PositionValidAt = m_StartedAt;
  advance();
}

void ClaimLog::appended(Revision At, TimePoint Now) {
  m_Operation = Operation::Nothing;
  m_BackOff = {};
  record({m_Next, At, m_InFlightBatch}, Now);
  const bool IsValid = isPositionValid(Now);
  grantInFlight(Now);
  if (IsValid)
    m_PositionValidAt = m_StartedAt;
  advance();
  settleTakenWaiters();
}

/// Grants the claims in flight only if the position is still valid: a process
/// that was paused during the append may have recreated an object that others
/// had created, used and deleted.
void ClaimLog::grantInFlight(TimePoint Now) {
  if (!isPositionValid(Now)) {
    m_Synced = false;
    refuse(m_InFlight);
    return;
  }
  for (const Waiter &Each : m_InFlight)
    settle(Each, ClaimOutcome::Verdict::Granted);
  m_InFlight.clear();
}

void ClaimLog::conflicted() {
  m_Operation = Operation::Nothing;
  m_MustRead = true;
}

void ClaimLog::failed(bool MayHaveTakenEffect, TimePoint Now) {
  const Operation Previous = std::exchange(m_Operation, Operation::Nothing);
  if (Previous == Operation::Deleting) {
    m_NextDeleteAt = Now + m_Settings.m_MaxBackOff;
    return;
  }
  if (Previous == Operation::Appending && MayHaveTakenEffect) {
    m_MustRead = true;
    m_IsAppendUncertain = true;
    return;
  }
  m_MustRead = false;
  m_BackOff = std::clamp(m_BackOff * 2, m_Settings.m_InitialBackOff,
                         m_Settings.m_MaxBackOff);
  m_BackOffUntil = Now + m_BackOff;
  refuse(m_InFlight);
  refuse(m_Queue);
}

void ClaimLog::requeueInFlight() {
  m_Queue.insert(m_Queue.begin(), std::make_move_iterator(m_InFlight.begin()),
                 std::make_move_iterator(m_InFlight.end()));
  m_InFlight.clear();
  m_NextAppendAt = {};
  settleTakenWaiters();
}

void ClaimLog::settleTakenWaiters() {
  const auto IsTaken = [this](const Waiter &Each) {
    const Claim *Existing = find(Each.m_Wanted.m_Key);
    return Existing && Existing->m_Attempt >= Each.m_Wanted.m_Attempt;
  };
  for (const Waiter &Each : m_Queue)
    if (IsTaken(Each))
      settle(Each, ClaimOutcome::Verdict::Taken);
  std::erase_if(m_Queue, IsTaken);
}

void ClaimLog::expireWaiters(TimePoint Now) {
  const auto IsExpired = [&](const Waiter &Each) {
    return Each.m_Deadline <= Now;
  };
  for (std::deque<Waiter> *All : {&m_Queue, &m_InFlight}) {
    for (const Waiter &Each : *All)
      if (IsExpired(Each))
        settle(Each, ClaimOutcome::Verdict::Refused);
    std::erase_if(*All, IsExpired);
  }
}

void ClaimLog::refuse(std::deque<Waiter> &All) {
  for (const Waiter &Each : All)
    settle(Each, ClaimOutcome::Verdict::Refused);
  All.clear();
}

void ClaimLog::settle(const Waiter &Waiting, ClaimOutcome::Verdict Verdict) {
  const Claim *Existing = find(Waiting.m_Wanted.m_Key);
  const bool IsTaken = Verdict == ClaimOutcome::Verdict::Taken;
  m_Settled.push_back({Waiting.m_Id, Verdict,
                       IsTaken && Existing ? *Existing : Waiting.m_Wanted});
}

void ClaimLog::expireClaims(TimePoint Now) {
  const TimePoint Oldest = Now - m_Settings.m_Retention;
  while (!m_ClaimsBySeen.empty() && m_ClaimsBySeen.front().first < Oldest) {
    const auto Known = m_Known.find(m_ClaimsBySeen.front().second);
    if (Known != m_Known.end() && Known->second.m_Seen < Oldest)
      m_Known.erase(Known);
    m_ClaimsBySeen.pop_front();
  }
}

std::vector<ClaimOutcome> ClaimLog::takeOutcomes() {
  return std::exchange(m_Settled, {});
}

} // namespace deckpitch
