#include "net/deflate.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

constexpr std::size_t MaxTextBytes = std::size_t{1} << 20;

/// Returns text like that of a declaration: the same words around different
/// names.
std::string routes(std::size_t Count) {
  std::string Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out += R"({"name":"r)" + std::to_string(I * 7'919) +
           R"(","host":"h.example","kind":"stream","timeoutMs":6000},)";
  return Out;
}

constexpr std::size_t MaxInstances = 40;
constexpr std::size_t FirstPort = 12'000;
constexpr std::size_t PortCount = 100;

/// Returns text like an encoded list of instances, each with a name of its own
/// and all on one port.
std::string instances(std::size_t Count, std::size_t Port) {
  std::string Out;
  for (std::size_t I = 0; I < Count; ++I)
    Out += "\x1a\x07other-" + std::to_string(I) + "\x22\x0f" +
           "127.0.0.1:" + std::to_string(Port) + "\x2a\x01" + "a0\x04";
  return Out;
}

TEST(Deflate, RoundTripsText) {
  for (const std::string &Text :
       {std::string(), std::string("x"), std::string(200'000, 'a'),
        std::string("\0\xff\x80 binary", 10), routes(10'000)}) {
    const auto Restored = net::inflate(net::deflate(Text), MaxTextBytes);
    ASSERT_TRUE(Restored) << Restored.error().m_Message;
    EXPECT_EQ(*Restored, Text);
  }
}

// Guards against an inflate that rejects complete streams as truncated. Boost's
// inflate looks up each code by nine bits, and fails (zlib does not) if the
// last code and its padding are shorter; which streams these are depends on the
// addresses in the list. An entry that the store rejected, and that could only
// fetch such a list from another entry, refused all requests until the list of
// instances changed (60 s in one trace).
TEST(Deflate, RoundTripsStreamsWithAnyFinalCode) {
  std::size_t Mismatches = 0;
  for (std::size_t Count = 1; Count <= MaxInstances; ++Count)
    for (std::size_t Port = FirstPort; Port < FirstPort + PortCount; ++Port) {
      const std::string Text = instances(Count, Port);
      const auto Restored = net::inflate(net::deflate(Text), MaxTextBytes);
      Mismatches += Restored && *Restored == Text ? 0 : 1;
    }
  EXPECT_EQ(Mismatches, 0U);
}

// The padding that inflate() appends must not hide a truncation of even one
// byte.
TEST(Deflate, RejectsStreamsTruncatedAtAnyByte) {
  for (std::size_t Port = FirstPort; Port < FirstPort + PortCount; ++Port) {
    const std::string Compressed = net::deflate(instances(3, Port));
    for (std::size_t Length = 0; Length < Compressed.size(); ++Length)
      EXPECT_FALSE(net::inflate(Compressed.substr(0, Length), MaxTextBytes))
          << Port << " " << Length;
  }
}

TEST(Deflate, CompressesADeclaration) {
  const std::string Text = routes(4'000);
  EXPECT_LT(net::deflate(Text).size(), Text.size() / 8);
}

TEST(Deflate, RejectsTruncatedOrInvalidStreams) {
  const std::string Compressed = net::deflate(routes(1'000));
  for (std::size_t Length = 0; Length < Compressed.size(); Length += 97)
    EXPECT_FALSE(net::inflate(Compressed.substr(0, Length), MaxTextBytes))
        << Length;
  EXPECT_FALSE(net::inflate("\xff\xff\xff\xff", MaxTextBytes));
}

TEST(Deflate, RejectsTextLongerThanTheLimit) {
  const std::string Bytes = net::deflate(std::string(100'000, 'a'));
  EXPECT_TRUE(net::inflate(Bytes, 100'000));
  const auto Refused = net::inflate(Bytes, 99'999);
  ASSERT_FALSE(Refused);
  EXPECT_EQ(Refused.error().m_Code, ErrorCode::InvalidInput);
}

} // namespace
