#include "direct/slot-client.h"

#include "daemon/clock.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace deckpitch::direct {

namespace {

using std::chrono::microseconds;

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
/// Several times the round trip of a datagram to another region, and negligible
/// against any latency objective.
constexpr std::chrono::milliseconds AnswerTimeout{20};

/// Upper bounds on received values, beyond those of any engine: sums of larger
/// times would overflow the clock.
constexpr microseconds MaxTime = std::chrono::hours(1);
constexpr std::uint32_t MaxSlots = 100'000;
/// Bound on the reported time until the next request: longer than at the lowest
/// rate that is granted.
constexpr Duration MaxNextIn = std::chrono::seconds(10);

std::uint64_t microsOf(Duration Value) {
  const auto Us = std::chrono::duration_cast<microseconds>(Value).count();
  return Us < 0 ? 0 : static_cast<std::uint64_t>(Us);
}

} // namespace

void write(const PlaceQuery &From, wire::PlaceQuery &To) {
  To.set_slots(From.m_Slots);
  To.set_reserve(From.m_Reserve);
  To.set_between_ends_us(microsOf(From.m_CompletionInterval));
  To.set_read_us(microsOf(From.m_ReadTime));
  To.set_write_us(microsOf(From.m_WriteTime));
  To.set_first_within_us(microsOf(From.m_FirstWithin));
}

PlaceQuery read(const wire::PlaceQuery &From) {
  const auto Time = [](std::uint64_t Us) {
    return microseconds(std::min<std::uint64_t>(Us, MaxTime.count()));
  };
  return {std::min(From.slots(), MaxSlots),
          From.reserve(),
          Time(From.between_ends_us()),
          Time(From.read_us()),
          Time(From.write_us()),
          Time(From.first_within_us())};
}

void write(const RateLimitReport &From, TimePoint Now,
           wire::RateLimitState &To) {
  const RateObservation &Newest = From.m_Newest;
  To.set_instance(From.m_Instance.m_Text);
  if (Newest.m_PerSecond)
    To.set_per_second(*Newest.m_PerSecond);
  To.set_sent_age_us(microsOf(Now - Newest.m_Sent));
  To.set_answered_age_us(microsOf(Now - Newest.m_Answered));
  To.set_next_in_us(microsOf(From.m_NextIn));
  To.set_is_first_hand(From.m_IsFirstHand);
}

std::optional<RateLimitReport> read(const wire::RateLimitState &From,
                                    TimePoint Now) {
  const auto Time = [](std::uint64_t Us) -> Duration {
    return microseconds(std::min<std::uint64_t>(Us, MaxTime.count()));
  };
  RateLimitReport Out;
  Out.m_Instance = {From.instance()};
  if (From.has_per_second()) {
    const bool IsRate =
        std::isfinite(From.per_second()) && From.per_second() >= 0;
    if (!IsRate)
      return std::nullopt;
    Out.m_Newest.m_PerSecond = From.per_second();
  }
  Out.m_Newest.m_Sent = Now - Time(From.sent_age_us());
  Out.m_Newest.m_Answered =
      std::max(Now - Time(From.answered_age_us()), Out.m_Newest.m_Sent);
  Out.m_IsFirstHand = From.is_first_hand();
  Out.m_NextIn = std::min(Time(From.next_in_us()), MaxNextIn);
  return Out;
}

void write(const ColdStartLimit &From, wire::ColdStartState &To) {
  To.set_per_second(From.m_PerSecond);
  To.set_burst(From.m_Burst);
  To.set_left_us(microsOf(From.m_Left));
}

std::optional<ColdStartLimit> read(const wire::ColdStartState &From) {
  const auto IsCount = [](double Value) {
    return std::isfinite(Value) && Value >= 0;
  };
  if (!IsCount(From.per_second()) || !IsCount(From.burst()))
    return std::nullopt;
  const auto Left =
      microseconds(std::min<std::uint64_t>(From.left_us(), MaxTime.count()));
  return ColdStartLimit{From.per_second(), From.burst(), Left};
}

asio::awaitable<std::optional<wire::PlaceAnswer>>
SlotClient::ask(const std::string &Grantor, const SlotQuestion &Question) {
  const std::uint64_t Id = ++m_LastId;
  const auto At =
      m_Waiting
          .emplace(Id, Waiting{asio::steady_timer(m_Io, AnswerTimeout), {}})
          .first;
  wire::LinkMessage Message;
  wire::PlaceQuery &Asked = *Message.mutable_place_query();
  write(Question.m_Place, Asked);
  Asked.set_id(Id);
  Asked.set_instance(Question.m_Instance.m_Text);
  if (Question.m_RateLimit)
    write(*Question.m_RateLimit, daemon::now(), *Asked.mutable_rate_limit());
  if (Question.m_ColdStart)
    write(*Question.m_ColdStart, *Asked.mutable_cold());
  m_Link.send(Grantor, std::move(Message));
  co_await At->second.m_Limit.async_wait(UseAwaitable);
  std::optional<wire::PlaceAnswer> Answer = std::move(At->second.m_Answer);
  m_Waiting.erase(At);
  co_return Answer;
}

void SlotClient::answered(const wire::PlaceAnswer &Answer) {
  const auto Found = m_Waiting.find(Answer.id());
  // The answer arrived after the timeout; the request no longer waits for it.
  if (Found == m_Waiting.end())
    return;
  Found->second.m_Answer = Answer;
  Found->second.m_Limit.cancel();
}

} // namespace deckpitch::direct
