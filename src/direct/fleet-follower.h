// Follows what the platform's store says of the fleet, together with the other
// entries: one reads and tells the rest.
#pragma once

#include "deckpitch/fleet.h"
#include "deckpitch/holders.h"
#include "deckpitch/instance-list.h"
#include "deckpitch/shared-reading.h"
#include "deckpitch/store-belief.h"
#include "deckpitch/time.h"
#include "direct/adapter.h"
#include "direct/entry-peers.h"
#include "direct/store-relay.h"
#include "net/platform.h"
#include "proto/link.pb.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace deckpitch::direct {

namespace asio = boost::asio;

namespace detail {

/// Why a call failed; nothing where it did not.
template <typename T> std::optional<Error> faultOf(const Outcome<T> &Got) {
  return Got ? std::nullopt : std::optional(Got.error());
}

} // namespace detail

/// How soon what the store says is to be known. Each call to it costs.
struct FollowerBounds {
  Duration m_Apply = std::chrono::seconds(2); ///< a declaration
  Duration m_Drain = std::chrono::seconds(2); ///< an instance that leaves
  /// Instances that lapsed while the store was away count as listed for a
  /// while.
  bool m_KeepsLapsed = true;
};

/// Where news came from.
struct NewsOrigin {
  std::string m_Link;    ///< address of the entry that sent it
  bool m_IsNear = false; ///< in the same data centre
  Duration m_Late{};     ///< how much longer than usual it took
};

/// Goes on with what it knew while the store is away. All on one loop.
class FleetFollower {
public:
  struct Callbacks {
    std::function<void(const FleetDeclaration &)> m_OnDeclaration;
    std::function<void(const std::vector<FleetInstance> &)> m_OnInstances;
    std::function<void(const std::vector<HeardWeights> &)> m_OnWeights;
    /// What was just learnt, and which entries are to be told; may be empty.
    std::function<void(const wire::StoreNews &, NewsReach)> m_OnNews;
  };

  /// What was read is passed on through the relay, where there is one.
  FleetFollower(asio::io_context &Io, net::HttpClient &Http,
                net::Platform &Store, const FleetAdapter &Adapter,
                FollowerBounds Bounds, Callbacks Calls, StoreRelay *Relay);

  /// Follows all until stopped. Without it, only what is asked for is read.
  void start();
  void stop();
  /// Entries that read before this one; see SharedReading.
  void setTurn(ReadingTurn Turn);
  /// What another entry has read, or knows.
  void hear(const wire::StoreNews &News, const NewsOrigin &From);
  /// All that is known here, without the texts: for others to see whether they
  /// are behind. Who has missed a change learns of it with the next.
  wire::StoreNews digest();

  /// Reads the declaration and the declared weights once.
  asio::awaitable<bool> readDeclarations();
  /// Reads the list of instances once.
  asio::awaitable<bool> listInstances();
  /// The same at a lower price: it may be some seconds old.
  asio::awaitable<bool> listOldInstances();
  /// The list that the entry with that link address holds.
  asio::awaitable<bool> fetchInstancesFrom(std::string Holder);

  bool knowsDeclaration() const { return m_Version != 0; }
  /// To be asked at each turn of the loop too, so that a pause is noticed.
  StoreBelief declarationBelief();
  StoreBelief instancesBelief();
  /// The store was read, whether or not it names any version.
  bool knowsWeights() const {
    return m_WeightVersions.m_Reading.asOf() != TimePoint{};
  }
  bool knowsInstances() const { return m_KnowsInstances; }

private:
  /// A declaration that another entry holds and this one does not.
  struct ToldDeclaration {
    std::uint64_t m_Version = 0;
    Revision m_Revision{}; ///< of the store, as of which it is the newest
    TimePoint m_AsOf{};
    NewsOrigin m_From;
  };
  /// When the store held what came, if that is certain.
  struct HeardAsOf {
    std::optional<TimePoint> m_AsOf;
    bool m_IsRelayed = false; ///< read by another process
    /// When the store was back after it had been away for all, if lately.
    std::optional<TimePoint> m_Returned;
  };
  /// A kind of objects that is read when it is due, and watched by the first
  /// entry.
  struct Followed {
    std::string m_Kind;
    SharedReading m_Reading;
    Revision m_Seen{}; ///< to watch from; 0: list first
    asio::steady_timer m_Wake;
    bool m_MustRead = false; ///< a watch failed: what was missed?
    std::function<void(const net::PlatformObject &)> m_Apply;
    std::function<void(wire::StoreNews &)> m_Tell;
    /// Gets from another entry what is behind here; false where none has it.
    std::function<asio::awaitable<bool>()> m_FetchTold;
  };

