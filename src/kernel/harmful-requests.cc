#include "deckpitch/harmful-requests.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace deckpitch {

namespace {

/// Losses within this period count together.
constexpr Duration LossRetention = std::chrono::hours(1);
/// How long a change is sent repeatedly, which covers several messages between
/// two processes.
constexpr Duration ResendPeriod = std::chrono::seconds(5);
/// Losses kept per request, including cleared ones.
constexpr std::size_t MaxLosses = 12;
static_assert(MaxLosses > HarmfulRequests::ForgivenLossesToRefuse);
/// Each takes about 200 bytes, and a crash adds a few dozen.
constexpr std::size_t MaxSuspects = 2'048;
/// Answers are remembered for one to two of these periods.
constexpr Duration AnsweredPeriod = std::chrono::seconds(30);
constexpr std::size_t MaxAnswered = 4'096;
/// Evicted in one batch, so that a flood of suspects costs little.
constexpr std::size_t EvictionBatch = MaxSuspects / 4;

std::uint64_t hashOf(const InstanceId &Id) {
  return XXH3_64bits(Id.m_Text.data(), Id.m_Text.size());
}

/// Orders suspects for eviction (lowest first) and sending (highest first).
/// Many requests share a part, and each entry knows only some of its losses.
template <typename Entry> auto rankOf(const Entry &Value) {
  return std::tuple(Value.second.countWithForgiven(), isPromptPart(Value.first),
                    Value.second.m_Changed);
}

/// The largest number of losses whose [sent, lost] intervals do not overlap:
/// takes the one that ended first, then the first to end of those sent after
/// it, and so on.
template <typename Condition>
std::size_t countIf(const std::vector<InstanceLoss> &Losses,
                    Condition IsCounted) {
  std::vector<const InstanceLoss *> ByEnd;
  for (const InstanceLoss &Each : Losses)
    if (IsCounted(Each))
      ByEnd.push_back(&Each);
  std::sort(ByEnd.begin(), ByEnd.end(), [](const auto *One, const auto *Other) {
    return One->m_At < Other->m_At;
  });
  std::size_t Count = 0;
  TimePoint Last = TimePoint::min();
  for (const InstanceLoss *Each : ByEnd)
    if (Each->m_Sent > Last) {
      ++Count;
      Last = Each->m_At;
    }
  return Count;
}

} // namespace

std::size_t HarmfulRequests::Suspect::count() const {
  return countIf(m_Losses, [](const InstanceLoss &Each) {
    return !Each.m_IsCleared && !Each.m_IsForgiven;
  });
}

std::size_t HarmfulRequests::Suspect::countWithForgiven() const {
  return countIf(m_Losses,
                 [](const InstanceLoss &Each) { return !Each.m_IsCleared; });
}

bool HarmfulRequests::Suspect::hasForgiven() const {
  return std::any_of(m_Losses.begin(), m_Losses.end(), [](const auto &Each) {
    return Each.m_IsForgiven && !Each.m_IsCleared;
  });
}

TimePoint HarmfulRequests::Suspect::lastLoss() const {
  TimePoint Last{};
  for (const InstanceLoss &Each : m_Losses)
    if (!Each.m_IsCleared)
      Last = std::max(Last, Each.m_At);
  return Last;
}

std::optional<TimePoint>
HarmfulRequests::Suspect::refusedUntil(TimePoint Now) const {
  const std::size_t Counted = count();
  const std::size_t All = countWithForgiven();
  std::size_t Periods = 0;
  if (Counted >= LossesToRefuse)
    Periods = Counted - LossesToRefuse + 1;
  if (All >= ForgivenLossesToRefuse)
    Periods = std::max(Periods, All - ForgivenLossesToRefuse + 1);
  const TimePoint Until =
      lastLoss() + RefusalPeriod * static_cast<int>(Periods);
  if (Periods == 0 || Until <= Now)
    return std::nullopt;
  return Until;
}

bool HarmfulRequests::Suspect::isTrialLoss(std::uint64_t Instance) const {
  return std::any_of(m_Losses.begin(), m_Losses.end(),
                     [Instance](const InstanceLoss &Each) {
                       return Each.m_IsTrial && Each.m_Instance == Instance;
                     });
}

/// Whether the losses may have another cause than the request. One that only
/// few callers send is hardly at many failing instances by chance; a whole
/// request that was answered shortly before may still be sound.
bool HarmfulRequests::Suspect::isTentative(bool IsPart) const {
  return !m_HasControl || (!IsPart && hasForgiven());
}

