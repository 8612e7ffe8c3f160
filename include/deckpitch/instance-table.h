// The instances known to an entry, their estimated load, and the choice of the
// instance that takes the next request.
#pragma once

#include "deckpitch/cold-start.h"
#include "deckpitch/declared-history.h"
#include "deckpitch/engine-model.h"
#include "deckpitch/fleet.h"
#include "deckpitch/planned-share.h"
#include "deckpitch/rate-limit.h"
#include "deckpitch/regions.h"
#include "deckpitch/time.h"
#include "deckpitch/upstream-choice.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace deckpitch {

/// An instance's state as reported by its own agent over the current link.
struct InstanceReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  bool m_TakesRequests = true; ///< false while it replaces its weights
  bool m_HasSoundLink = false; ///< see versionMargin()
  std::vector<HeldWeights> m_Weights;
  /// Time until it will load other weights, if these are ready.
  std::optional<Duration> m_SwapIn;
  /// Version that it has been ordered to load, on which waiting requests will
  /// begin; 0: none.
  std::uint64_t m_Loading = 0;
  /// Incarnation of the instance, as in FleetInstance; 0: not reported.
  std::uint64_t m_Start = 0;
  /// Nothing: the instance never named a rate limit.
  std::optional<RateLimitReport> m_RateLimit;

  friend bool operator==(const InstanceReport &,
                         const InstanceReport &) = default;
};

/// Requirements of a request on the instance that takes it.
struct ChoiceQuery {
  ServiceId m_Service;
  std::string m_Model; ///< empty for a plain service
  std::chrono::milliseconds m_Objective{1'000};
  std::set<InstanceId> m_Tried;
  /// Instances whose agents have already been asked.
  std::set<InstanceId> m_Full;
  /// Instances that are chosen only if no other can serve the request.
  std::set<InstanceId> m_Avoided;
  /// Slots of an engine that must stay free for other requests.
  double m_Reserve = 0;
  StreamSize m_Size; ///< set for requests to a model
  /// Number of requests by which an instance's estimated load may exceed its
  /// limit if its agent, which knows the load, is asked before the request is
  /// sent.
  double m_AskedBeyond = 0;
  /// Version of the weights that the instance must serve; 0: any that may still
  /// serve.
  std::uint64_t m_Version = 0;
  /// The request may run once only: instances that limit their requests, which
  /// are in difficulties, are its last choice.
  bool m_AvoidsLimited = false;
  AllowedRegions m_Regions; ///< of the instance
  /// Instances whose agents have stopped reporting are chosen only if no agent
  /// reports.
  bool m_NeedsReport = false;
};

enum class ChoiceOutcome {
  Chosen,
  NoInstance,  ///< no instance is listed, or all were tried
  NotAllowed,  ///< there are instances, but none in an allowed region
  Evacuated,   ///< there are instances, but only in evacuated data centres
  NoWeights,   ///< no instance serves the declared weights yet
  Full,        ///< no instance could start the request in time
  BackingOff,  ///< all that could take it have asked for a back-off
  RateLimited, ///< all that could take it are at their rate limits
  Unconfirmed, ///< no listed instance is confirmed to be alive
  ListOutdated ///< other processes have a newer instance list
};

/// The process that granted a request its slot.
enum class SlotGrantor {
  None,  ///< sent without a question
  Agent, ///< the one beside the instance
  Entry  ///< the one that counts requests to an instance without an agent
};

/// The question whether a request may be sent to an instance.
struct SlotQuestion {
  InstanceId m_Instance;
  std::string m_Address;
  PlaceQuery m_Place; ///< for an agent
  /// Nothing: the instance never named a rate limit.
  std::optional<RateLimitReport> m_RateLimit;
  std::optional<ColdStartLimit> m_ColdStart; ///< nothing: it is not cold
  SlotGrantor m_Grantor = SlotGrantor::Agent;

  friend bool operator==(const SlotQuestion &, const SlotQuestion &) = default;
};

/// An instance that limits the rate of its requests, as known here.
struct LimitedInstance {
  InstanceId m_Id;
  std::optional<double> m_PerSecond; ///< nothing: the limit has ended
  Duration m_Age{};    ///< since the request was sent whose answer said so
  Duration m_NextIn{}; ///< until a request can be granted, at least

