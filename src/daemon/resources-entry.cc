#include "daemon/module.h"
#include "daemon/resources-json.h"
#include "daemon/resources-watch.h"
#include "daemon/resources-write.h"
#include "net/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace deckpitch::daemon {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::string_view ResourcesPath = "/v1/resources/";
constexpr std::size_t MaxOperatorNameBytes = 100;

struct ResourcePath {
  std::string m_Kind;
  std::string m_Name; ///< empty: all objects of the kind
};

std::optional<ResourcePath> parseResourcePath(std::string_view Path) {
  Path.remove_prefix(ResourcesPath.size());
  const std::size_t Slash = Path.find('/');
  ResourcePath Out{std::string(Path.substr(0, Slash)), {}};
  if (Slash != std::string_view::npos)
    Out.m_Name = std::string(Path.substr(Slash + 1));
  const bool Fits =
      isDeclaredKind(Out.m_Kind) && Out.m_Name.find('/') == std::string::npos;
  return Fits ? std::optional(std::move(Out)) : std::nullopt;
}

/// Parses the revision in an If-Match header, a number in quotes such as "7".
std::optional<Revision> parseIfMatch(std::string_view Text) {
  if (Text.size() < 3 || Text.front() != '"' || Text.back() != '"')
    return std::nullopt;
  std::uint64_t Number = 0;
  const auto [End, Ec] =
      std::from_chars(Text.data() + 1, Text.data() + Text.size() - 1, Number);
  if (Ec != std::errc() || End != Text.data() + Text.size() - 1)
    return std::nullopt;
  return Revision{Number};
}

net::HttpResponse errorResponse(unsigned Status, std::string_view Text) {
  return net::jsonResponse(Status,
                           json::serialize(json::object{{"error", Text}}));
}

std::string revisionJson(Revision At) {
  return json::serialize(json::object{{"revision", At.m_Value}});
}

/// Converts a stored object to a resource. The change note is moved out of the
/// value; operators get it as a field of its own.
Resource resourceOf(const net::PlatformObject &Object) {
  json::error_code Ec;
  json::value Value = json::parse(Object.m_Json, Ec);
  if (!Ec && Value.is_object())
    Value.get_object().erase("changed");
  return {Object.m_Kind, Object.m_Name, Object.m_Revision,
          Ec ? "null" : json::serialize(Value), readChangeNote(Object.m_Json)};
}

/// Serves the operators' interface to declarations: reads come from the local
/// replica, writes go to the platform.
class EntryResources final : public Module {
public:
  explicit EntryResources(Process &In) : m_Process(In) {}

  std::vector<Route> operatorRoutes() override {
    const auto To = [this](auto Handler) {
      return [this, Handler](net::HttpRequest Request,
                             net::HttpResponder &Answer) {
        return (this->*Handler)(std::move(Request), Answer);
      };
    };
    const std::string Path(ResourcesPath);
    return {{"GET", Path, To(&EntryResources::read)},
            {"PUT", Path, To(&EntryResources::put)},
            {"DELETE", Path, To(&EntryResources::remove)},
            {"GET", "/v1/watch", To(&EntryResources::watch)},
            {"GET", "/v1/status", To(&EntryResources::status)}};
  }

private:
  using Handled = asio::awaitable<void>;

  Handled read(net::HttpRequest Request, net::HttpResponder &Answer) {
    const auto Path = parseResourcePath(Request.path());
    if (!Path) {
      co_await Answer.send(errorResponse(404, "no such kind"));
      co_return;
    }
    const auto Set = m_Process.m_Declarations.load();
    const auto View = m_Process.m_Membership.load();
    json::array Items;
    for (const Resource &Each : resourcesOf(*Set, Path->m_Kind))
      if (Path->m_Name.empty() || Path->m_Name == Each.m_Name)
        Items.push_back(withStatus(Each, *Set, *View));
    if (!Path->m_Name.empty() && Items.empty()) {
      co_await Answer.send(errorResponse(404, "no such object"));
      co_return;
    }
    if (!Path->m_Name.empty()) {
      co_await Answer.send(net::jsonResponse(200, json::serialize(Items[0])));
      co_return;
    }
    const json::object Body{{"revision", Set->m_Revision.m_Value},
                            {"items", std::move(Items)}};
    co_await Answer.send(net::jsonResponse(200, json::serialize(Body)));
  }

  static json::object withStatus(const Resource &Of, const DeclarationSet &Set,
                                 const MembershipView &View) {
    json::object Out = toJson(Of);
    const auto Found = Set.m_Pools.find(PoolId{Of.m_Name});
    if (Of.m_Kind == "pools" && Found != Set.m_Pools.end())
      Out["status"] = toJson(Found->second, statusOf(Found->second, View));
    return Out;
  }

