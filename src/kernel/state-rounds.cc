// The sending half of StateSpread: which batches a relay sends to whom, and
// when.
#include "deckpitch/state-spread.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace deckpitch {

namespace {

std::chrono::milliseconds ageOf(const KnownState &State, TimePoint Now) {
  return std::chrono::ceil<std::chrono::milliseconds>(Now - State.m_AsOf);
}

/// Returns how often an address was due for repetition until then: once per
/// interval, with all addresses spread over it.
Duration::rep repeatsUntil(const std::string &Address, Duration Shift,
                           TimePoint Then) {
  const auto Hash = XXH64(Address.data(), Address.size(), 0);
  const auto Offset = static_cast<Duration::rep>(
      Hash % static_cast<std::uint64_t>(RepeatInterval.count()));
  return (Then.time_since_epoch() + RepeatInterval - Duration(Offset) + Shift) /
         RepeatInterval;
}

} // namespace

std::vector<StateSend> StateSpread::due(TimePoint Now) {
  std::vector<StateSend> Out;
  std::erase_if(m_RemoteSenders, [&](const auto &Each) {
    return Now - Each.second.m_Heard >= PathTimeout;
  });
  for (auto &[Along, Each] : m_Channels) {
    updateTargets(Along, Each, Now);
    if (!Each.m_Targets.empty())
      addDueBatches(Along, Each, Now, Out);
  }
  return Out;
}

/// Updates the channel's targets. A new target has received nothing yet, so
/// that all states become due.
void StateSpread::updateTargets(const Path &Along, Channel &To,
                                TimePoint Now) const {
  std::vector<InstanceId> Targets = targetsOf(Along, Now);
  const bool IsGrown = !std::includes(To.m_Targets.begin(), To.m_Targets.end(),
                                      Targets.begin(), Targets.end());
  To.m_Targets = std::move(Targets);
  if (!IsGrown)
    return;
  for (const auto &[Address, Each] : m_Instances)
    if (Each.m_DataCentre == Along.m_Of)
      To.m_Pending.insert(Address);
}

std::vector<InstanceId> StateSpread::targetsOf(const Path &Along,
                                               TimePoint Now) const {
  std::vector<InstanceId> Out = Along.m_To == m_Own.m_DataCentre
                                    ? localTargets(Along.m_Of)
                                    : remoteTargets(Along.m_To, Now);
  std::sort(Out.begin(), Out.end());
  Out.erase(std::unique(Out.begin(), Out.end()), Out.end());
  return Out;
}

/// Returns the entries of the own data centre that receive the states of a data
/// centre. The states of other data centres reach the other relays on paths of
/// their own. The own states are sent to them as well: that is one receiver
/// more, none across a border, and a relay that an agent does not reach, or
/// does not know yet, still passes them on.
std::vector<InstanceId>
StateSpread::localTargets(const DataCentreId &DataCentre) const {
  const std::vector<InstanceId> &Relays = relaysOf(m_Own.m_DataCentre);
  const bool IsOwn = DataCentre == m_Own.m_DataCentre;
  std::vector<InstanceId> Out;
  for (const auto &[Id, In] : m_Live) {
    const bool HasOwnPath =
        !IsOwn && std::find(Relays.begin(), Relays.end(), Id) != Relays.end();
    if (In == m_Own.m_DataCentre && Id != m_Own.m_Id && !HasOwnPath)
      Out.push_back(Id);
  }
  return Out;
}

/// Returns the entries of another data centre that receive the own states: the
/// partner, and every entry there that sends the states of its instances, since
/// it is a relay in its own view, which is ahead of the one here. If the
/// partner is silent, all relays there: it may have died, or the path of the
/// other rank may be broken at its other end. They then answer, so that both
/// directions of a path are repaired a second before the death is known here.
std::vector<InstanceId> StateSpread::remoteTargets(const DataCentreId &To,
                                                   TimePoint Now) const {
  std::vector<InstanceId> Out;
  const auto Found = m_Partners.find(To);
  if (Found != m_Partners.end())
    Out = isSilent(Found->second, Now) ? relaysOf(To) : Found->second.m_Ids;
  for (const auto &[Id, Each] : m_RemoteSenders)
    if (Each.m_Of == To)
      Out.push_back(Id);
  return Out;
}

bool StateSpread::isSilent(const Partners &Group, TimePoint Now) const {
  const auto IsActive = [&](const InstanceId &Id) {
    return m_RemoteSenders.contains(Id);
  };
  return Now - Group.m_Since >= PathTimeout &&
         !std::all_of(Group.m_Ids.begin(), Group.m_Ids.end(), IsActive);
}

/// Adds the states that are due for repetition. The relays of a data centre
/// repeat at different times.
void StateSpread::addRepeats(const Path &Along, Channel &To,
                             TimePoint Now) const {
  const auto Rank = static_cast<Duration::rep>(m_Rank.value_or(0));
  const Duration Shift = RepeatInterval * Rank / RelaysPerDataCentre;
  for (const auto &[Address, Each] : m_Instances)
    if (Each.m_DataCentre == Along.m_Of &&
        repeatsUntil(Address, Shift, To.m_RepeatedUntil) !=
            repeatsUntil(Address, Shift, Now))
      To.m_Pending.insert(Address);
  To.m_RepeatedUntil = Now;
}

/// Adds what is due on a path to the batches to send. A round of the own states
/// is sent even if it is empty: a receiver detects by its absence that the
/// relay or the path is gone.
void StateSpread::addDueBatches(const Path &Along, Channel &To, TimePoint Now,
                                std::vector<StateSend> &Out) const {
  const bool IsRound = Now >= To.m_NextRound;
  if (IsRound)
    addRepeats(Along, To, Now);
  std::set<std::string> &Addresses = IsRound ? To.m_Pending : To.m_Urgent;
  std::vector<StateBatch> Batches =
      inBatches(Along.m_Of, statesFor(Addresses, Now));
  const bool IsOwn = Along.m_Of == m_Own.m_DataCentre;
  if (IsRound && IsOwn && Batches.empty())
    Batches.push_back({StateBatchFormat, Along.m_Of, {}});
  if (IsRound && !Batches.empty())
    To.m_NextRound = Now + (Along.m_To == m_Own.m_DataCentre ? LocalInterval
                                                             : RemoteInterval);
  for (const std::string &Each : To.m_Urgent)
    To.m_Pending.erase(Each);
  To.m_Urgent.clear();
  if (IsRound)
    To.m_Pending.clear();
  for (StateBatch &Each : Batches)
    Out.push_back({To.m_Targets, std::move(Each)});
}

std::vector<AgedState>
StateSpread::statesFor(const std::set<std::string> &Addresses,
                       TimePoint Now) const {
  std::vector<AgedState> Out;
  for (const std::string &Address : Addresses) {
    const auto Found = m_Instances.find(Address);
    if (Found == m_Instances.end() || !Found->second.m_Known)
      continue;
    const KnownState &Known = *Found->second.m_Known;
    if (Now - Known.m_AsOf <= MaxStateAge)
      Out.push_back({Known.m_Latest, ageOf(Known, Now)});
  }
  return Out;
}

} // namespace deckpitch
