// At most one run for a key: the log of claims in the platform.
//
// A shard's log is the objects <shard>-1, <shard>-2, ... Each holds a batch
// of claims and is created conditionally, so for each number one entry wins
// and everybody reads the same order. An entry appends at number n only when
// it knows all objects below n; so a key has been claimed by whoever comes
// first in the log, without any other agreement between entries.
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

/// One run of a keyed call: who may run it.
struct Claim {
  std::string m_Key; ///< digest of organisation, pool and caller's key
  InstanceId m_Instance;
  Incarnation m_Incarnation;
  /// The instance's own clock in milliseconds, as the claimer last heard it;
  /// the instance refuses a run whose ticket is old.
  std::uint64_t m_Ticket = 0;
  /// Grows when an earlier claim was fenced before it ran.
  std::uint32_t m_Attempt = 1;

  friend bool operator==(const Claim &, const Claim &) = default;
};

/// What one object of the log holds.
struct ClaimBatch {
  std::string m_Id; ///< tells one's own batch when an answer was lost
  std::vector<Claim> m_Claims;

  friend bool operator==(const ClaimBatch &, const ClaimBatch &) = default;
};

Result<ClaimBatch> parseClaimBatch(std::string_view Json);
std::string formatClaimBatch(const ClaimBatch &Value);

/// Names the key within the log: callers' keys never leave the entry.
std::string claimKeyOf(const OrganisationId &Organisation, const PoolId &Pool,
                       std::string_view CallerKey);

std::uint32_t shardOf(std::string_view Key, std::uint32_t Shards);

/// The place of a batch: object "<shard>-<number>" of kind "claims".
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
  /// Claims, and the objects that hold them, are kept for so long after this
  /// process first saw them.
  Duration m_Retention = std::chrono::minutes(10);
  /// Between two appends of this entry to this shard.
  Duration m_LeastInterval = std::chrono::milliseconds(50);
  /// The platform is taken for slow when an operation lasts longer.
  Duration m_SlowAfter = std::chrono::milliseconds(500);
  Duration m_FirstBackoff = std::chrono::milliseconds(200);
  Duration m_MostBackoff = std::chrono::seconds(2);
  Duration m_LeastListInterval = std::chrono::milliseconds(100);
  Duration m_LeastDeleteInterval = std::chrono::milliseconds(20);
  std::size_t m_MaxBatch = 2'000;
  std::size_t m_MaxWaiting = 10'000;
};

using ClaimWaiterId = std::uint64_t;

/// How a wish to claim ended.
struct ClaimSettled {
  enum class Verdict {
    Granted, ///< the waiter, and nobody else, may send this run
    Taken,   ///< m_Claim came first
    Refused, ///< nothing may be run: the platform cannot be asked
  };
  ClaimWaiterId m_Waiter = 0;
  Verdict m_Verdict = Verdict::Refused;
  Claim m_Claim;

  friend bool operator==(const ClaimSettled &, const ClaimSettled &) = default;
};

/// What the log's owner must do next; one at a time, then feed the result.
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
/// Nothing now; ask again at m_Until or after any input.
struct IdleLog {
  std::optional<TimePoint> m_Until;
  friend bool operator==(const IdleLog &, const IdleLog &) = default;
};
using ClaimAction =
    std::variant<IdleLog, ListLog, ReadLog, AppendLog, DeleteLog>;

/// One shard of the log at one entry.
///
///   Log.submit(7, Wanted, GiveUpAt, Now);
///   perform(Log.next(Now)) and feed listed/read/appended/conflicted/failed
///   for (const ClaimSettled &Each : Log.takeSettled()) ...
class ClaimLog {
public:
  /// Batches are named "<Owner>-<counter>": Owner must differ for each life
  /// of each entry.
  ClaimLog(std::string Owner, ClaimLogSettings Settings);

  void submit(ClaimWaiterId Waiter, Claim Wanted, TimePoint GiveUpAt,
              TimePoint Now);
  /// The claim that stands for a key, if this entry knows of one.
  const Claim *find(const std::string &Key) const;

  ClaimAction next(TimePoint Now);
  /// A batch seen by other means than next(), e.g. a watch; never needed.
  void observed(const LoggedBatch &Seen, TimePoint Now);
  void observedDeletion(std::uint64_t Number);
  void listed(const std::vector<LoggedBatch> &All, TimePoint Now);
  void read(const std::optional<LoggedBatch> &Got, TimePoint Now);
  void appended(Revision At, TimePoint Now);
  /// Another batch has that number.
  void conflicted();
  /// The object that DeleteLog named is gone.
  void removed();
  /// The operation failed; MayHaveTakenEffect: its answer was lost.
  void failed(bool MayHaveTakenEffect, TimePoint Now);

  std::vector<ClaimSettled> takeSettled();
  /// Whether this entry deletes old objects; one is enough, more do no harm.
  void setDeletes(bool Deletes) { m_Deletes = Deletes; }
  void setLeastInterval(Duration Value) { m_Settings.m_LeastInterval = Value; }

  std::size_t waiting() const { return m_Waiting.size() + m_InFlight.size(); }
  std::size_t known() const { return m_Known.size(); }
  std::uint64_t nextNumber() const { return m_Next; }

private:
  struct Waiter {
    ClaimWaiterId m_Id = 0;
    Claim m_Wanted;
    TimePoint m_GiveUpAt;
  };
  struct KnownClaim {
    Claim m_Claim;
    TimePoint m_Seen;
  };
  struct KnownObject {
    Revision m_Revision;
    TimePoint m_Seen;
  };
  enum class Doing { Nothing, Listing, Probing, Reading, Appending, Deleting };

  void learn(const LoggedBatch &Seen, TimePoint Now);
  void advance();
  void settle(const Waiter &Of, ClaimSettled::Verdict Verdict);
  void refuse(std::deque<Waiter> &All);
  void requeueInFlight();
  /// Settles the waiting ones whose key is taken.
  void settleTaken();
  void giveUp(TimePoint Now);
  void forget(TimePoint Now);
  bool trusted(TimePoint Now) const;
  void grantInFlight(TimePoint Now);
  bool isOwn(const LoggedBatch &Got) const;
  AppendLog makeAppend();
  ClaimAction start(Doing What, ClaimAction Action, TimePoint Now);
  ClaimAction nextList(TimePoint Now);
  ClaimAction nextDelete(TimePoint Now);

  std::string m_Owner;
  ClaimLogSettings m_Settings;
  std::uint64_t m_Batches = 0;
  bool m_Deletes = false;

  std::uint64_t m_Next = 1; ///< all objects below it are known
  bool m_Synced = false;
  /// At this time nothing at m_Next or above had been deleted.
  TimePoint m_TrustedAt;
  std::map<std::string, KnownClaim> m_Known;
  std::deque<std::pair<TimePoint, std::string>> m_ClaimsBySeen;
  std::map<std::uint64_t, KnownObject> m_Objects;

  std::deque<Waiter> m_Waiting;
  std::deque<Waiter> m_InFlight;
  ClaimBatch m_InFlightBatch;
  Doing m_Doing = Doing::Nothing;
  bool m_MustRead = false;
  bool m_Uncertain = false; ///< an append's answer was lost
  TimePoint m_StartedAt;
  TimePoint m_NextAppendAt;
  TimePoint m_NextListAt;
  TimePoint m_NextDeleteAt;
  std::uint64_t m_Deleting = 0;
  TimePoint m_BackoffUntil;
  Duration m_Backoff{};
  std::vector<ClaimSettled> m_Settled;
};

} // namespace deckpitch
