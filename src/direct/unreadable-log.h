// Decides which unreadable objects of the store are logged.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>

namespace deckpitch::direct {

/// Returns the begin of an error that is logged: errors may repeat the text
/// that cannot be read.
std::string shortened(const std::string &Error);

/// UnreadableLog keeps the errors of unreadable objects, so that each is logged
/// once rather than at each read. Objects may share a name as far as it can be
/// read, so a name can have several errors.
class UnreadableLog {
public:
  /// Returns true if the error is to be logged.
  bool note(const std::string &Name, const std::string &Error) {
    if (m_Errors.size() >= MaxNames && !m_Errors.contains(Name))
      return false;
    std::set<std::string> &Known = m_Errors[Name];
    return Known.size() < MaxErrors && Known.insert(Error).second;
  }
  void noteReadable(const std::string &Name) { m_Errors.erase(Name); }

private:
  // Further ones are not logged, so that neither memory nor the log grows
  // with what other writers store.
  static constexpr std::size_t MaxNames = 1'000;
  static constexpr std::size_t MaxErrors = 20;

  std::map<std::string, std::set<std::string>> m_Errors; ///< by name
};

} // namespace deckpitch::direct
