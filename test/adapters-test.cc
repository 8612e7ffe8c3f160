#include "net/adapters.h"
#include "net/engine.h"
#include "net/origin.h"
#include "net/platform.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

TEST(Adapters, AreSelectedByTheSchemeOfTheAddress) {
  using PlatformAdapters = net::Adapters<net::Platform>;
  using net::PortAddress;
  EXPECT_EQ(net::parsePortAddress("127.0.0.1:1"),
            (PortAddress{"http", "127.0.0.1:1"}));
  EXPECT_EQ(net::parsePortAddress("store://a/b"),
            (PortAddress{"store", "a/b"}));
  EXPECT_TRUE(PlatformAdapters::knows("127.0.0.1:1"));
  EXPECT_TRUE(PlatformAdapters::knows("http://127.0.0.1:1"));
  EXPECT_FALSE(PlatformAdapters::knows("store://a"));
  net::HttpClient Http;
  EXPECT_EQ(PlatformAdapters::make(Http, "store://a"), nullptr);
  EXPECT_NE(PlatformAdapters::make(Http, "127.0.0.1:1"), nullptr);
}

/// A port that only this test uses, with an adapter for a scheme of its own.
class TestPort {
public:
  virtual ~TestPort() = default;
  virtual std::string location() const = 0;
};

class ElsewhereAdapter final : public TestPort {
public:
  ElsewhereAdapter(net::HttpClient &, std::string Location)
      : m_Location(std::move(Location)) {}
  std::string location() const override { return m_Location; }

private:
  std::string m_Location;
};

const net::AdapterRegistration<TestPort, ElsewhereAdapter>
    RegisteredElsewhere("elsewhere");

TEST(Adapters, ARegisteredAdapterIsCreatedForItsScheme) {
  net::HttpClient Http;
  const auto Created = net::Adapters<TestPort>::make(Http, "elsewhere://a/b?c");
  ASSERT_NE(Created, nullptr);
  EXPECT_EQ(Created->location(), "a/b?c");
  EXPECT_EQ(net::Adapters<TestPort>::schemes(), "elsewhere");
  EXPECT_EQ(net::Adapters<TestPort>::make(Http, "127.0.0.1:1"), nullptr);
}

} // namespace
