// What the HTTP server does with clients when connections or memory run out.
#include "harness.h"
#include "net/clients.h"
#include "net/http.h"
#include "raw-connection.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <atomic>

using namespace deckpitch;
using namespace deckpitch::net;
using deckpitch::test::eventually;
using deckpitch::test::RawConnection;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t KiB = 1024;
constexpr std::size_t MaxBytes = 100 * KiB;
constexpr std::size_t MaxConnections = 2;
/// Held, with its copy and the slack of its string, by more than half.
constexpr std::size_t LargeBytes = 30 * KiB;

ClientLimits smallLimits() {
  ClientLimits Out;
  Out.m_Connections = MaxConnections;
  Out.m_Listeners.fill({0, MaxConnections});
  Out.m_Allowance = 8 * KiB;
  Out.m_Bytes = MaxBytes;
  return Out;
}

std::string postOf(const std::string &Path, std::size_t Announced,
                   std::size_t Sent) {
  return "POST " + Path + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(Announced) + "\r\n\r\n" + std::string(Sent, 'x');
}

class ClientAdmission : public testing::Test {
protected:
  void SetUp() override {
    const auto Bound =
        outcomeOf([&] { return m_Server.listen("127.0.0.1:0"); });
    ASSERT_TRUE(Bound);
    m_Address = *Bound;
    m_Threads.start();
  }
  void TearDown() override {
    m_Released = true;
    m_Server.stop();
    m_Threads.stop();
  }

  asio::awaitable<void> answer(HttpRequest Request, HttpResponder &Answer) {
    HttpResponse Response;
    if (!Request.m_IsBodyRead)
      Response.m_Body = "without body";
    else if (Request.path() == "/wait")
      Response.m_Body = co_await waitForRelease();
    else if (Request.path() == "/large" && !Answer.reserve(2 * MaxBytes))
      Response = noRoomResponse();
    else
      Response.m_Body = "read " + std::to_string(Request.m_Body.size()) +
                        std::string(Request.m_Headers.find("Added"));
    co_await Answer.send(std::move(Response));
  }

  asio::awaitable<std::string> waitForRelease() {
    ++m_Waiting;
    asio::steady_timer Pause(co_await asio::this_coro::executor);
    while (!m_Released) {
      Pause.expires_after(1ms);
      co_await Pause.async_wait(asio::use_awaitable);
    }
    co_return "released";
  }

  std::int64_t level(const char *Name) const {
    return boost::json::value(m_Clients->dump())
        .at(Name)
        .to_number<std::int64_t>();
  }
  bool waitForConnections(std::int64_t Count) const {
    return eventually([&] { return level("connections") == Count; });
  }

  std::atomic<int> m_Waiting{0};
  std::atomic<bool> m_Released{false};
  IoThreads m_Threads{2};
  std::shared_ptr<Clients> m_Clients = std::make_shared<Clients>(smallLimits());
  HttpServer m_Server{
      m_Threads,
      [this](HttpRequest Request, HttpResponder &Answer) {
        return answer(std::move(Request), Answer);
      },
      {},
      {m_Clients, Listener::Callers,
       [](const HttpRequest &Head) { return Head.path() != "/unknown"; }}};
  std::string m_Address;
};

/// A key or an id in a trailer would count as one of the request's head.
TEST_F(ClientAdmission, TrailersDoNotBecomeHeaders) {
  RawConnection Client(m_Address);
  Client.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\nhi\r\n0\r\nAdded: in a trailer\r\n\r\n");
  EXPECT_NE(Client.readUntil("read 2"), "");
  Client.send(postOf("/", 3, 3));
  EXPECT_NE(Client.readUntil("read 3"), "");
}

/// The bodies of requests without a known route or key were read whole.
TEST_F(ClientAdmission, AnswersAtOnceWithoutABodyThatNobodyWants) {
  RawConnection Client(m_Address);
  Client.send(postOf("/unknown", KiB * KiB, 8 * KiB));
  const std::string Read = Client.readUntil("without body");
  EXPECT_EQ(Read.find("HTTP/1.1 200"), 0U) << Read;
  EXPECT_NE(Read.find("Connection: close"), std::string::npos) << Read;
}

/// A short body is read all the same, so that its connection can be kept.
TEST_F(ClientAdmission, ReadsShortBodiesWhateverTheHead) {
  RawConnection Client(m_Address);
  for (int I = 0; I < 2; ++I) {
    Client.send(postOf("/unknown", 1'000, 1'000));
    EXPECT_NE(Client.readUntil("read 1000"), "");
  }
}

/// Bodies that stop short would keep others out until they time out. They have
/// not run, and their clients are told so.
TEST_F(ClientAdmission, StalledRequestGivesWayAndIsToldToReturn) {
  RawConnection Stalled(m_Address);
  Stalled.send(postOf("/", 2 * LargeBytes, LargeBytes));
  ASSERT_TRUE(
      eventually([this] { return level("bytes") > std::int64_t{LargeBytes}; }));
  RawConnection Client(m_Address);
  Client.send(postOf("/", LargeBytes, LargeBytes));
  EXPECT_NE(Client.readUntil("read " + std::to_string(LargeBytes)), "");
  const std::string Read = Stalled.readToEnd();
  EXPECT_EQ(Read.find("HTTP/1.1 503"), 0U) << Read;
  EXPECT_NE(Read.find("Retry-After: 1"), std::string::npos) << Read;
  EXPECT_TRUE(eventually([this] { return level("bytes") == 0; }));
}

/// A request that is being handled keeps its bytes; the next one is refused.
TEST_F(ClientAdmission, RefusesALargeRequestWhileOthersAreHandled) {
  RawConnection First(m_Address);
  First.send(postOf("/wait", LargeBytes, LargeBytes));
  ASSERT_TRUE(eventually([this] { return m_Waiting == 1; }));
  RawConnection Second(m_Address);
  Second.send(postOf("/", LargeBytes, LargeBytes));
  const std::string Read = Second.readToEnd();
  EXPECT_EQ(Read.find("HTTP/1.1 503"), 0U) << Read;
  m_Released = true;
  EXPECT_NE(First.readUntil("released"), "");
}

TEST_F(ClientAdmission, OldestIdleConnectionIsClosedForANewOne) {
  RawConnection First(m_Address);
  ASSERT_TRUE(waitForConnections(1));
  RawConnection Second(m_Address);
  ASSERT_TRUE(waitForConnections(2));
  RawConnection Third(m_Address);
  Third.send(postOf("/", 2, 2));
  EXPECT_NE(Third.readUntil("read 2"), "");
  EXPECT_EQ(First.readToEnd(), "");
  Second.send(postOf("/", 4, 4));
  EXPECT_NE(Second.readUntil("read 4"), "");
}

TEST_F(ClientAdmission, ClosesANewConnectionWhileAllOthersAreAnswered) {
  RawConnection First(m_Address);
  First.send(postOf("/wait", 0, 0));
  RawConnection Second(m_Address);
  Second.send(postOf("/wait", 0, 0));
  ASSERT_TRUE(eventually([this] { return m_Waiting == 2; }));
  EXPECT_EQ(RawConnection(m_Address).readToEnd(), "");
  m_Released = true;
  EXPECT_NE(First.readUntil("released"), "");
  EXPECT_NE(Second.readUntil("released"), "");
}

TEST_F(ClientAdmission, RefusesAnAnswerThatDoesNotFit) {
  RawConnection Client(m_Address);
  Client.send(postOf("/large", 0, 0));
  const std::string Read = Client.readUntil("in progress");
  EXPECT_EQ(Read.find("HTTP/1.1 503"), 0U) << Read;
}

} // namespace
