#include "ctl/resource.h"

#include "deckpitch/declaration.h"
#include "deckpitch/json-reader.h"
#include "deckpitch/name.h"

#include <boost/json.hpp>

#include <set>

namespace deckpitch::ctl {

namespace {

const std::vector<std::string_view> Kinds{"pools", "organisations",
                                          "upstreams"};

Resource readResource(const boost::json::value &Value, const std::string &Path,
                      Problems &Found) {
  Resource Out;
  JsonObjectReader Reader(Value, Path, Found);
  std::size_t Kind = 0;
  Reader.choice("kind", Kind, Kinds, true);
  Out.m_Kind = Kinds[Kind];
  if (Reader.has("value"))
    Out.m_Value = Value.as_object().at("value");
  Reader.object(
      "value",
      [&](JsonObjectReader &Inner) {
        Inner.required("name", Out.m_Name);
        // The name goes into the request's path before any entry validates it.
        if (!Out.m_Name.empty() && !isValidName(Out.m_Name))
          Inner.problem("name", ValidNameExpected);
      },
      UnknownKeys::Ignore);
  if (Value.is_object() && !Reader.has("value"))
    Reader.problem("value", "the declared object");
  Reader.finish();
  return Out;
}

template <typename Function>
boost::json::value reformatted(const boost::json::value &Value,
                               Function &&Reformat) {
  const auto Text = outcomeOf([&] { return Reformat(serialize(Value)); });
  return Text ? boost::json::parse(*Text) : Value;
}

/// Returns the field's JSON, or an empty string if the object has no such
/// field.
std::string fieldOf(const boost::json::value &Value, std::string_view Field) {
  const auto *Object = Value.if_object();
  const auto *Found = Object ? Object->if_contains(Field) : nullptr;
  return Found ? serialize(*Found) : "";
}

void addFieldNames(const boost::json::value &Value,
                   std::set<std::string> &Out) {
  if (const auto *Object = Value.if_object())
    for (const auto &Each : *Object)
      Out.emplace(Each.key());
}

} // namespace

Result<std::vector<Resource>> parseResources(std::string_view Json) {
  BOOST_LEAF_AUTO(Document, parseJson(Json));
  Problems Found;
  std::vector<Resource> Out;
  if (const auto *List = Document.if_array()) {
    for (const boost::json::value &Each : *List)
      Out.push_back(
          readResource(Each, "[" + std::to_string(Out.size()) + "]", Found));
  } else {
    Out.push_back(readResource(Document, "", Found));
  }
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

Result<Resource> parseReceived(std::string_view Json) {
  boost::json::error_code Ec;
  const auto Value = boost::json::parse({Json.data(), Json.size()}, Ec);
  const auto *Object = Ec ? nullptr : Value.if_object();
  const auto *Kind = Object ? Object->if_contains("kind") : nullptr;
  const auto *Name = Object ? Object->if_contains("name") : nullptr;
  const auto *Revision = Object ? Object->if_contains("revision") : nullptr;
  const auto *Content = Object ? Object->if_contains("value") : nullptr;
  const bool IsComplete = Kind && Kind->is_string() && Name &&
                          Name->is_string() && Revision &&
                          Revision->is_number() && Content;
  if (!IsComplete)
    return fail(ErrorCode::CorruptData, "the answer is not a declared object");
  Resource Out;
  Out.m_Kind = std::string(Kind->get_string());
  Out.m_Name = std::string(Name->get_string());
  Out.m_Revision = Revision->to_number<std::uint64_t>(Ec);
  Out.m_Value = *Content;
  return Out;
}

boost::json::value normalised(const std::string &Kind,
                              const boost::json::value &Value) {
  if (Kind == "pools")
    return reformatted(Value,
                       [](const std::string &Json) -> Result<std::string> {
                         BOOST_LEAF_AUTO(Parsed, parsePool(Json));
                         return formatPool(Parsed);
                       });
  if (Kind == "organisations")
    return reformatted(Value,
                       [](const std::string &Json) -> Result<std::string> {
                         BOOST_LEAF_AUTO(Parsed, parseOrganisation(Json));
                         return formatOrganisation(Parsed);
                       });
  if (Kind == "upstreams")
    return reformatted(Value,
                       [](const std::string &Json) -> Result<std::string> {
                         BOOST_LEAF_AUTO(Parsed, parseUpstream(Json));
                         return formatUpstream(Parsed);
                       });
  return Value;
}

std::vector<Difference> differencesOf(const boost::json::value &Base,
                                      const boost::json::value &Current,
                                      const boost::json::value &Wanted) {
  std::set<std::string> Fields;
  addFieldNames(Base, Fields);
  addFieldNames(Current, Fields);
  addFieldNames(Wanted, Fields);
  std::vector<Difference> Out;
  for (const std::string &Field : Fields) {
    Difference Each{Field, fieldOf(Base, Field), fieldOf(Current, Field),
                    fieldOf(Wanted, Field)};
    const bool HasChanged = Base.is_object() && Each.m_Base != Each.m_Current;
    if (HasChanged || Each.m_Current != Each.m_Wanted)
      Out.push_back(std::move(Each));
  }
  return Out;
}

} // namespace deckpitch::ctl
