// Requests that crash the instances that run them ("queries of death"): told
// apart from those that merely were there, and refused.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/request-fingerprint.h"
#include "deckpitch/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace deckpitch {

/// The life of an instance that ended the connection while it had the request.
struct InstanceLoss {
  std::uint64_t m_Instance = 0; ///< hash of the instance's id
  TimePoint m_Sent{};           ///< when the request was sent there
  TimePoint m_At{};             ///< when the connection ended
  /// An instance has answered the request whole since: it counts no more.
  bool m_IsCleared = false;

  friend bool operator==(const InstanceLoss &, const InstanceLoss &) = default;
};

/// What is known of one request, as one process tells it to others.
struct SuspectRequest {
  RequestFingerprint m_Request;
  std::vector<InstanceLoss> m_Losses;

  friend bool operator==(const SuspectRequest &,
                         const SuspectRequest &) = default;
};

/// Counts for each request the instances that were lost under it, one after the
/// other, since one answered it whole. All that an instance had when it crashed
/// is suspect; what only was there is answered elsewhere soon. Where many are
/// lost at once, as with their power, requests that many callers send are at
/// several of them: only what was sent after the loss before it counts beside
/// it. What was answered here a short while ago crashes no instance. Knowledge
/// of several processes is put together in any order, and as often as it is
/// told: it rests on no comparison of their times.
class HarmfulRequests {
public:
  /// Instances that a request may crash before it is refused.
  static constexpr std::size_t LossesToRefuse = 3;
  /// For how long it is refused after the last of them, and as long again for
  /// each further one: it may be refused wrongly, and each try of one that is
  /// harmful costs an instance.
  static constexpr Duration RefusalSpan = std::chrono::minutes(2);

  /// True where the request is refused from now on and was not before.
  bool lost(const RequestFingerprint &Request, const InstanceId &At,
            TimePoint Sent, TimePoint Now);
  void answered(const RequestFingerprint &Request, TimePoint Now);
  /// What another process knows. True as for lost().
  bool hear(const SuspectRequest &Told, TimePoint Now);

  /// Until when the request is refused; nothing where it is not.
  std::optional<TimePoint> refusedUntil(const RequestFingerprint &Request,
                                        TimePoint Now) const;
  /// Losses one after the other.
  std::size_t lossesOf(const RequestFingerprint &Request) const;

  /// What other processes are to be told now: what has changed lately, so that
  /// a lost message is made good by the next, and all that is refused, for
  /// those that have just started. Refused ones first, at most so many.
  std::vector<SuspectRequest> toTell(std::size_t Most, TimePoint Now) const;
  /// Forgets what is too old to matter; to be called now and then.
  void forgetOld(TimePoint Now);
  std::size_t size() const { return m_Suspects.size(); }

private:
  struct Suspect {
    std::vector<InstanceLoss> m_Losses; ///< one for each instance
    TimePoint m_Changed{};

    std::size_t count() const;
    std::optional<TimePoint> refusedUntil(TimePoint Now) const;
    bool add(const InstanceLoss &Told);
    void dropLeast();
    bool clear();
    bool isWorthTelling(TimePoint Now) const;
  };

  void makeRoom(TimePoint Now);

  bool wasAnsweredLately(const RequestFingerprint &Request,
                         TimePoint Now) const;

  std::map<RequestFingerprint, Suspect> m_Suspects;
  /// Answered whole since the moment, and in the span before it.
  std::set<RequestFingerprint> m_Answered;
  std::set<RequestFingerprint> m_AnsweredBefore;
  TimePoint m_AnsweredSince{};
};

} // namespace deckpitch
