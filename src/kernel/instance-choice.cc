// The choice of the instance that takes the next request.
#include "deckpitch/instance-table.h"

#include <algorithm>
#include <limits>
#include <utility>

namespace deckpitch {

namespace {

/// Requests that a plain service may hold for each of its slots: one that runs
/// and one that is next.
constexpr double PlainServiceDepth = 2;
/// Cost of a call to another data centre, as a number of requests at the
/// instance: its traffic is paid for, and a few more requests make little
/// difference at an engine that has free slots.
constexpr double RemotePenalty = 3;
/// Weight of a request whose prompt has not been prefilled yet, compared with
/// one that only decodes, in the waiting time of the next request.
constexpr double UnansweredWeight = 3;
/// Number of instances that one choice compares.
constexpr std::size_t CandidatesCompared = 3;
/// Retrying sooner would meet the same requests. Together with the caller's own
/// round trip, a longer delay leaves too little of an objective of 300 ms: with
/// 60 to 90 ms, 1,707 of 2,291 retries that were served came after 290 ms.
constexpr Duration MinRetryAfter = std::chrono::milliseconds(25);
/// Retry delay while no instance can serve: copying some MB of weights takes
/// two to four seconds over links of some Mbit/s.
constexpr Duration RetryAfterNothing = std::chrono::milliseconds(2'000);
/// Bound on how much more a request may count at an instance with a rate limit.
constexpr double MaxLoadFactor = 100;
/// Longest Retry-After that rates of completion give.
constexpr double MaxRetryAfterSeconds = 4;

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

/// Removes the elements for which the condition does not hold, unless it holds
/// for none.
template <typename T, typename Condition>
void preferWhere(std::vector<T> &List, Condition &&Holds) {
  const auto End = std::partition(List.begin(), List.end(), Holds);
  if (End != List.begin())
    List.erase(End, List.end());
}

} // namespace

double InstanceTable::limitOf(const Instance &Each,
                              const ChoiceQuery &Query) const {
  if (const EngineProfile *Engine = engineOf(Each.m_Listed.m_Service))
    return capacityOf(*Engine, Query.m_Objective).m_Limit - Query.m_Reserve;
  return PlainServiceDepth * std::max(1U, Each.m_Listed.m_Slots);
}

bool InstanceTable::isUsable(const InstanceId &Id, const Instance &Each,
                             const ChoiceQuery &Query) const {
  const bool IsLeaving =
      Each.m_Listed.m_IsLeaving || Each.m_HasAnnouncedLeaving;
  return Each.m_IsListed && !Each.m_IsSuperseded && !Each.m_IsReplaced &&
         !IsLeaving && Each.m_Listed.m_Service == Query.m_Service &&
         !Query.m_Tried.contains(Id) && !Query.m_Full.contains(Id);
}

/// Returns how many requests the instance completes at most; infinity: not
/// known.
double InstanceTable::completionsPerSecond(const Instance &Each,
                                           const ChoiceQuery &Query) const {
  constexpr double Unknown = std::numeric_limits<double>::infinity();
  const EngineProfile *Engine = engineOf(Each.m_Listed.m_Service);
  const double Interval =
      Engine ? secondsOf(
                   capacityOf(*Engine, Query.m_Objective).m_CompletionInterval)
             : 0;
  const double Full = Interval > 0 ? 1 / Interval : Unknown;
  return std::min(Full, Each.m_RateLimit.perSecond().value_or(Unknown));
}

/// Returns by how much a request counts more at this instance than at one of
/// its kind without a rate limit: it is as large as the part of its completions
/// that the limit allows.
double InstanceTable::loadFactor(const Instance &Each,
                                 const ChoiceQuery &Query) const {
  const EngineProfile *Engine = engineOf(Each.m_Listed.m_Service);
  const std::optional<double> PerSecond = Each.m_RateLimit.perSecond();
  if (!PerSecond || !Engine)
    return 1;
  const double Interval =
      secondsOf(capacityOf(*Engine, Query.m_Objective).m_CompletionInterval);
  return std::clamp(1 / std::max(*PerSecond * Interval, 1 / MaxLoadFactor), 1.0,
                    MaxLoadFactor);
}

/// Returns the instance's cost as a number of requests; lower is better.
double InstanceTable::scoreOf(const Instance &Each, const ChoiceQuery &Query,
                              TimePoint Now) {
  std::uniform_real_distribution<double> Tie(0, 0.5);
  const double Load = loadOf(Each, Now) + UnansweredWeight * Each.m_Unanswered;
  return loadFactor(Each, Query) * Load + (isLocal(Each) ? 0 : RemotePenalty) +
         Tie(m_Random);
}

InstanceTable::Candidates InstanceTable::candidatesFor(const ChoiceQuery &Query,
                                                       TimePoint Now) {
  Candidates Out;
  const auto Advance = [](std::optional<TimePoint> &First, TimePoint To) {
    First = std::min(First.value_or(To), To);
  };
  for (auto It = m_Instances.begin(); It != m_Instances.end(); ++It) {
    const Instance &Each = It->second;
    if (!isUsable(It->first, Each, Query))
      continue;
    if (!Query.m_Regions.permits(Each.m_Region)) {
      Out.m_HasElsewhere = true;
      continue;
    }
    if (m_EvacuatedSince.contains(Each.m_Listed.m_DataCentre)) {
      Out.m_HasEvacuated = true;
      continue;
    }
    const bool Serves = Query.m_Model.empty() || isOnlyListed(Each, Now) ||
                        (Each.m_TakesRequests && serves(Each, Query, Now));
    Out.m_LacksWeights = Out.m_LacksWeights || !Serves;
    if (!Serves)
      continue;
    // One request shows whether it answers.
    if (hasStoppedReporting(Each, Now) && Each.m_Unanswered > 0)
      continue;
    if (Each.m_BackOffUntil > Now) {
      Advance(Out.m_FirstBackOffEnd, Each.m_BackOffUntil);
    } else if (awaitsGrant(Each, Now)) {
      Advance(Out.m_FirstGrant, Each.m_NextGrant);
      Out.m_AtLimit.push_back(It);
    } else {
      Out.m_Usable.push_back(It);
    }
  }
  return Out;
}

/// Leaves out the instances that are used only if there are no others.
void InstanceTable::preferBest(std::vector<InstanceIterator> &Usable,
                               const ChoiceQuery &Query, TimePoint Now) const {
  // Ejected instances are used only if there is no other: a faulty instance may
  // still serve some requests, a missing one none.
  preferWhere(Usable, [Now](const auto &Each) {
    return Each->second.m_Ejection.until() <= Now;
  });
  // Prefers instances whose agents have not just failed to answer.
  preferWhere(Usable, [Now](const auto &Each) {
    return Now >= Each->second.m_AskAgain;
  });
  // Prefers instances that will not load other weights before the request ends.
  preferWhere(Usable, [&](const auto &Each) {
    return endsBeforeSwap(Each->second, Query, Now);
  });
  preferWhere(Usable, [&](const auto &Each) {
    return !Query.m_Avoided.contains(Each->first);
  });
  preferWhere(Usable, [&](const auto &Each) {
    return !Query.m_NeedsReport || !hasStoppedReporting(Each->second, Now);
  });
  preferWhere(Usable, [&](const auto &Each) {
    const Instance &Known = Each->second;
    const bool IsHealthy = !Known.m_RateLimit.perSecond() &&
                           loadOf(Known, Now) < limitOf(Known, Query);
    return !Query.m_AvoidsLimited || IsHealthy;
  });
}

/// Returns the mean time until these instances together complete one more
/// request.
Duration InstanceTable::retryAfter(const Candidates &All,
                                   const ChoiceQuery &Query) const {
  double PerSecond = 0;
  for (const auto *List : {&All.m_Usable, &All.m_AtLimit})
    for (const auto &Each : *List)
      PerSecond += completionsPerSecond(Each->second, Query);
  const double Seconds = 1 / std::max(PerSecond, 1 / MaxRetryAfterSeconds);
  return std::max(MinRetryAfter, std::chrono::duration_cast<Duration>(
                                     std::chrono::duration<double>(Seconds)));
}

InstanceChoice InstanceTable::noneUsable(const Candidates &All,
                                         const ChoiceQuery &Query,
                                         TimePoint Now) const {
  InstanceChoice Out;
  if (All.m_FirstGrant) {
    Out.m_Outcome = ChoiceOutcome::RateLimited;
    Out.m_RetryAfter =
        std::max(retryAfter(All, Query), *All.m_FirstGrant - Now);
    return Out;
  }
  if (All.m_FirstBackOffEnd) {
    Out.m_Outcome = ChoiceOutcome::BackingOff;
    Out.m_RetryAfter = *All.m_FirstBackOffEnd - Now;
    return Out;
  }
  Out.m_Outcome = All.m_LacksWeights   ? ChoiceOutcome::NoWeights
                  : All.m_HasEvacuated ? ChoiceOutcome::Evacuated
                  : All.m_HasElsewhere ? ChoiceOutcome::NotAllowed
                                       : ChoiceOutcome::NoInstance;
  Out.m_RetryAfter = RetryAfterNothing;
  return Out;
}

/// An instance of another data centre of which nothing but the list is known is
/// chosen only if the known ones are full, or an agent has refused the request:
/// its load is a guess, and what is sent there crosses the link between
/// regions.
InstanceTable::Preference InstanceTable::preferenceOf(const Instance &Each,
                                                      const ChoiceQuery &Query,
                                                      TimePoint Now) const {
  if (hasStoppedReporting(Each, Now))
    return Preference::Silent;
  const bool IsWanted = !Query.m_Full.empty() || !isOnlyListed(Each, Now);
  return IsWanted ? Preference::Known : Preference::OnlyListed;
}

InstanceChoice InstanceTable::choose(const ChoiceQuery &Query, TimePoint Now) {
  Candidates All = candidatesFor(Query, Now);
  std::vector<InstanceIterator> &Usable = All.m_Usable;
  preferBest(Usable, Query, Now);
  if (Usable.empty())
    return noneUsable(All, Query, Now);
  // All entries see the same reports. If each took the least loaded instance,
  // one that has just become free would receive a burst of prompts: when all
  // instances were compared, 49 of 100 first tokens at instances with one
  // request came after 400 ms, against 3 at those with eight.
  std::shuffle(Usable.begin(), Usable.end(), m_Random);
  const auto SortBefore = [&](Preference Bound) {
    std::stable_partition(Usable.begin(), Usable.end(), [&](const auto &Each) {
      return preferenceOf(Each->second, Query, Now) < Bound;
    });
  };
  SortBefore(Preference::Silent);
  SortBefore(Preference::OnlyListed);
  InstanceChoice Best;
  double BestScore = std::numeric_limits<double>::max();
  const Instance *Chosen = nullptr;
  Preference Current = Preference::Known;
  std::size_t Compared = 0;
  for (const InstanceIterator &At : Usable) {
    const Instance &Each = At->second;
    const Preference Next = preferenceOf(Each, Query, Now);
    const bool IsSampleFull = Compared >= CandidatesCompared || Next != Current;
    if (Chosen && IsSampleFull && Best.m_Load < Best.m_Limit)
      break;
    // Any of the next preference is better than full ones.
    if (Next != Current) {
      BestScore = std::numeric_limits<double>::max();
      Current = Next;
      Compared = 0;
    }
    ++Compared;
    const double Score = scoreOf(Each, Query, Now);
    if (Score >= BestScore)
      continue;
    BestScore = Score;
    Chosen = &Each;
    Best.m_Instance = At->first;
    Best.m_Load = loadOf(Each, Now);
    Best.m_Limit = limitOf(Each, Query) +
                   (needsAgentQuery(Each, Now) ? Query.m_AskedBeyond : 0);
  }
  Best.m_Address = Chosen->m_Listed.m_Address;
  Best.m_RateLimit = Chosen->m_RateLimit.perSecond();
  if (Chosen->m_Reported)
    Best.m_ReportAge = Now - *Chosen->m_Reported;
  Best.m_Outcome =
      Best.m_Load < Best.m_Limit ? ChoiceOutcome::Chosen : ChoiceOutcome::Full;
  Best.m_RetryAfter = retryAfter(All, Query);
  return Best;
}

} // namespace deckpitch
