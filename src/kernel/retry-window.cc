#include "deckpitch/retry-window.h"

#include <algorithm>

namespace deckpitch {

RetryWindow::RetryWindow(RetryShare All, TimePoint ProcessStart)
    : m_All(All), m_Start(ProcessStart) {}

std::int64_t RetryWindow::numberOf(TimePoint Now) const {
  const Duration Length = Duration(m_All.m_Window) / Steps;
  return (Now - m_Start) / std::max(Length, Duration(1));
}

RetryWindow::Step &RetryWindow::stepAt(TimePoint Now) {
  const std::int64_t Number = numberOf(Now);
  Step &Found = m_Steps[static_cast<std::size_t>(Number) % m_Steps.size()];
  if (Found.m_Number != Number)
    Found = {Number, 0, 0, m_Entries};
  return Found;
}

void RetryWindow::setEntries(std::size_t Count, TimePoint Now) {
  // Those that have gone may have used their part within this window.
  Step &Present = stepAt(Now);
  Present.m_MostEntries = std::max({Present.m_MostEntries, m_Entries, Count});
  m_Entries = Count;
}

void RetryWindow::arrived(TimePoint Now) { ++stepAt(Now).m_Requests; }

bool RetryWindow::tryRetry(TimePoint Now) {
  const RetryUse Used = use(Now);
  if (static_cast<double>(Used.m_Retries) + 1 > Used.m_Allowed)
    return false;
  ++stepAt(Now).m_Retries;
  return true;
}

RetryUse RetryWindow::use(TimePoint Now) const {
  const std::int64_t Present = numberOf(Now);
  RetryUse Out;
  Out.m_Age = Now - m_Start;
  Out.m_Entries = m_Entries;
  for (const Step &Each : m_Steps) {
    const std::int64_t StepsAgo = Present - Each.m_Number;
    if (Each.m_Number < 0 || StepsAgo > static_cast<std::int64_t>(Steps))
      continue;
    // Of a step that is in the window in part, retries count and requests
    // don't.
    if (StepsAgo < static_cast<std::int64_t>(Steps))
      Out.m_Requests += Each.m_Requests;
    Out.m_Retries += Each.m_Retries;
    Out.m_Entries = std::max(Out.m_Entries, Each.m_MostEntries);
  }
  Out.m_Allowed = m_All.m_Share * static_cast<double>(Out.m_Requests);
  const bool HasSlack = m_Entries > 0 && Out.m_Age >= m_All.m_Window;
  if (HasSlack)
    Out.m_Allowed += m_All.m_Slack / static_cast<double>(Out.m_Entries);
  return Out;
}

} // namespace deckpitch
