// The log of claims in the platform's object store. It ensures that a keyed
// call runs at most once.
//
// The log of a shard consists of the objects <shard>-1, <shard>-2, ... Each
// holds a batch of claims and is created conditionally, so exactly one entry
// wins each number and all entries read the same order. An entry appends at
// number n only if it knows all objects below n. A key is therefore claimed by
// the first claim in the log, without any other consensus between entries.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace deckpitch {

/// The right of one instance to run a keyed call.
struct Claim {
  std::string m_Key; ///< digest of organisation, pool and caller's key
  InstanceId m_Instance;
  Incarnation m_Incarnation;
  /// Time of the instance's clock in milliseconds, as last received by the
  /// claimer. The instance refuses a run whose ticket has expired.
  std::uint64_t m_Ticket = 0;
  /// Incremented when the previous claim was fenced before it ran.
  std::uint32_t m_Attempt = 1;

  friend bool operator==(const Claim &, const Claim &) = default;
};

/// The content of one object of the log.
struct ClaimBatch {
  std::string m_Id; ///< identifies an own batch after a lost response
  std::vector<Claim> m_Claims;

  friend bool operator==(const ClaimBatch &, const ClaimBatch &) = default;
};

Result<ClaimBatch> parseClaimBatch(std::string_view Json);
std::string formatClaimBatch(const ClaimBatch &Value);

/// The key within the log, a digest: callers' keys never leave the entry.
std::string claimKeyOf(const OrganisationId &Organisation, const PoolId &Pool,
                       std::string_view CallerKey);

std::uint32_t shardOf(std::string_view Key, std::uint32_t Shards);

/// The position of a batch: object "<shard>-<number>" of kind "claims".
struct LogPosition {
  std::uint32_t m_Shard = 0;
  std::uint64_t m_Number = 0;

  friend auto operator<=>(const LogPosition &, const LogPosition &) = default;
};

std::string formatLogPosition(const LogPosition &Value);
std::optional<LogPosition> parseLogPosition(std::string_view Name);

struct LoggedBatch {
  std::uint64_t m_Number = 0;
  Revision m_Revision;
  ClaimBatch m_Batch;

  friend bool operator==(const LoggedBatch &, const LoggedBatch &) = default;
};

struct ClaimLogSettings {
  /// Time for which claims and their objects are kept after this process first
  /// saw them.
  Duration m_Retention = std::chrono::minutes(10);
  /// Minimum interval between two appends of this entry to a shard.
  Duration m_MinInterval = std::chrono::milliseconds(50);
  /// An operation that takes longer marks the platform as slow.
  Duration m_SlowThreshold = std::chrono::milliseconds(500);
  Duration m_InitialBackOff = std::chrono::milliseconds(200);
  Duration m_MaxBackOff = std::chrono::seconds(2);
  Duration m_MinListInterval = std::chrono::milliseconds(100);
  Duration m_MinDeleteInterval = std::chrono::milliseconds(20);
  std::size_t m_MaxBatch = 2'000;
  std::size_t m_MaxWaiting = 10'000;
};

using ClaimWaiterId = std::uint64_t;

/// The outcome of an attempt to claim a key.
struct ClaimOutcome {
  enum class Verdict {
    Granted, ///< only this waiter may send the run
    Taken,   ///< m_Claim was first in the log
    Refused, ///< must not run: the platform is unavailable
  };
  ClaimWaiterId m_Waiter = 0;
  Verdict m_Verdict = Verdict::Refused;
  Claim m_Claim;

  friend bool operator==(const ClaimOutcome &, const ClaimOutcome &) = default;
};

/// Actions that the owner of the log performs one at a time, reporting each
/// result.
struct ListLog {
  friend bool operator==(const ListLog &, const ListLog &) = default;
};
struct ReadLog {
  std::uint64_t m_Number = 0;
  friend bool operator==(const ReadLog &, const ReadLog &) = default;
};
struct AppendLog {
  std::uint64_t m_Number = 0;
  ClaimBatch m_Batch;
  friend bool operator==(const AppendLog &, const AppendLog &) = default;
};
struct DeleteLog {
  std::uint64_t m_Number = 0;
  Revision m_Revision;
  friend bool operator==(const DeleteLog &, const DeleteLog &) = default;
};
/// Nothing to do; call next() again at m_Until or after any input.
struct IdleLog {
  std::optional<TimePoint> m_Until;
  friend bool operator==(const IdleLog &, const IdleLog &) = default;
};
using ClaimAction =
    std::variant<IdleLog, ListLog, ReadLog, AppendLog, DeleteLog>;

