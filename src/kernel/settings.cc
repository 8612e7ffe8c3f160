#include "deckpitch/settings.h"

#include "deckpitch/client-ledger.h"
#include "deckpitch/json-reader.h"

#include <boost/json.hpp>

#include <arpa/inet.h>

#include <charconv>

namespace deckpitch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds Hour{3'600'000};
constexpr std::uint64_t MaxBytes = 1ULL << 40;

void readListen(JsonObjectReader &Reader, ListenSettings &Out) {
  Reader.optional("control", Out.m_Control);
  Reader.optional("requests", Out.m_Requests);
  Reader.optional("bulk", Out.m_Bulk);
  Reader.optional("operator", Out.m_Operator);
}

void readUpstream(JsonObjectReader &Reader, UpstreamSettings &Out) {
  Reader.required("name", Out.m_Name);
  std::size_t Kind = 0;
  Reader.choice("kind", Kind, {"engine", "service"}, true);
  Out.m_Kind = static_cast<PoolKind>(Kind);
  Reader.required("address", Out.m_Address);
  Reader.optional("pool", Out.m_Pool.m_Text);
  if (Out.m_Kind == PoolKind::Service && Out.m_Pool.empty())
    Reader.problem("pool", "the name of the pool that the service belongs to");
}

void readWeights(JsonObjectReader &Reader, WeightsSettings &Out) {
  Reader.optional("origin", Out.m_Origin);
  Reader.optional("store", Out.m_Store);
  Reader.optional("memoryBytes", Out.m_MemoryBytes, 1024ULL * 1024, MaxBytes);
  Reader.optional("uploadBytesPerSecond", Out.m_UploadBytesPerSecond, 0,
                  MaxBytes);
  Reader.optional("downloadBytesPerSecond", Out.m_DownloadBytesPerSecond, 0,
                  MaxBytes);
  Reader.optional("sharedLink", Out.m_SharedLink);
  Reader.optional("peers", Out.m_Peers, 1, 256);
}

void readMembership(JsonObjectReader &Reader, MembershipSettings &Out) {
  Reader.optional("heartbeatMs", Out.m_Heartbeat, milliseconds(10), Hour);
  Reader.optional("suspectAfterMs", Out.m_SuspectAfter, milliseconds(20), Hour);
  Reader.optional("goneAfterMs", Out.m_GoneAfter, milliseconds(30), Hour);
  if (Out.m_SuspectAfter <= Out.m_Heartbeat)
    Reader.problem("suspectAfterMs", "more than heartbeatMs");
  if (Out.m_GoneAfter <= Out.m_SuspectAfter)
    Reader.problem("goneAfterMs", "more than suspectAfterMs");
}

