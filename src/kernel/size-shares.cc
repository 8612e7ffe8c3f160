#include "deckpitch/size-shares.h"

#include <algorithm>

namespace deckpitch {

namespace {

constexpr std::array<double, 2> Quantiles{0.7, 0.9};
/// Number of requests after which a count has decayed by two thirds: about ten
/// seconds of a route's requests at one entry.
constexpr double DecayRequests = 100;
constexpr std::size_t UpdateEvery = 16;
/// Number of sizes needed before any request must leave slots free.
constexpr std::size_t MinSizes = 32;
/// Slots that each band leaves free; about the number of requests that an
/// engine completes within the desired time to the first token.
constexpr std::array<double, 3> Reserves{0, 3, 5};
/// A band leaves slots free only while its admission rate is at least this
/// share of the overall rate. Operators accept no less than half the overall
/// rate.
constexpr double MinRelativeShare = 0.72;

} // namespace

std::size_t SizeShares::bandOf(double Size) const {
  if (m_Sizes.size() < MinSizes)
    return 0;
  return static_cast<std::size_t>(
      std::count_if(m_Bounds.begin(), m_Bounds.end(),
                    [Size](double Bound) { return Size > Bound; }));
}

void SizeShares::updateBounds() {
  std::vector<double> Sorted = m_Sizes;
  std::sort(Sorted.begin(), Sorted.end());
  for (std::size_t I = 0; I < m_Bounds.size(); ++I) {
    const double Position =
        Quantiles[I] * static_cast<double>(Sorted.size() - 1);
    m_Bounds[I] = Sorted[static_cast<std::size_t>(Position)];
  }
  m_SinceUpdate = 0;
}

void SizeShares::arrived(double Size) {
  if (m_Sizes.size() < Window)
    m_Sizes.push_back(Size);
  else
    m_Sizes[m_Next] = Size;
  m_Next = (m_Next + 1) % Window;
  if (++m_SinceUpdate >= UpdateEvery)
    updateBounds();
  constexpr double DecayFactor = 1 - 1 / DecayRequests;
  const auto Age = [](Band &Each) {
    Each.m_Arrived *= DecayFactor;
    Each.m_Admitted *= DecayFactor;
  };
  std::for_each(m_Bands.begin(), m_Bands.end(), Age);
  Age(m_All);
  m_Bands[bandOf(Size)].m_Arrived += 1;
  m_All.m_Arrived += 1;
}

void SizeShares::admitted(double Size) {
  m_Bands[bandOf(Size)].m_Admitted += 1;
  m_All.m_Admitted += 1;
}

double SizeShares::reserve(double Size) const {
  const std::size_t Which = bandOf(Size);
  const bool IsBelowMinimum =
      m_Bands[Which].share() < MinRelativeShare * m_All.share();
  return IsBelowMinimum ? 0 : Reserves[Which];
}

} // namespace deckpitch
