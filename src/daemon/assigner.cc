// The module "assigner" of entries, which assigns instances to pools.
#include "daemon/clock.h"
#include "daemon/lease-keeper.h"
#include "daemon/module.h"
#include "deckpitch/assignment.h"
#include "net/log.h"
#include "net/platform.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace deckpitch::daemon {

namespace {

namespace asio = boost::asio;

constexpr const char *LeaseName = "assigner";
constexpr const char *AssignmentKind = "assignments";
constexpr const char *AssignmentName = "all";
constexpr std::chrono::milliseconds PlanPeriod{200};

class AssignerModule final : public Module {
public:
  explicit AssignerModule(Process &In)
      : m_Process(In), m_Platform(In.makePlatform()), m_Lease(In, LeaseName),
        m_Timer(In.m_Threads.control()) {}

  Result<void> start() override {
    m_Lease.m_OnChange = [this](bool Held) { onLease(Held); };
    m_Lease.start();
    asio::co_spawn(m_Process.m_Threads.control(), run(), asio::detached);
    return {};
  }

  void beginDrain() override {
    m_Stopped = true;
    m_Lease.beginDrain();
  }

  void stop() override {
    m_Stopped = true;
    m_Lease.stop();
    m_Timer.cancel();
  }

  boost::json::object dump() const override {
    return {{"lease", m_Lease.dump()},
            {"assignmentsWritten", m_Written},
            {"lastError", m_LastError}};
  }

private:
  asio::awaitable<void> run() {
    while (!m_Stopped) {
      if (m_Lease.held())
        co_await plan();
      m_Timer.expires_after(PlanPeriod);
      co_await m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  void onLease(bool Held) {
    if (!Held)
      return;
    m_LeaseHeldSince = now();
    m_FencePending = true;
    net::log(Event::AssignerChanged, {{"term", m_Lease.term()}});
  }

  /// Plans an assignment from the current snapshot. The write succeeds only if
  /// the stored assignment still has the snapshot's revision, so a concurrent
  /// writer causes a conflict.
  asio::awaitable<void> plan() {
    const auto Declarations = m_Process.m_Declarations.load();
    const auto Members = m_Process.m_Membership.load();
    const Declared<Assignment> &Before = Declarations->m_Assignment;
    if (Before.m_Revision < m_WrittenRevision)
      co_return;
    if (!mayPlan(Before.m_Value, *Members, now() - m_LeaseHeldSince))
      co_return;
    const Assignment Next = planAssignment(*Declarations, *Members);
    // A new lease holder writes the object even if nothing changes, so that a
    // write still in progress at an earlier holder fails with a conflict.
    const bool NeedsFence = m_FencePending && Before.m_Revision.m_Value != 0;
    if (Next == Before.m_Value && !NeedsFence)
      co_return;
    if (!m_Lease.held())
      co_return;
    auto Written = co_await write(Before.m_Revision, Next);
    if (!Written) {
      m_LastError = Written.error().m_Message;
      co_return;
    }
    m_WrittenRevision = *Written;
    m_FencePending = false;
    ++m_Written;
    net::log(Event::AssignmentWritten,
             {{"revision", Written->m_Value},
              {"instances", std::uint64_t{Next.m_Instances.size()}}});
  }

  asio::awaitable<Outcome<Revision>> write(Revision Seen,
                                           const Assignment &Next) {
    if (Seen.m_Value == 0)
      co_return co_await m_Platform->create(AssignmentKind, AssignmentName,
                                            formatAssignment(Next));
    net::PlatformObject Object{AssignmentKind, AssignmentName, Seen,
                               formatAssignment(Next)};
    co_return co_await m_Platform->update(std::move(Object));
  }

  Process &m_Process;
  const std::unique_ptr<net::Platform> m_Platform;
  LeaseKeeper m_Lease;
  asio::steady_timer m_Timer;
  TimePoint m_LeaseHeldSince{};
  Revision m_WrittenRevision;
  std::uint64_t m_Written = 0;
  std::string m_LastError;
  bool m_FencePending = false;
  bool m_Stopped = false;
};

const Registration<AssignerModule> RegisteredAssigner("assigner", Role::Entry);

} // namespace

} // namespace deckpitch::daemon
