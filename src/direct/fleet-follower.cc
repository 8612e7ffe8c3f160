#include "direct/fleet-follower.h"

#include "daemon/clock.h"
#include "deckpitch/back-off.h"
#include "direct/store-news.h"
#include "net/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
/// Retries of a store that is away: short, since what is declared meanwhile is
/// to be in force within the same two seconds, and calls are counted.
constexpr Duration LongestRetry = milliseconds(700);
/// Lists of instances in the time that a leaving one still takes calls.
constexpr int ListsPerDrain = 4;
/// Of the time in which a change is to be in force: an entry relies that long
/// on others' reading. The rest is for the turns and for its own read. Above
/// the time of one watch, so that the first entry confirms in time.
constexpr double RelianceShare = 0.42;
/// The store was away for all if nobody read it for longer, or this entry has
/// just started: what was declared meanwhile counts from when it is heard. Else
/// all instances were past the bound of a version at the moment at which the
/// store returned and named it.
constexpr Duration LongestUnread = milliseconds(1'500);
/// What a read and its news to the entries beside take on a sound link. A new
/// declaration takes longer over one that is busy; then several of a data
/// centre read it, and not all.
constexpr Duration TurnStep = milliseconds(150);
/// Above the time of all reads that go well.
constexpr Duration StaleMargin = milliseconds(560);
/// Reads that take longer than this part of their bound are logged: links or
/// the store are so slow that the bound may be missed.
constexpr int SlowReadPart = 8;
/// The entries of a data centre after the fifth read together.
constexpr Duration LastTurn = milliseconds(600);
/// In the log, where a declaration came from.
const std::string FromStore = "store";

Duration reliance(Duration Bound) {
  return Duration(static_cast<Duration::rep>(
      RelianceShare * static_cast<double>(Bound.count())));
}

ReadingPlan planFor(Duration Bound, Duration Every) {
  const Duration TakeOver = reliance(Bound);
  return {Every, TakeOver, TurnStep, LastTurn, TakeOver + StaleMargin};
}

std::uint32_t ageMs(TimePoint Since) { return direct::ageMs(Since, now()); }

std::size_t bytesOf(const net::PlatformList &Of) {
  std::size_t Sum = 0;
  for (const net::PlatformObject &Each : Of.m_Items)
    Sum += Each.m_Json.size();
  return Sum;
}

std::uint32_t ageMs(const SharedReading &Of) { return ageMs(Of.asOf()); }

} // namespace

FleetFollower::FleetFollower(asio::io_context &Io, net::HttpClient &Http,
                             net::Platform &Store, const FleetAdapter &Adapter,
                             FollowerBounds Bounds, Callbacks Calls,
                             StoreRelay *Relay)
    : m_Io(Io), m_Http(Http), m_Store(Store), m_Adapter(Adapter),
      m_Bounds(Bounds), m_Calls(std::move(Calls)), m_Relay(Relay),
      m_Kinds(Adapter.kinds()),
      m_Declarations{
          m_Kinds.m_Declarations,
          SharedReading(planFor(Bounds.m_Apply, reliance(Bounds.m_Apply) / 2)),
          {},
          asio::steady_timer(Io),
          false,
          [this](const net::PlatformObject &Object) {
            applyDeclaration(Object, FromStore);
          },
          [this](wire::StoreNews &News) {
            wire::DeclarationNews &Told = *News.mutable_declaration();
            Told.set_version(m_Version);
            Told.set_revision(m_Declarations.m_Seen.m_Value);
            Told.set_age_ms(ageMs(m_Declarations.m_Reading));
            Told.set_is_relayed(m_Declarations.m_Reading.isRelayed());
          },
          [this] { return fetchTold(); }},
      m_WeightVersions{
          m_Kinds.m_Weights,
          SharedReading(planFor(Bounds.m_Apply, reliance(Bounds.m_Apply) / 2)),
          {},
          asio::steady_timer(Io),
          false,
          [this](const net::PlatformObject &Object) { applyWeights(Object); },
          [this](wire::StoreNews &News) {
            wire::WeightsNews &Told = *News.mutable_weights();
            for (const auto &[Model, Each] : m_Weights)
              write(Each, now(), *Told.add_declared());
            Told.set_revision(m_WeightVersions.m_Seen.m_Value);
            Told.set_age_ms(ageMs(m_WeightVersions.m_Reading));
            Told.set_is_relayed(m_WeightVersions.m_Reading.isRelayed());
          },
          nullptr},
      m_Instances(planFor(Bounds.m_Drain, Bounds.m_Drain / ListsPerDrain)),
      m_InstancesWake(Io) {}

