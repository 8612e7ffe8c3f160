#include "deckpitch/admission.h"

#include <algorithm>

namespace deckpitch {

namespace {

constexpr double LeastLimit = 1;
constexpr double MostLimit = 4'096;
constexpr double ShrinkFactor = 0.9;
constexpr int LatencyTolerance = 2;
constexpr int LatencySmoothing = 10;
constexpr std::chrono::seconds LatencyWindow{10};
constexpr std::chrono::milliseconds ShrinkInterval{100};
constexpr double DrainSmoothing = 0.1;
constexpr std::chrono::milliseconds LeastRetryAfter{20};
constexpr std::chrono::seconds MostRetryAfter{30};

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

} // namespace

ConcurrencyLimit::ConcurrencyLimit(double Initial) : m_Limit(Initial) {}

void ConcurrencyLimit::sample(Duration Latency, std::uint32_t InFlight,
                              TimePoint Now) {
  if (Now >= m_WindowEnd) {
    m_LeastBefore = m_Least;
    m_Least = Latency;
    m_WindowEnd = Now + LatencyWindow;
  }
  m_Least = std::min(m_Least, Latency);
  const Duration Base = m_LeastBefore > Duration::zero()
                            ? std::min(m_Least, m_LeastBefore)
                            : m_Least;
  // One slow answer tells nothing of load.
  if (m_Smoothed == Duration::zero())
    m_Smoothed = Latency;
  m_Smoothed += (Latency - m_Smoothed) / LatencySmoothing;
  const bool IsLoaded = InFlight * 2 >= m_Limit;
  if (IsLoaded && m_Smoothed > Base * LatencyTolerance + ShrinkInterval / 10)
    shrink(Now);
  else if (IsLoaded)
    m_Limit = std::min(MostLimit, m_Limit + 1 / m_Limit);
}

void ConcurrencyLimit::overloaded(TimePoint Now) { shrink(Now); }

/// Not more than once a while: requests in flight together fail together.
void ConcurrencyLimit::shrink(TimePoint Now) {
  if (Now < m_NextShrink)
    return;
  m_Limit = std::max(LeastLimit, m_Limit * ShrinkFactor);
  m_NextShrink = Now + ShrinkInterval;
}

AdmissionQueue::AdmissionQueue(AdmissionSettings Settings)
    : m_Settings(Settings) {}

void AdmissionQueue::setLimit(std::uint32_t QueueLimit) {
  m_Settings.m_QueueLimit = QueueLimit;
}

void AdmissionQueue::setShare(const OrganisationId &Organisation,
                              std::uint32_t Share, std::uint32_t MaxInFlight) {
  Lane &Of = m_Lanes[Organisation];
  Of.m_Share = std::max<std::uint32_t>(1, Share);
  Of.m_MaxInFlight = MaxInFlight;
}

void AdmissionQueue::arrive(AdmissionRequest Request, double Capacity,
                            TimePoint Now) {
  expire(Now);
  const bool Runs = m_Waiting == 0 && m_InFlight < Capacity;
  const Duration Left = Request.m_Deadline - Now;
  if (!Runs &&
      (expectedWait(Request.m_Priority) >= Left || !makeRoomFor(Request)))
    return refuse(Request.m_Id, Request.m_Priority);
  const auto Class = static_cast<std::size_t>(Request.m_Priority);
  Lane &Of = m_Lanes[Request.m_Organisation];
  Of.m_Queues[Class].push_back({std::move(Request), Now});
  ++m_WaitingBy[Class];
  ++m_Waiting;
  admitWhilePossible(Capacity, Now);
}

void AdmissionQueue::leave(const OrganisationId &Organisation, double Capacity,
                           TimePoint Now) {
  --m_InFlight;
  --m_Lanes[Organisation].m_InFlight;
  noteDrain(Now);
  expire(Now);
  admitWhilePossible(Capacity, Now);
}

void AdmissionQueue::tick(double Capacity, TimePoint Now) {
  expire(Now);
  admitWhilePossible(Capacity, Now);
}

void AdmissionQueue::noteDrain(TimePoint Now) {
  const double Gap = std::max(1e-6, secondsOf(Now - m_LastDrain));
  m_LastDrain = Now;
  const double Rate = 1 / Gap;
  // Smoothing the gap rather than the rate keeps a burst of ends, which come
  // nearly together, from counting for more than they are.
  const double Before = m_DrainPerSecond > 0 ? 1 / m_DrainPerSecond : 1 / Rate;
  const double Smoothed = Before + DrainSmoothing * (Gap - Before);
  m_DrainPerSecond = 1 / Smoothed;
}

void AdmissionQueue::admitWhilePossible(double Capacity, TimePoint Now) {
  while (m_Waiting > 0 && m_InFlight < Capacity && admitOne(Now)) {
  }
}

int AdmissionQueue::effectivePriority(const Waiting &Of, std::size_t Given,
                                      TimePoint Now) const {
  const auto Steps = (Now - Of.m_Since) / m_Settings.m_AgeStep;
  return std::max(0, static_cast<int>(Given) - static_cast<int>(Steps));
}

bool AdmissionQueue::admitOne(TimePoint Now) {
  Lane *Best = nullptr;
  std::size_t BestClass = 0;
  Turn BestTurn;
  for (auto &[Name, Each] : m_Lanes) {
    if (Each.m_InFlight >= Each.m_MaxInFlight)
      continue;
    for (std::size_t Class = 0; Class < PriorityCount; ++Class) {
      if (Each.m_Queues[Class].empty())
        continue;
      const Waiting &Head = Each.m_Queues[Class].front();
      const Turn Own{effectivePriority(Head, Class, Now), Each.m_Tag,
                     Head.m_Since};
      if (Best && !(Own < BestTurn))
        continue;
      Best = &Each;
      BestClass = Class;
      BestTurn = Own;
    }
  }
  if (!Best)
    return false;
  auto &Queue = Best->m_Queues[BestClass];
  m_Decisions.push_back({Queue.front().m_Request.m_Id, true, {}});
  Queue.pop_front();
  --m_WaitingBy[BestClass];
  --m_Waiting;
  // One that was idle starts at the present, so it cannot save up.
  m_VirtualTime = std::max(m_VirtualTime, Best->m_Tag);
  Best->m_Tag = m_VirtualTime + 1.0 / Best->m_Share;
  ++Best->m_InFlight;
  // The time without any request says nothing of how fast they end.
  if (m_InFlight++ == 0)
    m_LastDrain = Now;
  return true;
}

/// The newest request of the lowest priority below the newcomer's makes way.
bool AdmissionQueue::makeRoomFor(const AdmissionRequest &Request) {
  if (m_Waiting < m_Settings.m_QueueLimit)
    return true;
  const auto Own = static_cast<std::size_t>(Request.m_Priority);
  for (std::size_t Class = PriorityCount - 1; Class > Own; --Class) {
    std::deque<Waiting> *Newest = nullptr;
    for (auto &[Name, Each] : m_Lanes) {
      auto &Queue = Each.m_Queues[Class];
      if (!Queue.empty() &&
          (!Newest || Queue.back().m_Since > Newest->back().m_Since))
        Newest = &Queue;
    }
    if (!Newest)
      continue;
    const AdmissionId Evicted = Newest->back().m_Request.m_Id;
    Newest->pop_back();
    --m_WaitingBy[Class];
    --m_Waiting;
    refuse(Evicted, static_cast<Priority>(Class));
    return true;
  }
  return false;
}

void AdmissionQueue::expire(TimePoint Now) {
  if (m_Waiting == 0)
    return;
  for (auto &[Name, Each] : m_Lanes) {
    for (std::size_t Class = 0; Class < PriorityCount; ++Class) {
      const auto Erased =
          std::erase_if(Each.m_Queues[Class], [&](const Waiting &Of) {
            if (Of.m_Request.m_Deadline > Now)
              return false;
            refuse(Of.m_Request.m_Id, Of.m_Request.m_Priority);
            return true;
          });
      m_WaitingBy[Class] -= static_cast<std::uint32_t>(Erased);
      m_Waiting -= Erased;
    }
  }
}

void AdmissionQueue::abandon(AdmissionId Id) {
  for (auto &[Name, Each] : m_Lanes) {
    for (std::size_t Class = 0; Class < PriorityCount; ++Class) {
      const auto Erased =
          std::erase_if(Each.m_Queues[Class], [&](const Waiting &Of) {
            return Of.m_Request.m_Id == Id;
          });
      m_WaitingBy[Class] -= static_cast<std::uint32_t>(Erased);
      m_Waiting -= Erased;
    }
  }
}

Duration AdmissionQueue::expectedWait(Priority Of) const {
  if (m_DrainPerSecond <= 0)
    return Duration::zero();
  std::uint32_t Ahead = 0;
  for (std::size_t Class = 0; Class <= static_cast<std::size_t>(Of); ++Class)
    Ahead += m_WaitingBy[Class];
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Ahead / m_DrainPerSecond));
}

void AdmissionQueue::refuse(AdmissionId Id, Priority Of) {
  const Duration Wait =
      std::clamp<Duration>(expectedWait(Of), LeastRetryAfter, MostRetryAfter);
  m_Decisions.push_back({Id, false, Wait});
}

std::vector<AdmissionDecision> AdmissionQueue::takeDecisions() {
  return std::exchange(m_Decisions, {});
}

} // namespace deckpitch
