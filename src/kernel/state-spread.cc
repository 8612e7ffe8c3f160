#include "deckpitch/state-spread.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace deckpitch {

namespace {

/// Beside one, entries of a data centre that are answered as its relays: old
/// and new ones.
constexpr std::ptrdiff_t MostOtherTellers = 2 * RelaysPerDataCentre;

/// Any age may be told: it is compared in its own unit, which an age that is
/// too large for the finer one fits.
bool isOfUse(std::chrono::milliseconds Age, Duration Late) {
  constexpr auto Most =
      std::chrono::duration_cast<std::chrono::milliseconds>(LongestUse);
  return Age.count() >= 0 && Age <= Most && Age + Late <= LongestUse;
}

/// Those at which the relay of that rank sends: the one of its rank, or where
/// the numbers differ all without a counterpart, so that each relay is told by
/// one of the others and each of the others tells one.
std::vector<InstanceId> partnersOf(std::size_t Rank, std::size_t Own,
                                   const std::vector<InstanceId> &Others) {
  std::vector<InstanceId> Out;
  for (std::size_t I = 0; I < Others.size(); ++I)
    if (I % Own == Rank || Rank % Others.size() == I)
      Out.push_back(Others[I]);
  return Out;
}

} // namespace

void StateSpread::setEntries(const std::vector<EntryCandidate> &Live,
                             TimePoint Now) {
  m_Live.clear();
  m_Relays.clear();
  for (const EntryCandidate &Each : Live)
    m_Live.insert_or_assign(Each.m_Id, Each.m_DataCentre);
  for (const auto &[Id, In] : m_Live)
    if (!m_Relays.contains(In))
      m_Relays.emplace(In, chooseRelays(In, Live));
  const auto &Own = relaysOf(m_Own.m_DataCentre);
  const auto Place = std::find(Own.begin(), Own.end(), m_Own.m_Id);
  m_Rank.reset();
  if (Place != Own.end())
    m_Rank = static_cast<std::size_t>(Place - Own.begin());
  std::erase_if(m_Partners, [&](const auto &Each) {
    return !m_Relays.contains(Each.first);
  });
  for (const auto &[In, Relays] : m_Relays)
    setPartners(In, Now);
  setChannels();
  // A silence of the relays begins when the entry does.
  if (!m_RelayHeard)
    m_RelayHeard = Now;
}

void StateSpread::setPartners(const DataCentreId &In, TimePoint Now) {
  if (In == m_Own.m_DataCentre || !m_Rank)
    return void(m_Partners.erase(In));
  const std::size_t OwnCount = relaysOf(m_Own.m_DataCentre).size();
  std::vector<InstanceId> Ids = partnersOf(*m_Rank, OwnCount, relaysOf(In));
  Partners &Of = m_Partners[In];
  if (Of.m_Ids != Ids)
    Of = {std::move(Ids), Now};
}

void StateSpread::setInstances(const std::vector<ListedAddress> &Listed) {
  std::map<std::string, Instance> Before = std::move(m_Instances);
  m_Instances.clear();
  m_InstanceCentres.clear();
  for (const ListedAddress &Each : Listed) {
    Instance &Fresh = m_Instances[Each.m_Address];
    Fresh.m_DataCentre = Each.m_DataCentre;
    const auto Found = Before.find(Each.m_Address);
    if (Found != Before.end())
      Fresh.m_Known = std::move(Found->second.m_Known);
    m_InstanceCentres.insert(Each.m_DataCentre);
  }
  setChannels();
}

/// One for the states of each data centre to the own entries, and one for the
/// own states to each other data centre.
void StateSpread::setChannels() {
  std::set<Path> Wanted;
  const auto Want = [&](const DataCentreId &Each) {
    Wanted.insert({Each, m_Own.m_DataCentre});
    Wanted.insert({m_Own.m_DataCentre, Each});
  };
  if (m_Rank) {
    for (const auto &[Each, Relays] : m_Relays)
      Want(Each);
    for (const DataCentreId &Each : m_InstanceCentres)
      Want(Each);
  }
  std::erase_if(m_Channels,
                [&](const auto &Each) { return !Wanted.contains(Each.first); });
  for (const Path &Each : Wanted)
    m_Channels.try_emplace(Each);
}

const std::vector<InstanceId> &
StateSpread::relaysOf(const DataCentreId &Of) const {
  static const std::vector<InstanceId> None;
  const auto Found = m_Relays.find(Of);
  return Found == m_Relays.end() ? None : Found->second;
}

bool StateSpread::isNear(const InstanceId &Entry) const {
  const auto Found = m_Live.find(Entry);
  return Found != m_Live.end() && Found->second == m_Own.m_DataCentre;
}

/// An entry that is not believed to live yet is taken at its word.
bool StateSpread::mayTellOf(const InstanceId &Entry,
                            const DataCentreId &Of) const {
  const auto Found = m_Live.find(Entry);
  return Found == m_Live.end() || Found->second == Of;
}

