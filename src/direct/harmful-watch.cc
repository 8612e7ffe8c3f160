#include "direct/harmful-watch.h"

#include "daemon/clock.h"
#include "direct/store-news.h"
#include "net/log.h"

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

/// In one hello, which has to stay below the 8 KB of a datagram beside what it
/// says of the store: each takes up to 220 bytes.
constexpr std::size_t MostTold = 24;
/// In one object of the store: each takes some 150 bytes.
constexpr std::size_t MostStored = 64;
/// What is older counts no more; also where the time of day was wrong.
constexpr std::uint64_t MostAgeMs =
    std::chrono::milliseconds(std::chrono::hours(1)).count();
constexpr const char *FoundHere = "here";

std::uint64_t microsOf(Duration Length) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::microseconds>(Length).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(Count, 0));
}

/// What is older than any loss that counts is told as just that old, also where
/// a number that cannot be came over the link.
Duration fromMicros(std::uint64_t Count) {
  constexpr std::chrono::microseconds Most = std::chrono::hours(24);
  return std::chrono::microseconds(
      std::min<std::uint64_t>(Count, Most.count()));
}

void write(const SuspectRequest &From, TimePoint Now,
           wire::SuspectRequestState &To) {
  To.set_high(From.m_Request.m_High);
  To.set_low(From.m_Request.m_Low);
  for (const InstanceLoss &Each : From.m_Losses) {
    wire::InstanceLossState &Loss = *To.add_losses();
    Loss.set_instance(Each.m_Instance);
    Loss.set_age_us(microsOf(Now - Each.m_At));
    Loss.set_is_cleared(Each.m_IsCleared);
    Loss.set_lasted_us(microsOf(Each.m_At - Each.m_Sent));
  }
}

SuspectRequest read(const wire::SuspectRequestState &From, TimePoint Now) {
  SuspectRequest Out{{From.high(), From.low()}, {}};
  for (const wire::InstanceLossState &Each : From.losses()) {
    const TimePoint At = Now - fromMicros(Each.age_us());
    const TimePoint Sent = At - fromMicros(Each.lasted_us());
    Out.m_Losses.push_back({Each.instance(), Sent, At, Each.is_cleared()});
  }
  return Out;
}

} // namespace

void HarmfulWatch::noteRefused(const RequestFingerprint &Request,
                               const std::string &From) {
  m_Refused.insert(Request);
  net::log(Event::RequestHarmful,
           {{"fingerprint", textOf(Request)},
            {"losses", std::uint64_t{m_Known.lossesOf(Request)}},
            {"from", From}});
}

void HarmfulWatch::lost(const RequestFingerprint &Request, const InstanceId &At,
                        TimePoint Sent, const std::string &AttemptId) {
  const bool IsRefusedNow = m_Known.lost(Request, At, Sent, now());
  net::log(Event::InstanceLostUnder,
           {{"request", AttemptId},
            {"fingerprint", textOf(Request)},
            {"instance", At.m_Text},
            {"losses", std::uint64_t{m_Known.lossesOf(Request)}}});
  if (!IsRefusedNow)
    return;
  m_IsFound = true;
  noteRefused(Request, FoundHere);
}

void HarmfulWatch::answered(const RequestFingerprint &Request) {
  m_Known.answered(Request, now());
}

std::optional<Duration>
HarmfulWatch::refusedFor(const RequestFingerprint &Request) const {
  const TimePoint Now = now();
  const auto Until = m_Known.refusedUntil(Request, Now);
  if (!Until)
    return std::nullopt;
  return *Until - Now;
}

void HarmfulWatch::hear(const wire::EntryHello &Told, const std::string &From) {
  const TimePoint Now = now();
  for (const wire::SuspectRequestState &Each : Told.suspects())
    hear(read(Each, Now), From);
}

void HarmfulWatch::hear(const SuspectRequest &Told, const std::string &From) {
  const TimePoint Now = now();
  if (!m_Known.hear(Told, Now))
    return;
  // Only here what several have seen is put together.
  HarmfulRequests Alone;
  m_IsFound = m_IsFound || !Alone.hear(Told, Now);
  noteRefused(Told.m_Request, From);
}

void HarmfulWatch::hear(const std::vector<RefusedRequest> &Stored,
                        const std::string &From) {
  const std::uint64_t UnixNow = daemon::unixMs();
  for (const RefusedRequest &Each : Stored) {
    // The clock may have been set back since.
    const std::uint64_t AgeMs = UnixNow - std::min(Each.m_LostMs, UnixNow);
    if (AgeMs >= MostAgeMs)
      continue;
    SuspectRequest Told{Each.m_Request, {}};
    TimePoint At = now() - milliseconds(AgeMs);
    for (const std::uint64_t Instance : Each.m_Instances) {
      Told.m_Losses.push_back({Instance, At, At, /*m_IsCleared=*/false});
      At -= milliseconds(1); // They were one after the other.
    }
    hear(Told, From);
  }
}

std::vector<RefusedRequest> HarmfulWatch::toStore() const {
  const TimePoint Now = now();
  const std::uint64_t UnixNow = daemon::unixMs();
  std::vector<RefusedRequest> Out;
  for (const SuspectRequest &Each : m_Known.toTell(MostStored, Now)) {
    if (!m_Known.refusedUntil(Each.m_Request, Now))
      continue;
    RefusedRequest Stored{Each.m_Request, {}, 0};
    for (const InstanceLoss &Loss : Each.m_Losses)
      if (!Loss.m_IsCleared) {
        Stored.m_Instances.push_back(Loss.m_Instance);
        Stored.m_LostMs =
            std::max(Stored.m_LostMs, UnixNow - ageMs(Loss.m_At, Now));
      }
    Out.push_back(std::move(Stored));
  }
  return Out;
}

void HarmfulWatch::tell(wire::EntryHello &To) const {
  const TimePoint Now = now();
  for (const SuspectRequest &Each : m_Known.toTell(MostTold, Now))
    write(Each, Now, *To.add_suspects());
}

bool HarmfulWatch::takeFound() { return std::exchange(m_IsFound, false); }

void HarmfulWatch::tidy() {
  m_Known.forgetOld(now());
  std::erase_if(m_Refused, [this](const RequestFingerprint &Each) {
    if (isRefused(Each))
      return false;
    net::log(Event::RequestNoLongerRefused, {{"fingerprint", textOf(Each)}});
    return true;
  });
}

} // namespace deckpitch::direct
