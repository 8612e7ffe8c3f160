// Structured log of numbered events, through log4cxx.
#pragma once

#include "deckpitch/event.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace deckpitch::net {

/// One named value of an event.
struct LogField {
  LogField(std::string_view Name, std::string_view Value)
      : m_Name(Name), m_Value(Value) {}
  LogField(std::string_view Name, std::unsigned_integral auto Value)
      : m_Name(Name), m_Value(std::to_string(Value)), m_IsNumber(true) {}

  std::string_view m_Name;
  std::string m_Value;
  bool m_IsNumber = false;
};

namespace detail {

/// One event as a JSON object without a line break. Values are cut to some
/// hundred bytes.
std::string jsonLine(Event Which, std::initializer_list<LogField> Fields);

} // namespace detail

/// Lines go to standard error as "time level number name key=value ...".
void setUpLog(std::string_view Process, Severity Least);

/// Lines go to standard output as one JSON object each, through a bounded
/// buffer: writing never waits for the reader. Until flushLog() is called they
/// only gather.
void setUpJsonLog(std::string_view Process, Severity Least);

/// Writes what the reader of standard output takes now, and says in a line how
/// many lines were dropped since the last time.
void flushLog();

///   log(Event::ProcessStarted, {{"role", "entry"}});
void log(Event Which, std::initializer_list<LogField> Fields = {});

} // namespace deckpitch::net
