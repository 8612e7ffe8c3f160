// A lease: the temporary exclusive right to do a job, kept in one object of the
// platform.
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

/// The content of the lease's object.
struct LeaseRecord {
  InstanceId m_Holder; ///< empty: released
  Incarnation m_Incarnation;
  std::uint64_t m_Term = 0;    ///< incremented at each change of holder
  std::uint64_t m_Renewal = 0; ///< distinguishes the holder's writes

  friend bool operator==(const LeaseRecord &, const LeaseRecord &) = default;
};

Result<LeaseRecord> parseLease(std::string_view Json);
std::string formatLease(const LeaseRecord &Value);

struct LeaseLimits {
  /// Time after the start of its last renewal for which a holder may act.
  std::chrono::milliseconds m_Duration{9'000};
  /// Additional time that others wait after they saw the object change. Covers
  /// clocks that run at different speeds; absolute times are never compared.
  std::chrono::milliseconds m_Margin{2'000};

  friend bool operator==(const LeaseLimits &, const LeaseLimits &) = default;
};

/// The decisions of one candidate. The caller performs the steps of next() and
/// reports their results; held() only reads local state.
///
/// A holder counts its time from BEFORE it sent the write that the platform
/// confirmed; the others count from AFTER they saw that write. The holder thus
/// stops first, by at least the margin, independent of wall clocks. The
/// holder's actions must be fenced nevertheless, since it may be paused between
/// held() and the action: it writes by conditional update only, and a new
/// holder first updates the object that the job writes, so that pending writes
/// of an earlier holder conflict.
class Lease {
public:
  Lease(InstanceId Self, Incarnation Own, LeaseLimits Limits);

  struct Step {
    enum class Kind {
      Wait,   ///< do nothing until m_At
      Read,   ///< read the object and report with onRead()
      Create, ///< create the object, which does not exist, with m_Record
      Update, ///< replace the object if its revision is m_Expected
    };
    Kind m_Kind = Kind::Wait;
    TimePoint m_At;
    Revision m_Expected;
    LeaseRecord m_Record;
  };

  /// The next step. Wanted: this process is a candidate; a holder that is no
  /// longer one releases the lease.
  Step next(TimePoint Now, bool Wanted);
  /// The object was read; Record is nullopt if it does not exist.
  void onRead(TimePoint Now, Revision At,
              const std::optional<LeaseRecord> &Record);
  /// The read failed.
  void onReadFailed(TimePoint Now);
  /// The platform confirmed the write that next() requested at Asked.
  void onWritten(TimePoint Asked, Revision At);
  /// The write failed or its response was lost; the object is read again.
  void onWriteFailed(TimePoint Now);

  bool held(TimePoint Now) const { return m_Holds && Now < m_Until; }
  TimePoint heldUntil() const { return m_Holds ? m_Until : TimePoint(); }
  /// The term of the record last seen or written.
  std::uint64_t term() const { return m_Seen.m_Term; }

private:
  Step write(TimePoint Now, LeaseRecord Record);
  bool isOwn(const LeaseRecord &Record) const;
  Duration readPeriod() const { return Duration(m_Limits.m_Duration) / 3; }

  InstanceId m_Self;
  Incarnation m_Incarnation;
  LeaseLimits m_Limits;
  LeaseRecord m_Seen;
  Revision m_At;
  bool m_Exists = false;
  bool m_MustRead = true;
  bool m_Holds = false;
  TimePoint m_Until;      ///< end of this holder's time
  TimePoint m_LastChange; ///< for others: last observed change of the object
  TimePoint m_NextAction = TimePoint::min();
  LeaseRecord m_LastWrite; ///< last write; its outcome may be unknown
  TimePoint m_LastWriteAt;
};

} // namespace deckpitch
