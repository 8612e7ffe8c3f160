#include "deckpitch/request-fingerprint.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

TEST(RequestFingerprint, IsEqualForRepeatedRequest) {
  const RequestParts Sent{"shops", "h.example", "POST", "/stream/1", "text"};
  EXPECT_EQ(fingerprintOf(Sent), fingerprintOf(Sent));
  RequestParts Other = Sent;
  Other.m_Body = "Text";
  EXPECT_NE(fingerprintOf(Sent), fingerprintOf(Other));
}

TEST(RequestFingerprint, DependsOnBoundariesOfParts) {
  EXPECT_NE(fingerprintOf({"a", "b", "POST", "/c", "d"}),
            fingerprintOf({"ab", "", "POST", "/c", "d"}));
  EXPECT_NE(fingerprintOf({"a", "b", "POST", "/c", "d"}),
            fingerprintOf({"a", "b", "POST", "/cd", ""}));
}

TEST(RequestFingerprint, FormatsAsHexDigits) {
  EXPECT_EQ(textOf({0x1f, 0xa0}), "000000000000001f00000000000000a0");
}

} // namespace
