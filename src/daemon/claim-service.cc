#include "daemon/claim-service.h"
#include "daemon/call-headers.h"

#include <boost/asio.hpp>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr char Kind[] = "claims";
/// The same at all entries: a key's shard follows from it.
constexpr std::uint32_t Shards = 2;
/// Appends a second by all entries together.
constexpr std::uint32_t AppendBudget = 100;
constexpr std::chrono::milliseconds MaintainPeriod{1'000};
constexpr std::chrono::milliseconds FollowPause{500};

std::optional<LoggedBatch> readLogged(const net::PlatformObject &Object) {
  const auto Position = parseLogPosition(Object.m_Name);
  const auto Batch = outcomeOf([&] { return parseClaimBatch(Object.m_Json); });
  if (!Position || !Batch)
    return std::nullopt;
  return LoggedBatch{Position->m_Number, Object.m_Revision, *Batch};
}

} // namespace

ClaimService::Shard::Shard(std::uint32_t Number, const std::string &Owner,
                           asio::io_context &Loop)
    : m_Number(Number), m_Log(Owner, {}), m_Wake(Loop) {}

ClaimService::ClaimService(Process &In)
    : m_Process(In), m_Platform(In.makePlatform()),
      m_FollowPause(In.m_Threads.control()),
      m_MaintainTimer(In.m_Threads.control()) {
  const std::string Owner = In.m_Settings.m_Instance.m_Text + "-" +
                            std::to_string(In.m_Incarnation.m_Value);
  for (std::uint32_t I = 0; I < Shards; ++I)
    m_Shards.push_back(
        std::make_unique<Shard>(I, Owner, In.m_Threads.control()));
}

void ClaimService::start() {
  asio::io_context &Loop = m_Process.m_Threads.control();
  for (auto &Each : m_Shards)
    asio::co_spawn(Loop, pump(*Each), asio::detached);
  asio::co_spawn(Loop, follow(), asio::detached);
  asio::co_spawn(Loop, maintain(), asio::detached);
}

void ClaimService::stop() {
  m_Stopped = true;
  for (auto &Each : m_Shards)
    Each->m_Wake.cancel();
  m_FollowPause.cancel();
  m_MaintainTimer.cancel();
}

asio::awaitable<ClaimOutcome> ClaimService::claim(Claim Wanted,
                                                  TimePoint GiveUpAt) {
  co_return co_await asio::co_spawn(m_Process.m_Threads.control(),
                                    claimHere(std::move(Wanted), GiveUpAt),
                                    asio::use_awaitable);
}

asio::awaitable<ClaimOutcome> ClaimService::claimHere(Claim Wanted,
                                                      TimePoint GiveUpAt) {
  Shard &Of = *m_Shards[shardOf(Wanted.m_Key, Shards)];
  const ClaimWaiterId Id = m_NextWaiter++;
  auto Self = std::make_shared<Waiter>(m_Process.m_Threads.control());
  Self->m_Settled = {Id, ClaimOutcome::Verdict::Refused, Wanted};
  Self->m_Timer.expires_after(GiveUpAt - now());
  m_Waiters.emplace(Id, Self);
  Of.m_Log.submit(Id, std::move(Wanted), GiveUpAt, now());
  deliver(Of);
  Of.m_Wake.cancel();
  if (m_Waiters.contains(Id))
    co_await Self->m_Timer.async_wait(UseAwaitable);
  m_Waiters.erase(Id);
  if (Self->m_Settled.m_Verdict == ClaimOutcome::Verdict::Refused)
    ++m_Refused;
  co_return Self->m_Settled;
}

asio::awaitable<std::optional<Claim>> ClaimService::find(std::string Key) {
  co_return co_await asio::co_spawn(m_Process.m_Threads.control(),
                                    findHere(std::move(Key)),
                                    asio::use_awaitable);
}

asio::awaitable<std::optional<Claim>> ClaimService::findHere(std::string Key) {
  const Claim *Found = m_Shards[shardOf(Key, Shards)]->m_Log.find(Key);
  if (!Found)
    co_return std::nullopt;
  co_return *Found;
}

/// Hands out what the log has settled. One whose waiter has given up is
/// dropped, so nothing runs under it.
void ClaimService::deliver(Shard &Of) {
  for (ClaimOutcome &Each : Of.m_Log.takeOutcomes()) {
    const auto Found = m_Waiters.find(Each.m_Waiter);
    if (Found == m_Waiters.end())
      continue;
    Found->second->m_Settled = std::move(Each);
    Found->second->m_Timer.cancel();
    m_Waiters.erase(Found);
  }
}

asio::awaitable<void> ClaimService::pump(Shard &Of) {
  while (!m_Stopped) {
    const ClaimAction Action = Of.m_Log.next(now());
    deliver(Of);
    if (const auto *Idle = std::get_if<IdleLog>(&Action)) {
      if (Idle->m_Until)
        Of.m_Wake.expires_after(*Idle->m_Until - now());
      else
        Of.m_Wake.expires_at(asio::steady_timer::time_point::max());
      co_await Of.m_Wake.async_wait(UseAwaitable);
    } else if (const auto *List = std::get_if<ListLog>(&Action)) {
      co_await perform(Of, *List);
    } else if (const auto *Read = std::get_if<ReadLog>(&Action)) {
      co_await perform(Of, *Read);
    } else if (const auto *Append = std::get_if<AppendLog>(&Action)) {
      co_await perform(Of, *Append);
    } else if (const auto *Delete = std::get_if<DeleteLog>(&Action)) {
      co_await perform(Of, *Delete);
    }
    deliver(Of);
  }
}

