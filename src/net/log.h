// Structured log of numbered events, written by log4cxx.
#pragma once

#include "deckpitch/event.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace deckpitch::net {

/// One named value of an event.
struct LogField {
  LogField(std::string_view Name, std::string_view Value)
      : m_Name(Name), m_Value(Value) {}
  LogField(std::string_view Name, std::uint64_t Value)
      : m_Name(Name), m_Value(std::to_string(Value)) {}

  std::string_view m_Name;
  std::string m_Value;
};

/// Lines go to standard error as "time level number name key=value ...".
void setUpLog(std::string_view Process, Severity Least);

///   log(Event::ProcessStarted, {{"role", "entry"}});
void log(Event Which, std::initializer_list<LogField> Fields = {});

} // namespace deckpitch::net
