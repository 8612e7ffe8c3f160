// A platform within the test's process, behind the same port as the real one.
#pragma once

#include "net/platform.h"
#include "standins/object-store.h"

#include <boost/asio/steady_timer.hpp>

#include <optional>

namespace deckpitch::test {

/// Lives on one loop.
class FakePlatform : public net::Platform {
public:
  explicit FakePlatform(boost::asio::io_context &Io);

  /// Refuses everything and breaks the watches that are open.
  void setOutage(bool On);
  /// The next write takes effect, its answer is lost.
  void loseNextAnswer() { m_LoseNext = true; }
  /// Older watches cannot continue.
  void forgetHistory() { m_Store.compact(); }
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
  remove(std::string Kind, std::string Name, Revision Seen) override;
  boost::asio::awaitable<Error>
  watch(std::vector<std::string> Kinds, Revision Since,
        std::function<bool(net::PlatformEvent)> OnEvent) override;
  boost::asio::awaitable<Outcome<std::vector<net::PlatformInstance>>>
  instances() override;
  std::uint64_t calls() const override { return m_Calls; }

private:
  std::optional<Error> readFault();
  /// Why a write to the object that has this revision is refused, if it is.
  std::optional<Error> writeFault(const std::string &Kind,
                                  const std::string &Name, Revision Seen);
  Outcome<Revision> written(std::uint64_t At);
  Outcome<Revision> put(const std::string &Kind, const std::string &Name,
                        const std::string &Json);

  standins::ObjectStore m_Store{1'000};
  std::vector<net::PlatformInstance> m_Instances;
  boost::asio::steady_timer m_Changed;
  std::uint64_t m_Calls = 0;
  bool m_Outage = false;
  bool m_LoseNext = false;
};

static_assert(net::PlatformPort<FakePlatform>);

} // namespace deckpitch::test
