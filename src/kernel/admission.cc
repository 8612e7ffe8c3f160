#include "deckpitch/admission.h"

#include <algorithm>

namespace deckpitch {

namespace {

constexpr double MinLimit = 1;
constexpr double MaxLimit = 4'096;
constexpr double ShrinkFactor = 0.9;
constexpr int LatencyTolerance = 2;
constexpr int LatencySmoothing = 10;
constexpr std::chrono::seconds LatencyWindow{10};
constexpr std::chrono::milliseconds ShrinkInterval{100};
constexpr double CompletionRateSmoothing = 0.1;
constexpr std::chrono::milliseconds MinRetryAfter{20};
constexpr std::chrono::seconds MaxRetryAfter{30};

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(double Initial) : m_Limit(Initial) {}

void ConcurrencyLimit::sample(Duration Latency, std::uint32_t InFlight,
                              TimePoint Now) {
  if (Now >= m_WindowEnd) {
    m_PreviousMinLatency = m_MinLatency;
    m_MinLatency = Latency;
    m_WindowEnd = Now + LatencyWindow;
  }
  m_MinLatency = std::min(m_MinLatency, Latency);
  const Duration Base = m_PreviousMinLatency > Duration::zero()
                            ? std::min(m_MinLatency, m_PreviousMinLatency)
                            : m_MinLatency;
  // Smoothed, since a single slow answer is no evidence of load.
  if (m_Smoothed == Duration::zero())
    m_Smoothed = Latency;
  m_Smoothed += (Latency - m_Smoothed) / LatencySmoothing;
  const bool IsLoaded = InFlight * 2 >= m_Limit;
  if (IsLoaded && m_Smoothed > Base * LatencyTolerance + ShrinkInterval / 10)
    shrink(Now);
  else if (IsLoaded)
    m_Limit = std::min(MaxLimit, m_Limit + 1 / m_Limit);
}

void ConcurrencyLimit::overloaded(TimePoint Now) { shrink(Now); }

/// Shrinks at most once per ShrinkInterval, since requests that are in flight
/// together tend to fail together.
void ConcurrencyLimit::shrink(TimePoint Now) {
  if (Now < m_NextShrink)
    return;
  m_Limit = std::max(MinLimit, m_Limit * ShrinkFactor);
  m_NextShrink = Now + ShrinkInterval;
}

AdmissionQueue::AdmissionQueue(AdmissionSettings Settings)
    : m_Settings(Settings) {}

void AdmissionQueue::setLimit(std::uint32_t QueueLimit) {
  m_Settings.m_QueueLimit = QueueLimit;
}

void AdmissionQueue::setShare(const OrganisationId &Organisation,
                              std::uint32_t Share, std::uint32_t MaxInFlight) {
  OrganisationQueue &Queue = m_Organisations[Organisation];
  Queue.m_Share = std::max<std::uint32_t>(1, Share);
  Queue.m_MaxInFlight = MaxInFlight;
}

void AdmissionQueue::arrive(AdmissionRequest Request, double Capacity,
                            TimePoint Now) {
  expire(Now);
  const bool RunsNow = m_Waiting == 0 && m_InFlight < Capacity;
  const Duration Left = Request.m_Deadline - Now;
  if (!RunsNow &&
      (expectedWait(Request.m_Priority) >= Left || !evictFor(Request)))
    return refuse(Request.m_Id, Request.m_Priority);
  const auto Class = static_cast<std::size_t>(Request.m_Priority);
  OrganisationQueue &Queue = m_Organisations[Request.m_Organisation];
  Queue.m_Queues[Class].push_back({std::move(Request), Now});
  ++m_WaitingByPriority[Class];
  ++m_Waiting;
  admitWhilePossible(Capacity, Now);
}

void AdmissionQueue::leave(const OrganisationId &Organisation, double Capacity,
                           TimePoint Now) {
  --m_InFlight;
  --m_Organisations[Organisation].m_InFlight;
  updateCompletionRate(Now);
  expire(Now);
  admitWhilePossible(Capacity, Now);
}

void AdmissionQueue::tick(double Capacity, TimePoint Now) {
  expire(Now);
  admitWhilePossible(Capacity, Now);
}

void AdmissionQueue::updateCompletionRate(TimePoint Now) {
  const double Gap = std::max(1e-6, secondsOf(Now - m_LastCompletion));
  m_LastCompletion = Now;
  const double Rate = 1 / Gap;
  // Smooths the gap rather than the rate, so that a burst of nearly
  // simultaneous completions does not inflate the rate.
  const double Before =
      m_CompletionsPerSecond > 0 ? 1 / m_CompletionsPerSecond : 1 / Rate;
  const double Smoothed = Before + CompletionRateSmoothing * (Gap - Before);
  m_CompletionsPerSecond = 1 / Smoothed;
}

void AdmissionQueue::admitWhilePossible(double Capacity, TimePoint Now) {
  while (m_Waiting > 0 && m_InFlight < Capacity && admitOne(Now)) {
  }
}

int AdmissionQueue::effectivePriority(const Waiting &Request,
                                      std::size_t GivenClass,
                                      TimePoint Now) const {
  const auto Steps = (Now - Request.m_Since) / m_Settings.m_PromotionInterval;
  return std::max(0, static_cast<int>(GivenClass) - static_cast<int>(Steps));
}

bool AdmissionQueue::admitOne(TimePoint Now) {
  OrganisationQueue *Best = nullptr;
  std::size_t BestClass = 0;
  AdmissionOrder BestOrder;
  for (auto &[Name, Each] : m_Organisations) {
    if (Each.m_InFlight >= Each.m_MaxInFlight)
      continue;
    for (std::size_t Class = 0; Class < PriorityCount; ++Class) {
      if (Each.m_Queues[Class].empty())
        continue;
      const Waiting &Head = Each.m_Queues[Class].front();
      const AdmissionOrder HeadOrder{effectivePriority(Head, Class, Now),
                                     Each.m_StartTag, Head.m_Since};
      if (Best && !(HeadOrder < BestOrder))
        continue;
      Best = &Each;
      BestClass = Class;
      BestOrder = HeadOrder;
    }
  }
  if (!Best)
    return false;
  auto &Queue = Best->m_Queues[BestClass];
  m_Decisions.push_back({Queue.front().m_Request.m_Id, true, {}});
  Queue.pop_front();
  --m_WaitingByPriority[BestClass];
  --m_Waiting;
  // An organisation that was idle starts at the current virtual time, so that
  // it accumulates no credit while idle.
  m_VirtualTime = std::max(m_VirtualTime, Best->m_StartTag);
  Best->m_StartTag = m_VirtualTime + 1.0 / Best->m_Share;
  ++Best->m_InFlight;
  // Idle time must not count towards the completion rate.
  if (m_InFlight++ == 0)
    m_LastCompletion = Now;
  return true;
}

/// Ensures that the queue has space for the request. If it is full, evicts the
/// newest request of the lowest priority below the given one's; false if there
/// is none.
bool AdmissionQueue::evictFor(const AdmissionRequest &Request) {
  if (m_Waiting < m_Settings.m_QueueLimit)
    return true;
  const auto OwnClass = static_cast<std::size_t>(Request.m_Priority);
  for (std::size_t Class = PriorityCount - 1; Class > OwnClass; --Class) {
    std::deque<Waiting> *Newest = nullptr;
    for (auto &[Name, Each] : m_Organisations) {
      auto &Queue = Each.m_Queues[Class];
      if (!Queue.empty() &&
          (!Newest || Queue.back().m_Since > Newest->back().m_Since))
        Newest = &Queue;
    }
    if (!Newest)
      continue;
    const AdmissionId Evicted = Newest->back().m_Request.m_Id;
    Newest->pop_back();
    --m_WaitingByPriority[Class];
    --m_Waiting;
    refuse(Evicted, static_cast<Priority>(Class));
    return true;
  }
  return false;
}

void AdmissionQueue::expire(TimePoint Now) {
  if (m_Waiting == 0)
    return;
  for (auto &[Name, Each] : m_Organisations) {
    for (std::size_t Class = 0; Class < PriorityCount; ++Class) {
      const auto Erased =
          std::erase_if(Each.m_Queues[Class], [&](const Waiting &Request) {
            if (Request.m_Request.m_Deadline > Now)
              return false;
            refuse(Request.m_Request.m_Id, Request.m_Request.m_Priority);
            return true;
          });
      m_WaitingByPriority[Class] -= static_cast<std::uint32_t>(Erased);
      m_Waiting -= Erased;
    }
  }
}

void AdmissionQueue::abandon(AdmissionId Id) {
  for (auto &[Name, Each] : m_Organisations) {
    for (std::size_t Class = 0; Class < PriorityCount; ++Class) {
      const auto Erased =
          std::erase_if(Each.m_Queues[Class], [&](const Waiting &Request) {
            return Request.m_Request.m_Id == Id;
          });
      m_WaitingByPriority[Class] -= static_cast<std::uint32_t>(Erased);
      m_Waiting -= Erased;
    }
  }
}

Duration AdmissionQueue::expectedWait(Priority Level) const {
  if (m_CompletionsPerSecond <= 0)
    return Duration::zero();
  std::uint32_t Ahead = 0;
  for (std::size_t Class = 0; Class <= static_cast<std::size_t>(Level); ++Class)
    Ahead += m_WaitingByPriority[Class];
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Ahead / m_CompletionsPerSecond));
}

void AdmissionQueue::refuse(AdmissionId Id, Priority Level) {
  const Duration Wait =
      std::clamp<Duration>(expectedWait(Level), MinRetryAfter, MaxRetryAfter);
  m_Decisions.push_back({Id, false, Wait});
}

std::vector<AdmissionDecision> AdmissionQueue::takeDecisions() {
  return std::exchange(m_Decisions, {});
}

} // namespace deckpitch
