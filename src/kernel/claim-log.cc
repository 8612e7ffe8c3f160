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

void ClaimLog::submit(ClaimWaiterId Id, Claim Wanted, TimePoint GiveUpAt,
                      TimePoint Now) {
  const Waiter Added{Id, std::move(Wanted), GiveUpAt};
  const Claim *Standing = find(Added.m_Wanted.m_Key);
  const bool Slow =
      m_Doing != Doing::Nothing && Now - m_StartedAt >= m_Settings.m_SlowAfter;
  if (Standing && Standing->m_Attempt >= Added.m_Wanted.m_Attempt)
    settle(Added, ClaimSettled::Verdict::Taken);
  else if (Now < m_BackoffUntil || Slow || waiting() >= m_Settings.m_MaxWaiting)
    settle(Added, ClaimSettled::Verdict::Refused);
  else
    m_Waiting.push_back(Added);
}

/// An object is deleted no sooner than m_Retention after it was first seen,
/// which is not before it was created. So a position that was whole at
/// m_TrustedAt is whole for that long; half of it is left as a margin for
/// reads that lag.
bool ClaimLog::trusted(TimePoint Now) const {
  return m_Synced && Now - m_TrustedAt < m_Settings.m_Retention / 2;
}

ClaimAction ClaimLog::start(Doing What, ClaimAction Action, TimePoint Now) {
  m_Doing = What;
  m_StartedAt = Now;
  return Action;
}

ClaimAction ClaimLog::next(TimePoint Now) {
  giveUp(Now);
  forget(Now);
  if (m_Doing != Doing::Nothing)
    return IdleLog{};
  if (Now < m_BackoffUntil)
    return IdleLog{m_BackoffUntil};
  if (!m_Synced)
    return nextList(Now);
  if (m_MustRead)
    return start(Doing::Reading, ReadLog{m_Next}, Now);
  if (m_Waiting.empty())
    return nextDelete(Now);
  if (Now - m_TrustedAt >= m_Settings.m_Retention / 4) {
    const bool Known = m_Objects.contains(m_Next - 1);
    return Known ? start(Doing::Probing, ReadLog{m_Next - 1}, Now)
                 : nextList(Now);
  }
  if (Now < m_NextAppendAt)
    return IdleLog{m_NextAppendAt};
  settleTaken();
  if (m_Waiting.empty())
    return IdleLog{};
  m_NextAppendAt = Now + m_Settings.m_LeastInterval;
  return start(Doing::Appending, makeAppend(), Now);
}

ClaimAction ClaimLog::nextList(TimePoint Now) {
  if (Now < m_NextListAt)
    return IdleLog{m_NextListAt};
  m_NextListAt = Now + m_Settings.m_LeastListInterval;
  return start(Doing::Listing, ListLog{}, Now);
}

/// The lowest object that is old enough; never the last one, which tells
/// where the log goes on.
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
  m_NextDeleteAt = Now + m_Settings.m_LeastDeleteInterval;
  m_Deleting = Number;
  return start(Doing::Deleting, DeleteLog{Number, Object.m_Revision}, Now);
}

AppendLog ClaimLog::makeAppend() {
  AppendLog Action{m_Next, {m_Owner + "-" + std::to_string(++m_Batches), {}}};
  std::set<std::string> Keys;
  std::deque<Waiter> Left;
  for (Waiter &Each : m_Waiting) {
    const bool Fits = m_InFlight.size() < m_Settings.m_MaxBatch &&
                      Keys.insert(Each.m_Wanted.m_Key).second;
    if (Fits) {
      Action.m_Batch.m_Claims.push_back(Each.m_Wanted);
      m_InFlight.push_back(std::move(Each));
    } else {
      Left.push_back(std::move(Each));
    }
  }
  m_Waiting = std::move(Left);
  m_InFlightBatch = Action.m_Batch;
  m_Uncertain = false;
  return Action;
}

