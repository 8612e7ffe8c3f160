// The rate of requests that an instance accepts from all entries together.
#pragma once

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

/// The rate limit of one incarnation of an instance, as of its newest answer.
/// Answers overtake each other: one to a request that was sent earlier changes
/// nothing, and one without a limit ends the limit only if its request was sent
/// after the limit had been received.
class ObservedRateLimit {
public:
  /// Returns true if the limit is another one than before.
  bool note(const RateObservation &Answer);
  /// Requests per second; nothing: no limit.
  std::optional<double> perSecond() const { return m_Newest.m_PerSecond; }
  /// Returns the newest observation; nothing if none ever named a limit.
  std::optional<RateObservation> newest() const;

private:
  RateObservation m_Newest;
  bool m_WasLimited = false;
};

/// What one process reports to another about an instance's rate limit.
struct RateLimitReport {
  InstanceId m_Instance; ///< the incarnation that it is about
  RateObservation m_Newest;
  Duration m_NextIn{}; ///< until the next request can be granted

  friend bool operator==(const RateLimitReport &,
                         const RateLimitReport &) = default;
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

/// Grants requests to the instances for which this entry counts on behalf of
/// all entries, because no agent reports on them.
class RateGrants {
public:
  /// Returns whether a request may be sent, and counts it if so.
  bool grant(const InstanceId &Id, double PerSecond, TimePoint Now);
  Duration timeUntilNext(const InstanceId &Id, TimePoint Now);
  /// Forgets instances that no request was asked for in a long time.
  void removeIdle(TimePoint Now);
  std::size_t size() const { return m_Buckets.size(); }

private:
  struct Counted {
    RequestRateBucket m_Bucket;
    TimePoint m_LastAsked{};
  };

  std::map<InstanceId, Counted> m_Buckets;
};

} // namespace deckpitch
