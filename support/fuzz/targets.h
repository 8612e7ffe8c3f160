// What is done with bytes that come from outside, one function for each kind of
// input: for the fuzzer and for tests. Each throws where something does not
// hold that must.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace deckpitch::fuzz {

using Bytes = std::span<const std::uint8_t>;

/// Datagrams, each after its length in two bytes, the low one first.
void fuzzLink(Bytes Input);
/// The same; what is done with the times in them.
void fuzzLinkTimes(Bytes Input);
/// A way of packing in one byte, then what is packed.
void fuzzRelay(Bytes Input);
/// Whether a list, how often (a power of two), and what is repeated so often.
void fuzzRelaySize(Bytes Input);
/// A JSON value that stands beside good ones in a declaration.
void fuzzDeclaration(Bytes Input);
/// A declaration, whose times and engines are used.
void fuzzDeclaredTerms(Bytes Input);
/// Lines: the name of an instance, and what the store holds of it.
void fuzzInstances(Bytes Input);
/// One byte that says how the rest, an event stream, is cut.
void fuzzEvents(Bytes Input);
/// The text of settings.
void fuzzSettings(Bytes Input);
/// The text of a manifest.
void fuzzManifest(Bytes Input);
/// The header of a bulk frame with its length, and what follows it.
void fuzzBulk(Bytes Input);

struct Target {
  std::string_view m_Name; ///< of its folder of the corpus too
  void (*m_Run)(Bytes);
  /// That a test makes of each file: so many that it takes some seconds, also
  /// under sanitizers.
  std::size_t m_Mutations;
};

inline constexpr std::array Targets{
    Target{"link", fuzzLink, 300},
    Target{"link-times", fuzzLinkTimes, 300},
    Target{"relay", fuzzRelay, 100},
    Target{"relay-size", fuzzRelaySize, 0},
    Target{"declaration", fuzzDeclaration, 300},
    Target{"declared-terms", fuzzDeclaredTerms, 300},
    Target{"instances", fuzzInstances, 300},
    Target{"events", fuzzEvents, 300},
    Target{"settings", fuzzSettings, 300},
    Target{"manifest", fuzzManifest, 300},
    Target{"bulk", fuzzBulk, 300},
};

} // namespace deckpitch::fuzz
