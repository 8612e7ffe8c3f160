// Streams whose prompts all share one part, at several entries, while instances
// fail one after the other: by a power failure, or by a part that crashes them.
#include "deckpitch/harmful-requests.h"
#include "deckpitch/recent-answers.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <utility>
#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

const RequestFingerprint Shared = fingerprintOf(PromptPart{0xa1});
const RequestFingerprint Crashing = fingerprintOf(PromptPart{0xbad});

const ServiceId Pool{"pool"};
constexpr Duration Step = 5ms;
constexpr Duration HelloInterval = 300ms;
constexpr Duration CrashDelay = 110ms; ///< from the sending until the crash
constexpr std::size_t StepsPerSecond = 1s / Step;

RequestFingerprint groupPart(std::size_t Group) {
  return Group == 0 ? Shared : fingerprintOf(PromptPart{0xa100 + Group});
}

/// Of requests that many callers send alike.
RequestFingerprint groupRequest(std::size_t Group) {
  const std::string Target = "/status/" + std::to_string(Group);
  return fingerprintOf(RequestParts{"shops", "h.example", "GET", Target, ""});
}

/// One run: entries that send streams to instances and exchange what they know.
class Scene {
public:
  struct Options {
    std::size_t m_Entries = 2;
    std::size_t m_Instances = 12;
    std::size_t m_Groups = 1; ///< of sound streams that share a part
    bool m_AreAlike = false;  ///< those of a group: they share all of it
    double m_StreamsPerSecond = 200;
    double m_CrashingPerSecond = 0;
    Duration m_SoundAfter = 500ms; ///< until a stream's first event
    Duration m_StreamLength = 900ms;
    Duration m_Downtime = 3s; ///< of a crashed instance
  };

  Scene(const Options &From, unsigned Seed)
      : m_Options(From), m_Random(Seed), m_Known(From.m_Entries),
        m_Answered(From.m_Entries), m_Up(From.m_Instances, true),
        m_BackAt(From.m_Instances), m_Lives(From.m_Instances) {}

  void run(Duration Length) {
    for (const TimePoint End = m_Now + Length; m_Now < End; m_Now += Step) {
      restoreInstances();
      send(m_Options.m_StreamsPerSecond,
           {groupFingerprint(m_Random() % m_Options.m_Groups)}, false);
      send(m_Options.m_CrashingPerSecond, {Shared, Crashing}, true);
      send(m_SoundPerSecond, {Shared, Crashing}, false);
      progress();
      if ((m_Now - Start) % HelloInterval < Step)
        exchange();
    }
  }

  /// All instances lose power at random moments within that time.
  void losePower(Duration Within) {
    std::vector<TimePoint> Ends;
    for (std::size_t I = 0; I < m_Up.size(); ++I)
      Ends.push_back(m_Now + std::uniform_int_distribution(
                                 0, static_cast<int>(Within / Step))(m_Random) *
                                 Step);
    for (const TimePoint End = m_Now + Within; m_Now <= End;) {
      for (std::size_t I = 0; I < m_Up.size(); ++I)
        if (m_Up[I] && Ends[I] <= m_Now + Step)
          fail(I, TimePoint::max());
      run(Step);
    }
  }

  void restorePower() {
    for (std::size_t I = 0; I < m_Up.size(); ++I)
      if (!m_Up[I])
        m_BackAt[I] = m_Now;
  }

  std::size_t refusing(const RequestFingerprint &Part) const {
    return static_cast<std::size_t>(
        std::count_if(m_Known.begin(), m_Known.end(), [&](const auto &Each) {
          return Each.refusalOf({Part}, m_Now).has_value();
        }));
  }

  /// The number of groups whose part any entry refuses.
  std::size_t refusedGroups() const {
    std::size_t Count = 0;
    for (std::size_t I = 0; I < m_Options.m_Groups; ++I)
      Count += refusing(groupFingerprint(I)) > 0 ? 1 : 0;
    return Count;
  }

  void setCrashing(double PerSecond) {
    m_Options.m_CrashingPerSecond = PerSecond;
  }

  /// Requests with the part that crashes nothing yet.
  void sendSound(double PerSecond) { m_SoundPerSecond = PerSecond; }

  /// Arrivals of the part that crashes instances, in order.
  const std::vector<TimePoint> &crashes() const { return m_Crashes; }

private:
  struct Stream {
    std::size_t m_Entry;
    std::size_t m_Instance;
    TimePoint m_Sent;
    std::vector<RequestFingerprint> m_Parts;
    bool m_Crashes = false;
    bool m_IsSound = false;
  };

  RequestFingerprint groupFingerprint(std::size_t Group) const {
    return m_Options.m_AreAlike ? groupRequest(Group) : groupPart(Group);
  }

  InstanceId idOf(std::size_t Number) const {
    return {"i-" + std::to_string(Number) + "-" +
            std::to_string(m_Lives[Number])};
  }

  void restoreInstances() {
    for (std::size_t I = 0; I < m_Up.size(); ++I)
      if (!m_Up[I] && m_BackAt[I] <= m_Now) {
        m_Up[I] = true;
        ++m_Lives[I];
      }
  }