void readRequests(JsonObjectReader &Reader, RequestSettings &Out) {
  Reader.optional("maxBodyBytes", Out.m_MaxBodyBytes, 1024, 64 * 1024 * 1024);
  Reader.optional("defaultDeadlineMs", Out.m_DefaultDeadline, milliseconds(1),
                  Hour);
  Reader.optional("addressLifetimeMs", Out.m_AddressLifetime, milliseconds(100),
                  Hour);
  Reader.optional("instanceConcurrency", Out.m_InstanceConcurrency, 1, 100'000);
}

bool isIp(const std::string &Host) {
  in6_addr Ignored{};
  if (Host.size() > 2 && Host.front() == '[' && Host.back() == ']')
    return inet_pton(AF_INET6, Host.substr(1, Host.size() - 2).c_str(),
                     &Ignored) == 1;
  return inet_pton(AF_INET, Host.c_str(), &Ignored) == 1;
}

bool isIpAndPort(const std::string &Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return false;
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Read = std::from_chars(Text.data() + Colon + 1, End, Port);
  return Read.ec == std::errc{} && Read.ptr == End &&
         isIp(Text.substr(0, Colon));
}

/// Checks addresses and collects the faults; an empty address is valid.
class AddressChecker {
public:
  explicit AddressChecker(Problems &Found) : m_Found(Found) {}

  void checkIpAndPort(const std::string &Path, const std::string &Text) {
    if (!Text.empty() && !isIpAndPort(Text))
      add(Path, Text, "\"ip:port\"");
  }

  /// Checks the address of an external system; addresses with a scheme are
  /// checked by its adapter.
  void checkExternal(const std::string &Path, const std::string &Text) {
    const bool HasScheme = Text.find("://") != std::string::npos;
    if (!Text.empty() && !HasScheme && !isIpAndPort(Text))
      add(Path, Text, "\"ip:port\" or \"scheme://address\"");
  }

private:
  void add(const std::string &Path, const std::string &Text,
           const char *Expected) {
    m_Found.m_List.push_back(
        {Path, boost::json::serialize(boost::json::string(Text)), Expected});
  }

  Problems &m_Found;
};

void checkAddresses(const Settings &Value, Problems &Found) {
  AddressChecker Checker(Found);
  Checker.checkIpAndPort("listen.control", Value.m_Listen.m_Control);
  Checker.checkIpAndPort("listen.requests", Value.m_Listen.m_Requests);
  Checker.checkIpAndPort("listen.bulk", Value.m_Listen.m_Bulk);
  Checker.checkIpAndPort("listen.operator", Value.m_Listen.m_Operator);
  for (std::size_t I = 0; I < Value.m_Entries.size(); ++I)
    Checker.checkIpAndPort("entries[" + std::to_string(I) + "]",
                           Value.m_Entries[I]);
  Checker.checkExternal("platform", Value.m_Platform);
  Checker.checkExternal("upstream.address", Value.m_Upstream.m_Address);
  Checker.checkExternal("weights.origin", Value.m_Weights.m_Origin);
  Checker.checkExternal("weights.store", Value.m_Weights.m_Store);
}

} // namespace

Result<Settings> parseSettings(std::string_view Json) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  Settings Out;
  JsonObjectReader Reader(Value, "", Found);
  std::size_t RoleIndex = 0;
  Reader.choice("role", RoleIndex, {"entry", "agent"}, true);
  Out.m_Role = static_cast<Role>(RoleIndex);
  Reader.required("instance", Out.m_Instance.m_Text);
  Reader.required("dataCentre", Out.m_DataCentre.m_Text);
  Reader.object("listen", [&](JsonObjectReader &Inner) {
    readListen(Inner, Out.m_Listen);
  });
  Reader.array("entries",
               [&](const boost::json::value &Each, const std::string &Path) {
                 if (Each.is_string())
                   Out.m_Entries.emplace_back(Each.get_string());
                 else
                   Found.m_List.push_back(
                       {Path, boost::json::serialize(Each), "\"ip:port\""});
               });
  Reader.optional("platform", Out.m_Platform);
  Reader.optional("threads", Out.m_Threads, 1, 64);
  Reader.optional("drainLimitMs", Out.m_DrainLimit, milliseconds(0), 24 * Hour);
  Reader.object("upstream", [&](JsonObjectReader &Inner) {
    readUpstream(Inner, Out.m_Upstream);
  });
  Reader.object("weights", [&](JsonObjectReader &Inner) {
    readWeights(Inner, Out.m_Weights);
  });
  Reader.object("membership", [&](JsonObjectReader &Inner) {
    readMembership(Inner, Out.m_Membership);
  });
  Reader.object("requests", [&](JsonObjectReader &Inner) {
    readRequests(Inner, Out.m_Requests);
  });
  Reader.object("limits", [&](JsonObjectReader &Inner) {
    readProcessLimits(Inner, Out.m_Limits);
  });
  if (largestBody(clientLimits(Out.m_Limits)) < Out.m_Requests.m_MaxBodyBytes)
    Reader.problem("limits.memoryMb",
                   "at least 12 times requests.maxBodyBytes");
  if (Out.m_Role == Role::Agent && !Reader.has("upstream"))
    Reader.problem("upstream", "the engine or service beside the agent");
  if (Out.m_Role == Role::Agent && Out.m_Entries.empty())
    Reader.problem("entries", "at least one entry's control address");
  if (Out.m_Role == Role::Entry && Out.m_Platform.empty())
    Reader.problem("platform",
                   "\"ip:port\" of the platform's object interface");
  Reader.finish();
  checkAddresses(Out, Found);
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

} // namespace deckpitch