void FleetFollower::start() {
  asio::co_spawn(m_Io, follow(m_Declarations), asio::detached);
  asio::co_spawn(m_Io, follow(m_WeightVersions), asio::detached);
  asio::co_spawn(m_Io, pollInstances(), asio::detached);
}

void FleetFollower::stop() {
  m_Stopped = true;
  m_Declarations.m_Wake.cancel();
  m_WeightVersions.m_Wake.cancel();
  m_InstancesWake.cancel();
}

void FleetFollower::setTurn(ReadingTurn Turn) {
  m_Declarations.m_Reading.setTurn(Turn);
  m_WeightVersions.m_Reading.setTurn(Turn);
  m_Instances.setTurn(Turn);
}

asio::awaitable<void> FleetFollower::pause(Duration Length) {
  asio::steady_timer Timer(m_Io, Length);
  co_await Timer.async_wait(UseAwaitable);
}

/// Until this entry is to read. News that confirms puts that off; news of a
/// change cancels the timer.
asio::awaitable<void> FleetFollower::untilDue(SharedReading &Reading,
                                              asio::steady_timer &Wake) {
  while (!m_Stopped && now() < Reading.due()) {
    Wake.expires_after(Reading.due() - now());
    co_await Wake.async_wait(UseAwaitable);
  }
}

Duration FleetFollower::retryAfter(unsigned Failures) {
  return jittered(std::min(backOff(Failures), LongestRetry), m_Random);
}

/// Says once when the store goes away and once when it is back.
void FleetFollower::noteStore(const std::string &Call,
                              std::optional<Error> Fault) {
  // A revision that the store no longer has is no outage.
  const bool IsAway = Fault && Fault->m_Code != ErrorCode::NotFound;
  if (IsAway == m_StoreAway)
    return;
  m_StoreAway = IsAway;
  if (IsAway) {
    net::log(Event::PlatformUnavailable,
             {{"call", Call}, {"error", Fault->m_Message}});
    return;
  }
  net::log(Event::PlatformAvailable, {{"call", Call}});
}

void FleetFollower::noteTakeOver(const std::string &Kind,
                                 const SharedReading &Reading) {
  const bool IsTakeOver = !Reading.isFirst() && !Reading.isBehind() &&
                          Reading.asOf() != TimePoint{};
  if (IsTakeOver)
    net::log(Event::ReadingTakenOver,
             {{"subject", Kind}, {"ageMs", std::uint64_t{ageMs(Reading)}}});
}

/// Bytes: of the declarations that came.
void FleetFollower::noteRead(const std::string &Subject, TimePoint Asked,
                             Duration Bound, std::size_t Bytes) const {
  if (now() - Asked <= Bound / SlowReadPart)
    return;
  net::log(Event::ReadSlow, {{"subject", Subject},
                             {"ms", std::uint64_t{ageMs(Asked)}},
                             {"bytes", std::uint64_t{Bytes}}});
}

void FleetFollower::tell(const std::function<void(wire::StoreNews &)> &Fill,
                         NewsReach Reach) {
  if (!m_Calls.m_OnNews)
    return;
  wire::StoreNews News;
  Fill(News);
  m_Calls.m_OnNews(News, Reach);
}

