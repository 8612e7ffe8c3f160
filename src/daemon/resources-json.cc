#include "daemon/resources-json.h"

#include "deckpitch/declaration-store.h"

#include <boost/json.hpp>

#include <array>

namespace deckpitch::daemon {

namespace json = boost::json;

namespace {

constexpr std::array<std::string_view, 4> StateNames{"alive", "suspect",
                                                     "leaving", "gone"};
constexpr std::array<std::string_view, 4> SourceNames{"heartbeat", "entry",
                                                      "silence", "platform"};

template <typename Map, typename Format>
void addResources(std::vector<Resource> &Out, std::string_view Kind,
                  const Map &From, Format ToText) {
  for (const auto &[Name, Each] : From) {
    Resource One{std::string(Kind),
                 {},
                 Each.m_Revision,
                 ToText(Each.m_Value),
                 Each.m_Change};
    if constexpr (std::is_same_v<std::decay_t<decltype(Name)>, std::string>)
      One.m_Name = Name;
    else
      One.m_Name = Name.m_Text;
    Out.push_back(std::move(One));
  }
}

std::uint32_t readyIn(const PoolStatus &Status, const DataCentreId &Where) {
  for (const DataCentreReadiness &Each : Status.m_ReadyIn)
    if (Each.m_DataCentre == Where)
      return Each.m_Ready;
  return 0;
}

bool serves(const Member &Each, const Pool &Wanted) {
  const bool Present = Each.m_State == MemberState::Alive ||
                       Each.m_State == MemberState::Suspect;
  return Present && Each.m_Serving.m_Ready &&
         Each.m_Serving.m_Pool == Wanted.m_Id &&
         Each.m_Serving.m_Weights == weightsOf(Wanted);
}

json::array conditionsOf(const Declared<Pool> &Value,
                         const PoolStatus &Status) {
  json::array Out;
  if (Value.m_Value.m_Paused)
    Out.emplace_back("Paused: the rollout is held where it is");
  if (Status.m_InForce < Status.m_Members)
    Out.emplace_back("Spreading: in force on " +
                     std::to_string(Status.m_InForce) + " of " +
                     std::to_string(Status.m_Members) + " agents");
  if (Status.m_Ready < Status.m_Wanted)
    Out.emplace_back("NotReady: " + std::to_string(Status.m_Ready) + " of " +
                     std::to_string(Status.m_Wanted) + " instances serve it");
  return Out;
}

template <typename Parse, typename Format, typename NameOf>
CheckedInput checkWith(const std::string &Name, const std::string &Body,
                       Parse Read, Format ToText, NameOf Named) {
  return boost::leaf::try_handle_all(
      [&]() -> Result<CheckedInput> {
        BOOST_LEAF_AUTO(Value, Read(Body, UnknownKeys::Refuse));
        if (Named(Value) == Name)
          return CheckedInput{ToText(Value), std::nullopt};
        return CheckedInput{
            {},
            Problems{{{"name", '"' + Named(Value) + '"',
                       "the name in the path, \"" + Name + '"'}}}};
      },
      [](const Problems &Found) {
        return CheckedInput{{}, Found};
      },
      [](const Error &Fault) {
        return CheckedInput{{}, Problems{{{"document", "", Fault.m_Message}}}};
      },
      [] {
        return CheckedInput{{}, Problems{{{"document", "", "readable JSON"}}}};
      });
}

} // namespace

bool isDeclaredKind(const std::string &Kind) {
  return Kind == PoolsKind || Kind == OrganisationsKind ||
         Kind == UpstreamsKind;
}

std::vector<Resource> resourcesOf(const DeclarationSet &Set,
                                  const std::string &Kind) {
  std::vector<Resource> Out;
  if (Kind == PoolsKind)
    addResources(Out, Kind, Set.m_Pools, formatPool);
  if (Kind == OrganisationsKind)
    addResources(Out, Kind, Set.m_Organisations, formatOrganisation);
  if (Kind == UpstreamsKind)
    addResources(Out, Kind, Set.m_Upstreams, formatUpstream);
  return Out;
}

std::vector<Resource> allResources(const DeclarationSet &Set) {
  std::vector<Resource> Out;
  for (const std::string &Kind : replicatedKinds())
    for (Resource &Each : resourcesOf(Set, Kind))
      Out.push_back(std::move(Each));
  return Out;
}

PoolStatus statusOf(const Declared<Pool> &Value, const MembershipView &View) {
  const Pool &Wanted = Value.m_Value;
  PoolStatus Out;
  Out.m_Pool = Wanted.m_Id;
  Out.m_ReadyIn = Wanted.m_Readiness;
  for (DataCentreReadiness &Each : Out.m_ReadyIn) {
    Out.m_Wanted += Each.m_Ready;
    Each.m_Ready = 0;
  }
  for (const auto &[Id, Each] : View.m_Members) {
    if (Each.m_Role != Role::Agent || Each.m_State == MemberState::Gone)
      continue;
    ++Out.m_Members;
    Out.m_InForce += Each.m_InForce >= Value.m_Revision ? 1 : 0;
    if (!serves(Each, Wanted))
      continue;
    ++Out.m_Ready;
    for (DataCentreReadiness &There : Out.m_ReadyIn)
      There.m_Ready += There.m_DataCentre == Each.m_DataCentre ? 1 : 0;
  }
  return Out;
}

json::object toJson(const Resource &Value) {
  json::object Out{{"kind", Value.m_Kind},
                   {"name", Value.m_Name},
                   {"revision", Value.m_Revision.m_Value},
                   {"value", json::parse(Value.m_Json)}};
  if (!Value.m_Change.m_Write.empty())
    Out["changed"] = json::object{{"by", Value.m_Change.m_By},
                                  {"atMs", Value.m_Change.m_AtMs}};
  return Out;
}

json::object toJson(const Member &Value) {
  return {{"instance", Value.m_Id.m_Text},
          {"role", Value.m_Role == Role::Entry ? "entry" : "agent"},
          {"dataCentre", Value.m_DataCentre.m_Text},
          {"state", StateNames[static_cast<std::size_t>(Value.m_State)]},
          {"source", SourceNames[static_cast<std::size_t>(Value.m_Source)]},
          {"inForce", Value.m_InForce.m_Value},
          {"pool", Value.m_Serving.m_Pool.m_Text},
          {"weights", Value.m_Serving.m_Weights.m_Text},
          {"ready", Value.m_Serving.m_Ready},
          {"condition", Value.m_Serving.m_Condition},
          {"chunksHeld", Value.m_Serving.m_ChunksHeld},
          {"chunksTotal", Value.m_Serving.m_ChunksTotal},
          {"operator", Value.m_Addresses.m_Operator}};
}

json::object toJson(const Declared<Pool> &Value, const PoolStatus &Status) {
  json::array Centres;
  for (const DataCentreReadiness &Each : Value.m_Value.m_Readiness)
    Centres.push_back(
        json::object{{"dataCentre", Each.m_DataCentre.m_Text},
                     {"ready", readyIn(Status, Each.m_DataCentre)},
                     {"wanted", Each.m_Ready}});
  const bool IsEngine = Value.m_Value.m_Kind == PoolKind::Engine;
  return {{"name", Status.m_Pool.m_Text},
          {"kind", IsEngine ? "engine" : "service"},
          {"weights", weightsOf(Value.m_Value).m_Text},
          {"revision", Value.m_Revision.m_Value},
          {"ready", Status.m_Ready},
          {"wanted", Status.m_Wanted},
          {"inForce", Status.m_InForce},
          {"agents", Status.m_Members},
          {"dataCentres", std::move(Centres)},
          {"conditions", conditionsOf(Value, Status)}};
}

json::object statusJson(const InstanceId &Self, const DeclarationSet &Set,
                        const MembershipView &View) {
  json::array Pools;
  for (const auto &[Name, Each] : Set.m_Pools)
    Pools.push_back(toJson(Each, statusOf(Each, View)));
  json::array Members;
  for (const auto &[Id, Each] : View.m_Members)
    Members.push_back(toJson(Each));
  return {{"instance", Self.m_Text},
          {"revision", Set.m_Revision.m_Value},
          {"pools", std::move(Pools)},
          {"members", std::move(Members)}};
}

CheckedInput checkInput(const std::string &Kind, const std::string &Name,
                        const std::string &Body) {
  if (Kind == PoolsKind)
    return checkWith(Name, Body, parsePool, formatPool,
                     [](const Pool &Of) { return Of.m_Id.m_Text; });
  if (Kind == OrganisationsKind)
    return checkWith(Name, Body, parseOrganisation, formatOrganisation,
                     [](const Organisation &Of) { return Of.m_Id.m_Text; });
  return checkWith(Name, Body, parseUpstream, formatUpstream,
                   [](const Upstream &Of) { return Of.m_Name; });
}

std::string problemsJson(const Problems &Found) {
  json::array List;
  for (const Problem &Each : Found.m_List)
    List.push_back(json::object{{"path", Each.m_Path},
                                {"found", Each.m_Value},
                                {"expected", Each.m_Expected}});
  return json::serialize(json::object{{"problems", std::move(List)}});
}

} // namespace deckpitch::daemon
