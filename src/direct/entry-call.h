// One request while an entry serves it. For the files of EntryRequests only.
#pragma once

#include "daemon/clock.h"
#include "deckpitch/event-stream.h"
#include "deckpitch/request-fingerprint.h"
#include "direct/entry-requests.h"
#include "net/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>

namespace deckpitch::direct {

/// Work of a token written against one read.
inline constexpr double WrittenTokenWork = 10;
/// A send that was refused may be made good by one more.
inline constexpr std::uint32_t LeastSends = 2;
/// Refused sends that are made good by further ones, for a request that ran
/// already: it can no longer be refused as not run, only broken off. Each is an
/// arrival more, paid from the budget of retries.
inline constexpr std::uint32_t MostRefusals = 4;

/// Another entry is known to have what this one lacks, or may have: callers are
/// to ask elsewhere, and this one may have it by then.
inline constexpr Duration RetryAfterOutdated = std::chrono::milliseconds(50);

/// Answers to callers by what came of their requests.
net::Counter &answers(const char *Outcome);

inline bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

/// One request while it is served.
struct EntryRequests::Call {
  net::HttpRequest m_Request;
  net::HttpResponder &m_Answer;
  std::shared_ptr<const RouteIndex> m_Routes;
  CallerTerms m_Terms;
  const ServiceRoute *m_Route = nullptr;
  const OrganisationKeys *m_Organisation = nullptr;
  RequestFingerprint m_Fingerprint;
  ChoiceQuery m_Query;
  TimePoint m_Start;
  TimePoint m_Deadline;
  std::uint32_t m_Sends = 0;       ///< that reached an instance, or may have
  std::uint32_t m_Runs = 0;        ///< of these, that it may have run
  std::uint32_t m_Unreachable = 0; ///< attempts that reached none
  bool m_IsGone = false;
  std::uint64_t m_Number = 0;   ///< of this call at this entry
  bool m_IsPlaceSought = false; ///< to go on elsewhere
  /// This attempt is being ended so that the request goes on at m_Next.
  bool m_IsMoving = false;
  InstanceChoice m_Next;
  /// Of the attempt at m_Next, where that has begun already.
  Opened m_NextOpened;
  /// The rest of a stream is being sent to another instance, while the present
  /// one still has it.
  struct Handover {
    explicit Handover(asio::io_context &Io)
        : m_Decided(Io, asio::steady_timer::time_point::max()) {}

    net::CallCancel m_Cancel;
    asio::steady_timer m_Decided; ///< ends when the other has begun or has not
    TimePoint m_Sent = daemon::now();
  };
  std::shared_ptr<Handover> m_Handover;
  TimePoint m_Sent{};  ///< this attempt
  TimePoint m_Heard{}; ///< when something came last, or the attempt began
  bool m_IsAnswering = false; ///< the first byte of this attempt has come
  bool m_IsPeerEnd = false;   ///< the instance ended this attempt's connection
  InstanceNotice m_Notice;    ///< in the head of this attempt's answer
  /// Since when the rest of a stream has no instance.
  std::optional<TimePoint> m_SeeksSince;
  const char *m_GivenUpFor = ""; ///< for log lines: how the last try ended
  Duration m_RetryAfter{};       ///< as the last instance's state suggests
  InstanceId m_Instance;         ///< of this attempt
  /// Weights that the answer's first part comes from; 0: not known, or none.
  std::uint64_t m_Version = 0;
  /// Ends the attempt that is under way.
  std::function<void()> m_Abort;

  // What an instance answered, while it is held.
  unsigned m_Status = 0;
  net::HttpHeaders m_Headers;
  std::string m_Body;

  // What the caller has of a stream.
  EventStreamSplitter m_Events;
  std::uint64_t m_EventCount = 0;
  std::string m_LastEventId;
  std::optional<std::uint64_t> m_LastEvent;
  Duration m_FirstByte{};

  /// Work that the request asks for, in tokens read.
  double size() const {
    return m_Terms.m_PromptTokens + WrittenTokenWork * m_Terms.m_AnswerTokens;
  }
  bool isStream() const {
    return m_Route && m_Route->m_Kind == RouteKind::Stream;
  }
  /// Whether a further instance may run it once one may have.
  bool isRepeatable() const {
    if (isStream())
      return m_Route->m_IsResumable;
    return m_Route->m_Kind == RouteKind::Idempotent;
  }
  /// Whether the route allows one more send and one more run.
  bool hasAttemptsLeft() const {
    // A refused send ran nowhere, but counts as one more arrival.
    std::uint32_t MostSends = std::max(m_Route->m_Attempts, LeastSends);
    if (m_Runs > 0)
      MostSends += std::min(m_Sends - m_Runs, MostRefusals);
    return m_Sends < MostSends && m_Runs < m_Route->m_Attempts;
  }
  std::chrono::milliseconds timeLeft() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_Deadline -
                                                                 daemon::now());
  }
  void abort() {
    if (m_Abort)
      m_Abort();
  }
};

} // namespace deckpitch::direct
