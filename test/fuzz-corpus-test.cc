// Runs the fuzz targets over the corpus and simple mutations of it, and over
// the inputs that once violated a property. scripts/fuzz.sh searches for new
// ones.
#include "fuzz/mutations.h"
#include "fuzz/targets.h"

#include <google/protobuf/stubs/logging.h>
#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <vector>

using namespace deckpitch;

namespace fs = std::filesystem;

namespace deckpitch::fuzz {

void PrintTo(const Target &Of, std::ostream *Out) { *Out << Of.m_Name; }

} // namespace deckpitch::fuzz

namespace {

using Corpus = std::map<std::string, fuzz::Input>; ///< by file name

fuzz::Input readFile(const fs::path &Path) {
  std::ifstream File(Path, std::ios::binary);
  return {std::istreambuf_iterator<char>(File), {}};
}

/// Reads a target's files in the folder "corpus", or "finds" for the inputs
/// that once violated a property.
Corpus readInputs(const std::string &Folder, std::string_view Target) {
  const fs::path Path =
      fs::path(DECKPITCH_SOURCE_DIR) / "support/fuzz" / Folder / Target;
  Corpus Out;
  if (fs::exists(Path))
    for (const fs::directory_entry &Each : fs::directory_iterator(Path))
      Out.emplace(Each.path().filename(), readFile(Each.path()));
  return Out;
}

std::string toHex(const fuzz::Input &Of) {
  constexpr std::string_view Digits = "0123456789abcdef";
  std::string Out;
  for (const std::uint8_t Each : Of) {
    Out.push_back(Digits[Each >> 4]);
    Out.push_back(Digits[Each & 15]);
  }
  return Out;
}

/// Returns the property that is violated, or an empty string.
std::string violationOf(const fuzz::Target &Target, const fuzz::Input &Input) {
  // protobuf logs a line for each string that is not valid UTF-8.
  const google::protobuf::LogSilencer Quiet;
  try {
    Target.m_Run(Input);
    return "";
  } catch (const std::exception &Violation) {
    return Violation.what();
  }
}

void expectPropertyHolds(const fuzz::Target &Target, const std::string &Name,
                         const fuzz::Input &Input) {
  EXPECT_EQ(violationOf(Target, Input), "")
      << Target.m_Name << " " << Name << ": " << toHex(Input);
}

class FuzzCorpus : public testing::TestWithParam<fuzz::Target> {};

TEST_P(FuzzCorpus, HoldsForEachFile) {
  const Corpus Files = readInputs("corpus", GetParam().m_Name);
  ASSERT_FALSE(Files.empty());
  for (const auto &[Name, Input] : Files)
    expectPropertyHolds(GetParam(), Name, Input);
}

void expectPropertiesHoldForMutations(const fuzz::Target &Target) {
  constexpr std::uint32_t Seed = 1;
  const Corpus Files = readInputs("corpus", Target.m_Name);
  ASSERT_FALSE(Files.empty());
  fuzz::Mutations Mutations(Seed);
  const fuzz::Input *Other = &Files.rbegin()->second;
  for (const auto &[Name, Input] : Files) {
    for (std::size_t I = 0; I < Target.m_Mutations; ++I)
      expectPropertyHolds(Target, Name + " mutated",
                          Mutations.mutate(Input, *Other));
    Other = &Input;
  }
}

/// Returns whether mutations of the target's corpus violate a property in the
/// current code. Until that is fixed, FuzzFinds tries them together with the
/// finds.
bool hasOpenFind(const fuzz::Target &Target) {
  return Target.m_Name == std::string_view("instances");
}

std::vector<fuzz::Target> targetsWithoutOpenFind() {
  std::vector<fuzz::Target> Out(std::begin(fuzz::Targets),
                                std::end(fuzz::Targets));
  std::erase_if(Out, hasOpenFind);
  return Out;
}

class FuzzMutations : public testing::TestWithParam<fuzz::Target> {};

TEST_P(FuzzMutations, Hold) { expectPropertiesHoldForMutations(GetParam()); }

std::string nameOf(const testing::TestParamInfo<fuzz::Target> &Info) {
  std::string Out(Info.param.m_Name);
  std::replace(Out.begin(), Out.end(), '-', '_');
  return Out;
}

INSTANTIATE_TEST_SUITE_P(All, FuzzCorpus, testing::ValuesIn(fuzz::Targets),
                         nameOf);
INSTANTIATE_TEST_SUITE_P(All, FuzzMutations,
                         testing::ValuesIn(targetsWithoutOpenFind()), nameOf);

/// Guards against the return of faults whose inputs once violated a property.
TEST(FuzzFinds, HoldNow) {
  std::size_t Inputs = 0;
  for (const fuzz::Target &Target : fuzz::Targets) {
    for (const auto &[Name, Input] : readInputs("finds", Target.m_Name)) {
      expectPropertyHolds(Target, Name, Input);
      ++Inputs;
    }
    if (hasOpenFind(Target))
      expectPropertiesHoldForMutations(Target);
  }
  EXPECT_GT(Inputs, 0U);
}

} // namespace
