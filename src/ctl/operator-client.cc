#include "ctl/operator-client.h"

#include <boost/json.hpp>

namespace deckpitch::ctl {

namespace {

constexpr int MaxWriteAttempts = 3;

std::string pathOf(const std::string &Kind, const std::string &Name) {
  return "/v1/resources/" + Kind + "/" + Name;
}

net::HttpRequest writeRequest(const Resource &Wanted, std::uint64_t Revision) {
  net::HttpRequest Request;
  Request.m_Method = "PUT";
  Request.m_Target = pathOf(Wanted.m_Kind, Wanted.m_Name);
  Request.m_Headers.add("Content-Type", "application/json");
  if (Revision == 0)
    Request.m_Headers.add("If-None-Match", "*");
  else
    Request.m_Headers.add("If-Match", "\"" + std::to_string(Revision) + "\"");
  Request.m_Body = boost::json::serialize(Wanted.m_Value);
  return Request;
}

bool isEquivalent(const Resource &Left, const Resource &Right) {
  return normalised(Left.m_Kind, Left.m_Value) ==
         normalised(Right.m_Kind, Right.m_Value);
}

std::uint64_t parseRevision(const std::string &Json) {
  boost::json::error_code Ec;
  const auto Value = boost::json::parse(Json, Ec);
  const auto *Object = Ec ? nullptr : Value.if_object();
  const auto *Found = Object ? Object->if_contains("revision") : nullptr;
  return Found ? Found->to_number<std::uint64_t>(Ec) : 0;
}

/// One apply operation. m_Base is the object as first read, on which the write
/// is conditional.
class ApplyOperation {
public:
  ApplyOperation(const Caller &Call, const Resource &Wanted)
      : m_Call(Call), m_Wanted(Wanted) {}

  ApplyReport run(std::optional<std::uint64_t> Expected) {
    if (Expected) {
      m_Base.m_Revision = *Expected;
    } else {
      const auto Read = readResource(m_Call, m_Wanted.m_Kind, m_Wanted.m_Name);
      if (!Read && Read.error().m_Code != ErrorCode::NotFound)
        return {ApplyResult::Unavailable, 0, Read.error().m_Message, {}};
      if (Read)
        m_Base = *Read;
      if (Read && isEquivalent(*Read, m_Wanted))
        return {ApplyResult::Unchanged, Read->m_Revision, "", {}};
    }
    return write();
  }

private:
  ApplyReport write() {
    std::string Last;
    for (int Attempt = 0; Attempt < MaxWriteAttempts; ++Attempt) {
      const auto Answer = m_Call(writeRequest(m_Wanted, m_Base.m_Revision));
      if (!Answer && Answer.error().m_Code == ErrorCode::Unavailable &&
          Attempt == 0)
        return {ApplyResult::Unavailable, 0, Answer.error().m_Message, {}};
      if (Answer && Answer->m_Status < 500)
        return reportOfAnswer(*Answer);
      Last = Answer ? errorOf(*Answer).m_Message : Answer.error().m_Message;
      if (const auto Report = readBack())
        return *Report;
    }
    return {ApplyResult::Unknown, 0, Last, {}};
  }

  ApplyReport reportOfAnswer(const net::HttpResponse &Answer) {
    const bool IsNew = m_Base.m_Revision == 0;
    if (Answer.m_Status < 300)
      return {IsNew ? ApplyResult::Created : ApplyResult::Updated,
              parseRevision(Answer.m_Body),
              "",
              {}};
    if (Answer.m_Status != 409)
      return {Answer.m_Status == 404 ? ApplyResult::Conflict
                                     : ApplyResult::Refused,
              0,
              errorOf(Answer).m_Message,
              {}};
    const auto Current =
        outcomeOf([&] { return parseReceived(Answer.m_Body); });
    if (!Current)
      return {ApplyResult::Conflict, 0, Current.error().m_Message, {}};
    return reportOfChange(*Current);
  }

