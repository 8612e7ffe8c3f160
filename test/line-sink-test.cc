#include "net/line-sink.h"
#include "net/log.h"
#include "net/signals.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <array>
#include <csignal>
#include <unistd.h>
#include <utility>

using namespace deckpitch;

namespace {

class Pipe {
public:
  Pipe() { EXPECT_EQ(pipe(m_Ends.data()), 0); }
  ~Pipe() {
    close(m_Ends[0]);
    close(m_Ends[1]);
  }
  Pipe(const Pipe &) = delete;
  Pipe &operator=(const Pipe &) = delete;
  int writeEnd() const { return m_Ends[1]; }
  void closeReadEnd() { close(std::exchange(m_Ends[0], -1)); }
  std::string readAvailable() {
    std::string Out(std::size_t{64} * 1024, '\0');
    const ssize_t Got = read(m_Ends[0], Out.data(), Out.size());
    Out.resize(Got > 0 ? static_cast<std::size_t>(Got) : 0);
    return Out;
  }

private:
  std::array<int, 2> m_Ends{};
};

TEST(LineSink, WritesLinesInOrder) {
  Pipe Reader;
  net::LineSink Sink(Reader.writeEnd());
  Sink.add("one");
  Sink.add("two");
  Sink.flush();
  EXPECT_EQ(Reader.readAvailable(), "one\ntwo\n");
  EXPECT_EQ(Sink.bytesWritten(), 8U);
}

/// The test hangs if flush() waits for the reader.
TEST(LineSink, AFullPipeDoesNotBlockAndDropsAreCounted) {
  Pipe Reader;
  net::LineSink Sink(Reader.writeEnd(), 100'000);
  const std::string Line(999, 'x');
  for (int I = 0; I < 1'000; ++I) {
    Sink.add(Line);
    Sink.flush();
  }
  const std::uint64_t Dropped = Sink.takeDropped();
  EXPECT_GT(Dropped, 500U);
  EXPECT_LT(Dropped, 1'000U);
  EXPECT_EQ(Sink.takeDropped(), 0U);
  EXPECT_EQ(Reader.readAvailable().substr(0, 1'000), Line + "\n");
}

/// The process ended at the first write after the reader had gone.
TEST(LineSink, KeepsAndDropsLinesWhileThereIsNoReader) {
  const auto Former = std::signal(SIGPIPE, SIG_DFL);
  net::ignoreBrokenPipes();
  Pipe Reader;
  Reader.closeReadEnd();
  net::LineSink Sink(Reader.writeEnd(), 10);
  Sink.add("12345");
  Sink.flush();
  Sink.add("123");
  Sink.add("1");
  Sink.flush();
  EXPECT_EQ(Sink.takeFailures(), 2U);
  EXPECT_EQ(Sink.takeFailures(), 0U);
  EXPECT_EQ(Sink.takeDropped(), 1U);
  EXPECT_EQ(Sink.bytesWritten(), 0U);
  std::signal(SIGPIPE, Former);
}

TEST(LineSink, DropsWholeLines) {
  Pipe Reader;
  net::LineSink Sink(Reader.writeEnd(), 10);
  Sink.add("12345");
  Sink.add("1234");
  Sink.add("123");
  Sink.flush();
  EXPECT_EQ(Reader.readAvailable(), "12345\n123\n");
  EXPECT_EQ(Sink.takeDropped(), 1U);
}

TEST(JsonLine, AHostileValueCannotEndOrForgeALine) {
  const std::string Hostile =
      "a\n{\"event\":1}\x01\xff\"\\" + std::string(5'000, 'z');
  const std::string Line = net::detail::jsonLine(
      Event::RequestRefused, {{"request", Hostile}, {"status", 503U}});
  EXPECT_EQ(Line.find('\n'), std::string::npos);
  EXPECT_LT(Line.size(), 1'000U);
  const boost::json::object Read = boost::json::parse(Line).as_object();
  EXPECT_EQ(Read.at("event").to_number<int>(), 4002);
  EXPECT_EQ(Read.at("status").to_number<int>(), 503);
  EXPECT_TRUE(Read.at("request").as_string().starts_with("a\n{\"event\":1}"));
}

} // namespace
