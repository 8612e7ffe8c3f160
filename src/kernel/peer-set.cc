#include "deckpitch/peer-set.h"

#include <algorithm>
#include <random>

namespace deckpitch {

namespace {

constexpr std::uint32_t CrossingShare = 5; ///< one peer in this many

bool holds(const DeclarationSet &Declarations, const Member &Value,
           const WeightsId &Weights) {
  if (Value.m_Serving.m_Weights == Weights)
    return true;
  const auto &Assigned = Declarations.m_Assignment.m_Value.m_Instances;
  const auto Found = Assigned.find(Value.m_Id);
  if (Found == Assigned.end())
    return false;
  if (Found->second.m_Weights == Weights)
    return true;
  const auto Pool = Declarations.m_Pools.find(Found->second.m_Pool);
  return Pool != Declarations.m_Pools.end() &&
         weightsOf(Pool->second.m_Value) == Weights;
}

bool isReachable(const Member &Value) {
  const bool Up = Value.m_State == MemberState::Alive ||
                  Value.m_State == MemberState::Suspect;
  return Up && Value.m_Role == Role::Agent && !Value.m_Addresses.m_Bulk.empty();
}

} // namespace

std::vector<const Member *>
choosePeers(const DeclarationSet &Declarations, const MembershipView &Members,
            const InstanceId &Asker, const WeightsId &Weights,
            std::uint32_t Count, std::uint64_t Seed) {
  const auto Self = Members.m_Members.find(Asker);
  if (Self == Members.m_Members.end())
    return {};
  std::vector<const Member *> Local;
  std::vector<const Member *> Remote;
  for (const auto &[Id, Each] : Members.m_Members) {
    if (Id == Asker || !isReachable(Each) ||
        !holds(Declarations, Each, Weights))
      continue;
    const bool IsLocal = Each.m_DataCentre == Self->second.m_DataCentre;
    (IsLocal ? Local : Remote).push_back(&Each);
  }
  std::mt19937_64 Random(Seed ^ std::hash<InstanceId>{}(Asker));
  std::shuffle(Local.begin(), Local.end(), Random);
  std::shuffle(Remote.begin(), Remote.end(), Random);
  const std::size_t Crossings =
      std::min<std::size_t>(Remote.size(), std::max(1U, Count / CrossingShare));
  const std::size_t Inner =
      std::min<std::size_t>(Local.size(), Count - Crossings);
  const std::size_t Outer = std::min<std::size_t>(Remote.size(), Count - Inner);
  Local.resize(Inner);
  Remote.resize(Outer);
  Local.insert(Local.end(), Remote.begin(), Remote.end());
  return Local;
}

} // namespace deckpitch
