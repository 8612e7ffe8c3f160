#include "direct/entry-record.h"

#include <gtest/gtest.h>

using namespace deckpitch;
using namespace deckpitch::direct;

namespace {

const EntryAddress Address{{"e-1"}, {"a"}, "10.0.0.1:1", "10.0.0.1:2"};

TEST(EntryRecord, RoundTrips) {
  const RefusedRequest Refused{
      {0xfedcba9876543210, 0x1f}, {1, 0xffffffffffffffff}, 1'790'000'000'123};
  const StoredDeclaration Declared{{"m", 7}, 1'790'000'000'456};
  for (const EntryRecord &Each :
       {EntryRecord{Address, {}, {}},
        EntryRecord{Address, {Refused, Refused}, {Declared, Declared}}}) {
    const auto Read =
        outcomeOf([&] { return parseEntry("e-1", formatEntry(Each)); });
    ASSERT_TRUE(Read);
    EXPECT_EQ(*Read, Each);
  }
}

TEST(EntryRecord, RejectsMalformedObjects) {
  for (const char *Bad :
       {R"([])", R"({"dataCentre":"a","link":"l"})",
        R"({"dataCentre":"a","link":"l","callers":"c","refused":3})",
        R"({"dataCentre":"a","link":"l","callers":"c","refused":[{}]})",
        R"({"dataCentre":"a","link":"l","callers":"c","refused":[)"
        R"({"fingerprint":"0123456789abcdef0123456789abcdeg"}]})",
        R"({"dataCentre":"a","link":"l","callers":"c","refused":[)"
        R"({"fingerprint":"0123456789abcdef0123456789abcdef",)"
        R"("instances":["12"]}]})",
        R"({"dataCentre":"a","link":"l","callers":"c","declared":{}})",
        R"({"dataCentre":"a","link":"l","callers":"c","declared":[)"
        R"({"model":"m","version":2}]})",
        R"({"dataCentre":"a","link":"l","callers":"c","declared":[)"
        R"({"model":"m","version":0,"sinceMs":5}]})"}) {
    const auto Read = outcomeOf([&] { return parseEntry("e-1", Bad); });
    ASSERT_FALSE(Read) << Bad;
    EXPECT_EQ(Read.error().m_Code, ErrorCode::InvalidInput);
  }
}

} // namespace
