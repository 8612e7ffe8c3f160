// What an entry knows of requests that crash their instances: logged where it
// changes, and told to other entries with hellos.
#pragma once

#include "deckpitch/harmful-requests.h"
#include "direct/entry-record.h"
#include "proto/link.pb.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace deckpitch::direct {

/// All on one loop.
class HarmfulWatch {
public:
  void lost(const RequestFingerprint &Request, const InstanceId &At,
            TimePoint Sent, const std::string &AttemptId);
  void answered(const RequestFingerprint &Request);
  bool isRefused(const RequestFingerprint &Request) const {
    return refusedFor(Request).has_value();
  }
  /// Whether an instance was lost under the request since it was answered.
  bool isSuspect(const RequestFingerprint &Request) const {
    return m_Known.lossesOf(Request) > 0;
  }
  /// How much longer the request is refused; nothing where it is not.
  std::optional<Duration> refusedFor(const RequestFingerprint &Request) const;

  void hear(const wire::EntryHello &Told, const std::string &From);
  void tell(wire::EntryHello &To) const;
  /// What an entry's object in the store says, which may be this one's own of
  /// before its start.
  void hear(const std::vector<RefusedRequest> &Stored, const std::string &From);
  /// What the store is to keep.
  std::vector<RefusedRequest> toStore() const;
  /// True once after a request was found here to be harmful: others are to be
  /// told without delay.
  bool takeFound();
  /// Forgets what is too old; to be called now and then.
  void tidy();
  std::size_t refusedCount() const { return m_Refused.size(); }

private:
  void hear(const SuspectRequest &Told, const std::string &From);
  void noteRefused(const RequestFingerprint &Request, const std::string &From);

  HarmfulRequests m_Known;
  std::set<RequestFingerprint> m_Refused;
  bool m_IsFound = false;
};

} // namespace deckpitch::direct
