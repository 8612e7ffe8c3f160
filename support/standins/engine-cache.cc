#include "standins/engine-cache.h"

namespace deckpitch::standins {

namespace json = boost::json;

namespace {

constexpr std::size_t MaxCachedPrefixes = 64;
constexpr std::size_t MaxCacheEvents = 1024;

} // namespace

void PrefixCache::use(std::uint64_t Prefix) {
  const auto [At, Added] = m_Prefixes.insert(Prefix);
  if (!Added)
    return;
  m_InsertionOrder.push_back(Prefix);
  publish(true, Prefix);
  if (m_InsertionOrder.size() <= MaxCachedPrefixes)
    return;
  publish(false, m_InsertionOrder.front());
  m_Prefixes.erase(m_InsertionOrder.front());
  m_InsertionOrder.pop_front();
}

json::object PrefixCache::eventsSince(std::uint64_t Since,
                                      SteadyClock::time_point Until) const {
  json::array Events;
  std::uint64_t Next = Since;
  for (const CacheEvent &Each : m_Events) {
    if (Each.m_Sequence < Since || Each.m_At > Until)
      continue;
    Next = Each.m_Sequence + 1;
    Events.push_back(
        json::object{{"sequence", Each.m_Sequence},
                     {"type", Each.m_Stored ? "stored" : "evicted"},
                     {"prefix", Each.m_Prefix}});
  }
  return {{"next", Next}, {"events", std::move(Events)}};
}

double PrefixCache::occupancy() const {
  return static_cast<double>(m_InsertionOrder.size()) / MaxCachedPrefixes;
}

void PrefixCache::publish(bool Stored, std::uint64_t Prefix) {
  m_Events.push_back({SteadyClock::now(), m_Next++, Stored, Prefix});
  if (m_Events.size() > MaxCacheEvents)
    m_Events.pop_front();
}

} // namespace deckpitch::standins
