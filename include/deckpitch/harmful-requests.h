// Detects requests that crash the instances that run them ("queries of death"),
// alone or by a part of their prompts, and distinguishes them from requests
// that were merely in flight there.
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

/// The loss of one instance: its connection ended while it had the request.
struct InstanceLoss {
  std::uint64_t m_Instance = 0; ///< hash of the instance's id
  TimePoint m_Sent{};           ///< when the request was sent there
  TimePoint m_At{};             ///< when the connection ended
  /// No longer counts, since an instance has answered the request completely.
  bool m_IsCleared = false;
  /// Counts only among many, since an entry had an answer shortly before.
  bool m_IsForgiven = false;
  /// The request was sent as a trial, while it was refused.
  bool m_IsTrial = false;

  friend bool operator==(const InstanceLoss &, const InstanceLoss &) = default;
};

/// The losses of one request, as processes exchange them.
struct SuspectRequest {
  RequestFingerprint m_Request;
  std::vector<InstanceLoss> m_Losses;
  /// The service answered many others shortly before one was lost, and none
  /// like it.
  bool m_HasControl = false;

  friend bool operator==(const SuspectRequest &,
                         const SuspectRequest &) = default;
};

/// Why a request is refused.
struct HarmRefusal {
  RequestFingerprint m_Cause; ///< of the request, or of a part of its prompt
  TimePoint m_Until{};
  std::size_t m_Losses = 0;
  /// A request that is sent as a trial may end it sooner.
  bool m_IsTentative = false;

  friend bool operator==(const HarmRefusal &, const HarmRefusal &) = default;
};

/// Counts for each request the successive losses of instances that had it since
/// it was last answered completely.
///
/// Every request in flight on a crashed instance is suspect; a harmless one is
/// soon answered by another instance. When many instances fail at once, for
/// example in a power failure, a request that many callers send is in flight on
/// several of them. Losses therefore count separately only if the request was
/// sent after the previous loss. A request that was answered here shortly
/// before is harmless.
///
/// A part of a prompt is counted like a request, under a fingerprint of its
/// own: a harmful one crashes instances by requests of which no two are alike.
/// All parts of those requests are suspect at first; the sound ones are
/// answered in others. One that always came with the harmful one is refused
/// only together with it, so that a request that has it alone can show that it
/// is sound.
///
/// Updates of several processes can be merged in any order and repeatedly; the
/// result does not depend on comparing their clocks.
class HarmfulRequests {
public:
  /// Losses after which a request is refused.
  static constexpr std::size_t LossesToRefuse = 3;
  /// How long a request is refused after the last loss; each further loss adds
  /// this time again. A compromise: the refusal may be wrong, but each retry of
  /// a harmful request costs an instance.
  static constexpr Duration RefusalPeriod = std::chrono::minutes(2);
  /// Losses after which a request is refused that was answered shortly before
  /// them: it may have become harmful since, by a change of the weights.
  static constexpr std::size_t ForgivenLossesToRefuse = LossesToRefuse + 5;
  /// Time from the last loss until a tentative refusal is tried: a power
  /// failure of several machines may still be under way. Then the processes
  /// take turns of this length, in the order of their ranks.
  static constexpr Duration TrialPause = std::chrono::seconds(2);
  /// Turns until the first process may try again.
  static constexpr std::size_t TrialTurns = 8;
  /// Time between the first two trials of a process. It doubles with each one
  /// whose outcome is not known, since a harmful request may crash its instance
  /// late.
  static constexpr Duration TrialInterval = std::chrono::seconds(1);
  /// Machines that fail within this time of each other may have one cause.
  static constexpr Duration CommonFailurePeriod =
      std::chrono::milliseconds(1500);
  /// Failures of other instances that may meet a trial, which then shows
  /// nothing. Each may cost an instance if the request is harmful.
  static constexpr std::size_t MaxExcusedFailures = 1;

