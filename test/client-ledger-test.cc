// Admission of clients, and what their requests may hold.
#include "deckpitch/client-ledger.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

TimePoint at(std::chrono::milliseconds Time) { return TimePoint(Time); }

/// Six connections, of which two are reserved for callers and one for
/// operators, who may have two.
ClientLimits smallLimits() {
  ClientLimits Out;
  Out.m_Connections = 6;
  Out.m_Listeners.fill({0, 6});
  Out.m_Listeners[static_cast<std::size_t>(Listener::Callers)] = {2, 6};
  Out.m_Listeners[static_cast<std::size_t>(Listener::Operator)] = {1, 2};
  Out.m_Allowance = 100;
  Out.m_Bytes = 1'000;
  Out.m_MinStall = 250ms;
  return Out;
}

ClientId open(ClientLedger &Ledger, Listener At, TimePoint Now) {
  const ClientLedger::Opened Result = Ledger.open(At, Now);
  EXPECT_TRUE(Result.m_Client);
  return Result.m_Client.value_or(ClientId{});
}

ClientId receiving(ClientLedger &Ledger, std::size_t Bytes, TimePoint Now) {
  const ClientId Out = open(Ledger, Listener::Callers, Now);
  Ledger.enter(Out, ClientPhase::Receiving, Now);
  EXPECT_TRUE(Ledger.hold(Out, Bytes, Now).m_IsGranted);
  return Out;
}

/// Idle connections of strangers left none for anybody else.
TEST(ClientLedger, OldestIdleClientGivesWayToANewOne) {
  ClientLedger Ledger(smallLimits());
  const ClientId First = open(Ledger, Listener::Callers, at(0ms));
  for (int I = 1; I < 5; ++I)
    open(Ledger, Listener::Callers, at(1ms));
  Ledger.enter(First, ClientPhase::Answering, at(2ms));
  const auto Next = Ledger.open(Listener::Callers, at(3ms));
  EXPECT_TRUE(Next.m_Client);
  EXPECT_EQ(Next.m_Evicted, ClientId{2});
  EXPECT_EQ(Ledger.levels().m_Connections, 5U);
}

/// A request that is being handled was cut off by a flood of connections.
TEST(ClientLedger, AnsweringClientsNeverGiveWay) {
  ClientLedger Ledger(smallLimits());
  for (int I = 0; I < 5; ++I)
    Ledger.enter(open(Ledger, Listener::Callers, at(0ms)),
                 ClientPhase::Answering, at(0ms));
  const auto Next = Ledger.open(Listener::Callers, at(10s));
  EXPECT_FALSE(Next.m_Client);
  EXPECT_FALSE(Next.m_Evicted);
}

TEST(ClientLedger, RefusedClientsGiveWayBeforeIdleAndIdleBeforeStalledOnes) {
  ClientLedger Ledger(smallLimits());
  const ClientId Stalled = receiving(Ledger, 50, at(0ms));
  const ClientId Idle = open(Ledger, Listener::Callers, at(1ms));
  const ClientId Refused = open(Ledger, Listener::Callers, at(2ms));
  Ledger.enter(Refused, ClientPhase::Closing, at(3ms));
  for (int I = 0; I < 2; ++I)
    Ledger.enter(open(Ledger, Listener::Callers, at(4ms)),
                 ClientPhase::Answering, at(4ms));
  const auto Open = [&](std::chrono::milliseconds Time) {
    const auto Result = Ledger.open(Listener::Callers, at(Time));
    if (Result.m_Client)
      Ledger.enter(*Result.m_Client, ClientPhase::Answering, at(Time));
    return Result.m_Evicted;
  };
  EXPECT_EQ(Open(5ms), Refused);
  EXPECT_EQ(Open(6ms), Idle);
  EXPECT_EQ(Open(249ms), std::nullopt);
  EXPECT_EQ(Open(250ms), Stalled);
}

/// A flood at one port kept operators and other processes out.
TEST(ClientLedger, ReservedConnectionsStayFreeForTheirListener) {
  ClientLedger Ledger(smallLimits());
  for (int I = 0; I < 10; ++I)
    Ledger.open(Listener::Directory, at(I * 1ms));
  EXPECT_EQ(Ledger.connections(Listener::Directory), 3U);
  for (int I = 0; I < 2; ++I)
    EXPECT_FALSE(Ledger.open(Listener::Callers, at(20ms)).m_Evicted);
  EXPECT_FALSE(Ledger.open(Listener::Operator, at(20ms)).m_Evicted);
  EXPECT_EQ(Ledger.levels().m_Connections, 6U);
}

