// Decides what an agent does next so that its instance serves the declared
// weights.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace deckpitch {

/// Time before a version's bound at which an instance with an older version
/// must have started the last request that was sent to it. Beside the wait at
/// the instance it covers the transfer and requests that others have just sent.
/// On a link of 1.2 Mbit/s that receives chunks as well, requests started up
/// to 3.2 s after they were sent.
constexpr Duration versionMargin(bool HasSoundLink) {
  return std::chrono::milliseconds(HasSoundLink ? 600 : 3'600);
}

/// The state from which the next step is decided.
struct WeightsState {
  DeclaredWeights m_Wanted;        ///< version 0: none declared
  std::vector<HeldWeights> m_Held; ///< by the instance
  bool m_IsCopyComplete = false;   ///< all chunks are staged
  bool m_IsBusy = false;           ///< an order is in progress
  std::size_t m_Rank = 0;          ///< of this instance in its pool
  std::size_t m_PoolSize = 1;
  TimePoint m_DeclaredAt{}; ///< when the declaration was received
  TimePoint m_CopiedAt{};   ///< when the copy became complete
  /// Time from the declaration until all instances serve the version.
  Duration m_Bound = std::chrono::seconds(8);
  /// Instances with older weights receive no requests this long before the
  /// bound.
  Duration m_Margin{};

  friend bool operator==(const WeightsState &, const WeightsState &) = default;
};

enum class WeightsStep {
  Idle, ///< no weights are declared
  Copy, ///< fetch missing chunks
  Wait, ///< others swap first, or an order is in progress
  Load, ///< order the instance to load the staged weights
  Serve ///< the instance serves the declared weights
};

/// Progress of a copy that is superseded by a newer version.
struct CopyProgress {
  std::uint32_t m_Held = 0;    ///< chunks present
  std::uint32_t m_All = 0;     ///< chunks of the version
  Duration m_SinceLastChunk{}; ///< since the last chunk arrived

  friend bool operator==(const CopyProgress &, const CopyProgress &) = default;
};

/// Whether to finish the copy before copying a newer version. Otherwise, if new
/// versions are declared as fast as they can be copied, no copy would ever be
/// complete and all instances would miss the bound of the first version.
bool isWorthFinishing(const CopyProgress &Progress);

WeightsStep nextWeightsStep(const WeightsState &State, TimePoint Now);

/// One instance of a pool, as needed for the swap order.
struct PoolMember {
  std::string m_Address;
  DataCentreId m_DataCentre;

  friend bool operator==(const PoolMember &, const PoolMember &) = default;
};

/// The rank of an instance in the pool's swap order. Consecutive instances are
/// in different data centres, so that no data centre has more unavailable
/// instances than the others. Returns the size of the pool for an unknown
/// instance.
std::size_t swapRank(std::vector<PoolMember> Pool, std::string_view Address);

/// The time at which an instance that serves an older version may swap. The
/// swaps of a pool are spread over the remaining time, so that only a few
/// instances are unavailable at once.
TimePoint swapTime(const WeightsState &State);

/// Time until the instance is ordered to load the staged weights: zero once the
/// order is due, nullopt if none is expected. Requests that have not started
/// there by then are refused.
std::optional<Duration> timeToSwap(const WeightsState &State, TimePoint Now);

} // namespace deckpitch
