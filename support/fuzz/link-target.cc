// Messages between entries and agents: values survive a round trip, and late or
// repeated messages, or changes to an unknown list, change nothing.
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

/// Time of the first message; the value is arbitrary.
constexpr TimePoint Begin{std::chrono::hours(1)};
/// Time between two messages: some arrive while their sender counts as live,
/// some later.
constexpr Duration Step = std::chrono::milliseconds(400);
const std::string Sender = "127.0.0.1:9000";

/// Checks that a value read from a message is the same after it was written to
/// a message and read again.
template <typename Wire, typename Read, typename Write>
void requireRoundTrip(const Wire &From, Read &&ReadFrom, Write &&WriteTo) {
  const auto Once = ReadFrom(From);
  Wire Again;
  WriteTo(Once, Again);
  require(ReadFrom(Again) == Once,
          From.GetTypeName() + " survives a round trip");
}

template <typename List> void checkDeclared(const List &Declared) {
  const auto Read = [](const auto &From) { return direct::read(From, Begin); };
  const auto Write = [](const DatedWeights &From, auto &To) {
    direct::write(From, Begin, To);
  };
  for (const wire::DeclaredWeightsState &Each : Declared)
    requireRoundTrip(Each, Read, Write);
}

/// Checks the round trip of messages that are read without a time.
template <typename List> void checkEach(const List &Messages) {
  const auto Read = [](const auto &From) { return direct::read(From); };
  const auto Write = [](const auto &From, auto &To) {
    direct::write(From, To);
  };
  for (const auto &Each : Messages)
    requireRoundTrip(Each, Read, Write);
}

void checkChange(const wire::InstancesNews &From) {
  const InstanceListChange Once = direct::read(From);
  wire::InstancesNews Again;
  direct::write(Once, Again);
  InstanceListChange Expected = Once;
  if (Once.m_Put.size() + Once.m_Removed.size() > direct::MaxChangesSent) {
    Expected.m_Put.clear();
    Expected.m_Removed.clear();
  }
  require(direct::read(Again) == Expected,
          "a change is written completely, or without its instances");
}

void checkList(const wire::InstancesNews &From) {
  const InstanceList Once = direct::readWhole(From);
  for (const auto &[Id, Each] : Once)
    require(Id == Each.m_Id, "an instance is listed under its own id");
  wire::InstancesNews Again;
  direct::writeWhole(Once, From.after(), Again);
  require(direct::readWhole(Again) == Once, "a list survives a round trip");
  require(Again.after() == From.after(),
          "a list is written with its fingerprint");
  for (const wire::ListedInstanceState &Each : From.put())
    checkEach(Each.weights());
}

/// Checks an entry's update on the store's contents.
void checkStoreUpdate(const wire::StoreNews &News, KnownList &Known) {
  checkDeclared(News.weights().declared());
  checkChange(News.instances());
  checkList(News.instances());
  Known.checkAndApply(News.instances());
}

void checkHello(const wire::EntryHello &Hello) {
  checkDeclared(Hello.declared());
  checkEach(Hello.sources());
}

/// Returns all observable state of Peers.
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
          "no entry gets two hellos at the same time");
}

/// Delivers the message twice and checks its effects.
void checkPeers(EntryPeers &Peers, const LinkMessage &Message, TimePoint Now) {
  const EntryAddress Own = Peers.own();
  const auto Before = stateOf(Peers, Now);
  Peers.onHello(Message, Sender, Now);
  const auto After = stateOf(Peers, Now);
  require(Message.has_hello() || After == Before,
          "only a hello changes the known entries");
  const bool IsOwn = Message.hello().instance() == Own.m_Id.m_Text;
  require(!IsOwn || After == Before, "an entry ignores its own hellos");
  Peers.onHello(Message, Sender, Now);
  require(stateOf(Peers, Now) == After, "a repeated hello changes nothing");
  require(Peers.own() == Own, "an entry's own address does not change");
  checkHellos(Peers, Now);
}

void checkOrder(LinkOrder &Order, const LinkMessage &Message) {
  Order.isNewer(Message);
  require(!Order.isNewer(Message), "a repeated message is not newer");
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
    checkStoreUpdate(Message.hello().known(), Known);
    checkStoreUpdate(Message.news(), Known);
    checkEach(Message.state().weights());
    checkOrder(Orders[Message.state().address()], Message);
    checkPeers(Peers, Message, Now);
    Now += Step;
  }
}

} // namespace deckpitch::fuzz
