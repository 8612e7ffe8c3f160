#include "deckpitch/recent-answers.h"

#include <algorithm>
#include <utility>

namespace deckpitch {

void RecentAnswers::add(const ServiceId &Service,
                        std::vector<RequestFingerprint> Answered,
                        TimePoint Now) {
  std::deque<Answer> &Known = m_Answers[Service];
  Known.push_back({std::move(Answered), Now});
  if (Known.size() > MaxCompared)
    Known.pop_front();
}

bool RecentAnswers::isRare(const ServiceId &Service,
                           const RequestFingerprint &Which,
                           TimePoint Now) const {
  const auto Found = m_Answers.find(Service);
  if (Found == m_Answers.end())
    return false;
  std::size_t Compared = 0;
  for (const Answer &Each : Found->second) {
    if (Now - Each.m_At >= Retention)
      continue;
    const bool Has =
        std::find(Each.m_Fingerprints.begin(), Each.m_Fingerprints.end(),
                  Which) != Each.m_Fingerprints.end();
    if (Has)
      return false;
    ++Compared;
  }
  return Compared >= MinCompared;
}

} // namespace deckpitch
