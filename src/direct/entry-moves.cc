// Streams that go on at another instance while theirs still has them: because
// it hangs, or because it is about to load other weights.
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

/// An engine gives something at least every pass, which lasts some tens of
/// milliseconds; after this long without a byte for any of its requests it
/// hangs.
constexpr milliseconds InstanceSilence{900};
/// One stream of an engine that serves others may pause for longer, while it
/// waits for a place or for memory. Below the least time after which callers
/// leave.
constexpr milliseconds StreamSilence{1'800};

/// How long an instance that is to load other weights may go on with what it
/// runs: nothing else begins there until the last stream has ended, up to 3 s
/// later, while its other places stand empty. With moves an instance is away
/// for 1.0 s instead of 2.2 s (mean of 20).
constexpr milliseconds SwapPatience{200};

/// From the send of a stream's rest until the head of the answer. Places are
/// granted for a first token within some tenths of a second, and the caller
/// gets nothing meanwhile.
constexpr milliseconds HandoverPatience{600};

/// Before the moment by which a request must have begun: for a look around each
/// 100 ms, three questions for a place of 20 ms each, and then the close.
constexpr milliseconds SeekSpare{500};
/// The same for a request that no other instance takes: the close lies behind
/// four chunks on the way to an instance that copies weights, 0.17 s at
/// 9.4 Mbit/s, and the look around may just have been.
constexpr milliseconds CloseSpare{300};

} // namespace

/// One that cannot move is left where it is: silence alone ends no answer.
bool EntryRequests::mayMove(const Call &Of) const {
  return Of.isStream() && Of.isRepeatable() && !Of.m_IsMoving &&
         !Of.m_Handover && !Of.m_IsGone && Of.m_Abort && Of.hasAttemptsLeft() &&
         !m_Harmful.isRefused(Of.m_Fingerprint);
}

/// Ends the attempt that is under way once the request has a place elsewhere.
/// The call may have ended, or gone on, while the place was sought.
asio::awaitable<void> EntryRequests::move(std::uint64_t CallNumber,
                                          InstanceId From, const char *Reason) {
  const auto Asking = m_Calls.find(CallNumber);
  if (Asking == m_Calls.end())
    co_return;
  ChoiceQuery Query = queryForRest(*Asking->second);
  Query.m_Tried.insert(From);
  Query.m_Avoided = placesOfOtherSuspects(*Asking->second);
  // It was admitted already: others are not to be preferred to it.
  Query.m_Reserve = 0;
  const InstanceChoice Chosen = co_await choosePlace(std::move(Query));
  const auto Found = m_Calls.find(CallNumber);
  if (Found == m_Calls.end())
    co_return;
  Call &Of = *Found->second;
  Of.m_IsPlaceSought = false;
  const bool IsPossible = Chosen.m_Outcome == ChoiceOutcome::Chosen &&
                          Of.m_Instance == From && mayMove(Of);
  if (!IsPossible || !takeRetry(Of))
    co_return;
  co_await handOver(Of, Chosen, Reason);
}

/// Sends a stream, or its rest, to the next instance and ends the present
/// attempt only once that one has begun: it may refuse the stream, also a good
/// while after it was granted a place, since it is to load other weights
/// itself. Of 117 streams that moved in one rollout over 20 instances 3 were
/// broken off so, and none of 78 since. Nothing more is passed on meanwhile, so
/// the other goes on after just what the caller has. The present attempt waits
/// for the decision, so the call is there until then.
asio::awaitable<void> EntryRequests::handOver(Call &Of,
                                              const InstanceChoice &Next,
                                              const char *Reason) {
  // Shared, since the frames of this coroutine and of the call's may be
  // destroyed in any order when the process stops.
  const auto Under = std::make_shared<Call::Handover>(m_Io);
  Of.m_Handover = Under;
  Of.m_IsPlaceSought = true;
  m_Instances.started(Next.m_Instance, now());
  Opened Begun = co_await send(Of, Next, Under->m_Cancel);
  const Duration Asked = now() - Under->m_Sent;
  const bool IsTaken =
      Begun.m_Body && isSuccess(Begun.m_Body->status()) && !Of.m_IsGone;
  logMove(IsTaken ? Event::StreamMoved : Event::StreamMoveRefused, Of, Next,
          Reason, IsTaken ? "begun" : wordOf(Begun.m_How), Asked);
  if (IsTaken) {
    Of.m_Next = Next;
    Of.m_NextOpened = std::move(Begun);
    Of.m_IsMoving = true;
    Of.abort();
  } else {
    using End = InstanceTable::End;
    const bool IsRefused = Begun.m_How == Ended::NotRun;
    const bool HasFailed = !IsRefused && !Under->m_Cancel.cancelled();
    Of.m_Query.m_Tried.insert(Next.m_Instance);
    if (Begun.m_IsPeerEnd)
      noteLost(Of, Next.m_Instance, Begun.m_Sent);
    noteEnd(Next.m_Instance, HasFailed ? End::Failed : End::Neutral, false);
  }
  Of.m_IsPlaceSought = false;
  Of.m_Handover.reset();
  Under->m_Decided.cancel();
}

/// The next instance is given up where the present one has written all, or has
/// more to pass on and the next takes too long.
asio::awaitable<void> EntryRequests::limitHandover(Call &Of, bool IsEnd) {
  const bool IsLate = now() - Of.m_Handover->m_Sent > HandoverPatience;
  if (!IsEnd && !IsLate)
    co_return;
  Of.m_Handover->m_Cancel.cancel();
  co_await untilDecided(Of);
}

