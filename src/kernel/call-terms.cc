#include "deckpitch/call-terms.h"

#include <charconv>

namespace deckpitch {

namespace {

Result<Duration> parseDeadline(std::string_view Text, Duration Default) {
  if (Text.empty())
    return Default;
  std::int64_t Milliseconds = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Ec] = std::from_chars(Text.data(), End, Milliseconds);
  if (Ec != std::errc{} || Rest != End || Milliseconds < 0)
    return fail(ErrorCode::InvalidInput,
                "X-Deadline-Ms: expected a whole number of milliseconds");
  return std::min<Duration>(std::chrono::milliseconds(Milliseconds),
                            MaxDeadline);
}

Result<Priority> parsePriority(std::string_view Text) {
  if (Text.empty() || Text == "normal" || Text == "1")
    return Priority::Normal;
  if (Text == "urgent" || Text == "0")
    return Priority::Urgent;
  if (Text == "low" || Text == "2")
    return Priority::Low;
  return fail(ErrorCode::InvalidInput,
              "X-Priority: expected urgent, normal or low");
}

Result<bool> parseIdempotent(std::string_view Text, bool Default) {
  if (Text.empty())
    return Default;
  if (Text == "true")
    return true;
  if (Text == "false")
    return false;
  return fail(ErrorCode::InvalidInput, "X-Idempotent: expected true or false");
}

} // namespace

bool isIdempotentMethod(std::string_view Method) {
  return Method == "GET" || Method == "HEAD" || Method == "PUT" ||
         Method == "DELETE" || Method == "OPTIONS";
}

Result<CallTerms> parseCallTerms(const CallHeaders &Headers,
                                 const CallDefaults &Defaults) {
  CallTerms Terms;
  if (Headers.m_Organisation.size() > MaxOrganisationBytes)
    return fail(ErrorCode::InvalidInput, "X-Organisation: too long");
  if (Headers.m_IdempotencyKey.size() > MaxIdempotencyKeyBytes)
    return fail(ErrorCode::InvalidInput, "Idempotency-Key: too long");
  if (!Headers.m_Organisation.empty())
    Terms.m_Organisation.m_Text = Headers.m_Organisation;
  Terms.m_IdempotencyKey = Headers.m_IdempotencyKey;
  BOOST_LEAF_ASSIGN(Terms.m_TimeLeft,
                    parseDeadline(Headers.m_DeadlineMs, Defaults.m_Deadline));
  BOOST_LEAF_ASSIGN(Terms.m_Priority, parsePriority(Headers.m_Priority));
  BOOST_LEAF_ASSIGN(Terms.m_Idempotent, parseIdempotent(Headers.m_Idempotent,
                                                        Defaults.m_Idempotent));
  return Terms;
}

} // namespace deckpitch
