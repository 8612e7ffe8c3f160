#include "daemon/claim-service.h"
#include "daemon/call-headers.h"

#include <boost/asio.hpp>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

constexpr auto UseAwaitable = asio::as_tuple(asio::use_awaitable);
constexpr char Kind[] = "claims";
/// Must be the same at all entries, since it determines the shard of a key.
constexpr std::uint32_t ShardCount = 2;
/// Of all entries together.
constexpr std::uint32_t MaxAppendsPerSecond = 100;
constexpr std::chrono::milliseconds MaintainInterval{1'000};
constexpr std::chrono::milliseconds FollowRetryDelay{500};

std::optional<LoggedBatch> parseLogged(const net::PlatformObject &Object) {
  const auto Position = parseLogPosition(Object.m_Name);
  const auto Batch = outcomeOf([&] { return parseClaimBatch(Object.m_Json); });
  if (!Position || !Batch)
    return std::nullopt;
  return LoggedBatch{Position->m_Number, Object.m_Revision, *Batch};
}

} // namespace

ClaimService::Shard::Shard(std::uint32_t Number, const std::string &Owner,
                           asio::io_context &Loop)
    : m_Number(Number), m_Log(Owner, {}), m_WakeTimer(Loop) {}

ClaimService::ClaimService(Process &In)
    : m_Process(In), m_Platform(In.makePlatform()),
      m_FollowTimer(In.m_Threads.control()),
      m_MaintainTimer(In.m_Threads.control()) {
  const std::string Owner = In.m_Settings.m_Instance.m_Text + "-" +
                            std::to_string(In.m_Incarnation.m_Value);
  for (std::uint32_t I = 0; I < ShardCount; ++I)
    m_Shards.push_back(
        std::make_unique<Shard>(I, Owner, In.m_Threads.control()));
}

void ClaimService::start() {
  asio::io_context &Loop = m_Process.m_Threads.control();
  for (auto &Each : m_Shards)
    asio::co_spawn(Loop, driveLog(*Each), asio::detached);
  asio::co_spawn(Loop, follow(), asio::detached);
  asio::co_spawn(Loop, maintain(), asio::detached);
}

void ClaimService::stop() {
  m_Stopped = true;
  for (auto &Each : m_Shards)
    Each->m_WakeTimer.cancel();
  m_FollowTimer.cancel();
  m_MaintainTimer.cancel();
}

asio::awaitable<ClaimOutcome> ClaimService::claim(Claim Wanted,
                                                  TimePoint GiveUpAt) {
  co_return co_await asio::co_spawn(m_Process.m_Threads.control(),
                                    claimOnLoop(std::move(Wanted), GiveUpAt),
                                    asio::use_awaitable);
}

asio::awaitable<ClaimOutcome> ClaimService::claimOnLoop(Claim Wanted,
                                                        TimePoint GiveUpAt) {
  Shard &Target = *m_Shards[shardOf(Wanted.m_Key, ShardCount)];
  const ClaimWaiterId Id = m_NextWaiter++;
  auto Self = std::make_shared<Waiter>(m_Process.m_Threads.control());
  Self->m_Settled = {Id, ClaimOutcome::Verdict::Refused, Wanted};
  Self->m_Timer.expires_after(GiveUpAt - now());
  m_Waiters.emplace(Id, Self);
  Target.m_Log.submit(Id, std::move(Wanted), GiveUpAt, now());
  deliver(Target);
  Target.m_WakeTimer.cancel();
  if (m_Waiters.contains(Id))
    co_await Self->m_Timer.async_wait(UseAwaitable);
  m_Waiters.erase(Id);
  if (Self->m_Settled.m_Verdict == ClaimOutcome::Verdict::Refused)
    ++m_Refused;
  co_return Self->m_Settled;
}

asio::awaitable<std::optional<Claim>> ClaimService::find(std::string Key) {
  co_return co_await asio::co_spawn(m_Process.m_Threads.control(),
                                    findOnLoop(std::move(Key)),
                                    asio::use_awaitable);
}

asio::awaitable<std::optional<Claim>>
ClaimService::findOnLoop(std::string Key) {
  const Claim *Found = m_Shards[shardOf(Key, ShardCount)]->m_Log.find(Key);
  if (!Found)
    co_return std::nullopt;
  co_return *Found;
}

/// Passes settled claims to their waiters. A claim whose waiter has timed out
/// is dropped, so nothing runs under it.
void ClaimService::deliver(Shard &Target) {
  for (ClaimOutcome &Each : Target.m_Log.takeOutcomes()) {
    const auto Found = m_Waiters.find(Each.m_Waiter);
    if (Found == m_Waiters.end())
      continue;
    Found->second->m_Settled = std::move(Each);
    Found->second->m_Timer.cancel();
    m_Waiters.erase(Found);
  }
}

