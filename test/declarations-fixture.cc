#include "declarations-fixture.h"

#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch::test {

namespace json = boost::json;

namespace {

constexpr const char *PoolPath = "/v1/resources/pools/chat";

std::uint64_t numberOf(const json::value &In, std::string_view Key) {
  return In.at(Key).to_number<std::uint64_t>();
}

std::vector<Node *> nodesOf(Cluster &Of) {
  std::vector<Node *> All;
  for (std::size_t I = 0; I < Of.entries(); ++I)
    All.push_back(&Of.entry(I));
  for (std::size_t I = 0; I < Of.agents(); ++I)
    All.push_back(&Of.agent(I));
  return All;
}

} // namespace

PutResult putPool(Cluster &To, const std::string &Version,
                  std::uint64_t Expected, std::size_t Entry) {
  net::HttpHeaders Headers;
  if (Expected == 0)
    Headers.add("If-None-Match", "*");
  else
    Headers.add("If-Match", '"' + std::to_string(Expected) + '"');
  const std::string Pool =
      R"({"name":"chat","model":"m","version":")" + Version + R"("})";
  const auto Answer =
      call(To.entry(Entry).m_Operator, "PUT", PoolPath, Pool, Headers);
  const json::value Body = jsonOf(Answer);
  const auto *At =
      Body.is_object() ? Body.get_object().if_contains("revision") : nullptr;
  return {statusOf(Answer), At ? At->to_number<std::uint64_t>() : 0};
}

json::value moduleDump(const Node &Of, const char *Module) {
  const json::value Dump = jsonOf(call(Of.m_Operator, "GET", "/v1/dump"));
  if (!Dump.is_object())
    return {};
  const auto *Found = Dump.at("modules").as_object().if_contains(Module);
  return Found ? *Found : json::value();
}

std::optional<std::size_t> leaseHolder(Cluster &Of, const char *Module,
                                       std::optional<std::size_t> Except) {
  for (std::size_t I = 0; I < Of.entries(); ++I) {
    if (I == Except)
      continue;
    const json::value Dump = moduleDump(Of.entry(I), Module);
    if (Dump.is_object() && Dump.at("lease").at("held").as_bool())
      return I;
  }
  return std::nullopt;
}

std::uint64_t AppliedHistory::appliedRevision(const Node &Of) {
  const json::value Replica = moduleDump(Of, "declarations");
  if (!Replica.is_object() || !Replica.at("published").as_bool())
    return 0;
  const auto *Pool =
      Replica.at("objects").as_object().if_contains("pools/chat");
  const auto Now = Pool ? Pool->to_number<std::uint64_t>() : 0;
  return numberOf(Replica, "revision") >= Now ? Now : 0;
}

bool AppliedHistory::at(const std::vector<Node *> &Which,
                        std::uint64_t Revision) {
  return eventually([&] {
    return std::all_of(Which.begin(), Which.end(), [&](const Node *Each) {
      return appliedRevision(*Each) >= Revision;
    });
  });
}

bool AppliedHistory::awaitEverywhere(std::uint64_t Revision) {
  return at(nodesOf(m_Of), Revision);
}

testing::AssertionResult AppliedHistory::check(const std::string &Instance,
                                               const json::value &History,
                                               LatestRevisions &Objects) const {
  std::uint64_t Order = 0;
  std::uint64_t Complete = 0;
  LatestRevisions InThisIncarnation;
  for (const json::value &Each : History.at("changes").as_array()) {
    const std::string Object = Each.at("object").as_string().c_str();
    const std::uint64_t Revision = numberOf(Each, "revision");
    const auto Fail = [&](const char *Why) {
      return testing::AssertionFailure()
             << Instance << ": " << Why << ": " << json::serialize(History);
    };
    if (numberOf(Each, "order") != ++Order)
      return Fail("the history has a gap");
    if (numberOf(Each, "complete") < Complete)
      return Fail("completeness decreased");
    Complete = numberOf(Each, "complete");
    if (Revision == 0)
      continue; // Deleted; it may return only with a newer revision.
    if (Revision <= InThisIncarnation[Object])
      return Fail("an object returned to an older revision");
    const bool IsPool = Object.starts_with("pools/");
    if (IsPool && Revision < Objects[Object])
      return Fail("a restarted process applied an older revision than before");
    InThisIncarnation[Object] = Revision;
  }
  if (Order == 0)
    return testing::AssertionFailure() << Instance << " applied no declaration";
  for (const auto &[Object, Revision] : InThisIncarnation)
    Objects[Object] = std::max(Objects[Object], Revision);
  return testing::AssertionSuccess();
}

bool AppliedHistory::recordIncarnation(const Node &Of) {
  const json::value Replica = moduleDump(Of, "declarations");
  if (!Replica.is_object())
    return false;
  const auto Checked = check(Of.m_Instance, Replica.at("history"),
                             m_EarlierIncarnations[Of.m_Instance]);
  if (!Checked)
    m_Violations.emplace_back(Checked.message());
  return true;
}

testing::AssertionResult AppliedHistory::isMonotonic() {
  for (const Node *Each : nodesOf(m_Of))
    if (!recordIncarnation(*Each))
      return testing::AssertionFailure()
             << Each->m_Instance << " did not answer";
  if (!m_Violations.empty())
    return testing::AssertionFailure() << m_Violations.front();
  return testing::AssertionSuccess();
}

} // namespace deckpitch::test
