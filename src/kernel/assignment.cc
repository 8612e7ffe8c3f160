#include "deckpitch/assignment.h"

#include <algorithm>
#include <optional>
#include <tuple>

namespace deckpitch {

namespace {

struct Candidate {
  const Member *m_Member;
  std::optional<AssignedPool> m_Was;
};

/// A pool's wish for instances in one data centre.
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

/// The plan under way; candidates leave the list as they are assigned.
class Planner {
public:
  Planner(const DeclarationSet &Declarations, const MembershipView &Members)
      : m_Declarations(Declarations), m_Members(Members) {
    gatherCandidates();
    gatherDemands();
  }

  Assignment plan() {
    keepWhatFits();
    for (Demand &Each : m_Demands)
      fill(Each);
    keepSpares();
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

  /// Instances beside plain services name their pool in their settings.
  bool besideService(const Member &Value) const {
    const auto Found = m_Declarations.m_Pools.find(Value.m_Serving.m_Pool);
    return Found != m_Declarations.m_Pools.end() &&
           Found->second.m_Value.m_Kind == PoolKind::Service;
  }

  void gatherCandidates() {
    for (const auto &[Id, Each] : m_Members.m_Members) {
      if (!mayServe(Each) || besideService(Each))
        continue;
      Candidate Entry{&Each, std::nullopt};
      const auto Was = previous().m_Instances.find(Id);
      if (Was != previous().m_Instances.end())
        Entry.m_Was = Was->second;
      m_Candidates.push_back(std::move(Entry));
    }
  }

  void gatherDemands() {
    for (const auto &[Id, Each] : m_Declarations.m_Pools) {
      if (Each.m_Value.m_Kind != PoolKind::Engine)
        continue;
      for (const DataCentreReadiness &Wish : Each.m_Value.m_Readiness)
        m_Demands.push_back(
            {&Each.m_Value, Wish.m_DataCentre, Wish.m_Ready, 0});
    }
  }

  /// Keeps the instances that a demand already has, best first, up to it.
  void keepWhatFits() {
    std::stable_sort(m_Candidates.begin(), m_Candidates.end(),
                     [](const Candidate &A, const Candidate &B) {
                       return standing(A) > standing(B);
                     });
    for (Demand &Each : m_Demands)
      take(Each, [&](const Candidate &Entry) {
        return Entry.m_Was && Entry.m_Was->m_Pool == Each.m_Pool->m_Id;
      });
  }

  static std::tuple<bool, bool> standing(const Candidate &Entry) {
    return {Entry.m_Member->m_State == MemberState::Alive,
            Entry.m_Member->m_Serving.m_Ready};
  }

  /// Fills a demand: holders of the weights, then unassigned instances, then
  /// those whose pool has no use for them.
  void fill(Demand &Wish) {
    const WeightsId Weights = weightsOf(*Wish.m_Pool);
    take(Wish, [&](const Candidate &Entry) {
      return Entry.m_Member->m_Serving.m_Weights == Weights;
    });
    take(Wish, [](const Candidate &Entry) { return !Entry.m_Was; });
    take(Wish, [](const Candidate &) { return true; });
  }

  template <typename Fits> void take(Demand &Wish, Fits Fitting) {
    for (auto It = m_Candidates.begin(); It != m_Candidates.end();) {
      if (Wish.m_Granted == Wish.m_Ready)
        return;
      const bool Taken =
          It->m_Member->m_DataCentre == Wish.m_DataCentre && Fitting(*It);
      if (!Taken) {
        ++It;
        continue;
      }
      assign(*It, *Wish.m_Pool);
      ++Wish.m_Granted;
      It = m_Candidates.erase(It);
    }
  }

  /// An instance that comes to a pool starts with the declared weights, or,
  /// while the pool is paused, with those most of the pool may activate.
  void assign(const Candidate &Entry, const Pool &To) {
    AssignedPool Next{To.m_Id, weightsOf(To)};
    if (Entry.m_Was && Entry.m_Was->m_Pool == To.m_Id)
      Next.m_Weights = Entry.m_Was->m_Weights;
    else if (To.m_Paused)
      Next.m_Weights = heldWeights(To);
    m_Out.m_Instances.emplace(Entry.m_Member->m_Id, std::move(Next));
  }

  WeightsId heldWeights(const Pool &Of) const {
    std::map<WeightsId, std::size_t> Counts;
    for (const auto &[Id, Each] : previous().m_Instances)
      if (Each.m_Pool == Of.m_Id)
        ++Counts[Each.m_Weights];
    const auto Most = std::max_element(
        Counts.begin(), Counts.end(),
        [](const auto &A, const auto &B) { return A.second < B.second; });
    return Most == Counts.end() ? weightsOf(Of) : Most->first;
  }

  void keepSpares() {
    for (const Candidate &Each : m_Candidates) {
      if (!Each.m_Was)
        continue;
      if (const Pool *Still = enginePool(Each.m_Was->m_Pool))
        assign(Each, *Still);
    }
    m_Candidates.clear();
  }

  void advanceWaves() {
    for (const auto &[Id, Each] : m_Declarations.m_Pools)
      if (Each.m_Value.m_Kind == PoolKind::Engine && !Each.m_Value.m_Paused)
        advance(Each.m_Value);
  }

  /// Instances whose engine must drain before it can swap wait for their turn.
  void advance(const Pool &Of) {
    const WeightsId Target = weightsOf(Of);
    std::uint32_t Unavailable = 0;
    std::vector<AssignedPool *> Draining;
    for (auto &[Id, Each] : m_Out.m_Instances) {
      if (Each.m_Pool != Of.m_Id)
        continue;
      const ServingReport &Serving = m_Members.m_Members.at(Id).m_Serving;
      const bool Counts = !Serving.m_Ready || Serving.m_Pool != Of.m_Id;
      if (Each.m_Weights == Target) {
        Unavailable += Counts || Serving.m_Weights != Target;
        continue;
      }
      // Nothing is lost by changing what serves nothing.
      if (Counts || Serving.m_Condition == ConditionLoaded) {
        Each.m_Weights = Target;
        Unavailable += Counts;
        continue;
      }
      if (Serving.m_Condition == ConditionStaged)
        Draining.push_back(&Each);
    }
    for (AssignedPool *Each : Draining) {
      if (Unavailable >= Of.m_MaxUnavailable)
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
  if (SinceTakeover >= SettlingLimit)
    return true;
  const auto IsKnown = [&Members](const auto &Each) {
    return Members.m_Members.contains(Each.first);
  };
  return std::all_of(InForce.m_Instances.begin(), InForce.m_Instances.end(),
                     IsKnown);
}

} // namespace deckpitch
