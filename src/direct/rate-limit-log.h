// Log lines about the rate limits of instances.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/instance-table.h"
#include "deckpitch/time.h"

#include <optional>
#include <string>
#include <string_view>

namespace deckpitch::direct {

/// A rate limit in requests per second, for log lines; empty: none.
std::string rateText(std::optional<double> PerSecond);

/// Name of a grantor for log lines; empty: none.
const char *grantorName(SlotGrantor Value);

/// Logs that an instance's limit has changed. Source: who reported it. Request:
/// the one whose answer did; empty: none.
void logRateLimit(const InstanceId &Instance, std::optional<double> PerSecond,
                  std::string_view Source, Duration Age,
                  std::string_view Request);

} // namespace deckpitch::direct
