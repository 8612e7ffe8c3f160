// The prompts that each service answered last, for comparison with those under
// which instances were lost.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/request-fingerprint.h"
#include "deckpitch/time.h"

#include <cstddef>
#include <deque>
#include <map>
#include <vector>

namespace deckpitch {

/// Remembers the parts of the prompts that were answered lately.
class AnsweredPrompts {
public:
  /// Answers that are compared, for each service.
  static constexpr std::size_t MaxCompared = 64;
  static constexpr Duration Retention = std::chrono::seconds(30);
  /// Answers that show whether a part is rare.
  static constexpr std::size_t MinCompared = 32;

  void add(const ServiceId &Service, std::vector<RequestFingerprint> Parts,
           TimePoint Now);
  /// Whether none of the prompts that the service answered lately had the part,
  /// so that it is hardly at several failing instances by chance. False if too
  /// few were answered to tell: a part of one prompt in eight is in flight at
  /// nearly every instance.
  bool isRare(const ServiceId &Service, const RequestFingerprint &Part,
              TimePoint Now) const;

private:
  struct Answer {
    std::vector<RequestFingerprint> m_Parts;
    TimePoint m_At{};
  };
  std::map<ServiceId, std::deque<Answer>> m_Answers;
};

} // namespace deckpitch
