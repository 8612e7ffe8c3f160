#include "harness.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <fcntl.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <sstream>

namespace deckpitch::test {

namespace json = boost::json;

namespace {

constexpr int PollIntervalMs = 5;
constexpr int ExecFailedExitCode = 127;
constexpr net::CallLimits TestCallLimits{std::chrono::milliseconds(2'000),
                                         std::chrono::milliseconds(10'000),
                                         std::chrono::milliseconds(10'000)};

std::string readFile(const std::string &Path) {
  std::ifstream File(Path);
  std::stringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

/// Runs in the child between fork and exec, so it may make only
/// async-signal-safe calls.
void execProgram(char *const *Arguments, int Output, int Errors) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  dup2(Output, STDOUT_FILENO);
  dup2(Errors, STDERR_FILENO);
  execv(Arguments[0], Arguments);
  _exit(ExecFailedExitCode);
}

} // namespace

void detail::sleepPollInterval() { ::poll(nullptr, 0, PollIntervalMs); }

ScratchDirectory::ScratchDirectory() {
  std::string Pattern =
      (std::filesystem::temp_directory_path() / "deckpitch-XXXXXX").string();
  if (!mkdtemp(Pattern.data()))
    std::abort();
  m_Path = Pattern;
}

ScratchDirectory::~ScratchDirectory() {
  std::error_code Ignored;
  std::filesystem::remove_all(m_Path, Ignored);
}

std::string ScratchDirectory::write(const std::string &Name,
                                    const std::string &Text) const {
  std::string Path = (m_Path / Name).string();
  std::ofstream(Path) << Text;
  return Path;
}

const ScratchDirectory &scratch() {
  static const ScratchDirectory Directory;
  return Directory;
}

Child::Child(const std::string &Program,
             const std::vector<std::string> &Arguments) {
  static std::atomic<unsigned> Count{0};
  const std::string Name = Program + "-" + std::to_string(Count++);
  m_Output = (scratch().path() / (Name + ".out")).string();
  m_Errors = (scratch().path() / (Name + ".err")).string();
  std::vector<std::string> Texts{std::string(DECKPITCH_BINARY_DIR) + "/" +
                                 Program};
  Texts.insert(Texts.end(), Arguments.begin(), Arguments.end());
  std::vector<char *> Pointers;
  Pointers.reserve(Texts.size() + 1);
  for (std::string &Each : Texts)
    Pointers.push_back(Each.data());
  Pointers.push_back(nullptr);
  constexpr int Flags = O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC;
  const int Output = ::open(m_Output.c_str(), Flags, 0600);
  const int Errors = ::open(m_Errors.c_str(), Flags, 0600);
  m_Pid = fork();
  if (m_Pid == 0)
    execProgram(Pointers.data(), Output, Errors);
  ::close(Output);
  ::close(Errors);
}

Child::~Child() { end(); }

Child::Child(Child &&Other) noexcept { *this = std::move(Other); }

Child &Child::operator=(Child &&Other) noexcept {
  if (this == &Other)
    return *this;
  end();
  m_Pid = std::exchange(Other.m_Pid, -1);
  m_Status = Other.m_Status;
  m_Output = std::move(Other.m_Output);
  m_Errors = std::move(Other.m_Errors);
  return *this;
}

void Child::end() {
  if (m_Pid <= 0 || exitStatus())
    return;
  signal(SIGKILL);
  int Status = 0;
  waitpid(m_Pid, &Status, 0);
  m_Pid = -1;
}

json::object Child::announcement(std::size_t Line) {
  json::object Found;
  const auto Announced = [&] {
    std::istringstream Lines(output());
    std::string Text;
    for (std::size_t I = 0; I <= Line; ++I)
      if (!std::getline(Lines, Text) || Lines.eof())
        return !running();
    boost::system::error_code Ec;
    const json::value Value = json::parse(Text, Ec);
    if (!Ec && Value.is_object())
      Found = Value.get_object();
    return true;
  };
  eventually(Announced);
  return Found;
}

void Child::signal(int Number) {
  if (m_Pid > 0 && !m_Status)
    ::kill(m_Pid, Number);
}

bool Child::running() { return !exitStatus().has_value(); }

std::optional<int> Child::exitStatus() {
  if (m_Status || m_Pid <= 0)
    return m_Status;
  int Status = 0;
  if (waitpid(m_Pid, &Status, WNOHANG) != m_Pid)
    return std::nullopt;
  m_Status = WIFEXITED(Status) ? WEXITSTATUS(Status) : -WTERMSIG(Status);
  return m_Status;
}

std::optional<int> Child::waitForExit(std::chrono::milliseconds Timeout) {
  eventually([this] { return !running(); }, Timeout);
  return m_Status;
}

std::optional<int> Child::stop() {
  signal(SIGTERM);
  return waitForExit();
}

std::string Child::output() const { return readFile(m_Output); }
std::string Child::errors() const { return readFile(m_Errors); }

Outcome<net::HttpResponse> call(const std::string &Address,
                                const std::string &Method,
                                const std::string &Target, std::string Body,
                                net::HttpHeaders Headers) {
  net::HttpRequest Request;
  Request.m_Method = Method;
  Request.m_Target = Target;
  Request.m_Headers = std::move(Headers);
  Request.m_Body = std::move(Body);
  return net::callAndWait(Address, std::move(Request), TestCallLimits);
}

std::vector<std::string> readLines(const std::string &Address,
                                   const std::string &Target,
                                   std::size_t Count) {
  boost::asio::io_context Io;
  net::HttpClient Http;
  std::vector<std::string> Lines;
  const auto Read = [&]() -> boost::asio::awaitable<void> {
    net::HttpRequest Request;
    Request.m_Target = Target;
    auto Opened =
        co_await Http.open(Address, std::move(Request), TestCallLimits);
    std::string Buffer;
    while (Opened && Lines.size() < Count) {
      const auto Piece = co_await (*Opened)->read();
      if (!Piece || Piece->empty())
        co_return;
      Buffer += *Piece;
      std::size_t End = 0;
      while ((End = Buffer.find('\n')) != std::string::npos) {
        Lines.push_back(Buffer.substr(0, End));
        Buffer.erase(0, End + 1);
      }
    }
  };
  boost::asio::co_spawn(Io, Read, boost::asio::detached);
  Io.run();
  Lines.resize(std::min(Lines.size(), Count));
  return Lines;
}

unsigned statusOf(const Outcome<net::HttpResponse> &Answer) {
  return Answer ? Answer->m_Status : 0;
}

json::value jsonOf(const Outcome<net::HttpResponse> &Answer) {
  if (!Answer)
    return {};
  boost::system::error_code Ec;
  json::value Value = json::parse(Answer->m_Body, Ec);
  return Ec ? json::value() : Value;
}

bool setFaults(const std::string &Address, const std::string &Json) {
  return statusOf(call(Address, "PUT", "/_standin/faults", Json)) == 200;
}

std::uint64_t counterOf(const std::string &Address, std::string_view Name) {
  const json::value Counters =
      jsonOf(call(Address, "GET", "/_standin/counters"));
  const json::value *Found =
      Counters.is_object() ? Counters.get_object().if_contains(Name) : nullptr;
  if (!Found)
    return 0;
  boost::system::error_code Ec;
  const auto Number = Found->to_number<std::uint64_t>(Ec);
  return Ec ? 0 : Number;
}

} // namespace deckpitch::test
