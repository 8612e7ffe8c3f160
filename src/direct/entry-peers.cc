#include "direct/entry-peers.h"

#include "deckpitch/random-weight.h"
#include "net/log.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <utility>

namespace deckpitch::direct {

namespace {

/// Between two hellos to one entry in a small fleet.
constexpr Duration MinHelloInterval = std::chrono::milliseconds(300);
/// Interval per known entry, so that each receives at most a hundred hellos a
/// second.
constexpr Duration HelloIntervalPerEntry = std::chrono::milliseconds(10);
/// Bounds on what another entry tells of itself.
constexpr Duration MaxHelloInterval = std::chrono::seconds(10);
constexpr std::uint32_t MaxToldEntries = 100'000;
/// An entry counts as gone after this many hello intervals without one.
constexpr int MaxMissedHellos = 4;
/// Between two hellos to an entry that has become silent: it may be gone for
/// good.
constexpr Duration SilentEntryInterval = std::chrono::seconds(3);
/// Up to this many entries one reads the store for all; in a larger fleet one
/// does in each data centre, since it sends a datagram to each of the others
/// after each read.
constexpr std::size_t MaxGroupSize = 64;
/// Number of entries of a data centre that send hellos with the digest to
/// others: more than one, since one may just have failed; few, since each
/// message crosses the link between regions.
constexpr std::size_t RelaysPerDataCentre = 2;
/// Number of entries in the caller's data centre that suffices: one of them may
/// just have failed.
constexpr std::size_t SufficientLocalEntries = 2;

} // namespace

void EntryPeers::addListed(const EntryAddress &Listed) {
  if (Listed.m_Id == m_Own.m_Id)
    return;
  Peer &Known = m_Peers[Listed.m_Id];
  // An entry's own hello is newer than its object in the store.
  if (!Known.m_HasHello)
    setAddress(Known, Listed);
}

void EntryPeers::setAddress(Peer &Known, const EntryAddress &Address) {
  const bool IsSameCentre =
      Known.m_Address.m_DataCentre == Address.m_DataCentre;
  Known.m_Address = Address;
  if (!IsSameCentre)
    countCorrespondents();
}

/// Counts the entries that send hellos here: those of the group, and the relays
/// of other data centres.
void EntryPeers::countCorrespondents() {
  std::size_t Local = 0;
  std::set<DataCentreId> Others;
  for (const auto &[Id, Each] : m_Peers) {
    if (isLocal(Each))
      ++Local;
    else
      Others.insert(Each.m_Address.m_DataCentre);
  }
  m_Correspondents = sharesReadsWithAll()
                         ? m_Peers.size()
                         : Local + RelaysPerDataCentre * Others.size();
}

void EntryPeers::onHello(const wire::LinkMessage &Message,
                         const std::string &From, TimePoint Now) {
  const wire::EntryHello &Hello = Message.hello();
  const InstanceId Id{Hello.instance()};
  if (Id.empty() || Id == m_Own.m_Id || Hello.callers().empty())
    return;
  Peer &Known = m_Peers[Id];
  if (!Known.m_Order.isNewer(Message))
    return;
  const bool IsBack =
      Hello.takes_callers() && !(isLive(Known, Now) && Known.m_TakesCallers);
  const bool Leaves = !Hello.takes_callers() && Known.m_TakesCallers;
  if (IsBack || Leaves)
    net::log(IsBack ? Event::EntryDiscovered : Event::EntryLost,
             {{"entry", Id.m_Text}, {"callers", Hello.callers()}});
  // Answer at once: at the interval for silent entries, two entries would
  // receive each other's hellos too rarely to count each other as live, and
  // would stay at that interval.
  if (!isLive(Known, Now))
    Known.m_NextHello = Now;
  setAddress(Known,
             {Id, DataCentreId{Hello.data_centre()}, From, Hello.callers()});
  if (Hello.interval_ms() != 0)
    Known.m_Interval =
        std::clamp<Duration>(std::chrono::milliseconds(Hello.interval_ms()),
                             MinHelloInterval, MaxHelloInterval);
  m_ToldCount = std::max<std::size_t>(
      m_ToldCount, std::min(Hello.known_entries(), MaxToldEntries));
  Known.m_LastHello = Now;
  Known.m_HasHello = true;
  Known.m_TakesCallers = Hello.takes_callers();
}

Duration EntryPeers::helloInterval() const {
  const auto Count = static_cast<Duration::rep>(m_Correspondents);
  return std::max(MinHelloInterval, HelloIntervalPerEntry * Count);
}

bool EntryPeers::isLive(const Peer &Each, TimePoint Now) const {
  return Each.m_HasHello &&
         Now - Each.m_LastHello <
             MaxMissedHellos * Each.m_Interval.value_or(helloInterval());
}

DueHellos EntryPeers::dueHellos(TimePoint Now) {
  const bool IsRelay = isRelay(Now);
  const bool SharesReads = sharesReadsWithAll();
  DueHellos Due;
  for (auto &[Id, Each] : m_Peers) {
    const bool IsLive = isLive(Each, Now);
    if (Each.m_TakesCallers && !IsLive) {
      net::log(Event::EntryLost,
               {{"entry", Id.m_Text}, {"callers", Each.m_Address.m_Callers}});
      Each.m_TakesCallers = false;
    }
    const bool IsPartner = IsRelay || SharesReads || isLocal(Each);
    if (Now < Each.m_NextHello || !IsPartner)
      continue;
    // Who the relays are shows after the first hellos within a data centre.
    const bool IsFirst = Each.m_NextHello == TimePoint{};
    if (IsFirst && !SharesReads && !isLocal(Each)) {
      Each.m_NextHello = Now + helloInterval();
      continue;
    }
    const bool IncludesDigest = IsRelay || isLocal(Each);
    (IncludesDigest ? Due.m_WithDigest : Due.m_WithoutDigest)
        .push_back(Each.m_Address.m_Link);
    Each.m_NextHello =
        Now + (IsLive || !Each.m_HasHello
                   ? helloInterval()
                   : std::max(helloInterval(), SilentEntryInterval));
  }
  return Due;
}

std::size_t EntryPeers::liveCount(TimePoint Now) const {
  return 1 + static_cast<std::size_t>(std::count_if(
                 m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
                   return isLive(Each.second, Now) &&
                          Each.second.m_TakesCallers;
                 }));
}

