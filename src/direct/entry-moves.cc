// Moves streams to another instance while their own is still connected, because
// it hangs or is about to load other weights.
#include "direct/entry-call.h"
#include "net/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

/// An engine sends data at least once per forward pass, which takes some tens
/// of milliseconds; after this long without a byte for any request it counts as
/// hung.
constexpr milliseconds InstanceSilence{900};
/// A single stream may pause for longer while its engine serves others, since
/// it waits for a slot or for memory. Must be below the shortest time after
/// which callers disconnect.
constexpr milliseconds StreamSilence{1'800};

/// How long an instance that is to load other weights may continue its streams
/// before they are moved: no other request begins there until the last one has
/// ended, up to 3 s later, while its other slots stay empty. Moves cut the time
/// out of service from 2.2 s to 1.0 s (mean of 20).
constexpr milliseconds SwapDrainLimit{200};

/// From sending a stream's remainder until the head of the answer. Slots are
/// granted for a first token within some tenths of a second, and the caller
/// receives nothing meanwhile.
constexpr milliseconds HandoverTimeout{600};

/// Time before the deadline to begin at which a request is moved: covers the
/// check every 100 ms, three slot queries of 20 ms each, and closing the
/// connection.
constexpr milliseconds MoveMargin{500};
/// Time before the deadline at which a request that no other instance takes is
/// ended: the close queues behind four chunks to an instance that copies
/// weights, 0.17 s at 9.4 Mbit/s, and the last check may have been 100 ms ago.
constexpr milliseconds CloseMargin{300};

} // namespace

/// Whether a stream may move to another instance. One that may not stays where
/// it is: silence alone ends no answer.
bool EntryRequests::mayMove(const Call &C) const {
  return C.isStream() && C.isRepeatable() && !C.m_IsMoving && !C.m_Handover &&
         !C.m_IsGone && !C.m_IsEnded && C.m_Abort && C.hasAttemptsLeft() &&
         !m_Harmful.isRefused(C.m_Fingerprints);
}

/// Finds another instance for a request and hands the request over. The request
/// is looked up again after the search, since it may have ended or moved
/// meanwhile.
asio::awaitable<void> EntryRequests::move(std::uint64_t CallNumber,
                                          InstanceId From, const char *Reason) {
  const auto Asking = m_InProgress->find(CallNumber);
  if (!Asking)
    co_return;
  ChoiceQuery Query = queryForRemainder(*Asking);
  Query.m_Tried.insert(From);
  Query.m_Avoided = instancesOfOtherSuspects(*Asking);
  // The request was admitted before, so it leaves no slots to others.
  Query.m_Reserve = 0;
  // It must not move from one silent instance to another: both would begin it
  // once they run again, after its caller has left.
  Query.m_NeedsReport = true;
  const InstanceChoice Chosen = co_await chooseInstance(std::move(Query));
  const auto Of = m_InProgress->find(CallNumber);
  if (!Of)
    co_return;
  Of->m_IsMoveSought = false;
  const bool IsPossible = Chosen.m_Outcome == ChoiceOutcome::Chosen &&
                          Of->m_Instance == From && mayMove(*Of);
  if (!IsPossible || !takeRetry(*Of))
    co_return;
  co_await handOver(Of, Chosen, Reason);
}