TEST(ClientLedger, AListenerHasABoundOfItsOwn) {
  ClientLedger Ledger(smallLimits());
  for (int I = 0; I < 5; ++I)
    Ledger.open(Listener::Operator, at(I * 1ms));
  EXPECT_EQ(Ledger.connections(Listener::Operator), 2U);
}

/// Bodies that were each within the limit took all memory together.
TEST(ClientLedger, RefusesBytesBeyondTheLimitOfAll) {
  ClientLedger Ledger(smallLimits());
  receiving(Ledger, 600, at(0ms));
  const ClientId Second = receiving(Ledger, 600, at(0ms));
  EXPECT_EQ(Ledger.hold(Second, 601, at(1ms)), ClaimResult{});
  EXPECT_EQ(Ledger.levels().m_Bytes, 1'000U);
}

/// Large requests that hold everything would end small ones.
TEST(ClientLedger, EachClientKeepsItsAllowance) {
  ClientLedger Ledger(smallLimits());
  receiving(Ledger, 1'100, at(0ms));
  receiving(Ledger, 100, at(0ms));
  const ClientId Small = receiving(Ledger, 100, at(0ms));
  EXPECT_FALSE(Ledger.hold(Small, 101, at(1ms)).m_IsGranted);
}

/// Bodies that stop short of their end would keep others out until they time
/// out.
TEST(ClientLedger, StalledRequestsGiveWayToOneThatGoesOn) {
  ClientLedger Ledger(smallLimits());
  const ClientId First = receiving(Ledger, 600, at(0ms));
  const ClientId Second = receiving(Ledger, 500, at(100ms));
  const ClientId Third = receiving(Ledger, 100, at(200ms));
  EXPECT_FALSE(Ledger.hold(Third, 300, at(249ms)).m_IsGranted);
  EXPECT_EQ(Ledger.hold(Third, 300, at(250ms)), (ClaimResult{true, {First}}));
  EXPECT_EQ(Ledger.hold(Third, 1'100, at(400ms)),
            (ClaimResult{true, {Second}}));
  EXPECT_EQ(Ledger.levels(), (ClientLedger::Levels{1, 1'000}));
}

/// Nobody is evicted for a claim that is refused all the same.
TEST(ClientLedger, EvictsNobodyInVain) {
  ClientLedger Ledger(smallLimits());
  receiving(Ledger, 300, at(0ms));
  const ClientId Handled = receiving(Ledger, 800, at(0ms));
  Ledger.enter(Handled, ClientPhase::Answering, at(0ms));
  const ClientId Third = receiving(Ledger, 100, at(0ms));
  EXPECT_EQ(Ledger.hold(Third, 1'000, at(1s)), ClaimResult{});
  EXPECT_EQ(Ledger.levels().m_Connections, 3U);
}

TEST(ClientLedger, EvictedClientsHoldNothing) {
  ClientLedger Ledger(smallLimits());
  const ClientId First = receiving(Ledger, 1'100, at(0ms));
  const ClientId Second = receiving(Ledger, 100, at(0ms));
  EXPECT_TRUE(Ledger.hold(Second, 1'100, at(1s)).m_IsGranted);
  EXPECT_FALSE(Ledger.hold(First, 1, at(1s)).m_IsGranted);
  Ledger.enter(First, ClientPhase::Answering, at(1s));
  Ledger.close(First);
  EXPECT_EQ(Ledger.levels(), (ClientLedger::Levels{1, 1'000}));
}

/// A random order of all calls. The ledger's levels must be the sums of what
/// its clients hold, and within the limits.
class RandomClients {
public:
  explicit RandomClients(unsigned Seed) : m_Random(Seed) {}

  void step() {
    m_Now += below(100) * 1ms;
    switch (below(8)) {
    case 0:
    case 1:
      return open();
    case 2:
      return withClient([this](ClientId Id, std::size_t &) {
        m_Ledger.enter(Id, static_cast<ClientPhase>(below(4)), m_Now);
      });
    case 3:
      return close();
    default:
      return withClient([this](ClientId Id, std::size_t &) {
        hold(Id, static_cast<std::size_t>(below(1'300)));
      });
    }
  }

  void check() const {
    const ClientLimits &Limits = m_Ledger.limits();
    std::size_t Bytes = 0;
    for (const auto &[Id, Held] : m_Held)
      Bytes += Held - std::min(Held, Limits.m_Allowance);
    EXPECT_EQ(m_Ledger.levels(), (ClientLedger::Levels{m_Held.size(), Bytes}));
    EXPECT_LE(m_Held.size(), Limits.m_Connections);
    EXPECT_LE(Bytes, Limits.m_Bytes);
    for (std::size_t I = 0; I < ListenerCount; ++I)
      EXPECT_LE(m_Ledger.connections(static_cast<Listener>(I)),
                Limits.m_Listeners[I].m_Most);
  }

private:
  int below(int End) {
    return std::uniform_int_distribution<int>(0, End - 1)(m_Random);
  }

  template <typename Action> void withClient(Action &&Act) {
    if (m_Held.empty())
      return;
    auto Chosen = m_Held.begin();
    std::advance(Chosen, below(static_cast<int>(m_Held.size())));
    Act(Chosen->first, Chosen->second);
  }

  void open() {
    const auto Which = static_cast<Listener>(below(ListenerCount));
    const ClientLedger::Opened Result = m_Ledger.open(Which, m_Now);
    if (Result.m_Evicted) {
      EXPECT_EQ(m_Held.erase(*Result.m_Evicted), 1U);
    }
    if (Result.m_Client)
      m_Held[*Result.m_Client] = 0;
  }

  void close() {
    if (m_Held.empty())
      return;
    const ClientId Id = m_Held.begin()->first;
    m_Ledger.close(Id);
    m_Held.erase(Id);
    EXPECT_FALSE(m_Ledger.hold(Id, 1, m_Now).m_IsGranted);
  }

  void hold(ClientId Id, std::size_t Bytes) {
    const ClaimResult Result = m_Ledger.hold(Id, Bytes, m_Now);
    if (Result.m_IsGranted)
      m_Held[Id] = Bytes;
    EXPECT_TRUE(Result.m_IsGranted || Result.m_Evicted.empty());
    for (const ClientId &Each : Result.m_Evicted)
      EXPECT_EQ(m_Held.erase(Each), 1U);
  }

  std::minstd_rand m_Random;
  ClientLedger m_Ledger{smallLimits()};
  std::map<ClientId, std::size_t> m_Held;
  TimePoint m_Now{};
};

TEST(ClientLedger, LevelsAreSumsAndWithinLimitsInAnyOrderOfCalls) {
  for (unsigned Seed = 1; Seed <= 50; ++Seed) {
    RandomClients Clients(Seed);
    for (int I = 0; I < 500 && !testing::Test::HasFailure(); ++I) {
      Clients.step();
      Clients.check();
    }
    ASSERT_FALSE(testing::Test::HasFailure()) << "seed " << Seed;
  }
}

/// The machines of the deployments: the smallest entry, agent and large entry.
TEST(ClientLedger, LimitsLeaveRoomForTheProcessItself) {
  for (const ProcessLimits Machine :
       {ProcessLimits{112, 2'870}, ProcessLimits{128, 2'048},
        ProcessLimits{1'024, 16'384}, ProcessLimits{64, 256}}) {
    const ClientLimits Limits = clientLimits(Machine);
    const std::size_t Held = Limits.m_Bytes +
                             Limits.m_Connections * 2 * Limits.m_Allowance +
                             answerBytes(Machine);
    EXPECT_LE(Held, Machine.memoryBytes() * 3 / 4);
    EXPECT_LE(Limits.m_Connections, Machine.m_Descriptors * 7 / 10);
    std::size_t Reserved = 0;
    for (const ListenerLimits &Each : Limits.m_Listeners)
      Reserved += Each.m_Reserved;
    EXPECT_LE(Reserved, Limits.m_Connections);
  }
}

/// A body of the largest size that operators declare, received and sent on.
TEST(ClientLedger, LimitsHoldTheLargestBodyOnTheSmallestEntry) {
  constexpr std::size_t MaxBodyBytes = std::size_t{4} * 1024 * 1024;
  EXPECT_GE(clientLimits({112, 2'870}).m_Bytes, 3 * MaxBodyBytes);
}

} // namespace
