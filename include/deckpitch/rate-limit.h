// The rate of requests that an instance accepts from all entries together.
#pragma once

#include "deckpitch/cold-start.h"
#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <cstddef>
#include <map>
#include <optional>

namespace deckpitch {

/// What one answer of an instance says about its rate limit.
struct RateObservation {
  std::optional<double> m_PerSecond; ///< nothing: the answer names no limit
  TimePoint m_Sent{};                ///< when the answer's request was sent
  TimePoint m_Answered{};            ///< when the answer arrived

  friend bool operator==(const RateObservation &,
                         const RateObservation &) = default;
};

/// Returns which of two observations of an incarnation is the newer one.
/// Answers overtake each other: one without a limit is newer than one with a
/// limit only if its request was sent after that limit had arrived.
const RateObservation &newerOf(const RateObservation &One,
                               const RateObservation &Other);

/// What one process reports to another about an instance's rate limit.
struct RateLimitReport {
  InstanceId m_Instance; ///< the incarnation that it is about
  RateObservation m_Newest;
  /// The reporting process received the answer itself. What it knows from
  /// others is no news to them: as its age grows with each transfer, reports
  /// that are returned would make it look newer for ever.
  bool m_IsFirstHand = true;
  Duration m_NextIn{}; ///< until the next request can be granted

  friend bool operator==(const RateLimitReport &,
                         const RateLimitReport &) = default;
};

/// The rate limit of one incarnation of an instance, as an entry knows it: from
/// its own answers, and from the process that counts the requests.
class ObservedRateLimit {
public:
  /// Records an answer that this entry received. Returns true if the limit is
  /// another one than before.
  bool note(const RateObservation &Answer);
  /// Records what the counting process reports, in place of its last report.
  /// Returns true if the limit is another one than before.
  bool reported(const RateObservation &Newest);
  /// Requests per second; nothing: no limit.
  std::optional<double> perSecond() const;
  /// Returns the newest observation; nothing if none ever named a limit.
  std::optional<RateObservation> newest() const;
  /// Whether the newest observation is an answer that this entry received.
  bool isFirstHand() const;

private:
  std::optional<RateObservation> m_Own;
  std::optional<RateObservation> m_Reported;
  bool m_WasLimited = false;
};

/// Grants requests to one instance at its limit. Kept by a single process for
/// each instance, so that the sum over all entries is exact. Starts without a
/// burst: the process that had the duty before may just have granted one.
class RequestRateBucket {
public:
  explicit RequestRateBucket(TimePoint Now) : m_FilledAt(Now) {}

  /// Applies the limit from now on.
  void setLimit(double PerSecond, TimePoint Now);
  /// Returns whether a request can be granted that leaves the given share of
  /// the burst, 0 to 1, to others.
  bool canTake(double ReservedShare, TimePoint Now);
  /// Counts a request that canTake() allowed.
  void take() { m_Tokens -= 1; }
  /// Time until a request that reserves nothing can be granted.
  Duration timeUntilNext(TimePoint Now);

private:
  void fill(TimePoint Now);
  double burst() const;

  double m_PerSecond = 0;
  double m_Tokens = 0;
  TimePoint m_FilledAt;
};

/// The rate limit of one incarnation of an instance, in the process that counts
/// its requests for all entries.
class CountedRateLimit {
public:
  explicit CountedRateLimit(TimePoint Now) : m_Bucket(Now) {}

  /// Records what an entry knows. Returns true if the limit is another one than
  /// before.
  bool note(const RateLimitReport &Known, TimePoint Now);
  /// Whether a request may be sent that leaves the given share of the burst, 0
  /// to 1, to others.
  bool canTake(double ReservedShare, TimePoint Now);
  /// Counts a request that canTake() allowed.
  void take();
  /// Requests per second; nothing: no limit.
  std::optional<double> perSecond() const;
  /// Returns the newest observation; nothing: no entry has reported one.
  const std::optional<RateObservation> &newest() const { return m_Newest; }
  /// Time until a request that reserves nothing can be granted.
  Duration timeUntilNext(TimePoint Now);

private:
  std::optional<RateObservation> m_Newest;
  RequestRateBucket m_Bucket;
};

/// The rate limits for which this entry counts on behalf of all entries,
/// because no agent reports on the instances.
class RateGrants {
public:
  /// Records what an entry knows of an instance's limit.
  void note(const RateLimitReport &Known, TimePoint Now);
  /// Records that an instance is cold, as an entry knows it.
  void noteColdStart(const InstanceId &Id, const ColdStartLimit &Known,
                     TimePoint Now);
  /// Returns whether a request may be sent, and counts it if so. Nothing is
  /// granted to an instance of which no entry has reported a limit.
  bool grant(const InstanceId &Id, TimePoint Now);
  /// Returns what entries are to know of an instance's limit.
  std::optional<RateLimitReport> report(const InstanceId &Id, TimePoint Now);
  /// Forgets instances that no request was asked for in a long time.
  void removeIdle(TimePoint Now);
  std::size_t size() const { return m_Limits.size(); }

private:
  struct Counted {
    explicit Counted(TimePoint Now)
        : m_Limit(Now), m_ColdStart(Now), m_LastAsked(Now) {}

    CountedRateLimit m_Limit;
    ColdStartGrants m_ColdStart;
    TimePoint m_LastAsked;
  };

  std::map<InstanceId, Counted> m_Limits;
};

} // namespace deckpitch
