// Starts the project's programs as child processes of a test.
#pragma once

#include "net/http.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <sys/types.h>

#include <chrono>
#include <concepts>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace deckpitch::test {

/// Far longer than any condition takes; reached only after a failure.
inline constexpr std::chrono::milliseconds MaxWait{60'000};

namespace detail {

void sleepPollInterval();

} // namespace detail

/// Polls until the condition holds; returns false on timeout.
///
///   ASSERT_TRUE(eventually([&] { return Agent.exitStatus().has_value(); }));
template <std::predicate Condition>
bool eventually(Condition &&Holds,
                std::chrono::milliseconds Timeout = MaxWait) {
  const auto End = std::chrono::steady_clock::now() + Timeout;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    detail::sleepPollInterval();
  }
  return true;
}

/// A temporary directory that is removed on destruction.
class ScratchDirectory {
public:
  ScratchDirectory();
  ~ScratchDirectory();
  ScratchDirectory(const ScratchDirectory &) = delete;
  ScratchDirectory &operator=(const ScratchDirectory &) = delete;

  /// Writes a file and returns its path.
  std::string write(const std::string &Name, const std::string &Text) const;
  const std::filesystem::path &path() const { return m_Path; }

private:
  std::filesystem::path m_Path;
};

/// A child process, killed on destruction if it still runs.
class Child {
public:
  /// Program is a name in the build directory, such as "deckpitchd".
  Child(const std::string &Program, const std::vector<std::string> &Arguments);
  ~Child();
  Child(Child &&Other) noexcept;
  Child &operator=(Child &&Other) noexcept;

  /// Waits for the given line of standard output (counted from 0) and returns
  /// its JSON object; empty if the process exited without writing it.
  boost::json::object announcement(std::size_t Line = 0);
  /// Sends SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
  void signal(int Number);
  bool running();
  /// Returns the exit code, or the negated signal number; empty while the
  /// process runs.
  std::optional<int> exitStatus();
  /// Waits for the process to exit; empty on timeout.
  std::optional<int> waitForExit(std::chrono::milliseconds Timeout = MaxWait);
  /// Sends SIGTERM and waits for the exit.
  std::optional<int> stop();
  std::string output() const;
  std::string errors() const;
  pid_t pid() const { return m_Pid; }

private:
  void end();

  pid_t m_Pid = -1;
  std::optional<int> m_Status;
  std::string m_Output;
  std::string m_Errors;
};

/// Makes an HTTP call with short timeouts.
Outcome<net::HttpResponse> call(const std::string &Address,
                                const std::string &Method,
                                const std::string &Target,
                                std::string Body = "",
                                net::HttpHeaders Headers = {});
/// Reads the first lines of an unbounded response, then disconnects; returns
/// fewer if the response ends earlier.
std::vector<std::string> readLines(const std::string &Address,
                                   const std::string &Target,
                                   std::size_t Count);
/// Returns the HTTP status of the call, or 0 if it failed.
unsigned statusOf(const Outcome<net::HttpResponse> &Answer);
/// Returns the response body as JSON; null if the call failed or the body is
/// invalid.
boost::json::value jsonOf(const Outcome<net::HttpResponse> &Answer);
/// Replaces the injected faults of a stand-in; "{}" clears them.
bool setFaults(const std::string &Address, const std::string &Json);
/// Returns a counter of a stand-in, or 0 if it is absent.
std::uint64_t counterOf(const std::string &Address, std::string_view Name);

/// Returns the directory that holds the output of all child processes.
const ScratchDirectory &scratch();

} // namespace deckpitch::test
