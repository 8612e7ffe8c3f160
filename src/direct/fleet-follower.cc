#include "direct/fleet-follower.h"

#include "daemon/clock.h"
#include "deckpitch/back-off.h"
#include "direct/store-updates.h"
#include "net/log.h"

#include <boost/asio.hpp>

#include <algorithm>
#include <utility>

namespace deckpitch::direct {

using daemon::now;
using std::chrono::milliseconds;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
/// Longest delay between retries of an unavailable store. Short, since what is
/// declared during an outage must be in force within the same two seconds; not
/// shorter, since calls are counted.
constexpr Duration MaxRetryDelay = milliseconds(700);
/// Reads of the instance list in the time that a leaving instance still accepts
/// requests.
constexpr int ListsPerDrain = 4;
/// Share of the bound for which an entry relies on others' reads. The rest is
/// for the ranks before it and its own read. Longer than one watch, so that the
/// first entry confirms in time.
constexpr double MaxRelianceShare = 0.42;
/// If nobody read the store for longer than this, or this entry has just
/// started, the store counts as unavailable for all meanwhile, and a new
/// version counts as declared when it is received. Otherwise all instances
/// would exceed the bound of a version as soon as the store returned and named
/// it.
constexpr Duration OutageThreshold = milliseconds(1'500);
/// Delay per rank: the time of a read and of its update to the local entries on
/// a sound link. A new declaration takes longer over a busy link; then several
/// entries of a data centre read it, but not all.
constexpr Duration RankDelay = milliseconds(150);
/// Longer than any read on sound links.
constexpr Duration StaleMargin = milliseconds(560);
/// Reads that take longer than their bound divided by this are logged: links or
/// the store are so slow that the bound may be missed.
constexpr int SlowReadDivisor = 8;
/// Ranks of a data centre that wait so long for each before them, and the delay
/// of each further one: several of them read at a time, but never all.
constexpr std::size_t FullDelayRanks = 4;
constexpr Duration LateRankDelay = milliseconds(20);
/// Logged as the source of a declaration.
const std::string StoreSource = "store";

Duration maxReliance(Duration Bound) {
  return Duration(static_cast<Duration::rep>(
      MaxRelianceShare * static_cast<double>(Bound.count())));
}

/// A plan in which the first process reads at the given interval.
ReadingPlan planWith(Duration Bound, Duration Every) {
  const Duration TakeOver = maxReliance(Bound);
  return {Every,          TakeOver,      RankDelay,
          FullDelayRanks, LateRankDelay, TakeOver + StaleMargin};
}

std::uint32_t ageMs(TimePoint Since) { return direct::ageMs(Since, now()); }

std::size_t bytesOf(const net::PlatformList &List) {
  std::size_t Sum = 0;
  for (const net::PlatformObject &Each : List.m_Items)
    Sum += Each.m_Json.size();
  return Sum;
}

std::uint32_t ageMs(const SharedReading &Reading) {
  return ageMs(Reading.asOf());
}

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
          SharedReading(planFor(Bounds.m_Apply)),
          {},
          asio::steady_timer(Io),
          false,
          [this](const net::PlatformObject &Object) {
            applyDeclaration(Object, StoreSource);
          },
          [this](wire::StoreNews &News) {
            wire::DeclarationNews &Update = *News.mutable_declaration();
            Update.set_version(m_Version);
            Update.set_revision(m_Declarations.m_Seen.m_Value);
            Update.set_age_ms(ageMs(m_Declarations.m_Reading));
            Update.set_is_relayed(m_Declarations.m_Reading.isRelayed());
          },
          [this] { return fetchAnnounced(); }},
      m_WeightVersions{
          m_Kinds.m_Weights,
          SharedReading(planFor(Bounds.m_Apply)),
          {},
          asio::steady_timer(Io),
          false,
          [this](const net::PlatformObject &Object) { applyWeights(Object); },
          [this](wire::StoreNews &News) {
            wire::WeightsNews &Update = *News.mutable_weights();
            for (const auto &[Model, Each] : m_Weights)
              write(Each, now(), *Update.add_declared());
            Update.set_revision(m_WeightVersions.m_Seen.m_Value);
            Update.set_age_ms(ageMs(m_WeightVersions.m_Reading));
            Update.set_is_relayed(m_WeightVersions.m_Reading.isRelayed());
          },
          nullptr},
      m_Evacuations(followedEvacuations()),
      m_Instances(planWith(Bounds.m_Drain, Bounds.m_Drain / ListsPerDrain)),
      m_InstancesWake(Io) {}

ReadingPlan FleetFollower::planFor(Duration Bound) {
  return planWith(Bound, maxReliance(Bound) / 2);
}

void FleetFollower::start() {
  asio::co_spawn(m_Io, follow(m_Declarations), asio::detached);
  asio::co_spawn(m_Io, follow(m_WeightVersions), asio::detached);
  if (m_Bounds.m_Evacuate)
    asio::co_spawn(m_Io, follow(m_Evacuations), asio::detached);
  asio::co_spawn(m_Io, pollInstances(), asio::detached);
}

void FleetFollower::stop() {
  m_Stopped = true;
  m_Declarations.m_Wake.cancel();
  m_WeightVersions.m_Wake.cancel();
  m_Evacuations.m_Wake.cancel();
  m_InstancesWake.cancel();
}

void FleetFollower::setRank(ReadRank Turn) {
  m_Declarations.m_Reading.setRank(Turn);
  m_WeightVersions.m_Reading.setRank(Turn);
  m_Evacuations.m_Reading.setRank(Turn);
  m_Instances.setRank(Turn);
}

asio::awaitable<void> FleetFollower::pause(Duration Length) {
  asio::steady_timer Timer(m_Io, Length);
  co_await Timer.async_wait(UseAwaitable);
}

/// Waits until this entry is to read. An update that confirms the cached view
/// postpones that; one that announces a change cancels the timer.
asio::awaitable<void> FleetFollower::waitUntilDue(SharedReading &Reading,
                                                  asio::steady_timer &Wake) {
  while (!m_Stopped && now() < Reading.due()) {
    Wake.expires_after(Reading.due() - now());
    co_await Wake.async_wait(UseAwaitable);
  }
}

Duration FleetFollower::retryDelay(unsigned Failures) {
  return jittered(std::min(backOff(Failures), MaxRetryDelay), m_Random);
}

/// Logs once when the store becomes unavailable and once when it is back.
void FleetFollower::logStoreAvailability(const std::string &Call,
                                         std::optional<Error> Fault) {
  // A revision that the store no longer has is no outage.
  const bool IsAway = Fault && Fault->m_Code != ErrorCode::NotFound;
  if (IsAway == m_IsStoreAway)
    return;
  m_IsStoreAway = IsAway;
  if (IsAway) {
    net::log(Event::PlatformUnavailable,
             {{"call", Call}, {"error", Fault->m_Message}});
    return;
  }
  net::log(Event::PlatformAvailable, {{"call", Call}});
}

void FleetFollower::logTakeOver(const std::string &Kind,
                                const SharedReading &Reading) {
  const bool IsTakeOver = !Reading.isFirst() && !Reading.isBehind() &&
                          Reading.asOf() != TimePoint{};
  if (IsTakeOver)
    net::log(Event::ReadingTakenOver,
             {{"subject", Kind}, {"ageMs", std::uint64_t{ageMs(Reading)}}});
}

/// Logs a slow read; Bytes is the size of the declarations received.
void FleetFollower::logSlowRead(const std::string &Subject, TimePoint Asked,
                                Duration Bound, std::size_t Bytes) const {
  if (now() - Asked <= Bound / SlowReadDivisor)
    return;
  net::log(Event::ReadSlow, {{"subject", Subject},
                             {"ms", std::uint64_t{ageMs(Asked)}},
                             {"bytes", std::uint64_t{Bytes}}});
}

void FleetFollower::publish(const std::function<void(wire::StoreNews &)> &Fill,
                            UpdateReach Reach) {
  if (!m_Calls.m_OnUpdate)
    return;
  wire::StoreNews News;
  Fill(News);
  m_Calls.m_OnUpdate(News, Reach);
}

asio::awaitable<void> FleetFollower::follow(FollowedKind &Kind) {
  unsigned Failures = 0;
  while (!m_Stopped) {
    const bool Watches = Kind.m_Reading.isFirst() &&
                         !Kind.m_Reading.isBehind() && !Kind.m_MustRead &&
                         Kind.m_Seen.m_Value != 0;
    if (!Watches)
      co_await waitUntilDue(Kind.m_Reading, Kind.m_Wake);
    if (m_Stopped)
      break;
    const bool Succeeded =
        Watches ? co_await watchOnce(Kind) : co_await readOnce(Kind);
    Failures = Succeeded ? 0 : Failures + 1;
    if (!Succeeded)
      co_await pause(retryDelay(Failures));
  }
}

/// Reads from another entry that announced a newer object, else from the store.
asio::awaitable<bool> FleetFollower::readOnce(FollowedKind &Kind) {
  const bool IsAnnounced = Kind.m_Reading.isBehind() && Kind.m_FetchAnnounced;
  if (IsAnnounced && co_await Kind.m_FetchAnnounced())
    co_return true;
  logTakeOver(Kind.m_Kind, Kind.m_Reading);
  co_return co_await refreshOnce(Kind);
}

/// Reads the changes since the last read. Full reads by all entries that had
/// received no update for a while kept links between regions full for 10 s and
/// more.
asio::awaitable<bool> FleetFollower::refreshOnce(FollowedKind &Kind) {
  if (Kind.m_Seen.m_Value == 0 || Kind.m_ApplyList)
    co_return co_await listOnce(Kind);
  const TimePoint Asked = now();
  const auto Changed = co_await m_Store.changes(Kind.m_Kind, Kind.m_Seen);
  if (Changed || Changed.error().m_Code != ErrorCode::NotFound)
    co_return handleRead(Kind, Changed, Asked, "changes of ");
  Kind.m_Seen = {};
  co_return co_await listOnce(Kind);
}

/// Reads all objects of a kind.
asio::awaitable<bool> FleetFollower::listOnce(FollowedKind &Kind) {
  const TimePoint Asked = now();
  const auto List = co_await m_Store.list(Kind.m_Kind);
  co_return handleRead(Kind, List, Asked, "list ");
}

/// Another version may have been announced while an older one was in transit.
void FleetFollower::stayBehindAnnounced() {
  if (m_NewestAnnounced > m_Version)
    m_Declarations.m_Reading.noteBehind(now(), Duration::zero());
}

/// Logs an object of the declarations, weights or evacuations once until it
/// changes.
void FleetFollower::logUnreadable(const std::string &Kind,
                                  const std::string &Name,
                                  const std::string &Fault) {
  const std::string Shortened = shortened(Fault);
  if (m_UnreadableOfKinds.note(Kind + "/" + Name, Shortened))
    net::log(Event::DeclarationUnreadable,
             {{"kind", Kind}, {"name", Name}, {"error", Shortened}});
}

void FleetFollower::apply(FollowedKind &Kind, const net::PlatformList &Read) {
  for (const net::UnreadableObject &Each : Read.m_Unreadable)
    logUnreadable(Kind.m_Kind, Each.m_Name, Each.m_Fault);
  if (!Kind.m_ApplyList) {
    for (const net::PlatformObject &Each : Read.m_Items)
      Kind.m_Apply(Each);
    return;
  }
  // A list that was overtaken by an update must not bring back what it holds.
  if (Read.m_Revision >= Kind.m_Seen)
    Kind.m_ApplyList(Read);
}

bool FleetFollower::handleRead(FollowedKind &Kind,
                               const Outcome<net::PlatformList> &Read,
                               TimePoint Asked, const std::string &Call) {
  logStoreAvailability(Call + Kind.m_Kind, detail::faultOf(Read));
  logSlowRead(Kind.m_Kind, Asked, m_Bounds.m_Apply, Read ? bytesOf(*Read) : 0);
  if (!Read)
    return false;
  // The entry that announced a newer version has sent it to the entries of
  // other data centres too.
  const UpdateReach Reach =
      Kind.m_Reading.isBehind() ? UpdateReach::Local : UpdateReach::All;
  apply(Kind, *Read);
  Kind.m_Seen = std::max(Kind.m_Seen, Read->m_Revision);
  Kind.m_MustRead = false;
  Kind.m_Reading.confirm(Asked);
  // A version announced before this read that the store does not hold does not
  // exist.
  if (&Kind == &m_Declarations && m_NewestAnnouncedAt < Asked)
    m_NewestAnnounced = m_Version;
  stayBehindAnnounced();
  publish(Kind.m_FillUpdate, Reach);
  return true;
}

/// Watches while this entry is the first. False when the store did not answer.
asio::awaitable<bool> FleetFollower::watchOnce(FollowedKind &Kind) {
  const std::function<bool(net::PlatformEvent)> OnEvent =
      [&](const net::PlatformEvent &Update) {
        logStoreAvailability("watch " + Kind.m_Kind, std::nullopt);
        if (Update.m_Type == net::PlatformEvent::Type::Put)
          Kind.m_Apply(Update.m_Object);
        if (Update.m_Type == net::PlatformEvent::Type::Delete &&
            Kind.m_ApplyDeleted)
          Kind.m_ApplyDeleted(Update.m_Object);
        if (Update.m_Type == net::PlatformEvent::Type::Unreadable)
          logUnreadable(Kind.m_Kind, Update.m_Unreadable.m_Name,
                        Update.m_Unreadable.m_Fault);
        if (Update.m_Type == net::PlatformEvent::Type::Bookmark) {
          Kind.m_Seen = std::max(Kind.m_Seen, Update.m_Object.m_Revision);
          Kind.m_Reading.confirm(now() - Update.m_Age);
          publish(Kind.m_FillUpdate, UpdateReach::All);
        }
        return !m_Stopped && Kind.m_Reading.isFirst();
      };
  const std::vector<std::string> Kinds{Kind.m_Kind};
  const Error End = co_await m_Store.watch(Kinds, Kind.m_Seen, OnEvent);
  if (m_Stopped || !Kind.m_Reading.isFirst())
    co_return true;
  // A read finds missed changes and shows whether the store answers at all.
  Kind.m_MustRead = true;
  if (End.m_Code == ErrorCode::NotFound) {
    Kind.m_Seen = {};
    co_return true;
  }
  logStoreAvailability("watch " + Kind.m_Kind, End);
  co_return false;
}

StoreFreshness FleetFollower::declarationFreshness() {
  checkForPause();
  return freshnessOf(m_Declarations.m_Reading, m_Bounds.m_Apply, now(),
                     m_PauseDetector);
}

StoreFreshness FleetFollower::instancesFreshness() {
  checkForPause();
  return freshnessOf(m_Instances, m_Bounds.m_Drain, now(), m_PauseDetector);
}

void FleetFollower::checkForPause() {
  const std::optional<Duration> Pause = m_PauseDetector.noteIteration(now());
  if (Pause)
    net::log(Event::ProcessPaused,
             {{"ms",
               std::uint64_t(
                   std::chrono::duration_cast<milliseconds>(*Pause).count())}});
}

bool FleetFollower::wasPausedSince(TimePoint Time) {
  checkForPause();
  return m_PauseDetector.hasPauseEndedSince(Time);
}

void FleetFollower::applyDeclaration(const net::PlatformObject &Object,
                                     const std::string &Source) {
  const auto Parsed =
      outcomeOf([&] { return m_Adapter.parseDeclaration(Object.m_Json); });
  if (!Parsed)
    return logUnreadable(m_Kinds.m_Declarations, Object.m_Name,
                         Parsed.error().m_Message);
  m_UnreadableOfKinds.noteReadable(m_Kinds.m_Declarations + "/" +
                                   Object.m_Name);
  // An older read that completes late must not bring the older version back.
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
    return logUnreadable(m_Kinds.m_Weights, Object.m_Name,
                         Parsed.error().m_Message);
  m_UnreadableOfKinds.noteReadable(m_Kinds.m_Weights + "/" + Object.m_Name);
  // It may have been declared at any time since the previous read.
  const TimePoint ReadBefore = m_WeightVersions.m_Reading.asOf();
  const bool WasAway = now() - ReadBefore > OutageThreshold;
  const TimePoint Since = WasAway ? now() : ReadBefore;
  const auto Known = m_Weights.find(Parsed->m_Model);
  const bool IsSeenBeingMade =
      ReadBefore != TimePoint{} &&
      (Known == m_Weights.end() ||
       Known->second.m_Declared.m_Version < Parsed->m_Version);
  if (IsSeenBeingMade)
    m_SeenWeights[Parsed->m_Model].add(Parsed->m_Version, Since);
  setWeights({*Parsed, Since});
}

std::vector<DatedWeights> FleetFollower::seenDeclarations() const {
  std::vector<DatedWeights> Out;
  for (const auto &[Model, Each] : m_SeenWeights)
    for (const DeclaredHistory::Declared &One : Each.list())
      Out.push_back({{Model, One.m_Version}, One.m_Since});
  return Out;
}

void FleetFollower::setWeights(const DatedWeights &Received) {
  DatedWeights &Known = m_Weights[Received.m_Declared.m_Model];
  const bool IsNewer =
      Received.m_Declared.m_Version > Known.m_Declared.m_Version;
  const bool IsEarlier = Received.m_Declared == Known.m_Declared &&
                         Received.m_Since < Known.m_Since;
  if (!IsNewer && !IsEarlier)
    return;
  Known = Received;
  if (IsNewer)
    net::log(Event::WeightsDeclared,
             {{"model", Received.m_Declared.m_Model},
              {"version", Received.m_Declared.m_Version},
              {"ageMs", ageMs(Received.m_Since)}});
  std::vector<DatedWeights> All;
  for (const auto &[Model, Each] : m_Weights)
    All.push_back(Each);
  m_Calls.m_OnWeights(All);
}

asio::awaitable<bool> FleetFollower::readDeclarations() {
  // Versions first: whoever knows a model without a declared version uses the
  // first one.
  co_return co_await listOnce(m_WeightVersions) &&
      co_await listOnce(m_Declarations);
}

} // namespace deckpitch::direct
