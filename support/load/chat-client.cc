#include "load/chat-client.h"

#include "standins/token.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace deckpitch::load {

namespace json = boost::json;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr std::string_view EventPrefix = "data: ";
constexpr std::string_view EventEnd = "\n\n";
constexpr std::string_view LastEvent = "[DONE]";
constexpr std::chrono::milliseconds ConnectTimeout{2'000};
constexpr unsigned Ok = 200;

json::object requestBody(const ChatRequest &Request) {
  const json::object Message{{"role", "user"}, {"content", Request.m_Prompt}};
  json::array Messages;
  Messages.push_back(Message);
  json::object Body{{"model", Request.m_Model},
                    {"stream", true},
                    {"max_tokens", Request.m_Tokens},
                    {"messages", std::move(Messages)}};
  if (Request.m_ResumeFrom > 0)
    Body["resume_from"] = Request.m_ResumeFrom;
  return Body;
}

net::HttpRequest httpRequest(const ChatRequest &Request) {
  net::HttpRequest Out;
  Out.m_Method = "POST";
  Out.m_Target = "/v1/chat/completions";
  Out.m_Body = json::serialize(requestBody(Request));
  Out.m_Headers.add("Content-Type", "application/json");
  Out.m_Headers.add("X-Deadline-Ms",
                    std::to_string(Request.m_Deadline.count()));
  Out.m_Headers.add("X-Priority", Request.m_Priority);
  if (!Request.m_Organisation.empty())
    Out.m_Headers.add("X-Organisation", Request.m_Organisation);
  if (!Request.m_Key.empty())
    Out.m_Headers.add("Idempotency-Key", Request.m_Key);
  for (const net::HttpHeader &Each : Request.m_Headers.m_List)
    Out.m_Headers.add(Each.m_Name, Each.m_Value);
  return Out;
}

std::string textOf(const json::object &Object, std::string_view Key) {
  const json::value *Found = Object.if_contains(Key);
  return Found && Found->is_string() ? Found->get_string().c_str() : "";
}

/// Parses and verifies the events of one streamed answer.
class AnswerReader {
public:
  explicit AnswerReader(const ChatRequest &Request)
      : m_Request(Request), m_Prompt(standins::promptOf(requestBody(Request))),
        m_Next(Request.m_ResumeFrom) {}

  /// Appends received bytes. Returns false once the answer has ended or is
  /// wrong.
  bool consume(const std::string &Piece) {
    m_Buffer += Piece;
    while (!m_Done) {
      const std::size_t End = m_Buffer.find(EventEnd);
      if (End == std::string::npos)
        return true;
      const std::string Event = m_Buffer.substr(0, End);
      m_Buffer.erase(0, End + EventEnd.size());
      m_Done = !readEvent(Event);
    }
    return false;
  }

  ChatAnswer &answer() { return m_Answer; }

private:
  /// Returns false if the event ends the answer or is wrong.
  bool readEvent(const std::string &Event) {
    if (!Event.starts_with(EventPrefix))
      return true; // a comment that keeps the connection alive
    const std::string Data = Event.substr(EventPrefix.size());
    if (Data == LastEvent) {
      const bool All = m_Next == m_Request.m_Tokens;
      return finish(All ? Verdict::Whole : Verdict::Broken,
                    All ? "" : "stream ended after too few tokens");
    }
    boost::system::error_code Ec;
    const json::value Value = json::parse(Data, Ec);
    if (Ec || !Value.is_object())
      return finish(Verdict::Broken, "event is not a JSON object");
    return readToken(Value.get_object());
  }

  bool readToken(const json::object &Event) {
    const std::string Digest = textOf(Event, "digest");
    if (m_Answer.m_Tokens == 0) {
      m_Answer.m_Digest = Digest;
      m_Answer.m_Weights = textOf(Event, "weights");
    }
    const json::value *Index = Event.if_contains("index");
    if (!Index || *Index != m_Next)
      return finish(Verdict::Mixed, "token is missing or repeated");
    const std::string Expected =
        standins::tokenAt(m_Prompt, m_Answer.m_Digest, m_Next);
    if (Digest != m_Answer.m_Digest || deltaContent(Event) != Expected)
      return finish(Verdict::Mixed,
                    "token does not match the weights or the prompt");
    ++m_Answer.m_Tokens;
    ++m_Next;
    return true;
  }

  static std::string deltaContent(const json::object &Event) {
    const json::value *Choices = Event.if_contains("choices");
    if (!Choices || !Choices->is_array() || Choices->get_array().empty() ||
        !Choices->get_array().front().is_object())
      return {};
    const json::object &Choice = Choices->get_array().front().get_object();
    const json::value *Delta = Choice.if_contains("delta");
    return Delta && Delta->is_object() ? textOf(Delta->get_object(), "content")
                                       : "";
  }

  bool finish(Verdict Value, std::string Detail) {
    m_Answer.m_Verdict = Value;
    m_Answer.m_Detail = std::move(Detail);
    return false;
  }

  const ChatRequest &m_Request;
  std::string m_Prompt;
  std::uint32_t m_Next; ///< index of the token expected next
  std::string m_Buffer;
  ChatAnswer m_Answer;
  bool m_Done = false;
};

/// Returns the answer for a response with an error status.
ChatAnswer errorAnswer(unsigned Status, const net::HttpHeaders &Headers) {
  ChatAnswer Out;
  Out.m_Status = Status;
  const std::string_view Outcome = Headers.find("X-Outcome");
  if (Outcome == "not-run")
    Out.m_Verdict = Verdict::NotRun;
  else if (Outcome == "unknown")
    Out.m_Verdict = Verdict::Unknown;
  const std::string_view After = Headers.find("Retry-After-Ms");
  std::int64_t Milliseconds = 0;
  std::from_chars(After.data(), After.data() + After.size(), Milliseconds);
  Out.m_RetryAfter = std::chrono::milliseconds(Milliseconds);
  Out.m_Detail = "status " + std::to_string(Status);
  return Out;
}

} // namespace

