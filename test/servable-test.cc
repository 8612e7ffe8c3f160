// Property test of which weights may serve: runs the decisions of the swarm and
// of the rollout against a model engine, with random events on a virtual clock.
#include "deckpitch/rollout.h"
#include "deckpitch/swarm.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <variant>
#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t Chunks = 4;
constexpr std::uint32_t Versions = 3;
constexpr PeerNumber Peers = 3;
constexpr int Seeds = 300;
constexpr int RandomEvents = 500;
constexpr int FaultFreeEvents = 2'000;

/// Identifies the bytes of a chunk; 0: missing, or named by no manifest.
using ChunkContent = std::uint64_t;

WeightsId versionNamed(std::uint32_t Version) {
  return WeightsId{"m@" + std::to_string(Version)};
}

Digest digestOf(std::uint64_t Value) {
  Digest Out;
  for (std::size_t I = 0; I < sizeof(Value); ++I)
    Out.m_Bytes[I] = static_cast<std::uint8_t>(Value >> (8 * I));
  return Out;
}

/// The content of a version. The origin may replace it under the same name.
struct Edition {
  std::uint32_t m_Version = 0;
  std::uint32_t m_Number = 0;

  ChunkContent chunk(std::uint32_t Index) const {
    return (std::uint64_t{m_Version} + 1) << 32 | m_Number << 8 | (Index + 1);
  }
  Digest whole() const { return digestOf(chunk(0)); }
};

using Staging = std::map<std::uint32_t, ChunkContent>;

/// An engine that obeys orders but may report a wrong digest.
struct ModelEngine {
  std::uint32_t m_Slots = 2;
  std::map<WeightsId, Staging> m_Staging;
  std::vector<LoadedWeights> m_Loaded;

  EngineStatus status() const {
    EngineStatus Out;
    Out.m_Slots = m_Slots;
    Out.m_Loaded = m_Loaded;
    return Out;
  }
  LoadedWeights *find(const WeightsId &Weights) {
    const auto Found = std::find_if(
        m_Loaded.begin(), m_Loaded.end(),
        [&](const LoadedWeights &Each) { return Each.m_Weights == Weights; });
    return Found == m_Loaded.end() ? nullptr : &*Found;
  }
  bool holds(const Edition &Of) {
    const Staging &Staged = m_Staging[versionNamed(Of.m_Version)];
    for (std::uint32_t I = 0; I < Chunks; ++I)
      if (const auto Found = Staged.find(I);
          Found == Staged.end() || Found->second != Of.chunk(I))
        return false;
    return true;
  }
};

/// Short quarantines, so that a run covers many faulty peers.
SwarmOptions swarmOptions() {
  SwarmOptions Out;
  Out.m_Quarantine = Out.m_LongQuarantine = 2s;
  return Out;
}

/// The agent's state of one copy.
struct ModelCopy {
  Edition m_Edition;
  std::unique_ptr<Swarm> m_Swarm;
  std::vector<std::uint32_t> m_Reading;  ///< from the origin, unanswered
  std::vector<SendRequest> m_Requested;  ///< from peers, unanswered
  std::vector<std::uint32_t> m_Unstaged; ///< verified, being staged
};

/// One instance that is driven by random events. Its agent is a small model of
/// how the daemon carries out the kernel's decisions.
class InstanceModel {
public:
  explicit InstanceModel(int Seed)
      : m_Random(static_cast<std::uint32_t>(Seed)), m_Current(Versions) {
    for (std::uint32_t I = 0; I < Versions; ++I)
      m_Current[I].m_Version = I;
    m_Engine.m_Slots = 1 + pick(2);
    m_Goal.m_Pool = PoolId{"chat"};
    changeVersion();
  }

  void randomEvent() {
    m_Now += std::chrono::milliseconds(pick(400));
    const std::uint32_t Kind = pick(400);
    if (Kind < 4)
      return changeVersion();
    if (Kind < 6)
      return restartAgent();
    if (Kind < 7)
      return restartEngine();
    if (Kind < 9)
      return changeContent();
    if (Kind < 11)
      return corruptStaging();
    if (Kind < 100)
      return round();
    copyEvent(true);
  }

