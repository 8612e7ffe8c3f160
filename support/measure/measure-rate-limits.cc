// Compares ways to keep an instance's rate limit over all entries, in virtual
// time: what of the limit is used, and the largest number of requests within
// four seconds.
#include "deckpitch/rate-limit.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <iomanip>
#include <iostream>
#include <random>
#include <vector>

using namespace deckpitch;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{1'000s};
constexpr Duration Length = 120s;
constexpr Duration Step = 1ms;
constexpr Duration Window = 4s;
/// Requests per second for the instance at all entries together.
constexpr double Offered = 30;
/// A process that counts restarts at this interval and is away for a while.
constexpr Duration RestartInterval = 10s;
constexpr Duration RestartTime = 1s;

enum class Scheme {
  Shares,      ///< each entry uses an equal part of the limit
  OneEntry,    ///< only one entry sends to the instance
  OneCounts,   ///< one process grants the requests of all entries
  OneRestarts, ///< the same, and that process restarts now and then
};

struct Result {
  double m_Used = 0; ///< share of the limit
  std::size_t m_Most = 0;
};

class Run {
public:
  Run(Scheme How, std::size_t Entries, double PerSecond)
      : m_Scheme(How), m_PerSecond(PerSecond) {
    const bool IsShared = How == Scheme::Shares;
    const std::size_t Buckets = IsShared ? Entries : 1;
    for (std::size_t I = 0; I < Buckets; ++I)
      m_Buckets.push_back(newBucket(Start, IsShared ? Entries : 1));
    // Entries get uneven parts of the requests: the first one half, and so on.
    for (std::size_t I = 0; I < Entries; ++I)
      m_Weights.push_back(1 / static_cast<double>(I + 2));
  }

  Result result() {
    std::discrete_distribution<std::size_t> Entry(m_Weights.begin(),
                                                  m_Weights.end());
    std::bernoulli_distribution Arrives(
        Offered * std::chrono::duration<double>(Step).count());
    for (TimePoint Now = Start; Now < Start + Length; Now += Step)
      if (Arrives(m_Random) && isGranted(Entry(m_Random), Now))
        note(Now);
    const double Allowed =
        m_PerSecond * std::chrono::duration<double>(Length).count();
    return {static_cast<double>(m_Sum) / Allowed, m_Most};
  }

private:
  RequestRateBucket newBucket(TimePoint Now, std::size_t Parts) const {
    RequestRateBucket Out(Now);
    Out.setLimit(m_PerSecond / static_cast<double>(Parts), Now);
    return Out;
  }

  bool isGranted(std::size_t Entry, TimePoint Now) {
    if (m_Scheme == Scheme::OneEntry && Entry != OwnerRank)
      return false;
    if (m_Scheme == Scheme::OneRestarts) {
      const std::int64_t Restarts = (Now - Start) / RestartInterval;
      const bool IsAway = (Now - Start) % RestartInterval < RestartTime;
      if (IsAway)
        return false;
      if (Restarts != m_Restarts) {
        m_Restarts = Restarts;
        m_Buckets.front() = newBucket(Now, 1);
      }
    }
    RequestRateBucket &Bucket =
        m_Buckets[m_Scheme == Scheme::Shares ? Entry : 0];
    if (!Bucket.canTake(0, Now))
      return false;
    Bucket.take();
    return true;
  }

  void note(TimePoint Now) {
    ++m_Sum;
    m_Recent.push_back(Now);
    while (Now - m_Recent.front() >= Window)
      m_Recent.pop_front();
    m_Most = std::max(m_Most, m_Recent.size());
  }

  /// Rank by requests of the entry that has the duty: hashing may choose any.
  static constexpr std::size_t OwnerRank = 3;

  Scheme m_Scheme;
  double m_PerSecond;
  std::vector<RequestRateBucket> m_Buckets;
  std::vector<double> m_Weights;
  std::int64_t m_Restarts = 0;
  std::size_t m_Sum = 0;
  std::size_t m_Most = 0;
  std::deque<TimePoint> m_Recent;
  std::mt19937_64 m_Random{1};
};

void print(const char *Name, Scheme How, std::size_t Entries,
           double PerSecond) {
  const Result Got = Run(How, Entries, PerSecond).result();
  const double Allowed = 1.5 * PerSecond * 4 + 5;
  std::cout << std::setw(14) << Name << std::setw(9) << Entries << std::setw(8)
            << PerSecond << std::setw(9) << std::setprecision(3) << Got.m_Used
            << std::setw(7) << Got.m_Most << std::setw(10) << Allowed << "\n";
}

} // namespace

int main() {
  std::cout << "        scheme  entries   limit     used   most   allowed\n";
  for (const std::size_t Entries : {7, 34, 149})
    for (const double PerSecond : {0.4, 1.0, 2.8, 10.0}) {
      print("shares", Scheme::Shares, Entries, PerSecond);
      print("one entry", Scheme::OneEntry, Entries, PerSecond);
      print("one counts", Scheme::OneCounts, Entries, PerSecond);
      print("one restarts", Scheme::OneRestarts, Entries, PerSecond);
    }
  return 0;
}
