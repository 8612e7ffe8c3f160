// Which sizes of a route's requests go first when places are short.
#pragma once

#include <array>
#include <cstddef>
#include <vector>

namespace deckpitch {

/// Work grows with a request's size faster than what it is worth to its
/// caller, so of two requests the smaller one does more good with the same
/// engine time. Larger ones leave some places to smaller ones, but only until
/// they are served noticeably less often than all: they have a share of their
/// own.
class SizeShares {
public:
  /// A request of that size came.
  void arrived(double Size);
  /// One that came was given a place.
  void admitted(double Size);
  /// Places of an instance that a request of that size leaves free.
  double reserve(double Size) const;

private:
  /// Below seven tenths, the next two tenths, and the largest tenth.
  static constexpr std::size_t Bands = 3;
  static constexpr std::size_t Window = 128; ///< sizes that quantiles rest on

  struct Band {
    double m_Came = 0;
    double m_Admitted = 0;
    double share() const { return m_Came > 0 ? m_Admitted / m_Came : 1; }
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