  void send(double PerSecond, const std::vector<RequestFingerprint> &Parts,
            bool Crashes) {
    if (std::uniform_real_distribution(0.0, 1.0)(m_Random) >=
        PerSecond / static_cast<double>(StepsPerSecond))
      return;
    const std::size_t Entry = m_Random() % m_Known.size();
    std::vector<std::size_t> Running;
    for (std::size_t I = 0; I < m_Up.size(); ++I)
      if (m_Up[I])
        Running.push_back(I);
    if (m_Known[Entry].refusalOf(Parts, m_Now) &&
        !m_Known[Entry].beginTrial(Parts, Entry, m_Now))
      return;
    if (!Running.empty())
      m_Streams.push_back(
          {Entry, Running[m_Random() % Running.size()], m_Now, Parts, Crashes});
  }

  void progress() {
    std::vector<std::size_t> Crashed;
    for (Stream &Each : m_Streams) {
      if (Each.m_Crashes && m_Now - Each.m_Sent >= CrashDelay)
        Crashed.push_back(Each.m_Instance);
      if (Each.m_Crashes ||
          m_Now - Each.m_Sent <
              std::min(m_Options.m_SoundAfter, m_Options.m_StreamLength))
        continue;
      if (!std::exchange(Each.m_IsSound, true)) {
        for (const RequestFingerprint &Part : Each.m_Parts)
          m_Known[Each.m_Entry].answered(Part, m_Now);
        m_Answered[Each.m_Entry].add(Pool, Each.m_Parts, m_Now);
      }
    }
    for (const std::size_t Each : Crashed)
      if (m_Up[Each]) {
        m_Crashes.push_back(m_Now);
        fail(Each, m_Now + m_Options.m_Downtime);
      }
    std::erase_if(m_Streams, [this](const Stream &Each) {
      return m_Now - Each.m_Sent >= m_Options.m_StreamLength;
    });
  }

  /// The entries lose the streams of the instance.
  void fail(std::size_t Instance, TimePoint BackAt) {
    m_Up[Instance] = false;
    m_BackAt[Instance] = BackAt;
    for (const Stream &Each : m_Streams)
      if (Each.m_Instance == Instance && !Each.m_IsSound)
        for (const RequestFingerprint &Part : Each.m_Parts)
          m_Known[Each.m_Entry].lost(
              Part, idOf(Instance), Each.m_Sent, m_Now,
              m_Answered[Each.m_Entry].isRare(Pool, Part, m_Now));
    std::erase_if(m_Streams, [Instance](const Stream &Each) {
      return Each.m_Instance == Instance;
    });
  }

  void exchange() {
    for (HarmfulRequests &From : m_Known)
      for (const SuspectRequest &Each : From.updatesToSend(100, m_Now))
        for (HarmfulRequests &To : m_Known)
          if (&To != &From)
            To.receive(Each, m_Now);
  }

  static constexpr TimePoint Start{1h};
  Options m_Options;
  std::mt19937 m_Random;
  TimePoint m_Now = Start;
  std::vector<HarmfulRequests> m_Known;  ///< by entry
  std::vector<RecentAnswers> m_Answered; ///< by entry
  std::vector<bool> m_Up;
  std::vector<TimePoint> m_BackAt;
  std::vector<int> m_Lives;
  std::vector<Stream> m_Streams;
  std::vector<TimePoint> m_Crashes;
  double m_SoundPerSecond = 0;
};

/// Each seed is a test of its own: a sanitizer takes minutes for all of them.
class HarmfulPartsOfSeed : public testing::TestWithParam<unsigned> {};

/// All instances lost power one after the other, before or soon after they had
/// answered: the part that all prompts share was refused for two minutes.
TEST_P(HarmfulPartsOfSeed, PowerFailureDoesNotEndService) {
  const unsigned Seed = GetParam();
  for (const Duration Up : std::vector<Duration>{0s, 300ms, 5s})
    for (const Duration Within :
         std::vector<Duration>{300ms, 600ms, 1s, 1500ms, 2s, 3s}) {
      Scene Run({.m_Entries = 2 + 4 * (Seed % 2)}, Seed);
      Run.run(Up);
      Run.losePower(Within);
      Run.run(1s);
      Run.restorePower();
      Run.run(12s);
      EXPECT_EQ(Run.refusing(Shared), 0U)
          << "after " << Up / 1ms << " ms, within " << Within / 1ms << " ms";
    }
}

/// Two power failures, the second one up to 1.2 s after the return from the
/// first; the number of refused groups 12 s after the second return.
std::size_t refusedAfterTwoFailures(std::size_t Groups, Duration Up,
                                    unsigned Seed) {
  Scene Run({.m_Entries = 2 + 4 * (Seed % 2), .m_Groups = Groups}, Seed);
  Run.run(300ms);
  for (int Failure = 0; Failure < 2; ++Failure) {
    Run.losePower(600ms);
    Run.run(1s);
    Run.restorePower();
    Run.run(Failure == 0 ? Up : 12s);
  }
  return Run.refusedGroups();
}

