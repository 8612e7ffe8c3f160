#include "deckpitch/retry-window.h"

#include <algorithm>

namespace deckpitch {

RetryWindow::RetryWindow(RetryShare FleetShare, TimePoint ProcessStart)
    : m_FleetShare(FleetShare), m_Start(ProcessStart) {}

std::int64_t RetryWindow::bucketNumber(TimePoint Now) const {
  const Duration Length = Duration(m_FleetShare.m_Window) / BucketCount;
  return (Now - m_Start) / std::max(Length, Duration(1));
}

RetryWindow::Bucket &RetryWindow::bucketAt(TimePoint Now) {
  const std::int64_t Number = bucketNumber(Now);
  Bucket &Found =
      m_Buckets[static_cast<std::size_t>(Number) % m_Buckets.size()];
  if (Found.m_Number != Number)
    Found = {Number, 0, 0, m_Entries};
  return Found;
}

void RetryWindow::setEntries(std::size_t Count, TimePoint Now) {
  // Entries that have left may have used their part within this window.
  Bucket &Current = bucketAt(Now);
  Current.m_MaxEntries = std::max({Current.m_MaxEntries, m_Entries, Count});
  m_Entries = Count;
}

void RetryWindow::arrived(TimePoint Now) { ++bucketAt(Now).m_Requests; }

bool RetryWindow::tryRetry(TimePoint Now) {
  const RetryUse Used = use(Now);
  if (static_cast<double>(Used.m_Retries) + 1 > Used.m_Allowed)
    return false;
  ++bucketAt(Now).m_Retries;
  return true;
}

RetryUse RetryWindow::use(TimePoint Now) const {
  const std::int64_t Current = bucketNumber(Now);
  RetryUse Out;
  Out.m_Age = Now - m_Start;
  Out.m_Entries = m_Entries;
  for (const Bucket &Each : m_Buckets) {
    const std::int64_t BucketsAgo = Current - Each.m_Number;
    if (Each.m_Number < 0 ||
        BucketsAgo > static_cast<std::int64_t>(BucketCount))
      continue;
    // The oldest bucket is only partly in the window: its retries count and its
    // requests do not, so that the limit holds.
    if (BucketsAgo < static_cast<std::int64_t>(BucketCount))
      Out.m_Requests += Each.m_Requests;
    Out.m_Retries += Each.m_Retries;
    Out.m_Entries = std::max(Out.m_Entries, Each.m_MaxEntries);
  }
  Out.m_Allowed = m_FleetShare.m_Share * static_cast<double>(Out.m_Requests);
  const bool HasSlack = m_Entries > 0 && Out.m_Age >= m_FleetShare.m_Window;
  if (HasSlack)
    Out.m_Allowed += m_FleetShare.m_Slack / static_cast<double>(Out.m_Entries);
  return Out;
}

} // namespace deckpitch
