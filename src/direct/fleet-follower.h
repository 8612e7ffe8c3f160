// Follows the fleet's objects in the platform's store together with the other
// entries: one entry reads the store and sends updates to the rest.
#pragma once

#include "deckpitch/declared-history.h"
#include "deckpitch/fleet.h"
#include "deckpitch/holders.h"
#include "deckpitch/instance-list.h"
#include "deckpitch/shared-reading.h"
#include "deckpitch/store-freshness.h"
#include "deckpitch/time.h"
#include "direct/adapter.h"
#include "direct/entry-peers.h"
#include "direct/store-relay.h"
#include "direct/unreadable-log.h"
#include "net/platform.h"
#include "proto/link.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace deckpitch::direct {

namespace asio = boost::asio;

namespace detail {

/// The error of a call; nothing if it succeeded.
template <typename T> std::optional<Error> faultOf(const Outcome<T> &Got) {
  return Got ? std::nullopt : std::optional(Got.error());
}

} // namespace detail

/// How soon changes in the store must be known. Calls to the store are counted.
struct FollowerBounds {
  Duration m_Apply = std::chrono::seconds(2); ///< for a declaration
  Duration m_Drain = std::chrono::seconds(2); ///< for a leaving instance
  /// For an evacuation; nothing: evacuations are not followed.
  std::optional<Duration> m_Evacuate;
  /// Whether the list tells which instances are cold.
  bool m_FollowsColdStarts = false;
  /// Whether instances that expired during an outage of the store count as
  /// listed for a while.
  bool m_KeepsExpired = true;
};

/// The sender of an update.
struct UpdateSource {
  std::string m_Link;      ///< link address of the entry that sent it
  bool m_IsLocal = false;  ///< whether it is in the same data centre
  Duration m_ExtraDelay{}; ///< transit time beyond the usual
};

/// Keeps a cached view of the store and continues with it during an outage.
/// Runs on a single event loop.
class FleetFollower {
public:
  struct Callbacks {
    std::function<void(const FleetDeclaration &)> m_OnDeclaration;
    std::function<void(const std::vector<FleetInstance> &)> m_OnInstances;
    std::function<void(const std::vector<DatedWeights> &)> m_OnWeights;
    std::function<void(const std::set<DataCentreId> &)> m_OnEvacuations;
    /// Sends an update to the entries in reach; may be empty.
    std::function<void(const wire::StoreNews &, UpdateReach)> m_OnUpdate;
  };

  /// What was read is served through Relay unless that is null.
  FleetFollower(asio::io_context &Io, net::HttpClient &Http,
                net::Platform &Store, const FleetAdapter &Adapter,
                FollowerBounds Bounds, Callbacks Calls, StoreRelay *Relay);

  /// Follows all objects until stopped. Without it the store is read only on
  /// request.
  void start();
  void stop();
  /// Sets this entry's rank among the readers; see SharedReading.
  void setRank(ReadRank Turn);
  /// Handles an update from another entry.
  void receive(const wire::StoreNews &News, const UpdateSource &From);
  /// Versions and ages of all that is known here, without the texts, from which
  /// others see whether they have missed an update.
  wire::StoreNews digest();

  /// Reads the declaration and the declared weights once.
  asio::awaitable<bool> readDeclarations();
  /// Reads the list of instances once.
  asio::awaitable<bool> listInstances();
  /// The same with a cheaper call: the list may be some seconds old.
  asio::awaitable<bool> listOldInstances();
  /// Fetches the list that the entry with this link address holds.
  asio::awaitable<bool> fetchInstancesFrom(std::string Holder);

  /// Takes the time of a declaration that another process saw being made.
  void noteDeclared(const DatedWeights &Declared) { setWeights(Declared); }
  /// The declarations of weights that this process saw being made: it had read
  /// the store before.
  std::vector<DatedWeights> seenDeclarations() const;

  bool knowsDeclaration() const { return m_Version != 0; }
  /// Call this and instancesFreshness in each iteration of the event loop too,
  /// so that a pause of the process is detected.
  StoreFreshness declarationFreshness();
  StoreFreshness instancesFreshness();
  /// Whether the store was read, even if it names no version.
  bool knowsWeights() const {
    return m_WeightVersions.m_Reading.asOf() != TimePoint{};
  }
  bool knowsInstances() const { return m_KnowsInstances; }
  /// Whether the evacuations are known or are not followed.
  bool knowsEvacuations() const {
    return !m_Bounds.m_Evacuate || m_KnowsEvacuations;
  }

private:
  /// A newer declaration that another entry holds.
  struct AnnouncedDeclaration {
    std::uint64_t m_Version = 0;
    Revision m_Revision{}; ///< store revision at which it is the newest
    TimePoint m_AsOf{};
    UpdateSource m_From;
  };
  /// When the store held a received list, as far as that is certain.
  struct ListTimes {
    std::optional<TimePoint> m_AsOf;
    bool m_IsRelayed = false; ///< whether another process read it
    /// When the store returned after an outage for all entries, if recently.
    std::optional<TimePoint> m_Returned;
  };
  /// A kind of objects that all entries read when due and the first entry
  /// watches.
  struct FollowedKind {
    std::string m_Kind;
    SharedReading m_Reading;
    Revision m_Seen{}; ///< revision to watch from; 0: list first
    asio::steady_timer m_Wake;
    bool m_MustRead = false; ///< a watch failed and may have missed changes
    std::function<void(const net::PlatformObject &)> m_Apply = nullptr;
    std::function<void(wire::StoreNews &)> m_FillUpdate = nullptr;
    /// Fetches a newer object from another entry; false if none has it.
    std::function<asio::awaitable<bool>()> m_FetchAnnounced = nullptr;
    /// Set for a kind whose objects are deleted too: it is listed rather than
    /// asked for changes, and the list replaces what was known.
    std::function<void(const net::PlatformList &)> m_ApplyList = nullptr;
    std::function<void(const net::PlatformObject &)> m_ApplyDeleted = nullptr;
  };