  friend bool operator==(const LimitedInstance &,
                         const LimitedInstance &) = default;
};

struct InstanceChoice {
  ChoiceOutcome m_Outcome = ChoiceOutcome::NoInstance;
  InstanceId m_Instance;
  std::string m_Address;
  double m_Load = 0;  ///< estimated requests at the chosen instance
  double m_Limit = 0; ///< requests that it may hold
  /// Age of the report that m_Load is based on; 0 without a report.
  Duration m_ReportAge{};
  Duration m_RetryAfter{};
  /// The instance's rate limit, as known here; nothing: none.
  std::optional<double> m_RateLimit;
  SlotGrantor m_GrantedBy = SlotGrantor::None;
};

/// The instances that an entry can send to. Uses no clock and no socket. The
/// entry's own requests are counted exactly; those of other entries are taken
/// from reports, or estimated from the entry's own.
class InstanceTable {
public:
  explicit InstanceTable(DataCentreId Own) : m_Own(std::move(Own)) {}

  /// Sets the region of each data centre; without it, restricted requests can
  /// be served nowhere.
  void setRegions(RegionMap Regions);
  void setServices(const std::vector<ServiceDeclaration> &Services);
  void setInstances(const std::vector<FleetInstance> &Listed, TimePoint Now);
  void setWeights(const std::vector<DeclaredWeights> &Declared, TimePoint Now);
  /// Sets the data centres whose instances get no more requests. Those that
  /// were evacuated before keep the time since when they are.
  void setEvacuated(const std::set<DataCentreId> &DataCentres, TimePoint Now);
  /// Sets the bound for cold instances; nothing: there are none.
  void setColdStartBound(std::optional<ColdStartBound> Bound) {
    m_ColdStartBound = Bound;
  }
  /// Sets the number of entries that share the instances, this one included.
  void setEntries(std::size_t Count) {
    m_Entries = std::max<std::size_t>(Count, 1);
  }
  /// Sets the time from the declaration of a version within which all instances
  /// must serve it.
  void setVersionBound(Duration Bound) { m_VersionBound = Bound; }

  /// Takes a report of the instance at the address. Returns false if the
  /// address is not listed, or if the report is about another incarnation than
  /// the listed one, which then gets no requests until report and list agree.
  bool report(const std::string &Address, InstanceReport Report, TimePoint Now);
  /// Returns whether requests may be sent to an instance whose agent does not
  /// answer: it is in this data centre, so that the agent also reports here,
  /// and is known to have been alive since it was listed here, or has been
  /// listed for long enough to prove that.
  bool isConfirmed(const InstanceId &Id, TimePoint Now) const;

  InstanceChoice choose(const ChoiceQuery &Query, TimePoint Now);

