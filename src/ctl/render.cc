#include "ctl/render.h"

#include <boost/json.hpp>

#include <array>

namespace deckpitch::ctl {

namespace {

constexpr std::array<std::string_view, 7> ResultNames{
    "created", "updated",     "unchanged", "conflict",
    "refused", "unavailable", "unknown"};

/// Returns the field as text, strings without quotes; "-" if it is absent, null
/// or empty.
std::string textOf(const boost::json::value &Value, std::string_view Field) {
  const auto *Object = Value.if_object();
  const auto *Found = Object ? Object->if_contains(Field) : nullptr;
  if (!Found || Found->is_null())
    return "-";
  if (!Found->is_string())
    return boost::json::serialize(*Found);
  return Found->get_string().empty() ? "-" : std::string(Found->get_string());
}

const boost::json::array &listOf(const boost::json::value &Value,
                                 std::string_view Field) {
  static const boost::json::array Empty;
  const auto *Object = Value.if_object();
  const auto *Found = Object ? Object->if_contains(Field) : nullptr;
  return Found && Found->is_array() ? Found->get_array() : Empty;
}

void appendPretty(const boost::json::value &Value, const std::string &Indent,
                  std::string &Out) {
  const std::string Inner = Indent + "  ";
  if (Value.is_object() && !Value.get_object().empty()) {
    std::string Separator = "{\n";
    for (const auto &Each : Value.get_object()) {
      Out += Separator + Inner + boost::json::serialize(Each.key()) + ": ";
      appendPretty(Each.value(), Inner, Out);
      Separator = ",\n";
    }
    Out += "\n" + Indent + "}";
    return;
  }
  if (Value.is_array() && !Value.get_array().empty()) {
    std::string Separator = "[\n";
    for (const boost::json::value &Each : Value.get_array()) {
      Out += Separator + Inner;
      appendPretty(Each, Inner, Out);
      Separator = ",\n";
    }
    Out += "\n" + Indent + "]";
    return;
  }
  Out += boost::json::serialize(Value);
}

std::string valueOrNothing(const std::string &Json) {
  return Json.empty() ? "nothing" : Json;
}

std::string describeDifference(const Difference &Value) {
  std::string Line = "  " + Value.m_Field + ": ";
  if (!Value.m_Base.empty())
    Line += "was " + Value.m_Base + ", ";
  return Line + "is now " + valueOrNothing(Value.m_Current) + ", asked for " +
         valueOrNothing(Value.m_Wanted) + "\n";
}

std::string describePool(const boost::json::value &Pool) {
  std::string Text = "pool " + textOf(Pool, "name") + ": " +
                     textOf(Pool, "weights") + ", ready " +
                     textOf(Pool, "ready") + " of " + textOf(Pool, "wanted") +
                     "\n";
  for (const boost::json::value &Each : listOf(Pool, "dataCentres"))
    Text += "  " + textOf(Each, "dataCentre") + ": ready " +
            textOf(Each, "ready") + " of " + textOf(Each, "wanted") + "\n";
  for (const boost::json::value &Each : listOf(Pool, "conditions"))
    Text += "  condition: " +
            (Each.is_string() ? std::string(Each.get_string())
                              : boost::json::serialize(Each)) +
            "\n";
  return Text;
}

std::string describeMember(const boost::json::value &Member) {
  const std::string ChunksTotal = textOf(Member, "chunksTotal");
  std::string Text =
      textOf(Member, "role") + " " + textOf(Member, "instance") + ": " +
      textOf(Member, "state") + ", " + textOf(Member, "dataCentre") +
      ", in force " + textOf(Member, "inForce") + ", pool " +
      textOf(Member, "pool") + ", weights " + textOf(Member, "weights") + ", " +
      textOf(Member, "condition");
  if (ChunksTotal != "-" && ChunksTotal != "0")
    Text += ", chunks " + textOf(Member, "chunksHeld") + " of " + ChunksTotal;
  return Text;
}

} // namespace

std::string_view nameOf(ApplyResult Result) {
  return ResultNames.at(static_cast<std::size_t>(Result));
}

std::string prettyJson(const boost::json::value &Value) {
  std::string Out;
  appendPretty(Value, "", Out);
  return Out;
}

std::string describe(const Resource &Wanted, const ApplyReport &Report) {
  std::string Text = Wanted.m_Kind + "/" + Wanted.m_Name + ": " +
                     std::string(nameOf(Report.m_Result));
  if (Report.m_Revision != 0)
    Text += ", revision " + std::to_string(Report.m_Revision);
  if (!Report.m_Message.empty())
    Text += ": " + Report.m_Message;
  Text += "\n";
  for (const Difference &Each : Report.m_Differences)
    Text += describeDifference(Each);
  return Text;
}

boost::json::value toJson(const Resource &Wanted, const ApplyReport &Report) {
  boost::json::array Differences;
  for (const Difference &Each : Report.m_Differences)
    Differences.push_back(boost::json::object{{"field", Each.m_Field},
                                              {"base", Each.m_Base},
                                              {"current", Each.m_Current},
                                              {"wanted", Each.m_Wanted}});
  return boost::json::object{{"kind", Wanted.m_Kind},
                             {"name", Wanted.m_Name},
                             {"result", nameOf(Report.m_Result)},
                             {"revision", Report.m_Revision},
                             {"message", Report.m_Message},
                             {"differences", std::move(Differences)}};
}

std::string describeStatus(const boost::json::value &Status) {
  std::string Text = "revision " + textOf(Status, "revision") + "\n";
  for (const boost::json::value &Each : listOf(Status, "pools"))
    Text += describePool(Each);
  for (const boost::json::value &Each : listOf(Status, "members"))
    Text += describeMember(Each) + "\n";
  return Text;
}

std::string describeEvent(const boost::json::value &Event) {
  const std::string Type = textOf(Event, "type");
  if (Type == "bookmark")
    return "";
  if (Type == "member")
    return describeMember(Event) + "\n";
  if (Type == "status")
    return "pool " + textOf(Event, "pool") + ": ready " +
           textOf(Event, "ready") + " of " + textOf(Event, "wanted") + "\n";
  return Type + " " + textOf(Event, "kind") + "/" + textOf(Event, "name") +
         ", revision " + textOf(Event, "revision") + ": " +
         textOf(Event, "value") + "\n";
}

std::string describeList(const boost::json::value &List) {
  std::string Text;
  for (const boost::json::value &Each : listOf(List, "items"))
    Text += textOf(Each, "kind") + "/" + textOf(Each, "name") + ", revision " +
            textOf(Each, "revision") + ": " + textOf(Each, "value") + "\n";
  return Text;
}

} // namespace deckpitch::ctl
