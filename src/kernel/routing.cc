#include "deckpitch/routing.h"

#include <xxhash.h>

#include <algorithm>

namespace deckpitch {

namespace {

bool acceptsRequests(const Member &Value) {
  return Value.m_State == MemberState::Alive ||
         Value.m_State == MemberState::Suspect;
}

UpstreamRoute routeTo(const Member &Value) {
  return {.m_Instance = Value.m_Id,
          .m_Incarnation = Value.m_Incarnation,
          .m_Address = Value.m_Addresses.m_Requests,
          .m_DataCentre = Value.m_DataCentre,
          .m_Weights = Value.m_Serving.m_Weights,
          .m_Digest = Value.m_Serving.m_Digest,
          .m_Load = Value.m_Load,
          .m_Suspect = Value.m_State == MemberState::Suspect};
}

void addMember(RouteTable &Table, const Member &Value) {
  if (!acceptsRequests(Value) || Value.m_Addresses.m_Requests.empty())
    return;
  if (Value.m_Role == Role::Entry) {
    if (Value.m_State == MemberState::Alive)
      Table.m_Entries.push_back(
          {Value.m_Id, Value.m_DataCentre, Value.m_Addresses.m_Requests});
    return;
  }
  const auto Found = Table.m_Pools.find(Value.m_Serving.m_Pool);
  if (Value.m_Serving.m_Ready && Found != Table.m_Pools.end())
    Found->second.m_Upstreams.push_back(routeTo(Value));
}

bool matchesPathPrefix(std::string_view Path, std::string_view Prefix) {
  if (Prefix.empty() || !Path.starts_with(Prefix))
    return false;
  return Prefix.back() == '/' || Path.size() == Prefix.size() ||
         Path[Prefix.size()] == '/';
}

} // namespace

RouteTable buildRoutes(const DeclarationSet &Declarations,
                       const MembershipView &Members) {
  RouteTable Table;
  for (const auto &[Name, Each] : Declarations.m_Pools) {
    Table.m_Pools[Name].m_Pool = Each.m_Value;
    if (Each.m_Value.m_Kind == PoolKind::Engine)
      Table.m_PoolByModel.emplace(Each.m_Value.m_Model, Name);
  }
  for (const auto &[Name, Each] : Declarations.m_Organisations)
    Table.m_Organisations.emplace(Name, Each.m_Value);
  for (const auto &[Name, Each] : Members.m_Members)
    addMember(Table, Each);
  return Table;
}

const PoolRoute *findEnginePool(const RouteTable &Table,
                                std::string_view Model) {
  const PoolId Named{std::string(Model)};
  auto Found = Table.m_Pools.find(Named);
  if (Found == Table.m_Pools.end()) {
    const auto ByModel = Table.m_PoolByModel.find(Named.m_Text);
    if (ByModel == Table.m_PoolByModel.end())
      return nullptr;
    Found = Table.m_Pools.find(ByModel->second);
  }
  return Found->second.m_Pool.m_Kind == PoolKind::Engine ? &Found->second
                                                         : nullptr;
}

const PoolRoute *findServicePool(const RouteTable &Table,
                                 std::string_view Path) {
  const PoolRoute *Best = nullptr;
  for (const auto &[Name, Each] : Table.m_Pools) {
    if (Each.m_Pool.m_Kind != PoolKind::Service ||
        !matchesPathPrefix(Path, Each.m_Pool.m_Path))
      continue;
    if (!Best || Each.m_Pool.m_Path.size() > Best->m_Pool.m_Path.size())
      Best = &Each;
  }
  return Best;
}

std::vector<std::string> orderEntries(const std::vector<EntryRoute> &Entries,
                                      std::uint64_t Seed) {
  struct Ranked {
    XXH64_hash_t m_Rank;
    std::string m_Address;
  };
  std::vector<Ranked> All;
  All.reserve(Entries.size());
  for (const EntryRoute &Each : Entries) {
    const std::string &Name = Each.m_Instance.m_Text;
    All.push_back({XXH64(Name.data(), Name.size(), Seed), Each.m_Address});
  }
  std::ranges::sort(All, std::greater{}, &Ranked::m_Rank);
  std::vector<std::string> Order;
  Order.reserve(All.size());
  for (Ranked &Each : All)
    Order.push_back(std::move(Each.m_Address));
  return Order;
}

} // namespace deckpitch
