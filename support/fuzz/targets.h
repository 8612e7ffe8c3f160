// Fuzz targets, one for each kind of untrusted input, run by the fuzzer and by
// tests. Each throws when a property that must hold is violated.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>

namespace deckpitch::fuzz {

using Bytes = std::span<const std::uint8_t>;

/// Input: datagrams, each preceded by its length in two bytes, little-endian.
void fuzzLink(Bytes Input);
/// Same input as fuzzLink; checks the arithmetic on the times in the messages.
void fuzzLinkTimes(Bytes Input);
/// Input: one byte that selects the kind of packing, then the content.
void fuzzRelay(Bytes Input);
/// Input: a byte whether the content is a list, a byte with the binary
/// logarithm of the number of copies, then the content to repeat.
void fuzzRelaySize(Bytes Input);
/// Input: a JSON value, inserted beside valid ones in a declaration.
void fuzzDeclaration(Bytes Input);
/// Input: a declaration; its times and engines are used.
void fuzzDeclaredTerms(Bytes Input);
/// Input: pairs of lines, an instance's name and its record in the store.
void fuzzInstances(Bytes Input);
/// Input: an element of a list of the platform's store, or a whole answer.
void fuzzStoreAnswer(Bytes Input);
/// Input: one byte that seeds the split of the remainder, an event stream.
void fuzzEvents(Bytes Input);
/// Input: the text of settings.
void fuzzSettings(Bytes Input);
/// Input: the text of a manifest.
void fuzzManifest(Bytes Input);
/// Input: the header of a bulk frame with its length, and what follows it.
void fuzzBulk(Bytes Input);

struct Target {
  std::string_view m_Name; ///< also the name of its corpus folder
  void (*m_Run)(Bytes);
  /// Mutations that a test makes of each file; chosen so that it takes only
  /// some seconds, also under sanitizers.
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
    Target{"store-answer", fuzzStoreAnswer, 300},
    Target{"events", fuzzEvents, 300},
    Target{"settings", fuzzSettings, 300},
    Target{"manifest", fuzzManifest, 300},
    Target{"bulk", fuzzBulk, 300},
};

} // namespace deckpitch::fuzz
