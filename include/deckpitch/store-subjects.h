// What a process has received of each subject that it reads from the platform's
// store, and since when reads of a subject fail.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/time.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace deckpitch {

/// A required subject of which nothing has been received yet.
struct LackingSubject {
  std::string m_Subject;
  Duration m_For{};             ///< since the start of the process
  std::uint32_t m_Failures = 0; ///< failed reads since the last good one
  std::string m_Error;          ///< of the last read; empty if it succeeded

  friend bool operator==(const LackingSubject &,
                         const LackingSubject &) = default;
};

/// Successive failed reads of one subject that a good one has ended.
struct EndedOutage {
  Duration m_Length{}; ///< since the first failed read; zero: there was none
  std::uint32_t m_Failures = 0;

  friend bool operator==(const EndedOutage &, const EndedOutage &) = default;
};

/// The subjects that one process reads, and the outcomes of its reads. A
/// process is ready once it lacks none of those that it requires. Has no clock
/// of its own.
class StoreSubjects {
public:
  explicit StoreSubjects(TimePoint Start) : m_Start(Start) {}

  /// Adds a subject that the process needs before it is ready.
  void require(const std::string &Subject) {
    m_Subjects[Subject].m_Need = true;
  }
  /// Records that a value of the subject was received, from the store or from
  /// another process.
  void received(const std::string &Subject) {
    m_Subjects[Subject].m_IsKnown = true;
  }

  /// Records a failed read. Returns whether it is the first one in a row.
  bool failed(const std::string &Subject, const Error &Fault, TimePoint Now) {
    Reads &Known = m_Subjects[Subject];
    Known.m_Error = Fault.m_Message;
    if (Known.m_Failures++ != 0)
      return false;
    Known.m_FirstFailure = Now;
    return true;
  }
  /// Records a good read. Returns the outage that it has ended.
  EndedOutage succeeded(const std::string &Subject, TimePoint Now) {
    Reads &Known = m_Subjects[Subject];
    Known.m_Error.clear();
    const std::uint32_t Failures = std::exchange(Known.m_Failures, 0);
    if (Failures == 0)
      return {};
    return {Now - Known.m_FirstFailure, Failures};
  }

  bool isComplete() const {
    return std::none_of(m_Subjects.begin(), m_Subjects.end(),
                        [](const auto &Each) { return Each.second.lacks(); });
  }
  std::vector<LackingSubject> lacking(TimePoint Now) const {
    std::vector<LackingSubject> Out;
    for (const auto &[Subject, Each] : m_Subjects)
      if (Each.lacks())
        Out.push_back({Subject, Now - m_Start, Each.m_Failures, Each.m_Error});
    return Out;
  }

private:
  struct Reads {
    bool m_Need = false;
    bool m_IsKnown = false;
    std::uint32_t m_Failures = 0; ///< since the last good read
    TimePoint m_FirstFailure{};
    std::string m_Error;

    bool lacks() const { return m_Need && !m_IsKnown; }
  };

  TimePoint m_Start;
  std::map<std::string, Reads> m_Subjects;
};

} // namespace deckpitch