asio::awaitable<void> ClaimService::perform(Shard &Of, ListLog) {
  const auto Got = co_await m_Platform->list(Kind);
  std::vector<LoggedBatch> All;
  bool Good = Got.has_value();
  for (std::size_t I = 0; Good && I < Got->m_Items.size(); ++I) {
    const net::PlatformObject &Object = Got->m_Items[I];
    const auto Position = parseLogPosition(Object.m_Name);
    if (!Position || Position->m_Shard != Of.m_Number)
      continue;
    auto Read = readLogged(Object);
    Good = Read.has_value();
    if (Good)
      All.push_back(std::move(*Read));
  }
  if (Good)
    Of.m_Log.listed(All, now());
  else
    Of.m_Log.failed(false, now());
}

asio::awaitable<void> ClaimService::perform(Shard &Of, ReadLog Action) {
  const auto Got = co_await m_Platform->get(
      Kind, formatLogPosition({Of.m_Number, Action.m_Number}));
  if (!Got && Got.error().m_Code == ErrorCode::NotFound) {
    Of.m_Log.read(std::nullopt, now());
    co_return;
  }
  const auto Read = Got ? readLogged(*Got) : std::nullopt;
  if (Read)
    Of.m_Log.read(Read, now());
  else
    Of.m_Log.failed(false, now());
}

asio::awaitable<void> ClaimService::perform(Shard &Of, AppendLog Action) {
  ++m_Appends;
  const auto Got = co_await m_Platform->create(
      Kind, formatLogPosition({Of.m_Number, Action.m_Number}),
      formatClaimBatch(Action.m_Batch));
  if (Got) {
    Of.m_Log.appended(*Got, now());
  } else if (Got.error().m_Code == ErrorCode::Conflict) {
    ++m_Conflicts;
    Of.m_Log.conflicted();
  } else {
    Of.m_Log.failed(Got.error().m_Code == ErrorCode::Timeout, now());
  }
}

asio::awaitable<void> ClaimService::perform(Shard &Of, DeleteLog Action) {
  const auto Got = co_await m_Platform->remove(
      Kind, formatLogPosition({Of.m_Number, Action.m_Number}),
      Action.m_Revision);
  const bool Gone = Got || Got.error().m_Code == ErrorCode::NotFound ||
                    Got.error().m_Code == ErrorCode::Conflict;
  if (Gone)
    Of.m_Log.removed();
  else
    Of.m_Log.failed(false, now());
}

/// Learns other entries' claims as they come. Correctness does not rest on
/// it: it spares the reads that a conflict would cost.
asio::awaitable<void> ClaimService::follow() {
  bool Listed = false;
  while (!m_Stopped) {
    if (!Listed) {
      const auto Got = co_await m_Platform->list(Kind);
      Listed = Got.has_value();
      if (Listed)
        m_Followed = Got->m_Revision;
      for (std::size_t I = 0; Listed && I < Got->m_Items.size(); ++I)
        observe(Got->m_Items[I]);
    }
    if (Listed) {
      std::vector<std::string> Kinds{Kind};
      const Error End = co_await m_Platform->watch(
          std::move(Kinds), m_Followed,
          [this](const net::PlatformEvent &Seen) { return observe(Seen); });
      Listed = End.m_Code != ErrorCode::NotFound;
    }
    m_FollowPause.expires_after(FollowPause);
    co_await m_FollowPause.async_wait(UseAwaitable);
  }
}

bool ClaimService::observe(const net::PlatformEvent &Seen) {
  m_Followed = std::max(m_Followed, Seen.m_Object.m_Revision);
  if (Seen.m_Type == net::PlatformEvent::Type::Put)
    observe(Seen.m_Object);
  const auto Position = parseLogPosition(Seen.m_Object.m_Name);
  if (Seen.m_Type == net::PlatformEvent::Type::Delete && Position &&
      Position->m_Shard < m_Shards.size())
    m_Shards[Position->m_Shard]->m_Log.observedDeletion(Position->m_Number);
  return !m_Stopped;
}

void ClaimService::observe(const net::PlatformObject &Object) {
  const auto Position = parseLogPosition(Object.m_Name);
  const auto Read = readLogged(Object);
  if (!Position || !Read || Position->m_Shard >= m_Shards.size())
    return;
  Shard &Of = *m_Shards[Position->m_Shard];
  Of.m_Log.observed(*Read, now());
  deliver(Of);
}

/// Shares the budget of appends among the entries that are there, and lets
/// the first of them delete what is old.
asio::awaitable<void> ClaimService::maintain() {
  while (!m_Stopped) {
    const auto View = m_Process.m_Membership.load();
    std::uint32_t Entries = 1;
    bool First = true;
    for (const auto &[Name, Each] : View->m_Members) {
      if (Each.m_Role != Role::Entry || Each.m_State != MemberState::Alive ||
          Name == m_Process.m_Settings.m_Instance)
        continue;
      ++Entries;
      First = First && m_Process.m_Settings.m_Instance < Name;
    }
    for (auto &Each : m_Shards) {
      Each->m_Log.setDeletes(First);
      Each->m_Log.setMinInterval(std::chrono::seconds(Shards * Entries) /
                                 AppendBudget);
      Each->m_Wake.cancel();
    }
    m_MaintainTimer.expires_after(MaintainPeriod);
    co_await m_MaintainTimer.async_wait(UseAwaitable);
  }
}

boost::json::object ClaimService::dump() const {
  std::size_t Known = 0;
  std::size_t Waiting = 0;
  for (const auto &Each : m_Shards) {
    Known += Each->m_Log.known();
    Waiting += Each->m_Log.waiting();
  }
  return {{"known", Known},       {"waiting", Waiting},
          {"appends", m_Appends}, {"conflicts", m_Conflicts},
          {"refused", m_Refused}, {"platformCalls", m_Platform->calls()}};
}

} // namespace deckpitch::daemon
