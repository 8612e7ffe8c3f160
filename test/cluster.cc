#include "cluster.h"

#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch::test {

namespace json = boost::json;

namespace {

constexpr unsigned Ok = 200;
constexpr unsigned NotFound = 404;
constexpr unsigned Conflict = 409;
constexpr int DeclareAttempts = 5;

std::string textOf(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  return Found && Found->is_string() ? Found->get_string().c_str() : "";
}

json::object membershipSettings() {
  return {
      {"heartbeatMs", 200}, {"suspectAfterMs", 1'000}, {"goneAfterMs", 4'000}};
}

} // namespace

bool Cluster::fail(const std::string &Why) {
  m_Failure = Why + "\n" + logs();
  return false;
}

bool Cluster::startStandIn(StandInNode &Out, const std::string &Kind,
                           const std::string &Listen) {
  Out.m_Kind = Kind;
  Out.m_Process.emplace(
      "deckpitch-standins",
      std::vector<std::string>{
          "--kind=" + Kind, "--listen=" + Listen, "--engines=1", "--services=1",
          "--slots=" + std::to_string(m_Options.m_Slots),
          "--concurrency=" + std::to_string(m_Options.m_Concurrency),
          "--strict_fencing=" +
              std::string(m_Options.m_StrictFencing ? "true" : "false")});
  Out.m_Address = textOf(Out.m_Process->announcement(), "address");
  return !Out.m_Address.empty() || fail(Kind + " did not start");
}

bool Cluster::startNode(Node &Out, const std::string &SettingsText) {
  Out.m_Settings = m_Scratch.write(Out.m_Instance + ".json", SettingsText);
  Out.m_Process.emplace(
      "deckpitchd", std::vector<std::string>{"--settings=" + Out.m_Settings});
  return true;
}

bool Cluster::awaitNode(Node &Out) {
  const json::object Announcement = Out.m_Process->announcement();
  Out.m_Control = textOf(Announcement, "control");
  Out.m_Requests = textOf(Announcement, "requests");
  Out.m_Bulk = textOf(Announcement, "bulk");
  Out.m_Operator = textOf(Announcement, "operator");
  return !Out.m_Control.empty() || fail(Out.m_Instance + " did not start");
}

namespace {

json::object listenSettings(const Node &On) {
  json::object Out;
  const auto Add = [&Out](std::string_view Key, const std::string &Address) {
    if (!Address.empty())
      Out[Key] = Address;
  };
  Add("control", On.m_Control);
  Add("requests", On.m_Requests);
  Add("bulk", On.m_Bulk);
  Add("operator", On.m_Operator);
  return Out;
}

} // namespace

