#include "deckpitch/assignment.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace deckpitch {

namespace {

struct Candidate {
  const Member *m_Member;
  std::optional<AssignedPool> m_Previous;
};

/// The number of instances that a pool needs in one data centre.
struct Demand {
  const Pool *m_Pool;
  DataCentreId m_DataCentre;
  std::uint32_t m_Ready = 0;
  std::uint32_t m_Granted = 0;
};

bool mayServe(const Member &Value) {
  return Value.m_Role == Role::Agent && (Value.m_State == MemberState::Alive ||
                                         Value.m_State == MemberState::Suspect);
}

/// Builds a plan; candidates are removed from the list as they are assigned.
class Planner {
public:
  Planner(const DeclarationSet &Declarations, const MembershipView &Members)
      : m_Declarations(Declarations), m_Members(Members) {
    gatherCandidates();
    gatherDemands();
  }

  Assignment plan() {
    keepAssigned();
    for (Demand &Each : m_Demands)
      fill(Each);
    keepSurplus();
    advanceWaves();
    return std::move(m_Out);
  }

private:
  const Assignment &previous() const {
    return m_Declarations.m_Assignment.m_Value;
  }

  const Pool *enginePool(const PoolId &Id) const {
    const auto Found = m_Declarations.m_Pools.find(Id);
    if (Found == m_Declarations.m_Pools.end())
      return nullptr;
    const Pool &Value = Found->second.m_Value;
    return Value.m_Kind == PoolKind::Engine ? &Value : nullptr;
  }

  /// Whether the instance runs a plain service; its pool is set in its
  /// settings.
  bool runsPlainService(const Member &Value) const {
    const auto Found = m_Declarations.m_Pools.find(Value.m_Serving.m_Pool);
    return Found != m_Declarations.m_Pools.end() &&
           Found->second.m_Value.m_Kind == PoolKind::Service;
  }

  void gatherCandidates() {
    for (const auto &[Id, Each] : m_Members.m_Members) {
      if (!mayServe(Each) || runsPlainService(Each))
        continue;
      Candidate Entry{&Each, std::nullopt};
      const auto Previous = previous().m_Instances.find(Id);
      if (Previous != previous().m_Instances.end())
        Entry.m_Previous = Previous->second;
      m_Candidates.push_back(std::move(Entry));
    }
  }

  void gatherDemands() {
    for (const auto &[Id, Each] : m_Declarations.m_Pools) {
      if (Each.m_Value.m_Kind != PoolKind::Engine)
        continue;
      for (const DataCentreReadiness &Wanted : Each.m_Value.m_Readiness)
        m_Demands.push_back(
            {&Each.m_Value, Wanted.m_DataCentre, Wanted.m_Ready, 0});
    }
  }

  /// Keeps the instances that each demand already has, best first, up to its
  /// size.
  void keepAssigned() {
    std::stable_sort(m_Candidates.begin(), m_Candidates.end(),
                     [](const Candidate &A, const Candidate &B) {
                       return health(A) > health(B);
                     });
    for (Demand &Each : m_Demands)
      take(Each, [&](const Candidate &Entry) {
        return Entry.m_Previous &&
               Entry.m_Previous->m_Pool == Each.m_Pool->m_Id;
      });
  }

  static std::tuple<bool, bool> health(const Candidate &Entry) {
    return {Entry.m_Member->m_State == MemberState::Alive,
            Entry.m_Member->m_Serving.m_Ready};
  }

  /// Fills a demand with holders of the weights, then unassigned instances,
  /// then those that their pool does not need.
  void fill(Demand &Wanted) {
    const WeightsId Weights = weightsOf(*Wanted.m_Pool);
    take(Wanted, [&](const Candidate &Entry) {
      return Entry.m_Member->m_Serving.m_Weights == Weights;
    });
    take(Wanted, [](const Candidate &Entry) { return !Entry.m_Previous; });
    take(Wanted, [](const Candidate &) { return true; });
  }