asio::awaitable<void> FleetFollower::follow(Followed &Of) {
  unsigned Failures = 0;
  while (!m_Stopped) {
    const bool Watches = Of.m_Reading.isFirst() && !Of.m_Reading.isBehind() &&
                         !Of.m_MustRead && Of.m_Seen.m_Value != 0;
    if (!Watches)
      co_await untilDue(Of.m_Reading, Of.m_Wake);
    if (m_Stopped)
      break;
    const bool Came = Watches ? co_await watchOnce(Of) : co_await readOnce(Of);
    Failures = Came ? 0 : Failures + 1;
    if (!Came)
      co_await pause(retryAfter(Failures));
  }
}

/// From another entry where one is known to have more, else from the store.
asio::awaitable<bool> FleetFollower::readOnce(Followed &Of) {
  const bool IsTold = Of.m_Reading.isBehind() && Of.m_FetchTold;
  if (IsTold && co_await Of.m_FetchTold())
    co_return true;
  noteTakeOver(Of.m_Kind, Of.m_Reading);
  co_return co_await refreshOnce(Of);
}

/// Reads what changed since it was read last. Whole reads by all who had not
/// heard for a while kept links between regions full for 10 s and more.
asio::awaitable<bool> FleetFollower::refreshOnce(Followed &Of) {
  if (Of.m_Seen.m_Value == 0)
    co_return co_await listOnce(Of);
  const TimePoint Asked = now();
  const auto Changed = co_await m_Store.changes(Of.m_Kind, Of.m_Seen);
  if (Changed || Changed.error().m_Code != ErrorCode::NotFound)
    co_return takeRead(Of, Changed, Asked, "changes of ");
  Of.m_Seen = {};
  co_return co_await listOnce(Of);
}

/// Reads all, whatever is known of it already.
asio::awaitable<bool> FleetFollower::listOnce(Followed &Of) {
  const TimePoint Asked = now();
  const auto List = co_await m_Store.list(Of.m_Kind);
  co_return takeRead(Of, List, Asked, "list ");
}

/// A version may have been told of while an older one was on its way here.
void FleetFollower::stayBehindWhatWasTold() {
  if (m_NewestTold > m_Version)
    m_Declarations.m_Reading.noteBehind(now(), Duration::zero());
}

bool FleetFollower::takeRead(Followed &Of,
                             const Outcome<net::PlatformList> &Read,
                             TimePoint Asked, const std::string &Call) {
  noteStore(Call + Of.m_Kind, detail::faultOf(Read));
  noteRead(Of.m_Kind, Asked, m_Bounds.m_Apply, Read ? bytesOf(*Read) : 0);
  if (!Read)
    return false;
  // Whoever told this entry that it is behind has told those of other data
  // centres.
  const NewsReach Reach =
      Of.m_Reading.isBehind() ? NewsReach::Near : NewsReach::All;
  for (const net::PlatformObject &Each : Read->m_Items)
    Of.m_Apply(Each);
  Of.m_Seen = std::max(Of.m_Seen, Read->m_Revision);
  Of.m_MustRead = false;
  Of.m_Reading.confirm(Asked);
  // What the store does not hold after it was told of does not exist.
  if (&Of == &m_Declarations && m_NewestToldAt < Asked)
    m_NewestTold = m_Version;
  stayBehindWhatWasTold();
  tell(Of.m_Tell, Reach);
  return true;
}

/// Watches while this entry is the first. False when the store could not be
/// asked.
asio::awaitable<bool> FleetFollower::watchOnce(Followed &Of) {
  const std::function<bool(net::PlatformEvent)> OnEvent =
      [&](const net::PlatformEvent &Told) {
        noteStore("watch " + Of.m_Kind, std::nullopt);
        if (Told.m_Type == net::PlatformEvent::Type::Put)
          Of.m_Apply(Told.m_Object);
        if (Told.m_Type == net::PlatformEvent::Type::Bookmark) {
          Of.m_Seen = std::max(Of.m_Seen, Told.m_Object.m_Revision);
          Of.m_Reading.confirm(now() - Told.m_Age);
          tell(Of.m_Tell, NewsReach::All);
        }
        return !m_Stopped && Of.m_Reading.isFirst();
      };
  const std::vector<std::string> Kinds{Of.m_Kind};
  const Error End = co_await m_Store.watch(Kinds, Of.m_Seen, OnEvent);
  if (m_Stopped || !Of.m_Reading.isFirst())
    co_return true;
  // A read shows what was missed, and whether the store answers at all.
  Of.m_MustRead = true;
  if (End.m_Code == ErrorCode::NotFound) {
    Of.m_Seen = {};
    co_return true;
  }
  noteStore("watch " + Of.m_Kind, End);
  co_return false;
}

