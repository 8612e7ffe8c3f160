// Registration of requests among those in progress, and of their load at
// instances.
#include "direct/entry-call.h"

#include <utility>

namespace deckpitch::direct {

std::vector<std::shared_ptr<EntryRequests::Call>>
EntryRequests::CallsInProgress::at(const InstanceId &Id) const {
  std::vector<std::shared_ptr<Call>> Out;
  const auto Listed = m_AtInstance.find(Id);
  if (Listed == m_AtInstance.end())
    return Out;
  for (const std::uint64_t Number : Listed->second)
    if (auto Found = find(Number))
      Out.push_back(std::move(Found));
  return Out;
}

EntryRequests::Registration::Registration(
    const std::shared_ptr<CallsInProgress> &Among, std::shared_ptr<Call> Of)
    : m_Among(Among), m_Number(Of->m_Number) {
  Among->m_ById.emplace(m_Number, std::move(Of));
}

EntryRequests::Registration::~Registration() {
  if (const auto Among = m_Among.lock())
    Among->m_ById.erase(m_Number);
}

EntryRequests::Stay::Stay(const std::shared_ptr<CallsInProgress> &Among,
                          InstanceId At)
    : m_Among(Among), m_Instance(std::move(At)) {
  Among->m_Instances.started(m_Instance, daemon::now());
}

EntryRequests::Stay::Stay(Stay &&Other) noexcept
    : m_Among(std::exchange(Other.m_Among, {})),
      m_Instance(std::move(Other.m_Instance)),
      m_Listed(std::exchange(Other.m_Listed, 0)),
      m_IsAnswering(Other.m_IsAnswering) {}

EntryRequests::Stay &EntryRequests::Stay::operator=(Stay &&Other) noexcept {
  if (this == &Other)
    return *this;
  end(InstanceTable::End::Neutral);
  m_Among = std::exchange(Other.m_Among, {});
  m_Instance = std::move(Other.m_Instance);
  m_Listed = std::exchange(Other.m_Listed, 0);
  m_IsAnswering = Other.m_IsAnswering;
  return *this;
}

void EntryRequests::Stay::list(std::uint64_t CallNumber) {
  const auto Among = m_Among.lock();
  if (!Among)
    return;
  Among->m_AtInstance[m_Instance].insert(CallNumber);
  m_Listed = CallNumber;
}

void EntryRequests::Stay::unlist() {
  const std::uint64_t Number = std::exchange(m_Listed, 0);
  const auto Among = m_Among.lock();
  if (Number == 0 || !Among)
    return;
  const auto At = Among->m_AtInstance.find(m_Instance);
  if (At == Among->m_AtInstance.end())
    return;
  At->second.erase(Number);
  if (At->second.empty())
    Among->m_AtInstance.erase(At);
}

void EntryRequests::Stay::answerStarted() {
  const auto Among = m_Among.lock();
  if (Among && !std::exchange(m_IsAnswering, true))
    Among->m_Instances.answerStarted(m_Instance);
}

std::optional<Duration> EntryRequests::Stay::end(InstanceTable::End Outcome) {
  unlist();
  const auto Among = std::exchange(m_Among, {}).lock();
  if (!Among)
    return std::nullopt;
  return Among->m_Instances.ended(m_Instance, Outcome, m_IsAnswering,
                                  daemon::now());
}

} // namespace deckpitch::direct