  /// Runs without faults: everything arrives and the engine obeys every order.
  bool servesWithoutFaults() {
    m_FaultFree = true;
    m_Goal.m_Activate = m_Goal.m_Prefetch;
    for (int I = 0; I < FaultFreeEvents; ++I) {
      m_Now += 100ms;
      copyEvent(false);
      round();
      const LoadedWeights *Active = active();
      if (Active && Active->m_Weights == m_Goal.m_Activate && m_Ready)
        return true;
    }
    return false;
  }

  int timesServed() const { return m_TimesServed; }
  const std::string &violation() const { return m_Violation; }
  std::string describe() const {
    return "step " + m_LastCondition + ", wanted " + m_Goal.m_Activate.m_Text;
  }

private:
  std::uint32_t pick(std::uint32_t Below) { return m_Random() % Below; }

  LoadedWeights *active() {
    for (LoadedWeights &Each : m_Engine.m_Loaded)
      if (Each.m_Active)
        return &Each;
    return nullptr;
  }

  void violated(const std::string &What) {
    if (m_Violation.empty())
      m_Violation = What;
  }

  void changeVersion() {
    m_Goal.m_Prefetch = versionNamed(pick(Versions));
    if (m_Goal.m_Activate.empty() || pick(2) == 0)
      m_Goal.m_Activate = m_Goal.m_Prefetch;
  }

  void restartAgent() {
    m_Copies.clear();
    m_Confirmed.clear();
    m_Served = {};
  }

  void restartEngine() {
    for (const auto &[Weights, Staged] : m_Engine.m_Staging)
      m_DamagedStaging.insert(Weights);
    m_Engine.m_Staging.clear();
    m_Engine.m_Loaded.clear();
    m_EverVerified.clear();
  }

  /// The origin replaces the content of a version under its name.
  void changeContent() {
    const std::uint32_t Version = pick(Versions);
    ++m_Current[Version].m_Number;
    m_Copies.erase(versionNamed(Version));
  }

  void corruptStaging() {
    for (auto &[Weights, Staged] : m_Engine.m_Staging)
      for (auto &[Index, Content] : Staged)
        if (pick(8) == 0) {
          Content = 0;
          m_DamagedStaging.insert(Weights);
        }
  }

  ModelCopy *anyCopy() {
    if (m_Copies.empty())
      return nullptr;
    auto At = m_Copies.begin();
    std::advance(At, pick(static_cast<std::uint32_t>(m_Copies.size())));
    return &At->second;
  }

  void perform(ModelCopy &In, const SwarmActions &Actions) {
    for (const SwarmAction &Each : Actions) {
      if (const auto *Read = std::get_if<ReadOrigin>(&Each))
        In.m_Reading.push_back(Read->m_Chunk);
      if (const auto *Request = std::get_if<SendRequest>(&Each))
        In.m_Requested.push_back(*Request);
      if (const auto *Drop = std::get_if<DropPeer>(&Each)) {
        std::erase_if(In.m_Requested, [&](const SendRequest &Open) {
          return Open.m_Peer == Drop->m_Peer;
        });
        perform(In, In.m_Swarm->onPeerGone(Drop->m_Peer, m_Now));
      }
    }
  }

  void joinPeer(ModelCopy &In) {
    const PeerNumber Number = pick(Peers);
    ChunkSet Has(Chunks);
    for (std::uint32_t I = 0; I < Chunks; ++I)
      if (pick(3) > 0)
        Has.insert(I);
    const InstanceId Id{"peer-" + std::to_string(Number)};
    if (!In.m_Swarm->isQuarantined(Id, m_Now))
      perform(In, In.m_Swarm->onPeerJoined(Number, Id, DataCentreId{"lahore"},
                                           Has, Has, m_Now));
  }

  template <typename Value> Value takeAny(std::vector<Value> &From) {
    const auto At =
        From.begin() + pick(static_cast<std::uint32_t>(From.size()));
    Value Out = *At;
    From.erase(At);
    return Out;
  }

  void copyEvent(bool Faults) {
    ModelCopy *In = anyCopy();
    if (!In)
      return;
    switch (pick(6)) {
    case 0:
      return perform(*In, In->m_Swarm->onTick(m_Now));
    case 1:
      return joinPeer(*In);
    case 2:
      return perform(*In, In->m_Swarm->onGrant(pick(Peers), m_Now));
    case 3:
      return peerAnswers(*In, Faults);
    case 4:
      return originAnswers(*In, Faults);
    default:
      return stagingAnswers(*In, Faults);
    }
  }

