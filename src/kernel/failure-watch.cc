#include "deckpitch/failure-watch.h"

#include <algorithm>

namespace deckpitch {

namespace {

/// A stream takes about a second; what is older says little of the instance.
constexpr Duration Window = std::chrono::milliseconds(1'500);
/// Fewer may have been bad luck.
constexpr std::size_t LeastFailures = 3;
/// Of the requests that were granted a place meanwhile.
constexpr double FailingShare = 0.3;
constexpr Duration FirstSpan = std::chrono::seconds(2);
constexpr Duration LongestSpan = std::chrono::seconds(16);

void dropBefore(std::deque<TimePoint> &Of, TimePoint Oldest) {
  while (!Of.empty() && Of.front() < Oldest)
    Of.pop_front();
}

} // namespace

void FailureWatch::forgetOld(TimePoint Now) {
  dropBefore(m_Granted, Now - Window);
  dropBefore(m_Failed, Now - Window);
}

void FailureWatch::granted(TimePoint Now) {
  forgetOld(Now);
  m_Granted.push_back(Now);
}

std::optional<Duration> FailureWatch::failed(TimePoint Now) {
  // What was sent before it was known to fail is no news of it.
  if (isFailing(Now))
    return std::nullopt;
  forgetOld(Now);
  m_Failed.push_back(Now);
  const double Most = FailingShare * static_cast<double>(m_Granted.size());
  const bool IsFailing = m_Failed.size() >= LeastFailures &&
                         static_cast<double>(m_Failed.size()) >= Most;
  if (!IsFailing)
    return std::nullopt;
  const bool IsAgain = m_Until != TimePoint{} && Now - m_Until < LongestSpan;
  m_Span = IsAgain ? std::min(2 * m_Span, LongestSpan) : FirstSpan;
  m_Until = Now + m_Span;
  m_Granted.clear();
  m_Failed.clear();
  return m_Span;
}

} // namespace deckpitch
