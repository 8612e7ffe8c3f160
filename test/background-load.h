// Sends requests in the background of a test and checks their answers.
#pragma once

#include "cluster.h"
#include "load/load-run.h"

#include <chrono>
#include <string>
#include <thread>

namespace deckpitch::test {

/// Sends requests through all entries and checks the answers, until finish().
class BackgroundLoad {
public:
  explicit BackgroundLoad(Cluster &TestCluster,
                          const std::string &Pool = "chat")
      : m_Run(optionsOf(TestCluster, Pool)) {
    m_Thread = std::thread([this] { m_Report = m_Run.run(); });
  }
  ~BackgroundLoad() { finish(); }
  BackgroundLoad(const BackgroundLoad &) = delete;
  BackgroundLoad &operator=(const BackgroundLoad &) = delete;

  const load::LoadReport &finish() {
    m_Run.stop();
    if (m_Thread.joinable())
      m_Thread.join();
    return m_Report;
  }

private:
  static load::LoadOptions optionsOf(Cluster &TestCluster,
                                     const std::string &Pool) {
    load::LoadOptions Out;
    for (std::size_t I = 0; I < TestCluster.entries(); ++I)
      Out.m_Entries.push_back(TestCluster.entry(I).m_Requests);
    Out.m_Model = Pool;
    Out.m_Callers = 4;
    Out.m_Requests = 100'000;
    Out.m_Duration = std::chrono::minutes(10); // longer than any test
    Out.m_Pause = std::chrono::milliseconds(5);
    Out.m_Deadline = std::chrono::milliseconds(10'000);
    return Out;
  }

  load::LoadRun m_Run;
  load::LoadReport m_Report;
  std::thread m_Thread;
};

} // namespace deckpitch::test
