// Fault cases as tables of HTTP calls and their expected responses.
#pragma once

#include "harness.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

namespace deckpitch::test {

/// One call and its expected response. A status of 0 means that the connection
/// must break.
struct HttpStep {
  std::string m_Method;
  std::string m_Target;
  std::string m_Header; ///< "Name: value", or empty
  std::string m_Body;
  unsigned m_Status = 200;
  std::string m_Contains; ///< expected part of the response body
};

struct HttpScript {
  std::string m_Name;
  std::vector<HttpStep> m_Steps;
};

inline void PrintTo(const HttpScript &Script, std::ostream *Out) {
  *Out << Script.m_Name;
}

inline HttpStep faults(std::string Json) {
  return {"PUT", "/_standin/faults", "", std::move(Json), 200, ""};
}

inline void run(const std::string &Address, const HttpScript &Script) {
  SCOPED_TRACE(Script.m_Name);
  std::size_t Number = 0;
  for (const HttpStep &Each : Script.m_Steps) {
    SCOPED_TRACE("step " + std::to_string(Number++) + ": " + Each.m_Method +
                 " " + Each.m_Target);
    net::HttpHeaders Headers;
    const std::size_t Colon = Each.m_Header.find(": ");
    if (Colon != std::string::npos)
      Headers.add(Each.m_Header.substr(0, Colon),
                  Each.m_Header.substr(Colon + 2));
    const auto Answer =
        call(Address, Each.m_Method, Each.m_Target, Each.m_Body, Headers);
    ASSERT_EQ(statusOf(Answer), Each.m_Status);
    const std::string Body = Answer ? Answer->m_Body : "";
    ASSERT_NE(Body.find(Each.m_Contains), std::string::npos) << Body;
  }
}

inline std::string nameOf(const testing::TestParamInfo<HttpScript> &Info) {
  return Info.param.m_Name;
}

/// Starts a separate stand-in for each test, so that no row depends on another.
class StandInScript : public testing::TestWithParam<HttpScript> {
protected:
  void runOn(const std::string &Kind) {
    Child Process("deckpitch-standins",
                  {"--kind=" + Kind, "--engines=1", "--services=1", "--slots=1",
                   "--store_requests_per_second=2"});
    const boost::json::object Announcement = Process.announcement();
    ASSERT_TRUE(Announcement.contains("address"));
    run(std::string(Announcement.at("address").get_string().c_str()),
        GetParam());
    EXPECT_EQ(Process.stop(), 0);
  }
};

} // namespace deckpitch::test
