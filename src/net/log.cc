#include "net/log.h"

#include "net/line-sink.h"
#include "net/metrics.h"

#include <log4cxx/appenderskeleton.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/loggingevent.h>

#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>

namespace deckpitch::net {

namespace {

log4cxx::LevelPtr levelOf(Severity Value) {
  switch (Value) {
  case Severity::Debug:
    return log4cxx::Level::getDebug();
  case Severity::Info:
    return log4cxx::Level::getInfo();
  case Severity::Warning:
    return log4cxx::Level::getWarn();
  case Severity::Error:
    return log4cxx::Level::getError();
  }
  return log4cxx::Level::getError();
}

log4cxx::LoggerPtr logger() {
  static const log4cxx::LoggerPtr Logger =
      log4cxx::Logger::getLogger("deckpitch");
  return Logger;
}

/// Replaces control characters and quotes values that contain separators, since
/// values may be untrusted input.
std::string quote(const std::string &Value) {
  if (!Value.empty() && Value.find_first_of(" \"\n\r\t=") == std::string::npos)
    return Value;
  std::string Out = "\"";
  for (char C : Value) {
    if (C == '"' || C == '\\')
      Out.push_back('\\');
    Out.push_back(static_cast<unsigned char>(C) < ' ' ? ' ' : C);
  }
  return Out + "\"";
}

LineSink &standardOutput() {
  static LineSink Sink(STDOUT_FILENO);
  return Sink;
}

/// Appends formatted lines to the bounded buffer instead of a stream.
class SinkAppender final : public log4cxx::AppenderSkeleton {
public:
  void close() override {}
  bool requiresLayout() const override { return false; }

protected:
  void append(const log4cxx::spi::LoggingEventPtr &LogEvent,
              log4cxx::helpers::Pool &) override {
    standardOutput().add(LogEvent->getMessage());
  }
};

/// Set once, before other threads start.
std::string &processName() {
  static std::string Name;
  return Name;
}

bool &writesJson() {
  static bool Value = false;
  return Value;
}

/// Escapes everything but printable ASCII, so that no untrusted value can end
/// the line or forge another field.
void appendJson(std::string &Out, std::string_view Value) {
  Out.push_back('"');
  for (const char C : Value) {
    const auto Byte = static_cast<unsigned char>(C);
    if (C == '"' || C == '\\') {
      Out.push_back('\\');
      Out.push_back(C);
    } else if (Byte < 0x20 || Byte >= 0x7f) {
      std::array<char, 8> Text{};
      std::snprintf(Text.data(), Text.size(), "\\u%04x", Byte);
      Out += Text.data();
    } else {
      Out.push_back(C);
    }
  }
  Out.push_back('"');
}

constexpr std::size_t MaxValueBytes = 200; ///< per field

std::uint64_t microsecondsSinceEpoch() {
  const auto Now = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::microseconds>(Now).count());
}

} // namespace

std::string detail::jsonLine(Event Which,
                             std::initializer_list<LogField> Fields) {
  const EventInfo *Info = findEvent(Which);
  std::string Line =
      "{\"us\":" + std::to_string(microsecondsSinceEpoch()) + ",\"process\":";
  appendJson(Line, processName());
  Line += ",\"event\":" + std::to_string(static_cast<int>(Which)) +
          ",\"name\":\"" + std::string(Info ? Info->m_Name : "Unlisted") + '"';
  for (const LogField &Field : Fields) {
    Line += ",\"" + std::string(Field.m_Name) + "\":";
    if (Field.m_IsNumber)
      Line += Field.m_Value;
    else
      appendJson(Line,
                 std::string_view(Field.m_Value).substr(0, MaxValueBytes));
  }
  return Line + "}";
}

void setUpJsonLog(std::string_view Process, Severity MinSeverity) {
  processName() = std::string(Process);
  writesJson() = true;
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(std::make_shared<SinkAppender>());
  logger()->setLevel(levelOf(MinSeverity));
}

void flushLog() {
  const std::uint64_t Dropped = standardOutput().takeDropped();
  if (Dropped > 0) {
    metrics().counter("deckpitch_log_lines_dropped_total").add(Dropped);
    log(Event::LinesDropped, {{"lines", Dropped}});
  }
  standardOutput().flush();
  if (const std::uint64_t Failures = standardOutput().takeFailures())
    metrics().counter("deckpitch_log_write_failures_total").add(Failures);
}

void setUpLog(std::string_view Process, Severity MinSeverity) {
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %p " + std::string(Process) + " %m%n");
  const auto Appender =
      std::make_shared<log4cxx::ConsoleAppender>(Layout, "System.err");
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(Appender);
  logger()->setLevel(levelOf(MinSeverity));
}

void log(Event Which, std::initializer_list<LogField> Fields) {
  const EventInfo *Info = findEvent(Which);
  const log4cxx::LevelPtr Level =
      levelOf(Info ? Info->m_Severity : Severity::Error);
  if (!logger()->isEnabledFor(Level))
    return;
  if (writesJson())
    return logger()->forcedLog(Level, detail::jsonLine(Which, Fields));
  std::string Line = std::to_string(static_cast<int>(Which)) + " " +
                     std::string(Info ? Info->m_Name : "Unlisted");
  for (const LogField &Field : Fields)
    Line += " " + std::string(Field.m_Name) + "=" + quote(Field.m_Value);
  logger()->forcedLog(Level, Line);
}

} // namespace deckpitch::net
