#include "deckpitch/answered-prompts.h"

#include <algorithm>
#include <utility>

namespace deckpitch {

void AnsweredPrompts::add(const ServiceId &Service,
                          std::vector<RequestFingerprint> Parts,
                          TimePoint Now) {
  std::deque<Answer> &Known = m_Answers[Service];
  Known.push_back({std::move(Parts), Now});
  if (Known.size() > MaxCompared)
    Known.pop_front();
}

bool AnsweredPrompts::isRare(const ServiceId &Service,
                             const RequestFingerprint &Part,
                             TimePoint Now) const {
  const auto Found = m_Answers.find(Service);
  if (Found == m_Answers.end())
    return false;
  std::size_t Compared = 0;
  for (const Answer &Each : Found->second) {
    if (Now - Each.m_At >= Retention)
      continue;
    const bool Has = std::find(Each.m_Parts.begin(), Each.m_Parts.end(),
                               Part) != Each.m_Parts.end();
    if (Has)
      return false;
    ++Compared;
  }
  return Compared >= MinCompared;
}

} // namespace deckpitch
