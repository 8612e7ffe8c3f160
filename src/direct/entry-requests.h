// Handling of requests at an entry: route lookup, authentication, choice of an
// instance, forwarding of the answer, and retries.
#pragma once

#include "deckpitch/byte-budget.h"
#include "deckpitch/event.h"
#include "deckpitch/instance-table.h"
#include "deckpitch/retry-window.h"
#include "deckpitch/route-index.h"
#include "deckpitch/size-shares.h"
#include "deckpitch/stop-plan.h"
#include "deckpitch/store-freshness.h"
#include "direct/adapter.h"
#include "direct/harmful-request-tracker.h"
#include "net/http.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace deckpitch::direct {

namespace asio = boost::asio;

/// Answer to a question for a slot.
struct SlotReply {
  bool m_IsGranted = false;
  std::optional<InstanceReport> m_Report;     ///< from an agent
  std::optional<RateLimitReport> m_RateLimit; ///< from an entry
};

/// Serves the callers' requests. All calls must be on one event loop.
class EntryRequests {
public:
  /// Asks the question of its grantor; nullopt if no answer came in time.
  using AskSlot = std::function<asio::awaitable<std::optional<SlotReply>>(
      SlotQuestion Question)>;

  /// AnswerBytes: what all buffered answers may have together, beyond the
  /// allowance of each.
  EntryRequests(asio::io_context &Io, net::HttpClient &Http,
                const FleetAdapter &Adapter, InstanceTable &Instances,
                HarmfulRequestTracker &Harmful, RetryShare Retries,
                std::size_t AnswerBytes, AskSlot Ask);

  void setDeclaration(std::shared_ptr<const RouteIndex> Routes) {
    m_Routes = std::move(Routes);
  }
  /// Sets the number of all entries, reachable or not; 0 if unknown.
  void setEntries(std::size_t Count, TimePoint Now);
  /// Sets the functions that return the freshness of the cached declaration and
  /// of the cached instance list; see FleetFollower.
  void setFreshness(std::function<StoreFreshness()> Declaration,
                    std::function<StoreFreshness()> Instances) {
    m_DeclarationFreshness = std::move(Declaration);
    m_ListFreshness = std::move(Instances);
  }

  asio::awaitable<void> handle(net::HttpRequest Request,
                               net::HttpResponder &Answer);
  /// Whether a request with this head may run: its route and its key are known.
  bool acceptsBody(const net::HttpRequest &Head) const;
  /// Moves streams away from instances that send nothing, and moves single
  /// streams that receive nothing.
  void checkSilence(TimePoint Now);
  /// Moves or ends requests that have not begun on their instance by the time
  /// its weights are due to be replaced.
  void withdrawOverdue(TimePoint Now);
  /// Moves streams away from instances that wait for their streams to end
  /// before they load other weights.
  void moveStreamsFromSwapping(TimePoint Now);

  /// Moves streams away from data centres that have been evacuated for longer
  /// than Length.
  void moveStreamsFromEvacuated(Duration Length, TimePoint Now);

  /// Requests by what the stop meant for them.
  struct StopCounts {
    std::uint64_t m_Served = 0;       ///< arrived during the stop
    std::uint64_t m_ServedWithin = 0; ///< the same, with less time than asked
    std::uint64_t m_Refused = 0;      ///< also if they had arrived before
  };

  /// From now on, decides by the plan what is served and sent.
  void beginStop(const StopPlan &Plan) { m_Stop = Plan; }
  /// Ends all requests in progress: with a refusal if none of their sends may
  /// have run, else with an answer that promises nothing. Streams that their
  /// callers have a part of are broken off.
  void endAll();
  const StopCounts &stopCounts() const { return m_StopCounts; }

