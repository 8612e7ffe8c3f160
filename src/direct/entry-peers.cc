#include "direct/entry-peers.h"

#include "net/log.h"

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

namespace {

/// Between two hellos to one entry where entries are few.
constexpr Duration LeastHelloSpan = std::chrono::milliseconds(300);
/// For each known entry: each receives at most a hundred hellos a second.
constexpr Duration HelloSpanPerEntry = std::chrono::milliseconds(10);
/// Hellos that may be lost in a row before an entry counts as gone.
constexpr int MissedHellos = 4;
/// To an entry that has not been heard: it may be gone for good.
constexpr Duration SpanToSilent = std::chrono::seconds(3);
/// Up to so many entries one reads the store for all; where there are more, one
/// in each data centre: it sends a datagram to each of the others at each read.
constexpr std::size_t MostInOneGroup = 64;
/// Entries of a data centre that tell those of others what they know: one of
/// them may just have failed, and each message crosses the link between
/// regions.
constexpr std::size_t TellingFar = 2;
/// Entries of a caller's own data centre that are enough for it: one of them
/// may just have failed.
constexpr std::size_t EnoughNear = 2;

} // namespace

void EntryPeers::learn(const EntryAddress &Listed) {
  if (Listed.m_Id == m_Own.m_Id)
    return;
  Peer &Known = m_Peers[Listed.m_Id];
  // What an entry says itself is newer than what the store holds.
  if (!Known.m_WasHeard)
    Known.m_Address = Listed;
}

void EntryPeers::heard(const wire::LinkMessage &Message,
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
    net::log(IsBack ? Event::EntryHeard : Event::EntryLost,
             {{"entry", Id.m_Text}, {"callers", Hello.callers()}});
  // Answered at once: were the span for silent ones kept, each of two entries
  // would hear the other too seldom to count it as live, and stay at that span.
  if (!isLive(Known, Now))
    Known.m_NextHello = Now;
  Known.m_Address = {Id, DataCentreId{Hello.data_centre()}, From,
                     Hello.callers()};
  Known.m_Heard = Now;
  Known.m_WasHeard = true;
  Known.m_TakesCallers = Hello.takes_callers();
}

Duration EntryPeers::helloSpan() const {
  const auto Count = static_cast<Duration::rep>(m_Peers.size());
  return std::max(LeastHelloSpan, HelloSpanPerEntry * Count);
}

bool EntryPeers::isLive(const Peer &Each, TimePoint Now) const {
  return Each.m_WasHeard && Now - Each.m_Heard < MissedHellos * helloSpan();
}

DueHellos EntryPeers::dueHellos(TimePoint Now) {
  const bool TellsFar = ownTurn(Now).m_Near < TellingFar;
  DueHellos Due;
  for (auto &[Id, Each] : m_Peers) {
    const bool IsLive = isLive(Each, Now);
    if (Each.m_TakesCallers && !IsLive) {
      net::log(Event::EntryLost,
               {{"entry", Id.m_Text}, {"callers", Each.m_Address.m_Callers}});
      Each.m_TakesCallers = false;
    }
    if (Now < Each.m_NextHello)
      continue;
    const bool IsTold = TellsFar || isNear(Each);
    (IsTold ? Due.m_Telling : Due.m_Plain).push_back(Each.m_Address.m_Link);
    Each.m_NextHello = Now + (IsLive || !Each.m_WasHeard
                                  ? helloSpan()
                                  : std::max(helloSpan(), SpanToSilent));
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
  return isLive(Each, Now) && (isNear(Each) || m_Peers.size() < MostInOneGroup);
}

std::vector<std::string> EntryPeers::group(TimePoint Now,
                                           NewsReach Reach) const {
  std::vector<std::string> Out;
  for (const auto &[Id, Each] : m_Peers)
    if (isInGroup(Each, Now) && (Reach == NewsReach::All || isNear(Each)))
      Out.push_back(Each.m_Address.m_Link);
  return Out;
}

ReadingTurn EntryPeers::ownTurn(TimePoint Now) const {
  ReadingTurn Out;
  for (const auto &[Id, Each] : m_Peers) {
    const bool IsBefore =
        Each.m_TakesCallers && Id < m_Own.m_Id && isInGroup(Each, Now);
    Out.m_All += IsBefore ? 1 : 0;
    Out.m_Near += IsBefore && isNear(Each) ? 1 : 0;
  }
  return Out;
}

bool EntryPeers::isNear(const Peer &Each) const {
  return Each.m_Address.m_DataCentre == m_Own.m_DataCentre;
}

bool EntryPeers::isNear(const std::string &Link) const {
  return std::any_of(m_Peers.begin(), m_Peers.end(), [&](const auto &Each) {
    return Each.second.m_Address.m_Link == Link && isNear(Each.second);
  });
}

std::vector<std::string> EntryPeers::addressesFor(const DataCentreId &Caller,
                                                  bool IncludeOwn,
                                                  TimePoint Now) const {
  std::vector<std::string> Near;
  std::vector<std::string> All;
  const auto Add = [&](const EntryAddress &Each) {
    All.push_back(Each.m_Callers);
    if (Each.m_DataCentre == Caller)
      Near.push_back(Each.m_Callers);
  };
  if (IncludeOwn)
    Add(m_Own);
  for (const auto &[Id, Each] : m_Peers)
    if (isLive(Each, Now) && Each.m_TakesCallers)
      Add(Each.m_Address);
  return Near.size() >= EnoughNear ? Near : All;
}

} // namespace deckpitch::direct
