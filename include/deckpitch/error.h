// Errors as values, carried by Boost.LEAF.
#pragma once

#include <boost/leaf/handle_errors.hpp>
#include <boost/leaf/result.hpp>
#include <boost/system/result.hpp>

#include <compare>
#include <string>
#include <type_traits>
#include <utility>
#include <vector>

namespace deckpitch {

template <typename T> using Result = boost::leaf::result<T>;

/// What went wrong, as far as the one who handles it must tell cases apart.
enum class ErrorCode {
  InvalidInput, ///< the sender must change what it sends
  NotFound,     ///< no such object
  Conflict,     ///< another write came first
  Unavailable,  ///< the other side is down, or refuses for now
  Timeout,      ///< no answer in time: the effect is unknown
  StaleFence,   ///< an order carried an old fencing number
  CorruptData,  ///< a digest does not match
  Unsupported,  ///< the other side lacks the ability
};

struct Error {
  ErrorCode m_Code = ErrorCode::InvalidInput;
  std::string m_Message;
  bool m_IsPeerEnd = false; ///< the other side ended the connection

  friend bool operator==(const Error &, const Error &) = default;
};

/// One fault found in a document.
struct Problem {
  std::string m_Path;     ///< e.g. "readiness[2].ready"
  std::string m_Value;    ///< what was found, as JSON
  std::string m_Expected; ///< what would be right

  friend bool operator==(const Problem &, const Problem &) = default;
};

/// Every fault of a document at once.
struct Problems {
  std::vector<Problem> m_List;

  friend bool operator==(const Problems &, const Problems &) = default;
};

/// What a parser does with keys that it does not know: operators' input is
/// refused, what a newer release has stored is read as far as it is known.
enum class UnknownKeys { Refuse, Ignore };

/// Fails the calling function:  return fail(ErrorCode::NotFound, "no pool x");
inline boost::leaf::error_id fail(ErrorCode Code, std::string Message) {
  return boost::leaf::new_error(Error{Code, std::move(Message)});
}

/// A result whose error travels by value: LEAF keeps error objects per thread,
/// and a coroutine may resume elsewhere.
template <typename T> using Outcome = boost::system::result<T, Error>;

/// Runs a function that gives a Result and makes an Outcome of it.
///
///   Outcome<Pool> Parsed = outcomeOf([&] { return parsePool(Text); });
template <typename Function> auto outcomeOf(Function &&Body) {
  using Value = std::remove_cvref_t<decltype(*Body())>;
  return boost::leaf::try_handle_all(
      [&]() -> Result<Outcome<Value>> {
        auto Got = Body();
        if (!Got)
          return Got.error();
        return Outcome<Value>(std::move(*Got));
      },
      [](const Error &Fault) { return Outcome<Value>(Fault); },
      [] {
        return Outcome<Value>(Error{ErrorCode::Unavailable, "unknown error"});
      });
}

} // namespace deckpitch
