// What entries tell each other of instances: states as their agents said them,
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

/// Of the batches that this process writes and reads.
inline constexpr std::uint32_t StateBatchFormat = 1;
/// By estimate: with the headers it fits into one frame of a usual network.
inline constexpr std::size_t MostBatchBytes = 1'200;
/// Age up to which a state is of use: an instance of which nobody has heard for
/// longer is asked before it is sent requests, or not sent any.
inline constexpr Duration LongestUse = std::chrono::seconds(4);

/// Place of a datagram among all that one agent sent, over its restarts. The
/// larger incarnation is the newer. It is a time of the agent's clock, which
/// may be set back before a restart: LinkOrder lets a smaller one in after
/// proof that it lives, and is asked before direct reports come here; states
/// that entries tell carry no such proof, see StateSpread.
struct ReportOrder {
  Incarnation m_Incarnation;
  std::uint64_t m_Sequence = 0;

  friend auto operator<=>(const ReportOrder &, const ReportOrder &) = default;
};

/// What an agent said of its instance.
struct SpreadState {
  std::string m_Address; ///< of the instance
  ReportOrder m_Order;
  InstanceReport m_Report;

  friend bool operator==(const SpreadState &, const SpreadState &) = default;
};

struct ToldState {
  SpreadState m_State;
  std::chrono::milliseconds m_Age{}; ///< when sent, rounded up

  friend bool operator==(const ToldState &, const ToldState &) = default;
};

/// One datagram between entries. Without states it says that its sender would
/// tell of changes.
struct StateBatch {
  std::uint32_t m_Format = StateBatchFormat;
  DataCentreId m_Of; ///< of all its instances
  std::vector<ToldState> m_States;

  friend bool operator==(const StateBatch &, const StateBatch &) = default;
};

/// Bytes when encoded, at the most.
std::size_t estimatedBytes(const SpreadState &Of);
std::size_t estimatedBytes(const StateBatch &Of);

/// Whether a receiver can have made use of it: a known format, and no more
/// states than a sender puts into one; a single state may be larger.
bool isSound(const StateBatch &Told);

/// In batches of at most MostBatchBytes; none for no states.
std::vector<StateBatch> inBatches(const DataCentreId &Of,
                                  std::vector<ToldState> States);

/// A report, and when its agent made it.
struct DatedReport {
  const InstanceReport &m_Report;
  TimePoint m_AsOf;
};

enum class ReportChange {
  None,
  Plain, ///< to be told with the next round
  Urgent ///< what may be sent there has changed: to be told at once
};

/// What a report changes for those that know the one before. The time left
/// until other weights counts down by itself at those that were told.
ReportChange changeOf(const DatedReport &Before, const DatedReport &Now);

} // namespace deckpitch
