#include "deckpitch/size-shares.h"

#include <algorithm>

namespace deckpitch {

namespace {

constexpr std::array<double, 2> Quantiles{0.7, 0.9};
/// Requests after which a count has lost two thirds: some ten seconds of a
/// route's requests at one entry.
constexpr double Memory = 100;
constexpr std::size_t UpdateEvery = 16;
/// Sizes before any is put behind.
constexpr std::size_t LeastKnown = 32;
/// Places left free by the bands; about what ends at an engine in the time
/// within which a first token is wanted.
constexpr std::array<double, 3> Reserves{0, 3, 5};
/// A band is put behind only while it is served more often than this share of
/// all: half as often is what operators bear at the least.
constexpr double FloorShare = 0.72;

} // namespace

std::size_t SizeShares::bandOf(double Size) const {
  if (m_Sizes.size() < LeastKnown)
    return 0;
  return static_cast<std::size_t>(
      std::count_if(m_Bounds.begin(), m_Bounds.end(),
                    [Size](double Bound) { return Size > Bound; }));
}

void SizeShares::updateBounds() {
  std::vector<double> Sorted = m_Sizes;
  std::sort(Sorted.begin(), Sorted.end());
  for (std::size_t I = 0; I < m_Bounds.size(); ++I) {
    const double Place = Quantiles[I] * static_cast<double>(Sorted.size() - 1);
    m_Bounds[I] = Sorted[static_cast<std::size_t>(Place)];
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
  constexpr double Kept = 1 - 1 / Memory;
  const auto Age = [](Band &Each) {
    Each.m_Came *= Kept;
    Each.m_Admitted *= Kept;
  };
  std::for_each(m_Bands.begin(), m_Bands.end(), Age);
  Age(m_All);
  m_Bands[bandOf(Size)].m_Came += 1;
  m_All.m_Came += 1;
}

void SizeShares::admitted(double Size) {
  m_Bands[bandOf(Size)].m_Admitted += 1;
  m_All.m_Admitted += 1;
}

double SizeShares::reserve(double Size) const {
  const std::size_t Which = bandOf(Size);
  const bool IsBehind = m_Bands[Which].share() < FloorShare * m_All.share();
  return IsBehind ? 0 : Reserves[Which];
}

} // namespace deckpitch
