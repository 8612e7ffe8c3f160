#include "deckpitch/instance-table.h"

#include <algorithm>
#include <utility>

namespace deckpitch {

namespace {

using std::chrono::milliseconds;

/// Age from which a report no longer shows how many requests other entries have
/// there: several times the interval between two reports.
constexpr Duration ReportLifetime = std::chrono::milliseconds(800);
/// Time for which an instance whose agent did not answer is passed over while
/// others answer: about the queueing delay of a question on a full link.
constexpr Duration UnansweredBackOff = std::chrono::milliseconds(100);
/// Time for which an instance that is only listed may already be gone: the
/// platform keeps an instance listed for three heartbeat intervals of 1.2 s,
/// and the list is read every 0.75 s.
constexpr Duration UnconfirmedTimeout = std::chrono::milliseconds(4'500);

} // namespace

bool InstanceTable::isFresh(const Instance &Each, TimePoint Now) {
  return Each.m_Reported && Now - *Each.m_Reported < ReportLifetime;
}

/// The agent has ended, or the machine is paused or cut off: what is sent there
/// may be read long after its caller has left. Agents of other data centres
/// report here only while they run requests of this entry.
bool InstanceTable::hasStoppedReporting(const Instance &Each,
                                        TimePoint Now) const {
  return isLocal(Each) && Each.m_Reported && !isFresh(Each, Now);
}

/// Nothing but the list is known of it: its agent does not report here.
bool InstanceTable::isOnlyListed(const Instance &Each, TimePoint Now) const {
  return !isLocal(Each) && engineOf(Each.m_Listed.m_Service) &&
         !isFresh(Each, Now);
}

void InstanceTable::setRegions(RegionMap Regions) {
  m_Regions = std::move(Regions);
  for (auto &[Id, Each] : m_Instances)
    Each.m_Region = m_Regions.regionOf(Each.m_Listed.m_DataCentre);
}

void InstanceTable::setEvacuated(const std::set<DataCentreId> &DataCentres,
                                 TimePoint Now) {
  std::erase_if(m_EvacuatedSince, [&](const auto &Each) {
    return !DataCentres.contains(Each.first);
  });
  for (const DataCentreId &Each : DataCentres)
    m_EvacuatedSince.try_emplace(Each, Now);
}

void InstanceTable::setServices(
    const std::vector<ServiceDeclaration> &Services) {
  m_Services.clear();
  for (const ServiceDeclaration &Each : Services)
    m_Services.emplace(Each.m_Id, Each);
  markSuperseded();
}

void InstanceTable::setInstances(const std::vector<FleetInstance> &Listed,
                                 TimePoint Now) {
  for (auto &[Id, Each] : m_Instances)
    Each.m_IsListed = false;
  for (const FleetInstance &Each : Listed) {
    const auto [At, IsNew] = m_Instances.try_emplace(Each.m_Id);
    Instance &Known = At->second;
    if (IsNew) {
      Known.m_LastActivity = Now;
      Known.m_ListedAt = Now;
    }
    // The list repeats a value until the platform writes the next one.
    if (IsNew || Each.m_ColdLeft != Known.m_Listed.m_ColdLeft)
      Known.m_ColdUntil = Now + Each.m_ColdLeft;
    if (!isFresh(Known, Now) && !Known.m_HasOtherIncarnation)
      Known.m_Weights = Each.m_Weights;
    Known.m_Listed = Each;
    Known.m_Region = m_Regions.regionOf(Each.m_DataCentre);
    Known.m_IsListed = true;
  }
  markSuperseded();
  std::erase_if(m_Instances, [](const auto &Each) {
    return !Each.second.m_IsListed && Each.second.m_Own == 0;
  });
}

/// The platform lists an instance that crashed for some seconds more, beside
/// the one that has started at its address: after a loss of power, half of the
/// listed ones were gone, and reports were taken for theirs. Objects of other
/// writers may name the address of an instance too, but supersede none whose
/// service is declared unless theirs is.
void InstanceTable::markSuperseded() {
  m_ByAddress.clear();
  for (auto &[Id, Each] : m_Instances) {
    if (!Each.m_IsListed)
      continue;
    const auto [At, IsFirst] =
        m_ByAddress.try_emplace(Each.m_Listed.m_Address, Id);
    Each.m_IsSuperseded = false;
    if (IsFirst)
      continue;
    Instance &Other = m_Instances.at(At->second);
    const auto RankOf = [this](const Instance &Of) {
      return std::pair(m_Services.contains(Of.m_Listed.m_Service),
                       Of.m_Listed.m_Registration);
    };
    const bool IsLater = RankOf(Each) >= RankOf(Other);
    const bool IsKnown = RankOf(Each) != RankOf(Other);
    (IsLater ? Other : Each).m_IsSuperseded = IsKnown;
    if (IsLater)
      At->second = Id;
  }
}

void InstanceTable::setWeights(const std::vector<DeclaredWeights> &Declared,
                               TimePoint Now) {
  for (const DeclaredWeights &Each : Declared)
    m_Wanted[Each.m_Model].add(Each.m_Version, Now);
}

bool InstanceTable::report(const std::string &Address, InstanceReport Report,
                           TimePoint Now) {
  const auto Id = m_ByAddress.find(Address);
  if (Id == m_ByAddress.end())
    return false;
  Instance &Known = m_Instances.at(Id->second);
  // The list and the report arrive on different paths, and either may be the
  // older one. The weights of the newer incarnation are known once both are
  // about it.
  const bool IsOtherIncarnation = Report.m_Start != 0 &&
                                  Known.m_Listed.m_Start != 0 &&
                                  Report.m_Start != Known.m_Listed.m_Start;
  Known.m_HasOtherIncarnation = IsOtherIncarnation;
  if (IsOtherIncarnation) {
    Known.m_Weights.clear();
    Known.m_Reported.reset();
    return false;
  }
  Known.m_IsConfirmed =
      Known.m_IsConfirmed || Report.m_Start == Known.m_Listed.m_Start;
  const std::uint32_t All = Report.m_Running + Report.m_Waiting;
  Known.m_Others = All - std::min(All, Known.m_Own);
  Known.m_Reported = Now;
  if (Known.m_TakesRequests && !Report.m_TakesRequests)
    Known.m_ClosedAt = Now;
  Known.m_TakesRequests = Report.m_TakesRequests;
  Known.m_Loading = Report.m_Loading;
  Known.m_SwapAt.reset();
  if (Report.m_SwapIn)
    Known.m_SwapAt = Now + *Report.m_SwapIn;
  Known.m_HasSoundLink = Report.m_HasSoundLink;
  Known.m_Weights = std::move(Report.m_Weights);
  if (Report.m_RateLimit)
    rateReported(*Report.m_RateLimit, Now);
  return true;
}

const EngineProfile *InstanceTable::engineOf(const ServiceId &Service) const {
  const auto Found = m_Services.find(Service);
  const bool HasEngine = Found != m_Services.end() && Found->second.m_Engine;
  return HasEngine ? &*Found->second.m_Engine : nullptr;
}

double InstanceTable::loadOf(const Instance &Each, TimePoint Now) const {
  const bool IsFresh = isFresh(Each, Now);
  if (IsFresh)
    return Each.m_Own + Each.m_Others;
  // Its agent is asked before anything is sent there.
  if (isOnlyListed(Each, Now))
    return Each.m_Own;
  // Without a report, each other entry is assumed to have as many requests
  // there as this one.
  return static_cast<double>(Each.m_Own) * static_cast<double>(m_Entries);
}

void InstanceTable::started(const InstanceId &Id, TimePoint Now) {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end())
    return;
  Instance &Known = Found->second;
  if (Known.m_Own++ == 0)
    Known.m_LastActivity = Now;
  ++Known.m_Unanswered;
}

void InstanceTable::answerStarted(const InstanceId &Id) {
  const auto Found = m_Instances.find(Id);
  if (Found != m_Instances.end())
    Found->second.m_Unanswered -= std::min(Found->second.m_Unanswered, 1U);
}

std::optional<Duration> InstanceTable::ended(const InstanceId &Id, End Outcome,
                                             bool WasAnswering, TimePoint Now) {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end())
    return std::nullopt;
  Instance &Known = Found->second;
  Known.m_Own -= std::min(Known.m_Own, 1U);
  if (!WasAnswering)
    Known.m_Unanswered -= std::min(Known.m_Unanswered, 1U);
  if (Outcome == End::Good)
    Known.m_Ejection.succeeded();
  std::optional<Duration> EjectedFor;
  if (Outcome == End::Failed && Known.m_Ejection.failed(Now))
    EjectedFor = Known.m_Ejection.until() - Now;
  if (!Known.m_IsListed && Known.m_Own == 0)
    m_Instances.erase(Found);
  return EjectedFor;
}