  asio::awaitable<void> follow(FollowedKind &Kind);
  asio::awaitable<bool> watchOnce(FollowedKind &Kind);
  asio::awaitable<bool> readOnce(FollowedKind &Kind);
  asio::awaitable<bool> refreshOnce(FollowedKind &Kind);
  asio::awaitable<bool> listOnce(FollowedKind &Kind);
  asio::awaitable<bool> fetchAnnounced();
  void apply(FollowedKind &Kind, const net::PlatformList &Read);
  void logUnreadable(const std::string &Kind, const std::string &Name,
                     const std::string &Fault);
  bool handleRead(FollowedKind &Kind, const Outcome<net::PlatformList> &Read,
                  TimePoint Asked, const std::string &Call);
  asio::awaitable<void> pollInstances();
  asio::awaitable<bool> readInstances();
  asio::awaitable<bool> fetchAnnouncedInstances();
  asio::awaitable<bool> fetchFromHolder(std::string Link, Revision Has);
  void noteInstancesAnnounced(Revision At, const UpdateSource &From,
                              TimePoint Now);
  void confirmIfCertain(SharedReading &Reading, const ReportedReading &Told,
                        TimePoint Now);
  asio::awaitable<void> waitUntilDue(SharedReading &Reading,
                                     asio::steady_timer &Wake);
  asio::awaitable<void> pause(Duration Length);
  void checkForPause();
  bool wasPausedSince(TimePoint Time);
  void logTakeOver(const std::string &Kind, const SharedReading &Reading);
  void logSlowRead(const std::string &Subject, TimePoint Asked, Duration Bound,
                   std::size_t Bytes) const;
  void publish(const std::function<void(wire::StoreNews &)> &Fill,
               UpdateReach Reach);
  void publishInstances(const InstanceListChange &Change, UpdateReach Reach);
  void onDeclarationUpdate(const wire::DeclarationNews &News,
                           const UpdateSource &From, TimePoint Now);
  void onWeightsUpdate(const wire::WeightsNews &News, const UpdateSource &From,
                       TimePoint Now);
  void onInstancesUpdate(const wire::InstancesNews &News,
                         const UpdateSource &From, TimePoint Now);
  void onEvacuationsUpdate(const wire::EvacuationsNews &News,
                           const UpdateSource &From, TimePoint Now);
  void setEvacuations(std::set<DataCentreId> DataCentres);
  FollowedKind followedEvacuations();
  /// The plan of reading what must be in force within the bound.
  static ReadingPlan planFor(Duration Bound);
  void setWeights(const DatedWeights &Received);
  void stayBehindAnnounced();
  void applyDeclaration(const net::PlatformObject &Object,
                        const std::string &Source);
  void applyWeights(const net::PlatformObject &Object);
  bool handleInstances(const Outcome<net::PlatformList> &List, TimePoint AsOf);
  void adoptInstances(InstanceList Listed, Revision At, const ListTimes &AsOf);
  void keepInstances(Revision At, const ListTimes &AsOf);
  void noteInstancesAsOf(Revision At, const ListTimes &AsOf);
  InstanceList parseInstances(const net::PlatformList &List);
  void logUnreadableInstances(std::map<std::string, std::string> Unreadable);
  void applyInstances(InstanceList Listed);
  void logChanges(const InstanceList &Now);
  void logStoreAvailability(const std::string &Call,
                            std::optional<Error> Fault);
  Duration retryDelay(unsigned Failures);

  asio::io_context &m_Io;
  net::HttpClient &m_Http;
  net::Platform &m_Store;
  const FleetAdapter &m_Adapter;
  FollowerBounds m_Bounds;
  Callbacks m_Calls;
  StoreRelay *m_Relay;
  ObjectKinds m_Kinds;
  std::uint64_t m_Version = 0; ///< of the declaration in force
  std::optional<AnnouncedDeclaration> m_Announced;
  /// Newest version that others announced since this entry last read the store.
  std::uint64_t m_NewestAnnounced = 0;
  TimePoint m_NewestAnnouncedAt{};
  std::map<std::string, DatedWeights> m_Weights;        ///< by model
  std::map<std::string, DeclaredHistory> m_SeenWeights; ///< by model
  InstanceList m_Read;                 ///< as the store held it
  std::uint64_t m_ReadFingerprint = 0; ///< fingerprint of m_Read
  Revision m_ReadRevision{};           ///< store revision of m_Read
  Holders m_InstanceHolders; ///< entries that hold a newer list than m_Read
  InstanceList m_Listed;     ///< m_Read and instances that expired in an outage
  /// Objects of the list that could not be parsed, with the error of each.
  std::map<std::string, std::string> m_Unreadable;
  bool m_KnowsInstances = false;
  UnreadableLog m_UnreadableOfKinds; ///< by kind and name
  FollowedKind m_Declarations;
  FollowedKind m_WeightVersions;
  std::set<DataCentreId> m_Evacuated;
  bool m_KnowsEvacuations = false;
  FollowedKind m_Evacuations;
  SharedReading m_Instances;
  asio::steady_timer m_InstancesWake;
  ExpiredInstances m_Expired;
  bool m_HasListFailed = false; ///< since the last list that was received
  PauseDetector m_PauseDetector;
  bool m_IsStoreAway = false;
  bool m_Stopped = false;
  std::minstd_rand m_Random{std::random_device{}()};
};

} // namespace deckpitch::direct
