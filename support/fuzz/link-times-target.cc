// Times in messages between entries and agents: whatever they say, reckoning
// with them is defined.
#include "deckpitch/link-delay.h"
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

/// When an input begins; any moment does.
constexpr TimePoint Begin{std::chrono::hours(1)};
/// Between two messages.
constexpr Duration Step = milliseconds(400);

/// As an entry takes a message of another.
void checkAge(LinkDelay &Delay, const wire::LinkMessage &Message,
              TimePoint Now) {
  const Duration Late =
      Delay.note(Message.incarnation(), microseconds(Message.sent_us()), Now);
  require(Late >= Duration::zero(), "nothing comes before the quickest");
  const wire::WeightsNews &News = Message.news().weights();
  const auto AsOf = asOfReport(
      {milliseconds(News.age_ms()), Late, true, News.is_relayed()}, Now);
  require(!AsOf || *AsOf <= Now, "nothing is told from the future");
}

void checkQuestion(SlotLedger &Places, const wire::PlaceQuery &Asked,
                   TimePoint Now) {
  const PlaceQuery Query = direct::read(Asked);
  require(std::min({Query.m_CompletionInterval, Query.m_ReadTime,
                    Query.m_WriteTime, Query.m_FirstWithin}) >=
              Duration::zero(),
          "no time that is asked for is negative");
  wire::PlaceQuery Again;
  direct::write(Query, Again);
  // What is no number is equal to nothing.
  require(std::isnan(Query.m_Reserve) || direct::read(Again) == Query,
          "a question reads to the same value once written again");
  const std::uint32_t Before = Places.held();
  const bool IsGranted = Places.grant(Query, Now);
  require(Places.held() == Before + (IsGranted ? 1 : 0),
          "what is granted is counted, and nothing else");
}

} // namespace

void fuzzLinkTimes(Bytes Input) {
  LinkDelay Delay;
  SlotLedger Places;
  TimePoint Now = Begin;
  for (const wire::LinkMessage &Message : messagesIn(Input)) {
    checkAge(Delay, Message, Now);
    if (Message.has_state())
      Places.reported(Message.state().running(), Now);
    checkQuestion(Places, Message.place_query(), Now);
    Now += Step;
  }
}

} // namespace deckpitch::fuzz
