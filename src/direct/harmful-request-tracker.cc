#include "direct/harmful-request-tracker.h"

#include "daemon/clock.h"
#include "direct/store-updates.h"
#include "direct/unix-time.h"
#include "net/log.h"

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

/// Suspects in one hello, which must fit into a datagram of 8 KB together with
/// its summary of the store: most have one loss and take 50 bytes, some 350.
constexpr std::size_t MaxHelloSuspects = 100;
constexpr std::size_t MaxHelloSuspectBytes = 5'000;
/// Losses under a part of a prompt after which no request that has the part is
/// repeated: each repeat may cost an instance.
constexpr std::size_t LossesToStopRepeats = 2;
/// Suspects in one stored object: each takes some 150 bytes.
constexpr std::size_t MaxStoredSuspects = 64;
/// Older losses are ignored, which also bounds the effect of a wrong clock.
constexpr std::uint64_t MaxAgeMs =
    std::chrono::milliseconds(std::chrono::hours(1)).count();
constexpr const char *LocalSource = "here";

std::uint64_t microsOf(Duration Length) {
  const auto Count =
      std::chrono::duration_cast<std::chrono::microseconds>(Length).count();
  return static_cast<std::uint64_t>(std::max<std::int64_t>(Count, 0));
}

/// Durations above 24 hours, longer than any loss counts, are cut to 24 hours:
/// a peer may send any number.
Duration fromMicros(std::uint64_t Count) {
  constexpr std::chrono::microseconds MaxLength = std::chrono::hours(24);
  return std::chrono::microseconds(
      std::min<std::uint64_t>(Count, MaxLength.count()));
}

void write(const SuspectRequest &From, TimePoint Now,
           wire::SuspectRequestState &To) {
  To.set_high(From.m_Request.m_High);
  To.set_low(From.m_Request.m_Low);
  To.set_has_control(From.m_HasControl);
  for (const InstanceLoss &Each : From.m_Losses) {
    wire::InstanceLossState &Loss = *To.add_losses();
    Loss.set_instance(Each.m_Instance);
    Loss.set_age_us(microsOf(Now - Each.m_At));
    Loss.set_is_cleared(Each.m_IsCleared);
    Loss.set_is_forgiven(Each.m_IsForgiven);
    Loss.set_is_trial(Each.m_IsTrial);
    Loss.set_lasted_us(microsOf(Each.m_At - Each.m_Sent));
  }
}

SuspectRequest read(const wire::SuspectRequestState &From, TimePoint Now) {
  SuspectRequest Out{{From.high(), From.low()}, {}, From.has_control()};
  for (const wire::InstanceLossState &Each : From.losses()) {
    const TimePoint At = Now - fromMicros(Each.age_us());
    const TimePoint Sent = At - fromMicros(Each.lasted_us());
    Out.m_Losses.push_back({Each.instance(), Sent, At, Each.is_cleared(),
                            Each.is_forgiven(), Each.is_trial()});
  }
  return Out;
}

} // namespace

void HarmfulRequestTracker::recordRefusal(const RequestFingerprint &Request,
                                          const std::string &From) {
  m_Refused.insert(Request);
  const auto Refusal = m_Known.refusalOf({Request}, now());
  const std::size_t Losses =
      Refusal ? Refusal->m_Losses : m_Known.lossCount(Request);
  net::log(Event::RequestHarmful, {{"fingerprint", textOf(Request)},
                                   {"losses", std::uint64_t{Losses}},
                                   {"from", From}});
}

void HarmfulRequestTracker::lost(const RequestFingerprint &Request,
                                 const InstanceId &At, TimePoint Sent,
                                 const std::string &AttemptId,
                                 bool HasControl) {
  const bool IsRefusedNow = m_Known.lost(Request, At, Sent, now(), HasControl);
  net::log(Event::InstanceLostDuringRequest,
           {{"request", AttemptId},
            {"fingerprint", textOf(Request)},
            {"instance", At.m_Text},
            {"losses", std::uint64_t{m_Known.lossCount(Request)}}});
  if (!IsRefusedNow)
    return;
  m_HasNewFinding = true;
  recordRefusal(Request, LocalSource);
}

/// The end of a refusal is announced like its begin: other entries refuse the
/// request until they know.
void HarmfulRequestTracker::clear(const RequestFingerprint &Request) {
  const bool WasRefused = m_Known.refusedUntil(Request, now()).has_value();
  m_Known.answered(Request, now());
  m_HasNewFinding = m_HasNewFinding || WasRefused;
}

void HarmfulRequestTracker::answered(const RequestFingerprint &Request,
                                     const ServiceId &Service) {
  clear(Request);
  m_RecentRequests.add(Service, {Request}, now());
}

void HarmfulRequestTracker::answeredPrompt(
    const ServiceId &Service, const std::vector<PromptPart> &Parts) {
  std::vector<RequestFingerprint> Carried;
  for (const PromptPart &Each : Parts) {
    Carried.push_back(fingerprintOf(Each));
    clear(Carried.back());
  }
  if (!Carried.empty())
    m_RecentPrompts.add(Service, std::move(Carried), now());
}

void HarmfulRequestTracker::lost(const std::vector<RequestFingerprint> &Carried,
                                 const ServiceId &Service, const InstanceId &At,
                                 TimePoint Sent, const std::string &AttemptId) {
  for (const RequestFingerprint &Each : Carried)
    lost(Each, At, Sent, AttemptId, isRare(Service, Each));
}

