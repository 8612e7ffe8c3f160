#include "daemon/lease-keeper.h"

#include "daemon/clock.h"
#include "deckpitch/entry-choice.h"
#include "net/log.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

#include <algorithm>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

constexpr const char *LeasesKind = "leases";
/// Entries that read a lease's object and may take over.
constexpr std::size_t CandidatesPerLease = 3;
/// Bounds the time until the loss of the lease is noticed and reported.
constexpr std::chrono::milliseconds MaxSleep{500};

} // namespace

LeaseKeeper::LeaseKeeper(Process &In, std::string Name, LeaseLimits Limits)
    : m_Process(In), m_Name(std::move(Name)),
      m_Lease(In.m_Settings.m_Instance, In.m_Incarnation, Limits),
      m_Timer(In.m_Threads.control()) {}

void LeaseKeeper::start() {
  asio::co_spawn(m_Process.m_Threads.control(), run(), asio::detached);
}

void LeaseKeeper::beginDrain() { m_Timer.cancel(); }

void LeaseKeeper::stop() {
  m_Stopping = true;
  m_Timer.cancel();
}

bool LeaseKeeper::held() const { return m_Lease.held(now()); }

bool LeaseKeeper::isCandidate() const {
  if (m_Process.m_Leaving.load())
    return false;
  std::vector<EntryCandidate> Entries;
  const auto View = m_Process.m_Membership.load();
  for (const auto &[Id, Each] : View->m_Members)
    if (Each.m_Role == Role::Entry && Each.m_State == MemberState::Alive)
      Entries.push_back({Id, Each.m_DataCentre});
  const InstanceId &Self = m_Process.m_Settings.m_Instance;
  const auto Chosen = chooseEntries(InstanceId{"lease " + m_Name}, {}, Entries,
                                    CandidatesPerLease);
  return std::find(Chosen.begin(), Chosen.end(), Self) != Chosen.end();
}

void LeaseKeeper::reportChange() {
  const bool Held = held();
  if (Held == m_WasHeld)
    return;
  m_WasHeld = Held;
  net::log(Held ? Event::LeaseWon : Event::LeaseLost,
           {{"lease", m_Name}, {"term", m_Lease.term()}});
  if (m_OnChange)
    m_OnChange(Held);
}

asio::awaitable<void> LeaseKeeper::run() {
  while (!m_Stopping) {
    const Lease::Step Step = m_Lease.next(now(), isCandidate());
    reportChange();
    switch (Step.m_Kind) {
    case Lease::Step::Kind::Wait:
      co_await waitUntil(Step.m_At);
      break;
    case Lease::Step::Kind::Read:
      co_await read();
      break;
    case Lease::Step::Kind::Create:
    case Lease::Step::Kind::Update:
      co_await write(Step);
      break;
    }
    reportChange();
  }
}

asio::awaitable<void> LeaseKeeper::waitUntil(TimePoint At) {
  m_Timer.expires_after(std::min<Duration>(At - now(), MaxSleep));
  co_await m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> LeaseKeeper::read() {
  const auto Fetched = co_await m_Process.m_Platform.get(LeasesKind, m_Name);
  if (!Fetched && Fetched.error().m_Code == ErrorCode::NotFound) {
    m_Lease.onRead(now(), {}, std::nullopt);
    co_return;
  }
  if (!Fetched) {
    m_Lease.onReadFailed(now());
    co_return;
  }
  const auto Parsed = outcomeOf([&] { return parseLease(Fetched->m_Json); });
  if (Parsed)
    m_Lease.onRead(now(), Fetched->m_Revision, *Parsed);
  else
    m_Lease.onReadFailed(now());
}

asio::awaitable<void> LeaseKeeper::write(Lease::Step Step) {
  // Named objects: GCC 12 destroys temporaries of a co_await twice.
  std::string Json = formatLease(Step.m_Record);
  Outcome<Revision> Written = Revision();
  if (Step.m_Kind == Lease::Step::Kind::Create)
    Written = co_await m_Process.m_Platform.create(LeasesKind, m_Name, Json);
  else {
    net::PlatformObject Object{LeasesKind, m_Name, Step.m_Expected, Json};
    Written = co_await m_Process.m_Platform.update(std::move(Object));
  }
  if (Written)
    m_Lease.onWritten(Step.m_At, *Written);
  else
    m_Lease.onWriteFailed(now());
}

boost::json::object LeaseKeeper::dump() const {
  return {{"name", m_Name},
          {"held", held()},
          {"term", m_Lease.term()},
          {"candidate", isCandidate()}};
}

} // namespace deckpitch::daemon
