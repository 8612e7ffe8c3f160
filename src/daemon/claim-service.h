// The entry's claims: drives the claim log against the platform.
#pragma once

#include "daemon/module.h"
#include "deckpitch/claims.h"
#include "net/platform.h"

#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>

namespace deckpitch::daemon {

/// All state lives on the control loop; claim() may be called from any.
class ClaimService {
public:
  explicit ClaimService(Process &In);

  void start();
  void stop();
  /// Claims a run, or tells who has. Refused at once when the platform cannot
  /// be asked, and at GiveUpAt at the latest.
  boost::asio::awaitable<ClaimOutcome> claim(Claim Wanted, TimePoint GiveUpAt);
  /// The claim that stands for a key, as far as this entry knows.
  boost::asio::awaitable<std::optional<Claim>> find(std::string Key);
  boost::json::object dump() const;

private:
  struct Shard {
    Shard(std::uint32_t Number, const std::string &Owner,
          boost::asio::io_context &Loop);
    std::uint32_t m_Number;
    ClaimLog m_Log;
    boost::asio::steady_timer m_Wake;
  };
  struct Waiter {
    explicit Waiter(boost::asio::io_context &Loop) : m_Timer(Loop) {}
    boost::asio::steady_timer m_Timer;
    ClaimOutcome m_Settled;
  };

  boost::asio::awaitable<ClaimOutcome> claimHere(Claim Wanted,
                                                 TimePoint GiveUpAt);
  boost::asio::awaitable<std::optional<Claim>> findHere(std::string Key);
  boost::asio::awaitable<void> pump(Shard &Of);
  boost::asio::awaitable<void> perform(Shard &Of, ListLog Action);
  boost::asio::awaitable<void> perform(Shard &Of, ReadLog Action);
  boost::asio::awaitable<void> perform(Shard &Of, AppendLog Action);
  boost::asio::awaitable<void> perform(Shard &Of, DeleteLog Action);
  boost::asio::awaitable<void> follow();
  boost::asio::awaitable<void> maintain();
  bool observe(const net::PlatformEvent &Seen);
  void observe(const net::PlatformObject &Object);
  void deliver(Shard &Of);

  Process &m_Process;
  const std::unique_ptr<net::Platform> m_Platform;
  std::vector<std::unique_ptr<Shard>> m_Shards;
  std::map<ClaimWaiterId, std::shared_ptr<Waiter>> m_Waiters;
  ClaimWaiterId m_NextWaiter = 1;
  Revision m_Followed;
  boost::asio::steady_timer m_FollowPause;
  boost::asio::steady_timer m_MaintainTimer;
  bool m_Stopped = false;
  std::uint64_t m_Appends = 0;
  std::uint64_t m_Conflicts = 0;
  std::uint64_t m_Refused = 0;
};

} // namespace deckpitch::daemon
