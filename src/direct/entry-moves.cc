// Streams that go on at another instance while theirs still has them: because
// it hangs, or because it is about to load other weights.
#include "direct/entry-call.h"
#include "net/log.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

namespace deckpitch::direct {

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
/// later, while its other places stand empty.
constexpr milliseconds SwapPatience{200};

} // namespace

/// Ends the attempt that is under way if the request can go on elsewhere. One
/// that cannot is left where it is: silence alone ends no answer.
bool EntryRequests::tryMove(Call &Of, ChoiceQuery Query, TimePoint Now) {
  const bool MayMove = Of.isStream() && Of.isRepeatable() && !Of.m_IsMoving &&
                       !Of.m_IsGone && Of.m_Abort && Of.hasAttemptsLeft();
  if (!MayMove)
    return false;
  Query.m_Tried.insert(Of.m_Instance);
  // It was admitted already: others are not to be preferred to it.
  Query.m_Reserve = 0;
  // Nobody is asked.
  Query.m_AskedBeyond = 0;
  const InstanceChoice Chosen = m_Instances.choose(Query, Now);
  if (Chosen.m_Outcome != ChoiceOutcome::Chosen ||
      !budgetOf(Of.m_Query.m_Service).withdraw())
    return false;
  Of.m_IsMoving = true;
  Of.m_Next = Chosen;
  Of.abort();
  return true;
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
    moveFrom(Id, "instance swaps weights", Now,
             [](const Call &Each) { return Each.m_IsAnswering; });
}

void EntryRequests::checkSilence(TimePoint Now) {
  std::set<InstanceId> Silent;
  for (const InstanceId &Id : m_Instances.silentFor(InstanceSilence, Now)) {
    Silent.insert(Id);
    if (!m_Silent.contains(Id))
      net::log(Event::InstanceSilent,
               {{"instance", Id.m_Text}, {"silentMs", msOf(InstanceSilence)}});
    moveFrom(Id, "instance silent", Now, [](const Call &) { return true; });
  }
  m_Silent = std::move(Silent);
  std::vector<InstanceId> Used;
  for (const auto &[Id, Calls] : m_AtInstance)
    Used.push_back(Id);
  for (const InstanceId &Id : Used)
    moveFrom(Id, "stream silent", Now, [Now](const Call &Each) {
      return Now - Each.m_Heard > StreamSilence;
    });
}

/// Moves those streams of an instance for which the condition holds.
template <typename Condition>
void EntryRequests::moveFrom(const InstanceId &Id, const char *Reason,
                             TimePoint Now, Condition &&Holds) {
  const auto Calls = m_AtInstance.find(Id);
  if (Calls == m_AtInstance.end())
    return;
  // Moving ends attempts, which changes the set. Plain services answer once, at
  // the end: silence says nothing there.
  std::vector<Call *> Due;
  for (Call *Each : Calls->second)
    if (Each->isStream() && !Each->m_IsMoving && Holds(*Each))
      Due.push_back(Each);
  std::uint64_t Moved = 0;
  for (Call *Each : Due)
    Moved += tryMove(*Each, queryForRest(*Each), Now) ? 1 : 0;
  // Those that cannot move are looked at again: not a line for each look.
  if (Moved > 0)
    net::log(Event::StreamsMoved, {{"instance", Id.m_Text},
                                   {"reason", Reason},
                                   {"streams", std::uint64_t{Due.size()}},
                                   {"moved", Moved}});
}

} // namespace deckpitch::direct