/// Sends a stream, or its remainder, to the next instance and ends the current
/// attempt only once that one has begun. The next instance may refuse the
/// stream well after its agent granted a slot, because it is to load other
/// weights itself: 3 of 117 streams moved in one rollout over 20 instances were
/// broken off for that reason, and none of 78 with this order. Nothing is
/// forwarded meanwhile, so that the next instance continues exactly after what
/// the caller has. The current attempt waits for the outcome, which keeps the
/// call alive.
asio::awaitable<void> EntryRequests::handOver(std::shared_ptr<Call> Of,
                                              InstanceChoice Next,
                                              const char *Reason) {
  Call &C = *Of;
  // Shared, since this coroutine's frame and that of the call may be destroyed
  // in any order when the process stops.
  const auto Pending = std::make_shared<Call::Handover>(m_Io);
  C.m_Handover = Pending;
  C.m_IsMoveSought = true;
  Stay There(m_InProgress, Next.m_Instance);
  SendResult Begun = co_await trySend(C, Next, Pending->m_Cancel);
  const Duration Asked = now() - Pending->m_Sent;
  const bool IsTaken = Begun.m_Body && isSuccess(Begun.m_Body->status()) &&
                       !C.m_IsGone && !C.m_IsEnded;
  logMove(IsTaken ? Event::StreamMoved : Event::StreamMoveRefused, C, Next,
          Reason, IsTaken ? "begun" : outcomeName(Begun.m_How), Asked);
  if (IsTaken) {
    C.m_Next = Next;
    C.m_NextAnswer = std::move(Begun);
    C.m_NextStay = std::move(There);
    C.m_IsMoving = true;
    C.abort();
  } else {
    using End = InstanceTable::End;
    const bool IsRefused = Begun.m_How == AttemptOutcome::NotRun;
    const bool HasFailed = !IsRefused && !Pending->m_Cancel.cancelled();
    C.m_Query.m_Tried.insert(Next.m_Instance);
    if (Begun.m_IsPeerEnd)
      recordLoss(C, Next.m_Instance, Begun.m_Sent);
    logEjection(Next.m_Instance,
                There.end(HasFailed ? End::Failed : End::Neutral));
  }
  C.m_IsMoveSought = false;
  C.m_Handover.reset();
  Pending->m_Decided.cancel();
}

/// Cancels the handover if the current instance has completed the stream, or
/// has more data while the next instance takes too long.
asio::awaitable<void> EntryRequests::limitHandover(Call &C, bool IsEnd) {
  const bool IsLate = now() - C.m_Handover->m_Sent > HandoverTimeout;
  if (!IsEnd && !IsLate)
    co_return;
  C.m_Handover->m_Cancel.cancel();
  co_await waitForHandover(C);
}

