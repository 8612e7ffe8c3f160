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

/// The kinds of errors that handlers distinguish.
enum class ErrorCode {
  InvalidInput, ///< the sender must change its input
  NotFound,     ///< no such object
  Conflict,     ///< another write came first
  Unavailable,  ///< the other side is down or refuses temporarily
  Timeout,      ///< no answer in time: the effect is unknown
  StaleFence,   ///< an order had an old fencing number
  CorruptData,  ///< a digest does not match
  Unsupported,  ///< the other side does not support the operation
};

struct Error {
  ErrorCode m_Code = ErrorCode::InvalidInput;
  std::string m_Message;
  bool m_IsPeerEnd = false; ///< the other side ended the connection

  friend bool operator==(const Error &, const Error &) = default;
};

/// A fault in a document.
struct Problem {
  std::string m_Path;     ///< e.g. "readiness[2].ready"
  std::string m_Value;    ///< the value found, as JSON
  std::string m_Expected; ///< description of a valid value

  friend bool operator==(const Problem &, const Problem &) = default;
};

/// All faults of a document.
struct Problems {
  std::vector<Problem> m_List;

  friend bool operator==(const Problems &, const Problems &) = default;
};

/// How a parser treats unknown keys: they are refused in operators' input, and
/// ignored in stored objects, which a newer release may have written.
enum class UnknownKeys { Refuse, Ignore };

/// Fails the calling function:  return fail(ErrorCode::NotFound, "no pool x");
inline boost::leaf::error_id fail(ErrorCode Code, std::string Message) {
  return boost::leaf::new_error(Error{Code, std::move(Message)});
}

/// A result that holds its error by value. LEAF keeps error objects per thread,
/// but a coroutine may resume on another thread.
template <typename T> using Outcome = boost::system::result<T, Error>;

/// Calls a function that returns a Result and converts that to an Outcome.
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