bool HarmfulRequests::Suspect::isTrialDue(std::size_t Rank,
                                          TimePoint Now) const {
  const Duration Waited = Now - std::max(lastLoss(), m_RefusedSince);
  if (Waited < TrialPause)
    return false;
  const auto Turn = static_cast<std::size_t>(Waited / TrialPause) - 1;
  if (Turn % TrialTurns != Rank % TrialTurns)
    return false;
  constexpr int MaxDoublings = 6;
  const int Doublings = std::clamp(m_TrialCount - 1, 0, MaxDoublings);
  return m_TrialCount == 0 ||
         Now - m_LastTrial >= TrialInterval * (1 << Doublings);
}

void HarmfulRequests::Suspect::noteTrial(TimePoint Now) {
  if (m_TrialCount == 0)
    m_FirstTrial = Now;
  m_LastTrial = Now;
  ++m_TrialCount;
}

/// Merges a loss; true if a count changes. A repeated loss keeps its first
/// times, since the delay of each message would shift them.
bool HarmfulRequests::Suspect::add(const InstanceLoss &Update) {
  const std::size_t Before = count();
  const std::size_t BeforeAll = countWithForgiven();
  const auto Known = std::find_if(m_Losses.begin(), m_Losses.end(),
                                  [&](const InstanceLoss &Each) {
                                    return Each.m_Instance == Update.m_Instance;
                                  });
  if (Known == m_Losses.end())
    m_Losses.push_back(Update);
  else {
    Known->m_IsCleared = Known->m_IsCleared || Update.m_IsCleared;
    Known->m_IsForgiven = Known->m_IsForgiven || Update.m_IsForgiven;
    Known->m_IsTrial = Known->m_IsTrial || Update.m_IsTrial;
  }
  if (m_Losses.size() > MaxLosses)
    dropLeastRelevant();
  return count() != Before || countWithForgiven() != BeforeAll;
}

/// Drops a cleared loss or else one that does not affect the count; the oldest
/// if there are several.
void HarmfulRequests::Suspect::dropLeastRelevant() {
  const auto Rank = [this](const InstanceLoss &Loss) {
    Suspect Without = *this;
    std::erase(Without.m_Losses, Loss);
    return std::tuple(!Loss.m_IsCleared,
                      Without.countWithForgiven() < countWithForgiven(),
                      Loss.m_At);
  };
  m_Losses.erase(
      std::min_element(m_Losses.begin(), m_Losses.end(),
                       [&](const InstanceLoss &One, const InstanceLoss &Other) {
                         return Rank(One) < Rank(Other);
                       }));
}

bool HarmfulRequests::Suspect::clear() {
  const bool HadLosses = countWithForgiven() > 0;
  for (InstanceLoss &Each : m_Losses)
    Each.m_IsCleared = true;
  return HadLosses;
}

bool HarmfulRequests::Suspect::forgive() {
  const bool HadLosses = count() > 0;
  for (InstanceLoss &Each : m_Losses)
    Each.m_IsForgiven = true;
  return HadLosses;
}

bool HarmfulRequests::Suspect::isDueToSend(TimePoint Now) const {
  return Now - m_Changed < ResendPeriod || refusedUntil(Now);
}

std::optional<TimePoint>
HarmfulRequests::refusedUntil(const RequestFingerprint &Request,
                              TimePoint Now) const {
  const auto Found = m_Suspects.find(Request);
  if (Found == m_Suspects.end())
    return std::nullopt;
  return Found->second.refusedUntil(Now);
}

/// Whether each loss that counts for the other one counts for this one too.
bool HarmfulRequests::Suspect::includes(const Suspect &Other) const {
  const auto IsOwn = [this](const InstanceLoss &Loss) {
    return std::any_of(
        m_Losses.begin(), m_Losses.end(), [&](const InstanceLoss &Each) {
          return !Each.m_IsCleared && Each.m_Instance == Loss.m_Instance;
        });
  };
  return std::all_of(Other.m_Losses.begin(), Other.m_Losses.end(),
                     [&](const InstanceLoss &Each) {
                       return Each.m_IsCleared || IsOwn(Each);
                     });
}