/// Waits until the handover in progress, if any, has succeeded or failed.
asio::awaitable<void> EntryRequests::waitForHandover(Call &C) {
  while (C.m_Handover) {
    const std::shared_ptr<Call::Handover> Pending = C.m_Handover;
    co_await Pending->m_Decided.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

/// Waits for the handover in progress before an attempt ends. If the caller has
/// the whole answer or has disconnected, the next attempt is ended too.
asio::awaitable<void> EntryRequests::finishHandover(Call &C,
                                                    AttemptOutcome Outcome) {
  // A failed write shows a disconnect before m_IsGone is set.
  const auto IsNeeded = [&C, Outcome] {
    return Outcome != AttemptOutcome::Delivered &&
           Outcome != AttemptOutcome::Gone && !C.m_IsGone && !C.m_IsEnded;
  };
  if (C.m_Handover && !IsNeeded())
    C.m_Handover->m_Cancel.cancel();
  co_await waitForHandover(C);
  const bool IsDropped = C.m_NextAnswer.m_Body && !IsNeeded();
  if (!IsDropped)
    co_return;
  C.m_NextAnswer = {};
  C.m_NextStay.end(InstanceTable::End::Neutral);
}

void EntryRequests::logMove(Event What, const Call &C,
                            const InstanceChoice &Next, const char *Reason,
                            const char *Outcome, Duration Asked) {
  net::log(What, {{"request", C.m_Terms.m_AttemptId},
                  {"reason", Reason},
                  {"outcome", Outcome},
                  {"from", C.m_Instance.m_Text},
                  {"to", Next.m_Instance.m_Text},
                  {"load", static_cast<std::uint64_t>(Next.m_Load)},
                  {"reportAgeMs", msOf(Next.m_ReportAge)},
                  {"events", C.m_EventCount},
                  {"askedMs", msOf(Asked)}});
}

/// Query for the remainder of a stream that moves: the next engine processes
/// the prompt and the tokens generated so far.
ChoiceQuery EntryRequests::queryForRemainder(const Call &C) const {
  ChoiceQuery Out = C.m_Query;
  const auto Written = static_cast<std::uint32_t>(
      C.m_EventCount * m_Instances.tokensPerEvent(Out.m_Service));
  const std::uint32_t Likely = Out.m_Size.m_AnswerTokens;
  Out.m_Size.m_PromptTokens += Written;
  // An answer longer than expected is assumed to be at its half.
  if (Likely != 0)
    Out.m_Size.m_AnswerTokens =
        Likely > Written ? Likely - Written : std::max(Written, 1U);
  Out.m_Version = C.m_Version;
  return Out;
}

void EntryRequests::moveStreamsFromSwapping(TimePoint Now) {
  for (const InstanceId &Id : m_Instances.swappingFor(SwapDrainLimit, Now))
    moveStreamsFrom(Id, "instance swaps weights",
                    [](const Call &Each) { return Each.m_IsAnswering; });
}

void EntryRequests::moveStreamsFromEvacuated(Duration Length, TimePoint Now) {
  for (const InstanceId &Id : m_Instances.evacuatedFor(Length, Now))
    moveStreamsFrom(Id, "data centre is evacuated",
                    [](const Call &) { return true; });
}

/// An instance may be paused, or load other weights first, for longer than any
/// margin kept when a request is sent to it: requests that had waited there for
/// 2.3 s began up to 60 ms after the bound.
void EntryRequests::withdrawOverdue(TimePoint Now) {
  std::vector<std::shared_ptr<Call>> Overdue;
  for (const auto &[Id, Numbers] : m_InProgress->m_AtInstance) {
    const auto Calls = m_InProgress->at(Id);
    const auto By =
        Calls.empty()
            ? std::nullopt
            : m_Instances.latestBegin(Id, Calls.front()->m_Query.m_Model);
    if (!By || Now < *By - MoveMargin)
      continue;
    moveStreamsFrom(Id, "weights are due",
                    [](const Call &Each) { return !Each.m_IsAnswering; });
    if (Now < *By - CloseMargin)
      continue;
    for (const auto &Each : Calls)
      if (Each->isStream() && !Each->m_IsAnswering && !Each->m_IsMoving &&
          !Each->m_Query.m_Model.empty() && Each->m_Abort)
        Overdue.push_back(Each);
  }
  for (const auto &Each : Overdue) {
    net::log(Event::RequestWithdrawn, {{"request", Each->m_Terms.m_AttemptId},
                                       {"instance", Each->m_Instance.m_Text},
                                       {"sentMs", msOf(Now - Each->m_Sent)}});
    Each->abort();
  }
}

void EntryRequests::checkSilence(TimePoint Now) {
  std::set<InstanceId> Silent;
  for (const InstanceId &Id : m_Instances.silentFor(InstanceSilence, Now)) {
    Silent.insert(Id);
    if (!m_Silent.contains(Id))
      net::log(Event::InstanceUnresponsive,
               {{"instance", Id.m_Text}, {"silentMs", msOf(InstanceSilence)}});
    moveStreamsFrom(Id, "instance silent", [](const Call &) { return true; });
  }
  for (const InstanceId &Id : m_Instances.replacedWithRequests())
    moveStreamsFrom(Id, "instance restarted",
                    [](const Call &) { return true; });
  m_Silent = std::move(Silent);
  cancelSilentHandovers(Now);
  for (const auto &[Id, Numbers] : m_InProgress->m_AtInstance)
    moveStreamsFrom(Id, "stream silent", [Now](const Call &Each) {
      return Now - Each.m_LastActivity > StreamSilence;
    });
}

/// Cancels handovers in which the next instance is silent as well, so that a
/// third one can take the stream if the route allows one more run.
void EntryRequests::cancelSilentHandovers(TimePoint Now) {
  for (const auto &[Number, Each] : m_InProgress->m_ById) {
    const bool IsSilent =
        Each->m_Handover && Now - Each->m_Handover->m_Sent > InstanceSilence;
    if (IsSilent && Each->m_Sends.runs() < Each->m_Route->m_Attempts)
      Each->m_Handover->m_Cancel.cancel();
  }
}

/// Starts moving the streams of an instance for which the condition holds.
template <typename Condition>
void EntryRequests::moveStreamsFrom(const InstanceId &Id, const char *Reason,
                                    Condition &&Holds) {
  for (const auto &Each : m_InProgress->at(Id)) {
    if (Each->m_IsMoveSought || !mayMove(*Each) || !Holds(*Each))
      continue;
    Each->m_IsMoveSought = true;
    asio::co_spawn(m_Io, move(Each->m_Number, Id, Reason), asio::detached);
  }
}

} // namespace deckpitch::direct
