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

constexpr std::size_t MostInstances = 40;
constexpr std::size_t FirstPort = 12'000;
constexpr std::size_t Ports = 100;

/// Like a list of instances: all beside one port, and each with a name.
std::string instances(std::size_t Count, std::size_t Port) {
  std::string Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out += "\x1a\x07other-" + std::to_string(I) + "\x22\x0f" +
           "127.0.0.1:" + std::to_string(Port) + "\x2a\x01" + "a0\x04";
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

/// An entry that the store turned away refused all requests for as long as the
/// list of instances stayed the same: the only entry that had the list gave it
/// packed, and it could not be unpacked. Of a trace, for 60 s:
///   fetched from 127.0.0.1:18827: "compressed text: cut off"
/// zlib unpacks the same bytes. The library's inflate looks up each code by
/// nine bits and takes a stream for cut off whose last code and padding are
/// shorter: which streams these are depends on the addresses in the list.
TEST(Deflate, GivesBackTextsOfAnyEnd) {
  std::size_t Lost = 0;
  for (std::size_t Count = 1; Count <= MostInstances; ++Count)
    for (std::size_t Port = FirstPort; Port < FirstPort + Ports; ++Port) {
      const std::string Text = instances(Count, Port);
      const auto Back = net::inflate(net::deflate(Text), Most);
      Lost += Back && *Back == Text ? 0 : 1;
    }
  EXPECT_EQ(Lost, 0U);
}

/// Of each of these, what is missing at the end is noticed to the byte.
TEST(Deflate, RefusesEachCutOfTextsOfAnyEnd) {
  for (std::size_t Port = FirstPort; Port < FirstPort + Ports; ++Port) {
    const std::string Whole = net::deflate(instances(3, Port));
    for (std::size_t Length = 0; Length < Whole.size(); ++Length)
      EXPECT_FALSE(net::inflate(Whole.substr(0, Length), Most))
          << Port << " " << Length;
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