void expectNoneRefused(std::size_t Groups, unsigned Seed) {
  for (const Duration Up : std::vector<Duration>{600ms, 800ms, 1200ms})
    EXPECT_EQ(refusedAfterTwoFailures(Groups, Up, Seed), 0U)
        << Groups << " groups, up " << Up / 1ms << " ms, seed " << Seed;
}

/// Prompts of several kinds: one answer of any kind made the parts of all
/// others look rare, so that their refusals were never tried.
TEST_P(HarmfulPartsOfSeed, PowerFailuresDoNotEndServiceOfSeveralKinds) {
  for (const std::size_t Groups : std::vector<std::size_t>{2, 4})
    expectNoneRefused(Groups, GetParam());
}

/// A power failure during a trial made the refusal final, as a loss under a
/// harmful part does.
TEST_P(HarmfulPartsOfSeed, PowerFailureDuringATrialDoesNotEndService) {
  constexpr std::size_t Groups = 8;
  expectNoneRefused(Groups, GetParam());
}

INSTANTIATE_TEST_SUITE_P(Seeds, HarmfulPartsOfSeed, testing::Range(0U, 10U));

/// A second power failure hits a trial that is not answered yet. No other
/// request runs at that time, so that nothing shows that all machines failed.
TEST(HarmfulParts, PowerFailureDuringASlowTrialDoesNotEndService) {
  constexpr unsigned Seeds = 20;
  unsigned Refusing = 0;
  for (unsigned Seed = 0; Seed < Seeds; ++Seed) {
    Scene Run({.m_Entries = 6,
               .m_StreamsPerSecond = 10,
               .m_SoundAfter = 2s,
               .m_StreamLength = 3s},
              Seed);
    Run.run(300ms);
    for (const Duration Up : std::vector<Duration>{1200ms, 14s}) {
      Run.losePower(600ms);
      Run.run(1s);
      Run.restorePower();
      Run.run(Up);
    }
    Refusing += Run.refusing(Shared) > 0 ? 1 : 0;
  }
  EXPECT_EQ(Refusing, 0U) << "of " << Seeds << " seeds";
}

class EqualRequestsOfSeed : public testing::TestWithParam<unsigned> {};

/// Requests that many callers send alike, such as polls, were refused for two
/// minutes without a trial.
TEST_P(EqualRequestsOfSeed, PowerFailureDoesNotEndService) {
  for (const Duration Up : std::vector<Duration>{0s, 300ms})
    for (const Duration Within : std::vector<Duration>{600ms, 1500ms, 3s}) {
      Scene Run({.m_AreAlike = true}, GetParam());
      Run.run(Up);
      Run.losePower(Within);
      Run.run(1s);
      Run.restorePower();
      Run.run(12s);
      EXPECT_EQ(Run.refusedGroups(), 0U)
          << "after " << Up / 1ms << " ms, within " << Within / 1ms << " ms";
    }
}

INSTANTIATE_TEST_SUITE_P(Seeds, EqualRequestsOfSeed, testing::Range(0U, 30U));

/// The number of the part's arrivals later than three seconds after the fifth.
std::size_t lateCrashes(const Scene &Run) {
  const std::vector<TimePoint> &All = Run.crashes();
  return static_cast<std::size_t>(
      std::count_if(All.begin(), All.end(), [&](const TimePoint &Each) {
        return All.size() > 5 && Each > All[4] + 3s;
      }));
}

class CrashingPartOfSeed : public testing::TestWithParam<unsigned> {};

/// Requests with the part arrive from the start: nothing is tried.
TEST_P(CrashingPartOfSeed, PartThatCrashesInstancesIsRefused) {
  const unsigned Seed = GetParam();
  Scene Run({.m_Entries = 2 + 4 * (Seed % 2)}, Seed);
  Run.run(5s);
  Run.setCrashing(6);
  Run.run(30s);
  EXPECT_LE(Run.crashes().size(), 10U);
  EXPECT_LE(lateCrashes(Run), 3U);
  EXPECT_EQ(Run.refusing(Crashing), 2U + 4 * (Seed % 2));
  EXPECT_EQ(Run.refusing(Shared), 0U);
}

/// Each entry forgave five losses for itself, so that the part crashed instance
/// after instance.
TEST_P(CrashingPartOfSeed, PartThatBecomesHarmfulIsRefused) {
  const unsigned Seed = GetParam();
  for (const double PerSecond : {2.0, 6.0}) {
    Scene Run({.m_Entries = 2 + 4 * (Seed % 2)}, Seed);
    Run.sendSound(PerSecond);
    Run.run(12s);
    Run.sendSound(0);
    Run.setCrashing(PerSecond);
    Run.run(30s);
    EXPECT_LE(lateCrashes(Run), 3U) << PerSecond << ' ' << Seed;
    EXPECT_EQ(Run.refusing(Crashing), 2U + 4 * (Seed % 2)) << Seed;
  }
}

INSTANTIATE_TEST_SUITE_P(Seeds, CrashingPartOfSeed, testing::Range(0U, 20U));

} // namespace