  Handled put(net::HttpRequest Request, net::HttpResponder &Answer) {
    const auto Path = parseResourcePath(Request.path());
    if (!Path || Path->m_Name.empty()) {
      co_await Answer.send(errorResponse(404, "no such kind or no name"));
      co_return;
    }
    WriteRequest Write{Path->m_Kind, Path->m_Name, {}, {}};
    const bool Creates = Request.m_Headers.find("If-None-Match") == "*";
    if (!Creates)
      Write.m_Expected = parseIfMatch(Request.m_Headers.find("If-Match"));
    if (!Creates && !Write.m_Expected) {
      co_await Answer.send(errorResponse(
          428, "If-Match: \"<revision>\" or If-None-Match: * is required"));
      co_return;
    }
    const CheckedInput Checked =
        checkInput(Path->m_Kind, Path->m_Name, Request.m_Body);
    if (Checked.m_Problems) {
      co_await Answer.send(
          net::jsonResponse(422, problemsJson(*Checked.m_Problems)));
      co_return;
    }
    const ChangeNote Note = makeChangeNote(Request);
    Write.m_Json = addChangeNote(Checked.m_Json, Note);
    co_await writeAndAnswer(std::move(Write), Creates ? 201 : 200, Note.m_By,
                            Answer);
  }

  Handled remove(net::HttpRequest Request, net::HttpResponder &Answer) {
    const auto Path = parseResourcePath(Request.path());
    const auto Seen = parseIfMatch(Request.m_Headers.find("If-Match"));
    if (!Path || Path->m_Name.empty()) {
      co_await Answer.send(errorResponse(404, "no such kind or no name"));
      co_return;
    }
    if (!Seen) {
      co_await Answer.send(
          errorResponse(428, "If-Match: \"<revision>\" is required"));
      co_return;
    }
    WriteRequest Write{Path->m_Kind, Path->m_Name, *Seen, {}};
    std::string By = makeChangeNote(Request).m_By;
    co_await writeAndAnswer(std::move(Write), 200, std::move(By), Answer);
  }

  Handled writeAndAnswer(WriteRequest Write, unsigned Success, std::string By,
                         net::HttpResponder &Answer) {
    const WriteOutcome Written =
        co_await writeWithReadBack(m_Process.m_Platform, Write);
    switch (Written.m_Kind) {
    case WriteOutcome::Kind::Done:
      publishAccepted(Write, Written.m_Revision, By);
      co_await Answer.send(
          net::jsonResponse(Success, revisionJson(Written.m_Revision)));
      break;
    case WriteOutcome::Kind::Conflict:
      co_await sendConflict(Written, Answer);
      break;
    case WriteOutcome::Kind::NotDone:
      co_await Answer.send(
          errorResponse(503, "not accepted: " + Written.m_Reason));
      break;
    case WriteOutcome::Kind::Unknown:
      co_await Answer.send(errorResponse(
          504, "unknown whether accepted, read it back: " + Written.m_Reason));
      break;
    }
  }

  static Handled sendConflict(const WriteOutcome &Written,
                              net::HttpResponder &Answer) {
    if (!Written.m_Current) {
      co_await Answer.send(errorResponse(404, Written.m_Reason));
      co_return;
    }
    co_await Answer.send(net::jsonResponse(
        409, json::serialize(toJson(resourceOf(*Written.m_Current)))));
  }

  /// Distributes the accepted version without waiting for the platform's watch:
  /// the process sends it to its own replica as an ordinary update, which
  /// implies nothing about other changes.
  void publishAccepted(const WriteRequest &Write, Revision At,
                       const std::string &By) {
    net::log(Event::DeclarationAccepted, {{"kind", Write.m_Kind},
                                          {"name", Write.m_Name},
                                          {"by", By},
                                          {"revision", At.m_Value}});
    if (At.m_Value == 0)
      return;
    wire::Envelope Message;
    auto *Update = Message.mutable_declarations()->mutable_update();
    wire::DeclaredObject *Object = Update->add_objects();
    Object->set_kind(Write.m_Kind);
    Object->set_name(Write.m_Name);
    Object->set_revision(At.m_Value);
    Object->set_deleted(!Write.m_Json);
    Object->set_json(Write.m_Json.value_or(""));
    m_Process.m_Bus->send(m_Process.m_Addresses.m_Control, std::move(Message));
  }

  ChangeNote makeChangeNote(const net::HttpRequest &Request) {
    std::string By(Request.m_Headers.find("X-Operator"));
    By.resize(std::min(By.size(), MaxOperatorNameBytes));
    const auto SinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto AtMs =
        std::chrono::duration_cast<std::chrono::milliseconds>(SinceEpoch);
    return {By, static_cast<std::uint64_t>(AtMs.count()),
            m_Process.m_Settings.m_Instance.m_Text + "-" +
                std::to_string(m_Process.m_Incarnation.m_Value) + "-" +
                std::to_string(m_Writes.fetch_add(1))};
  }

  Handled watch(net::HttpRequest Request, net::HttpResponder &Answer) {
    return streamChanges(m_Process, std::move(Request), Answer);
  }

  Handled status(net::HttpRequest, net::HttpResponder &Answer) {
    const auto Set = m_Process.m_Declarations.load();
    const auto View = m_Process.m_Membership.load();
    const json::object Body =
        statusJson(m_Process.m_Settings.m_Instance, *Set, *View);
    co_await Answer.send(net::jsonResponse(200, json::serialize(Body)));
  }

  Process &m_Process;
  std::atomic<std::uint64_t> m_Writes{0};
};

const Registration<EntryResources> Registered("resources", Role::Entry);

} // namespace

} // namespace deckpitch::daemon
