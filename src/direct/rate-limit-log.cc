#include "direct/rate-limit-log.h"

#include "net/log.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <cstdio>

namespace deckpitch::direct {

std::string rateText(std::optional<double> PerSecond) {
  if (!PerSecond)
    return {};
  std::array<char, 32> Text{};
  const int Length =
      std::snprintf(Text.data(), Text.size(), "%.3g", *PerSecond);
  return {Text.data(), static_cast<std::size_t>(Length)};
}

const char *grantorName(SlotGrantor Value) {
  switch (Value) {
  case SlotGrantor::None:
    return "";
  case SlotGrantor::Agent:
    return "agent";
  case SlotGrantor::Entry:
    return "entry";
  }
  return "";
}

void logRateLimit(const InstanceId &Instance, std::optional<double> PerSecond,
                  std::string_view Source, Duration Age,
                  std::string_view Request) {
  const auto Ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(Age).count();
  const std::uint64_t AgeMs = Ms < 0 ? 0 : static_cast<std::uint64_t>(Ms);
  if (!PerSecond)
    return net::log(Event::InstanceRateLimitEnded,
                    {{"instance", Instance.m_Text},
                     {"source", Source},
                     {"request", Request},
                     {"ageMs", AgeMs}});
  net::log(Event::InstanceRateLimited, {{"instance", Instance.m_Text},
                                        {"perSecond", rateText(PerSecond)},
                                        {"source", Source},
                                        {"request", Request},
                                        {"ageMs", AgeMs}});
}

} // namespace deckpitch::direct
