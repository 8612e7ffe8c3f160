#include "net/http.h"

#include <boost/algorithm/string/predicate.hpp>

namespace deckpitch::net {

std::string_view HttpHeaders::find(std::string_view Name) const {
  for (const HttpHeader &Header : m_List)
    if (boost::algorithm::iequals(Header.m_Name, Name))
      return Header.m_Value;
  return {};
}

std::string_view HttpRequest::path() const {
  const std::string_view Target = m_Target;
  return Target.substr(0, Target.find('?'));
}

namespace {

int hexDigit(char C) {
  if (C >= '0' && C <= '9')
    return C - '0';
  if (C >= 'a' && C <= 'f')
    return C - 'a' + 10;
  if (C >= 'A' && C <= 'F')
    return C - 'A' + 10;
  return -1;
}

std::string percentDecode(std::string_view Text) {
  std::string Out;
  for (std::size_t I = 0; I < Text.size(); ++I) {
    if (Text[I] == '%' && I + 2 < Text.size() && hexDigit(Text[I + 1]) >= 0 &&
        hexDigit(Text[I + 2]) >= 0) {
      Out.push_back(static_cast<char>(hexDigit(Text[I + 1]) * 16 +
                                      hexDigit(Text[I + 2])));
      I += 2;
      continue;
    }
    Out.push_back(Text[I]);
  }
  return Out;
}

} // namespace

std::string HttpRequest::query(std::string_view Name) const {
  const std::string_view Target = m_Target;
  std::size_t Begin = Target.find('?');
  while (Begin != std::string_view::npos && Begin < Target.size()) {
    const std::size_t End = Target.find('&', Begin + 1);
    const std::string_view Pair = Target.substr(
        Begin + 1, End == std::string_view::npos ? End : End - Begin - 1);
    const std::size_t Equals = Pair.find('=');
    if (Pair.substr(0, Equals) == Name)
      return Equals == std::string_view::npos
                 ? ""
                 : percentDecode(Pair.substr(Equals + 1));
    Begin = End;
  }
  return {};
}

namespace {

constexpr unsigned StatusUnavailable = 503;
/// By then, stalled requests have given way.
constexpr const char *RetryAfterSeconds = "1";
/// Other processes can take the request at once.
constexpr const char *StoppingRetryAfter = "0.050";

} // namespace

HttpResponse noRoomResponse() {
  HttpResponse Out = jsonResponse(
      StatusUnavailable, R"({"error":"too many large requests in progress"})");
  Out.m_Headers.add("Retry-After", RetryAfterSeconds);
  return Out;
}

HttpResponse stoppingResponse() {
  HttpResponse Out = jsonResponse(StatusUnavailable,
                                  R"({"error":"this process is stopping"})");
  Out.m_Headers.add("Retry-After", StoppingRetryAfter);
  return Out;
}

HttpResponse jsonResponse(unsigned Status, std::string Json) {
  HttpResponse Response;
  Response.m_Status = Status;
  Response.m_Headers.add("Content-Type", "application/json");
  Response.m_Body = std::move(Json);
  return Response;
}

} // namespace deckpitch::net
