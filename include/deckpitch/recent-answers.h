// The requests, or the parts of prompts, that each service answered last, for
// comparison with those under which instances were lost.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/request-fingerprint.h"
#include "deckpitch/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace deckpitch {

/// Remembers the fingerprints of what was answered lately.
class RecentAnswers {
public:
  /// Answers that are compared, for each service.
  static constexpr std::size_t MaxCompared = 64;
  static constexpr Duration Retention = std::chrono::seconds(30);
  /// Answers that show whether a fingerprint is rare.
  static constexpr std::size_t MinCompared = 32;

  /// Records an answer to a request with these fingerprints.
  void add(const ServiceId &Service, std::vector<RequestFingerprint> Answered,
           TimePoint Now);
  /// Whether none of the requests that the service answered lately had the
  /// fingerprint, so that it is hardly at several failing instances by chance.
  /// False if too few were answered to tell: a part of one prompt in eight is
  /// in flight at nearly every instance.
  bool isRare(const ServiceId &Service, const RequestFingerprint &Which,
              TimePoint Now) const;

private:
  struct Answer {
    std::vector<RequestFingerprint> m_Fingerprints;
    TimePoint m_At{};
  };
  std::map<ServiceId, std::deque<Answer>> m_Answers;
};

} // namespace deckpitch
