#include "deckpitch/claims.h"
#include "deckpitch/json-reader.h"
#include "deckpitch/manifest.h"

#include <boost/json.hpp>
#include <xxhash.h>

#include <charconv>
#include <limits>

namespace deckpitch {

namespace {

constexpr std::uint64_t AnyNumber = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint32_t AnyAttempt = std::numeric_limits<std::uint32_t>::max();
constexpr std::size_t KeyHexBytes = 32;

Claim readClaim(JsonObjectReader &Reader) {
  Claim Read;
  Reader.required("key", Read.m_Key);
  Reader.required("instance", Read.m_Instance.m_Text);
  Reader.optional("incarnation", Read.m_Incarnation.m_Value, 0, AnyNumber);
  Reader.optional("ticket", Read.m_Ticket, 0, AnyNumber);
  Reader.optional("attempt", Read.m_Attempt, 1, AnyAttempt);
  return Read;
}

std::optional<std::uint64_t> parseNumber(std::string_view Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Ec] = std::from_chars(Text.data(), End, Number);
  if (Ec != std::errc{} || Rest != End)
    return std::nullopt;
  return Number;
}

} // namespace

Result<ClaimBatch> parseClaimBatch(std::string_view Json) {
  BOOST_LEAF_AUTO(Parsed, parseJson(Json));
  Problems Found;
  ClaimBatch Batch;
  JsonObjectReader Reader(Parsed, "", Found);
  Reader.required("batch", Batch.m_Id);
  Reader.array("claims",
               [&](const boost::json::value &Each, const std::string &Path) {
                 JsonObjectReader One(Each, Path, Found);
                 Batch.m_Claims.push_back(readClaim(One));
                 One.finish();
               });
  Reader.finish();
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Batch;
}

std::string formatClaimBatch(const ClaimBatch &Value) {
  boost::json::array Claims;
  for (const Claim &Each : Value.m_Claims)
    Claims.push_back({{"key", Each.m_Key},
                      {"instance", Each.m_Instance.m_Text},
                      {"incarnation", Each.m_Incarnation.m_Value},
                      {"ticket", Each.m_Ticket},
                      {"attempt", Each.m_Attempt}});
  return boost::json::serialize(boost::json::object{
      {"batch", Value.m_Id}, {"claims", std::move(Claims)}});
}

std::string claimKeyOf(const OrganisationId &Organisation, const PoolId &Pool,
                       std::string_view CallerKey) {
  std::string Text =
      std::to_string(Organisation.m_Text.size()) + ":" + Organisation.m_Text +
      "/" + std::to_string(Pool.m_Text.size()) + ":" + Pool.m_Text + "/";
  Text += CallerKey;
  const auto *Bytes = reinterpret_cast<const std::uint8_t *>(Text.data());
  return toHex(digestOf({Bytes, Text.size()})).substr(0, KeyHexBytes);
}

std::uint32_t shardOf(std::string_view Key, std::uint32_t Shards) {
  return static_cast<std::uint32_t>(XXH64(Key.data(), Key.size(), 0) % Shards);
}

std::string formatLogPosition(const LogPosition &Value) {
  return std::to_string(Value.m_Shard) + "-" + std::to_string(Value.m_Number);
}

std::optional<LogPosition> parseLogPosition(std::string_view Name) {
  const std::size_t Dash = Name.find('-');
  if (Dash == std::string_view::npos)
    return std::nullopt;
  const auto Shard = parseNumber(Name.substr(0, Dash));
  const auto Number = parseNumber(Name.substr(Dash + 1));
  if (!Shard || !Number || *Shard > AnyAttempt || *Number == 0)
    return std::nullopt;
  return LogPosition{static_cast<std::uint32_t>(*Shard), *Number};
}

} // namespace deckpitch