  /// Records the loss of an instance, and whether its service has answered
  /// requests of that kind without this part lately. True if the request is
  /// refused from now on and was not before.
  bool lost(const RequestFingerprint &Request, const InstanceId &At,
            TimePoint Sent, TimePoint Now, bool HasControl = true);
  /// Records a complete answer, which clears the request's losses.
  void answered(const RequestFingerprint &Request, TimePoint Now);
  /// Whether a request with these fingerprints, which is refused, may be sent
  /// as a trial by the process of that rank among those that refuse it. Its
  /// outcome is recorded by lost() or answered().
  bool beginTrial(const std::vector<RequestFingerprint> &Carried,
                  std::size_t Rank, TimePoint Now);
  /// Merges an update of another process. Returns the same as lost().
  bool receive(const SuspectRequest &Update, TimePoint Now);

  /// When the refusal of the request ends; nullopt if it is not refused.
  std::optional<TimePoint> refusedUntil(const RequestFingerprint &Request,
                                        TimePoint Now) const;
  /// Why a request with these fingerprints, its own and those of its prompt's
  /// parts, is refused; nullopt if it is not. One whose losses all occurred
  /// under another refused one, which this request does not have, is no reason.
  std::optional<HarmRefusal>
  refusalOf(const std::vector<RequestFingerprint> &Carried,
            TimePoint Now) const;
  /// The number of successive losses that are not forgiven.
  std::size_t lossCount(const RequestFingerprint &Request) const;

  /// Updates to send to other processes now: recent changes, repeated in case a
  /// message is lost, and all refused requests, for processes that have just
  /// started. Returns at most MaxCount, refused requests first.
  std::vector<SuspectRequest> updatesToSend(std::size_t MaxCount,
                                            TimePoint Now) const;
  /// Removes expired losses; to be called periodically.
  void forgetOld(TimePoint Now);
  std::size_t size() const { return m_Suspects.size(); }

private:
  struct Suspect {
    std::vector<InstanceLoss> m_Losses; ///< one for each instance
    TimePoint m_Changed{};
    TimePoint m_RefusedSince{};
    /// Since the request was refused, by this process.
    TimePoint m_FirstTrial{};
    TimePoint m_LastTrial{};
    int m_TrialCount = 0;
    bool m_HasControl = false;

    std::size_t count() const;
    std::size_t countWithForgiven() const;
    bool hasForgiven() const;
    bool isTrialLoss(std::uint64_t Instance) const;
    bool isTentative(bool IsPart) const;
    bool isTrialDue(std::size_t Rank, TimePoint Now) const;
    void noteTrial(TimePoint Now);
    TimePoint lastLoss() const;
    bool includes(const Suspect &Other) const;
    std::optional<TimePoint> refusedUntil(TimePoint Now) const;
    bool add(const InstanceLoss &Update);
    void dropLeastRelevant();
    bool clear();
    bool forgive();
    bool isDueToSend(TimePoint Now) const;
  };

  void evictSuspects(TimePoint Now);

  bool hasCommonFailure(const Suspect &Known, const InstanceLoss &Trial) const;
  bool hasFailedTrial(const Suspect &Known) const;
  bool isExplained(const RequestFingerprint &Which,
                   const std::vector<RequestFingerprint> &Carried,
                   TimePoint Now) const;
  bool isTentative(const RequestFingerprint &Which) const;
  std::vector<RequestFingerprint>
  causesOf(const std::vector<RequestFingerprint> &Carried, TimePoint Now) const;
  bool wasAnsweredRecently(const RequestFingerprint &Request,
                           TimePoint Now) const;

  std::map<RequestFingerprint, Suspect> m_Suspects;
  /// Requests answered completely since m_AnsweredSince, and in the period
  /// before it.
  std::set<RequestFingerprint> m_Answered;
  std::set<RequestFingerprint> m_AnsweredBefore;
  TimePoint m_AnsweredSince{};
};

/// How long a caller that is refused now should wait until it tries again.
Duration pauseFor(const HarmRefusal &Refusal, TimePoint Now);

} // namespace deckpitch
