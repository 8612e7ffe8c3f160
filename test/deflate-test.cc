#include "net/deflate.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

constexpr std::size_t Most = std::size_t{1} << 20;

/// Like a declaration: the same words around names that differ.
std::string routes(std::size_t Count) {
  std::string Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out += R"({"name":"r)" + std::to_string(I * 7'919) +
           R"(","host":"h.example","kind":"stream","timeoutMs":6000},)";
  return Out;
}

TEST(Deflate, GivesBackWhatItWasGiven) {
  for (const std::string &Text :
       {std::string(), std::string("x"), std::string(200'000, 'a'),
        std::string("\0\xff\x80 binary", 10), routes(10'000)}) {
    const auto Back = net::inflate(net::deflate(Text), Most);
    ASSERT_TRUE(Back) << Back.error().m_Message;
    EXPECT_EQ(*Back, Text);
  }
}

TEST(Deflate, MakesADeclarationMuchSmaller) {
  const std::string Text = routes(4'000);
  EXPECT_LT(net::deflate(Text).size(), Text.size() / 8);
}

TEST(Deflate, RefusesWhatIsCutOffOrNoStream) {
  const std::string Whole = net::deflate(routes(1'000));
  for (std::size_t Length = 0; Length < Whole.size(); Length += 97)
    EXPECT_FALSE(net::inflate(Whole.substr(0, Length), Most)) << Length;
  EXPECT_FALSE(net::inflate("\xff\xff\xff\xff", Most));
}

TEST(Deflate, RefusesMoreTextThanWasAgreed) {
  const std::string Bytes = net::deflate(std::string(100'000, 'a'));
  EXPECT_TRUE(net::inflate(Bytes, 100'000));
  const auto Refused = net::inflate(Bytes, 99'999);
  ASSERT_FALSE(Refused);
  EXPECT_EQ(Refused.error().m_Code, ErrorCode::InvalidInput);
}

} // namespace
