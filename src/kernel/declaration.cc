#include "deckpitch/declaration.h"

#include "deckpitch/json-reader.h"
#include "deckpitch/name.h"

#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch {

namespace {

constexpr std::size_t MaxNameBytes = 100;
constexpr std::string_view NameCharacters =
    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.";

/// Checks a name unless it is empty: then it is missing, which the reader has
/// already reported if the name is required.
void checkName(JsonObjectReader &Reader, std::string_view Key,
               const std::string &Name) {
  if (!Name.empty() && !isValidName(Name))
    Reader.problem(Key, ValidNameExpected);
}

void readReadiness(JsonObjectReader &Reader, Problems &Found,
                   UnknownKeys Unknown, std::vector<DataCentreReadiness> &Out) {
  Reader.array("readiness", [&](const boost::json::value &Each,
                                const std::string &Path) {
    JsonObjectReader Inner(Each, Path, Found, Unknown);
    DataCentreReadiness Readiness;
    Inner.required("dataCentre", Readiness.m_DataCentre.m_Text);
    Inner.optional("ready", Readiness.m_Ready, 0, 100'000);
    Inner.finish();
    const bool IsDuplicate = std::any_of(
        Out.begin(), Out.end(), [&](const DataCentreReadiness &Other) {
          return Other.m_DataCentre == Readiness.m_DataCentre;
        });
    if (IsDuplicate)
      Inner.problem("dataCentre", "each data centre once");
    Out.push_back(std::move(Readiness));
  });
}

void readEngineFields(JsonObjectReader &Reader, Pool &Out) {
  Reader.required("model", Out.m_Model);
  Reader.required("version", Out.m_Version);
  Reader.optional("adapter", Out.m_Adapter);
  checkName(Reader, "model", Out.m_Model);
  checkName(Reader, "version", Out.m_Version);
  checkName(Reader, "adapter", Out.m_Adapter);
}

void readServiceFields(JsonObjectReader &Reader, Pool &Out) {
  Reader.required("path", Out.m_Path);
  if (!Out.m_Path.empty() && Out.m_Path.front() != '/')
    Reader.problem("path", "a path that starts with '/'");
}

} // namespace

bool isValidName(std::string_view Name) {
  return Name.size() <= MaxNameBytes &&
         Name.find_first_not_of(NameCharacters) == std::string_view::npos &&
         Name.find_first_not_of('.') != std::string_view::npos;
}

WeightsId weightsOf(const Pool &Value) {
  if (Value.m_Kind == PoolKind::Service)
    return {};
  const std::string Adapter =
      Value.m_Adapter.empty() ? "" : "+" + Value.m_Adapter;
  return WeightsId{Value.m_Model + Adapter + "@" + Value.m_Version};
}

Result<Pool> parsePool(std::string_view Json, UnknownKeys Unknown) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  Pool Out;
  JsonObjectReader Reader(Value, "", Found, Unknown);
  Reader.required("name", Out.m_Id.m_Text);
  checkName(Reader, "name", Out.m_Id.m_Text);
  std::size_t Kind = 0;
  Reader.choice("kind", Kind, {"engine", "service"});
  Out.m_Kind = static_cast<PoolKind>(Kind);
  if (Out.m_Kind == PoolKind::Engine)
    readEngineFields(Reader, Out);
  else
    readServiceFields(Reader, Out);
  readReadiness(Reader, Found, Unknown, Out.m_Readiness);
  auto Prefer = static_cast<std::size_t>(Out.m_Preference);
  Reader.choice("prefer", Prefer, {"time", "origin-bytes"});
  Out.m_Preference = static_cast<Preference>(Prefer);
  Reader.optional("paused", Out.m_Paused);
  Reader.optional("queueLimit", Out.m_QueueLimit, 0, 1'000'000);
  Reader.optional("maxUnavailable", Out.m_MaxUnavailable, 1, 100'000);
  Reader.finish();
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

std::string formatPool(const Pool &Value) {
  boost::json::object Out{{"name", Value.m_Id.m_Text}};
  if (Value.m_Kind == PoolKind::Engine) {
    Out["kind"] = "engine";
    Out["model"] = Value.m_Model;
    Out["adapter"] = Value.m_Adapter;
    Out["version"] = Value.m_Version;
  } else {
    Out["kind"] = "service";
    Out["path"] = Value.m_Path;
  }
  boost::json::array Readiness;
  for (const DataCentreReadiness &Each : Value.m_Readiness)
    Readiness.push_back(boost::json::object{
        {"dataCentre", Each.m_DataCentre.m_Text}, {"ready", Each.m_Ready}});
  Out["readiness"] = std::move(Readiness);
  Out["prefer"] =
      Value.m_Preference == Preference::Time ? "time" : "origin-bytes";
  Out["paused"] = Value.m_Paused;
  Out["queueLimit"] = Value.m_QueueLimit;
  Out["maxUnavailable"] = Value.m_MaxUnavailable;
  return boost::json::serialize(Out);
}

Result<Organisation> parseOrganisation(std::string_view Json,
                                       UnknownKeys Unknown) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  Organisation Out;
  JsonObjectReader Reader(Value, "", Found, Unknown);
  Reader.required("name", Out.m_Id.m_Text);
  checkName(Reader, "name", Out.m_Id.m_Text);
  Reader.optional("share", Out.m_Share, 1, 10'000);
  Reader.optional("maxInFlight", Out.m_MaxInFlight, 0, 1'000'000);
  Reader.finish();
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

std::string formatOrganisation(const Organisation &Value) {
  return boost::json::serialize(
      boost::json::object{{"name", Value.m_Id.m_Text},
                          {"share", Value.m_Share},
                          {"maxInFlight", Value.m_MaxInFlight}});
}

Result<Upstream> parseUpstream(std::string_view Json, UnknownKeys Unknown) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  Upstream Out;
  JsonObjectReader Reader(Value, "", Found, Unknown);
  Reader.required("name", Out.m_Name);
  checkName(Reader, "name", Out.m_Name);
  Reader.optional("checksFencing", Out.m_ChecksFencing);
  Reader.finish();
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

std::string formatUpstream(const Upstream &Value) {
  return boost::json::serialize(boost::json::object{
      {"name", Value.m_Name}, {"checksFencing", Value.m_ChecksFencing}});
}

Result<Assignment> parseAssignment(std::string_view Json, UnknownKeys Unknown) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  Assignment Out;
  JsonObjectReader Reader(Value, "", Found, Unknown);
  Reader.array("instances",
               [&](const boost::json::value &Each, const std::string &Path) {
                 JsonObjectReader Inner(Each, Path, Found, Unknown);
                 InstanceId Instance;
                 AssignedPool Assigned;
                 Inner.required("instance", Instance.m_Text);
                 Inner.required("pool", Assigned.m_Pool.m_Text);
                 Inner.optional("weights", Assigned.m_Weights.m_Text);
                 Inner.finish();
                 Out.m_Instances[Instance] = Assigned;
               });
  Reader.finish();
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

std::string formatAssignment(const Assignment &Value) {
  boost::json::array Instances;
  for (const auto &[Instance, Assigned] : Value.m_Instances)
    Instances.push_back(
        boost::json::object{{"instance", Instance.m_Text},
                            {"pool", Assigned.m_Pool.m_Text},
                            {"weights", Assigned.m_Weights.m_Text}});
  return boost::json::serialize(
      boost::json::object{{"instances", std::move(Instances)}});
}

std::string addChangeNote(const std::string &Json, const ChangeNote &Note) {
  boost::json::value Value = boost::json::parse(Json);
  Value.as_object()["changed"] = boost::json::object{
      {"by", Note.m_By}, {"atMs", Note.m_AtMs}, {"write", Note.m_Write}};
  return boost::json::serialize(Value);
}

ChangeNote readChangeNote(std::string_view Json) {
  boost::json::error_code Ec;
  const boost::json::value Value = boost::json::parse(Json, Ec);
  const boost::json::value *Found =
      !Ec && Value.is_object() ? Value.get_object().if_contains("changed")
                               : nullptr;
  if (!Found || !Found->is_object())
    return {};
  Problems Ignored;
  ChangeNote Note;
  JsonObjectReader Reader(*Found, "changed", Ignored);
  Reader.optional("by", Note.m_By);
  Reader.optional("atMs", Note.m_AtMs, std::uint64_t{0}, UINT64_MAX);
  Reader.optional("write", Note.m_Write);
  return Note;
}

} // namespace deckpitch
