#include "deckpitch/engine-model.h"

#include <algorithm>
#include <cmath>

namespace deckpitch {

namespace {

/// Of an objective where no agent is asked; see PlannedShare.
constexpr double PlannedPart = 0.85;

/// Of a profile whose numbers are its operator's.
constexpr double LongestMs = 24 * 3'600 * 1e3;

Duration fromMs(double Ms) {
  return Duration(
      static_cast<Duration::rep>(std::clamp(Ms, 0.0, LongestMs) * 1e6));
}

double slotsOf(const EngineProfile &Profile) {
  return std::max(1U, Profile.m_Slots);
}

/// One token for each of as many writers as there are slots.
double fullStepMs(const EngineProfile &Profile) {
  const double KiloTokens =
      (Profile.m_UsualPromptTokens + Profile.m_UsualAnswerTokens / 2) / 1'000;
  return Profile.m_StepMs +
         slotsOf(Profile) * (Profile.m_StepMsPerWriter +
                             KiloTokens * Profile.m_StepMsPerKiloToken);
}

double readMs(const EngineProfile &Profile, double Tokens) {
  return Tokens / std::max(Profile.m_ReadTokensPerMs, 0.001);
}

/// Mean time between two ends at an engine whose places are taken by usual
/// streams: each place's writing, and a prompt read for each that begins.
double betweenEndsMs(const EngineProfile &Profile) {
  return Profile.m_UsualAnswerTokens * fullStepMs(Profile) / slotsOf(Profile) +
         readMs(Profile, Profile.m_UsualPromptTokens);
}

} // namespace

EngineCapacity capacityOf(const EngineProfile &Profile,
                          std::chrono::milliseconds Objective) {
  const double Slots = slotsOf(Profile);
  const double Steps = std::max(1U, Profile.m_StepsPerPass);
  const double StepMs = fullStepMs(Profile);
  const double ReadMs = readMs(Profile, Profile.m_UsualPromptTokens);
  const double BetweenMs = betweenEndsMs(Profile);
  // Half a pass until it is read, its own reading, and its first pass.
  const double FirstMs = 1.5 * Steps * StepMs + ReadMs;
  const double SpareMs =
      PlannedPart * static_cast<double>(Objective.count()) - FirstMs;
  const double Queued = std::clamp(SpareMs / std::max(BetweenMs, 0.001), 0.0,
                                   MostQueuedShare * Slots);
  return {Slots + std::floor(Queued), fromMs(BetweenMs)};
}

Duration streamTime(const EngineProfile &Profile, const StreamSize &Size) {
  const double Usual = std::max(Profile.m_UsualAnswerTokens, 1.0);
  const double Tokens = Size.m_AnswerTokens > 0 ? Size.m_AnswerTokens : Usual;
  // While a usual stream is written each other place is taken anew once, and
  // its prompt read in between.
  const double TokenMs = betweenEndsMs(Profile) * slotsOf(Profile) / Usual;
  return fromMs(readMs(Profile, Size.m_PromptTokens) + Tokens * TokenMs);
}

PlaceQuery placeQueryFor(const EngineProfile &Profile, const StreamSize &Size,
                         Duration FirstWithin, double Reserve) {
  const double PassMs =
      std::max(1U, Profile.m_StepsPerPass) * fullStepMs(Profile);
  PlaceQuery Out;
  Out.m_Slots = std::max(1U, Profile.m_Slots);
  Out.m_Reserve = Reserve;
  Out.m_BetweenEnds = fromMs(betweenEndsMs(Profile));
  Out.m_ReadTime = fromMs(readMs(Profile, Size.m_PromptTokens));
  Out.m_WriteTime = fromMs(PassMs);
  Out.m_FirstWithin = FirstWithin;
  return Out;
}

Duration waitUntilBegin(const EngineProfile &Profile, double Held) {
  const double PassMs =
      std::max(1U, Profile.m_StepsPerPass) * fullStepMs(Profile) +
      readMs(Profile, Profile.m_UsualPromptTokens);
  const double Ahead = std::max(0.0, Held + 1 - slotsOf(Profile));
  return fromMs(PassMs + Ahead * betweenEndsMs(Profile));
}

} // namespace deckpitch
