// Registers an entry in the platform's store and reads the other entries'
// records there.
#pragma once

#include "deckpitch/fleet.h"
#include "direct/entry-peers.h"
#include "direct/entry-record.h"
#include "direct/harmful-request-tracker.h"
#include "direct/unreadable-log.h"
#include "net/platform.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstddef>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace deckpitch::direct {

/// Keeps this entry's record in the store up to date, and lists all records now
/// and then. All calls must be on one event loop.
class EntryRegistration {
public:
  /// OnDeclared is told of each declaration of weights whose time a record
  /// holds.
  EntryRegistration(asio::io_context &Io, net::Platform &Store,
                    EntryPeers &Peers, HarmfulRequestTracker &Harmful,
                    std::function<void(const DatedWeights &)> OnDeclared)
      : m_Io(Io), m_Store(Store), m_Peers(Peers), m_Harmful(Harmful),
        m_OnDeclared(std::move(OnDeclared)), m_Wake(Io) {}

  void start();
  void stop();
  /// Writes the record again, since what it holds has changed.
  void recordChanged();
  /// Sets the declarations of weights that this entry saw being made.
  void setDeclared(const std::vector<DatedWeights> &Seen);
  /// Number of entries that share the retry budget.
  std::size_t entriesThatRetry() const;

private:
  asio::awaitable<void> run();
  asio::awaitable<bool> writeOwnRecord();
  asio::awaitable<bool> listRecords();
  bool mustList() const;
  std::string ownRecord() const;
  void addListed(const net::PlatformObject &Record);
  void logUnreadable(const std::string &Name, const std::string &Fault);
  bool addDeclared(const StoredDeclaration &Seen);

  asio::io_context &m_Io;
  net::Platform &m_Store;
  EntryPeers &m_Peers;
  HarmfulRequestTracker &m_Harmful;
  std::function<void(const DatedWeights &)> m_OnDeclared;
  std::vector<StoredDeclaration> m_Declared; ///< of this entry's record
  UnreadableLog m_Unreadable;                ///< by the name of the record
  asio::steady_timer m_Wake;
  bool m_IsWritten = false; ///< the stored record is current
  bool m_HasListed = false; ///< the store has listed all entries
  bool m_Stopped = false;
};

} // namespace deckpitch::direct
