#include "net/log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

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

/// Values may come from outside: no line breaks, quoted when they hold spaces.
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

} // namespace

void setUpLog(std::string_view Process, Severity Least) {
  const auto Layout = std::make_shared<log4cxx::PatternLayout>(
      "%d{yyyy-MM-dd'T'HH:mm:ss.SSS} %p " + std::string(Process) + " %m%n");
  const auto Appender =
      std::make_shared<log4cxx::ConsoleAppender>(Layout, "System.err");
  log4cxx::BasicConfigurator::resetConfiguration();
  log4cxx::BasicConfigurator::configure(Appender);
  logger()->setLevel(levelOf(Least));
}

void log(Event Which, std::initializer_list<LogField> Fields) {
  const EventInfo *Info = findEvent(Which);
  const log4cxx::LevelPtr Level =
      levelOf(Info ? Info->m_Severity : Severity::Error);
  if (!logger()->isEnabledFor(Level))
    return;
  std::string Line = std::to_string(static_cast<int>(Which)) + " " +
                     std::string(Info ? Info->m_Name : "Unlisted");
  for (const LogField &Field : Fields)
    Line += " " + std::string(Field.m_Name) + "=" + quote(Field.m_Value);
  logger()->forcedLog(Level, Line);
}

} // namespace deckpitch::net
