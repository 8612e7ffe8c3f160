#include "direct/store-updates.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace deckpitch::direct {

void write(const DatedWeights &From, TimePoint Now,
           wire::DeclaredWeightsState &To) {
  To.set_model(From.m_Declared.m_Model);
  To.set_version(From.m_Declared.m_Version);
  To.set_age_ms(ageMs(From.m_Since, Now));
}

DatedWeights read(const wire::DeclaredWeightsState &From, TimePoint Now) {
  return {{From.model(), From.version()},
          Now - std::chrono::milliseconds(From.age_ms())};
}

void write(const WeightsSource &From, wire::WeightsSourceState &To) {
  To.set_service(From.m_Service.m_Text);
  To.set_model(From.m_Model);
  To.set_origin(From.m_Origin);
  To.set_origin_mbps(From.m_OriginMbps);
}

WeightsSource read(const wire::WeightsSourceState &From) {
  const double Mbps = From.origin_mbps();
  const double OriginMbps = std::isfinite(Mbps) ? std::max(Mbps, 0.0) : 0;
  return {{From.service()}, From.model(), From.origin(), OriginMbps};
}

void write(const HeldWeights &From, wire::HeldWeightsState &To) {
  To.set_model(From.m_Model);
  To.set_version(From.m_Version);
  To.set_complete(From.m_IsComplete);
}

HeldWeights read(const wire::HeldWeightsState &From) {
  return {From.model(), From.version(), From.complete()};
}

namespace {

void write(const FleetInstance &From, wire::ListedInstanceState &To) {
  To.set_id(From.m_Id.m_Text);
  To.set_start_ms(From.m_Start);
  To.set_registration(From.m_Registration);
  To.set_service(From.m_Service.m_Text);
  To.set_address(From.m_Address);
  To.set_data_centre(From.m_DataCentre.m_Text);
  To.set_slots(From.m_Slots);
  To.set_is_leaving(From.m_IsLeaving);
  To.set_cold_left_ms(
      static_cast<std::uint32_t>(std::min<std::chrono::milliseconds::rep>(
          From.m_ColdLeft.count(), UINT32_MAX)));
  for (const HeldWeights &Each : From.m_Weights)
    direct::write(Each, *To.add_weights());
}

FleetInstance read(const wire::ListedInstanceState &From) {
  FleetInstance Out;
  Out.m_Id.m_Text = From.id();
  Out.m_Start = From.start_ms();
  Out.m_Registration = From.registration();
  Out.m_Service.m_Text = From.service();
  Out.m_Address = From.address();
  Out.m_DataCentre.m_Text = From.data_centre();
  Out.m_Slots = From.slots();
  Out.m_IsLeaving = From.is_leaving();
  Out.m_ColdLeft = std::chrono::milliseconds(From.cold_left_ms());
  for (const wire::HeldWeightsState &Each : From.weights())
    Out.m_Weights.push_back(direct::read(Each));
  return Out;
}

} // namespace

std::uint32_t ageMs(TimePoint Since, TimePoint Now) {
  using std::chrono::milliseconds;
  const auto Age = std::chrono::ceil<milliseconds>(Now - Since).count();
  return static_cast<std::uint32_t>(
      std::clamp<milliseconds::rep>(Age, 0, UINT32_MAX));
}

void writeWhole(const InstanceList &From, std::uint64_t Fingerprint,
                wire::InstancesNews &To) {
  To.set_after(Fingerprint);
  for (const auto &[Id, Each] : From)
    write(Each, *To.add_put());
}

InstanceList readWhole(const wire::InstancesNews &From) {
  InstanceList Out;
  for (const wire::ListedInstanceState &Each : From.put()) {
    FleetInstance Read = read(Each);
    Out.emplace(Read.m_Id, std::move(Read));
  }
  return Out;
}

void write(const InstanceListChange &From, wire::InstancesNews &To) {
  To.set_before(From.m_Before);
  To.set_after(From.m_After);
  if (From.m_Put.size() + From.m_Removed.size() > MaxChangesSent)
    return;
  for (const FleetInstance &Each : From.m_Put)
    write(Each, *To.add_put());
  for (const InstanceId &Each : From.m_Removed)
    To.add_removed(Each.m_Text);
}

InstanceListChange read(const wire::InstancesNews &From) {
  InstanceListChange Out{From.before(), From.after(), {}, {}};
  for (const wire::ListedInstanceState &Each : From.put())
    Out.m_Put.push_back(read(Each));
  for (const std::string &Each : From.removed())
    Out.m_Removed.push_back({Each});
  return Out;
}

} // namespace deckpitch::direct
