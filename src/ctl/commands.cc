#include "ctl/commands.h"

#include "ctl/render.h"
#include "deckpitch/settings.h"
#include "net/text-file.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <array>
#include <ostream>
#include <sstream>

namespace deckpitch::ctl {

namespace {

namespace asio = boost::asio;

/// Maximum time without data on a watch. Entries send bookmarks while there are
/// no events, so a longer silence means that the connection is dead.
constexpr std::chrono::minutes WatchIdleTimeout{10};

struct Context {
  const Options &m_Options;
  std::ostream &m_Out;
  std::ostream &m_Err;
  Caller m_Call;

  bool isJson() const { return m_Options.m_Output == OutputForm::Json; }
  const std::string &positional(std::size_t Index) const {
    return m_Options.m_Positional.at(Index);
  }
};

/// Prints each line of the message as "path: line".
void reportFileErrors(std::ostream &Err, const std::string &Path,
                      const std::string &Message) {
  std::istringstream Lines(Message);
  for (std::string Line; std::getline(Lines, Line);)
    Err << Path << ": " << Line << "\n";
}

ExitCode report(const Context &Ctx, const Error &Fault) {
  Ctx.m_Err << Fault.m_Message << "\n";
  switch (Fault.m_Code) {
  case ErrorCode::Unavailable:
  case ErrorCode::Timeout:
    return ExitCode::Unavailable;
  case ErrorCode::Conflict:
    return ExitCode::Conflict;
  default:
    return ExitCode::Refused;
  }
}

Outcome<boost::json::value> callForJson(const Context &Ctx, std::string Method,
                                        std::string Target) {
  net::HttpRequest Request;
  Request.m_Method = std::move(Method);
  Request.m_Target = std::move(Target);
  const auto Answer = Ctx.m_Call(std::move(Request));
  if (!Answer)
    return Answer.error();
  if (Answer->m_Status >= 300)
    return errorOf(*Answer);
  boost::json::error_code Ec;
  auto Value = boost::json::parse(Answer->m_Body, Ec);
  if (Ec)
    return Error{ErrorCode::CorruptData, "the answer is not JSON"};
  return Value;
}

ExitCode exitCodeOf(ApplyResult Result) {
  switch (Result) {
  case ApplyResult::Created:
  case ApplyResult::Updated:
  case ApplyResult::Unchanged:
    return ExitCode::Success;
  case ApplyResult::Conflict:
    return ExitCode::Conflict;
  case ApplyResult::Refused:
    return ExitCode::Refused;
  case ApplyResult::Unavailable:
  case ApplyResult::Unknown:
    return ExitCode::Unavailable;
  }
  return ExitCode::Refused;
}

ExitCode applyAll(const Context &Ctx, const std::vector<Resource> &List) {
  for (std::size_t I = 0; I < List.size(); ++I) {
    const ApplyReport Report =
        applyResource(Ctx.m_Call, List[I], Ctx.m_Options.m_Revision);
    if (Ctx.isJson())
      Ctx.m_Out << boost::json::serialize(toJson(List[I], Report)) << "\n";
    else
      Ctx.m_Out << describe(List[I], Report);
    const ExitCode Code = exitCodeOf(Report.m_Result);
    if (Code == ExitCode::Success)
      continue;
    for (std::size_t Left = I + 1; Left < List.size(); ++Left)
      Ctx.m_Err << List[Left].m_Kind << "/" << List[Left].m_Name
                << ": not tried\n";
    return Code;
  }
  return ExitCode::Success;
}

ExitCode apply(const Context &Ctx) {
  const std::string &Path = Ctx.m_Options.m_File;
  if (Path.empty()) {
    Ctx.m_Err << "apply needs --file=FILE\n";
    return ExitCode::Usage;
  }
  const auto Text = net::readTextFile(Path);
  if (!Text) {
    Ctx.m_Err << Path << ": cannot be read\n";
    return ExitCode::Refused;
  }
  const auto List = outcomeOf([&] { return parseResources(*Text); });
  if (!List) {
    reportFileErrors(Ctx.m_Err, Path, List.error().m_Message);
    return ExitCode::Refused;
  }
  if (Ctx.m_Options.m_Revision && List->size() != 1) {
    Ctx.m_Err
        << "--revision is allowed only for a file with exactly one object\n";
    return ExitCode::Usage;
  }
  return applyAll(Ctx, *List);
}

ExitCode get(const Context &Ctx) {
  std::string Target = "/v1/resources/" + Ctx.positional(1);
  const bool IsOne = Ctx.m_Options.m_Positional.size() > 2;
  if (IsOne)
    Target += "/" + Ctx.positional(2);
  const auto Value = callForJson(Ctx, "GET", Target);
  if (!Value)
    return report(Ctx, Value.error());
  if (Ctx.isJson())
    Ctx.m_Out << boost::json::serialize(*Value) << "\n";
  else if (IsOne)
    Ctx.m_Out << prettyJson(*Value) << "\n";
  else
    Ctx.m_Out << describeList(*Value);
  return ExitCode::Success;
}

ExitCode status(const Context &Ctx) {
  const auto Value = callForJson(Ctx, "GET", "/v1/status");
  if (!Value)
    return report(Ctx, Value.error());
  if (Ctx.isJson())
    Ctx.m_Out << boost::json::serialize(*Value) << "\n";
  else
    Ctx.m_Out << describeStatus(*Value);
  return ExitCode::Success;
}

ExitCode callAndPrint(const Context &Ctx, std::string Method,
                      std::string Target) {
  const auto Value = callForJson(Ctx, std::move(Method), std::move(Target));
  if (!Value)
    return report(Ctx, Value.error());
  Ctx.m_Out << (Ctx.isJson() ? boost::json::serialize(*Value)
                             : prettyJson(*Value))
            << "\n";
  return ExitCode::Success;
}

ExitCode dump(const Context &Ctx) {
  return callAndPrint(Ctx, "GET", "/v1/dump");
}

ExitCode drain(const Context &Ctx) {
  return callAndPrint(Ctx, "POST", "/v1/drain");
}

void printEvent(const Context &Ctx, const std::string &Line) {
  if (Line.empty())
    return;
  if (Ctx.isJson()) {
    Ctx.m_Out << Line << std::endl;
    return;
  }
  boost::json::error_code Ec;
  const auto Event = boost::json::parse(Line, Ec);
  Ctx.m_Out << (Ec ? Line + "\n" : describeEvent(Event)) << std::flush;
}

/// Prints events until the stream ends. Returns the reason why it ended.
asio::awaitable<Error> followEvents(const Context &Ctx, std::string Entry) {
  net::HttpClient Client;
  net::HttpRequest Request;
  Request.m_Target =
      "/v1/watch?since=" + std::to_string(Ctx.m_Options.m_Revision.value_or(0));
  net::CallLimits Limits;
  Limits.m_ReadTimeout = WatchIdleTimeout;
  auto Opened = co_await Client.open(Entry, std::move(Request), Limits);
  if (!Opened)
    co_return Opened.error();
  const unsigned Status = (*Opened)->status();
  if (Status != 200)
    co_return Error{Status >= 500 ? ErrorCode::Unavailable
                                  : ErrorCode::InvalidInput,
                    Entry + ": status " + std::to_string(Status)};
  std::string Pending;
  while (true) {
    auto Piece = co_await (*Opened)->read();
    if (!Piece)
      co_return Piece.error();
    if (Piece->empty())
      co_return Error{ErrorCode::Unavailable, Entry + ": ended the watch"};
    Pending += *Piece;
    for (std::size_t End = Pending.find('\n'); End != std::string::npos;
         End = Pending.find('\n')) {
      printEvent(Ctx, Pending.substr(0, End));
      Pending.erase(0, End + 1);
    }
  }
}

ExitCode watch(const Context &Ctx) {
  Error Last{ErrorCode::Unavailable, "no entry was given"};
  for (const std::string &Entry : Ctx.m_Options.m_Entries) {
    asio::io_context Io;
    asio::co_spawn(Io, followEvents(Ctx, Entry),
                   [&Last](std::exception_ptr, Error Why) { Last = Why; });
    Io.run();
    const bool Answered = Last.m_Code != ErrorCode::Unavailable;
    if (Answered)
      break;
  }
  return report(Ctx, Last);
}

ExitCode checkSettings(const Context &Ctx) {
  const std::string &Path = Ctx.positional(1);
  const auto Text = net::readTextFile(Path);
  if (!Text) {
    Ctx.m_Err << Path << ": cannot be read\n";
    return ExitCode::Refused;
  }
  const auto Parsed = outcomeOf([&] { return parseSettings(*Text); });
  if (!Parsed) {
    reportFileErrors(Ctx.m_Err, Path, Parsed.error().m_Message);
    return ExitCode::Refused;
  }
  Ctx.m_Out << Path << ": good\n";
  return ExitCode::Success;
}

struct Command {
  std::string_view m_Name;
  std::size_t m_MinArguments; ///< arguments after the name
  std::size_t m_MaxArguments;
  bool m_NeedsEntry;
  ExitCode (*m_Run)(const Context &);
  std::string_view m_Usage;
};

constexpr std::array Commands{
    Command{"apply", 0, 0, true, apply, "apply --file=FILE [--revision=R]"},
    Command{"get", 1, 2, true, get, "get KIND [NAME]"},
    Command{"status", 0, 0, true, status, "status"},
    Command{"watch", 0, 0, true, watch, "watch [--revision=R]"},
    Command{"dump", 0, 0, true, dump, "dump"},
    Command{"drain", 0, 0, true, drain, "drain"},
    Command{"check-settings", 1, 1, false, checkSettings,
            "check-settings FILE"},
};

ExitCode usage(std::ostream &Err) {
  Err << "deckpitchctl COMMAND [--entry=IP:PORT[,IP:PORT...]] "
         "[--output=human|json]\n";
  for (const Command &Each : Commands)
    Err << "  " << Each.m_Usage << "\n";
  return ExitCode::Usage;
}

} // namespace

ExitCode runCommand(const Options &Given, std::ostream &Out,
                    std::ostream &Err) {
  if (Given.m_Positional.empty())
    return usage(Err);
  const std::size_t Arguments = Given.m_Positional.size() - 1;
  for (const Command &Each : Commands) {
    if (Each.m_Name != Given.m_Positional.front())
      continue;
    if (Arguments < Each.m_MinArguments || Arguments > Each.m_MaxArguments)
      return usage(Err);
    if (Each.m_NeedsEntry && Given.m_Entries.empty()) {
      Err << Each.m_Name << " needs --entry=IP:PORT\n";
      return ExitCode::Usage;
    }
    return Each.m_Run(
        {Given, Out, Err, makeEntryCaller(Given.m_Entries, Given.m_Operator)});
  }
  return usage(Err);
}

} // namespace deckpitch::ctl
