#include "direct/place-client.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace deckpitch::direct {

namespace {

using std::chrono::microseconds;

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
/// Several times what a datagram takes to another region and back; a
/// noticeable part of no objective.
constexpr std::chrono::milliseconds AnswerLimit{20};

/// No engine takes so long, nor has so many places: sums of more would pass the
/// end of the clock.
constexpr microseconds MostAsked = std::chrono::hours(1);
constexpr std::uint32_t MostSlots = 100'000;

std::uint64_t usOf(Duration Value) {
  const auto Us = std::chrono::duration_cast<microseconds>(Value).count();
  return Us < 0 ? 0 : static_cast<std::uint64_t>(Us);
}

} // namespace

void write(const PlaceQuery &From, wire::PlaceQuery &To) {
  To.set_slots(From.m_Slots);
  To.set_reserve(From.m_Reserve);
  To.set_between_ends_us(usOf(From.m_BetweenEnds));
  To.set_read_us(usOf(From.m_ReadTime));
  To.set_write_us(usOf(From.m_WriteTime));
  To.set_first_within_us(usOf(From.m_FirstWithin));
}

PlaceQuery read(const wire::PlaceQuery &From) {
  const auto Time = [](std::uint64_t Us) {
    return microseconds(std::min<std::uint64_t>(Us, MostAsked.count()));
  };
  return {std::min(From.slots(), MostSlots),
          From.reserve(),
          Time(From.between_ends_us()),
          Time(From.read_us()),
          Time(From.write_us()),
          Time(From.first_within_us())};
}

asio::awaitable<std::optional<wire::PlaceAnswer>>
PlaceClient::ask(const std::string &Agent, const PlaceQuery &Query) {
  const std::uint64_t Id = ++m_Last;
  const auto At =
      m_Waiting.emplace(Id, Waiting{asio::steady_timer(m_Io, AnswerLimit), {}})
          .first;
  wire::LinkMessage Message;
  wire::PlaceQuery &Asked = *Message.mutable_place_query();
  write(Query, Asked);
  Asked.set_id(Id);
  m_Link.send(Agent, std::move(Message));
  co_await At->second.m_Limit.async_wait(UseAwaitable);
  std::optional<wire::PlaceAnswer> Answer = std::move(At->second.m_Answer);
  m_Waiting.erase(At);
  co_return Answer;
}

void PlaceClient::answered(const wire::PlaceAnswer &Answer) {
  const auto Found = m_Waiting.find(Answer.id());
  // One that comes after its limit: the request has gone its way.
  if (Found == m_Waiting.end())
    return;
  Found->second.m_Answer = Answer;
  Found->second.m_Limit.cancel();
}

} // namespace deckpitch::direct