StoreBelief FleetFollower::declarationBelief() {
  noteRunning();
  return beliefOf(m_Declarations.m_Reading, m_Bounds.m_Apply, now(), m_Still);
}

StoreBelief FleetFollower::instancesBelief() {
  noteRunning();
  return beliefOf(m_Instances, m_Bounds.m_Drain, now(), m_Still);
}

void FleetFollower::noteRunning() {
  const std::optional<Duration> Pause = m_Still.running(now());
  if (Pause)
    net::log(Event::ProcessStoodStill,
             {{"ms",
               std::uint64_t(
                   std::chrono::duration_cast<milliseconds>(*Pause).count())}});
}

bool FleetFollower::hasStoodStillSince(TimePoint Time) {
  noteRunning();
  return m_Still.hasEndedSince(Time);
}

void FleetFollower::applyDeclaration(const net::PlatformObject &Object,
                                     const std::string &Source) {
  const auto Parsed =
      outcomeOf([&] { return m_Adapter.parseDeclaration(Object.m_Json); });
  if (!Parsed)
    return net::log(
        Event::DeclarationUnreadable,
        {{"name", Object.m_Name}, {"error", Parsed.error().m_Message}});
  // A read that overtook a newer one must not bring the older version back.
  if (Parsed->m_Version <= m_Version)
    return;
  m_Version = Parsed->m_Version;
  net::log(Event::DeclarationAccepted,
           {{"version", Parsed->m_Version},
            {"revision", Object.m_Revision.m_Value},
            {"bytes", std::uint64_t{Object.m_Json.size()}},
            {"from", Source},
            {"routes", std::uint64_t{Parsed->m_Routes.size()}}});
  m_Calls.m_OnDeclaration(*Parsed);
  if (m_Relay)
    m_Relay->hold(HeldDeclaration{Parsed->m_Version, Object});
}

void FleetFollower::applyWeights(const net::PlatformObject &Object) {
  const auto Parsed =
      outcomeOf([&] { return m_Adapter.parseWeights(Object.m_Json); });
  if (!Parsed)
    return net::log(
        Event::DeclarationUnreadable,
        {{"name", Object.m_Name}, {"error", Parsed.error().m_Message}});
  // Since the store was read before it may have been declared at any time.
  const TimePoint ReadBefore = m_WeightVersions.m_Reading.asOf();
  const bool WasAway = now() - ReadBefore > LongestUnread;
  setWeights({*Parsed, WasAway ? now() : ReadBefore});
}

void FleetFollower::setWeights(const HeardWeights &Heard) {
  HeardWeights &Known = m_Weights[Heard.m_Declared.m_Model];
  const bool IsNewer = Heard.m_Declared.m_Version > Known.m_Declared.m_Version;
  const bool IsEarlier =
      Heard.m_Declared == Known.m_Declared && Heard.m_Since < Known.m_Since;
  if (!IsNewer && !IsEarlier)
    return;
  Known = Heard;
  if (IsNewer)
    net::log(Event::WeightsDeclared, {{"model", Heard.m_Declared.m_Model},
                                      {"version", Heard.m_Declared.m_Version},
                                      {"ageMs", ageMs(Heard.m_Since)}});
  std::vector<HeardWeights> All;
  for (const auto &[Model, Each] : m_Weights)
    All.push_back(Each);
  m_Calls.m_OnWeights(All);
}

asio::awaitable<bool> FleetFollower::readDeclarations() {
  // The versions first: who knows a model without them takes the first one.
  co_return co_await listOnce(m_WeightVersions) &&
      co_await listOnce(m_Declarations);
}

} // namespace deckpitch::direct
