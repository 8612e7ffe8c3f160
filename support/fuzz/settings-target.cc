// Settings and manifests: accepted completely or rejected with a reason.
#include "deckpitch/direct-settings.h"
#include "deckpitch/manifest.h"
#include "deckpitch/settings.h"
#include "fuzz/check.h"
#include "fuzz/input-reader.h"
#include "fuzz/targets.h"

namespace deckpitch::fuzz {

namespace {

template <typename Parse> auto parseOrRequireReason(Parse &&Run) {
  auto Got = outcomeOf(Run);
  require(Got || !Got.error().m_Message.empty(), "a rejection has a message");
  return Got;
}

void checkDirect(const std::string &Text) {
  const auto Got =
      parseOrRequireReason([&] { return parseDirectSettings(Text); });
  if (!Got)
    return;
  require(areDirectSettings(Text),
          "accepted settings are recognised as direct settings");
  require(!Got->m_Instance.empty() && !Got->m_Store.empty() &&
              !Got->m_Listen.m_Link.empty(),
          "settings name the process, its link and the store");
  const bool IsAgent = Got->m_Role == Role::Agent;
  require(!IsAgent || !Got->m_Upstream.empty(), "an agent has an upstream");
  require(IsAgent || !Got->m_Listen.m_Callers.empty(),
          "an entry listens for callers");
  require(Got->m_Bounds.m_Retries.m_Share >= 0 &&
              Got->m_Bounds.m_Retries.m_Share <= 1,
          "the retry share is between 0 and 1");
  require(Got->m_LinkMbps >= 0, "the rate of the link is not negative");
}

void checkLengths(const Manifest &Of) {
  std::uint64_t Bytes = 0;
  for (std::uint32_t I = 0; I < Of.chunkCount(); ++I) {
    require(Of.chunkLength(I) > 0, "no chunk is empty");
    Bytes += Of.chunkLength(I);
  }
  require(Bytes == Of.m_Bytes,
          "the lengths of the chunks add up to the content");
}

} // namespace

void fuzzSettings(Bytes Input) {
  const std::string Text = InputReader(Input).remainder();
  checkDirect(Text);
  parseOrRequireReason([&] { return parseSettings(Text); });
}

void fuzzManifest(Bytes Input) {
  const std::string Text = InputReader(Input).remainder();
  const auto Got = parseOrRequireReason([&] { return parseManifest(Text); });
  if (!Got)
    return;
  checkLengths(*Got);
  require(wholeDigest(Got->m_Chunks) == Got->m_Whole,
          "the overall digest is computed from those of the chunks");
  const std::string Written = formatManifest(*Got);
  const auto Again =
      parseOrRequireReason([&] { return parseManifest(Written); });
  require(Again && *Again == *Got, "a manifest survives a round trip");
}

} // namespace deckpitch::fuzz
