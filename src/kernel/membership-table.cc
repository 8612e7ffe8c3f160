#include "deckpitch/membership-table.h"

#include <xxhash.h>

#include <algorithm>

namespace deckpitch {

namespace {

/// Number of times that one entry sends a change; missed changes are found by
/// comparing digests.
constexpr unsigned SendsPerChange = 3;
/// Time for which a gone member is remembered, so that late records do not
/// bring it back.
constexpr std::chrono::minutes GoneRetention{10};
constexpr std::uint32_t LoadSteps = 4;

/// Returns the precedence of a state at the same sequence.
int rankOf(MemberState State) {
  switch (State) {
  case MemberState::Alive:
    return 0;
  case MemberState::Suspect:
    return 1;
  case MemberState::Leaving:
    return 2;
  case MemberState::Gone:
    return 3;
  }
  return 0;
}

bool supersedes(const MemberRecord &New, const MemberRecord &Old) {
  if (New.m_Member.m_Incarnation != Old.m_Member.m_Incarnation)
    return New.m_Member.m_Incarnation > Old.m_Member.m_Incarnation;
  if (New.m_Sequence != Old.m_Sequence)
    return New.m_Sequence > Old.m_Sequence;
  return rankOf(New.m_Member.m_State) > rankOf(Old.m_Member.m_State);
}

/// Returns the load in coarse steps, so that small changes are not sent.
std::uint32_t loadStep(const LoadReport &Load) {
  if (Load.m_Limit == 0)
    return 0;
  return (Load.m_InFlight + Load.m_Waiting) * LoadSteps / Load.m_Limit;
}

bool isWorthSending(const Member &Old, const Member &New) {
  if (loadStep(Old.m_Load) != loadStep(New.m_Load))
    return true;
  Member Same = New;
  Same.m_Load = Old.m_Load;
  Same.m_Source = Old.m_Source;
  return Same != Old;
}

} // namespace

MembershipTable::MembershipTable(Member Self, MembershipSettings Limits)
    : m_SelfId(Self.m_Id), m_Limits(Limits) {
  setSelf(std::move(Self), 0);
}

void MembershipTable::setSelf(Member Self, std::uint64_t Sequence) {
  Known &Own = m_Known[m_SelfId];
  if (isWorthSending(Own.m_Record.m_Member, Self))
    Own.m_TimesSent = 0;
  Own.m_Record.m_Member = std::move(Self);
  Own.m_Record.m_Sequence = Sequence;
}

bool MembershipTable::apply(TimePoint Now, const MemberRecord &Record,
                            MemberSource Source) {
  const auto [At, Added] = m_Known.try_emplace(Record.m_Member.m_Id);
  Known &Of = At->second;
  const Member Old = Of.m_Record.m_Member;
  const bool IsSameIncarnation =
      !Added && Old.m_Incarnation == Record.m_Member.m_Incarnation;
  const bool IsLeaving = Record.m_Member.m_State == MemberState::Leaving;
  const bool Newer = Added || supersedes(Record, Of.m_Record);
  if (!Newer && !(IsSameIncarnation && IsLeaving && !Of.m_Leaving))
    return false;
  Of.m_Leaving = (IsSameIncarnation && Of.m_Leaving) || IsLeaving;
  if (Newer) {
    const bool Fresh = Record.m_Sequence > Of.m_Record.m_Sequence;
    Of.m_Record = Record;
    if (Added || !IsSameIncarnation || Fresh) {
      Of.m_LastUpdate = Now;
      Of.m_HasAsked = false;
    }
  }
  Member &Current = Of.m_Record.m_Member;
  if (Of.m_Leaving && Current.m_State != MemberState::Gone)
    Current.m_State = MemberState::Leaving;
  Current.m_Source = Source;
  if (Added || isWorthSending(Old, Current))
    Of.m_TimesSent = 0;
  return true;
}

bool MembershipTable::receiveHeartbeat(TimePoint Now,
                                       const MemberRecord &Record) {
  if (Record.m_Member.m_Id == m_SelfId)
    return false;
  return apply(Now, Record, MemberSource::Heartbeat);
}

bool MembershipTable::receiveShortHeartbeat(TimePoint Now,
                                            const Heartbeat &Short) {
  const auto At = m_Known.find(Short.m_Id);
  if (At == m_Known.end())
    return false;
  MemberRecord Record = At->second.m_Record;
  if (Record.m_Member.m_Incarnation != Short.m_Incarnation)
    return Short.m_Incarnation < Record.m_Member.m_Incarnation;
  Record.m_Sequence = Short.m_Sequence;
  Record.m_Member.m_InForce = Short.m_InForce;
  Record.m_Member.m_Load = Short.m_Load;
  Record.m_Member.m_State = MemberState::Alive;
  apply(Now, Record, MemberSource::Heartbeat);
  return true;
}

bool MembershipTable::merge(TimePoint Now, const MemberRecord &Record) {
  if (Record.m_Member.m_Id != m_SelfId)
    return apply(Now, Record, MemberSource::Entry);
  Known &Own = m_Known[m_SelfId];
  const bool IsOwnIncarnation =
      Record.m_Member.m_Incarnation == Own.m_Record.m_Member.m_Incarnation;
  const bool Wrong = Record.m_Member.m_State != Own.m_Record.m_Member.m_State;
  if (!IsOwnIncarnation || !Wrong)
    return false;
  // The next heartbeat has a newer sequence and refutes the record.
  Own.m_TimesSent = 0;
  return true;
}

void MembershipTable::applyPlatformList(
    const std::vector<ListedInstance> &List) {
  for (const ListedInstance &Each : List) {
    const auto At = m_Known.find(Each.m_Id);
    if (!Each.m_Leaving) {
      m_ListedLeaving.erase(Each.m_Id);
      continue;
    }
    if (At == m_Known.end())
      continue;
    Known &Of = At->second;
    const auto [Mark, Fresh] = m_ListedLeaving.try_emplace(
        Each.m_Id, Of.m_Record.m_Member.m_Incarnation);
    // A mark from before a restart is about the earlier incarnation.
    const bool IsCurrentIncarnation =
        Mark->second == Of.m_Record.m_Member.m_Incarnation;
    if (!IsCurrentIncarnation || Of.m_Leaving)
      continue;
    Of.m_Leaving = true;
    // This entry announces its own leaving once its drain has begun.
    if (Each.m_Id == m_SelfId ||
        Of.m_Record.m_Member.m_State == MemberState::Gone)
      continue;
    Of.m_Record.m_Member.m_State = MemberState::Leaving;
    Of.m_Record.m_Member.m_Source = MemberSource::Platform;
    Of.m_TimesSent = 0;
  }
}

std::vector<EntryCandidate> MembershipTable::entries() const {
  std::vector<EntryCandidate> List;
  for (const auto &[Id, Of] : m_Known) {
    const Member &Each = Of.m_Record.m_Member;
    if (Each.m_Role == Role::Entry && Each.m_State != MemberState::Gone)
      List.push_back({Id, Each.m_DataCentre});
  }
  return List;
}

std::vector<InstanceId>
MembershipTable::watchersOf(const Member &Watched) const {
  return chooseEntries(Watched.m_Id, Watched.m_DataCentre, entries());
}

void MembershipTable::updateSilence(TimePoint Now, Known &Observed,
                                    std::vector<SilenceQuestion> &Out) {
  Member &Judged = Observed.m_Record.m_Member;
  const std::vector<InstanceId> Watchers = watchersOf(Judged);
  const bool Watched =
      std::find(Watchers.begin(), Watchers.end(), m_SelfId) != Watchers.end();
  if (Watched && !Observed.m_IsWatchedHere)
    Observed.m_LastUpdate = std::max(Observed.m_LastUpdate,
                                     Now); // this entry begins to watch it now
  Observed.m_IsWatchedHere = Watched;
  const Duration Silence = Now - Observed.m_LastUpdate;
  if (!Watched || Silence < m_Limits.m_SuspectAfter)
    return;
  if (!Observed.m_HasAsked) {
    Observed.m_HasAsked = true;
    Observed.m_Asked = Now;
    SilenceQuestion Question{Judged.m_Id, Watchers};
    std::erase(Question.m_Watchers, m_SelfId);
    Out.push_back(std::move(Question));
    return;
  }
  if (Now - Observed.m_Asked < m_Limits.m_Heartbeat)
    return;
  const bool IsGone = Silence >= m_Limits.m_GoneAfter;
  const MemberState Next = IsGone               ? MemberState::Gone
                           : Observed.m_Leaving ? MemberState::Leaving
                                                : MemberState::Suspect;
  if (Judged.m_State == Next)
    return;
  Judged.m_State = Next;
  Judged.m_Source = MemberSource::Silence;
  Observed.m_TimesSent = 0;
}

std::vector<SilenceQuestion> MembershipTable::tick(TimePoint Now) {
  std::vector<SilenceQuestion> Questions;
  for (auto &[Id, Of] : m_Known)
    if (Id != m_SelfId && Of.m_Record.m_Member.m_State != MemberState::Gone)
      updateSilence(Now, Of, Questions);
  dropGone(Now);
  return Questions;
}

void MembershipTable::dropGone(TimePoint Now) {
  std::erase_if(m_Known, [&](const auto &Each) {
    const Known &Of = Each.second;
    return Of.m_Record.m_Member.m_State == MemberState::Gone &&
           Now - Of.m_LastUpdate > GoneRetention;
  });
}

std::vector<MemberRecord> MembershipTable::takeChanges(std::size_t Most) {
  std::vector<Known *> Untold;
  for (auto &[Id, Of] : m_Known)
    if (Of.m_TimesSent < SendsPerChange)
      Untold.push_back(&Of);
  std::stable_sort(Untold.begin(), Untold.end(),
                   [](const Known *A, const Known *B) {
                     return A->m_TimesSent < B->m_TimesSent;
                   });
  std::vector<MemberRecord> Taken;
  for (Known *Of : Untold) {
    if (Taken.size() == Most)
      break;
    ++Of->m_TimesSent;
    Taken.push_back(Of->m_Record);
  }
  return Taken;
}

std::vector<MemberRecord> MembershipTable::records() const {
  std::vector<MemberRecord> List;
  for (const auto &[Id, Of] : m_Known)
    List.push_back(Of.m_Record);
  return List;
}

const MemberRecord *MembershipTable::find(const InstanceId &Id) const {
  const auto At = m_Known.find(Id);
  return At == m_Known.end() ? nullptr : &At->second.m_Record;
}

Incarnation MembershipTable::leavingIncarnation(const InstanceId &Id) const {
  const auto At = m_Known.find(Id);
  if (At == m_Known.end() || !At->second.m_Leaving)
    return {};
  return At->second.m_Record.m_Member.m_Incarnation;
}

std::uint64_t MembershipTable::digest() const {
  std::uint64_t Sum = 0;
  for (const auto &[Id, Of] : m_Known) {
    const Member &Each = Of.m_Record.m_Member;
    if (Each.m_State == MemberState::Gone)
      continue;
    const std::string Text = Id.m_Text + '/' +
                             std::to_string(Each.m_Incarnation.m_Value) + '/' +
                             std::to_string(rankOf(Each.m_State)) + '/' +
                             std::to_string(Each.m_InForce.m_Value) + '/' +
                             Each.m_Serving.m_Weights.m_Text + '/' +
                             (Each.m_Serving.m_Ready ? "ready" : "");
    Sum += XXH64(Text.data(), Text.size(), 0);
  }
  return Sum;
}

MembershipView MembershipTable::view() const {
  MembershipView View;
  for (const auto &[Id, Of] : m_Known)
    View.m_Members.emplace(Id, Of.m_Record.m_Member);
  return View;
}

} // namespace deckpitch