  /// Reads the object after a lost answer. Returns nullopt if it is unchanged,
  /// so the write may be repeated.
  std::optional<ApplyReport> readBack() {
    const auto Read = readResource(m_Call, m_Wanted.m_Kind, m_Wanted.m_Name);
    const bool Gone = !Read && Read.error().m_Code == ErrorCode::NotFound;
    if (Gone && m_Base.m_Revision == 0)
      return std::nullopt;
    if (Gone)
      return ApplyReport{
          ApplyResult::Conflict, 0, "the object was removed", {}};
    if (!Read)
      return ApplyReport{ApplyResult::Unknown, 0, Read.error().m_Message, {}};
    if (Read->m_Revision <= m_Base.m_Revision)
      return std::nullopt;
    return reportOfChange(*Read);
  }

  /// Reports on an object whose revision changed: success if it has the wanted
  /// value, a conflict otherwise.
  ApplyReport reportOfChange(const Resource &Current) {
    const bool IsNew = m_Base.m_Revision == 0;
    if (isEquivalent(Current, m_Wanted))
      return {IsNew ? ApplyResult::Created : ApplyResult::Updated,
              Current.m_Revision,
              "",
              {}};
    const std::string &Kind = m_Wanted.m_Kind;
    return {ApplyResult::Conflict, Current.m_Revision,
            "changed by another write",
            differencesOf(normalised(Kind, m_Base.m_Value),
                          normalised(Kind, Current.m_Value),
                          normalised(Kind, m_Wanted.m_Value))};
  }

  const Caller &m_Call;
  const Resource &m_Wanted;
  Resource m_Base;
};

std::string problemLines(const boost::json::array &List) {
  std::string Text;
  for (const boost::json::value &Each : List) {
    if (!Text.empty())
      Text += "\n";
    const auto *Object = Each.if_object();
    if (!Object) {
      Text += Each.is_string() ? std::string(Each.get_string())
                               : boost::json::serialize(Each);
      continue;
    }
    const auto FieldOf = [&](const char *Name) {
      const auto *Found = Object->if_contains(Name);
      return Found && Found->is_string() ? std::string(Found->get_string())
                                         : std::string();
    };
    Text += FieldOf("path") + ": found " + FieldOf("found") + ", expected " +
            FieldOf("expected");
  }
  return Text;
}

} // namespace

Caller makeEntryCaller(std::vector<std::string> Entries, std::string Operator) {
  return [Entries = std::move(Entries),
          Operator = std::move(Operator)](net::HttpRequest Request) {
    if (!Operator.empty())
      Request.m_Headers.add("X-Operator", Operator);
    Outcome<net::HttpResponse> Last =
        Error{ErrorCode::Unavailable, "no entry was given"};
    for (const std::string &Entry : Entries) {
      Last = net::callAndWait(Entry, Request);
      if (Last || Last.error().m_Code != ErrorCode::Unavailable)
        return Last;
    }
    return Last;
  };
}

Error errorOf(const net::HttpResponse &Answer) {
  Error Out;
  Out.m_Code = Answer.m_Status >= 500   ? ErrorCode::Unavailable
               : Answer.m_Status == 404 ? ErrorCode::NotFound
               : Answer.m_Status == 409 ? ErrorCode::Conflict
                                        : ErrorCode::InvalidInput;
  boost::json::error_code Ec;
  const auto Value = boost::json::parse(Answer.m_Body, Ec);
  const auto *Object = Ec ? nullptr : Value.if_object();
  const auto *List = Object ? Object->if_contains("problems") : nullptr;
  const auto *Text = Object ? Object->if_contains("error") : nullptr;
  if (List && List->is_array())
    Out.m_Message = problemLines(List->get_array());
  else if (Text && Text->is_string())
    Out.m_Message = std::string(Text->get_string());
  else
    Out.m_Message = "status " + std::to_string(Answer.m_Status);
  return Out;
}

Outcome<Resource> readResource(const Caller &Call, const std::string &Kind,
                               const std::string &Name) {
  net::HttpRequest Request;
  Request.m_Target = pathOf(Kind, Name);
  const auto Answer = Call(std::move(Request));
  if (!Answer)
    return Answer.error();
  if (Answer->m_Status != 200)
    return errorOf(*Answer);
  return outcomeOf([&] { return parseReceived(Answer->m_Body); });
}

ApplyReport applyResource(const Caller &Call, const Resource &Wanted,
                          std::optional<std::uint64_t> Expected) {
  return ApplyOperation(Call, Wanted).run(Expected);
}

} // namespace deckpitch::ctl