void InstanceTable::dataReceived(const InstanceId &Id, TimePoint Now) {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end())
    return;
  Found->second.m_LastActivity = Now;
  Found->second.m_LastByte = Now;
  Found->second.m_IsConfirmed = true;
}

bool InstanceTable::lost(const InstanceId &Id, TimePoint Sent, TimePoint Now) {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end())
    return false;
  Instance &Known = Found->second;
  if (Known.m_LastByte >= Sent) {
    Known.m_LostAt = Now;
    return true;
  }
  const TimePoint LastSign =
      std::max(Known.m_LastByte, Known.m_Reported.value_or(TimePoint{}));
  const bool WasGone =
      Known.m_LostAt && *Known.m_LostAt <= Sent && LastSign <= *Known.m_LostAt;
  if (WasGone)
    return false;
  Known.m_LostAt = Now;
  // That no data came does not show whether the request had begun. Only engines
  // have agents.
  const bool IsReportedAlive =
      Known.m_Reported && Sent - *Known.m_Reported < ReportLifetime;
  return IsReportedAlive || !engineOf(Known.m_Listed.m_Service);
}

bool InstanceTable::wasLostSince(const InstanceId &Id, TimePoint Since) const {
  const auto Found = m_Instances.find(Id);
  return Found != m_Instances.end() && Found->second.m_LostAt &&
         *Found->second.m_LostAt >= Since;
}