bool EntryPeers::isInGroup(const Peer &Each, TimePoint Now) const {
  return isLive(Each, Now) && (isLocal(Each) || sharesReadsWithAll());
}

std::vector<std::string> EntryPeers::group(TimePoint Now,
                                           UpdateReach Reach) const {
  std::vector<std::string> Out;
  for (const auto &[Id, Each] : m_Peers)
    if (isInGroup(Each, Now) && (Reach == UpdateReach::All || isLocal(Each)))
      Out.push_back(Each.m_Address.m_Link);
  return Out;
}

ReadRank EntryPeers::ownRank(TimePoint Now) const {
  ReadRank Out;
  for (const auto &[Id, Each] : m_Peers) {
    const bool IsBefore =
        Each.m_TakesCallers && Id < m_Own.m_Id && isInGroup(Each, Now);
    Out.m_All += IsBefore ? 1 : 0;
    Out.m_Near += IsBefore && isLocal(Each) ? 1 : 0;
  }
  return Out;
}

bool EntryPeers::isRelay(TimePoint Now) const {
  return ownRank(Now).m_Near < RelaysPerDataCentre;
}

std::set<DataCentreId> EntryPeers::liveCentres(TimePoint Now) const {
  std::set<DataCentreId> Out{m_Own.m_DataCentre};
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now))
      Out.insert(Each.m_Address.m_DataCentre);
  return Out;
}

bool EntryPeers::isLocal(const Peer &Each) const {
  return Each.m_Address.m_DataCentre == m_Own.m_DataCentre;
}

bool EntryPeers::isLocal(const std::string &Link) const {
  return std::any_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
    return Each.second.m_Address.m_Link == Link && isLocal(Each.second);
  });
}

std::vector<std::string> EntryPeers::addressesFor(const DataCentreId &Caller,
                                                  bool IncludeOwn,
                                                  TimePoint Now) const {
  std::vector<std::string> Local;
  std::vector<std::string> All;
  const auto Add = [&](const EntryAddress &Each) {
    All.push_back(Each.m_Callers);
    if (Each.m_DataCentre == Caller)
      Local.push_back(Each.m_Callers);
  };
  if (IncludeOwn)
    Add(m_Own);
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now) && Each.m_TakesCallers)
      Add(Each.m_Address);
  return Local.size() >= SufficientLocalEntries ? Local : All;
}

std::vector<std::string> EntryPeers::addressesWhere(
    const std::function<bool(const DataCentreId &)> &Holds, bool IncludeOwn,
    TimePoint Now) const {
  std::vector<std::string> Out;
  if (IncludeOwn && Holds(m_Own.m_DataCentre))
    Out.push_back(m_Own.m_Callers);
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now) && Each.m_TakesCallers &&
        Holds(Each.m_Address.m_DataCentre))
      Out.push_back(Each.m_Address.m_Callers);
  return Out;
}

bool EntryPeers::sharesReadsWithAll() const {
  return m_Peers.size() < MaxGroupSize;
}

/// The live entry of the data centre with the smallest id: it is a relay, which
/// the entries of all data centres know. Null if there is none.
const EntryAddress *EntryPeers::firstIn(const DataCentreId &DataCentre,
                                        bool IncludeOwn, TimePoint Now) const {
  const EntryAddress *First =
      IncludeOwn && DataCentre == m_Own.m_DataCentre ? &m_Own : nullptr;
  for (const auto &[Id, Each] : m_Peers) {
    const bool IsCandidate = isLive(Each, Now) && Each.m_TakesCallers &&
                             Each.m_Address.m_DataCentre == DataCentre;
    if (IsCandidate)
      return First && First->m_Id < Id ? First : &Each.m_Address;
  }
  return First;
}

const EntryAddress &EntryPeers::responsibleFor(const std::string &Duty,
                                               const DataCentreId &DataCentre,
                                               bool IncludeOwn,
                                               TimePoint Now) const {
  const EntryAddress *First =
      sharesReadsWithAll() ? nullptr : firstIn(DataCentre, IncludeOwn, Now);
  if (First)
    return *First;
  const EntryAddress *Best = &m_Own;
  std::uint64_t BestWeight =
      IncludeOwn ? randomWeight(Duty, m_Own.m_Id.m_Text) : 0;
  for (const auto &[Id, Each] : m_Peers) {
    if (!isLive(Each, Now) || !Each.m_TakesCallers)
      continue;
    const std::uint64_t Weight = randomWeight(Duty, Id.m_Text);
    if (Weight <= BestWeight)
      continue;
    Best = &Each.m_Address;
    BestWeight = Weight;
  }
  return *Best;
}

} // namespace deckpitch::direct
