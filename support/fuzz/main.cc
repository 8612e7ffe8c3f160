// libFuzzer driver for all targets:  deckpitch-fuzz --target=link CORPUS
#include "fuzz/targets.h"
#include "net/log.h"

#include <google/protobuf/stubs/logging.h>

#include <cstdio>
#include <cstdlib>
#include <string>

namespace {

using deckpitch::fuzz::Target;
using deckpitch::fuzz::Targets;

const Target *SelectedTarget = nullptr;

/// libFuzzer ignores flags with two dashes, so the program can use them.
void selectTarget(std::string_view Argument) {
  constexpr std::string_view Flag = "--target=";
  if (!Argument.starts_with(Flag))
    return;
  for (const Target &Each : Targets)
    if (Each.m_Name == Argument.substr(Flag.size()))
      SelectedTarget = &Each;
}

void printTargets() {
  std::fputs("--target= is one of\n", stderr);
  for (const Target &Each : Targets)
    std::fprintf(stderr, "  %s\n", std::string(Each.m_Name).c_str());
}

} // namespace

extern "C" int LLVMFuzzerInitialize(int *Count, char ***Arguments) {
  for (int I = 1; I < *Count; ++I)
    selectTarget((*Arguments)[I]);
  if (!SelectedTarget) {
    printTargets();
    std::exit(EXIT_FAILURE);
  }
  // protobuf logs a line for each string that is not valid UTF-8.
  google::protobuf::SetLogHandler(nullptr);
  deckpitch::net::setUpLog("fuzz", deckpitch::Severity::Error);
  return 0;
}

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *Data,
                                      std::size_t Size) {
  SelectedTarget->m_Run({Data, Size});
  return 0;
}