  void started(const InstanceId &Id, TimePoint Now);
  /// Returns the question to be asked before the request is sent: for the
  /// instance's agent if that reports, else for the entry that counts requests
  /// to the instance if it limits them. Nothing if no question is needed.
  std::optional<SlotQuestion> slotQuestion(const InstanceId &Id,
                                           const ChoiceQuery &Query,
                                           TimePoint Now) const;
  /// Records the time from sending a request for a model to its first token.
  void firstToken(const ChoiceQuery &Query, Duration After);
  /// Whether the instance can take the request by what its agent told, which
  /// may differ from what was known when the instance was chosen.
  bool canTake(const InstanceId &Id, const ChoiceQuery &Query,
               TimePoint Now) const;
  /// Records that the instance's agent did not answer a question for a slot.
  void unanswered(const InstanceId &Id, TimePoint Now);
  /// Records the first byte of a request's answer: its prompt has been
  /// prefilled.
  void answerStarted(const InstanceId &Id);
  enum class End { Good, Failed, Neutral };
  /// Records the end of a request. Returns how long the instance is ejected
  /// from now on, if this failure causes an ejection.
  std::optional<Duration> ended(const InstanceId &Id, End Outcome,
                                bool WasAnswering, TimePoint Now);
  /// Records that data arrived from the instance.
  void dataReceived(const InstanceId &Id, TimePoint Now);
  /// Returns the version of the model that the instance serves; 0 if it serves
  /// none.
  std::uint64_t versionAt(const InstanceId &Id, const std::string &Model) const;
  /// Returns the time by which a request that waits at the instance must have
  /// begun, because the weights that it would begin on are due for replacement;
  /// nothing if they are not.
  std::optional<TimePoint> latestBegin(const InstanceId &Id,
                                       const std::string &Model) const;
  /// Returns instances with requests under way that have accepted no new ones
  /// for longer than Length, because they are to load other weights.
  std::vector<InstanceId> swappingFor(Duration Length, TimePoint Now) const;
  /// Returns instances with requests under way whose data centre has been
  /// evacuated for longer than Length.
  std::vector<InstanceId> evacuatedFor(Duration Length, TimePoint Now) const;
  /// Records that this incarnation of the instance announced that it is
  /// leaving. This is final: an instance list that says otherwise later may be
  /// older. Returns true if it was not known yet.
  bool leaving(const InstanceId &Id);
  /// Sends nothing to the instance until then, as it has asked for a back-off.
  /// Returns true if it was not backing off before.
  bool backOff(const InstanceId &Id, TimePoint Until, TimePoint Now);
  /// Records what an answer of the instance says about its rate limit. Returns
  /// true if the limit is another one than before.
  bool rateObserved(const InstanceId &Id, const RateObservation &Answer);
  /// Takes what another process reports about an instance's rate limit.
  void rateReported(const RateLimitReport &Report, TimePoint Now);
  /// Returns the limits that reports have changed since the last call.
  std::vector<LimitedInstance> takeReportedLimits();
  /// Returns the instances that limit their requests.
  std::vector<LimitedInstance> limitedInstances(TimePoint Now) const;
  /// Whether the instance limits its requests, or is cold.
  bool isRateLimited(const InstanceId &Id, TimePoint Now) const;
  /// Returns the number of instances that are cold.
  std::size_t coldCount(TimePoint Now) const;
  /// Whether the instance limits its requests and none can be granted now.
  bool isAtRateLimit(const InstanceId &Id, TimePoint Now) const;
  /// Whether the instance's own agent reports to this entry.
  bool hasFreshReport(const InstanceId &Id, TimePoint Now) const;
  /// Records that an instance closed the connection of a request that was sent
  /// to it at that time. Returns true if the instance was alive after that, as
  /// far as is known: the request may have crashed it. An intermediary may
  /// accept connections for an instance that is gone.
  bool lost(const InstanceId &Id, TimePoint Sent, TimePoint Now);
  /// Whether the instance was found to be gone at that time or later.
  bool wasLostSince(const InstanceId &Id, TimePoint Since) const;
  /// Records that the address now belongs to another incarnation: the instance
  /// gets no more requests.
  void replaced(const InstanceId &Id);
  /// Returns instances with requests under way whose address now belongs to
  /// another incarnation, so that no answer will come.
  std::vector<InstanceId> replacedWithRequests() const;
  /// Returns instances with requests under way from which no data has arrived
  /// for longer than Length.
  std::vector<InstanceId> silentFor(Duration Length, TimePoint Now) const;

  /// Returns the number of tokens that one event of the service's streams
  /// usually holds; 0: not known.
  std::uint32_t tokensPerEvent(const ServiceId &Service) const;
  std::size_t size() const { return m_Instances.size(); }
  /// Returns the number of listed instances of the data centre.
  std::size_t countIn(const DataCentreId &DataCentre) const;
  const FleetInstance *find(const InstanceId &Id) const;
  /// Returns the addresses of the instances whose agents are to report here:
  /// those of this data centre, and those that run requests of this entry. The
  /// others are asked before a request is sent there.
  std::vector<std::string> subscribedAddresses() const;
  /// Returns the addresses of the listed instances with agents in the data
  /// centres for which the condition holds.
  std::vector<std::string> agentAddressesWhere(
      const std::function<bool(const DataCentreId &)> &Holds) const;
  std::uint32_t inFlight() const;

private:
  struct Instance {
    FleetInstance m_Listed;
    RegionId m_Region;
    bool m_IsListed = true; ///< false: kept only until its requests end
    /// Another instance has registered at its address since.
    bool m_IsSuperseded = false;
    TimePoint m_ListedAt{}; ///< when it was first listed here
    /// Known to be alive, from its agent or its own answer.
    bool m_IsConfirmed = false;
    /// Its agent reports another incarnation.
    bool m_HasOtherIncarnation = false;
    bool m_IsReplaced = false;
    /// Announced by itself, whatever the list says.
    bool m_HasAnnouncedLeaving = false;
    TimePoint m_BackOffUntil{};
    TimePoint m_ColdUntil{};
    ObservedRateLimit m_RateLimit;
    /// Until then whoever counts its requests grants none.
    TimePoint m_NextGrant{};
    std::uint32_t m_Own = 0;
    std::uint32_t m_Unanswered = 0; ///< own requests without a first byte
    std::uint32_t m_Others = 0; ///< requests of other entries when it reported
    std::optional<TimePoint> m_Reported;
    bool m_TakesRequests = true;
    std::uint64_t m_Loading = 0;
    TimePoint m_ClosedAt{}; ///< when it stopped accepting requests
    bool m_HasSoundLink = false;
    std::optional<TimePoint> m_SwapAt; ///< when it loads other weights
    std::vector<HeldWeights> m_Weights;
    Ejection m_Ejection;
    TimePoint m_LastActivity{};
    TimePoint m_LastByte{};            ///< last arrival of data from it
    std::optional<TimePoint> m_LostAt; ///< when it was last found to be gone
    /// Until then it is passed over, as its agent did not answer.
    TimePoint m_AskAgain{};
  };

