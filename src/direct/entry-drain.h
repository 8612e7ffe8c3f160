// The planned stop of an entry: serves, refuses and ends its callers' requests
// until none is left or the grace is over.
#pragma once

#include "deckpitch/stop-plan.h"
#include "direct/entry-requests.h"
#include "net/http.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>

#include <cstddef>
#include <functional>
#include <optional>

namespace deckpitch::direct {

/// All calls must be on the event loop, which the entry shares.
class EntryDrain {
public:
  EntryDrain(asio::io_context &Io, net::HttpServer &Callers,
             EntryRequests &Requests)
      : m_Io(Io), m_Callers(Callers), m_Requests(Requests) {}

  /// Begins the stop, once. The process is killed after Grace; OnDone is called
  /// before, as soon as no caller needs the process any more.
  void begin(Duration Grace, std::function<void()> OnDone);
  bool hasBegun() const { return m_Plan.has_value(); }
  /// State of the stop, empty before it begins.
  boost::json::object dump() const;

private:
  asio::awaitable<void> run(std::function<void()> OnDone);
  asio::awaitable<void> waitUntil(TimePoint End) const;
  asio::awaitable<void> waitUntilIdle(TimePoint End) const;
  void log() const;

  asio::io_context &m_Io;
  net::HttpServer &m_Callers;
  EntryRequests &m_Requests;
  std::optional<StopPlan> m_Plan;
  std::size_t m_OpenAtBegin = 0;
  std::size_t m_OpenAtCut = 0;
  std::size_t m_OpenAtEnd = 0;
};

} // namespace deckpitch::direct