bool InstanceTable::leaving(const InstanceId &Id) {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end())
    return false;
  Instance &Known = Found->second;
  const bool IsChange =
      !Known.m_HasAnnouncedLeaving && !Known.m_Listed.m_IsLeaving;
  Known.m_HasAnnouncedLeaving = true;
  return IsChange;
}

bool InstanceTable::backOff(const InstanceId &Id, TimePoint Until,
                            TimePoint Now) {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end())
    return false;
  TimePoint &RestsUntil = Found->second.m_BackOffUntil;
  const bool IsChange = RestsUntil <= Now;
  RestsUntil = std::max(RestsUntil, Until);
  return IsChange;
}

bool InstanceTable::hasFreshReport(const InstanceId &Id, TimePoint Now) const {
  const auto Found = m_Instances.find(Id);
  return Found != m_Instances.end() && isFresh(Found->second, Now);
}

void InstanceTable::replaced(const InstanceId &Id) {
  const auto Found = m_Instances.find(Id);
  if (Found != m_Instances.end())
    Found->second.m_IsReplaced = true;
}

std::vector<InstanceId> InstanceTable::silentFor(Duration Length,
                                                 TimePoint Now) const {
  std::vector<InstanceId> Out;
  for (const auto &[Id, Each] : m_Instances)
    if (Each.m_Own > 0 && Now - Each.m_LastActivity > Length)
      Out.push_back(Id);
  return Out;
}

bool InstanceTable::isConfirmed(const InstanceId &Id, TimePoint Now) const {
  const auto Found = m_Instances.find(Id);
  return Found != m_Instances.end() && isAlive(Found->second, Now) &&
         !isOnlyListed(Found->second, Now);
}

/// Returns whether the instance is alive as far as is known; see isConfirmed().
bool InstanceTable::isAlive(const Instance &Each, TimePoint Now) const {
  return Each.m_IsConfirmed || !engineOf(Each.m_Listed.m_Service) ||
         Now - Each.m_ListedAt >= UnconfirmedTimeout;
}

bool InstanceTable::needsAgentQuery(const Instance &Each, TimePoint Now) const {
  const bool MayBeSkipped =
      isLocal(Each) && !isFresh(Each, Now) && isAlive(Each, Now);
  return engineOf(Each.m_Listed.m_Service) && !MayBeSkipped;
}

std::optional<SlotQuestion>
InstanceTable::slotQuestion(const InstanceId &Id, const ChoiceQuery &Query,
                            TimePoint Now) const {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end())
    return std::nullopt;
  const Instance &Each = Found->second;
  SlotQuestion Out;
  Out.m_Instance = Id;
  Out.m_Address = Each.m_Listed.m_Address;
  if (const auto Newest = Each.m_RateLimit.newest())
    Out.m_RateLimit = {Id, *Newest, Each.m_RateLimit.isFirstHand(), {}};
  Out.m_ColdStart = coldStartOf(Each, Now);
  if (!needsAgentQuery(Each, Now)) {
    if (!Each.m_RateLimit.perSecond() && !Out.m_ColdStart)
      return std::nullopt;
    Out.m_Grantor = SlotGrantor::Entry;
    return Out;
  }
  const auto Share = m_PlannedShares.find(Query.m_Service);
  const double Planned = Share == m_PlannedShares.end() ? PlannedShare().value()
                                                        : Share->second.value();
  const Duration FirstWithin(static_cast<Duration::rep>(
      Planned * static_cast<double>(Duration(Query.m_Objective).count())));
  Out.m_Place = placeQueryFor(*engineOf(Query.m_Service), Query.m_Size,
                              FirstWithin, Query.m_Reserve);
  return Out;
}

