// Starts the project's programs as processes, for tests.
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

/// Far above what any condition needs; reached only by a fault.
inline constexpr std::chrono::milliseconds WaitCap{60'000};

namespace detail {

void pollPause();

} // namespace detail

/// Polls until the condition holds; false when the cap passed first.
///
///   ASSERT_TRUE(eventually([&] { return Agent.exitStatus().has_value(); }));
template <std::predicate Condition>
bool eventually(Condition &&Holds, std::chrono::milliseconds Cap = WaitCap) {
  const auto End = std::chrono::steady_clock::now() + Cap;
  while (!Holds()) {
    if (std::chrono::steady_clock::now() >= End)
      return false;
    detail::pollPause();
  }
  return true;
}

/// A directory of its own for one test, removed at the end.
class ScratchDirectory {
public:
  ScratchDirectory();
  ~ScratchDirectory();
  ScratchDirectory(const ScratchDirectory &) = delete;
  ScratchDirectory &operator=(const ScratchDirectory &) = delete;

  /// Writes a file and gives its path.
  std::string write(const std::string &Name, const std::string &Text) const;
  const std::filesystem::path &path() const { return m_Path; }

private:
  std::filesystem::path m_Path;
};

/// One child process; killed, if it still runs, when this ends.
class Child {
public:
  /// Program: a name in the build folder, such as "deckpitchd".
  Child(const std::string &Program, const std::vector<std::string> &Arguments);
  ~Child();
  Child(Child &&Other) noexcept;
  Child &operator=(Child &&Other) noexcept;

  /// The n-th JSON line on standard output, waiting for it; an empty object
  /// when the process ended without it.
  boost::json::object announcement(std::size_t Line = 0);
  /// SIGTERM, SIGKILL, SIGSTOP or SIGCONT.
  void signal(int Number);
  bool running();
  /// The exit code, or minus the signal's number; none while it runs.
  std::optional<int> exitStatus();
  /// Waits for the end; none when the cap passed first.
  std::optional<int> waitForExit(std::chrono::milliseconds Cap = WaitCap);
  /// SIGTERM, then waits.
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

/// An HTTP call with short limits, for tests' own use.
Outcome<net::HttpResponse> call(const std::string &Address,
                                const std::string &Method,
                                const std::string &Target,
                                std::string Body = "",
                                net::HttpHeaders Headers = {});
/// Reads the first lines of an answer that does not end, then hangs up; fewer
/// when it ends before.
std::vector<std::string> readLines(const std::string &Address,
                                   const std::string &Target,
                                   std::size_t Count);
/// The status of the call, or 0 without an answer.
unsigned statusOf(const Outcome<net::HttpResponse> &Answer);
/// The answer's body as JSON; null when there is none.
boost::json::value jsonOf(const Outcome<net::HttpResponse> &Answer);
/// Replaces a stand-in's faults; "{}" heals.
bool setFaults(const std::string &Address, const std::string &Json);
/// A stand-in's counter, or 0.
std::uint64_t counterOf(const std::string &Address, std::string_view Name);

/// A directory shared by all children of this test program.
const ScratchDirectory &scratch();

} // namespace deckpitch::test