std::string_view verdictName(Verdict Value) {
  switch (Value) {
  case Verdict::Whole:
    return "whole";
  case Verdict::NotRun:
    return "notRun";
  case Verdict::Unknown:
    return "unknown";
  case Verdict::Broken:
    return "broken";
  case Verdict::Mixed:
    return "mixed";
  }
  return "broken";
}

asio::awaitable<ChatAnswer> requestCompletion(net::HttpClient &Http,
                                              std::string Entry,
                                              ChatRequest Request) {
  const auto Begin = SteadyClock::now();
  net::CallLimits Limits;
  Limits.m_ConnectTimeout = ConnectTimeout;
  Limits.m_FirstByte = Request.m_Deadline;
  Limits.m_ReadTimeout = Request.m_Deadline;
  auto Opened = co_await Http.open(Entry, httpRequest(Request), Limits);
  ChatAnswer Failed;
  if (!Opened) {
    Failed.m_Detail = Opened.error().m_Message;
    co_return Failed;
  }
  net::HttpStream &Stream = **Opened;
  if (Stream.status() != Ok) {
    Failed = errorAnswer(Stream.status(), Stream.headers());
    co_return Failed;
  }
  AnswerReader Reader(Request);
  bool More = true;
  while (More) {
    auto Piece = co_await Stream.read();
    if (!Piece || Piece->empty()) {
      Reader.answer().m_Detail =
          Piece ? "stream ended without [DONE]" : Piece.error().m_Message;
      break;
    }
    More = Reader.consume(*Piece);
    const bool IsFirst = Reader.answer().m_TimeToFirstToken.count() == 0;
    if (IsFirst && Reader.answer().m_Tokens > 0)
      Reader.answer().m_TimeToFirstToken = SteadyClock::now() - Begin;
  }
  if (Reader.answer().m_Verdict == Verdict::Whole)
    co_await Stream.read(); // the end; the connection is then reusable
  Reader.answer().m_Status = Ok;
  co_return Reader.answer();
}

namespace {

asio::awaitable<void> requestCompletionInto(net::HttpClient &Http,
                                            std::string Entry,
                                            ChatRequest Request,
                                            ChatAnswer &Out) {
  Out = co_await requestCompletion(Http, std::move(Entry), std::move(Request));
}

} // namespace

ChatAnswer requestCompletionAndWait(const std::string &Entry,
                                    ChatRequest Request) {
  asio::io_context Io;
  net::HttpClient Http;
  ChatAnswer Answer;
  asio::co_spawn(Io,
                 requestCompletionInto(Http, Entry, std::move(Request), Answer),
                 asio::detached);
  Io.run();
  return Answer;
}

asio::awaitable<std::vector<std::string>>
findEntries(net::HttpClient &Http, std::vector<std::string> Known) {
  std::vector<std::string> Found;
  for (const std::string &Each : Known) {
    net::HttpRequest Request;
    Request.m_Target = "/v1/addresses";
    net::CallLimits Limits;
    Limits.m_FirstByte = ConnectTimeout;
    auto Answer = co_await Http.call(Each, std::move(Request), Limits);
    if (!Answer || Answer->m_Status != Ok)
      continue;
    boost::system::error_code Ec;
    const json::value Value = json::parse(Answer->m_Body, Ec);
    if (Ec || !Value.is_object() || !Value.get_object().contains("entries"))
      continue;
    for (const json::value &Entry : Value.at("entries").as_array())
      Found.emplace_back(Entry.as_string().c_str());
    if (!Found.empty())
      break;
  }
  co_return Found;
}

} // namespace deckpitch::load
