#include "deckpitch/state-spread.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace deckpitch {

namespace {

/// Maximum number of other entries of a data centre that are answered as its
/// relays, besides one: earlier and current relays.
constexpr std::ptrdiff_t MaxOtherSenders = 2 * RelaysPerDataCentre;

/// Returns whether a state of that age may be used. The age is compared in its
/// own unit first, as a received one may be too large for the finer unit.
bool isUsableAge(std::chrono::milliseconds Age, Duration Late) {
  constexpr auto Most =
      std::chrono::duration_cast<std::chrono::milliseconds>(MaxStateAge);
  return Age.count() >= 0 && Age <= Most && Age + Late <= MaxStateAge;
}

/// Returns the relays that the relay of that rank sends to: the one of the same
/// rank. If the numbers differ, those without a counterpart are distributed so
/// that each relay receives from one of the others, and each of the others
/// sends to one.
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
  // The silence of the relays is measured from the start of the entry.
  if (!m_LastRelayBatch)
    m_LastRelayBatch = Now;
}

void StateSpread::setPartners(const DataCentreId &DataCentre, TimePoint Now) {
  if (DataCentre == m_Own.m_DataCentre || !m_Rank)
    return void(m_Partners.erase(DataCentre));
  const std::size_t OwnCount = relaysOf(m_Own.m_DataCentre).size();
  std::vector<InstanceId> Ids =
      partnersOf(*m_Rank, OwnCount, relaysOf(DataCentre));
  Partners &Of = m_Partners[DataCentre];
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

/// Creates a channel for the states of each data centre to the own entries, and
/// one for the own states to each other data centre.
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
StateSpread::relaysOf(const DataCentreId &DataCentre) const {
  static const std::vector<InstanceId> None;
  const auto Found = m_Relays.find(DataCentre);
  return Found == m_Relays.end() ? None : Found->second;
}

bool StateSpread::isLocal(const InstanceId &Entry) const {
  const auto Found = m_Live.find(Entry);
  return Found != m_Live.end() && Found->second == m_Own.m_DataCentre;
}

/// An entry that is not known as live yet is trusted about its data centre.
bool StateSpread::maySendFor(const InstanceId &Entry,
                             const DataCentreId &DataCentre) const {
  const auto Found = m_Live.find(Entry);
  return Found == m_Live.end() || Found->second == DataCentre;
}

void StateSpread::receiveReport(const SpreadState &State, TimePoint Now,
                                Duration Late) {
  const auto Found = m_Instances.find(State.m_Address);
  if (Found == m_Instances.end() || Late > MaxStateAge)
    return void(++m_Refused);
  Instance &About = Found->second;
  const ReportChange Change = update(About, {State, Now - Late}, Now);
  if (About.m_DataCentre != m_Own.m_DataCentre)
    return; // The relays of its own data centre pass it on.
  markLocal(About.m_DataCentre, State.m_Address, Change);
  markRemote(State.m_Address, Change);
}

void StateSpread::receiveBatch(const InstanceId &From,
                               const StateBatch &Received, TimePoint Now,
                               Duration Late) {
  if (!isValid(Received)) {
    m_Refused += std::max<std::size_t>(Received.m_States.size(), 1);
    return;
  }
  noteSender(From, Received.m_Of, Now);
  for (const AgedState &Each : Received.m_States)
    receiveState(From, Received.m_Of, Each, Now, Late);
}

void StateSpread::noteSender(const InstanceId &From,
                             const DataCentreId &DataCentre, TimePoint Now) {
  if (DataCentre != m_Own.m_DataCentre) {
    const auto IsOfSame = [&](const auto &Each) {
      return Each.first != From && Each.second.m_Of == DataCentre;
    };
    const auto Others =
        std::count_if(m_RemoteSenders.begin(), m_RemoteSenders.end(), IsOfSame);
    if (maySendFor(From, DataCentre) && !isLocal(From) &&
        Others < MaxOtherSenders)
      m_RemoteSenders[From] = {DataCentre, Now};
    return;
  }
  if (!isLocal(From) || From == m_Own.m_Id)
    return;
  if (m_LastRelayBatch && Now - *m_LastRelayBatch >= RelayTimeout)
    m_DirectReportsUntil =
        *m_LastRelayBatch + RelayTimeout + MinDirectReporting;
  m_LastRelayBatch = Now;
}

void StateSpread::receiveState(const InstanceId &From,
                               const DataCentreId &DataCentre,
                               const AgedState &Received, TimePoint Now,
                               Duration Late) {
  const auto Found = m_Instances.find(Received.m_State.m_Address);
  if (Found == m_Instances.end() || Found->second.m_DataCentre != DataCentre ||
      !isUsableAge(Received.m_Age, Late))
    return void(++m_Refused);
  const Duration Age = Received.m_Age + Late;
  const ReportChange Change =
      update(Found->second, {Received.m_State, Now - Age}, Now);
  // Another relay of the own data centre sends it to the entries here itself.
  if (DataCentre == m_Own.m_DataCentre)
    return isLocal(From) ? markRemote(Received.m_State.m_Address, Change)
                         : void();
  if (!isLocal(From))
    markLocal(DataCentre, Received.m_State.m_Address, Change);
}

/// Stores the state if it is newer, and returns what it changes.
ReportChange StateSpread::update(Instance &About, const KnownState &Received,
                                 TimePoint Now) {
  std::optional<KnownState> &Known = About.m_Known;
  if (!Known) {
    Known = Received;
    return ReportChange::Plain;
  }
  const ReportOrder &Before = Known->m_Latest.m_Order;
  const ReportOrder &Order = Received.m_Latest.m_Order;
  if (Order == Before)
    Known->m_AsOf = std::min(Known->m_AsOf, Received.m_AsOf);
  const bool IsGone = Order.m_Incarnation != Before.m_Incarnation &&
                      Now - Known->m_AsOf > MaxStateAge;
  if (Order == Before || (Order < Before && !IsGone))
    return ReportChange::None;
  const ReportChange Change =
      changeOf({Known->m_Latest.m_Report, Known->m_AsOf},
               {Received.m_Latest.m_Report, Received.m_AsOf});
  Known = Received;
  return Change;
}

void StateSpread::markLocal(const DataCentreId &DataCentre,
                            const std::string &Address, ReportChange Change) {
  const auto Found = m_Channels.find({DataCentre, m_Own.m_DataCentre});
  if (Found == m_Channels.end() || Change == ReportChange::None)
    return;
  Found->second.m_Pending.insert(Address);
  if (Change == ReportChange::Urgent)
    Found->second.m_Urgent.insert(Address);
}

void StateSpread::markRemote(const std::string &Address, ReportChange Change) {
  if (Change == ReportChange::None)
    return;
  for (auto &[Along, Each] : m_Channels) {
    if (Along.m_To == m_Own.m_DataCentre)
      continue;
    Each.m_Pending.insert(Address);
    if (Change == ReportChange::Urgent)
      Each.m_Urgent.insert(Address);
  }
}

bool StateSpread::wantsReports(TimePoint Now) const {
  const bool IsSilent =
      m_LastRelayBatch && Now - *m_LastRelayBatch >= RelayTimeout;
  return m_Rank || IsSilent || Now < m_DirectReportsUntil;
}

std::optional<KnownState> StateSpread::find(const std::string &Address) const {
  const auto Found = m_Instances.find(Address);
  return Found == m_Instances.end() ? std::nullopt : Found->second.m_Known;
}

} // namespace deckpitch
