// A list of instances, updated by the changes that are received.
#pragma once

#include "deckpitch/instance-list.h"
#include "proto/link.pb.h"

namespace deckpitch::fuzz {

class KnownList {
public:
  /// Checks the properties that hold for any change, then applies it.
  void checkAndApply(const wire::InstancesNews &News);

private:
  void checkApplication(const InstanceListChange &Change) const;
  void checkMatchingFingerprints(InstanceListChange Change) const;
  void checkDifference(const InstanceList &Other) const;
  InstanceList applied(const InstanceListChange &Change) const;

  InstanceList m_Known;
};

} // namespace deckpitch::fuzz
