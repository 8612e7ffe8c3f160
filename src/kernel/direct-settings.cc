#include "deckpitch/direct-settings.h"

#include "deckpitch/json-reader.h"

#include <boost/json.hpp>

#include <map>
#include <string>
#include <utility>

namespace deckpitch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Hour{3'600'000};
constexpr std::uint32_t MaxPort = 65'535;
constexpr const char *Mode = "direct";

void readListen(JsonObjectReader &Reader, DirectListen &Out) {
  Reader.optional("callers", Out.m_Callers);
  Reader.optional("ready", Out.m_Ready);
  Reader.optional("directory", Out.m_Directory);
  Reader.optional("operator", Out.m_Operator);
  Reader.required("link", Out.m_Link);
  Reader.optional("bulk", Out.m_Bulk);
}

void readAgents(JsonObjectReader &Reader, DirectSettings &Out) {
  Reader.optional("linkPort", Out.m_AgentLinkPort, 1, MaxPort);
  Reader.optional("bulkPort", Out.m_AgentBulkPort, 1, MaxPort);
}

RegionMap readRegions(JsonObjectReader &Reader) {
  std::map<std::string, std::string> Read;
  Reader.optional("regions", Read);
  std::map<DataCentreId, RegionId> Out;
  for (auto &[DataCentre, Region] : Read)
    Out.emplace(DataCentreId{DataCentre}, RegionId{std::move(Region)});
  return RegionMap(std::move(Out));
}

/// The platform gives some bounds in seconds, and any of them as a fraction.
void readBounds(JsonObjectReader &Reader, DirectBounds &Out) {
  constexpr milliseconds Second{1'000};
  constexpr milliseconds Least{1};
  const auto InMs = [&](std::string_view Key, milliseconds &Bound) {
    Reader.duration(Key, Bound, Least, Least, Hour);
  };
  InMs("drainMs", Out.m_Drain);
  InMs("applyMs", Out.m_Apply);
  InMs("graceMs", Out.m_Grace);
  Reader.duration("graceS", Out.m_Grace, Second, Least, Hour);
  InMs("versionMs", Out.m_Version);
  if (Reader.has("evacuateMs"))
    InMs("evacuateMs", Out.m_Evacuate.emplace());
  if (Reader.has("coldBurst") || Reader.has("coldSlack")) {
    ColdStartBound &Cold = Out.m_ColdStart.emplace();
    Reader.optional("coldBurst", Cold.m_Factor, 0.0, 1'000.0);
    Reader.optional("coldSlack", Cold.m_Slack, 0.0, 1e6);
  }
  RetryShare &Retries = Out.m_Retries;
  Reader.optional("retryShare", Retries.m_Share, 0.0, 1.0);
  Reader.optional("retrySlack", Retries.m_Slack, 0.0, 1e6);
  InMs("retryWindowMs", Retries.m_Window);
  Reader.duration("retryWindowS", Retries.m_Window, Second, Least, Hour);
  Reader.optional("addressLifetimeMs", Out.m_AddressLifetime, milliseconds(100),
                  Hour);
}

void checkRole(JsonObjectReader &Reader, const DirectSettings &Out) {
  if (Out.m_Role == Role::Agent && Out.m_Upstream.empty())
    Reader.problem("upstream", "the address of the instance beside the agent");
  if (Out.m_Role == Role::Agent && Out.m_Listen.m_Bulk.empty())
    Reader.problem("listen.bulk", "\"ip:port\" for other agents");
  if (Out.m_Role == Role::Entry && Out.m_Listen.m_Callers.empty())
    Reader.problem("listen.callers", "\"ip:port\" for callers");
}

} // namespace

bool areDirectSettings(std::string_view Json) {
  const auto Value = outcomeOf([&] { return parseJson(Json); });
  if (!Value || !Value->is_object())
    return false;
  const boost::json::value *Found = Value->get_object().if_contains("mode");
  return Found && Found->is_string() && Found->get_string() == Mode;
}

Result<DirectSettings> parseDirectSettings(std::string_view Json) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  DirectSettings Out;
  JsonObjectReader Reader(Value, "", Found);
  std::size_t Ignored = 0;
  Reader.choice("mode", Ignored, {Mode}, true);
  std::size_t RoleIndex = 0;
  Reader.choice("role", RoleIndex, {"entry", "agent"}, true);
  Out.m_Role = static_cast<Role>(RoleIndex);
  Reader.required("instance", Out.m_Instance.m_Text);
  Reader.required("dataCentre", Out.m_DataCentre.m_Text);
  Reader.object("listen", [&](JsonObjectReader &Inner) {
    readListen(Inner, Out.m_Listen);
  });
  Reader.object("agents",
                [&](JsonObjectReader &Inner) { readAgents(Inner, Out); });
  Reader.required("store", Out.m_Store);
  Reader.optional("upstream", Out.m_Upstream);
  Reader.optional("service", Out.m_Service);
  Reader.optional("linkMbps", Out.m_LinkMbps, 0.0, 1e6);
  Out.m_Regions = readRegions(Reader);
  Reader.object("bounds", [&](JsonObjectReader &Inner) {
    readBounds(Inner, Out.m_Bounds);
  });
  Reader.object("limits", [&](JsonObjectReader &Inner) {
    readProcessLimits(Inner, Out.m_Limits);
  });
  checkRole(Reader, Out);
  Reader.finish();
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

} // namespace deckpitch
