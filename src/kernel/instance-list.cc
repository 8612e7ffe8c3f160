#include "deckpitch/instance-list.h"

#include <xxhash.h>

#include <set>
#include <string>

namespace deckpitch {

namespace {

/// Ends the length that precedes each field, so that no two fields read like
/// two others, whatever they hold.
constexpr char LengthEnd = ':';
/// The platform guarantees that live instances are listed again within two
/// seconds. Lists are read every half second, so the last read is a little
/// earlier.
constexpr Duration ReregistrationTimeout = std::chrono::milliseconds(1'900);

void add(std::string &Text, const std::string &Field) {
  Text += std::to_string(Field.size());
  Text += LengthEnd;
  Text += Field;
}

void add(std::string &Text, std::uint64_t Field) {
  add(Text, std::to_string(Field));
}

void add(std::string &Text, const FleetInstance &Each) {
  add(Text, Each.m_Id.m_Text);
  add(Text, Each.m_Start);
  add(Text, Each.m_Registration);
  add(Text, Each.m_Service.m_Text);
  add(Text, Each.m_Address);
  add(Text, Each.m_DataCentre.m_Text);
  add(Text, Each.m_Slots);
  add(Text, std::uint64_t{Each.m_IsLeaving});
  // Left out where it is zero, as in the lists of releases without it.
  if (Each.m_ColdLeft.count() != 0)
    add(Text, static_cast<std::uint64_t>(Each.m_ColdLeft.count()));
  add(Text, Each.m_Weights.size());
  for (const HeldWeights &Held : Each.m_Weights) {
    add(Text, Held.m_Model);
    add(Text, Held.m_Version);
    add(Text, std::uint64_t{Held.m_IsComplete});
  }
}

} // namespace

std::uint64_t fingerprintOf(const InstanceList &List) {
  std::string Text;
  for (const auto &[Id, Each] : List)
    add(Text, Each);
  return XXH64(Text.data(), Text.size(), 0);
}

InstanceListChange changeBetween(const InstanceList &Before,
                                 const InstanceList &After) {
  InstanceListChange Out{fingerprintOf(Before), fingerprintOf(After), {}, {}};
  for (const auto &[Id, Each] : After) {
    const auto Known = Before.find(Id);
    if (Known == Before.end() || Known->second != Each)
      Out.m_Put.push_back(Each);
  }
  for (const auto &[Id, Each] : Before)
    if (!After.contains(Id))
      Out.m_Removed.push_back(Id);
  return Out;
}

void ExpiredInstances::storeReturned(TimePoint At) {
  if (At - m_Returned < ReregistrationTimeout)
    return;
  m_Returned = At;
  m_IsFirst = true;
}

std::optional<TimePoint> ExpiredInstances::recentReturn(TimePoint Now) const {
  if (Now - m_Returned >= ReregistrationTimeout)
    return std::nullopt;
  return m_Returned;
}

InstanceList ExpiredInstances::complete(InstanceList Read,
                                        const InstanceList &Known,
                                        TimePoint Now) {
  if (m_IsFirst)
    m_Expired = Known;
  m_IsFirst = false;
  if (Now - m_Returned >= ReregistrationTimeout)
    m_Expired.clear();
  std::set<std::string> Addresses;
  for (const auto &[Id, Each] : Read)
    Addresses.insert(Each.m_Address);
  // An instance whose address has passed to another incarnation is gone for
  // good.
  std::erase_if(m_Expired, [&](const auto &Each) {
    return Each.second.m_IsLeaving || Read.contains(Each.first) ||
           Addresses.contains(Each.second.m_Address);
  });
  Read.insert(m_Expired.begin(), m_Expired.end());
  return Read;
}

std::optional<InstanceList> applyChange(InstanceList To,
                                        const InstanceListChange &Change) {
  if (fingerprintOf(To) != Change.m_Before)
    return std::nullopt;
  for (const FleetInstance &Each : Change.m_Put)
    To[Each.m_Id] = Each;
  for (const InstanceId &Id : Change.m_Removed)
    To.erase(Id);
  if (fingerprintOf(To) != Change.m_After)
    return std::nullopt;
  return To;
}

} // namespace deckpitch