  template <typename Predicate> void take(Demand &Wanted, Predicate Matches) {
    for (auto It = m_Candidates.begin(); It != m_Candidates.end();) {
      if (Wanted.m_Granted == Wanted.m_Ready)
        return;
      const bool Taken =
          It->m_Member->m_DataCentre == Wanted.m_DataCentre && Matches(*It);
      if (!Taken) {
        ++It;
        continue;
      }
      assign(*It, *Wanted.m_Pool);
      ++Wanted.m_Granted;
      It = m_Candidates.erase(It);
    }
  }

  /// An instance that joins a pool starts with the declared weights or, while
  /// the pool is paused, with those that most of the pool may activate.
  void assign(const Candidate &Entry, const Pool &To) {
    AssignedPool Next{To.m_Id, weightsOf(To)};
    if (Entry.m_Previous && Entry.m_Previous->m_Pool == To.m_Id)
      Next.m_Weights = Entry.m_Previous->m_Weights;
    else if (To.m_Paused)
      Next.m_Weights = currentWeights(To);
    m_Out.m_Instances.emplace(Entry.m_Member->m_Id, std::move(Next));
  }

  WeightsId currentWeights(const Pool &P) const {
    std::map<WeightsId, std::size_t> Counts;
    for (const auto &[Id, Each] : previous().m_Instances)
      if (Each.m_Pool == P.m_Id)
        ++Counts[Each.m_Weights];
    const auto Most = std::max_element(
        Counts.begin(), Counts.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    return Most == Counts.end() ? weightsOf(P) : Most->first;
  }

  void keepSurplus() {
    for (const Candidate &Each : m_Candidates) {
      if (!Each.m_Previous)
        continue;
      if (const Pool *Current = enginePool(Each.m_Previous->m_Pool))
        assign(Each, *Current);
    }
    m_Candidates.clear();
  }

  void advanceWaves() {
    for (const auto &[Id, Each] : m_Declarations.m_Pools)
      if (Each.m_Value.m_Kind == PoolKind::Engine && !Each.m_Value.m_Paused)
        advance(Each.m_Value);
  }

  /// Advances the pool's weights. Instances whose engine must drain before the
  /// swap are limited by m_MaxUnavailable.
  void advance(const Pool &P) {
    const WeightsId Target = weightsOf(P);
    std::uint32_t Unavailable = 0;
    std::vector<AssignedPool *> Draining;
    for (auto &[Id, Each] : m_Out.m_Instances) {
      if (Each.m_Pool != P.m_Id)
        continue;
      const ServingReport &Serving = m_Members.m_Members.at(Id).m_Serving;
      const bool IsUnavailable = !Serving.m_Ready || Serving.m_Pool != P.m_Id;
      if (Each.m_Weights == Target) {
        Unavailable += IsUnavailable || Serving.m_Weights != Target;
        continue;
      }
      // Instances that serve nothing, or can swap at once, need not wait.
      if (IsUnavailable || Serving.m_Condition == ConditionLoaded) {
        Each.m_Weights = Target;
        Unavailable += IsUnavailable;
        continue;
      }
      if (Serving.m_Condition == ConditionStaged)
        Draining.push_back(&Each);
    }
    for (AssignedPool *Each : Draining) {
      if (Unavailable >= P.m_MaxUnavailable)
        return;
      Each->m_Weights = Target;
      ++Unavailable;
    }
  }

  const DeclarationSet &m_Declarations;
  const MembershipView &m_Members;
  std::vector<Candidate> m_Candidates;
  std::vector<Demand> m_Demands;
  Assignment m_Out;
};

} // namespace

Assignment planAssignment(const DeclarationSet &Declarations,
                          const MembershipView &Members) {
  return Planner(Declarations, Members).plan();
}

bool mayPlan(const Assignment &InForce, const MembershipView &Members,
             Duration SinceTakeover) {
  if (SinceTakeover >= MaxSettlingTime)
    return true;
  const auto IsKnown = [&Members](const auto &Each) {
    return Members.m_Members.contains(Each.first);
  };
  return std::all_of(InForce.m_Instances.begin(), InForce.m_Instances.end(),
                     IsKnown);
}

} // namespace deckpitch
