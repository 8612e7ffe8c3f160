#include "deckpitch/call-records.h"

#include <algorithm>

namespace deckpitch {

std::uint64_t CallRecords::ticketAt(TimePoint Now) {
  const auto Since = Now.time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(Since).count());
}

RunAdmission CallRecords::admit(const KeyedRun &Run, TimePoint Now) {
  const auto Found = m_Records.find(Run.m_Key);
  if (Found != m_Records.end()) {
    Record &Existing = Found->second;
    if (Existing.m_Attempt > Run.m_Attempt)
      return RunAdmission::Refused;
    if (Existing.m_State != RunState::NeverRan)
      return RunAdmission::Duplicate;
    if (Existing.m_Attempt == Run.m_Attempt)
      return RunAdmission::Refused;
  }
  const auto Lifetime = std::chrono::duration_cast<std::chrono::milliseconds>(
      m_Settings.m_TicketLifetime);
  const auto Until =
      Run.m_Ticket + static_cast<std::uint64_t>(Lifetime.count());
  if (Until < ticketAt(Now) || !evictExpired(Now))
    return RunAdmission::Refused;
  m_Records[Run.m_Key] = {.m_Attempt = Run.m_Attempt, .m_Ticket = Run.m_Ticket};
  return RunAdmission::Start;
}

void CallRecords::done(const std::string &Key, TimePoint Now,
                       std::optional<StoredAnswer> Answer) {
  const auto Found = m_Records.find(Key);
  if (Found == m_Records.end())
    return;
  const std::size_t Bytes = Answer ? Answer->m_Body.size() : 0;
  const bool Fits = Bytes <= m_Settings.m_MaxAnswerBytes &&
                    m_StoredBytes + Bytes <= m_Settings.m_MaxStoredBytes;
  if (Answer && Fits) {
    m_StoredBytes += Bytes;
    Found->second.m_Answer = std::move(Answer);
  }
  end(Key, RunState::Done, Now);
}

void CallRecords::neverRan(const std::string &Key, TimePoint Now) {
  end(Key, RunState::NeverRan, Now);
}

void CallRecords::lost(const std::string &Key, TimePoint Now) {
  end(Key, RunState::Unknown, Now);
}

void CallRecords::end(const std::string &Key, RunState State, TimePoint Now) {
  const auto Found = m_Records.find(Key);
  if (Found == m_Records.end())
    return;
  Found->second.m_State = State;
  Found->second.m_Ended = Now;
  m_Ended.emplace_back(Now, Key);
}

bool CallRecords::isAwaited(const KeyedRun &Run) const {
  const auto Found = m_Records.find(Run.m_Key);
  if (Found == m_Records.end())
    return true;
  return Found->second.m_State == RunState::NeverRan &&
         Found->second.m_Attempt < Run.m_Attempt;
}

RunState CallRecords::fence(const KeyedRun &Run, TimePoint Now) {
  const auto Found = m_Records.find(Run.m_Key);
  if (Found == m_Records.end()) {
    if (Run.m_Ticket < m_CompleteSince || !evictExpired(Now))
      return RunState::Unknown;
    m_Records[Run.m_Key] = {.m_Attempt = Run.m_Attempt,
                            .m_Ticket = Run.m_Ticket};
    end(Run.m_Key, RunState::NeverRan, Now);
    return RunState::NeverRan;
  }
  Record &Existing = Found->second;
  if (Existing.m_Attempt > Run.m_Attempt)
    return RunState::NeverRan;
  if (Existing.m_Attempt < Run.m_Attempt &&
      Existing.m_State == RunState::NeverRan)
    Existing.m_Attempt = Run.m_Attempt;
  return Existing.m_State;
}

std::optional<StoredAnswer>
CallRecords::answerOf(const std::string &Key) const {
  const auto Found = m_Records.find(Key);
  return Found == m_Records.end() ? std::nullopt : Found->second.m_Answer;
}

/// Evicts expired records. Returns false if the records are still full.
bool CallRecords::evictExpired(TimePoint Now) {
  while (!m_Ended.empty() &&
         Now - m_Ended.front().first >= m_Settings.m_Retention) {
    evict(m_Ended.front().second, m_Ended.front().first);
    m_Ended.pop_front();
  }
  return m_Records.size() < m_Settings.m_MaxRecords;
}

void CallRecords::evict(const std::string &Key, TimePoint Ended) {
  const auto Found = m_Records.find(Key);
  if (Found == m_Records.end() || Found->second.m_State == RunState::Running ||
      Found->second.m_Ended != Ended)
    return;
  if (Found->second.m_Answer)
    m_StoredBytes -= Found->second.m_Answer->m_Body.size();
  m_CompleteSince = std::max(m_CompleteSince, Found->second.m_Ticket + 1);
  m_Records.erase(Found);
}

} // namespace deckpitch
