// Times in messages between entries and agents: arithmetic on them has no
// undefined behaviour for any value.
#include "deckpitch/link-delay.h"
#include "deckpitch/rate-limit.h"
#include "deckpitch/shared-reading.h"
#include "deckpitch/slot-ledger.h"
#include "direct/slot-client.h"
#include "fuzz/check.h"
#include "fuzz/link-messages.h"
#include "fuzz/targets.h"

#include <algorithm>
#include <cmath>

namespace deckpitch::fuzz {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Time of the first message; the value is arbitrary.
constexpr TimePoint Begin{std::chrono::hours(1)};
/// Time between two messages.
constexpr Duration Step = milliseconds(400);

/// Computes the age of an update as an entry does that receives it.
void checkAge(LinkDelay &Delay, const wire::LinkMessage &Message,
              TimePoint Now) {
  const Duration ExtraDelay =
      Delay.note(Message.incarnation(), microseconds(Message.sent_us()), Now);
  require(ExtraDelay >= Duration::zero(),
          "the extra delay over the fastest message is not negative");
  const wire::WeightsNews &News = Message.news().weights();
  const auto AsOf = asOfReport(
      {milliseconds(News.age_ms()), ExtraDelay, true, News.is_relayed()}, Now);
  require(!AsOf || *AsOf <= Now, "no reported reading is in the future");
}

void checkSlotQuery(SlotLedger &Ledger, const wire::PlaceQuery &Received,
                    TimePoint Now) {
  const PlaceQuery Query = direct::read(Received);
  require(std::min({Query.m_CompletionInterval, Query.m_ReadTime,
                    Query.m_WriteTime, Query.m_FirstWithin}) >=
              Duration::zero(),
          "no time in a slot query is negative");
  wire::PlaceQuery Again;
  direct::write(Query, Again);
  // NaN compares unequal to itself.
  require(std::isnan(Query.m_Reserve) || direct::read(Again) == Query,
          "a slot query survives a round trip");
  const std::uint32_t Before = Ledger.held();
  const bool IsGranted = Ledger.grant(Query, Now);
  require(Ledger.held() == Before + (IsGranted ? 1 : 0),
          "exactly the granted slots are counted as held");
}

void checkColdStart(ColdStartGrants &Grants, const wire::ColdStartState &State,
                    TimePoint Now) {
  const auto Received = direct::read(State);
  if (!Received)
    return;
  require(Received->m_PerSecond >= 0 && Received->m_Burst >= 0 &&
              Received->m_Left >= Duration::zero(),
          "no limit of a cold instance is negative");
  wire::ColdStartState Again;
  direct::write(*Received, Again);
  require(direct::read(Again) == Received,
          "a limit of a cold instance survives a round trip");
  Grants.note(*Received, Now);
  if (Grants.canTake(Now))
    Grants.take();
}

void checkRateLimit(CountedRateLimit &Limit, const wire::RateLimitState &State,
                    TimePoint Now) {
  const auto Received = direct::read(State, Now);
  if (!Received)
    return;
  require(Received->m_Newest.m_Sent <= Received->m_Newest.m_Answered &&
              Received->m_Newest.m_Answered <= Now,
          "an answer arrived after its request was sent, and in the past");
  Limit.note(*Received, Now);
  const double PerSecond = Limit.perSecond().value_or(0);
  require(std::isfinite(PerSecond) && PerSecond >= 0,
          "a rate limit is a number of requests");
  require(Limit.timeUntilNext(Now) <= std::chrono::seconds(4),
          "a request is granted now and then at any limit");
}

} // namespace

void fuzzLinkTimes(Bytes Input) {
  LinkDelay Delay;
  SlotLedger Ledger;
  CountedRateLimit Limit(Begin);
  ColdStartGrants ColdStart(Begin);
  TimePoint Now = Begin;
  for (const wire::LinkMessage &Message : messagesIn(Input)) {
    checkAge(Delay, Message, Now);
    if (Message.has_state())
      Ledger.reported(Message.state().running(), Now);
    checkSlotQuery(Ledger, Message.place_query(), Now);
    checkColdStart(ColdStart, Message.place_query().cold(), Now);
    checkRateLimit(Limit, Message.place_query().rate_limit(), Now);
    checkRateLimit(Limit, Message.state().rate_limit(), Now);
    Now += Step;
  }
}

} // namespace deckpitch::fuzz
