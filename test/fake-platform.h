// An in-process fake of the platform, behind the same port as the adapters.
#pragma once

#include "net/platform.h"
#include "standins/object-store.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace deckpitch::test {

/// Not thread-safe: all calls must be made on the event loop of Io.
class FakePlatform : public net::Platform {
public:
  explicit FakePlatform(boost::asio::io_context &Io);

  /// While on, all calls fail. Turning it on ends the open watches.
  void setOutage(bool On);
  /// The next write takes effect, but returns Timeout.
  void loseNextAnswer() { m_LoseNextAnswer = true; }
  /// Drops the history, so that watches from older revisions fail.
  void compactHistory() { m_Store.compact(); }
  void setInstances(std::vector<net::PlatformInstance> List) {
    m_Instances = std::move(List);
  }

  boost::asio::awaitable<Outcome<net::PlatformObject>>
  get(std::string Kind, std::string Name) override;
  boost::asio::awaitable<Outcome<net::PlatformList>>
  list(std::string Kind) override;
  boost::asio::awaitable<Outcome<Revision>>
  update(net::PlatformObject Object) override;
  boost::asio::awaitable<Outcome<Revision>>
  create(std::string Kind, std::string Name, std::string Json) override;
  boost::asio::awaitable<Outcome<Revision>>
  remove(std::string Kind, std::string Name, Revision Expected) override;
  boost::asio::awaitable<Error>
  watch(std::vector<std::string> Kinds, Revision Since,
        std::function<bool(net::PlatformEvent)> OnEvent) override;
  boost::asio::awaitable<Outcome<std::vector<net::PlatformInstance>>>
  instances() override;
  std::uint64_t calls() const override { return m_Calls; }

private:
  std::optional<Error> readFault();
  /// Returns the reason to refuse a write that expects the object to have this
  /// revision, if there is one.
  std::optional<Error> writeFault(const std::string &Kind,
                                  const std::string &Name, Revision Expected);
  Outcome<Revision> finishWrite(std::uint64_t At);
  Outcome<Revision> put(const std::string &Kind, const std::string &Name,
                        const std::string &Json);

  standins::ObjectStore m_Store{1'000};
  std::vector<net::PlatformInstance> m_Instances;
  boost::asio::steady_timer m_Changed;
  std::uint64_t m_Calls = 0;
  bool m_Outage = false;
  bool m_LoseNextAnswer = false;
};

static_assert(net::PlatformPort<FakePlatform>);

} // namespace deckpitch::test
