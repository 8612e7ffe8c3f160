// Which requests run now, wait, or are refused at once.
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

/// How many requests an upstream takes at once, learned from the time to the
/// first byte: grows by one a round trip while that stays near the least seen
/// lately, and shrinks by a tenth when it has doubled.
class ConcurrencyLimit {
public:
  explicit ConcurrencyLimit(double Initial = 16);

  /// An attempt ended. Latency: to its first byte; InFlight: with it.
  void sample(Duration Latency, std::uint32_t InFlight, TimePoint Now);
  /// An attempt was refused for load, timed out or failed.
  void overloaded(TimePoint Now);
  double limit() const { return m_Limit; }

private:
  void shrink(TimePoint Now);

  double m_Limit;
  Duration m_Least{};       ///< least latency of this window
  Duration m_LeastBefore{}; ///< and of the one before
  TimePoint m_WindowEnd;
  TimePoint m_NextShrink;
};

using AdmissionId = std::uint64_t;

/// A request that asks to run.
struct AdmissionRequest {
  AdmissionId m_Id = 0;
  OrganisationId m_Organisation;
  Priority m_Priority = Priority::Normal;
  TimePoint m_Deadline;

  friend bool operator==(const AdmissionRequest &,
                         const AdmissionRequest &) = default;
};

/// The answer to one request: now, or when to come back.
struct AdmissionDecision {
  AdmissionId m_Id = 0;
  bool m_Admitted = false;
  Duration m_RetryAfter{};

  friend bool operator==(const AdmissionDecision &,
                         const AdmissionDecision &) = default;
};

struct AdmissionSettings {
  std::uint32_t m_QueueLimit = 256;
  /// A waiting request rises by one priority for each such span.
  Duration m_AgeStep = std::chrono::seconds(2);
};

/// One pool's queue at one entry. Urgent requests go first, older ones rise;
/// within a priority organisations share by weight (start-time fair queueing),
/// so that what one leaves unused goes to the others.
///
///   Queue.arrive(Request, Capacity, Now);
///   for (AdmissionDecision Each : Queue.takeDecisions()) ...
///   Queue.leave(Organisation, Capacity, Now) when an admitted one has ended
class AdmissionQueue {
public:
  explicit AdmissionQueue(AdmissionSettings Settings = {});

  void setLimit(std::uint32_t QueueLimit);
  void setShare(const OrganisationId &Organisation, std::uint32_t Share,
                std::uint32_t MaxInFlight);
  void arrive(AdmissionRequest Request, double Capacity, TimePoint Now);
  /// An admitted request has ended.
  void leave(const OrganisationId &Organisation, double Capacity,
             TimePoint Now);
  /// A waiting request's caller went away.
  void abandon(AdmissionId Id);
  /// Time passed or capacity changed.
  void tick(double Capacity, TimePoint Now);
  std::vector<AdmissionDecision> takeDecisions();

  std::uint32_t inFlight() const { return m_InFlight; }
  std::size_t waiting() const { return m_Waiting; }
  /// How long a request that comes now would wait.
  Duration expectedWait(Priority Of) const;

private:
  struct Waiting {
    AdmissionRequest m_Request;
    TimePoint m_Since;
  };
  /// Who goes first: the least of these.
  struct Turn {
    int m_Priority = 0;
    double m_Tag = 0;
    TimePoint m_Since;

    friend auto operator<=>(const Turn &, const Turn &) = default;
  };
  struct Lane {
    std::uint32_t m_Share = 1;
    std::uint32_t m_MaxInFlight = 10'000;
    std::uint32_t m_InFlight = 0;
    double m_Tag = 0; ///< virtual time at which its next request starts
    std::array<std::deque<Waiting>, PriorityCount> m_Queues;
  };

  void admitWhilePossible(double Capacity, TimePoint Now);
  bool admitOne(TimePoint Now);
  void expire(TimePoint Now);
  bool makeRoomFor(const AdmissionRequest &Request);
  void refuse(AdmissionId Id, Priority Of);
  void noteDrain(TimePoint Now);
  int effectivePriority(const Waiting &Of, std::size_t Given,
                        TimePoint Now) const;

  AdmissionSettings m_Settings;
  std::map<OrganisationId, Lane> m_Lanes;
  std::array<std::uint32_t, PriorityCount> m_WaitingBy{};
  std::size_t m_Waiting = 0;
  std::uint32_t m_InFlight = 0;
  double m_VirtualTime = 0;
  double m_DrainPerSecond = 0; ///< requests that ended, smoothed
  TimePoint m_LastDrain;
  std::vector<AdmissionDecision> m_Decisions;
};

} // namespace deckpitch