std::string Cluster::entrySettings(std::size_t I) const {
  json::array Others;
  for (std::size_t Each = 0; Each < m_Entries.size(); ++Each)
    if (Each != I && !m_Entries[Each].m_Control.empty())
      Others.emplace_back(m_Entries[Each].m_Control);
  const auto &Centres = m_Options.m_DataCentres;
  const std::size_t Centre = m_Options.m_SpreadEntries ? I % Centres.size() : 0;
  return json::serialize(
      json::object{{"role", "entry"},
                   {"instance", m_Entries[I].m_Instance},
                   {"dataCentre", Centres[Centre]},
                   {"platform", m_Options.m_Scheme + platform()},
                   {"entries", std::move(Others)},
                   {"listen", listenSettings(m_Entries[I])},
                   {"drainLimitMs", 20'000},
                   {"membership", membershipSettings()}});
}

std::string Cluster::agentSettings(std::size_t I) const {
  json::array Entries;
  for (const Node &Each : m_Entries)
    Entries.emplace_back(Each.m_Control);
  const bool IsEngine = I < m_Engines.size();
  json::object Upstream{{"name", "standin"},
                        {"kind", IsEngine ? "engine" : "service"}};
  if (IsEngine) {
    Upstream["address"] = m_Options.m_Scheme + m_Engines[I].m_Address;
  } else {
    Upstream["address"] =
        m_Options.m_Scheme + m_Services[I - m_Engines.size()].m_Address;
    Upstream["pool"] = m_Options.m_ServicePool;
  }
  json::object Weights{{"origin", m_Options.m_Scheme + origin()}};
  if (m_Options.m_Store)
    Weights["store"] = m_Options.m_Scheme + store();
  const auto Other = m_Options.m_OtherLinkRates.find(I);
  const std::uint64_t Rate = Other == m_Options.m_OtherLinkRates.end()
                                 ? m_Options.m_LinkRate
                                 : Other->second;
  Weights["uploadBytesPerSecond"] = Rate;
  Weights["downloadBytesPerSecond"] = Rate;
  const auto &Centres = m_Options.m_DataCentres;
  return json::serialize(
      json::object{{"role", "agent"},
                   {"instance", m_Agents[I].m_Instance},
                   {"dataCentre", Centres[I % Centres.size()]},
                   {"entries", std::move(Entries)},
                   {"listen", listenSettings(m_Agents[I])},
                   {"upstream", std::move(Upstream)},
                   {"weights", std::move(Weights)},
                   {"drainLimitMs", 20'000},
                   {"membership", membershipSettings()}});
}

bool Cluster::start() {
  const std::string Any = "127.0.0.1:0";
  m_Engines.resize(m_Options.m_Engines);
  m_Services.resize(m_Options.m_Services);
  if (!startStandIn(m_Platform, "platform", Any) ||
      !startStandIn(m_Origin, "origin", Any) ||
      !startStandIn(m_Store, "store", Any))
    return false;
  for (StandInNode &Each : m_Engines)
    if (!startStandIn(Each, "engine", Any))
      return false;
  for (StandInNode &Each : m_Services)
    if (!startStandIn(Each, "service", Any))
      return false;
  m_Entries.resize(m_Options.m_Entries);
  for (std::size_t I = 0; I < m_Entries.size(); ++I) {
    m_Entries[I].m_Instance = "entry-" + std::to_string(I);
    if (!startNode(m_Entries[I], entrySettings(I)) || !awaitNode(m_Entries[I]))
      return false;
  }
  m_Agents.resize(m_Engines.size() + m_Services.size());
  for (std::size_t I = 0; I < m_Agents.size(); ++I) {
    m_Agents[I].m_Instance = "agent-" + std::to_string(I);
    startNode(m_Agents[I], agentSettings(I));
  }
  return std::all_of(m_Agents.begin(), m_Agents.end(),
                     [this](Node &Each) { return awaitNode(Each); });
}

bool Cluster::restart(Node &Which) {
  const auto IsWhich = [&Which](const Node &Each) { return &Each == &Which; };
  const auto Entry = std::find_if(m_Entries.begin(), m_Entries.end(), IsWhich);
  const auto Agent = std::find_if(m_Agents.begin(), m_Agents.end(), IsWhich);
  Which.m_Process.reset();
  const std::string Text =
      Entry != m_Entries.end()
          ? entrySettings(static_cast<std::size_t>(Entry - m_Entries.begin()))
          : agentSettings(static_cast<std::size_t>(Agent - m_Agents.begin()));
  return startNode(Which, Text) && awaitNode(Which);
}

bool Cluster::restart(StandInNode &Which) {
  Which.m_Process.reset();
  return startStandIn(Which, Which.m_Kind, Which.m_Address);
}

std::string Cluster::addWeights(const std::string &Weights, std::uint64_t Bytes,
                                std::uint32_t ChunkBytes, std::uint64_t Seed) {
  const std::string Body = json::serialize(json::object{
      {"bytes", Bytes}, {"chunkBytes", ChunkBytes}, {"seed", Seed}});
  const std::string Target = "/_standin/weights/" + Weights;
  call(store(), "PUT", Target, Body);
  const json::value Manifest = jsonOf(call(origin(), "PUT", Target, Body));
  return Manifest.is_object() ? textOf(Manifest.get_object(), "whole") : "";
}

unsigned Cluster::declare(const std::string &Kind, const std::string &Name,
                          const std::string &Json, std::size_t Entry) {
  const std::string &Address = m_Entries.at(Entry).m_Operator;
  const std::string Target = "/v1/resources/" + Kind + "/" + Name;
  unsigned Status = 0;
  for (int I = 0; I < DeclareAttempts; ++I) {
    const auto Current = call(Address, "GET", Target);
    net::HttpHeaders Headers;
    if (statusOf(Current) == Ok) {
      const json::value Object = jsonOf(Current);
      Headers.add("If-Match",
                  "\"" + json::serialize(Object.at("revision")) + "\"");
    } else if (statusOf(Current) == NotFound) {
      Headers.add("If-None-Match", "*");
    } else {
      return statusOf(Current);
    }
    Status = statusOf(call(Address, "PUT", Target, Json, Headers));
    if (Status != Conflict)
      return Status;
  }
  return Status;
}

bool Cluster::declarePool(const std::string &Name, const std::string &Model,
                          const std::string &Version, std::size_t Entry) {
  const auto &Centres = m_Options.m_DataCentres;
  std::map<std::string, std::uint32_t> Ready;
  for (std::size_t I = 0; I < m_Engines.size(); ++I)
    ++Ready[Centres[I % Centres.size()]];
  json::array Readiness;
  for (const auto &[Centre, Count] : Ready)
    Readiness.push_back(json::object{{"dataCentre", Centre}, {"ready", Count}});
  const unsigned Status = declare(
      "pools", Name,
      json::serialize(json::object{{"name", Name},
                                   {"kind", "engine"},
                                   {"model", Model},
                                   {"version", Version},
                                   {"readiness", std::move(Readiness)}}),
      Entry);
  return Status == Ok || Status == 201;
}

bool Cluster::declareServicePool(const std::string &Path, std::size_t Entry) {
  const unsigned Status =
      declare("pools", m_Options.m_ServicePool,
              json::serialize(json::object{{"name", m_Options.m_ServicePool},
                                           {"kind", "service"},
                                           {"path", Path}}),
              Entry);
  return Status == Ok || Status == 201;
}

std::size_t Cluster::enginesServing(const std::string &Weights) const {
  std::size_t Serving = 0;
  for (const StandInNode &Each : m_Engines) {
    const json::value Status =
        jsonOf(call(Each.m_Address, "GET", "/v1/engine/status"));
    if (!Status.is_object())
      continue;
    for (const json::value &Held : Status.at("loaded").as_array())
      if (Held.at("weights").as_string() == Weights &&
          Held.at("state").as_string() == "active")
        ++Serving;
  }
  return Serving;
}

std::string Cluster::logs() const {
  std::string Out;
  const auto Add = [&Out](const std::string &Name,
                          const std::optional<Child> &Process) {
    const std::string Errors = Process ? Process->errors() : "";
    if (!Errors.empty())
      Out += "--- " + Name + "\n" + Errors;
  };
  Add("platform", m_Platform.m_Process);
  for (const Node &Each : m_Entries)
    Add(Each.m_Instance, Each.m_Process);
  for (const Node &Each : m_Agents)
    Add(Each.m_Instance, Each.m_Process);
  return Out;
}

} // namespace deckpitch::test
