// The messages between entries and agents: what is read of them is written the
// same again, and what is late, repeated or of no list changes nothing.
#include "direct/entry-peers.h"
#include "direct/state-link.h"
#include "direct/store-updates.h"
#include "fuzz/check.h"
#include "fuzz/known-list.h"
#include "fuzz/link-messages.h"
#include "fuzz/targets.h"

#include <map>
#include <tuple>

namespace deckpitch::fuzz {

namespace {

using direct::DueHellos;
using direct::EntryAddress;
using direct::EntryPeers;
using direct::LinkOrder;
using direct::UpdateReach;
using wire::LinkMessage;

/// When an input begins; any moment does.
constexpr TimePoint Begin{std::chrono::hours(1)};
/// Between two messages: some come while the sender counts as live, some after.
constexpr Duration Step = std::chrono::milliseconds(400);
const std::string Sender = "127.0.0.1:9000";

/// Read writes a value from a message, Write the other way round.
template <typename Wire, typename Read, typename Write>
void requireSameAgain(const Wire &From, Read &&ReadFrom, Write &&WriteTo) {
  const auto Once = ReadFrom(From);
  Wire Again;
  WriteTo(Once, Again);
  require(ReadFrom(Again) == Once,
          From.GetTypeName() + " reads to the same value once written again");
}

template <typename List> void checkDeclared(const List &Declared) {
  const auto Read = [](const auto &From) { return direct::read(From, Begin); };
  const auto Write = [](const DatedWeights &From, auto &To) {
    direct::write(From, Begin, To);
  };
  for (const wire::DeclaredWeightsState &Each : Declared)
    requireSameAgain(Each, Read, Write);
}

/// Of a list of messages that need no time.
template <typename List> void checkEach(const List &Messages) {
  const auto Read = [](const auto &From) { return direct::read(From); };
  const auto Write = [](const auto &From, auto &To) {
    direct::write(From, To);
  };
  for (const auto &Each : Messages)
    requireSameAgain(Each, Read, Write);
}

void checkChange(const wire::InstancesNews &From) {
  const InstanceListChange Once = direct::read(From);
  wire::InstancesNews Again;
  direct::write(Once, Again);
  InstanceListChange Told = Once;
  if (Once.m_Put.size() + Once.m_Removed.size() > direct::MaxChangesSent) {
    Told.m_Put.clear();
    Told.m_Removed.clear();
  }
  require(direct::read(Again) == Told,
          "a change is written whole, or without what it changes");
}

void checkList(const wire::InstancesNews &From) {
  const InstanceList Once = direct::readWhole(From);
  for (const auto &[Id, Each] : Once)
    require(Id == Each.m_Id, "an instance is listed under its own id");
  wire::InstancesNews Again;
  direct::writeWhole(Once, From.after(), Again);
  require(direct::readWhole(Again) == Once, "a list is written whole");
  require(Again.after() == From.after(), "a list is written with its name");
  for (const wire::ListedInstanceState &Each : From.put())
    checkEach(Each.weights());
}

/// Of what an entry tells of the store.
void checkNews(const wire::StoreNews &News, KnownList &Known) {
  checkDeclared(News.weights().declared());
  checkChange(News.instances());
  checkList(News.instances());
  Known.hear(News.instances());
}

void checkHello(const wire::EntryHello &Hello) {
  checkDeclared(Hello.declared());
  checkEach(Hello.sources());
}

/// All that can be asked of it without a change.
auto stateOf(const EntryPeers &Peers, TimePoint Now) {
  const ReadRank Turn = Peers.ownRank(Now);
  return std::make_tuple(
      Peers.liveCount(Now), Peers.group(Now, UpdateReach::All),
      Peers.group(Now, UpdateReach::Local), Turn.m_All, Turn.m_Near,
      Peers.addressesFor(Peers.own().m_DataCentre, true, Now),
      Peers.addressesFor({"another"}, false, Now));
}

void checkHellos(EntryPeers &Peers, TimePoint Now) {
  Peers.dueHellos(Now);
  require(Peers.dueHellos(Now) == DueHellos(),
          "no entry gets two hellos at one moment");
}

/// Hears the message twice.
void checkPeers(EntryPeers &Peers, const LinkMessage &Message, TimePoint Now) {
  const EntryAddress Own = Peers.own();
  const auto Before = stateOf(Peers, Now);
  Peers.onHello(Message, Sender, Now);
  const auto After = stateOf(Peers, Now);
  require(Message.has_hello() || After == Before,
          "only a hello changes what is known of entries");
  const bool IsOwn = Message.hello().instance() == Own.m_Id.m_Text;
  require(!IsOwn || After == Before, "an entry does not hear itself");
  Peers.onHello(Message, Sender, Now);
  require(stateOf(Peers, Now) == After, "a repeated hello changes nothing");
  require(Peers.own() == Own, "an entry's own address stays");
  checkHellos(Peers, Now);
}

void checkOrder(LinkOrder &Order, const LinkMessage &Message) {
  Order.isNewer(Message);
  require(!Order.isNewer(Message), "the same message is not newer again");
}

} // namespace

void fuzzLink(Bytes Input) {
  EntryPeers Peers({{"e1"}, {"dc1"}, "127.0.0.1:1", "127.0.0.1:2"});
  Peers.addListed({{"e2"}, {"dc2"}, "127.0.0.1:3", "127.0.0.1:4"});
  std::map<std::string, LinkOrder> Orders;
  KnownList Known;
  TimePoint Now = Begin;
  for (const LinkMessage &Message : messagesIn(Input)) {
    checkHello(Message.hello());
    checkNews(Message.hello().known(), Known);
    checkNews(Message.news(), Known);
    checkEach(Message.state().weights());
    checkOrder(Orders[Message.state().address()], Message);
    checkPeers(Peers, Message, Now);
    Now += Step;
  }
}

} // namespace deckpitch::fuzz
