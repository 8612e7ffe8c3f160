#include "deckpitch/engine-model.h"

#include <algorithm>
#include <cmath>

namespace deckpitch {

namespace {

/// Share of an objective to plan with where no agent is queried; see
/// PlannedShare.
constexpr double DefaultPlannedShare = 0.85;

/// Bounds results for profiles with extreme values, which operators may
/// declare.
constexpr double MaxMs = 24 * 3'600 * 1e3;

Duration fromMs(double Ms) {
  return Duration(static_cast<Duration::rep>(std::clamp(Ms, 0.0, MaxMs) * 1e6));
}

double slotsOf(const EngineProfile &Profile) {
  return std::max(1U, Profile.m_Slots);
}

/// Time of a step that generates one token in every slot.
double fullStepMs(const EngineProfile &Profile) {
  const double KiloTokens =
      (Profile.m_UsualPromptTokens + Profile.m_UsualAnswerTokens / 2) / 1'000;
  return Profile.m_StepMs +
         slotsOf(Profile) * (Profile.m_StepMsPerRequest +
                             KiloTokens * Profile.m_StepMsPerKiloToken);
}

double prefillMs(const EngineProfile &Profile, double Tokens) {
  return Tokens / std::max(Profile.m_PrefillTokensPerMs, 0.001);
}

/// Mean interval of completions at an engine whose slots are all taken by usual
/// streams: their generation in parallel, and the prefill of each new prompt.
double completionIntervalMs(const EngineProfile &Profile) {
  return Profile.m_UsualAnswerTokens * fullStepMs(Profile) / slotsOf(Profile) +
         prefillMs(Profile, Profile.m_UsualPromptTokens);
}

} // namespace

EngineCapacity capacityOf(const EngineProfile &Profile,
                          std::chrono::milliseconds Objective) {
  const double Slots = slotsOf(Profile);
  const double Steps = std::max(1U, Profile.m_StepsPerPass);
  const double StepMs = fullStepMs(Profile);
  const double PrefillMs = prefillMs(Profile, Profile.m_UsualPromptTokens);
  const double IntervalMs = completionIntervalMs(Profile);
  // Half a pass until its prefill starts, the prefill, and its first pass.
  const double FirstTokenMs = 1.5 * Steps * StepMs + PrefillMs;
  const double SlackMs =
      DefaultPlannedShare * static_cast<double>(Objective.count()) -
      FirstTokenMs;
  const double Queued = std::clamp(SlackMs / std::max(IntervalMs, 0.001), 0.0,
                                   MaxQueuedShare * Slots);
  return {Slots + std::floor(Queued), fromMs(IntervalMs)};
}

Duration streamTime(const EngineProfile &Profile, const StreamSize &Size) {
  const double Usual = std::max(Profile.m_UsualAnswerTokens, 1.0);
  const double Tokens = Size.m_AnswerTokens > 0 ? Size.m_AnswerTokens : Usual;
  // While a usual stream is generated, each other slot is refilled once, with
  // the prefill of a prompt in between.
  const double TokenMs =
      completionIntervalMs(Profile) * slotsOf(Profile) / Usual;
  return fromMs(prefillMs(Profile, Size.m_PromptTokens) + Tokens * TokenMs);
}

PlaceQuery placeQueryFor(const EngineProfile &Profile, const StreamSize &Size,
                         Duration FirstWithin, double Reserve) {
  const double PassMs =
      std::max(1U, Profile.m_StepsPerPass) * fullStepMs(Profile);
  PlaceQuery Out;
  Out.m_Slots = std::max(1U, Profile.m_Slots);
  Out.m_Reserve = Reserve;
  Out.m_CompletionInterval = fromMs(completionIntervalMs(Profile));
  Out.m_ReadTime = fromMs(prefillMs(Profile, Size.m_PromptTokens));
  Out.m_WriteTime = fromMs(PassMs);
  Out.m_FirstWithin = FirstWithin;
  return Out;
}

Duration expectedStartDelay(const EngineProfile &Profile, double Held) {
  const double PassMs =
      std::max(1U, Profile.m_StepsPerPass) * fullStepMs(Profile) +
      prefillMs(Profile, Profile.m_UsualPromptTokens);
  const double Ahead = std::max(0.0, Held + 1 - slotsOf(Profile));
  return fromMs(PassMs + Ahead * completionIntervalMs(Profile));
}

} // namespace deckpitch
