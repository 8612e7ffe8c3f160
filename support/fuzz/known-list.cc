#include "fuzz/known-list.h"

#include "direct/store-updates.h"
#include "fuzz/check.h"

namespace deckpitch::fuzz {

void KnownList::checkAndApply(const wire::InstancesNews &News) {
  const InstanceListChange Change = direct::read(News);
  checkApplication(Change);
  checkMatchingFingerprints(Change);
  checkDifference(direct::readWhole(News));
  m_Known = applied(Change);
}

/// Applies the change without applyChange, as a reference for its result.
InstanceList KnownList::applied(const InstanceListChange &Change) const {
  InstanceList Out = m_Known;
  for (const FleetInstance &Each : Change.m_Put)
    Out.insert_or_assign(Each.m_Id, Each);
  for (const InstanceId &Each : Change.m_Removed)
    Out.erase(Each);
  return Out;
}

void KnownList::checkApplication(const InstanceListChange &Change) const {
  const auto Got = applyChange(m_Known, Change);
  const InstanceList Wanted = applied(Change);
  const bool FingerprintsMatch = fingerprintOf(m_Known) == Change.m_Before &&
                                 fingerprintOf(Wanted) == Change.m_After;
  require(
      Got.has_value() == FingerprintsMatch,
      "a change applies if and only if its fingerprints match the known list "
      "before and after it");
  require(!Got || *Got == Wanted, "applying a change gives the expected list");
}

void KnownList::checkMatchingFingerprints(InstanceListChange Change) const {
  const InstanceList Wanted = applied(Change);
  Change.m_Before = fingerprintOf(m_Known);
  Change.m_After = fingerprintOf(Wanted);
  require(applyChange(m_Known, Change) == Wanted,
          "a change with matching fingerprints applies");
  ++Change.m_Before;
  require(!applyChange(m_Known, Change),
          "a change from another list is rejected");
  --Change.m_Before;
  ++Change.m_After;
  require(!applyChange(m_Known, Change),
          "a change to another list is rejected");
}

void KnownList::checkDifference(const InstanceList &Other) const {
  const InstanceListChange Change = changeBetween(m_Known, Other);
  require(applyChange(m_Known, Change) == Other,
          "the difference between two lists turns one into the other");
  require((m_Known == Other) == (Change.m_Before == Change.m_After),
          "lists have the same fingerprint if and only if they are equal");
}

} // namespace deckpitch::fuzz