  std::size_t open() const;
  /// Bytes of buffered answers beyond the allowance of each.
  std::size_t heldAnswerBytes() const { return m_AnswerBytes.used(); }

private:
  struct Call;
  struct CallsInProgress;
  class Registration;
  class Stay;
  /// Outcome of one attempt.
  enum class AttemptOutcome {
    Delivered,   ///< the caller received the whole answer
    Gone,        ///< the caller disconnected
    Unreachable, ///< the request never reached the instance
    NotRun,      ///< the instance reported that it did not run it
    Failed,      ///< the instance answered with an error, now buffered
    Unproven,    ///< its status promises "not run", and nothing proves it
    Lost,        ///< it may have run; nothing was forwarded
    Broken       ///< it stopped after part of the answer was forwarded
  };

  /// Name of an outcome for log lines.
  static const char *outcomeName(AttemptOutcome Outcome);
  static InstanceTable::End endOf(AttemptOutcome Outcome);
  static void logAttempt(const Call &C, const InstanceChoice &Chosen,
                         AttemptOutcome Outcome, std::uint64_t ListAgeMs);

  asio::awaitable<void> serve(Call &C);
  bool isRefusedByStop(const StopSubject &Of, TimePoint Now) const;
  bool admitDuringStop(Call &C);
  bool maySendDuringStop(Call &C);
  static bool applyStop(Call &C, const StopDecision &Decision);
  static StopSubject stopSubjectOf(const Call &C);
  asio::awaitable<void> rejectUnknown(Call &C, FailureStatus Status,
                                      std::string Reason);
  asio::awaitable<void> tryInstances(Call &C);
  asio::awaitable<InstanceChoice> chooseInstance(ChoiceQuery Query);
  bool applyReply(const SlotQuestion &Question, const SlotReply &Reply);
  asio::awaitable<InstanceChoice> chooseInstanceFor(Call &C);
  std::set<InstanceId> instancesOfOtherSuspects(const Call &C) const;
  /// Result of sending a request to an instance.
  struct SendResult {
    std::unique_ptr<net::HttpStream> m_Body;     ///< null without an answer
    AttemptOutcome m_How = AttemptOutcome::Lost; ///< set if m_Body is null
    bool m_IsPeerEnd = false; ///< the instance closed the connection
    std::string m_ReadError;  ///< for logs: why there is no answer
    AnswerHead m_Head;        ///< of the answer that decided
    InstanceNotice m_Notice;
    TimePoint m_Sent{};
  };
  asio::awaitable<AttemptOutcome> attempt(Call &C,
                                          const InstanceChoice &Chosen);
  bool hasAlternative(const Call &C, const InstanceChoice &Chosen);
  void applyNotice(const InstanceNotice &Notice, const InstanceId &From,
                   const Call &C, TimePoint Sent);
  void noteRateLimit(const InstanceNotice &Notice, const InstanceId &From,
                     const Call &C, TimePoint Sent);
  AnswerHead readHead(const Call &C, const InstanceId &Instance,
                      const net::HttpStream &Answer) const;
  asio::awaitable<Outcome<AnswerHead>> findOwnAnswer(const Call &C,
                                                     const InstanceId &Instance,
                                                     net::HttpStream &Answer,
                                                     TimePoint End);
  net::CallLimits limitsFor(const Call &C, const InstanceChoice &Chosen,
                            std::chrono::milliseconds Left, bool WasSentThere);
  static UpstreamTerms termsFor(const Call &C, const InstanceId &Target,
                                std::chrono::milliseconds TimeLeft);
  asio::awaitable<AttemptOutcome> endWithoutAnswer(Call &C,
                                                   const InstanceId &Instance,
                                                   AnswerMeaning Meaning,
                                                   net::HttpStream &Body);
  asio::awaitable<SendResult> send(Call &C, const InstanceChoice &Chosen,
                                   net::CallCancel &Cancel);
  asio::awaitable<SendResult> trySend(Call &C, const InstanceChoice &Chosen,
                                      net::CallCancel &Cancel);
  asio::awaitable<AttemptOutcome> tryExchange(Call &C,
                                              const InstanceChoice &Chosen);
  asio::awaitable<AttemptOutcome> exchange(Call &C,
                                           const InstanceChoice &Chosen);
  asio::awaitable<AttemptOutcome> readWhole(Call &C, net::HttpStream &Body);
  asio::awaitable<AttemptOutcome> forwardEvents(Call &C, net::HttpStream &Body);
  asio::awaitable<bool> endsIncomplete(Call &C);
  void recordFirstByte(Call &C);
  void recordSound(Call &C);
  void recordLoss(const Call &C, const InstanceId &At, TimePoint Sent);
  static void logEjection(const InstanceId &At, std::optional<Duration> For);
  static bool reserveBuffered(Call &C);
  static std::string takeNewEvents(Call &C);
  static asio::awaitable<bool> writeNewEvents(Call &C);
  bool mayRetry(Call &C, AttemptOutcome Outcome);
  bool mayRepeatSearch(Call &C) const;
  bool mayMove(const Call &C) const;
  asio::awaitable<void> move(std::uint64_t CallNumber, InstanceId From,
                             const char *Reason);
  asio::awaitable<void> handOver(std::shared_ptr<Call> Of, InstanceChoice Next,
                                 const char *Reason);
  asio::awaitable<void> limitHandover(Call &C, bool IsEnd);
  static asio::awaitable<void> waitForHandover(Call &C);
  void cancelSilentHandovers(TimePoint Now);
  asio::awaitable<void> finishHandover(Call &C, AttemptOutcome Outcome);
  static void logMove(Event What, const Call &C, const InstanceChoice &Next,
                      const char *Reason, const char *Outcome, Duration Asked);
  ChoiceQuery queryForRemainder(const Call &C) const;
  template <typename Condition>
  void moveStreamsFrom(const InstanceId &Id, const char *Reason,
                       Condition &&Holds);
  Duration retryAfterNotRun(const Call &C);
  asio::awaitable<void> giveUp(Call &C, AttemptOutcome Outcome);
  asio::awaitable<void> refuse(Call &C, std::string Reason,
                               Duration RetryAfter);
  asio::awaitable<void> fail(Call &C, FailureStatus Status, std::string Reason);
  asio::awaitable<void> failUnknown(Call &C, std::string Reason);
  void logOwnAnswer(Event What, const Call &C, unsigned Status,
                    const std::string &Reason, Duration RetryAfter) const;
  RetryWindow &retriesOf(const ServiceId &Service);
  /// Charges one retry to the budget; false if the budget is exhausted.
  bool takeRetry(const Call &C);
  double reserveFor(const Call &C);

