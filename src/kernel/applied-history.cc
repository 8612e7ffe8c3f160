#include "deckpitch/applied-history.h"

#include "deckpitch/declaration-store.h"

namespace deckpitch {

namespace {

std::map<std::string, Revision> revisionsOf(const DeclarationSet &Set) {
  std::map<std::string, Revision> Out;
  const auto Key = [](std::string_view Kind, const std::string &Name) {
    return std::string(Kind) + '/' + Name;
  };
  for (const auto &[Id, Each] : Set.m_Pools)
    Out[Key(PoolsKind, Id.m_Text)] = Each.m_Revision;
  for (const auto &[Id, Each] : Set.m_Organisations)
    Out[Key(OrganisationsKind, Id.m_Text)] = Each.m_Revision;
  for (const auto &[Name, Each] : Set.m_Upstreams)
    Out[Key(UpstreamsKind, Name)] = Each.m_Revision;
  if (Set.m_Assignment.m_Revision.m_Value != 0)
    Out[std::string(AssignmentsKind)] = Set.m_Assignment.m_Revision;
  return Out;
}

} // namespace

void AppliedHistory::record(Duration At, const DeclarationSet &Published) {
  std::map<std::string, Revision> Next = revisionsOf(Published);
  for (const auto &[Object, Before] : m_InForce)
    if (!Next.contains(Object))
      add(At, Object, {}, Published.m_Revision);
  for (const auto &[Object, To] : Next) {
    const auto Before = m_InForce.find(Object);
    if (Before == m_InForce.end() || Before->second != To)
      add(At, Object, To, Published.m_Revision);
  }
  m_InForce = std::move(Next);
}

void AppliedHistory::add(Duration At, const std::string &Object, Revision To,
                         Revision Complete) {
  m_Changes.push_back({++m_Total, At, Object, To, Complete});
  if (m_Changes.size() > m_MaxChanges)
    m_Changes.pop_front();
}

} // namespace deckpitch
