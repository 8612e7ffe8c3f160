#include "daemon/declarations-exchange.h"

#include "daemon/clock.h"
#include "net/log.h"

#include <boost/json.hpp>

namespace deckpitch::daemon {

namespace {

/// Sources of declarations that a starting process awaits before it publishes.
constexpr std::size_t SourcesAtStart = 2;
/// Consecutive heartbeats with a differing digest before the whole replica is
/// exchanged.
constexpr unsigned DifferencesBeforeWhole = 3;
constexpr std::size_t MaxPeers = 10'000;
/// Changes kept for the dump: eight hours of 1,500 a day.
constexpr std::size_t MaxHistoryChanges = 500;

} // namespace

wire::DeclarationUpdate toWire(const DeclarationUpdate &Update) {
  wire::DeclarationUpdate Out;
  Out.set_since(Update.m_Since.m_Value);
  Out.set_revision(Update.m_Revision.m_Value);
  Out.set_whole(Update.m_Whole);
  Out.set_digest(Update.m_Digest);
  for (const DeclaredObject &Each : Update.m_Objects) {
    wire::DeclaredObject *Object = Out.add_objects();
    Object->set_kind(Each.m_Kind);
    Object->set_name(Each.m_Name);
    Object->set_revision(Each.m_Revision.m_Value);
    Object->set_deleted(Each.m_Deleted);
    Object->set_json(Each.m_Json);
  }
  return Out;
}

DeclarationUpdate fromWire(const wire::DeclarationUpdate &Message) {
  DeclarationUpdate Out;
  Out.m_Since.m_Value = Message.since();
  Out.m_Revision.m_Value = Message.revision();
  Out.m_Whole = Message.whole();
  Out.m_Digest = Message.digest();
  for (const wire::DeclaredObject &Each : Message.objects())
    Out.m_Objects.push_back({Each.kind(),
                             Each.name(),
                             {Each.revision()},
                             Each.deleted(),
                             Each.json()});
  return Out;
}

DeclarationExchange::DeclarationExchange(Process &In, ChangeCallback OnChange)
    : m_Process(In), m_OnChange(std::move(OnChange)), m_StartedAt(now()),
      m_History(MaxHistoryChanges) {}

void DeclarationExchange::onMessage(const wire::Envelope &Message) {
  if (Message.has_membership() && Message.membership().has_heartbeat()) {
    const wire::Heartbeat &Beat = Message.membership().heartbeat();
    const std::uint64_t InForce = Beat.has_member()
                                      ? Beat.member().in_force()
                                      : Beat.short_form().in_force();
    compareReplicas(Beat.address(), {InForce}, Beat.declarations_digest());
    return;
  }
  if (!Message.has_declarations())
    return;
  if (Message.declarations().has_update())
    onUpdate(Message, Message.declarations().update());
  else if (Message.declarations().has_request())
    onRequest(Message.declarations().request());
}

DeclarationStore::Effect DeclarationExchange::apply(
    const std::string &Source,
    const std::function<DeclarationStore::Effect(DeclarationStore &)>
        &Operation) {
  const Revision Before = m_Store.revision();
  const std::uint64_t Content = m_Store.digest();
  const DeclarationStore::Effect Applied = Operation(m_Store);
  if (!m_FilledAt && m_Store.filled())
    m_FilledAt = now();
  if (!m_Published)
    m_Sources.insert(Source);
  if (Applied != DeclarationStore::Effect::Changed) {
    tick();
    return Applied;
  }
  if (m_Published)
    publish();
  tick();
  distributeChange(Before, Content);
  return Applied;
}

void DeclarationExchange::distributeChange(Revision Before,
                                           std::uint64_t ContentBefore) {
  if (!m_Store.filled())
    return;
  const bool Completed =
      Before < m_Store.newest() && m_Store.newest() <= m_Store.revision();
  if (m_Store.digest() != ContentBefore)
    m_OnChange(m_Store.changesSince(Before));
  else if (Completed)
    m_OnChange(m_Store.revisionUpdate());
}

void DeclarationExchange::tick() {
  if (m_Published || !m_FilledAt)
    return;
  const bool Waited =
      now() - *m_FilledAt >= m_Process.m_Settings.m_Membership.m_Heartbeat;
  if (m_Sources.size() < SourcesAtStart && !Waited)
    return;
  m_Published = true;
  publish();
}

void DeclarationExchange::publish() {
  m_Process.m_Declarations.publish(
      std::make_shared<const DeclarationSet>(m_Store.snapshot()));
  m_Process.m_DeclarationsDigest.store(m_Store.digest());
  m_History.record(now() - m_StartedAt, m_Store.snapshot());
}

void DeclarationExchange::onUpdate(const wire::Envelope &Message,
                                   const wire::DeclarationUpdate &Update) {
  const DeclarationUpdate Read = fromWire(Update);
  const auto Applied = apply(Message.sender(), [&](DeclarationStore &Store) {
    return Store.applyUpdate(Read);
  });
  if (Applied != DeclarationStore::Effect::Gap)
    return;
  ++m_Gaps;
  for (const auto &[Id, Member] : m_Process.m_Membership.load()->m_Members)
    if (Id.m_Text == Message.sender())
      request(Member.m_Addresses.m_Control, false);
}

void DeclarationExchange::onRequest(const wire::DeclarationRequest &Request) {
  if (Request.whole())
    send(Request.address(), m_Store.whole());
  else if (m_Store.filled())
    send(Request.address(), m_Store.changesSince({Request.have()}));
}

void DeclarationExchange::compareReplicas(const std::string &Address,
                                          Revision Theirs,
                                          std::uint64_t Digest) {
  if (m_Peers.size() >= MaxPeers)
    m_Peers.clear();
  Peer &Of = m_Peers[Address];
  const Revision Mine = m_Store.revision();
  if (Digest == m_Store.digest()) {
    Of.m_Differences = 0;
    // A newer revision is applied, and so distributed to the fleet, only if it
    // can complete this replica.
    if (Theirs > Mine && Mine < m_Store.newest())
      apply(Address, [&](DeclarationStore &Store) {
        return Store.applyUpdate({Theirs, Theirs, false, Digest, {}});
      });
    else if (Theirs < m_Store.newest() && Theirs < Mine)
      send(Address, m_Store.revisionUpdate());
    return;
  }
  const bool Whole = ++Of.m_Differences >= DifferencesBeforeWhole;
  if (Whole)
    Of.m_Differences = 0;
  if (Theirs >= Mine)
    request(Address, Whole);
  if (Theirs <= Mine && m_Store.filled())
    send(Address, Whole ? m_Store.whole() : m_Store.changesSince(Theirs));
}

void DeclarationExchange::request(const std::string &Address, bool Whole) {
  wire::Envelope Message;
  auto *Request = Message.mutable_declarations()->mutable_request();
  Request->set_have(m_Store.revision().m_Value);
  Request->set_whole(Whole);
  Request->set_address(m_Process.m_Addresses.m_Control);
  m_Process.m_Bus->send(Address, std::move(Message));
}

void DeclarationExchange::send(const std::string &Address,
                               const DeclarationUpdate &Update) {
  wire::Envelope Message;
  *Message.mutable_declarations()->mutable_update() = toWire(Update);
  ++m_UpdatesSent;
  m_Process.m_Bus->send(Address, std::move(Message));
}

boost::json::object DeclarationExchange::historyDump() const {
  using Milliseconds = std::chrono::milliseconds;
  boost::json::array Changes;
  for (const AppliedChange &Each : m_History.changes())
    Changes.push_back(boost::json::object{
        {"order", Each.m_Order},
        {"atMs", std::chrono::duration_cast<Milliseconds>(Each.m_At).count()},
        {"object", Each.m_Object},
        {"revision", Each.m_Revision.m_Value},
        {"complete", Each.m_Complete.m_Value}});
  return {{"total", m_History.total()}, {"changes", std::move(Changes)}};
}

boost::json::object DeclarationExchange::dump() const {
  boost::json::object Objects;
  for (const std::string &Kind : replicatedKinds())
    for (const DeclaredObject &Each : m_Store.list(Kind))
      Objects[Kind + "/" + Each.m_Name] = Each.m_Revision.m_Value;
  return {{"revision", m_Store.revision().m_Value},
          {"published", m_Published},
          {"digest", m_Store.digest()},
          {"gaps", m_Gaps},
          {"updatesSent", m_UpdatesSent},
          {"unreadable", m_Store.unreadable()},
          {"objects", std::move(Objects)},
          {"history", historyDump()}};
}

} // namespace deckpitch::daemon
