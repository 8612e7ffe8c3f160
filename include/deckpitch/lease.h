// The right to do a job alone for a while, kept in one platform object.
#pragma once

#include "deckpitch/error.h"
#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace deckpitch {

/// What the lease's object holds.
struct LeaseRecord {
  InstanceId m_Holder; ///< empty: given back
  Incarnation m_Life;
  std::uint64_t m_Term = 0;    ///< grows at each change of holder
  std::uint64_t m_Renewal = 0; ///< tells the holder's writes apart

  friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

Result<LeaseRecord> parseLease(std::string_view Json);
std::string formatLease(const LeaseRecord &Value);

struct LeaseLimits {
  /// A holder acts for this long after it began the last renewal.
  std::chrono::milliseconds m_Duration{9'000};
  /// Others wait this much longer since they saw the object change: covers
  /// clocks that run at different speeds, never their settings.
  std::chrono::milliseconds m_Margin{2'000};

  friend bool operator==(const LeaseLimits &, const LeaseLimits &) = default;
};

/// The decisions of one candidate. It does what next() says and reports how
/// that went; held() answers from memory.
///
/// A holder counts from BEFORE it sent the write that the platform confirmed;
/// the others count from AFTER they saw that write. So the holder stops first
/// by at least the margin, whatever wall clocks say. What the holder does in
/// the world must still be fenced, since it may be paused between held() and
/// the deed: it writes by conditional update only, and a new holder first
/// moves the object that the job writes, so that what an earlier holder
/// prepared meets a conflict.
class Lease {
public:
  Lease(InstanceId Self, Incarnation Life, LeaseLimits Limits);

  struct Step {
    enum class Kind {
      Wait,   ///< nothing to do until m_At
      Read,   ///< get the object, then report with onRead()
      Create, ///< the object does not exist: create it with m_Record
      Update, ///< replace it, if it still has m_Expected
    };
    Kind m_Kind = Kind::Wait;
    TimePoint m_At;
    Revision m_Expected;
    LeaseRecord m_Record;
  };

  /// Wanted: this process is a candidate. A holder that is none any more
  /// gives the lease back.
  Step next(TimePoint Now, bool Wanted);
  /// The object as read; none when there is no such object.
  void onRead(TimePoint Now, Revision At,
              const std::optional<LeaseRecord> &Record);
  /// The read failed.
  void onUnread(TimePoint Now);
  /// The platform confirmed the write that next() asked for at that time.
  void onWritten(TimePoint Asked, Revision At);
  /// The write failed or its answer was lost: the object is read again.
  void onUnwritten(TimePoint Now);

  bool held(TimePoint Now) const { return m_Holds && Now < m_Until; }
  TimePoint heldUntil() const { return m_Holds ? m_Until : TimePoint(); }
  /// The term of the record last seen or written.
  std::uint64_t term() const { return m_Seen.m_Term; }

private:
  Step write(TimePoint Now, LeaseRecord Record);
  bool mine(const LeaseRecord &Record) const;
  Duration readPeriod() const { return Duration(m_Limits.m_Duration) / 3; }

  InstanceId m_Self;
  Incarnation m_Life;
  LeaseLimits m_Limits;
  LeaseRecord m_Seen;
  Revision m_At;
  bool m_Exists = false;
  bool m_MustRead = true;
  bool m_Holds = false;
  TimePoint m_Until;      ///< holder: stops here
  TimePoint m_ChangeSeen; ///< others: when the object was last seen to change
  TimePoint m_NextAction = TimePoint::min();
  LeaseRecord m_Tried; ///< last write, whose outcome may be unknown
  TimePoint m_TriedAt;
};

} // namespace deckpitch