  void peerAnswers(ModelCopy &In, bool Faults) {
    if (In.m_Requested.empty())
      return;
    const SendRequest Open = takeAny(In.m_Requested);
    if (!In.m_Swarm->expects(Open.m_Peer, Open.m_Chunk))
      return;
    const bool Verified = !Faults || pick(4) > 0;
    const bool Wanted = In.m_Swarm->wants(Open.m_Chunk);
    perform(In,
            In.m_Swarm->onArrived(Open.m_Peer, Open.m_Chunk, Verified, m_Now));
    if (Verified && Wanted)
      In.m_Unstaged.push_back(Open.m_Chunk);
  }

  void originAnswers(ModelCopy &In, bool Faults) {
    if (In.m_Reading.empty())
      return;
    using enum Swarm::OriginOutcome;
    constexpr Swarm::OriginOutcome Any[] = {Good, Good, Corrupt, Failed,
                                            Refused};
    const std::uint32_t Chunk = takeAny(In.m_Reading);
    const auto How = Faults ? Any[pick(std::size(Any))] : Good;
    const bool Wanted = In.m_Swarm->wants(Chunk);
    perform(In, In.m_Swarm->onOriginReply(Chunk, How, m_Now));
    if (How == Good && Wanted)
      In.m_Unstaged.push_back(Chunk);
  }

  void stagingAnswers(ModelCopy &In, bool Faults) {
    if (In.m_Unstaged.empty())
      return;
    const std::uint32_t Chunk = takeAny(In.m_Unstaged);
    const bool Stored = !Faults || pick(4) > 0;
    if (Stored)
      m_Engine.m_Staging[versionNamed(In.m_Edition.m_Version)][Chunk] =
          In.m_Edition.chunk(Chunk);
    perform(In, In.m_Swarm->onStaged(Chunk, Stored, m_Now));
  }

  std::vector<CopyState> copyStates() const {
    std::vector<CopyState> Out;
    for (const auto &[Weights, Each] : m_Copies)
      Out.push_back(
          {Weights, {}, Each.m_Edition.whole(), Each.m_Swarm->complete()});
    for (const auto &[Weights, Whole] : m_Confirmed)
      if (!m_Copies.contains(Weights))
        Out.push_back({Weights, {}, Whole, false});
    return Out;
  }

  void round() {
    const EngineStatus Status = m_Engine.status();
    const RolloutStep Step =
        nextStep(m_Goal, Status, copyStates(), m_Served, 0);
    m_Ready = Step.m_Ready;
    m_LastCondition = Step.m_Condition;
    if (Step.m_Kind == StepKind::Serve) {
      m_Served = {m_Goal.m_Pool, m_Goal.m_Activate};
      ++m_TimesServed;
    }
    if (Step.m_Ready)
      checkVerified(active(), "ready");
    std::erase_if(m_Copies, [&](const auto &Each) {
      return Each.first != m_Goal.m_Activate &&
             Each.first != m_Goal.m_Prefetch &&
             Each.first != m_Served.m_Weights && Each.first != Step.m_Weights;
    });
    perform(Step);
  }

  /// Checks that the weights were complete in staging and confirmed with their
  /// own digest.
  void checkVerified(const LoadedWeights *Held, const std::string &What) {
    if (!Held)
      return violated(What + " without loaded weights");
    if (!m_EverVerified.contains({Held->m_Weights, Held->m_Digest}))
      violated(What + " with unverified content of " + Held->m_Weights.m_Text);
  }

  void perform(const RolloutStep &Step) {
    switch (Step.m_Kind) {
    case StepKind::Copy:
      if (!m_Copies.contains(Step.m_Weights))
        startCopy(Step.m_Weights);
      break;
    case StepKind::Load:
      load(Step.m_Weights);
      break;
    case StepKind::Activate:
      activate(Step.m_Weights);
      break;
    case StepKind::Unload:
      std::erase_if(m_Engine.m_Loaded, [&](const LoadedWeights &Each) {
        return Each.m_Weights == Step.m_Weights;
      });
      m_Engine.m_Staging.erase(Step.m_Weights);
      m_DamagedStaging.insert(Step.m_Weights);
      break;
    default:
      break;
    }
  }