  asio::io_context &m_Io;
  net::HttpClient &m_Http;
  const FleetAdapter &m_Adapter;
  InstanceTable &m_Instances;
  HarmfulRequestTracker &m_Harmful;
  const RetryShare m_Retries;
  const TimePoint m_Start;
  AskSlot m_Ask;
  std::shared_ptr<const RouteIndex> m_Routes =
      std::make_shared<const RouteIndex>();
  std::function<StoreFreshness()> m_DeclarationFreshness = [] {
    return StoreFreshness{};
  };
  std::function<StoreFreshness()> m_ListFreshness = [] {
    return StoreFreshness{};
  };
  std::map<ServiceId, RetryWindow> m_RetryWindows;
  /// Statistics of one route's requests.
  struct RouteLoad {
    SizeShares m_Sizes;
    std::chrono::milliseconds m_LongestTimeout{};
  };
  std::map<std::string, RouteLoad> m_RouteLoads; ///< by route name
  std::shared_ptr<CallsInProgress> m_InProgress;
  std::uint64_t m_LastCall = 0;
  std::set<InstanceId> m_Silent; ///< already logged as silent
  TimePoint m_NextUnreadableLog{};
  ByteBudget m_AnswerBytes;       ///< of all buffered answers in progress
  std::optional<StopPlan> m_Stop; ///< set during the entry's planned stop
  StopCounts m_StopCounts;
  std::size_t m_Entries = 0;
  std::mt19937_64 m_Random{std::random_device{}()};
};

} // namespace deckpitch::direct
