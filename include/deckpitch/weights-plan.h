// What an agent does next so that the instance beside it serves the declared
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

/// How long before a version's bound an instance with an older one must have
/// begun the last request that it was sent: beside what it waits there, for the
/// way to it and for what others have just sent. On a link of 1.2 Mbit/s that
/// also takes in chunks a request was measured to begin up to 3.2 s after it
/// was sent.
constexpr Duration versionSpare(bool HasSoundLink) {
  return std::chrono::milliseconds(HasSoundLink ? 600 : 3'600);
}

/// What is known when the next step is decided.
struct WeightsState {
  DeclaredWeights m_Wanted;        ///< version 0: none is declared
  std::vector<HeldWeights> m_Held; ///< by the instance
  bool m_IsCopyComplete = false;   ///< all chunks are staged
  bool m_IsBusy = false;           ///< an order is under way
  std::size_t m_Rank = 0;          ///< of this instance in its pool
  std::size_t m_PoolSize = 1;
  TimePoint m_DeclaredAt{};                   ///< when the version was heard of
  TimePoint m_CopiedAt{};                     ///< when the copy became complete
  Duration m_Bound = std::chrono::seconds(8); ///< declared to served, for all
  /// Instances with older weights get no requests that long before the bound.
  Duration m_Spare{};

  friend bool operator==(const WeightsState &, const WeightsState &) = default;
};

enum class WeightsStep {
  Idle, ///< nothing is declared
  Copy, ///< fetch what is missing
  Wait, ///< others swap first, or an order is under way
  Load, ///< order the instance to load the staged weights
  Serve ///< the instance serves what it should
};

/// How far a copy is that a newer version has overtaken.
struct CopyProgress {
  std::uint32_t m_Held = 0; ///< chunks
  std::uint32_t m_All = 0;
  Duration m_SinceGain{}; ///< since the last chunk came

  friend bool operator==(const CopyProgress &, const CopyProgress &) = default;
};

/// Whether the copy is to be finished before that of a newer version begins.
/// Where versions follow each other as fast as they can be copied, none would
/// ever be complete otherwise, and all instances be past the bound of the
/// first one.
bool isWorthFinishing(const CopyProgress &Of);

WeightsStep nextWeightsStep(const WeightsState &State, TimePoint Now);

/// One instance of a pool, as far as the order of swaps is concerned.
struct PoolMember {
  std::string m_Address;
  DataCentreId m_DataCentre;

  friend bool operator==(const PoolMember &, const PoolMember &) = default;
};

/// The place of an instance in the order in which the pool swaps. Neighbours in
/// the order stand in different data centres, so that none is without more of
/// its instances than the others. The size of the pool for an unknown one.
std::size_t swapRank(std::vector<PoolMember> Pool, std::string_view Address);

/// When an instance that serves an older version may swap: the pool's swaps
/// are spread over the time that is left, so that only some are away at once.
TimePoint swapTime(const WeightsState &State);

/// Until the instance is ordered to load the staged weights: zero from when the
/// order is due, nothing while none is to come. What has not begun there by
/// then is refused.
std::optional<Duration> timeToSwap(const WeightsState &State, TimePoint Now);

} // namespace deckpitch
