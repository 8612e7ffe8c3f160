#include "net/adapters.h"
#include "net/engine.h"
#include "net/origin.h"
#include "net/platform.h"

#include <gtest/gtest.h>

using namespace deckpitch;

namespace {

TEST(Adapters, AreFoundByTheAddressesScheme) {
  using Known = net::Adapters<net::Platform>;
  using net::PortAddress;
  EXPECT_EQ(net::parsePortAddress("127.0.0.1:1"),
            (PortAddress{"http", "127.0.0.1:1"}));
  EXPECT_EQ(net::parsePortAddress("store://a/b"),
            (PortAddress{"store", "a/b"}));
  EXPECT_TRUE(Known::knows("127.0.0.1:1"));
  EXPECT_TRUE(Known::knows("http://127.0.0.1:1"));
  EXPECT_FALSE(Known::knows("store://a"));
  net::HttpClient Http;
  EXPECT_EQ(Known::make(Http, "store://a"), nullptr);
  EXPECT_NE(Known::make(Http, "127.0.0.1:1"), nullptr);
}

/// A port of the test's own, with an adapter of another scheme.
class Place {
public:
  virtual ~Place() = default;
  virtual std::string rest() const = 0;
};

class ElsewherePlace final : public Place {
public:
  ElsewherePlace(net::HttpClient &, std::string Rest)
      : m_Rest(std::move(Rest)) {}
  std::string rest() const override { return m_Rest; }

private:
  std::string m_Rest;
};

const net::AdapterRegistration<Place, ElsewherePlace>
    RegisteredElsewhere("elsewhere");

TEST(Adapters, OneThatRegistersItselfIsMadeForItsScheme) {
  net::HttpClient Http;
  const auto Made = net::Adapters<Place>::make(Http, "elsewhere://a/b?c");
  ASSERT_NE(Made, nullptr);
  EXPECT_EQ(Made->rest(), "a/b?c");
  EXPECT_EQ(net::Adapters<Place>::schemes(), "elsewhere");
  EXPECT_EQ(net::Adapters<Place>::make(Http, "127.0.0.1:1"), nullptr);
}

} // namespace