/// Whether an instance that did not run a trial failed at about the same time
/// as the one that did.
bool HarmfulRequests::hasCommonFailure(const Suspect &Known,
                                       const InstanceLoss &Trial) const {
  const auto IsCommon = [&](const InstanceLoss &Each) {
    return Each.m_At - Trial.m_At < CommonFailurePeriod &&
           Trial.m_At - Each.m_At < CommonFailurePeriod &&
           !Known.isTrialLoss(Each.m_Instance);
  };
  return std::any_of(
      m_Suspects.begin(), m_Suspects.end(), [&](const auto &Each) {
        const auto &Losses = Each.second.m_Losses;
        return std::any_of(Losses.begin(), Losses.end(), IsCommon);
      });
}

/// Whether the trials show that the request is harmful. Those that were lost
/// together with other instances show nothing, and count once for each failure.
bool HarmfulRequests::hasFailedTrial(const Suspect &Known) const {
  std::vector<TimePoint> Excused;
  for (const InstanceLoss &Each : Known.m_Losses)
    if (Each.m_IsTrial && !Each.m_IsCleared) {
      if (!hasCommonFailure(Known, Each))
        return true;
      Excused.push_back(Each.m_At);
    }
  std::sort(Excused.begin(), Excused.end());
  std::size_t Failures = 0;
  for (std::size_t I = 0; I < Excused.size(); ++I)
    if (I == 0 || Excused[I] - Excused[I - 1] >= CommonFailurePeriod)
      ++Failures;
  return Failures > MaxExcusedFailures;
}

/// Whether another refused suspect, which the request does not carry, was there
/// at all losses of this one.
bool HarmfulRequests::isExplained(
    const RequestFingerprint &Which,
    const std::vector<RequestFingerprint> &Carried, TimePoint Now) const {
  const Suspect &Known = m_Suspects.at(Which);
  return std::any_of(
      m_Suspects.begin(), m_Suspects.end(), [&](const auto &Each) {
        const bool IsCarried = std::find(Carried.begin(), Carried.end(),
                                         Each.first) != Carried.end();
        return !IsCarried && Each.second.refusedUntil(Now) &&
               Each.second.includes(Known);
      });
}

/// Those of the fingerprints for which the request is refused.
std::vector<RequestFingerprint>
HarmfulRequests::causesOf(const std::vector<RequestFingerprint> &Carried,
                          TimePoint Now) const {
  std::vector<RequestFingerprint> Out;
  for (const RequestFingerprint &Each : Carried)
    if (refusedUntil(Each, Now) && !isExplained(Each, Carried, Now))
      Out.push_back(Each);
  return Out;
}

std::optional<HarmRefusal>
HarmfulRequests::refusalOf(const std::vector<RequestFingerprint> &Carried,
                           TimePoint Now) const {
  std::optional<HarmRefusal> Out;
  bool IsTentative = true;
  for (const RequestFingerprint &Each : causesOf(Carried, Now)) {
    const Suspect &Known = m_Suspects.at(Each);
    const TimePoint Until = *Known.refusedUntil(Now);
    if (!Out || Until > Out->m_Until)
      Out = {Each, Until, Known.countWithForgiven()};
    IsTentative = IsTentative && isTentative(Each);
  }
  if (Out)
    Out->m_IsTentative = IsTentative;
  return Out;
}

/// Whether trials may end the refusal.
bool HarmfulRequests::isTentative(const RequestFingerprint &Which) const {
  const Suspect &Known = m_Suspects.at(Which);
  return Known.isTentative(isPromptPart(Which)) && !hasFailedTrial(Known);
}

bool HarmfulRequests::beginTrial(const std::vector<RequestFingerprint> &Carried,
                                 std::size_t Rank, TimePoint Now) {
  const std::vector<RequestFingerprint> Causes = causesOf(Carried, Now);
  for (const RequestFingerprint &Each : Causes)
    if (!m_Suspects.at(Each).isTrialDue(Rank, Now) || !isTentative(Each))
      return false;
  for (const RequestFingerprint &Each : Causes)
    m_Suspects.at(Each).noteTrial(Now);
  return !Causes.empty();
}

std::size_t
HarmfulRequests::lossCount(const RequestFingerprint &Request) const {
  const auto Found = m_Suspects.find(Request);
  return Found == m_Suspects.end() ? 0 : Found->second.count();
}

/// Evicts the suspects with the fewest and oldest losses.
void HarmfulRequests::evictSuspects(TimePoint Now) {
  forgetOld(Now);
  if (m_Suspects.size() < MaxSuspects)
    return;
  using Entry = decltype(m_Suspects)::iterator;
  std::vector<Entry> All;
  for (Entry It = m_Suspects.begin(); It != m_Suspects.end(); ++It)
    All.push_back(It);
  const auto End = All.begin() + static_cast<long>(EvictionBatch);
  std::nth_element(All.begin(), End, All.end(),
                   [](const Entry &One, const Entry &Other) {
                     return rankOf(*One) < rankOf(*Other);
                   });
  std::for_each(All.begin(), End,
                [this](const Entry &Each) { m_Suspects.erase(Each); });
}

