// The entries' module "assigner": decides which instance serves which pool.
#include "daemon/module.h"
#include "deckpitch/assignment.h"
#include "deckpitch/lease.h"
#include "net/log.h"
#include "net/platform.h"

#include <boost/asio.hpp>
#include <boost/json.hpp>

namespace deckpitch::daemon {

namespace {

namespace asio = boost::asio;

constexpr const char *LeaseKind = "leases";
constexpr const char *LeaseName = "assigner";
constexpr const char *AssignmentKind = "assignments";
constexpr const char *AssignmentName = "all";
constexpr std::chrono::seconds LeaseLifetime{12};
constexpr std::chrono::seconds LeasePeriod{3};
constexpr std::chrono::milliseconds PlanPeriod{200};
/// A new holder lets its view of the members fill before it moves anything.
constexpr std::chrono::seconds Settling{3};

TimePoint nowOnControl() {
  return TimePoint(std::chrono::duration_cast<Duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

class AssignerModule final : public Module {
public:
  explicit AssignerModule(Process &In)
      : m_Process(In), m_Platform(In.m_Http, In.m_Settings.m_Platform),
        m_Lease(In.m_Settings.m_Instance.m_Text, LeaseLifetime),
        m_Timer(In.m_Threads.control()) {}

  Result<void> start() override {
    asio::co_spawn(m_Process.m_Threads.control(), run(), asio::detached);
    return {};
  }

  void beginDrain() override { m_Stopped = true; }

  void stop() override {
    m_Stopped = true;
    m_Timer.cancel();
  }

  boost::json::object dump() const override {
    return {{"holdsLease", m_Lease.held(nowOnControl())},
            {"assignmentsWritten", m_Written},
            {"lastError", m_LastError}};
  }

private:
  asio::awaitable<void> run() {
    while (!m_Stopped) {
      if (nowOnControl() >= m_LeaseDue)
        co_await tendLease();
      if (m_Lease.held(nowOnControl()) && nowOnControl() >= m_SettledAt)
        co_await plan();
      m_Timer.expires_after(PlanPeriod);
      co_await m_Timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
  }

  asio::awaitable<void> tendLease() {
    m_LeaseDue = nowOnControl() + LeasePeriod;
    auto Read = co_await m_Platform.get(LeaseKind, LeaseName);
    LeaseState Seen;
    if (Read)
      Seen = {Read->m_Revision, holderOf(Read->m_Json)};
    else if (Read.error().m_Code != ErrorCode::NotFound) {
      m_LastError = Read.error().m_Message;
      co_return;
    }
    const LeaseAction Action = m_Lease.onRead(Seen, nowOnControl());
    if (Action == LeaseAction::Wait)
      co_return;
    // Time counts from before the write: its answer may be late.
    const TimePoint Before = nowOnControl();
    auto Written = co_await writeLease(Seen);
    if (!Written) {
      m_LastError = Written.error().m_Message;
      co_return;
    }
    m_Lease.onWritten(*Written, Before);
    if (Action == LeaseAction::Renew && m_SettledAt != TimePoint{})
      co_return;
    m_SettledAt = nowOnControl() + Settling;
    net::log(Event::AssignerChanged, {{"was", Seen.m_Holder}});
  }

  asio::awaitable<Outcome<Revision>> writeLease(const LeaseState &Seen) {
    std::string Json = boost::json::serialize(boost::json::object{
        {"holder", m_Process.m_Settings.m_Instance.m_Text}});
    if (Seen.m_Revision.m_Value == 0)
      co_return co_await m_Platform.create(LeaseKind, LeaseName,
                                           std::move(Json));
    net::PlatformObject Next{LeaseKind, LeaseName, Seen.m_Revision,
                             std::move(Json)};
    co_return co_await m_Platform.update(std::move(Next));
  }

  static std::string holderOf(const std::string &Json) {
    boost::system::error_code Ec;
    const boost::json::value Value = boost::json::parse(Json, Ec);
    if (Ec || !Value.is_object())
      return {};
    const boost::json::value *Holder = Value.get_object().if_contains("holder");
    if (!Holder || !Holder->is_string())
      return {};
    return std::string(std::string_view(Holder->get_string()));
  }

  /// Plans from the snapshot; the write holds only if the assignment is still
  /// at the snapshot's revision, whoever else decides.
  asio::awaitable<void> plan() {
    const auto Declarations = m_Process.m_Declarations.load();
    const auto Members = m_Process.m_Membership.load();
    const Declared<Assignment> &Before = Declarations->m_Assignment;
    if (Before.m_Revision < m_WrittenAt)
      co_return;
    Assignment Next = planAssignment(*Declarations, *Members);
    if (Next == Before.m_Value)
      co_return;
    auto Written = co_await write(Before.m_Revision, Next);
    if (!Written) {
      m_LastError = Written.error().m_Message;
      co_return;
    }
    m_WrittenAt = *Written;
    ++m_Written;
    net::log(Event::AssignmentWritten,
             {{"revision", Written->m_Value},
              {"instances", std::uint64_t{Next.m_Instances.size()}}});
  }

  asio::awaitable<Outcome<Revision>> write(Revision Seen,
                                           const Assignment &Next) {
    if (Seen.m_Value == 0)
      co_return co_await m_Platform.create(AssignmentKind, AssignmentName,
                                           formatAssignment(Next));
    net::PlatformObject Object{AssignmentKind, AssignmentName, Seen,
                               formatAssignment(Next)};
    co_return co_await m_Platform.update(std::move(Object));
  }

  Process &m_Process;
  net::Platform m_Platform;
  LeaseWatch m_Lease;
  asio::steady_timer m_Timer;
  TimePoint m_LeaseDue{};
  TimePoint m_SettledAt{};
  Revision m_WrittenAt;
  std::uint64_t m_Written = 0;
  std::string m_LastError;
  bool m_Stopped = false;
};

const Registration<AssignerModule> RegisteredAssigner("assigner", Role::Entry);

} // namespace

} // namespace deckpitch::daemon
