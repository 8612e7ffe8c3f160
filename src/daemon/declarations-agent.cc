#include "daemon/declarations-exchange.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace deckpitch::daemon {

namespace asio = boost::asio;

namespace {

/// Receives the declarations from the entries to which the agent sends
/// heartbeats.
class AgentDeclarations final : public Module {
public:
  explicit AgentDeclarations(Process &In)
      : m_Exchange(In, [](const DeclarationUpdate &) {}),
        m_Timer(In.m_Threads.control()),
        m_Period(In.m_Settings.m_Membership.m_Heartbeat) {}

  Result<void> start() override {
    tickLater();
    return {};
  }
  void onMessage(const wire::Envelope &Message) override {
    m_Exchange.onMessage(Message);
  }
  void stop() override { m_Timer.cancel(); }
  boost::json::object dump() const override { return m_Exchange.dump(); }

private:
  void tickLater() {
    m_Timer.expires_after(m_Period);
    m_Timer.async_wait([this](const boost::system::error_code &Ec) {
      if (Ec)
        return;
      m_Exchange.tick();
      tickLater();
    });
  }

  DeclarationExchange m_Exchange;
  asio::steady_timer m_Timer;
  std::chrono::milliseconds m_Period;
};

const Registration<AgentDeclarations> Registered("declarations", Role::Agent);

} // namespace

} // namespace deckpitch::daemon
