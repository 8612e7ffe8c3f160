// Choice of an instance for a request, from the entry's cached state and the
// answers of the instances' agents.
#include "direct/entry-call.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace deckpitch::direct {

using daemon::now;

namespace {

/// Agents asked for a slot before a request is refused.
constexpr unsigned MaxAskedAgents = 3;
/// Instances that have just restarted are listed and hold weights by then.
constexpr Duration RetryAfterUnconfirmed = std::chrono::milliseconds(2'000);

InstanceChoice unconfirmed(InstanceChoice Choice) {
  Choice.m_Outcome = ChoiceOutcome::Unconfirmed;
  Choice.m_RetryAfter = RetryAfterUnconfirmed;
  return Choice;
}

InstanceChoice outdatedChoice() {
  InstanceChoice Out;
  Out.m_Outcome = ChoiceOutcome::ListOutdated;
  Out.m_RetryAfter = RetryAfterOutdated;
  return Out;
}

} // namespace

/// Applies an answer to the cached state. Returns false if it is about another
/// incarnation of the instance than the listed one.
bool EntryRequests::applyReply(const SlotQuestion &Question,
                               const SlotReply &Reply) {
  if (Reply.m_Report)
    return m_Instances.report(Question.m_Address, *Reply.m_Report, now());
  if (Reply.m_RateLimit)
    m_Instances.rateReported(*Reply.m_RateLimit, now());
  return true;
}

/// Chooses an instance from the cached state and has its grantor confirm the
/// choice: its agent, which sees the requests of all entries, or the entry that
/// counts the requests to an instance that limits them. An instance whose agent
/// does not answer is used only if no agent grants a slot and it has no rate
/// limit: its link is saturated, and requests sent there unconfirmed arrived
/// after 400 to 800 ms.
asio::awaitable<InstanceChoice>
EntryRequests::chooseInstance(ChoiceQuery Query) {
  if (m_ListFreshness().m_IsOutdated)
    co_return outdatedChoice();
  std::optional<InstanceChoice> Unanswered;
  std::optional<InstanceChoice> Refused;
  for (unsigned Asked = 0; Asked < MaxAskedAgents; ++Asked) {
    InstanceChoice Chosen = m_Instances.choose(Query, now());
    if (Chosen.m_Outcome != ChoiceOutcome::Chosen) {
      // This choice leaves out the instances that were asked, but for those
      // that told when they grant the next request.
      const bool IsNewer = Chosen.m_Outcome == ChoiceOutcome::RateLimited &&
                           Refused &&
                           Refused->m_Outcome == ChoiceOutcome::RateLimited;
      if (!Refused || IsNewer)
        Refused = std::move(Chosen);
      break;
    }
    const auto Question =
        m_Instances.slotQuestion(Chosen.m_Instance, Query, now());
    if (!Question)
      co_return Chosen;
    const auto Reply = co_await m_Ask(*Question);
    // This process may have been paused meanwhile.
    if (m_ListFreshness().m_IsOutdated)
      co_return outdatedChoice();
    const bool IsListedLife = Reply && applyReply(*Question, *Reply);
    const bool IsGranted = IsListedLife && Reply->m_IsGranted;
    // A report may have arrived meanwhile, with or without an answer.
    const bool CanTake = m_Instances.canTake(Chosen.m_Instance, Query, now());
    if (IsGranted && CanTake) {
      Chosen.m_GrantedBy = Question->m_Grantor;
      co_return Chosen;
    }
    if (IsListedLife && m_Instances.isAtRateLimit(Chosen.m_Instance, now())) {
      Chosen.m_Outcome = ChoiceOutcome::RateLimited;
      if (!Refused)
        Refused = std::move(Chosen);
      continue;
    }
    Query.m_Full.insert(Chosen.m_Instance);
    if (!Reply)
      m_Instances.unanswered(Chosen.m_Instance, now());
    const bool MayLive = m_Instances.isConfirmed(Chosen.m_Instance, now());
    const bool IsLimited = m_Instances.isRateLimited(Chosen.m_Instance, now());
    if (!Reply && MayLive && CanTake && !IsLimited) {
      if (!Unanswered && Chosen.m_Load < Chosen.m_Limit - Query.m_AskedBeyond)
        Unanswered = std::move(Chosen);
      continue;
    }
    if (!IsListedLife && !IsLimited) {
      if (!Refused)
        Refused = unconfirmed(std::move(Chosen));
      continue;
    }
    Chosen.m_Outcome =
        IsLimited ? ChoiceOutcome::RateLimited : ChoiceOutcome::Full;
    Refused = std::move(Chosen);
  }
  if (Unanswered)
    co_return *std::move(Unanswered);
  if (Refused)
    co_return *std::move(Refused);
  // No agent answered, and the cached state shows all instances as full.
  Query.m_Full.clear();
  Query.m_AskedBeyond = 0;
  InstanceChoice Last = m_Instances.choose(Query, now());
  if (Last.m_Outcome != ChoiceOutcome::Chosen)
    co_return Last;
  if (m_Instances.isRateLimited(Last.m_Instance, now()))
    Last.m_Outcome = ChoiceOutcome::RateLimited;
  else if (!m_Instances.isConfirmed(Last.m_Instance, now()))
    co_return unconfirmed(std::move(Last));
  co_return Last;
}

/// Instances that run other suspected requests: which of two requests crashes
/// instances shows only if they run apart.
std::set<InstanceId>
EntryRequests::instancesOfOtherSuspects(const Call &C) const {
  std::set<InstanceId> Out;
  if (!m_Harmful.isSuspect(C.m_Fingerprints))
    return Out;
  for (const auto &[Id, Numbers] : m_InProgress->m_AtInstance) {
    const auto Calls = m_InProgress->at(Id);
    if (std::any_of(Calls.begin(), Calls.end(), [&](const auto &Each) {
          return Each.get() != &C && m_Harmful.isSuspect(Each->m_Fingerprints);
        }))
      Out.insert(Id);
  }
  return Out;
}

/// Chooses an instance for the next attempt. A stream that the caller has a
/// part of continues with the same weights if any instance still serves them.
asio::awaitable<InstanceChoice> EntryRequests::chooseInstanceFor(Call &C) {
  C.m_Query.m_Avoided = instancesOfOtherSuspects(C);
  if (C.m_EventCount > 0 && C.m_Version != 0) {
    InstanceChoice Same = co_await chooseInstance(queryForRemainder(C));
    if (Same.m_Outcome == ChoiceOutcome::Chosen)
      co_return Same;
  }
  co_return co_await chooseInstance(C.m_Query);
}

} // namespace deckpitch::direct
