// What an entry believes of the instances that it calls, and which one takes
// the next request.
#pragma once

#include "deckpitch/declared-history.h"
#include "deckpitch/engine-model.h"
#include "deckpitch/fleet.h"
#include "deckpitch/planned-share.h"
#include "deckpitch/time.h"
#include "deckpitch/upstream-choice.h"

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace deckpitch {

/// What an instance's own agent tells of it; never older than the link.
struct InstanceReport {
  std::uint32_t m_Running = 0;
  std::uint32_t m_Waiting = 0;
  bool m_TakesRequests = true; ///< false while it swaps weights
  bool m_HasSoundLink = false; ///< see versionSpare()
  std::vector<HeldWeights> m_Weights;
  /// Until it is to load other weights, where these are ready.
  std::optional<Duration> m_SwapIn;
  /// Version that it is ordered to load: what waits begins on that; 0: none.
  std::uint64_t m_Loading = 0;
  /// Of the life that it is about, as in FleetInstance; 0: not told.
  std::uint64_t m_Start = 0;

  friend bool operator==(const InstanceReport &,
                         const InstanceReport &) = default;
};

/// What is asked of the instance that is to take a request.
struct ChoiceQuery {
  ServiceId m_Service;
  std::string m_Model; ///< empty: a plain service
  std::chrono::milliseconds m_Objective{1'000};
  std::set<InstanceId> m_Tried;
  std::set<InstanceId> m_Full; ///< whose agents were asked already
  /// Taken only where no other serves.
  std::set<InstanceId> m_Avoided;
  /// Places of an engine that are to stay free for others.
  double m_Reserve = 0;
  StreamSize m_Size; ///< of a request for a model
  /// Requests by which an instance may be believed over its limit where its
  /// agent, which knows, is asked before the request is sent.
  double m_AskedBeyond = 0;
  /// Only instances with these weights may take it; 0: any that may serve.
  std::uint64_t m_Version = 0;
};

enum class ChoiceOutcome {
  Chosen,
  NoInstance,  ///< none is listed, or all were tried
  NoWeights,   ///< none serves the declared weights yet
  Full,        ///< none could start the request in time
  Resting,     ///< all that could take it want nothing for a while
  Unconfirmed, ///< nobody says that those listed still live
  ListOutdated ///< who still takes requests is not known here, but elsewhere
};

struct InstanceChoice {
  ChoiceOutcome m_Outcome = ChoiceOutcome::NoInstance;
  InstanceId m_Instance;
  std::string m_Address;
  double m_Load = 0;      ///< requests believed at the least loaded one
  double m_Limit = 0;     ///< requests that it may hold
  Duration m_ReportAge{}; ///< of what the load rests on; 0 without a report
  Duration m_RetryAfter{};
};

/// Objects by id, no clock, no socket. Own requests are counted exactly; those
/// of other entries come from reports, or are guessed from the own ones.
class InstanceTable {
public:
  explicit InstanceTable(DataCentreId Own) : m_Own(std::move(Own)) {}

  void setServices(const std::vector<ServiceDeclaration> &Services);
  void setInstances(const std::vector<FleetInstance> &Listed, TimePoint Now);
  void setWeights(const std::vector<DeclaredWeights> &Declared, TimePoint Now);
  /// Entries that share the instances, this one included.
  void setEntries(std::size_t Count) {
    m_Entries = std::max<std::size_t>(Count, 1);
  }
  /// Until all instances are to serve a version, from its declaration on.
  void setVersionBound(Duration Bound) { m_VersionBound = Bound; }

  /// False where the report is of another life than the listed one: the listed
  /// one gets nothing until the report or the list is of the same life.
  bool report(const std::string &Address, InstanceReport Report, TimePoint Now);
  /// Whether an instance may be sent to though its agent does not answer: it is
  /// known to have lived since it was listed here, or its place in the list is
  /// proof by now.
  bool isConfirmed(const InstanceId &Id, TimePoint Now) const;

  InstanceChoice choose(const ChoiceQuery &Query, TimePoint Now);

  void started(const InstanceId &Id, TimePoint Now);
  /// What the instance's agent is to be asked before the request is sent;
  /// nothing where no agent is heard, or none is needed.
  std::optional<PlaceQuery> placeQuery(const InstanceId &Id,
                                       const ChoiceQuery &Query,
                                       TimePoint Now) const;
  /// The first token of a request for a model came that long after it was
  /// sent.
  void firstToken(const ChoiceQuery &Query, Duration After);
  /// Its agent did not answer such a question.
  void unanswered(const InstanceId &Id, TimePoint Now);
  /// The first byte of a request's answer came: its prompt has been read.
  void answering(const InstanceId &Id);
  enum class End { Good, Failed, Neutral };
  /// For how long the instance is kept out of the choice from now on, where
  /// this failure is the cause.
  std::optional<Duration> ended(const InstanceId &Id, End How,
                                bool WasAnswering, TimePoint Now);
  /// Something came from it.
  void heard(const InstanceId &Id, TimePoint Now);
  /// The version of a model that an instance serves; 0 when it serves none.
  std::uint64_t versionAt(const InstanceId &Id, const std::string &Model) const;
  /// By when a request that waits there must have begun, since the weights that
  /// it would begin on are due to be replaced; nothing where they are not.
  std::optional<TimePoint> beginBy(const InstanceId &Id,
                                   const std::string &Model) const;
  /// Instances that have been taking no requests for so long, since they are
  /// loading other weights.
  std::vector<InstanceId> swappingFor(Duration Length, TimePoint Now) const;
  /// This life of it says itself that it leaves: for good, whatever a list says
  /// later, which may be older. True where that is news.
  bool leaving(const InstanceId &Id);
  /// It wants nothing from this process until then. True where it was not
  /// resting before.
  bool rest(const InstanceId &Id, TimePoint Until, TimePoint Now);
  /// An instance ended the connection of a request that was sent to it then.
  /// True where it lived after that, as far as is known: the request may be why
  /// it ended, if it did. Something in between may take a connection for an
  /// instance that is gone.
  bool lost(const InstanceId &Id, TimePoint Sent, TimePoint Now);
  /// The address now belongs to another life: not to be used any more.
  void replaced(const InstanceId &Id);
  /// Instances with requests under way whose address another life has by now:
  /// nothing more will come.
  std::vector<InstanceId> supersededWithRequests() const;
  /// Instances with requests under way from which nothing has come for so
  /// long.
  std::vector<InstanceId> silentFor(Duration Length, TimePoint Now) const;

  /// That one event of a stream of the service usually holds; 0: not known.
  std::uint32_t tokensPerEvent(const ServiceId &Service) const;
  std::size_t size() const { return m_Instances.size(); }
  const FleetInstance *find(const InstanceId &Id) const;
  /// Addresses of the instances of services with engines.
  std::vector<std::string> engineAddresses() const;
  std::uint32_t inFlight() const;

private:
  struct Instance {
    FleetInstance m_Listed;
    bool m_IsListed = true;        ///< false: kept only until its requests end
    TimePoint m_ListedAt{};        ///< when it was first listed here
    bool m_IsConfirmed = false;    ///< by its agent, or an answer of its own
    bool m_IsContradicted = false; ///< its agent knows another life
    bool m_IsReplaced = false;
    bool m_SaysItLeaves = false; ///< itself, beside what the list says
    TimePoint m_RestsUntil{};
    std::uint32_t m_Own = 0;
    std::uint32_t m_Unanswered = 0; ///< of these, without a first byte
    std::uint32_t m_Others = 0;     ///< at the time of the report
    std::optional<TimePoint> m_Reported;
    bool m_TakesRequests = true;
    std::uint64_t m_Loading = 0;
    TimePoint m_ClosedAt{}; ///< since it takes no requests
    bool m_HasSoundLink = false;
    std::optional<TimePoint> m_SwapAt; ///< when it loads other weights
    std::vector<HeldWeights> m_Weights;
    Ejection m_Ejection;
    TimePoint m_Heard{};
    TimePoint m_LastByte{};            ///< that came from it
    std::optional<TimePoint> m_LostAt; ///< since then it seems to be gone
    TimePoint m_AskAgain{};            ///< its agent did not answer before
  };

  bool isUsable(const InstanceId &Id, const Instance &Each,
                const ChoiceQuery &Query) const;
  double scoreOf(const Instance &Each, TimePoint Now);
  bool serves(const Instance &Each, const ChoiceQuery &Query,
              TimePoint Now) const;
  bool endsBeforeSwap(const Instance &Each, const ChoiceQuery &Query,
                      TimePoint Now) const;
  Duration beginsWithin(const Instance &Each, TimePoint Now) const;
  const EngineProfile *engineOf(const ServiceId &Service) const;
  bool lives(const Instance &Each, TimePoint Now) const;
  bool isAsked(const Instance &Each, TimePoint Now) const;
  double loadOf(const Instance &Each, TimePoint Now) const;
  double limitOf(const Instance &Each, const ChoiceQuery &Query) const;

  DataCentreId m_Own;
  std::size_t m_Entries = 1;
  Duration m_VersionBound = std::chrono::seconds(8);
  std::map<InstanceId, Instance> m_Instances;
  std::map<std::string, InstanceId> m_ByAddress;
  std::map<ServiceId, ServiceDeclaration> m_Services;
  std::map<ServiceId, PlannedShare> m_PlannedShares;
  std::map<std::string, DeclaredHistory> m_Wanted; ///< by model
  std::minstd_rand m_Random{std::random_device{}()};
};

} // namespace deckpitch
