#include "direct/entry-record.h"

#include "deckpitch/json-reader.h"

#include <boost/json.hpp>

#include <array>
#include <charconv>
#include <optional>

namespace deckpitch::direct {

namespace json = boost::json;

namespace {

constexpr std::size_t HexDigits = 16;
constexpr int HexBase = 16;
constexpr std::uint64_t LatestUnixMs = 1ULL << 53U;

/// Hexadecimal, since not every JSON parser keeps all bits of a 64-bit number.
std::string hexOf(std::uint64_t Value) {
  std::array<char, HexDigits> Text{};
  Text.fill('0');
  std::array<char, HexDigits> Digits{};
  const auto End = std::to_chars(Digits.data(), Digits.data() + Digits.size(),
                                 Value, HexBase);
  const auto Count = static_cast<std::size_t>(End.ptr - Digits.data());
  std::copy(Digits.data(), End.ptr, Text.data() + (HexDigits - Count));
  return {Text.data(), Text.size()};
}

std::optional<std::uint64_t> numberOf(std::string_view Hex) {
  std::uint64_t Value = 0;
  const auto Read =
      std::from_chars(Hex.data(), Hex.data() + Hex.size(), Value, HexBase);
  if (Hex.size() != HexDigits || Read.ec != std::errc() ||
      Read.ptr != Hex.data() + Hex.size())
    return std::nullopt;
  return Value;
}

std::optional<RequestFingerprint> fingerprintFrom(std::string_view Hex) {
  if (Hex.size() != 2 * HexDigits)
    return std::nullopt;
  const auto High = numberOf(Hex.substr(0, HexDigits));
  const auto Low = numberOf(Hex.substr(HexDigits));
  if (!High || !Low)
    return std::nullopt;
  return RequestFingerprint{*High, *Low};
}

json::object write(const RefusedRequest &Refused) {
  json::array Instances;
  for (const std::uint64_t Each : Refused.m_Instances)
    Instances.emplace_back(hexOf(Each));
  return {{"fingerprint", textOf(Refused.m_Request)},
          {"instances", std::move(Instances)},
          {"lostMs", Refused.m_LostMs}};
}

RefusedRequest readRefused(const json::value &Value, const std::string &Path,
                           Problems &Found) {
  RefusedRequest Out;
  JsonObjectReader Reader(Value, Path, Found, UnknownKeys::Ignore);
  std::string Fingerprint;
  Reader.required("fingerprint", Fingerprint);
  if (const auto Read = fingerprintFrom(Fingerprint))
    Out.m_Request = *Read;
  else
    Reader.problem("fingerprint", "32 hexadecimal digits");
  Reader.array("instances", [&](const json::value &Each, const std::string &) {
    const auto Read =
        Each.is_string() ? numberOf(Each.get_string()) : std::nullopt;
    if (Read)
      Out.m_Instances.push_back(*Read);
    else
      Reader.problem("instances", "16 hexadecimal digits each");
  });
  Reader.optional("lostMs", Out.m_LostMs, 0, LatestUnixMs);
  return Out;
}

json::object write(const StoredDeclaration &Stored) {
  return {{"model", Stored.m_Declared.m_Model},
          {"version", Stored.m_Declared.m_Version},
          {"sinceMs", Stored.m_SinceMs}};
}

StoredDeclaration readDeclared(const json::value &Value,
                               const std::string &Path, Problems &Found) {
  StoredDeclaration Out;
  JsonObjectReader Reader(Value, Path, Found, UnknownKeys::Ignore);
  Reader.required("model", Out.m_Declared.m_Model);
  Reader.optional("version", Out.m_Declared.m_Version, 1, UINT64_MAX);
  Reader.optional("sinceMs", Out.m_SinceMs, 1, LatestUnixMs);
  if (Out.m_Declared.m_Version == 0 || Out.m_SinceMs == 0)
    Reader.problem("version", "a version and the time of its declaration");
  return Out;
}

} // namespace

std::string formatEntry(const EntryRecord &Value) {
  const EntryAddress &Address = Value.m_Address;
  json::object Out{{"dataCentre", Address.m_DataCentre.m_Text},
                   {"link", Address.m_Link},
                   {"callers", Address.m_Callers}};
  json::array Refused;
  for (const RefusedRequest &Each : Value.m_Refused)
    Refused.emplace_back(write(Each));
  if (!Refused.empty())
    Out["refused"] = std::move(Refused);
  json::array Declared;
  for (const StoredDeclaration &Each : Value.m_Declared)
    Declared.emplace_back(write(Each));
  if (!Declared.empty())
    Out["declared"] = std::move(Declared);
  return json::serialize(Out);
}

Result<EntryRecord> parseEntry(std::string_view Name, std::string_view Json) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  EntryRecord Out;
  EntryAddress &Address = Out.m_Address;
  Address.m_Id.m_Text = std::string(Name);
  JsonObjectReader Reader(Value, "", Found, UnknownKeys::Ignore);
  Reader.required("dataCentre", Address.m_DataCentre.m_Text);
  Reader.required("link", Address.m_Link);
  Reader.required("callers", Address.m_Callers);
  Reader.array("refused",
               [&](const json::value &Each, const std::string &Path) {
                 Out.m_Refused.push_back(readRefused(Each, Path, Found));
               });
  Reader.array("declared",
               [&](const json::value &Each, const std::string &Path) {
                 Out.m_Declared.push_back(readDeclared(Each, Path, Found));
               });
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

} // namespace deckpitch::direct
