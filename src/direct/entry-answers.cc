// Reading of an instance's answer, and forwarding of it to the caller.
#include "daemon/sleep.h"
#include "direct/entry-call.h"
#include "net/endless-answers.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

/// An answer that has gone on for this long does not crash its instance any
/// more by what its prompt holds.
constexpr milliseconds SoundAfter{500};
/// Within this time of a crash its other connections end here too.
constexpr milliseconds CrashDetectionTime{15};

constexpr unsigned StatusServerError = 500;

} // namespace

/// Charges the buffered part of the answer to the budget of this process.
/// Returns false if that exceeds a bound; the answer counts as lost then, as it
/// may go on without an end.
bool EntryRequests::reserveBuffered(Call &C) {
  if (C.m_Held->hold(C.m_Body.size() + C.m_Events.part().size()))
    return true;
  C.m_ReadError = "the answer exceeds the bound on buffered bytes";
  net::countEndlessAnswer();
  return false;
}

/// Reads the whole answer before any of it is forwarded, so that the request
/// can still be retried elsewhere if the answer breaks off.
asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::readWhole(Call &C, net::HttpStream &Body) {
  C.m_Body.clear();
  while (true) {
    if (C.m_IsEnded)
      co_return AttemptOutcome::Lost;
    const milliseconds Left = C.timeLeft();
    if (Left <= milliseconds::zero()) {
      C.m_ReadError = "the answer does not end in time";
      net::countEndlessAnswer();
      co_return AttemptOutcome::Lost;
    }
    Body.setReadTimeout(Left);
    auto Piece = co_await Body.read();
    if (!Piece) {
      C.m_IsPeerEnd = Piece.error().m_IsPeerEnd;
      C.m_ReadError = Piece.error().m_Message;
      co_return AttemptOutcome::Lost;
    }
    if (Piece->empty())
      break;
    m_Instances.dataReceived(C.m_Instance, now());
    C.m_Body += *Piece;
    if (!reserveBuffered(C))
      co_return AttemptOutcome::Lost;
  }
  C.m_FirstByte = now() - C.m_Start;
  if (C.m_Status >= StatusServerError)
    co_return AttemptOutcome::Failed;
  net::HttpResponse Whole{C.m_Status, C.m_Headers, std::move(C.m_Body)};
  const bool Sent = co_await C.m_Answer.send(std::move(Whole));
  co_return Sent ? AttemptOutcome::Delivered : AttemptOutcome::Gone;
}

/// Returns the complete events received that the caller does not have yet.
std::string EntryRequests::takeNewEvents(Call &C) {
  std::string Ready;
  while (std::optional<StreamEvent> Next = C.m_Events.next()) {
    const bool IsRepeated =
        Next->m_Id && C.m_LastEvent && *Next->m_Id <= *C.m_LastEvent;
    if (IsRepeated)
      continue;
    if (Next->m_Id) {
      C.m_LastEvent = Next->m_Id;
      C.m_LastEventId = std::to_string(*Next->m_Id);
    }
    ++C.m_EventCount;
    Ready += Next->m_Bytes;
  }
  return Ready;
}

/// Writes these events to the caller; false if it has disconnected.
asio::awaitable<bool> EntryRequests::writeNewEvents(Call &C) {
  const std::string Ready = takeNewEvents(C);
  if (Ready.empty())
    co_return true;
  co_return co_await C.m_Answer.write(Ready);
}

/// Whether a stream that its instance has ended was broken off. One that ends
/// inside an event was, whatever its framing. If the end of the connection is
/// its only end, it also was if it has no event at all, or if another
/// connection to the instance breaks off at the same moment: an instance of
/// several processes still accepts connections after one of them has crashed.
asio::awaitable<bool> EntryRequests::endsIncomplete(Call &C) {
  C.m_PartialBytes = C.m_Events.partialBytes();
  if (C.m_PartialBytes > 0)
    co_return true;
  if (C.m_Framing == net::BodyFraming::Delimited)
    co_return false;
  const bool HasEvents = C.m_EventCount > 0 || C.m_Events.hasEvent();
  if (!HasEvents)
    co_return true;
  const TimePoint Ended = now();
  co_await daemon::sleepFor(CrashDetectionTime);
  co_return m_Instances.wasLostSince(C.m_Instance, Ended - CrashDetectionTime);
}

asio::awaitable<EntryRequests::AttemptOutcome>
EntryRequests::forwardEvents(Call &C, net::HttpStream &Body) {
  while (true) {
    const milliseconds Left = C.timeLeft();
    if (C.m_IsEnded || Left <= milliseconds::zero())
      co_return C.m_Answer.started() ? AttemptOutcome::Broken
                                     : AttemptOutcome::Lost;
    Body.setReadTimeout(Left);
    auto Piece = co_await Body.read();
    const bool IsEnd = Piece && Piece->empty();
    bool IsBrokenOff = false;
    if (IsEnd)
      IsBrokenOff = co_await endsIncomplete(C);
    if (IsBrokenOff) {
      C.m_IsPeerEnd = !C.m_IsMoving;
      co_return C.m_Answer.started() ? AttemptOutcome::Broken
                                     : AttemptOutcome::Lost;
    }
    if (Piece && C.m_Handover)
      co_await limitHandover(C, IsEnd);
    // The answer is complete, whatever the other instance has begun.
    if (IsEnd)
      C.m_IsMoving = false;
    if (!Piece) {
      C.m_IsPeerEnd = Piece.error().m_IsPeerEnd && !C.m_IsMoving;
      C.m_ReadError = Piece.error().m_Message;
    }
    if (!Piece || C.m_IsMoving)
      co_return C.m_Answer.started() ? AttemptOutcome::Broken
                                     : AttemptOutcome::Lost;
    m_Instances.dataReceived(C.m_Instance, now());
    C.m_LastActivity = now();
    if (!C.m_IsAnswering)
      recordFirstByte(C);
    if (now() - C.m_AnswerStart > SoundAfter)
      recordSound(C);
    if (!IsEnd)
      C.m_Events.add(*Piece);
    // Before any event is taken: another instance continues after the last one
    // that was.
    if (!reserveBuffered(C))
      co_return C.m_Answer.started() ? AttemptOutcome::Broken
                                     : AttemptOutcome::Lost;
    // Events are held back: the other instance continues after the last one
    // that the caller has.
    if (C.m_Handover)
      continue;
    std::string Ready = takeNewEvents(C);
    if (IsEnd) {
      // Line ends after the last event, if anything.
      Ready += C.m_Events.part();
      C.m_Events.clear();
    }
    if (!Ready.empty() || IsEnd) {
      if (!C.m_Answer.started()) {
        C.m_FirstByte = now() - C.m_Start;
        if (!co_await C.m_Answer.begin(C.m_Status, C.m_Headers))
          co_return AttemptOutcome::Gone;
      }
      if (!co_await C.m_Answer.write(Ready))
        co_return AttemptOutcome::Gone;
    }
    reserveBuffered(C); // The written events are free.
    if (IsEnd)
      co_return co_await C.m_Answer.end() ? AttemptOutcome::Delivered
                                          : AttemptOutcome::Gone;
  }
}

} // namespace deckpitch::direct
