// Tracks the requests that crash their instances, logs changes, and exchanges
// the findings with other entries through hellos and the store.
#pragma once

#include "deckpitch/harmful-requests.h"
#include "deckpitch/recent-answers.h"
#include "direct/entry-record.h"
#include "proto/link.pb.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace deckpitch::direct {

/// Tracks harmful requests at one entry. All calls must be on one event loop.
class HarmfulRequestTracker {
public:
  /// Records that an instance was lost while it ran a request with these
  /// fingerprints: its own and those of its prompt's parts.
  void lost(const std::vector<RequestFingerprint> &Carried,
            const ServiceId &Service, const InstanceId &At, TimePoint Sent,
            const std::string &AttemptId);
  /// Records that an instance of the service answered a request with this
  /// fingerprint.
  void answered(const RequestFingerprint &Request, const ServiceId &Service);
  /// Records that an instance of the service answered a prompt of these parts.
  void answeredPrompt(const ServiceId &Service,
                      const std::vector<PromptPart> &Parts);
  /// Whether instances were lost under one of these fingerprints since it was
  /// last answered.
  bool isSuspect(const std::vector<RequestFingerprint> &Carried) const;
  /// Whether instances were lost one after the other under a part of the
  /// request's prompt: it is not sent to a further one by itself.
  bool hasSuspectPart(const std::vector<RequestFingerprint> &Carried) const;
  bool isRefused(const std::vector<RequestFingerprint> &Carried) const {
    return refusalOf(Carried).has_value();
  }
  /// Returns why a request with these fingerprints is refused now; nullopt if
  /// it is not.
  std::optional<HarmRefusal>
  refusalOf(const std::vector<RequestFingerprint> &Carried) const;
  /// Whether this entry may send the refused request once, as a trial.
  bool beginTrial(const std::vector<RequestFingerprint> &Carried);
  /// Sets the number of entries that may begin trials before this one.
  void setRank(std::size_t Value) { m_Rank = Value; }

  /// Merges the suspects that another entry's hello reports.
  void receive(const wire::EntryHello &Received, const std::string &From);
  /// Adds this entry's suspects to a hello.
  void addTo(wire::EntryHello &To) const;
  /// Merges the refused requests in an entry's stored object, which may be this
  /// entry's own from before its restart.
  void receive(const std::vector<RefusedRequest> &Stored,
               const std::string &From);
  /// Returns the refused requests to be stored.
  std::vector<RefusedRequest> toStore() const;
  /// Returns true once after this entry found a request to be harmful, which it
  /// must announce to the others without delay.
  bool takeNewFinding();
  /// Removes expired records; must be called periodically.
  void removeExpired();
  std::size_t refusedCount() const { return m_Refused.size(); }

private:
  void clear(const RequestFingerprint &Request);
  bool isRare(const ServiceId &Service, const RequestFingerprint &Which) const;
  void receive(const SuspectRequest &Received, const std::string &From);
  void lost(const RequestFingerprint &Request, const InstanceId &At,
            TimePoint Sent, const std::string &AttemptId, bool HasControl);
  void recordRefusal(const RequestFingerprint &Request,
                     const std::string &From);

  HarmfulRequests m_Known;
  RecentAnswers m_RecentRequests;
  RecentAnswers m_RecentPrompts; ///< by the parts of each
  std::size_t m_Rank = 0;
  std::set<RequestFingerprint> m_Refused;
  bool m_HasNewFinding = false;
};

} // namespace deckpitch::direct