void StateSpread::hearAgent(const SpreadState &Said, TimePoint Now,
                            Duration Late) {
  const auto Found = m_Instances.find(Said.m_Address);
  if (Found == m_Instances.end() || Late > LongestUse)
    return void(++m_Refused);
  Instance &About = Found->second;
  const ReportChange Change = learn(About, {Said, Now - Late}, Now);
  if (About.m_DataCentre != m_Own.m_DataCentre)
    return; // Its own data centre's relays pass it on.
  markNear(About.m_DataCentre, Said.m_Address, Change);
  markFar(Said.m_Address, Change);
}

void StateSpread::hearEntry(const InstanceId &From, const StateBatch &Told,
                            TimePoint Now, Duration Late) {
  if (!isSound(Told)) {
    m_Refused += std::max<std::size_t>(Told.m_States.size(), 1);
    return;
  }
  hearTeller(From, Told.m_Of, Now);
  for (const ToldState &Each : Told.m_States)
    hearState(From, Told.m_Of, Each, Now, Late);
}

void StateSpread::hearTeller(const InstanceId &From, const DataCentreId &Of,
                             TimePoint Now) {
  if (Of != m_Own.m_DataCentre) {
    const auto IsOfSame = [&](const auto &Each) {
      return Each.first != From && Each.second.m_Of == Of;
    };
    const auto Others =
        std::count_if(m_Tellers.begin(), m_Tellers.end(), IsOfSame);
    if (mayTellOf(From, Of) && !isNear(From) && Others < MostOtherTellers)
      m_Tellers[From] = {Of, Now};
    return;
  }
  if (!isNear(From) || From == m_Own.m_Id)
    return;
  if (m_RelayHeard && Now - *m_RelayHeard >= RelaySilence)
    m_OwnHearingUntil = *m_RelayHeard + RelaySilence + LeastOwnHearing;
  m_RelayHeard = Now;
}

void StateSpread::hearState(const InstanceId &From, const DataCentreId &Of,
                            const ToldState &Told, TimePoint Now,
                            Duration Late) {
  const auto Found = m_Instances.find(Told.m_State.m_Address);
  if (Found == m_Instances.end() || Found->second.m_DataCentre != Of ||
      !isOfUse(Told.m_Age, Late))
    return void(++m_Refused);
  const Duration Age = Told.m_Age + Late;
  const ReportChange Change =
      learn(Found->second, {Told.m_State, Now - Age}, Now);
  // Another relay of the own data centre tells the entries here itself.
  if (Of == m_Own.m_DataCentre)
    return isNear(From) ? markFar(Told.m_State.m_Address, Change) : void();
  if (!isNear(From))
    markNear(Of, Told.m_State.m_Address, Change);
}

/// What a state changes here; nothing where it is not newer.
ReportChange StateSpread::learn(Instance &About, const KnownState &Told,
                                TimePoint Now) {
  std::optional<KnownState> &Known = About.m_Known;
  if (!Known) {
    Known = Told;
    return ReportChange::Plain;
  }
  const ReportOrder &Before = Known->m_Said.m_Order;
  const ReportOrder &Order = Told.m_Said.m_Order;
  if (Order == Before)
    Known->m_AsOf = std::min(Known->m_AsOf, Told.m_AsOf);
  const bool IsGone = Order.m_Incarnation != Before.m_Incarnation &&
                      Now - Known->m_AsOf > LongestUse;
  if (Order == Before || (Order < Before && !IsGone))
    return ReportChange::None;
  const ReportChange Change = changeOf({Known->m_Said.m_Report, Known->m_AsOf},
                                       {Told.m_Said.m_Report, Told.m_AsOf});
  Known = Told;
  return Change;
}

void StateSpread::markNear(const DataCentreId &Of, const std::string &Address,
                           ReportChange Change) {
  const auto Found = m_Channels.find({Of, m_Own.m_DataCentre});
  if (Found == m_Channels.end() || Change == ReportChange::None)
    return;
  Found->second.m_Behind.insert(Address);
  if (Change == ReportChange::Urgent)
    Found->second.m_Urgent.insert(Address);
}

void StateSpread::markFar(const std::string &Address, ReportChange Change) {
  if (Change == ReportChange::None)
    return;
  for (auto &[Along, Each] : m_Channels) {
    if (Along.m_To == m_Own.m_DataCentre)
      continue;
    Each.m_Behind.insert(Address);
    if (Change == ReportChange::Urgent)
      Each.m_Urgent.insert(Address);
  }
}

bool StateSpread::wantsReports(TimePoint Now) const {
  const bool IsSilent = m_RelayHeard && Now - *m_RelayHeard >= RelaySilence;
  return m_Rank || IsSilent || Now < m_OwnHearingUntil;
}

std::optional<KnownState> StateSpread::find(const std::string &Address) const {
  const auto Found = m_Instances.find(Address);
  return Found == m_Instances.end() ? std::nullopt : Found->second.m_Known;
}

} // namespace deckpitch
