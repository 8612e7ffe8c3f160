// Cost of checking one streamed token.
#include "deckpitch/token-stream.h"

#include <benchmark/benchmark.h>

using namespace deckpitch;

namespace {

constexpr int Tokens = 1000;

std::string eventOf(int Index, const std::string &Digest) {
  return R"(data: {"id":"entry-0-17-4711","object":"chat.completion.chunk",)"
         R"("model":"chat","index":)" +
         std::to_string(Index) +
         R"(,"token":"0badcafe ","weights":"model-7@12","digest":")" + Digest +
         R"(","choices":[{"index":0,"delta":{"content":"0badcafe "},)"
         R"("finish_reason":null}]})"
         "\n\n";
}

void checkTokens(benchmark::State &State) {
  const std::string Digest(64, 'd');
  std::vector<std::string> Events;
  Events.reserve(Tokens);
  for (int I = 0; I < Tokens; ++I)
    Events.push_back(eventOf(I, Digest));
  for (auto _ : State) {
    TokenStreamChecker Checker({.m_RequestId = "entry-0-17-4711",
                                .m_Weights = {"model-7@12"},
                                .m_Digest = Digest});
    for (const std::string &Each : Events)
      if (Checker.feed(Each).m_Fault != StreamFault::None)
        State.SkipWithError("the checker rejected a complete event");
  }
  State.SetItemsProcessed(State.iterations() * Tokens);
}
BENCHMARK(checkTokens);

} // namespace
