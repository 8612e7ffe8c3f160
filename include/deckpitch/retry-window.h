// Limits the retries of one entry so that all entries together stay within a
// common limit.
#pragma once

#include "deckpitch/time.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace deckpitch {

/// The limit on the retries of all entries together in any window: a share of
/// the requests in that window, plus a fixed slack.
struct RetryShare {
  double m_Share = 0.2;
  double m_Slack = 100;
  std::chrono::milliseconds m_Window{10'000};

  friend bool operator==(const RetryShare &, const RetryShare &) = default;
};

/// The requests and retries of one entry in the last window, and the retries
/// that it is allowed.
struct RetryUse {
  std::uint64_t m_Requests = 0;
  std::uint64_t m_Retries = 0;
  double m_Allowed = 0;
  std::size_t m_Entries = 0; ///< entries that share the slack; 0: unknown
  Duration m_Age{};          ///< of this process

  friend bool operator==(const RetryUse &, const RetryUse &) = default;
};

/// Enforces a RetryShare without coordination, so that it holds while entries
/// start, stop or are partitioned. Each entry may retry the given share of its
/// own requests and uses an equal part of the slack, divided by the largest
/// number of entries known in the window. Its retries before a restart are
/// unknown, so a process younger than one window uses no slack. Reads no clock;
/// the times passed in must not decrease.
class RetryWindow {
public:
  RetryWindow(RetryShare FleetShare, TimePoint ProcessStart);

  /// Sets the number of entries, including this one and those that cannot be
  /// reached. 0 means unknown, which disables the slack.
  void setEntries(std::size_t Count, TimePoint Now);
  /// Counts a request.
  void arrived(TimePoint Now);
  /// Counts a retry if it is allowed; false otherwise.
  bool tryRetry(TimePoint Now);
  RetryUse use(TimePoint Now) const;

private:
  /// Resolution in which the window slides.
  static constexpr std::size_t BucketCount = 10;

  struct Bucket {
    std::int64_t m_Number = -1;
    std::uint64_t m_Requests = 0;
    std::uint64_t m_Retries = 0;
    std::size_t m_MaxEntries = 0;
  };

  std::int64_t bucketNumber(TimePoint Now) const;
  Bucket &bucketAt(TimePoint Now);

  RetryShare m_FleetShare;
  TimePoint m_Start;
  std::size_t m_Entries = 0;
  /// One more than the window has, since it covers the oldest only partly.
  std::array<Bucket, BucketCount + 1> m_Buckets{};
};

} // namespace deckpitch
