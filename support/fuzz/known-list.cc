#include "fuzz/known-list.h"

#include "direct/store-updates.h"
#include "fuzz/check.h"

namespace deckpitch::fuzz {

void KnownList::hear(const wire::InstancesNews &News) {
  const InstanceListChange Change = direct::read(News);
  checkAsTold(Change);
  checkNamedRight(Change);
  checkLeadsTo(direct::readWhole(News));
  m_Known = applied(Change);
}

/// By each step by itself, as a second opinion.
InstanceList KnownList::applied(const InstanceListChange &Change) const {
  InstanceList Out = m_Known;
  for (const FleetInstance &Each : Change.m_Put)
    Out.insert_or_assign(Each.m_Id, Each);
  for (const InstanceId &Each : Change.m_Removed)
    Out.erase(Each);
  return Out;
}

void KnownList::checkAsTold(const InstanceListChange &Change) const {
  const auto Got = applyChange(m_Known, Change);
  const InstanceList Wanted = applied(Change);
  const bool Leads = fingerprintOf(m_Known) == Change.m_Before &&
                     fingerprintOf(Wanted) == Change.m_After;
  require(
      Got.has_value() == Leads,
      "a change applies where it leads from the known list, and only there");
  require(!Got || *Got == Wanted, "a change does what it says, and no more");
}

void KnownList::checkNamedRight(InstanceListChange Change) const {
  const InstanceList Wanted = applied(Change);
  Change.m_Before = fingerprintOf(m_Known);
  Change.m_After = fingerprintOf(Wanted);
  require(applyChange(m_Known, Change) == Wanted,
          "a change that leads from the known list applies");
  ++Change.m_Before;
  require(!applyChange(m_Known, Change), "a change of another list is left");
  --Change.m_Before;
  ++Change.m_After;
  require(!applyChange(m_Known, Change), "a change to another list is left");
}

void KnownList::checkLeadsTo(const InstanceList &Other) const {
  const InstanceListChange Change = changeBetween(m_Known, Other);
  require(applyChange(m_Known, Change) == Other,
          "the change between two lists leads from one to the other");
  require((m_Known == Other) == (Change.m_Before == Change.m_After),
          "lists have the same fingerprint where they are equal");
}

} // namespace deckpitch::fuzz
