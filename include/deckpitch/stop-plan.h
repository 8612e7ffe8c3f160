// What an entry does with requests during a planned stop, from the stop signal
// to the end of its process.
#pragma once

#include "deckpitch/time.h"

namespace deckpitch {

enum class StopAction {
  Serve,       ///< it ends before the process does
  ServeWithin, ///< it may be repeated, and is ended with the grace
  Refuse       ///< nothing of it is sent, and its caller is told so
};

/// What to do with one request.
struct StopDecision {
  StopAction m_Action = StopAction::Refuse;
  TimePoint m_Deadline{}; ///< of the request from now on, unless refused

  friend bool operator==(const StopDecision &, const StopDecision &) = default;
};

/// A request, as far as a stop is concerned.
struct StopSubject {
  TimePoint m_Deadline{};      ///< by when it has ended by itself
  bool m_IsRepeatable = false; ///< it may run more than once

  friend bool operator==(const StopSubject &, const StopSubject &) = default;
};

/// The moments of one stop. Immutable.
class StopPlan {
public:
  /// The process is killed at Begin + Grace.
  StopPlan(TimePoint Begin, Duration Grace);

  TimePoint begin() const { return m_Begin; }
  /// Until when new requests are served: callers that have just read the
  /// process's address still use it.
  TimePoint acceptsUntil() const { return m_AcceptsUntil; }
  /// When requests that still run are ended, each with an answer.
  TimePoint cutsAt() const { return m_CutsAt; }
  /// When the process ends at the latest.
  TimePoint end() const { return m_End; }

  /// For a request that has been received.
  StopDecision onArrival(const StopSubject &Of, TimePoint Now) const;
  /// For a request that is about to be sent to an instance, again or for the
  /// first time.
  StopDecision onSend(const StopSubject &Of, TimePoint Now) const;

  friend bool operator==(const StopPlan &, const StopPlan &) = default;

private:
  TimePoint m_Begin;
  TimePoint m_AcceptsUntil;
  TimePoint m_CutsAt;
  TimePoint m_End;
};

} // namespace deckpitch
