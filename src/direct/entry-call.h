// State of one request while an entry serves it, and the requests in progress.
// Private to EntryRequests.
#pragma once

#include "daemon/clock.h"
#include "deckpitch/event-stream.h"
#include "deckpitch/request-fingerprint.h"
#include "deckpitch/send-record.h"
#include "direct/entry-requests.h"
#include "net/metrics.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace deckpitch::direct {

/// Cost of generating one token, in prompt tokens processed.
inline constexpr double OutputTokenCost = 10;
/// Minimum sends per request: one refused send may be repeated.
inline constexpr std::uint32_t MinSends = 2;
/// Refused sends that may be repeated for a request that has already run. Such
/// a request can no longer be refused as not run, only broken off. Each repeat
/// is charged to the retry budget.
inline constexpr std::uint32_t MaxRefusals = 4;

/// Retry-After while this entry's cached state is outdated or of unknown
/// freshness: other entries may have the current state, and this one may have
/// caught up by then.
inline constexpr Duration RetryAfterOutdated = std::chrono::milliseconds(50);

/// Counter of requests that ended with the given outcome.
net::Counter &answers(const char *Outcome);

inline bool isSuccess(unsigned Status) { return Status >= 200 && Status < 300; }

/// Whether the route's requests may run more than once.
inline bool isRepeatable(const ServiceRoute &Route) {
  if (Route.m_Kind == RouteKind::Stream)
    return Route.m_IsResumable;
  return Route.m_Kind == RouteKind::Idempotent;
}

/// The requests in progress, and at which instances. Only Registration and Stay
/// add to it, and remove what they added however the request ends. Both refer
/// to it weakly: when the process stops, their frames may outlive it.
struct EntryRequests::CallsInProgress {
  explicit CallsInProgress(InstanceTable &Instances) : m_Instances(Instances) {}

  std::shared_ptr<Call> find(std::uint64_t Number) const {
    const auto Found = m_ById.find(Number);
    return Found == m_ById.end() ? nullptr : Found->second;
  }
  /// Requests at the instance that are still in progress.
  std::vector<std::shared_ptr<Call>> at(const InstanceId &Id) const;

  InstanceTable &m_Instances;
  std::map<std::uint64_t, std::shared_ptr<Call>> m_ById;
  std::map<InstanceId, std::set<std::uint64_t>> m_AtInstance;
};

/// A request among those in progress, for the lifetime of this object.
class EntryRequests::Registration {
public:
  Registration(const std::shared_ptr<CallsInProgress> &Among,
               std::shared_ptr<Call> Of);
  ~Registration();
  Registration(const Registration &) = delete;
  Registration &operator=(const Registration &) = delete;

private:
  std::weak_ptr<CallsInProgress> m_Among;
  std::uint64_t m_Number;
};

/// The load of one request at an instance, from its send until its end. Without
/// a call of end() it ends when this is destroyed, and says nothing about the
/// instance.
class EntryRequests::Stay {
public:
  Stay() = default;
  Stay(const std::shared_ptr<CallsInProgress> &Among, InstanceId At);
  ~Stay() { end(InstanceTable::End::Neutral); }
  Stay(Stay &&Other) noexcept;
  Stay &operator=(Stay &&Other) noexcept;

  /// Lists the request among those at the instance, until the end.
  void list(std::uint64_t CallNumber);
  void unlist();
  void answerStarted();
  /// Returns for how long the instance is ejected, if it is.
  std::optional<Duration> end(InstanceTable::End Outcome);

private:
  std::weak_ptr<CallsInProgress> m_Among;
  InstanceId m_Instance;
  std::uint64_t m_Listed = 0; ///< number of the request; 0: not listed
  bool m_IsAnswering = false;
};