  asio::awaitable<void> follow(Followed &Of);
  asio::awaitable<bool> watchOnce(Followed &Of);
  asio::awaitable<bool> readOnce(Followed &Of);
  asio::awaitable<bool> refreshOnce(Followed &Of);
  asio::awaitable<bool> listOnce(Followed &Of);
  asio::awaitable<bool> fetchTold();
  bool takeRead(Followed &Of, const Outcome<net::PlatformList> &Read,
                TimePoint Asked, const std::string &Call);
  asio::awaitable<void> pollInstances();
  asio::awaitable<bool> readInstances();
  asio::awaitable<bool> fetchToldInstances();
  asio::awaitable<bool> askHolder(std::string Link, Revision Has);
  void noteInstancesTold(Revision At, const NewsOrigin &From, TimePoint Now);
  void confirmIfCertain(SharedReading &Reading, const ToldReading &Told,
                        TimePoint Now);
  asio::awaitable<void> untilDue(SharedReading &Reading,
                                 asio::steady_timer &Wake);
  asio::awaitable<void> pause(Duration Length);
  void noteRunning();
  bool hasStoodStillSince(TimePoint Time);
  void noteTakeOver(const std::string &Kind, const SharedReading &Reading);
  void noteRead(const std::string &Subject, TimePoint Asked, Duration Bound,
                std::size_t Bytes) const;
  void tell(const std::function<void(wire::StoreNews &)> &Fill,
            NewsReach Reach);
  void tellInstances(const InstanceListChange &Change, NewsReach Reach);
  void hearDeclaration(const wire::DeclarationNews &News,
                       const NewsOrigin &From, TimePoint Now);
  void hearWeights(const wire::WeightsNews &News, const NewsOrigin &From,
                   TimePoint Now);
  void hearInstances(const wire::InstancesNews &News, const NewsOrigin &From,
                     TimePoint Now);
  void setWeights(const HeardWeights &Heard);
  void stayBehindWhatWasTold();
  void applyDeclaration(const net::PlatformObject &Object,
                        const std::string &Source);
  void applyWeights(const net::PlatformObject &Object);
  bool takeInstances(const Outcome<net::PlatformList> &List, TimePoint AsOf);
  void adoptInstances(InstanceList Listed, Revision At, const HeardAsOf &AsOf);
  void keepInstances(Revision At, const HeardAsOf &AsOf);
  void noteInstancesAsOf(Revision At, const HeardAsOf &AsOf);
  InstanceList parseInstances(const net::PlatformList &List);
  void noteUnreadable(std::map<std::string, std::string> Unreadable);
  void applyInstances(InstanceList Listed);
  void logChanges(const InstanceList &Now);
  void noteStore(const std::string &Call, std::optional<Error> Fault);
  Duration retryAfter(unsigned Failures);

  asio::io_context &m_Io;
  net::HttpClient &m_Http;
  net::Platform &m_Store;
  const FleetAdapter &m_Adapter;
  FollowerBounds m_Bounds;
  Callbacks m_Calls;
  StoreRelay *m_Relay;
  ObjectKinds m_Kinds;
  std::uint64_t m_Version = 0; ///< of the declaration in force
  std::optional<ToldDeclaration> m_Told;
  /// Version that others have told of since the store was read here last.
  std::uint64_t m_NewestTold = 0;
  TimePoint m_NewestToldAt{};
  std::map<std::string, HeardWeights> m_Weights; ///< by model
  InstanceList m_Read;                           ///< as the store held it
  std::uint64_t m_ReadFingerprint = 0;           ///< of that list
  Revision m_ReadRevision{};                     ///< of the store then
  Holders m_InstanceHolders; ///< of a newer list than this one
  InstanceList m_Listed;     ///< these, and those that lapsed while it was away
  /// Entries of the list that name no instance, and what is wrong with each.
  std::map<std::string, std::string> m_Unreadable;
  bool m_KnowsInstances = false;
  Followed m_Declarations;
  Followed m_WeightVersions;
  SharedReading m_Instances;
  asio::steady_timer m_InstancesWake;
  LapsedInstances m_Lapsed;
  bool m_HasListFailed = false; ///< since a list came last
  StandStill m_Still;
  bool m_StoreAway = false;
  bool m_Stopped = false;
  std::minstd_rand m_Random{std::random_device{}()};
};

} // namespace deckpitch::direct
