// Reserves slots for smaller requests of a route when slots are scarce.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

namespace deckpitch {

/// The cost of a request grows with its size faster than its value to the
/// caller, so smaller requests make better use of the engine time. Larger
/// requests therefore leave some slots free for smaller ones, unless they are
/// already admitted noticeably less often than the average request.
class SizeShares {
public:
  /// Counts a request of that size.
  void arrived(double Size);
  /// Counts an admitted request; arrived() must have counted it before.
  void admitted(double Size);
  /// The number of an instance's slots that a request of that size must leave
  /// free.
  double reserve(double Size) const;

private:
  /// The smallest seven tenths of the requests, the next two tenths, and the
  /// largest tenth.
  static constexpr std::size_t Bands = 3;
  static constexpr std::size_t Window = 128; ///< sizes kept for the quantiles

  struct Band {
    double m_Arrived = 0;
    double m_Admitted = 0;
    double share() const { return m_Arrived > 0 ? m_Admitted / m_Arrived : 1; }
  };

  std::size_t bandOf(double Size) const;
  void updateBounds();

  std::vector<double> m_Sizes;
  std::size_t m_Next = 0;
  std::size_t m_SinceUpdate = 0;
  std::array<double, Bands - 1> m_Bounds{};
  std::array<Band, Bands> m_Bands;
  Band m_All;
};

} // namespace deckpitch
