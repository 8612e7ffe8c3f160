// Who may act for all, judged from a lease object in the platform.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/time.h"

#include <optional>
#include <string>

namespace deckpitch {

/// The lease as it was last read.
struct LeaseState {
  Revision m_Revision;
  std::string m_Holder; ///< empty when the object does not exist

  friend bool operator==(const LeaseState &, const LeaseState &) = default;
};

enum class LeaseAction {
  Wait,  ///< another holds it
  Renew, ///< write it again, at the revision last read
  Take,  ///< the holder stopped renewing: replace it, at that revision
};

/// Judges a lease without comparing clocks: a lease whose revision has not
/// moved for its lifetime, as this process saw it, has lapsed. A holder that
/// was paused may still believe in it; what it then writes must be refused by
/// other means (here the revision of the object that it writes).
class LeaseWatch {
public:
  LeaseWatch(std::string Self, Duration Lifetime)
      : m_Self(std::move(Self)), m_Lifetime(Lifetime) {}

  LeaseAction onRead(const LeaseState &Now, TimePoint At);
  /// A write of this process succeeded.
  void onWritten(Revision Written, TimePoint At);
  /// The lease is held, and was renewed within half its lifetime.
  bool held(TimePoint At) const;

private:
  std::string m_Self;
  Duration m_Lifetime;
  LeaseState m_Seen;
  TimePoint m_SeenAt{};
  std::optional<TimePoint> m_RenewedAt;
};

} // namespace deckpitch