/// Whether the service answered others lately, and none like this one.
bool HarmfulRequestTracker::isRare(const ServiceId &Service,
                                   const RequestFingerprint &Which) const {
  const RecentAnswers &Compared =
      isPromptPart(Which) ? m_RecentPrompts : m_RecentRequests;
  return Compared.isRare(Service, Which, now());
}

bool HarmfulRequestTracker::beginTrial(
    const std::vector<RequestFingerprint> &Carried) {
  return m_Known.beginTrial(Carried, m_Rank, now());
}

bool HarmfulRequestTracker::isSuspect(
    const std::vector<RequestFingerprint> &Carried) const {
  return std::any_of(Carried.begin(), Carried.end(), [this](const auto &Each) {
    return m_Known.lossCount(Each) > 0;
  });
}

bool HarmfulRequestTracker::hasSuspectPart(
    const std::vector<RequestFingerprint> &Carried) const {
  return std::any_of(Carried.begin(), Carried.end(), [this](const auto &Each) {
    return isPromptPart(Each) && m_Known.lossCount(Each) >= LossesToStopRepeats;
  });
}

std::optional<HarmRefusal> HarmfulRequestTracker::refusalOf(
    const std::vector<RequestFingerprint> &Carried) const {
  return m_Known.refusalOf(Carried, now());
}

void HarmfulRequestTracker::receive(const wire::EntryHello &Received,
                                    const std::string &From) {
  const TimePoint Now = now();
  for (const wire::SuspectRequestState &Each : Received.suspects())
    receive(read(Each, Now), From);
}

void HarmfulRequestTracker::receive(const SuspectRequest &Received,
                                    const std::string &From) {
  const TimePoint Now = now();
  if (!m_Known.receive(Received, Now))
    return;
  // To be announced only if the received losses alone do not show it, so that
  // only this entry has combined them with others.
  HarmfulRequests Alone;
  m_HasNewFinding = m_HasNewFinding || !Alone.receive(Received, Now);
  recordRefusal(Received.m_Request, From);
}

void HarmfulRequestTracker::receive(const std::vector<RefusedRequest> &Stored,
                                    const std::string &From) {
  const std::uint64_t UnixNow = daemon::unixMs();
  for (const RefusedRequest &Each : Stored) {
    // The clock may have been set back since.
    const std::uint64_t AgeMs = UnixNow - std::min(Each.m_LostMs, UnixNow);
    if (AgeMs >= MaxAgeMs)
      continue;
    SuspectRequest Received{Each.m_Request, {}, false};
    TimePoint At = now() - milliseconds(AgeMs);
    for (const std::uint64_t Instance : Each.m_Instances) {
      Received.m_Losses.push_back({Instance, At, At, /*m_IsCleared=*/false});
      At -= milliseconds(1); // Losses count only one after the other.
    }
    receive(Received, From);
  }
}

namespace {

/// The number of losses that refuse a request for that long. Those that overlap
/// or are forgiven count less, and all that are read back count fully.
std::size_t lossesFor(Duration Refused) {
  const auto Periods =
      static_cast<std::size_t>(Refused / HarmfulRequests::RefusalPeriod);
  return HarmfulRequests::LossesToRefuse + std::max<std::size_t>(Periods, 1) -
         1;
}

} // namespace

std::vector<RefusedRequest> HarmfulRequestTracker::toStore() const {
  const TimePoint Now = now();
  const std::uint64_t UnixNow = daemon::unixMs();
  std::vector<RefusedRequest> Out;
  for (const SuspectRequest &Each :
       m_Known.updatesToSend(MaxStoredSuspects, Now)) {
    const auto Until = m_Known.refusedUntil(Each.m_Request, Now);
    if (!Until)
      continue;
    RefusedRequest Stored{Each.m_Request, {}, 0};
    TimePoint LastLoss{};
    for (const InstanceLoss &Loss : Each.m_Losses)
      if (!Loss.m_IsCleared) {
        Stored.m_Instances.push_back(Loss.m_Instance);
        Stored.m_LostMs = std::max(
            Stored.m_LostMs, unixMsOf(Loss.m_At, Now, UnixNow).value_or(0));
        LastLoss = std::max(LastLoss, Loss.m_At);
      }
    const std::size_t Counted = lossesFor(*Until - LastLoss);
    if (Stored.m_Instances.size() > Counted)
      Stored.m_Instances.resize(Counted);
    Out.push_back(std::move(Stored));
  }
  return Out;
}

void HarmfulRequestTracker::addTo(wire::EntryHello &To) const {
  const TimePoint Now = now();
  std::size_t Bytes = 0;
  for (const SuspectRequest &Each :
       m_Known.updatesToSend(MaxHelloSuspects, Now)) {
    wire::SuspectRequestState State;
    write(Each, Now, State);
    Bytes += State.ByteSizeLong();
    if (Bytes > MaxHelloSuspectBytes)
      break;
    *To.add_suspects() = std::move(State);
  }
}

bool HarmfulRequestTracker::takeNewFinding() {
  return std::exchange(m_HasNewFinding, false);
}

void HarmfulRequestTracker::removeExpired() {
  m_Known.forgetOld(now());
  std::erase_if(m_Refused, [this](const RequestFingerprint &Each) {
    if (m_Known.refusedUntil(Each, now()))
      return false;
    net::log(Event::RequestNoLongerRefused, {{"fingerprint", textOf(Each)}});
    return true;
  });
}

} // namespace deckpitch::direct
