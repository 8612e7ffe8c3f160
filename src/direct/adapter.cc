#include "direct/adapter.h"

#include <utility>

namespace deckpitch::direct {

namespace {

std::unique_ptr<FleetAdapter> &registered() {
  static std::unique_ptr<FleetAdapter> Adapter;
  return Adapter;
}

} // namespace

FleetAdapter *fleetAdapter() { return registered().get(); }

FleetAdapterRegistration::FleetAdapterRegistration(
    std::unique_ptr<FleetAdapter> Adapter) {
  registered() = std::move(Adapter);
}

} // namespace deckpitch::direct
