// Compressed texts that one process relays to another: read completely or
// rejected, within bounded memory.
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

/// The relay's limit for the size of a text.
constexpr std::size_t MaxTextBytes = std::size_t{4} * 1024 * 1024;
/// Bound of the memory for each byte of a body and of the longest text: the
/// text itself, twice while its buffer grows; a message of short fields, and
/// the values read from as many fields.
constexpr std::size_t MemoryPerByte = 16;
constexpr TimePoint AsOf{std::chrono::hours(1)};
constexpr Revision SomeRevision{7};

InstanceList knownList() {
  FleetInstance One;
  One.m_Id = {"i-1"};
  One.m_Address = "127.0.0.1:1";
  return {{One.m_Id, One}};
}

void requireInvalidInput(const Error &Reason) {
  require(Reason.m_Code == ErrorCode::InvalidInput && !Reason.m_Message.empty(),
          "an unreadable body is rejected as invalid input, with a message");
}

std::size_t memoryFor(const std::string &Body) {
  return MemoryPerByte * (MaxTextBytes + Body.size());
}

template <typename Parse>
auto parseWithinBound(const std::string &Body, Parse &&Run) {
  std::optional<decltype(Run())> Parsed;
  const std::size_t Increase =
      peakMemoryIncrease([&] { Parsed.emplace(Run()); });
  auto Got = std::move(*Parsed);
  require(Increase <= memoryFor(Body),
          "memory stays within the bound for the body and the size limit");
  if (!Got)
    requireInvalidInput(Got.error());
  return Got;
}

Outcome<HeldDeclaration> declarationIn(const std::string &Body) {
  return parseWithinBound(Body, [&] { return direct::parseRelayed(Body); });
}

Outcome<HeldInstances> instancesIn(const std::string &Body) {
  const InstanceList Known = knownList();
  return parseWithinBound(
      Body, [&] { return direct::parseRelayedInstances(Body, Known, AsOf); });
}

/// Checks that whatever is accepted can be relayed again unchanged.
void checkBody(const std::string &Body) {
  const auto Declaration = declarationIn(Body);
  if (Declaration) {
    require(Declaration->m_Object.m_Json.size() <= MaxTextBytes,
            "no text is longer than the limit");
    const auto Again = declarationIn(direct::formatRelayed(*Declaration));
    require(Again && *Again == *Declaration, "a text is relayed as received");
  }
  const auto Instances = instancesIn(Body);
  if (!Instances)
    return;
  const std::uint64_t Fingerprint = fingerprintOf(Instances->m_List);
  const std::string Packed =
      direct::packInstances(Instances->m_List, Fingerprint);
  const auto Again =
      instancesIn(direct::formatRelayed(*Instances, Fingerprint, Packed, AsOf));
  require(Again && *Again == *Instances, "a list is relayed as received");
}

/// Checks the round trip of a text with arbitrary bytes.
void checkText(const std::string &Text) {
  HeldDeclaration Held;
  Held.m_Version = 1;
  Held.m_Object = {"", "a", SomeRevision, Text};
  const auto Got = declarationIn(direct::formatRelayed(Held));
  const bool Fits = Text.size() <= MaxTextBytes;
  require(Got.has_value() == Fits,
          "exactly the texts up to the limit are accepted");
  require(!Got || *Got == Held, "a text arrives as sent");
}

/// Checks that a list's message of arbitrary bytes is accepted under its own
/// fingerprint, if it parses, and rejected under another.
void checkList(const std::string &Text) {
  wire::InstancesNews All;
  const bool IsMessage = All.ParseFromString(Text);
  const InstanceList Listed = direct::readWhole(All);
  HeldInstances Held{Listed, SomeRevision, AsOf, std::nullopt};
  const std::string Packed = net::deflate(Text);
  const std::uint64_t Fingerprint = fingerprintOf(Listed);
  const auto Got =
      instancesIn(direct::formatRelayed(Held, Fingerprint, Packed, AsOf));
  require(Got.has_value() == IsMessage,
          "exactly the lists that parse are accepted");
  require(!Got || *Got == Held, "a list arrives as sent");
  const auto Other =
      instancesIn(direct::formatRelayed(Held, Fingerprint + 1, Packed, AsOf));
  require(!Other, "a list with another fingerprint is rejected");
}

/// Checks that a truncated compressed text is rejected.
void checkTruncated(const std::string &Text) {
  if (Text.empty())
    return;
  const std::string Whole = net::deflate(Text);
  const std::size_t Size = static_cast<unsigned char>(Text.front());
  const std::string Part = Whole.substr(0, Size % Whole.size());
  const auto Got = net::inflate(Part, MaxTextBytes);
  require(!Got, "a truncated compressed text is rejected");
}

enum Packing { AsBody, AsText, AsList, AsTruncated, PackingCount };

} // namespace

void fuzzRelay(Bytes Input) {
  InputReader Reader(Input);
  const int Kind = Reader.byte() % PackingCount;
  const std::string Content = Reader.remainder();
  switch (Kind) {
  case AsBody:
    return checkBody(Content);
  case AsText:
    return checkText(Content);
  case AsList:
    return checkList(Content);
  default:
    return checkTruncated(Content);
  }
}

void fuzzRelaySize(Bytes Input) {
  constexpr unsigned Logarithms = 23;
  InputReader Reader(Input);
  const bool IsList = Reader.byte() % 2 == 1;
  const std::size_t Copies = std::size_t{1} << Reader.byte() % Logarithms;
  const std::string Part = Reader.remainder();
  std::string Whole;
  for (std::size_t I = 0; I < Copies && Whole.size() <= MaxTextBytes; ++I)
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
