#include "deckpitch/declaration-store.h"

#include <xxhash.h>

#include <algorithm>
#include <set>

namespace deckpitch {

namespace {

/// Number of deletions kept for replicas that lag; more than the changes of a
/// day.
constexpr std::size_t KeptDeletions = 2'000;

std::uint64_t hashOf(const DeclaredObject &Object) {
  const std::string Text = Object.m_Kind + '/' + Object.m_Name + '/' +
                           std::to_string(Object.m_Revision.m_Value);
  return XXH64(Text.data(), Text.size(), 0);
}

template <typename Map, typename Key, typename Parse>
bool updateObject(Map &Objects, const Key &Name, const DeclaredObject &Object,
                  Parse Parser) {
  if (Object.m_Deleted) {
    Objects.erase(Name);
    return true;
  }
  const auto Parsed =
      outcomeOf([&] { return Parser(Object.m_Json, UnknownKeys::Ignore); });
  if (!Parsed)
    return false;
  Objects[Name] = {Object.m_Revision, *Parsed, readChangeNote(Object.m_Json)};
  return true;
}

} // namespace

const std::vector<std::string> &replicatedKinds() {
  static const std::vector<std::string> Kinds{
      std::string(PoolsKind), std::string(OrganisationsKind),
      std::string(UpstreamsKind), std::string(AssignmentsKind)};
  return Kinds;
}

bool DeclarationStore::acceptIfNewer(const DeclaredObject &Object) {
  const auto &Kinds = replicatedKinds();
  if (std::find(Kinds.begin(), Kinds.end(), Object.m_Kind) == Kinds.end())
    return false;
  const Key At{Object.m_Kind, Object.m_Name};
  if (Object.m_Revision <= m_DroppedUpTo && !m_Objects.contains(At))
    return false; // may be older than a deletion that is no longer kept
  DeclaredObject &Stored = m_Objects[At];
  if (Object.m_Revision <= Stored.m_Revision)
    return false;
  const bool WasLive = Stored.m_Revision.m_Value > 0 && !Stored.m_Deleted;
  if (WasLive)
    m_Digest -= hashOf(Stored);
  Stored = Object;
  if (!Stored.m_Deleted)
    m_Digest += hashOf(Stored);
  m_Newest = std::max(m_Newest, Stored.m_Revision);
  updateSnapshot(Stored);
  return WasLive || !Stored.m_Deleted;
}

void DeclarationStore::updateSnapshot(const DeclaredObject &Object) {
  DeclarationSet &Set = m_Snapshot;
  bool IsReadable = true;
  if (Object.m_Kind == PoolsKind)
    IsReadable =
        updateObject(Set.m_Pools, PoolId{Object.m_Name}, Object, parsePool);
  else if (Object.m_Kind == OrganisationsKind)
    IsReadable =
        updateObject(Set.m_Organisations, OrganisationId{Object.m_Name}, Object,
                     parseOrganisation);
  else if (Object.m_Kind == UpstreamsKind)
    IsReadable =
        updateObject(Set.m_Upstreams, Object.m_Name, Object, parseUpstream);
  else if (Object.m_Revision > Set.m_Assignment.m_Revision) {
    std::map<int, Declared<Assignment>> Parsed;
    IsReadable = updateObject(Parsed, 0, Object, parseAssignment);
    if (IsReadable)
      Set.m_Assignment = Object.m_Deleted
                             ? Declared<Assignment>{Object.m_Revision, {}}
                             : Parsed[0];
  }
  m_Unreadable += IsReadable ? 0 : 1;
}

bool DeclarationStore::deleteMissing(const std::string &Kind, Revision AsOf,
                                     const std::vector<DeclaredObject> &Items) {
  std::set<std::string_view> Named;
  for (const DeclaredObject &Each : Items)
    if (Each.m_Kind == Kind && !Each.m_Deleted)
      Named.insert(Each.m_Name);
  std::vector<DeclaredObject> Deleted;
  for (const auto &[At, Stored] : m_Objects)
    if (At.m_Kind == Kind && !Stored.m_Deleted && Stored.m_Revision < AsOf &&
        !Named.contains(At.m_Name))
      Deleted.push_back({Kind, At.m_Name, AsOf, true, {}});
  for (const DeclaredObject &Each : Deleted)
    acceptIfNewer(Each);
  return !Deleted.empty();
}

void DeclarationStore::advance(const std::string &Kind, Revision To) {
  Revision &Complete = m_Complete[Kind];
  Complete = std::max(Complete, To);
  m_Snapshot.m_Revision = revision();
  dropOldDeletions();
}

Revision DeclarationStore::revision() const {
  if (!filled())
    return {};
  const auto Lowest = std::min_element(
      m_Complete.begin(), m_Complete.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  return Lowest->second;
}

DeclarationStore::Effect
DeclarationStore::applyList(const std::string &Kind, Revision AsOf,
                            const std::vector<DeclaredObject> &Items) {
  const Revision Before = revision();
  bool Changed = false;
  for (const DeclaredObject &Each : Items)
    Changed = acceptIfNewer(Each) || Changed;
  if (AsOf > m_Complete[Kind])
    Changed = deleteMissing(Kind, AsOf, Items) || Changed;
  advance(Kind, AsOf);
  return Changed || revision() > Before ? Effect::Changed : Effect::None;
}

DeclarationStore::Effect
DeclarationStore::applyEvent(const DeclaredObject &Object) {
  return acceptIfNewer(Object) ? Effect::Changed : Effect::None;
}

bool DeclarationStore::applyWhole(const DeclarationUpdate &Update) {
  bool Changed = false;
  for (const DeclaredObject &Each : Update.m_Objects)
    Changed = acceptIfNewer(Each) || Changed;
  if (Update.m_Revision <= revision())
    return Changed;
  for (const std::string &Kind : replicatedKinds())
    Changed =
        deleteMissing(Kind, Update.m_Revision, Update.m_Objects) || Changed;
  return Changed;
}

DeclarationStore::Effect
DeclarationStore::applyUpdate(const DeclarationUpdate &Update) {
  const Revision Before = revision();
  bool Changed = false;
  if (Update.m_Whole) {
    Changed = applyWhole(Update);
  } else if (Update.m_Since > Before && Update.m_Digest != m_Digest) {
    return Effect::Gap;
  } else {
    for (const DeclaredObject &Each : Update.m_Objects)
      Changed = acceptIfNewer(Each) || Changed;
  }
  for (const std::string &Kind : replicatedKinds())
    advance(Kind, Update.m_Revision);
  return Changed || revision() > Before ? Effect::Changed : Effect::None;
}

DeclarationUpdate DeclarationStore::changesSince(Revision Have) const {
  if (Have < m_DroppedUpTo || Have.m_Value == 0)
    return whole();
  DeclarationUpdate Update{Have, revision(), false, m_Digest, {}};
  for (const auto &[At, Stored] : m_Objects)
    if (Stored.m_Revision > Have)
      Update.m_Objects.push_back(Stored);
  return Update;
}

DeclarationUpdate DeclarationStore::revisionUpdate() const {
  return {revision(), revision(), false, m_Digest, {}};
}

DeclarationUpdate DeclarationStore::whole() const {
  DeclarationUpdate Update{{}, revision(), true, m_Digest, {}};
  for (const auto &[At, Stored] : m_Objects)
    Update.m_Objects.push_back(Stored);
  return Update;
}

const DeclaredObject *DeclarationStore::find(const std::string &Kind,
                                             const std::string &Name) const {
  const auto Found = m_Objects.find({Kind, Name});
  if (Found == m_Objects.end() || Found->second.m_Deleted)
    return nullptr;
  return &Found->second;
}

std::vector<DeclaredObject>
DeclarationStore::list(const std::string &Kind) const {
  std::vector<DeclaredObject> Items;
  for (const auto &[At, Stored] : m_Objects)
    if (At.m_Kind == Kind && !Stored.m_Deleted)
      Items.push_back(Stored);
  return Items;
}

void DeclarationStore::dropOldDeletions() {
  if (m_Objects.size() <= KeptDeletions)
    return;
  std::vector<std::pair<Revision, Key>> Deletions;
  for (const auto &[At, Stored] : m_Objects)
    if (Stored.m_Deleted && Stored.m_Revision <= revision())
      Deletions.emplace_back(Stored.m_Revision, At);
  if (Deletions.size() <= KeptDeletions)
    return;
  std::sort(Deletions.begin(), Deletions.end());
  Deletions.resize(Deletions.size() - KeptDeletions / 2);
  for (const auto &[At, Name] : Deletions)
    m_Objects.erase(Name);
  m_DroppedUpTo = std::max(m_DroppedUpTo, Deletions.back().first);
}

} // namespace deckpitch