asio::awaitable<void> ClaimService::driveLog(Shard &Target) {
  while (!m_Stopped) {
    const ClaimAction Action = Target.m_Log.next(now());
    deliver(Target);
    if (const auto *Idle = std::get_if<IdleLog>(&Action)) {
      if (Idle->m_Until)
        Target.m_WakeTimer.expires_after(*Idle->m_Until - now());
      else
        Target.m_WakeTimer.expires_at(asio::steady_timer::time_point::max());
      co_await Target.m_WakeTimer.async_wait(UseAwaitable);
    } else if (const auto *List = std::get_if<ListLog>(&Action)) {
      co_await perform(Target, *List);
    } else if (const auto *Read = std::get_if<ReadLog>(&Action)) {
      co_await perform(Target, *Read);
    } else if (const auto *Append = std::get_if<AppendLog>(&Action)) {
      co_await perform(Target, *Append);
    } else if (const auto *Delete = std::get_if<DeleteLog>(&Action)) {
      co_await perform(Target, *Delete);
    }
    deliver(Target);
  }
}

asio::awaitable<void> ClaimService::perform(Shard &Target, ListLog) {
  const auto Got = co_await m_Platform->list(Kind);
  std::vector<LoggedBatch> All;
  bool IsValid = Got.has_value();
  for (std::size_t I = 0; IsValid && I < Got->m_Items.size(); ++I) {
    const net::PlatformObject &Object = Got->m_Items[I];
    const auto Position = parseLogPosition(Object.m_Name);
    if (!Position || Position->m_Shard != Target.m_Number)
      continue;
    auto Read = parseLogged(Object);
    IsValid = Read.has_value();
    if (IsValid)
      All.push_back(std::move(*Read));
  }
  if (IsValid)
    Target.m_Log.listed(All, now());
  else
    Target.m_Log.failed(false, now());
}

asio::awaitable<void> ClaimService::perform(Shard &Target, ReadLog Action) {
  const auto Got = co_await m_Platform->get(
      Kind, formatLogPosition({Target.m_Number, Action.m_Number}));
  if (!Got && Got.error().m_Code == ErrorCode::NotFound) {
    Target.m_Log.read(std::nullopt, now());
    co_return;
  }
  const auto Read = Got ? parseLogged(*Got) : std::nullopt;
  if (Read)
    Target.m_Log.read(Read, now());
  else
    Target.m_Log.failed(false, now());
}

asio::awaitable<void> ClaimService::perform(Shard &Target, AppendLog Action) {
  ++m_Appends;
  const auto Got = co_await m_Platform->create(
      Kind, formatLogPosition({Target.m_Number, Action.m_Number}),
      formatClaimBatch(Action.m_Batch));
  if (Got) {
    Target.m_Log.appended(*Got, now());
  } else if (Got.error().m_Code == ErrorCode::Conflict) {
    ++m_Conflicts;
    Target.m_Log.conflicted();
  } else {
    Target.m_Log.failed(Got.error().m_Code == ErrorCode::Timeout, now());
  }
}

asio::awaitable<void> ClaimService::perform(Shard &Target, DeleteLog Action) {
  const auto Got = co_await m_Platform->remove(
      Kind, formatLogPosition({Target.m_Number, Action.m_Number}),
      Action.m_Revision);
  const bool IsGone = Got || Got.error().m_Code == ErrorCode::NotFound ||
                      Got.error().m_Code == ErrorCode::Conflict;
  if (IsGone)
    Target.m_Log.removed();
  else
    Target.m_Log.failed(false, now());
}

/// Watches the claims of other entries. Correctness does not depend on this: it
/// saves the reads that a conflict would cost.
asio::awaitable<void> ClaimService::follow() {
  bool Listed = false;
  while (!m_Stopped) {
    if (!Listed) {
      const auto Got = co_await m_Platform->list(Kind);
      Listed = Got.has_value();
      if (Listed)
        m_WatchRevision = Got->m_Revision;
      for (std::size_t I = 0; Listed && I < Got->m_Items.size(); ++I)
        observe(Got->m_Items[I]);
    }
    if (Listed) {
      std::vector<std::string> Kinds{Kind};
      const Error End = co_await m_Platform->watch(
          std::move(Kinds), m_WatchRevision,
          [this](const net::PlatformEvent &Seen) { return observe(Seen); });
      Listed = End.m_Code != ErrorCode::NotFound;
    }
    m_FollowTimer.expires_after(FollowRetryDelay);
    co_await m_FollowTimer.async_wait(UseAwaitable);
  }
}

bool ClaimService::observe(const net::PlatformEvent &Seen) {
  m_WatchRevision = std::max(m_WatchRevision, Seen.m_Object.m_Revision);
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
  const auto Read = parseLogged(Object);
  if (!Position || !Read || Position->m_Shard >= m_Shards.size())
    return;
  Shard &Target = *m_Shards[Position->m_Shard];
  Target.m_Log.observed(*Read, now());
  deliver(Target);
}

/// Divides MaxAppendsPerSecond among the alive entries, and lets the first of
/// them delete expired objects.
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
      Each->m_Log.setMinInterval(std::chrono::seconds(ShardCount * Entries) /
                                 MaxAppendsPerSecond);
      Each->m_WakeTimer.cancel();
    }
    m_MaintainTimer.expires_after(MaintainInterval);
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
