// Texts that one process passes on to another, packed: whole or refused, and
// small in memory.
#include "direct/store-relay.h"
#include "direct/store-updates.h"
#include "fuzz/check.h"
#include "fuzz/input-reader.h"
#include "fuzz/peak-memory.h"
#include "fuzz/targets.h"
#include "net/deflate.h"
#include "proto/link.pb.h"

#include <optional>
#include <string>
#include <utility>

namespace deckpitch::fuzz {

namespace {

using direct::HeldDeclaration;
using direct::HeldInstances;

/// The relay's own limit of a text.
constexpr std::size_t MostTextBytes = std::size_t{4} * 1024 * 1024;
/// Memory for each byte of a body and of the longest text: the text itself,
/// twice while it grows; a message of short fields, and values of as many.
constexpr std::size_t MemoryPerByte = 16;
constexpr TimePoint Asked{std::chrono::hours(1)};
constexpr Revision SomeRevision{7};

InstanceList knownList() {
  FleetInstance One;
  One.m_Id = {"i-1"};
  One.m_Address = "127.0.0.1:1";
  return {{One.m_Id, One}};
}

void requireRefusal(const Error &Why) {
  require(Why.m_Code == ErrorCode::InvalidInput && !Why.m_Message.empty(),
          "a body that cannot be read is refused as such");
}

std::size_t memoryFor(const std::string &Body) {
  return MemoryPerByte * (MostTextBytes + Body.size());
}

template <typename Parse>
auto parseWithinBound(const std::string &Body, Parse &&Run) {
  std::optional<decltype(Run())> Parsed;
  const std::size_t Raised = peakRaisedBy([&] { Parsed.emplace(Run()); });
  auto Got = std::move(*Parsed);
  require(Raised <= memoryFor(Body),
          "memory stays within a bound of the body and the limit");
  if (!Got)
    requireRefusal(Got.error());
  return Got;
}

Outcome<HeldDeclaration> declarationIn(const std::string &Body) {
  return parseWithinBound(Body, [&] { return direct::parseRelayed(Body); });
}

Outcome<HeldInstances> instancesIn(const std::string &Body) {
  const InstanceList Known = knownList();
  return parseWithinBound(
      Body, [&] { return direct::parseRelayedInstances(Body, Known, Asked); });
}

/// Whatever is taken can be passed on, and comes as it was.
void checkBody(const std::string &Body) {
  const auto Declaration = declarationIn(Body);
  if (Declaration) {
    require(Declaration->m_Object.m_Json.size() <= MostTextBytes,
            "no text is longer than the limit");
    const auto Again = declarationIn(direct::formatRelayed(*Declaration));
    require(Again && *Again == *Declaration, "a text passes on as it came");
  }
  const auto Instances = instancesIn(Body);
  if (!Instances)
    return;
  const std::uint64_t Fingerprint = fingerprintOf(Instances->m_List);
  const std::string Packed =
      direct::packInstances(Instances->m_List, Fingerprint);
  const auto Again = instancesIn(
      direct::formatRelayed(*Instances, Fingerprint, Packed, Asked));
  require(Again && *Again == *Instances, "a list passes on as it came");
}

/// A text of any bytes.
void checkText(const std::string &Text) {
  HeldDeclaration Held;
  Held.m_Version = 1;
  Held.m_Object = {"", "a", SomeRevision, Text};
  const auto Got = declarationIn(direct::formatRelayed(Held));
  const bool Fits = Text.size() <= MostTextBytes;
  require(Got.has_value() == Fits, "texts up to the limit are taken");
  require(!Got || *Got == Held, "a text comes as it was");
}

/// A list's message of any bytes, under the fingerprint that it should have.
void checkListed(const std::string &Text) {
  wire::InstancesNews All;
  const bool IsMessage = All.ParseFromString(Text);
  const InstanceList Listed = direct::readWhole(All);
  HeldInstances Held{Listed, SomeRevision, Asked, std::nullopt};
  const std::string Packed = net::deflate(Text);
  const std::uint64_t Fingerprint = fingerprintOf(Listed);
  const auto Got =
      instancesIn(direct::formatRelayed(Held, Fingerprint, Packed, Asked));
  require(Got.has_value() == IsMessage, "a list that can be read is taken");
  require(!Got || *Got == Held, "a list comes as it was");
  const auto Other =
      instancesIn(direct::formatRelayed(Held, Fingerprint + 1, Packed, Asked));
  require(!Other, "a list of another fingerprint is refused");
}

/// A part of a packed text is none.
void checkCutOff(const std::string &Text) {
  if (Text.empty())
    return;
  const std::string Whole = net::deflate(Text);
  const std::size_t Size = static_cast<unsigned char>(Text.front());
  const std::string Part = Whole.substr(0, Size % Whole.size());
  const auto Got = net::inflate(Part, MostTextBytes);
  require(!Got, "a packed text that is cut off is refused");
}

enum Packing { AsBody, AsText, AsList, AsPart, Packings };

} // namespace

void fuzzRelay(Bytes Input) {
  InputReader Reader(Input);
  const int How = Reader.byte() % Packings;
  const std::string Rest = Reader.rest();
  switch (How) {
  case AsBody:
    return checkBody(Rest);
  case AsText:
    return checkText(Rest);
  case AsList:
    return checkListed(Rest);
  default:
    return checkCutOff(Rest);
  }
}

void fuzzRelaySize(Bytes Input) {
  constexpr unsigned Logarithms = 23;
  InputReader Reader(Input);
  const bool IsList = Reader.byte() % 2 == 1;
  const std::size_t Copies = std::size_t{1} << Reader.byte() % Logarithms;
  const std::string Part = Reader.rest();
  std::string Whole;
  for (std::size_t I = 0; I < Copies && Whole.size() <= MostTextBytes; ++I)
    Whole += Part;
  wire::InstancesText List;
  List.set_revision(SomeRevision.m_Value);
  List.set_deflated(net::deflate(Whole));
  if (IsList)
    instancesIn(List.SerializeAsString());
  else
    checkText(Whole);
}

} // namespace deckpitch::fuzz
