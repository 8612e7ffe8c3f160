// A libFuzzer program for all targets:  deckpitch-fuzz --target=link CORPUS
#include "fuzz/targets.h"
#include "net/log.h"

#include <google/protobuf/stubs/logging.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

using deckpitch::fuzz::Target;
using deckpitch::fuzz::Targets;

const Target *Chosen = nullptr;

/// The fuzzer leaves flags with two dashes to the program.
void chooseBy(std::string_view Argument) {
  constexpr std::string_view Flag = "--target=";
  if (!Argument.starts_with(Flag))
    return;
  for (const Target &Each : Targets)
    if (Each.m_Name == Argument.substr(Flag.size()))
      Chosen = &Each;
}

void printTargets() {
  std::fputs("--target= is one of\n", stderr);
  for (const Target &Each : Targets)
    std::fprintf(stderr, "  %s\n", std::string(Each.m_Name).c_str());
}

} // namespace

extern "C" int LLVMFuzzerInitialize(int *Count, char ***Arguments) {
  for (int I = 1; I < *Count; ++I)
    chooseBy((*Arguments)[I]);
  if (!Chosen) {
    printTargets();
    std::exit(EXIT_FAILURE);
  }
  // It writes a line for each text that is none.
  google::protobuf::SetLogHandler(nullptr);
  deckpitch::net::setUpLog("fuzz", deckpitch::Severity::Error);
  return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  Chosen->m_Run({Data, Size});
  return 0;
}
