// Structured logging of numbered events through log4cxx.
#pragma once

#include "deckpitch/event.h"

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace deckpitch::net {

/// A key and value of an event.
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

/// Formats an event as a JSON object on one line. Text values are truncated to
/// 200 bytes.
std::string jsonLine(Event Which, std::initializer_list<LogField> Fields);

} // namespace detail

/// Logs to standard error, one line per event: "time level process number name
/// key=value ...".
void setUpLog(std::string_view Process, Severity MinSeverity);

/// Logs to standard output, one JSON object per line, through a bounded buffer,
/// so that logging never waits for the reader. Lines stay in the buffer until
/// flushLog() is called.
void setUpJsonLog(std::string_view Process, Severity MinSeverity);

/// Writes as much of the buffer as standard output accepts without blocking,
/// and logs how many lines were dropped since the last call.
void flushLog();

/// Logs an event:
///
///   log(Event::ProcessStarted, {{"role", "entry"}});
void log(Event Which, std::initializer_list<LogField> Fields = {});

} // namespace deckpitch::net
