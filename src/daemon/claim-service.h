// Claims keyed runs for an entry: executes the operations of its claim logs on
// the platform.
#pragma once

#include "daemon/module.h"
#include "deckpitch/claims.h"
#include "net/platform.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace deckpitch::daemon {

/// Claims keyed runs. All state is used on the control loop only; claim() and
/// find() may be called from any loop.
class ClaimService {
public:
  explicit ClaimService(Process &In);

  void start();
  void stop();
  /// Claims a run, or returns the existing claim. Refused immediately if the
  /// platform is unreachable, and by GiveUpAt at the latest.
  boost::asio::awaitable<ClaimOutcome> claim(Claim Wanted, TimePoint GiveUpAt);
  /// Returns the claim in force for a key, if this entry knows of one.
  boost::asio::awaitable<std::optional<Claim>> find(std::string Key);
  boost::json::object dump() const;

private:
  struct Shard {
    Shard(std::uint32_t Number, const std::string &Owner,
          boost::asio::io_context &Loop);
    std::uint32_t m_Number;
    ClaimLog m_Log;
    boost::asio::steady_timer m_WakeTimer;
  };
  struct Waiter {
    explicit Waiter(boost::asio::io_context &Loop) : m_Timer(Loop) {}
    boost::asio::steady_timer m_Timer;
    ClaimOutcome m_Settled;
  };

  boost::asio::awaitable<ClaimOutcome> claimOnLoop(Claim Wanted,
                                                   TimePoint GiveUpAt);
  boost::asio::awaitable<std::optional<Claim>> findOnLoop(std::string Key);
  boost::asio::awaitable<void> driveLog(Shard &Target);
  boost::asio::awaitable<void> perform(Shard &Target, ListLog Action);
  boost::asio::awaitable<void> perform(Shard &Target, ReadLog Action);
  boost::asio::awaitable<void> perform(Shard &Target, AppendLog Action);
  boost::asio::awaitable<void> perform(Shard &Target, DeleteLog Action);
  boost::asio::awaitable<void> follow();
  boost::asio::awaitable<void> maintain();
  bool observe(const net::PlatformEvent &Seen);
  void observe(const net::PlatformObject &Object);
  void deliver(Shard &Target);

  Process &m_Process;
  const std::unique_ptr<net::Platform> m_Platform;
  std::vector<std::unique_ptr<Shard>> m_Shards;
  std::map<ClaimWaiterId, std::shared_ptr<Waiter>> m_Waiters;
  ClaimWaiterId m_NextWaiter = 1;
  Revision m_WatchRevision;
  boost::asio::steady_timer m_FollowTimer;
  boost::asio::steady_timer m_MaintainTimer;
  bool m_Stopped = false;
  std::uint64_t m_Appends = 0;
  std::uint64_t m_Conflicts = 0;
  std::uint64_t m_Refused = 0;
};

} // namespace deckpitch::daemon