/// One shard of the log at one entry.
///
///   Log.submit(7, Wanted, Deadline, Now);
///   perform(Log.next(Now)), then call listed/read/appended/conflicted/failed
///   for (const ClaimOutcome &Each : Log.takeOutcomes()) ...
class ClaimLog {
public:
  /// Batches are named "<Owner>-<counter>", so Owner must be unique for each
  /// incarnation of each entry.
  ClaimLog(std::string Owner, ClaimLogSettings Settings);

  void submit(ClaimWaiterId Waiter, Claim Wanted, TimePoint Deadline,
              TimePoint Now);
  /// The valid claim for a key, if this entry knows one.
  const Claim *find(const std::string &Key) const;

  ClaimAction next(TimePoint Now);
  /// Adds a batch from a source other than next(), such as a watch. Optional.
  void observed(const LoggedBatch &Seen, TimePoint Now);
  void observedDeletion(std::uint64_t Number);
  void listed(const std::vector<LoggedBatch> &All, TimePoint Now);
  void read(const std::optional<LoggedBatch> &Got, TimePoint Now);
  void appended(Revision At, TimePoint Now);
  /// Another batch already has the number of the append.
  void conflicted();
  /// The object of the last DeleteLog was deleted.
  void removed();
  /// The operation failed. MayHaveTakenEffect: its response was lost.
  void failed(bool MayHaveTakenEffect, TimePoint Now);

  std::vector<ClaimOutcome> takeOutcomes();
  /// Sets whether this entry deletes old objects. One entry is enough, but
  /// several may.
  void setDeletes(bool Deletes) { m_Deletes = Deletes; }
  void setMinInterval(Duration Value) { m_Settings.m_MinInterval = Value; }

  std::size_t waiting() const { return m_Queue.size() + m_InFlight.size(); }
  std::size_t known() const { return m_Known.size(); }
  std::uint64_t nextNumber() const { return m_Next; }

private:
  struct Waiter {
    ClaimWaiterId m_Id = 0;
    Claim m_Wanted;
    TimePoint m_Deadline;
  };
  struct KnownClaim {
    Claim m_Claim;
    TimePoint m_Seen;
  };
  struct KnownObject {
    Revision m_Revision;
    TimePoint m_Seen;
  };
  enum class Operation {
    Nothing,
    Listing,
    Probing,
    Reading,
    Appending,
    Deleting
  };

  void record(const LoggedBatch &Seen, TimePoint Now);
  void advance();
  void settle(const Waiter &Waiting, ClaimOutcome::Verdict Verdict);
  void refuse(std::deque<Waiter> &All);
  void requeueInFlight();
  /// Settles the waiters whose key is taken.
  void settleTakenWaiters();
  void expireWaiters(TimePoint Now);
  void expireClaims(TimePoint Now);
  bool isPositionValid(TimePoint Now) const;
  void grantInFlight(TimePoint Now);
  bool isOwn(const LoggedBatch &Got) const;
  AppendLog makeAppend();
  ClaimAction start(Operation What, ClaimAction Action, TimePoint Now);
  ClaimAction nextList(TimePoint Now);
  ClaimAction nextDelete(TimePoint Now);

  std::string m_Owner;
  ClaimLogSettings m_Settings;
  std::uint64_t m_Batches = 0;
  bool m_Deletes = false;

  std::uint64_t m_Next = 1; ///< all objects below this number are known
  bool m_Synced = false;
  /// At this time no object at m_Next or above had been deleted.
  TimePoint m_PositionValidAt;
  std::map<std::string, KnownClaim> m_Known;
  std::deque<std::pair<TimePoint, std::string>> m_ClaimsBySeen;
  std::map<std::uint64_t, KnownObject> m_Objects;

  std::deque<Waiter> m_Queue;
  std::deque<Waiter> m_InFlight;
  ClaimBatch m_InFlightBatch;
  Operation m_Operation = Operation::Nothing;
  bool m_MustRead = false;
  bool m_IsAppendUncertain = false; ///< the response to an append was lost
  TimePoint m_StartedAt;
  TimePoint m_NextAppendAt;
  TimePoint m_NextListAt;
  TimePoint m_NextDeleteAt;
  std::uint64_t m_Deleting = 0;
  TimePoint m_BackOffUntil;
  Duration m_BackOff{};
  std::vector<ClaimOutcome> m_Settled;
};

} // namespace deckpitch