asio::awaitable<void> EntryRequests::untilDecided(Call &Of) {
  while (Of.m_Handover) {
    const std::shared_ptr<Call::Handover> Under = Of.m_Handover;
    co_await Under->m_Decided.async_wait(asio::as_tuple(asio::use_awaitable));
  }
}

/// No attempt ends before it is decided whether the next one has begun; one
/// whose caller has all, or has left, ends the next one too.
asio::awaitable<void> EntryRequests::endHandover(Call &Of, Ended How) {
  // A write that fails shows that the caller left before the connection does.
  const auto IsNeeded = [&Of, How] {
    return How != Ended::Delivered && How != Ended::Gone && !Of.m_IsGone;
  };
  if (Of.m_Handover && !IsNeeded())
    Of.m_Handover->m_Cancel.cancel();
  co_await untilDecided(Of);
  const bool IsDropped = Of.m_NextOpened.m_Body && !IsNeeded();
  if (!IsDropped)
    co_return;
  Of.m_NextOpened = {};
  noteEnd(Of.m_Next.m_Instance, InstanceTable::End::Neutral, false);
}

void EntryRequests::logMove(Event What, const Call &Of,
                            const InstanceChoice &Next, const char *Reason,
                            const char *Outcome, Duration Asked) {
  net::log(What, {{"request", Of.m_Terms.m_AttemptId},
                  {"reason", Reason},
                  {"outcome", Outcome},
                  {"from", Of.m_Instance.m_Text},
                  {"to", Next.m_Instance.m_Text},
                  {"load", static_cast<std::uint64_t>(Next.m_Load)},
                  {"reportAgeMs", msOf(Next.m_ReportAge)},
                  {"events", Of.m_EventCount},
                  {"askedMs", msOf(Asked)}});
}

/// What is left to do of a stream that goes on elsewhere: its prompt and what
/// it has written are read again.
ChoiceQuery EntryRequests::queryForRest(const Call &Of) const {
  ChoiceQuery Out = Of.m_Query;
  const auto Written = static_cast<std::uint32_t>(
      Of.m_EventCount * m_Instances.tokensPerEvent(Out.m_Service));
  const std::uint32_t Likely = Out.m_Size.m_AnswerTokens;
  Out.m_Size.m_PromptTokens += Written;
  // One that outran the guess has as much again before it, for all that is
  // known.
  if (Likely != 0)
    Out.m_Size.m_AnswerTokens =
        Likely > Written ? Likely - Written : std::max(Written, 1U);
  Out.m_Version = Of.m_Version;
  return Out;
}

void EntryRequests::moveFromSwapping(TimePoint Now) {
  for (const InstanceId &Id : m_Instances.swappingFor(SwapPatience, Now))
    moveFrom(Id, "instance swaps weights",
             [](const Call &Each) { return Each.m_IsAnswering; });
}

/// An instance may stand still, or load other weights first, for longer than
/// any time that is kept in hand when a request is sent to it: requests began
/// up to 60 ms after the bound that had been there for 2.3 s.
void EntryRequests::takeBackOverdue(TimePoint Now) {
  std::vector<Call *> Ended;
  for (const auto &[Id, Calls] : m_AtInstance) {
    const auto By =
        Calls.empty()
            ? std::nullopt
            : m_Instances.beginBy(Id, (*Calls.begin())->m_Query.m_Model);
    if (!By || Now < *By - SeekSpare)
      continue;
    moveFrom(Id, "weights are due",
             [](const Call &Each) { return !Each.m_IsAnswering; });
    if (Now < *By - CloseSpare)
      continue;
    for (Call *Each : Calls)
      if (Each->isStream() && !Each->m_IsAnswering && !Each->m_IsMoving &&
          !Each->m_Query.m_Model.empty() && Each->m_Abort)
        Ended.push_back(Each);
  }
  for (Call *Each : Ended) {
    net::log(Event::RequestTakenBack, {{"request", Each->m_Terms.m_AttemptId},
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
      net::log(Event::InstanceSilent,
               {{"instance", Id.m_Text}, {"silentMs", msOf(InstanceSilence)}});
    moveFrom(Id, "instance silent", [](const Call &) { return true; });
  }
  for (const InstanceId &Id : m_Instances.supersededWithRequests())
    moveFrom(Id, "instance restarted", [](const Call &) { return true; });
  m_Silent = std::move(Silent);
  endSilentHandovers(Now);
  for (const auto &[Id, Calls] : m_AtInstance)
    moveFrom(Id, "stream silent", [Now](const Call &Each) {
      return Now - Each.m_Heard > StreamSilence;
    });
}

/// The present instance says nothing, and the next one neither: a third may
/// take the stream, where the route allows it one more run.
void EntryRequests::endSilentHandovers(TimePoint Now) {
  for (const auto &[Number, Each] : m_Calls) {
    const bool IsSilent =
        Each->m_Handover && Now - Each->m_Handover->m_Sent > InstanceSilence;
    if (IsSilent && Each->m_Runs < Each->m_Route->m_Attempts)
      Each->m_Handover->m_Cancel.cancel();
  }
}

/// Seeks places for those streams of an instance for which the condition holds.
template <typename Condition>
void EntryRequests::moveFrom(const InstanceId &Id, const char *Reason,
                             Condition &&Holds) {
  const auto Calls = m_AtInstance.find(Id);
  if (Calls == m_AtInstance.end())
    return;
  for (Call *Each : Calls->second) {
    if (Each->m_IsPlaceSought || !mayMove(*Each) || !Holds(*Each))
      continue;
    Each->m_IsPlaceSought = true;
    asio::co_spawn(m_Io, move(Each->m_Number, Id, Reason), asio::detached);
  }
}

} // namespace deckpitch::direct
