// Admission control: decides which requests run now, which wait in a queue and
// which are refused.
#pragma once

#include "deckpitch/call-terms.h"
#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace deckpitch {

/// Estimates how many concurrent requests an upstream can take, from the time
/// to the first byte. The limit grows by one per round trip while the latency
/// stays near its recent minimum, and shrinks by a tenth once the smoothed
/// latency exceeds twice that minimum.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(double Initial = 16);

  /// Records an attempt that ended. Latency is the time to its first byte;
  /// InFlight includes the attempt itself.
  void sample(Duration Latency, std::uint32_t InFlight, TimePoint Now);
  /// Records an attempt that was refused for load, timed out or failed.
  void overloaded(TimePoint Now);
  double limit() const { return m_Limit; }

private:
  void shrink(TimePoint Now);

  double m_Limit;
  Duration m_Smoothed{};
  Duration m_MinLatency{};         ///< minimum latency of the current window
  Duration m_PreviousMinLatency{}; ///< minimum latency of the previous window
  TimePoint m_WindowEnd;
  TimePoint m_NextShrink;
};

using AdmissionId = std::uint64_t;

/// A request that asks for admission.
struct AdmissionRequest {
  AdmissionId m_Id = 0;
  OrganisationId m_Organisation;
  Priority m_Priority = Priority::Normal;
  TimePoint m_Deadline;

  friend bool operator==(const AdmissionRequest &,
                         const AdmissionRequest &) = default;
};

/// The decision on one request; a refused one may be sent again after
/// m_RetryAfter.
struct AdmissionDecision {
  AdmissionId m_Id = 0;
  bool m_Admitted = false;
  Duration m_RetryAfter{};

  friend bool operator==(const AdmissionDecision &,
                         const AdmissionDecision &) = default;
};

struct AdmissionSettings {
  std::uint32_t m_QueueLimit = 256;
  /// A waiting request is promoted by one priority per interval.
  Duration m_PromotionInterval = std::chrono::seconds(2);
};

/// The admission queue of one pool at one entry. Urgent requests go first, and
/// waiting requests are promoted with age so that none starves. Within a
/// priority, organisations share the capacity by weight (start-time fair
/// queueing); capacity that one of them leaves unused goes to the others.
///
///   Queue.arrive(Request, Capacity, Now);
///   for (AdmissionDecision Each : Queue.takeDecisions()) ...
///   Queue.leave(Organisation, Capacity, Now); // an admitted request ended
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionSettings Settings = {});

  void setLimit(std::uint32_t QueueLimit);
  void setShare(const OrganisationId &Organisation, std::uint32_t Share,
                std::uint32_t MaxInFlight);
  void arrive(AdmissionRequest Request, double Capacity, TimePoint Now);
  /// Releases the capacity of an admitted request that has ended.
  void leave(const OrganisationId &Organisation, double Capacity,
             TimePoint Now);
  /// Removes a waiting request whose caller has disconnected.
  void abandon(AdmissionId Id);
  /// Refuses requests past their deadline and admits waiting ones; to be called
  /// periodically and after a change of capacity.
  void tick(double Capacity, TimePoint Now);
  std::vector<AdmissionDecision> takeDecisions();

  std::uint32_t inFlight() const { return m_InFlight; }
  std::size_t waiting() const { return m_Waiting; }
  /// The estimated time that a request arriving now would wait.
  Duration expectedWait(Priority Level) const;

private:
  struct Waiting {
    AdmissionRequest m_Request;
    TimePoint m_Since;
  };
  /// The order in which requests are admitted, lowest first.
  struct AdmissionOrder {
    int m_Priority = 0;
    double m_StartTag = 0;
    TimePoint m_Since;

    friend auto operator<=>(const AdmissionOrder &,
                            const AdmissionOrder &) = default;
  };
  struct OrganisationQueue {
    std::uint32_t m_Share = 1;
    std::uint32_t m_MaxInFlight = 10'000;
    std::uint32_t m_InFlight = 0;
    double m_StartTag = 0; ///< virtual start time of its next request
    std::array<std::deque<Waiting>, PriorityCount> m_Queues;
  };

  void admitWhilePossible(double Capacity, TimePoint Now);
  bool admitOne(TimePoint Now);
  void expire(TimePoint Now);
  bool evictFor(const AdmissionRequest &Request);
  void refuse(AdmissionId Id, Priority Level);
  void updateCompletionRate(TimePoint Now);
  int effectivePriority(const Waiting &Request, std::size_t GivenClass,
                        TimePoint Now) const;

  AdmissionSettings m_Settings;
  std::map<OrganisationId, OrganisationQueue> m_Organisations;
  std::array<std::uint32_t, PriorityCount> m_WaitingByPriority{};
  std::size_t m_Waiting = 0;
  std::uint32_t m_InFlight = 0;
  double m_VirtualTime = 0;
  double m_CompletionsPerSecond = 0; ///< completion rate, smoothed
  TimePoint m_LastCompletion;
  std::vector<AdmissionDecision> m_Decisions;
};

} // namespace deckpitch