bool HarmfulRequests::lost(const RequestFingerprint &Request,
                           const InstanceId &At, TimePoint Sent, TimePoint Now,
                           bool HasControl) {
  InstanceLoss Loss{hashOf(At), Sent, Now};
  const auto Known = m_Suspects.find(Request);
  const bool IsRefused =
      Known != m_Suspects.end() && Known->second.refusedUntil(Now);
  if (IsRefused)
    Loss.m_IsTrial =
        Known->second.m_TrialCount > 0 && Sent >= Known->second.m_FirstTrial;
  // While a part is refused, only prompts without it are answered.
  return receive({Request, {Loss}, HasControl && !IsRefused}, Now);
}

void HarmfulRequests::answered(const RequestFingerprint &Request,
                               TimePoint Now) {
  if (Now - m_AnsweredSince >= AnsweredPeriod ||
      m_Answered.size() >= MaxAnswered) {
    m_AnsweredBefore = std::exchange(m_Answered, {});
    m_AnsweredSince = Now;
  }
  m_Answered.insert(Request);
  const auto Found = m_Suspects.find(Request);
  if (Found == m_Suspects.end())
    return;
  Found->second.m_HasControl = false;
  if (Found->second.clear())
    Found->second.m_Changed = Now;
}

bool HarmfulRequests::wasAnsweredRecently(const RequestFingerprint &Request,
                                          TimePoint Now) const {
  const Duration Age = Now - m_AnsweredSince;
  return (Age < 2 * AnsweredPeriod && m_Answered.contains(Request)) ||
         (Age < AnsweredPeriod && m_AnsweredBefore.contains(Request));
}

bool HarmfulRequests::receive(const SuspectRequest &Update, TimePoint Now) {
  if (m_Suspects.size() >= MaxSuspects &&
      !m_Suspects.contains(Update.m_Request))
    evictSuspects(Now);
  Suspect &Known = m_Suspects[Update.m_Request];
  const bool WasRefused = Known.refusedUntil(Now).has_value();
  for (const InstanceLoss &Each : Update.m_Losses)
    if (Now - Each.m_At < LossRetention && Known.add(Each))
      Known.m_Changed = Now;
  if (wasAnsweredRecently(Update.m_Request, Now) && Known.forgive())
    Known.m_Changed = Now;
  if (Known.countWithForgiven() == 0) {
    Known.m_HasControl = false;
    return false;
  }
  Known.m_HasControl = Known.m_HasControl || Update.m_HasControl;
  if (WasRefused || !Known.refusedUntil(Now))
    return false;
  Known.m_RefusedSince = Now;
  Known.m_TrialCount = 0;
  return true;
}

std::vector<SuspectRequest>
HarmfulRequests::updatesToSend(std::size_t MaxCount, TimePoint Now) const {
  std::vector<const std::pair<const RequestFingerprint, Suspect> *> Due;
  for (const auto &Each : m_Suspects)
    if (Each.second.isDueToSend(Now))
      Due.push_back(&Each);
  const std::size_t Count = std::min(MaxCount, Due.size());
  std::partial_sort(Due.begin(), Due.begin() + static_cast<long>(Count),
                    Due.end(), [](const auto *One, const auto *Other) {
                      return rankOf(*One) > rankOf(*Other);
                    });
  std::vector<SuspectRequest> Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out.push_back(
        {Due[I]->first, Due[I]->second.m_Losses, Due[I]->second.m_HasControl});
  return Out;
}

void HarmfulRequests::forgetOld(TimePoint Now) {
  for (auto &[Request, Each] : m_Suspects)
    std::erase_if(Each.m_Losses, [Now](const InstanceLoss &Loss) {
      return Now - Loss.m_At >= LossRetention;
    });
  std::erase_if(m_Suspects,
                [](const auto &Each) { return Each.second.m_Losses.empty(); });
}

Duration pauseFor(const HarmRefusal &Refusal, TimePoint Now) {
  const Duration Left = Refusal.m_Until - Now;
  return Refusal.m_IsTentative ? std::min(HarmfulRequests::TrialPause, Left)
                               : Left;
}

} // namespace deckpitch