  /// Reads the manifest and adds the staged chunks with matching digests.
  void startCopy(const WeightsId &Weights) {
    const auto Found = std::find_if(
        m_Current.begin(), m_Current.end(), [&](const Edition &Each) {
          return versionNamed(Each.m_Version) == Weights;
        });
    ModelCopy &Fresh = m_Copies[Weights];
    Fresh.m_Edition = *Found;
    m_DamagedStaging.erase(Weights);
    Fresh.m_Swarm =
        std::make_unique<Swarm>(InstanceId{"self"}, DataCentreId{"lahore"},
                                Chunks, swarmOptions(), m_Random());
    Fresh.m_Swarm->setInstances({InstanceId{"self"}, InstanceId{"peer-0"}});
    for (const auto &[Index, Content] : m_Engine.m_Staging[Weights])
      if (Content == Found->chunk(Index))
        Fresh.m_Swarm->addStaged(Index, m_Now);
  }

  void load(const WeightsId &Weights) {
    const auto Copy = m_Copies.find(Weights);
    if (Copy == m_Copies.end())
      return violated("loaded uncopied weights");
    const Edition Of = Copy->second.m_Edition;
    // The engine reports chunks that staging lost after they were stored, and
    // the agent checks all of them again.
    const bool Whole = m_Engine.holds(Of);
    if (!Whole && !m_DamagedStaging.contains(Weights))
      violated("ordered to load incomplete weights");
    if (!Whole) {
      m_Copies.erase(Copy);
      return;
    }
    LoadedWeights *Same = m_Engine.find(Weights);
    if (Same && Same->m_Active && Same->m_Digest != Of.whole())
      return; // in use
    const bool Wrong = !m_FaultFree && pick(4) == 0;
    const Digest Reported = Wrong ? digestOf(m_Random()) : Of.whole();
    if (!Wrong)
      m_EverVerified.insert({Weights, Reported});
    if (Same)
      Same->m_Digest = Reported;
    else
      m_Engine.m_Loaded.push_back({Weights, Reported, false});
    m_Confirmed[Weights] = Of.whole();
  }

  void activate(const WeightsId &Weights) {
    LoadedWeights *Wanted = m_Engine.find(Weights);
    checkVerified(Wanted, "activated");
    if (!Wanted)
      return;
    for (LoadedWeights &Each : m_Engine.m_Loaded)
      Each.m_Active = false;
    Wanted->m_Active = true;
  }

  std::mt19937 m_Random;
  TimePoint m_Now{1'000s};
  std::vector<Edition> m_Current; ///< contents of the origin's manifests
  ModelEngine m_Engine;
  InstanceGoal m_Goal;
  AssignedPool m_Served;
  std::map<WeightsId, ModelCopy> m_Copies;
  std::map<WeightsId, Digest> m_Confirmed; ///< loaded since the agent's start
  std::set<std::pair<WeightsId, Digest>> m_EverVerified;
  std::set<WeightsId> m_DamagedStaging; ///< staging lost stored chunks
  bool m_FaultFree = false;
  bool m_Ready = false;
  int m_TimesServed = 0;
  std::string m_LastCondition;
  std::string m_Violation;
};

TEST(Servable, ServesOnlyVerifiedAndConfirmedWeights) {
  int Served = 0;
  for (int Seed = 0; Seed < Seeds; ++Seed) {
    InstanceModel Subject(Seed);
    for (int I = 0; I < RandomEvents && Subject.violation().empty(); ++I)
      Subject.randomEvent();
    ASSERT_EQ(Subject.violation(), "") << "seed " << Seed;
    Served += Subject.timesServed();
  }
  EXPECT_GT(Served, Seeds) << "weights hardly ever served";
}

TEST(Servable, ServesWhenTheFaultsEnd) {
  for (int Seed = 0; Seed < Seeds; ++Seed) {
    InstanceModel Subject(Seed);
    for (int I = 0; I < RandomEvents; ++I)
      Subject.randomEvent();
    ASSERT_TRUE(Subject.servesWithoutFaults())
        << "seed " << Seed << ": " << Subject.describe();
    ASSERT_EQ(Subject.violation(), "") << "seed " << Seed;
  }
}

} // namespace
