// An agent's records of keyed calls, which ensure that none runs twice.
#pragma once

#include "deckpitch/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace deckpitch {

/// A complete answer, kept for callers that repeat their request.
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
  std::uint64_t m_Ticket = 0; ///< time of this agent's clock in milliseconds

  friend bool operator==(const KeyedRun &, const KeyedRun &) = default;
};

/// Whether an arriving run may start.
enum class RunAdmission {
  Start,
  Refused,   ///< the run has not started and never will
  Duplicate, ///< this or another run of the key may have started
};

enum class RunState {
  NeverRan, ///< fenced, so it never will
  Running,
  Done,
  Unknown, ///< may have started
};

struct RecordSettings {
  /// Maximum age of the ticket of a run; older ones are refused.
  Duration m_TicketLifetime = std::chrono::seconds(30);
  /// Time for which ended runs are kept; longer than claims are.
  Duration m_Retention = std::chrono::minutes(12);
  std::size_t m_MaxRecords = 100'000;
  std::size_t m_MaxAnswerBytes = std::size_t{32} * 1024; ///< per stored answer
  std::size_t m_MaxStoredBytes =
      std::size_t{32} * 1024 * 1024; ///< of all stored answers
};

/// Decides which keyed runs may start. Each agent has one. The records are lost
/// when the agent restarts, which is safe since a claim names the incarnation.
class CallRecords {
public:
  explicit CallRecords(RecordSettings Settings = {}) : m_Settings(Settings) {}

  /// The value of a ticket issued at Now.
  static std::uint64_t ticketAt(TimePoint Now);

  /// Decides whether a run may start; if so, it counts as running from Now on.
  RunAdmission admit(const KeyedRun &Run, TimePoint Now);
  /// Records that the run completed, with its answer if that is to be kept.
  void done(const std::string &Key, TimePoint Now,
            std::optional<StoredAnswer> Answer = std::nullopt);
  /// Records that the run did not happen: the service was not reached.
  void neverRan(const std::string &Key, TimePoint Now);
  /// Records that the run may have happened: the service's answer was lost.
  void lost(const std::string &Key, TimePoint Now);

  /// Whether the run may still arrive, that is, nothing is known of it yet.
  bool isAwaited(const KeyedRun &Run) const;
  /// Prevents the run if it has not started, and returns its state.
  RunState fence(const KeyedRun &Run, TimePoint Now);
  /// The answer of a completed run; nullopt if it was not kept.
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

  bool evictExpired(TimePoint Now);
  void end(const std::string &Key, RunState State, TimePoint Now);
  void evict(const std::string &Key, TimePoint Ended);

  RecordSettings m_Settings;
  std::map<std::string, Record> m_Records;
  std::deque<std::pair<TimePoint, std::string>> m_Ended;
  std::size_t m_StoredBytes = 0;
  /// No record of a run with this or a later ticket was evicted.
  std::uint64_t m_CompleteSince = 0;
};

} // namespace deckpitch
