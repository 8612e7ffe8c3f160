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
  static constexpr std::size_t MaxCompared = 32;
  static constexpr Duration Retention = std::chrono::seconds(30);

  void add(const ServiceId &Service, std::vector<RequestFingerprint> Parts,
           TimePoint Now);
  /// Whether most of the prompts that the service answered lately were without
  /// the part; false if it answered none.
  bool mostlyLack(const ServiceId &Service, const RequestFingerprint &Part,
                  TimePoint Now) const;

private:
  struct Answer {
    std::vector<RequestFingerprint> m_Parts;
    TimePoint m_At{};
  };
  std::map<ServiceId, std::deque<Answer>> m_Answers;
};

} // namespace deckpitch
