// A process's replica of the declarations and its synchronization with others.
#pragma once

#include "daemon/module.h"
#include "deckpitch/applied-history.h"
#include "deckpitch/declaration-store.h"
#include "deckpitch/time.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace deckpitch::daemon {

wire::DeclarationUpdate toWire(const DeclarationUpdate &Update);
DeclarationUpdate fromWire(const wire::DeclarationUpdate &Message);

/// Applies updates from peers, answers their requests and publishes snapshots.
/// Heartbeats carry the sender's revision and digest; the receiver compares
/// them with its replica and sends an update to, or requests one from, the
/// sender.
class DeclarationExchange {
public:
  /// Called after the replica changed, with the update to send to others.
  using ChangeCallback = std::function<void(const DeclarationUpdate &)>;

  DeclarationExchange(Process &In, ChangeCallback OnChange);

  void onMessage(const wire::Envelope &Message);
  /// Applies an input from Source with the given function, then publishes and
  /// distributes the change if there is one.
  DeclarationStore::Effect
  apply(const std::string &Source,
        const std::function<DeclarationStore::Effect(DeclarationStore &)>
            &Operation);
  /// Publishes the first snapshot once there are enough sources or the wait for
  /// a second one has timed out.
  void tick();
  void send(const std::string &Address, const DeclarationUpdate &Update);
  const DeclarationStore &store() const { return m_Store; }
  boost::json::object dump() const;

private:
  struct Peer {
    unsigned m_Differences = 0; ///< consecutive heartbeats that differed
    TimePoint m_Requested;
  };

  void onUpdate(const wire::Envelope &Message,
                const wire::DeclarationUpdate &Update);
  void onRequest(const wire::DeclarationRequest &Request);
  void compareReplicas(const std::string &Address, Revision Theirs,
                       std::uint64_t Digest);
  void request(const std::string &Address, bool Whole);
  void publish();
  boost::json::object historyDump() const;
  void distributeChange(Revision Before, std::uint64_t ContentBefore);

  Process &m_Process;
  ChangeCallback m_OnChange;
  DeclarationStore m_Store;
  std::map<std::string, Peer> m_Peers;
  std::set<std::string> m_Sources; ///< of input before the first publication
  std::optional<TimePoint> m_FilledAt;
  TimePoint m_StartedAt;
  AppliedHistory m_History;
  bool m_Published = false;
  std::uint64_t m_Gaps = 0;
  std::uint64_t m_UpdatesSent = 0;
};

} // namespace deckpitch::daemon