  void markSuperseded();

  using InstanceIterator = std::map<InstanceId, Instance>::iterator;
  /// The instances that could take a request.
  struct Candidates {
    std::vector<InstanceIterator> m_Usable; ///< now
    /// Those that are at their rate limits, and when the first is not.
    std::vector<InstanceIterator> m_AtLimit;
    std::optional<TimePoint> m_FirstGrant;
    std::optional<TimePoint> m_FirstBackOffEnd;
    bool m_LacksWeights = false;
    bool m_HasElsewhere = false; ///< some are in a region that is not allowed
    bool m_HasEvacuated = false; ///< some are in an evacuated data centre
  };

  /// Instances of a smaller preference are chosen first.
  enum class Preference { Known, OnlyListed, Silent };

  Preference preferenceOf(const Instance &Each, const ChoiceQuery &Query,
                          TimePoint Now) const;
  bool isUsable(const InstanceId &Id, const Instance &Each,
                const ChoiceQuery &Query) const;
  Candidates candidatesFor(const ChoiceQuery &Query, TimePoint Now);
  void preferBest(std::vector<InstanceIterator> &Usable,
                  const ChoiceQuery &Query, TimePoint Now) const;
  Duration retryAfter(const Candidates &All, const ChoiceQuery &Query) const;
  InstanceChoice noneUsable(const Candidates &All, const ChoiceQuery &Query,
                            TimePoint Now) const;
  double completionsPerSecond(const Instance &Each,
                              const ChoiceQuery &Query) const;
  double loadFactor(const Instance &Each, const ChoiceQuery &Query) const;
  double scoreOf(const Instance &Each, const ChoiceQuery &Query, TimePoint Now);
  bool serves(const Instance &Each, const ChoiceQuery &Query,
              TimePoint Now) const;
  bool endsBeforeSwap(const Instance &Each, const ChoiceQuery &Query,
                      TimePoint Now) const;
  Duration timeUntilBegin(const Instance &Each, TimePoint Now) const;
  const EngineProfile *engineOf(const ServiceId &Service) const;
  bool isAlive(const Instance &Each, TimePoint Now) const;
  bool isLocal(const Instance &Each) const {
    return Each.m_Listed.m_DataCentre == m_Own;
  }
  std::optional<ColdStartLimit> coldStartOf(const Instance &Each,
                                            TimePoint Now) const;
  bool isOnlyListed(const Instance &Each, TimePoint Now) const;
  bool needsAgentQuery(const Instance &Each, TimePoint Now) const;
  double loadOf(const Instance &Each, TimePoint Now) const;
  double limitOf(const Instance &Each, const ChoiceQuery &Query) const;
  static bool isFresh(const Instance &Each, TimePoint Now);
  bool hasStoppedReporting(const Instance &Each, TimePoint Now) const;
  static bool awaitsGrant(const Instance &Each, TimePoint Now);

  DataCentreId m_Own;
  RegionMap m_Regions;
  std::map<DataCentreId, TimePoint> m_EvacuatedSince;
  std::optional<ColdStartBound> m_ColdStartBound;
  std::size_t m_Entries = 1;
  Duration m_VersionBound = std::chrono::seconds(8);
  std::map<InstanceId, Instance> m_Instances;
  std::map<std::string, InstanceId> m_ByAddress;
  std::map<ServiceId, ServiceDeclaration> m_Services;
  std::map<ServiceId, PlannedShare> m_PlannedShares;
  std::map<std::string, DeclaredHistory> m_Wanted; ///< by model
  std::vector<LimitedInstance> m_ReportedLimits;
  std::minstd_rand m_Random{std::random_device{}()};
};

} // namespace deckpitch
