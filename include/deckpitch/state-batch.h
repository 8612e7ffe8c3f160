// The states of instances that entries exchange: as reported by the agents,
// several in a datagram.
#pragma once

#include "deckpitch/id.h"
#include "deckpitch/instance-table.h"
#include "deckpitch/time.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace deckpitch {

/// Format version of the batches that this process writes and reads.
inline constexpr std::uint32_t StateBatchFormat = 1;
/// Maximum estimated size of a batch: with the headers it fits into one frame
/// of a usual network.
inline constexpr std::size_t MaxBatchBytes = 1'200;
/// Age up to which a state is used: an instance with an older one is asked
/// before it is sent requests, or gets none.
inline constexpr Duration MaxStateAge = std::chrono::seconds(4);

/// Position of a datagram among all that one agent sent, across its restarts.
/// The larger incarnation is the newer. It is a time of the agent's clock,
/// which may be set back before a restart: for direct reports, LinkOrder first
/// decides, and accepts a smaller incarnation once it is proven to be alive.
/// States from other entries carry no such proof, see StateSpread.
struct ReportOrder {
  Incarnation m_Incarnation;
  std::uint64_t m_Sequence = 0;

  friend auto operator<=>(const ReportOrder &, const ReportOrder &) = default;
};

/// A report of an agent about its instance.
struct SpreadState {
  std::string m_Address; ///< of the instance
  ReportOrder m_Order;
  InstanceReport m_Report;

  friend bool operator==(const SpreadState &, const SpreadState &) = default;
};

struct AgedState {
  SpreadState m_State;
  std::chrono::milliseconds m_Age{}; ///< age at its sending, rounded up

  friend bool operator==(const AgedState &, const AgedState &) = default;
};

/// One datagram between entries. Without states it shows that its sender is
/// alive and would send changes.
struct StateBatch {
  std::uint32_t m_Format = StateBatchFormat;
  DataCentreId m_Of; ///< data centre of all its instances
  std::vector<AgedState> m_States;

  friend bool operator==(const StateBatch &, const StateBatch &) = default;
};

/// Returns an upper bound of the encoded size in bytes.
std::size_t estimatedBytes(const SpreadState &State);
std::size_t estimatedBytes(const StateBatch &Batch);

/// Returns whether a received batch is valid: it has a known format, and no
/// more states than a sender puts into one; a single state may be larger.
bool isValid(const StateBatch &Batch);

/// Splits the states into batches of at most MaxBatchBytes; returns none for
/// no states.
std::vector<StateBatch> inBatches(const DataCentreId &DataCentre,
                                  std::vector<AgedState> States);

/// A report, and when its agent made it.
struct DatedReport {
  const InstanceReport &m_Report;
  TimePoint m_AsOf;
};

enum class ReportChange {
  None,
  Plain, ///< send with the next round
  Urgent ///< send at once: what the instance may be sent has changed
};

/// Returns what a report changes for receivers of the previous one. The time
/// left until other weights are loaded is no change: it counts down at the
/// receivers themselves.
ReportChange changeOf(const DatedReport &Before, const DatedReport &Now);

} // namespace deckpitch
