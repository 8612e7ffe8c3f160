// A list of instances that follows the changes it is told.
#pragma once

#include "deckpitch/instance-list.h"
#include "proto/link.pb.h"

namespace deckpitch::fuzz {

class KnownList {
public:
  /// Checks what must hold of a change, whatever it says, and applies it.
  void hear(const wire::InstancesNews &News);

private:
  void checkAsTold(const InstanceListChange &Change) const;
  void checkNamedRight(InstanceListChange Change) const;
  void checkLeadsTo(const InstanceList &Other) const;
  InstanceList applied(const InstanceListChange &Change) const;

  InstanceList m_Known;
};

} // namespace deckpitch::fuzz
