// States in which a copy could be stuck forever: a timeout must end each.
#include "deckpitch/swarm.h"

#include <gtest/gtest.h>

#include <functional>
#include <string>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000'000s};
constexpr std::uint32_t Chunks = 12;
/// Exceeds the sum of all timeouts of a swarm: a copy that takes longer is
/// stuck.
constexpr Duration LongEnough = 5min;

/// One swarm with an origin and peers that are scripted by the test.
class SwarmProgress : public testing::Test {
protected:
  using PeerStep = std::function<void(TimePoint Now)>;
  using OriginStep =
      std::function<Swarm::OriginOutcome(std::uint32_t Chunk, TimePoint Now)>;

  void join(PeerNumber Number, const std::string &Centre, bool HasAll,
            TimePoint Now) {
    ChunkSet Has(Chunks);
    for (std::uint32_t I = 0; HasAll && I < Chunks; ++I)
      Has.insert(I);
    m_Swarm.onPeerJoined(Number, {"peer-" + std::to_string(Number)}, {Centre},
                         Has, ChunkSet(Chunks), Now);
  }
  /// Grants an upload and returns the chunk that the swarm requests, if any.
  std::optional<std::uint32_t> grant(PeerNumber From, TimePoint Now) {
    for (const SwarmAction &Each : m_Swarm.onGrant(From, Now))
      if (const auto *Asked = std::get_if<SendRequest>(&Each))
        return Asked->m_Chunk;
    return std::nullopt;
  }
  void take(std::uint32_t Chunk, TimePoint Now) {
    m_Swarm.onStaged(Chunk, true, Now);
  }

  /// Whether the copy becomes complete.
  bool completes(const PeerStep &Peers, const OriginStep &Origin) {
    for (Duration At{}; At < LongEnough && !m_Swarm.complete(); At += 100ms) {
      const TimePoint Now = Start + At;
      Peers(Now);
      // Reads that result from a reply are appended and handled too.
      SwarmActions Due = m_Swarm.onTick(Now);
      for (std::size_t I = 0; I < Due.size(); ++I) {
        const auto *Read = std::get_if<ReadOrigin>(&Due[I]);
        if (!Read)
          continue;
        const std::uint32_t Chunk = Read->m_Chunk;
        const auto How = Origin(Chunk, Now);
        const SwarmActions Next = m_Swarm.onOriginReply(Chunk, How, Now);
        Due.insert(Due.end(), Next.begin(), Next.end());
        if (How == Swarm::OriginOutcome::Good)
          take(Chunk, Now);
      }
    }
    return m_Swarm.complete();
  }

  static Swarm::OriginOutcome isDown(std::uint32_t, TimePoint) {
    return Swarm::OriginOutcome::Refused;
  }
  static Swarm::OriginOutcome isGood(std::uint32_t, TimePoint) {
    return Swarm::OriginOutcome::Good;
  }

  Swarm m_Swarm{{"self"}, {"lahore"}, Chunks, {}, 7};
};

TEST_F(SwarmProgress, CompletesWithAnOriginThatRefusesSomeReads) {
  for (std::uint32_t Every : {2U, 3U, 5U}) {
    m_Swarm = Swarm({"self"}, {"lahore"}, Chunks, {}, 7);
    std::uint32_t Reads = 0;
    const auto Loses = [&](std::uint32_t, TimePoint) {
      return ++Reads % Every == 0 ? Swarm::OriginOutcome::Refused
                                  : Swarm::OriginOutcome::Good;
    };
    EXPECT_TRUE(completes([](TimePoint) {}, Loses)) << Every;
  }
}

TEST_F(SwarmProgress, CompletesWithoutTheImporters) {
  std::vector<InstanceId> Near{{"self"}};
  for (PeerNumber Each = 2; Each < 9; ++Each) {
    Near.push_back({"peer-" + std::to_string(Each)});
    join(Each, "lahore", false, Start);
  }
  join(1, "multan", true, Start);
  m_Swarm.setDataCentres({{{"lahore"}, Near}, {{"multan"}, {{"peer-1"}}}});
  const auto Offers = [&](TimePoint Now) {
    for (PeerNumber Each = 1; Each < 9; ++Each)
      m_Swarm.onHave(Each, {}, {}, Now);
    if (const auto Asked = grant(1, Now)) {
      m_Swarm.onArrived(1, *Asked, true, Now);
      take(*Asked, Now);
    }
  };
  EXPECT_TRUE(completes(Offers, isDown));
}

TEST_F(SwarmProgress, CompletesWhenPeersNeverSend) {
  std::uint32_t Asked = 0;
  PeerNumber Next = 0;
  // The peers stay alive and reconnect as soon as their quarantine ends.
  const auto Promise = [&](TimePoint Now) {
    if (m_Swarm.peerCount() < 2)
      join(++Next % 4, "lahore", true, Now);
    for (PeerNumber Each = 0; Each < 4; ++Each) {
      m_Swarm.onHave(Each, {}, {}, Now);
      Asked += grant(Each, Now).has_value();
    }
  };
  EXPECT_TRUE(completes(Promise, isGood));
  EXPECT_GT(Asked, 0U);
}

// Without a timeout for holders that send nothing this copy was stuck: after
// each refusal its chunk still has two holders.
TEST_F(SwarmProgress, CompletesWhenPeersRefuseGrantedChunks) {
  join(1, "lahore", true, Start);
  join(2, "lahore", true, Start);
  const auto Refuse = [&](TimePoint Now) {
    for (PeerNumber Each : {1, 2}) {
      m_Swarm.onHave(Each, {}, {}, Now);
      if (const auto Asked = grant(Each, Now))
        m_Swarm.onRefusal(Each, *Asked, Now);
    }
  };
  EXPECT_TRUE(completes(Refuse, isGood));
}

TEST_F(SwarmProgress, CompletesWhenAllPeersAreQuarantined) {
  const auto Spoil = [&](TimePoint Now) {
    for (PeerNumber Each : {1, 2}) {
      join(Each, "lahore", true, Now);
      if (const auto Asked = grant(Each, Now))
        m_Swarm.onArrived(Each, *Asked, false, Now);
    }
  };
  EXPECT_TRUE(completes(Spoil, isGood));
  EXPECT_GE(m_Swarm.counters().m_Corrupt, 2U);
}

TEST_F(SwarmProgress, CompletesWhenAPeerNeverUsesItsGrants) {
  join(1, "lahore", false, Start);
  join(2, "lahore", true, Start);
  const auto Give = [&](TimePoint Now) {
    m_Swarm.onHave(1, {}, {}, Now);
    if (const auto Asked = grant(2, Now)) {
      m_Swarm.onArrived(2, *Asked, true, Now);
      take(*Asked, Now);
    }
  };
  EXPECT_TRUE(completes(Give, isDown));
}

} // namespace
