#include "daemon/resources-write.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

constexpr int MaxAttempts = 4;
constexpr std::chrono::milliseconds ReadBackDelay{100};

using Kind = WriteOutcome::Kind;

asio::awaitable<Outcome<Revision>> writeOnce(net::Platform &At,
                                             const WriteRequest &Request) {
  // Arguments are named objects because GCC 12 destroys temporaries in a
  // co_await expression twice.
  std::string Kind = Request.m_Kind;
  std::string Name = Request.m_Name;
  if (!Request.m_Json) {
    const Revision Seen = *Request.m_Expected;
    co_return co_await At.remove(std::move(Kind), std::move(Name), Seen);
  }
  std::string Json = *Request.m_Json;
  if (!Request.m_Expected)
    co_return co_await At.create(std::move(Kind), std::move(Name),
                                 std::move(Json));
  net::PlatformObject Object{std::move(Kind), std::move(Name),
                             *Request.m_Expected, std::move(Json)};
  co_return co_await At.update(std::move(Object));
}

/// Compares JSON values regardless of key order, which the platform may change.
bool sameJson(const std::string &A, const std::string &B) {
  boost::json::error_code Ec;
  const boost::json::value Left = boost::json::parse(A, Ec);
  if (Ec)
    return false;
  const boost::json::value Right = boost::json::parse(B, Ec);
  return !Ec && Left == Right;
}

/// Determines the outcome of a write from the object read back. Returns nullopt
/// if the read shows no outcome, so the write may be repeated.
std::optional<WriteOutcome>
outcomeOfReadBack(const WriteRequest &Request,
                  const Outcome<net::PlatformObject> &Read) {
  if (!Read) {
    const bool Absent = Read.error().m_Code == ErrorCode::NotFound;
    if (Absent && !Request.m_Json)
      return WriteOutcome{Kind::Done, {}, {}, {}};
    if (Absent && Request.m_Expected)
      return WriteOutcome{Kind::Conflict, {}, {}, "the object is gone"};
    return std::nullopt;
  }
  if (Request.m_Json && sameJson(Read->m_Json, *Request.m_Json))
    return WriteOutcome{Kind::Done, Read->m_Revision, {}, {}};
  if (Request.m_Expected && Read->m_Revision <= *Request.m_Expected)
    return std::nullopt; // unchanged, or a stale read
  return WriteOutcome{Kind::Conflict, {}, *Read, "the object has changed"};
}

} // namespace

asio::awaitable<WriteOutcome> writeWithReadBack(net::Platform &At,
                                                WriteRequest Request) {
  asio::steady_timer Timer(co_await asio::this_coro::executor);
  bool MayHaveWritten = false;
  std::string Reason;
  for (int Attempt = 0; Attempt < MaxAttempts; ++Attempt) {
    const auto Wrote = co_await writeOnce(At, Request);
    if (Wrote)
      co_return WriteOutcome{Kind::Done, *Wrote, {}, {}};
    const ErrorCode Code = Wrote.error().m_Code;
    Reason = Wrote.error().m_Message;
    if (Code == ErrorCode::InvalidInput)
      co_return WriteOutcome{Kind::NotDone, {}, {}, Reason};
    if (Code == ErrorCode::Unavailable && !MayHaveWritten)
      co_return WriteOutcome{Kind::NotDone, {}, {}, Reason};
    MayHaveWritten = MayHaveWritten || Code == ErrorCode::Timeout;
    if (Code == ErrorCode::Timeout) {
      Timer.expires_after(ReadBackDelay);
      co_await Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    const auto Read = co_await At.get(Request.m_Kind, Request.m_Name);
    const std::optional<WriteOutcome> Known = outcomeOfReadBack(Request, Read);
    if (Known)
      co_return *Known;
    const bool ReadFailed = !Read && Read.error().m_Code != ErrorCode::NotFound;
    if (ReadFailed)
      Reason = Read.error().m_Message;
  }
  co_return WriteOutcome{
      MayHaveWritten ? Kind::Unknown : Kind::NotDone, {}, {}, Reason};
}

} // namespace deckpitch::daemon