void ClaimLog::learn(const LoggedBatch &Seen, TimePoint Now) {
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

/// Moves on over numbers that are known already.
void ClaimLog::advance() {
  while (m_Objects.contains(m_Next))
    ++m_Next;
}

void ClaimLog::observed(const LoggedBatch &Seen, TimePoint Now) {
  learn(Seen, Now);
  if (m_Synced && m_Doing != Doing::Appending && !m_MustRead)
    advance();
  settleTaken();
}

void ClaimLog::observedDeletion(std::uint64_t Number) {
  if (Number + 1 < m_Next)
    m_Objects.erase(Number);
}

void ClaimLog::removed() {
  m_Doing = Doing::Nothing;
  m_Objects.erase(m_Deleting);
}

void ClaimLog::listed(const std::vector<LoggedBatch> &All, TimePoint Now) {
  m_Doing = Doing::Nothing;
  m_Backoff = {};
  std::uint64_t Last = 0;
  for (const LoggedBatch &Each : All) {
    learn(Each, Now);
    Last = std::max(Last, Each.m_Number);
  }
  m_Next = std::max(m_Next, Last + 1);
  m_Synced = true;
  m_TrustedAt = m_StartedAt;
  advance();
  settleTaken();
}

bool ClaimLog::isOwn(const LoggedBatch &Got) const {
  return !m_InFlight.empty() && Got.m_Batch.m_Id == m_InFlightBatch.m_Id;
}

void ClaimLog::read(const std::optional<LoggedBatch> &Got, TimePoint Now) {
  const Doing Was = std::exchange(m_Doing, Doing::Nothing);
  m_Backoff = {};
  if (Was == Doing::Probing) {
    const auto Known = m_Objects.find(m_Next - 1);
    m_Synced = Got && Known != m_Objects.end() &&
               Known->second.m_Revision == Got->m_Revision;
    if (m_Synced)
      m_TrustedAt = m_StartedAt;
    return;
  }
  m_MustRead = false;
  if (!Got) {
    // After a lost answer the batch may yet arrive, so it must not be sent
    // again; after a conflict the object was deleted or the read is stale.
    if (m_Uncertain)
      refuse(m_InFlight);
    else
      requeueInFlight();
    m_Synced = m_Synced && m_Uncertain;
    return;
  }
  if (isOwn(*Got)) {
    learn(*Got, Now);
    grantInFlight(Now);
  } else {
    learn(*Got, Now);
    requeueInFlight();
  }
  m_TrustedAt = m_StartedAt;
  advance();
}

void ClaimLog::appended(Revision At, TimePoint Now) {
  m_Doing = Doing::Nothing;
  m_Backoff = {};
  learn({m_Next, At, m_InFlightBatch}, Now);
  const bool Whole = trusted(Now);
  grantInFlight(Now);
  if (Whole)
    m_TrustedAt = m_StartedAt;
  advance();
  settleTaken();
}

/// Grants only while the position is still known to be whole: a process that
/// was frozen across the append may have created an object anew that others
/// had created, used and deleted.
void ClaimLog::grantInFlight(TimePoint Now) {
  if (!trusted(Now)) {
    m_Synced = false;
    refuse(m_InFlight);
    return;
  }
  for (const Waiter &Each : m_InFlight)
    settle(Each, ClaimSettled::Verdict::Granted);
  m_InFlight.clear();
}

void ClaimLog::conflicted() {
  m_Doing = Doing::Nothing;
  m_MustRead = true;
}

void ClaimLog::failed(bool MayHaveTakenEffect, TimePoint Now) {
  const Doing Was = std::exchange(m_Doing, Doing::Nothing);
  if (Was == Doing::Deleting) {
    m_NextDeleteAt = Now + m_Settings.m_MostBackoff;
    return;
  }
  if (Was == Doing::Appending && MayHaveTakenEffect) {
    m_MustRead = true;
    m_Uncertain = true;
    return;
  }
  m_MustRead = false;
  m_Backoff = std::clamp(m_Backoff * 2, m_Settings.m_FirstBackoff,
                         m_Settings.m_MostBackoff);
  m_BackoffUntil = Now + m_Backoff;
  refuse(m_InFlight);
  refuse(m_Waiting);
}

void ClaimLog::requeueInFlight() {
  m_Waiting.insert(m_Waiting.begin(),
                   std::make_move_iterator(m_InFlight.begin()),
                   std::make_move_iterator(m_InFlight.end()));
  m_InFlight.clear();
  m_NextAppendAt = {};
  settleTaken();
}

void ClaimLog::settleTaken() {
  const auto IsTaken = [this](const Waiter &Each) {
    const Claim *Standing = find(Each.m_Wanted.m_Key);
    return Standing && Standing->m_Attempt >= Each.m_Wanted.m_Attempt;
  };
  for (const Waiter &Each : m_Waiting)
    if (IsTaken(Each))
      settle(Each, ClaimSettled::Verdict::Taken);
  std::erase_if(m_Waiting, IsTaken);
}

void ClaimLog::giveUp(TimePoint Now) {
  const auto IsLate = [&](const Waiter &Each) {
    return Each.m_GiveUpAt <= Now;
  };
  for (std::deque<Waiter> *All : {&m_Waiting, &m_InFlight}) {
    for (const Waiter &Each : *All)
      if (IsLate(Each))
        settle(Each, ClaimSettled::Verdict::Refused);
    std::erase_if(*All, IsLate);
  }
}

void ClaimLog::refuse(std::deque<Waiter> &All) {
  for (const Waiter &Each : All)
    settle(Each, ClaimSettled::Verdict::Refused);
  All.clear();
}

void ClaimLog::settle(const Waiter &Of, ClaimSettled::Verdict Verdict) {
  const Claim *Standing = find(Of.m_Wanted.m_Key);
  const bool IsTaken = Verdict == ClaimSettled::Verdict::Taken;
  m_Settled.push_back(
      {Of.m_Id, Verdict, IsTaken && Standing ? *Standing : Of.m_Wanted});
}

void ClaimLog::forget(TimePoint Now) {
  const TimePoint Oldest = Now - m_Settings.m_Retention;
  while (!m_ClaimsBySeen.empty() && m_ClaimsBySeen.front().first < Oldest) {
    const auto Known = m_Known.find(m_ClaimsBySeen.front().second);
    if (Known != m_Known.end() && Known->second.m_Seen < Oldest)
      m_Known.erase(Known);
    m_ClaimsBySeen.pop_front();
  }
}

std::vector<ClaimSettled> ClaimLog::takeSettled() {
  return std::exchange(m_Settled, {});
}

} // namespace deckpitch
