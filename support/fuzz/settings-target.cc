// Settings and manifests: taken whole or refused with a reason.
#include "deckpitch/direct-settings.h"
#include "deckpitch/manifest.h"
#include "deckpitch/settings.h"
#include "fuzz/check.h"
#include "fuzz/input-reader.h"
#include "fuzz/targets.h"

namespace deckpitch::fuzz {

namespace {

template <typename Parse> auto parseOrSayWhy(Parse &&Run) {
  auto Got = outcomeOf(Run);
  require(Got || !Got.error().m_Message.empty(), "a refusal says why");
  return Got;
}

void checkDirect(const std::string &Text) {
  const auto Got = parseOrSayWhy([&] { return parseDirectSettings(Text); });
  if (!Got)
    return;
  require(areDirectSettings(Text), "settings that are taken are of their kind");
  require(!Got->m_Instance.empty() && !Got->m_Store.empty() &&
              !Got->m_Listen.m_Link.empty(),
          "settings name the process, its link and the store");
  const bool IsAgent = Got->m_Role == Role::Agent;
  require(!IsAgent || !Got->m_Upstream.empty(), "an agent has an upstream");
  require(IsAgent || !Got->m_Listen.m_Callers.empty(),
          "an entry listens for callers");
  require(Got->m_Bounds.m_Retries.m_Share >= 0 &&
              Got->m_Bounds.m_Retries.m_Share <= 1,
          "a share is one");
  require(Got->m_LinkMbps >= 0, "a rate is none below zero");
}

void checkLengths(const Manifest &Of) {
  std::uint64_t Bytes = 0;
  for (std::uint32_t I = 0; I < Of.chunkCount(); ++I) {
    require(Of.chunkLength(I) > 0, "no chunk is empty");
    Bytes += Of.chunkLength(I);
  }
  require(Bytes == Of.m_Bytes, "the chunks make the content");
}

} // namespace

void fuzzSettings(Bytes Input) {
  const std::string Text = InputReader(Input).rest();
  checkDirect(Text);
  parseOrSayWhy([&] { return parseSettings(Text); });
}

void fuzzManifest(Bytes Input) {
  const std::string Text = InputReader(Input).rest();
  const auto Got = parseOrSayWhy([&] { return parseManifest(Text); });
  if (!Got)
    return;
  checkLengths(*Got);
  require(wholeDigest(Got->m_Chunks) == Got->m_Whole,
          "the whole digest is that of the chunks");
  const std::string Written = formatManifest(*Got);
  const auto Again = parseOrSayWhy([&] { return parseManifest(Written); });
  require(Again && *Again == *Got,
          "a manifest reads to the same value once written again");
}

} // namespace deckpitch::fuzz
