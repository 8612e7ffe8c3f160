// The choice of an instance for a request, by what is known here and by what
// the agent beside it says.
#include "direct/entry-call.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace deckpitch::direct {

using daemon::now;

namespace {

/// Agents that are asked for a place before a request is refused.
constexpr unsigned MostAsked = 3;
/// Instances that have just started are listed anew and have weights by then.
constexpr Duration RetryAfterUnconfirmed = std::chrono::milliseconds(2'000);

InstanceChoice unconfirmed(InstanceChoice Of) {
  Of.m_Outcome = ChoiceOutcome::Unconfirmed;
  Of.m_RetryAfter = RetryAfterUnconfirmed;
  return Of;
}

InstanceChoice outdatedChoice() {
  InstanceChoice Out;
  Out.m_Outcome = ChoiceOutcome::ListOutdated;
  Out.m_RetryAfter = RetryAfterOutdated;
  return Out;
}

} // namespace

/// Chooses by what is known here, and has the choice confirmed by the agent
/// beside the instance, which knows what all entries send. One whose agent
/// does not answer is passed over while others do: its link is full, and what
/// was sent there unasked came after 400 to 800 ms.
asio::awaitable<InstanceChoice> EntryRequests::choosePlace(ChoiceQuery Query) {
  if (m_ListBelief().m_IsOutdated)
    co_return outdatedChoice();
  std::optional<InstanceChoice> Unanswered;
  std::optional<InstanceChoice> Refused;
  for (unsigned Asked = 0; Asked < MostAsked; ++Asked) {
    InstanceChoice Chosen = m_Instances.choose(Query, now());
    if (Chosen.m_Outcome != ChoiceOutcome::Chosen) {
      // Those that were asked are not looked at again.
      if (!Refused)
        Refused = std::move(Chosen);
      break;
    }
    const auto Place = m_Instances.placeQuery(Chosen.m_Instance, Query, now());
    if (!Place)
      co_return Chosen;
    const auto Reply = co_await m_Ask(Chosen.m_Address, *Place);
    // This process may have stood still meanwhile.
    if (m_ListBelief().m_IsOutdated)
      co_return outdatedChoice();
    const bool IsListedLife =
        Reply && m_Instances.report(Chosen.m_Address, Reply->m_Report, now());
    if (IsListedLife && Reply->m_IsGranted)
      co_return Chosen;
    Query.m_Full.insert(Chosen.m_Instance);
    if (!Reply)
      m_Instances.unanswered(Chosen.m_Instance, now());
    const bool MayLive = m_Instances.isConfirmed(Chosen.m_Instance, now());
    if (!Reply && MayLive) {
      if (!Unanswered && Chosen.m_Load < Chosen.m_Limit - Query.m_AskedBeyond)
        Unanswered = std::move(Chosen);
      continue;
    }
    if (!IsListedLife) {
      Refused = unconfirmed(std::move(Chosen));
      continue;
    }
    Chosen.m_Outcome = ChoiceOutcome::Full;
    Refused = std::move(Chosen);
  }
  if (Unanswered)
    co_return *std::move(Unanswered);
  if (Refused)
    co_return *std::move(Refused);
  // No agent answered, and all are believed full.
  Query.m_Full.clear();
  Query.m_AskedBeyond = 0;
  InstanceChoice Last = m_Instances.choose(Query, now());
  const bool IsUnconfirmed = Last.m_Outcome == ChoiceOutcome::Chosen &&
                             !m_Instances.isConfirmed(Last.m_Instance, now());
  if (IsUnconfirmed)
    co_return unconfirmed(std::move(Last));
  co_return Last;
}

/// Which of two requests crashes instances shows only where they run apart.
std::set<InstanceId>
EntryRequests::placesOfOtherSuspects(const Call &Than) const {
  std::set<InstanceId> Out;
  if (!m_Harmful.isSuspect(Than.m_Fingerprint))
    return Out;
  for (const auto &[Id, Calls] : m_AtInstance)
    if (std::any_of(Calls.begin(), Calls.end(), [&](const Call *Each) {
          return Each != &Than && m_Harmful.isSuspect(Each->m_Fingerprint);
        }))
      Out.insert(Id);
  return Out;
}

/// A stream of which the caller has a part goes on with the same weights where
/// anybody still serves them.
asio::awaitable<InstanceChoice> EntryRequests::choosePlaceFor(Call &Of) {
  Of.m_Query.m_Avoided = placesOfOtherSuspects(Of);
  if (Of.m_EventCount > 0 && Of.m_Version != 0) {
    InstanceChoice Same = co_await choosePlace(queryForRest(Of));
    if (Same.m_Outcome == ChoiceOutcome::Chosen)
      co_return Same;
  }
  co_return co_await choosePlace(Of.m_Query);
}

} // namespace deckpitch::direct