/// State of one request from its arrival until its answer has ended.
struct EntryRequests::Call {
  net::HttpRequest m_Request;
  net::HttpResponder &m_Answer;
  std::shared_ptr<const RouteIndex> m_Routes;
  CallerTerms m_Terms;
  const ServiceRoute *m_Route = nullptr;
  const OrganisationKeys *m_Organisation = nullptr;
  RequestFingerprint m_Fingerprint;
  /// Its own, and those of its prompt's parts that others may share.
  std::vector<RequestFingerprint> m_Fingerprints;
  ChoiceQuery m_Query;
  TimePoint m_Start;
  TimePoint m_Deadline;
  SendRecord m_Sends;
  std::uint32_t m_Unreachable = 0; ///< attempts that reached no instance
  std::set<std::string> m_SentTo;  ///< addresses of instances
  bool m_IsGone = false;
  /// The stop of this entry leaves less time than the request has.
  bool m_IsCutShort = false;
  /// The stop of this entry has ended it; nothing more is sent.
  bool m_IsEnded = false;
  std::uint64_t m_Number = 0;  ///< unique within this entry
  bool m_IsMoveSought = false; ///< a move to another instance is under way
  /// The current attempt is being ended so that the request continues at
  /// m_Next.
  bool m_IsMoving = false;
  InstanceChoice m_Next;
  /// The answer from m_Next, if it has begun already, and its load there.
  SendResult m_NextAnswer;
  Stay m_NextStay;
  Stay m_Stay; ///< of the current attempt
  /// Transfer of a stream's remainder to another instance while the current one
  /// is still connected.
  struct Handover {
    explicit Handover(asio::io_context &Io)
        : m_Decided(Io, asio::steady_timer::time_point::max()) {}

    net::CallCancel m_Cancel;
    /// Cancelled once the transfer has succeeded or failed.
    asio::steady_timer m_Decided;
    TimePoint m_Sent = daemon::now();
  };
  std::shared_ptr<Handover> m_Handover;
  TimePoint m_Sent{};         ///< start of the current attempt
  TimePoint m_LastActivity{}; ///< last byte received, or start of the attempt
  bool m_IsAnswering = false; ///< the current attempt has its first byte
  TimePoint m_AnswerStart{};  ///< arrival of that byte
  /// The current attempt has been answered for so long that its prompt's parts
  /// are sound.
  bool m_IsSound = false;
  bool m_IsPeerEnd = false; ///< the instance closed the connection
  std::string m_ReadError;  ///< for logs: why the answer could not be read
  AnswerHead m_Head;        ///< for logs: of the last answer to an attempt
  InstanceNotice m_Notice;  ///< from the head of the current answer
  /// When the search for an instance for a stream's remainder began.
  std::optional<TimePoint> m_SearchStart;
  const char *m_LastOutcome = ""; ///< for logs: how the last attempt ended
  Duration m_RetryAfter{}; ///< suggested by the state of the last instance
  InstanceId m_Instance;   ///< of the current attempt
  /// Version of the weights that began the answer; 0 if unknown or none.
  std::uint64_t m_Version = 0;
  /// Ends the current attempt.
  std::function<void()> m_Abort;

  // The instance's answer while it is buffered.
  unsigned m_Status = 0;
  net::HttpHeaders m_Headers;
  net::BodyFraming m_Framing = net::BodyFraming::Delimited;
  std::string m_Body;
  std::optional<BudgetShare> m_Held; ///< buffered bytes of the answer

  // The part of a stream that the caller has received.
  EventStreamSplitter m_Events;
  std::uint64_t m_EventCount = 0;
  std::string m_LastEventId;
  std::optional<std::uint64_t> m_LastEvent;
  /// Bytes of an incomplete event at the end of the current attempt.
  std::uint64_t m_PartialBytes = 0;
  Duration m_FirstByte{};

  /// Cost of the request, in prompt tokens.
  double size() const {
    return m_Terms.m_PromptTokens + OutputTokenCost * m_Terms.m_AnswerTokens;
  }
  bool isStream() const {
    return m_Route && m_Route->m_Kind == RouteKind::Stream;
  }
  /// Whether another instance may run the request after one may have run it.
  bool isRepeatable() const {
    return m_Route && direct::isRepeatable(*m_Route);
  }
  /// Whether the route allows one more send and one more run.
  bool hasAttemptsLeft() const {
    // A refused send did not run, but counts as an additional arrival.
    std::uint32_t MaxSends = std::max(m_Route->m_Attempts, MinSends);
    if (m_Sends.runs() > 0)
      MaxSends += std::min(m_Sends.rejections(), MaxRefusals);
    return m_Sends.sends() < MaxSends && m_Sends.runs() < m_Route->m_Attempts;
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