void InstanceTable::firstToken(const ChoiceQuery &Query, Duration After) {
  m_PlannedShares[Query.m_Service].observe(After, Query.m_Objective);
}

bool InstanceTable::canTake(const InstanceId &Id, const ChoiceQuery &Query,
                            TimePoint Now) const {
  const auto Found = m_Instances.find(Id);
  if (Found == m_Instances.end() || !isUsable(Id, Found->second, Query))
    return false;
  const Instance &Each = Found->second;
  if (Query.m_Model.empty())
    return true;
  return !isOnlyListed(Each, Now) && Each.m_TakesRequests &&
         serves(Each, Query, Now);
}

void InstanceTable::unanswered(const InstanceId &Id, TimePoint Now) {
  const auto Found = m_Instances.find(Id);
  if (Found != m_Instances.end())
    Found->second.m_AskAgain = Now + UnansweredBackOff;
}

std::uint32_t InstanceTable::tokensPerEvent(const ServiceId &Service) const {
  const EngineProfile *Engine = engineOf(Service);
  return Engine ? Engine->m_StepsPerPass : 0;
}

std::vector<InstanceId> InstanceTable::evacuatedFor(Duration Length,
                                                    TimePoint Now) const {
  std::vector<InstanceId> Out;
  if (m_EvacuatedSince.empty())
    return Out;
  for (const auto &[Id, Each] : m_Instances) {
    const auto Since = m_EvacuatedSince.find(Each.m_Listed.m_DataCentre);
    if (Each.m_Own > 0 && Since != m_EvacuatedSince.end() &&
        Now - Since->second > Length)
      Out.push_back(Id);
  }
  return Out;
}

std::vector<InstanceId> InstanceTable::replacedWithRequests() const {
  std::vector<InstanceId> Out;
  for (const auto &[Id, Each] : m_Instances) {
    const auto Now = m_ByAddress.find(Each.m_Listed.m_Address);
    const bool HasOther = Now != m_ByAddress.end() && Now->second != Id;
    const bool IsGone = !Each.m_IsListed || Each.m_IsSuperseded;
    if (Each.m_Own > 0 && IsGone && HasOther)
      Out.push_back(Id);
  }
  return Out;
}

const FleetInstance *InstanceTable::find(const InstanceId &Id) const {
  const auto Found = m_Instances.find(Id);
  return Found == m_Instances.end() ? nullptr : &Found->second.m_Listed;
}

std::size_t InstanceTable::countIn(const DataCentreId &DataCentre) const {
  return static_cast<std::size_t>(std::count_if(
      m_Instances.begin(), m_Instances.end(), [&](const auto &Each) {
        return Each.second.m_IsListed &&
               Each.second.m_Listed.m_DataCentre == DataCentre;
      }));
}

std::vector<std::string> InstanceTable::subscribedAddresses() const {
  std::vector<std::string> Out;
  for (const auto &[Id, Each] : m_Instances) {
    const bool HasAgent = engineOf(Each.m_Listed.m_Service) && Each.m_IsListed;
    if (HasAgent && (isLocal(Each) || Each.m_Own > 0))
      Out.push_back(Each.m_Listed.m_Address);
  }
  return Out;
}

std::vector<std::string> InstanceTable::agentAddressesWhere(
    const std::function<bool(const DataCentreId &)> &Holds) const {
  std::vector<std::string> Out;
  for (const auto &[Id, Each] : m_Instances)
    if (engineOf(Each.m_Listed.m_Service) && Each.m_IsListed &&
        Holds(Each.m_Listed.m_DataCentre))
      Out.push_back(Each.m_Listed.m_Address);
  return Out;
}

std::uint32_t InstanceTable::inFlight() const {
  std::uint32_t Sum = 0;
  for (const auto &[Id, Each] : m_Instances)
    Sum += Each.m_Own;
  return Sum;
}

} // namespace deckpitch
