// The way of one request through an entry: route, organisation, instance,
// answer, and what follows when an attempt fails.
#pragma once

#include "deckpitch/event.h"
#include "deckpitch/instance-table.h"
#include "deckpitch/retry-window.h"
#include "deckpitch/route-index.h"
#include "deckpitch/size-shares.h"
#include "deckpitch/store-belief.h"
#include "direct/adapter.h"
#include "direct/harmful-watch.h"
#include "net/http.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>

namespace deckpitch::direct {

namespace asio = boost::asio;

/// What the agent beside an instance says when it is asked for a place.
struct PlaceReply {
  bool m_IsGranted = false;
  InstanceReport m_Report;
};

/// All on one loop.
class EntryRequests {
public:
  /// Asks an agent; nothing when no answer came in time.
  using AskPlace = std::function<asio::awaitable<std::optional<PlaceReply>>(
      std::string InstanceAddress, PlaceQuery Query)>;

  EntryRequests(asio::io_context &Io, net::HttpClient &Http,
                const FleetAdapter &Adapter, InstanceTable &Instances,
                HarmfulWatch &Harmful, RetryShare Retries, AskPlace Ask);

  void setDeclaration(const FleetDeclaration &Declaration);
  /// All that there are, whether they are heard or not; 0: not known.
  void setEntries(std::size_t Count, TimePoint Now);
  /// How far the declaration and the list of instances may be relied on; see
  /// FleetFollower.
  void setBeliefs(std::function<StoreBelief()> Declaration,
                  std::function<StoreBelief()> Instances) {
    m_Belief = std::move(Declaration);
    m_ListBelief = std::move(Instances);
  }

  asio::awaitable<void> handle(net::HttpRequest Request,
                               net::HttpResponder &Answer);
  /// Moves streams away from instances that have gone silent.
  void checkSilence(TimePoint Now);
  /// Requests that have not begun go elsewhere, or end, before the weights that
  /// they would begin on are due to be replaced.
  void takeBackOverdue(TimePoint Now);
  /// Moves streams away from instances that wait for them to load weights.
  void moveFromSwapping(TimePoint Now);

  std::size_t open() const { return m_Open; }

private:
  struct Call;
  /// How one attempt ended.
  enum class Ended {
    Delivered,   ///< the caller has the whole answer
    Gone,        ///< the caller left
    Unreachable, ///< the request cannot have reached the instance
    NotRun,      ///< the instance says that it did not run it
    Failed,      ///< the instance answered with a failure; it is held
    Lost,        ///< it may have run; nothing was passed on
    Broken       ///< it stopped after some of the answer was passed on
  };

  /// For log lines.
  static const char *wordOf(Ended How);

  asio::awaitable<void> serve(Call &Of);
  asio::awaitable<void> deny(Call &Of, unsigned Status, std::string Reason);
  asio::awaitable<void> tryInstances(Call &Of);
  asio::awaitable<InstanceChoice> choosePlace(ChoiceQuery Query);
  asio::awaitable<InstanceChoice> choosePlaceFor(Call &Of);
  std::set<InstanceId> placesOfOtherSuspects(const Call &Than) const;
  /// What came of sending a request to an instance.
  struct Opened {
    std::unique_ptr<net::HttpStream> m_Body; ///< null where none is passed on
    Ended m_How = Ended::Lost;               ///< without a body
    bool m_IsPeerEnd = false; ///< the instance ended the connection
    InstanceNotice m_Notice;
    TimePoint m_Sent{};
  };
  asio::awaitable<Ended> attempt(Call &Of, const InstanceChoice &Chosen);
  bool hasOther(const Call &Of, const InstanceChoice &Than);
  void heed(const InstanceNotice &Notice, const InstanceId &From,
            const Call &In);
  asio::awaitable<Opened> send(Call &Of, const InstanceChoice &Chosen,
                               net::CallCancel &Cancel);
  asio::awaitable<Ended> exchange(Call &Of, const InstanceChoice &Chosen);
  asio::awaitable<Ended> readWhole(Call &Of, net::HttpStream &Body);
  asio::awaitable<Ended> passEvents(Call &Of, net::HttpStream &Body);
  void noteBegun(Call &Of);
  void noteLost(const Call &Of, const InstanceId &At, TimePoint Sent);
  void noteEnd(const InstanceId &At, InstanceTable::End How, bool WasAnswering);
  static std::string takeReady(Call &Of);
  static asio::awaitable<bool> passReady(Call &Of);
  bool mayGoOn(Call &Of, Ended How);
  bool maySeekFurther(Call &Of) const;
  bool mayMove(const Call &Of) const;
  asio::awaitable<void> move(std::uint64_t CallNumber, InstanceId From,
                             const char *Reason);
  asio::awaitable<void> handOver(Call &Of, const InstanceChoice &Next,
                                 const char *Reason);
  asio::awaitable<void> limitHandover(Call &Of, bool IsEnd);
  static asio::awaitable<void> untilDecided(Call &Of);
  void endSilentHandovers(TimePoint Now);
  asio::awaitable<void> endHandover(Call &Of, Ended How);
  static void logMove(Event What, const Call &Of, const InstanceChoice &Next,
                      const char *Reason, const char *Outcome, Duration Asked);
  ChoiceQuery queryForRest(const Call &Of) const;
  template <typename Condition>
  void moveFrom(const InstanceId &Id, const char *Reason, Condition &&Holds);
  Duration retryAfterNotRun(const Call &Of);
  asio::awaitable<void> giveUp(Call &Of, Ended How);
  asio::awaitable<void> refuse(Call &Of, unsigned Status, std::string Reason,
                               Duration RetryAfter);
  RetryWindow &retriesOf(const ServiceId &Service);
  /// Counts one more send of the request; false where it is not allowed.
  bool takeRetry(const Call &Of);
  double reserveFor(const Call &Of);

  asio::io_context &m_Io;
  net::HttpClient &m_Http;
  const FleetAdapter &m_Adapter;
  InstanceTable &m_Instances;
  HarmfulWatch &m_Harmful;
  const RetryShare m_Retries;
  const TimePoint m_Start;
  AskPlace m_Ask;
  std::shared_ptr<const RouteIndex> m_Routes =
      std::make_shared<const RouteIndex>();
  std::function<StoreBelief()> m_Belief = [] { return StoreBelief{}; };
  std::function<StoreBelief()> m_ListBelief = [] { return StoreBelief{}; };
  std::map<ServiceId, RetryWindow> m_RetryWindows;
  /// What is known of one route's requests, by the route's name.
  struct RouteLoad {
    SizeShares m_Sizes;
    std::chrono::milliseconds m_LongestPatience{};
  };
  std::map<std::string, RouteLoad> m_RouteLoads;
  /// Those under way, by number.
  std::map<std::uint64_t, Call *> m_Calls;
  std::uint64_t m_LastCall = 0;
  /// Calls under way at each instance.
  std::map<InstanceId, std::set<Call *>> m_AtInstance;
  std::set<InstanceId> m_Silent; ///< already said to be
  std::size_t m_Entries = 0;
  std::size_t m_Open = 0;
  std::mt19937_64 m_Random{std::random_device{}()};
};

} // namespace deckpitch::direct
