// What an agent remembers of keyed calls, so that none runs twice.
#pragma once

#include "deckpitch/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace deckpitch {

/// A whole answer, kept for callers who ask again.
struct StoredAnswer {
  unsigned m_Status = 200;
  std::string m_ContentType;
  std::string m_Body;

  friend bool operator==(const StoredAnswer &, const StoredAnswer &) = default;
};

/// One run of a key, as claimed in the log.
struct KeyedRun {
  std::string m_Key;
  std::uint32_t m_Attempt = 1;
  std::uint64_t m_Ticket = 0; ///< this agent's clock, in milliseconds

  friend bool operator==(const KeyedRun &, const KeyedRun &) = default;
};

/// Whether a run that arrives may start.
enum class RunAdmission {
  Start,
  Refused,   ///< it has not run and never will
  Duplicate, ///< it, or another run of the key, may have run
};

enum class RunState {
  NeverRan, ///< and never will: fenced
  Running,
  Done,
  Unknown, ///< may have run
};

struct RecordSettings {
  /// A run whose ticket is older is refused.
  Duration m_TicketLife = std::chrono::seconds(30);
  /// Ended runs are remembered for so long; longer than claims are.
  Duration m_Retention = std::chrono::minutes(12);
  std::size_t m_MaxRecords = 100'000;
  std::size_t m_MaxAnswerBytes = std::size_t{32} * 1024; ///< of one answer kept
  std::size_t m_MaxStoredBytes =
      std::size_t{32} * 1024 * 1024; ///< of all answers kept
};

/// Decides which keyed runs may start. One agent has one; it is empty at each
/// of the agent's lives, and a claim names the life.
class CallRecords {
public:
  explicit CallRecords(RecordSettings Settings = {}) : m_Settings(Settings) {}

  /// The value of a ticket given out now.
  static std::uint64_t ticketAt(TimePoint Now);

  /// A run that may start counts as running from now on.
  RunAdmission admit(const KeyedRun &Run, TimePoint Now);
  /// It ran, and this is its answer, if that is to be kept.
  void done(const std::string &Key, TimePoint Now,
            std::optional<StoredAnswer> Answer = std::nullopt);
  /// It certainly did not run: the service was not reached.
  void neverRan(const std::string &Key, TimePoint Now);
  /// It may have run: the service's answer was lost.
  void lost(const std::string &Key, TimePoint Now);

  /// Whether that run may still arrive: nothing is known of it yet.
  bool isAwaited(const KeyedRun &Run) const;
  /// Rules out the run if it has not started, and tells what is known of it.
  RunState fence(const KeyedRun &Run, TimePoint Now);
  /// The answer of a run that is done; nothing when it was too large to keep.
  std::optional<StoredAnswer> answerOf(const std::string &Key) const;

  std::size_t size() const { return m_Records.size(); }

private:
  struct Record {
    RunState m_State = RunState::Running;
    std::uint32_t m_Attempt = 1;
    std::uint64_t m_Ticket = 0;
    std::optional<StoredAnswer> m_Answer;
    TimePoint m_Ended;
  };

  bool makeRoom(TimePoint Now);
  void end(const std::string &Key, RunState State, TimePoint Now);
  void evict(const std::string &Key, TimePoint Ended);

  RecordSettings m_Settings;
  std::map<std::string, Record> m_Records;
  std::deque<std::pair<TimePoint, std::string>> m_Ended;
  std::size_t m_StoredBytes = 0;
  /// No record of a run with a ticket of this or later was dropped.
  std::uint64_t m_CompleteSince = 0;
};

} // namespace deckpitch
