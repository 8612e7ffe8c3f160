// A process's replica of the declarations and its exchange with other replicas.
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

/// Applies what peers send, answers what they ask, and publishes the snapshot.
/// Heartbeats show whose replica lags: the one that hears it sends or asks.
class DeclarationExchange {
public:
  /// Called with what others should be told after the replica changed.
  using Spread = std::function<void(const DeclarationUpdate &)>;

  DeclarationExchange(Process &In, Spread OnChange);

  void onMessage(const wire::Envelope &Message);
  /// Applies an input by the given function and does what its effect asks for.
  DeclarationStore::Effect
  apply(const std::string &Source,
        const std::function<DeclarationStore::Effect(DeclarationStore &)> &How);
  /// Ends the wait for a second source if it has lasted long enough.
  void tick();
  void send(const std::string &Address, const DeclarationUpdate &Update);
  const DeclarationStore &store() const { return m_Store; }
  boost::json::object dump() const;

private:
  struct Peer {
    unsigned m_Differences = 0; ///< heartbeats in a row
    TimePoint m_Requested;
  };

  void onUpdate(const wire::Envelope &Message,
                const wire::DeclarationUpdate &Update);
  void onRequest(const wire::DeclarationRequest &Request);
  void compare(const std::string &Address, Revision Theirs,
               std::uint64_t Digest);
  void request(const std::string &Address, bool Whole);
  void publish();
  boost::json::object historyDump() const;
  void spreadChange(Revision Before, std::uint64_t ContentBefore);

  Process &m_Process;
  Spread m_OnChange;
  DeclarationStore m_Store;
  std::map<std::string, Peer> m_Peers;
  std::set<std::string> m_Sources; ///< heard before the first publication
  std::optional<TimePoint> m_FilledAt;
  TimePoint m_Began;
  AppliedHistory m_History;
  bool m_Published = false;
  std::uint64_t m_Gaps = 0;
  std::uint64_t m_UpdatesSent = 0;
};

} // namespace deckpitch::daemon
