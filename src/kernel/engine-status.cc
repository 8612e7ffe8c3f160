#include "deckpitch/engine-status.h"

#include "deckpitch/json-reader.h"

#include <boost/json.hpp>

#include <limits>

namespace deckpitch {

namespace {

constexpr std::uint32_t MaxNumber = std::numeric_limits<std::uint32_t>::max();

void readLoaded(const boost::json::value &Value, const std::string &Path,
                Problems &Found, std::vector<LoadedWeights> &Out) {
  LoadedWeights Entry;
  std::string Hex;
  std::size_t State = 0;
  JsonObjectReader Reader(Value, Path, Found);
  Reader.required("weights", Entry.m_Weights.m_Text);
  Reader.required("digest", Hex);
  Reader.choice("state", State, {"loaded", "active"}, true);
  Entry.m_Active = State == 1;
  const auto Parsed = outcomeOf([&] { return parseDigest(Hex); });
  if (!Parsed)
    return Reader.problem("digest", "64 hex digits");
  Entry.m_Digest = *Parsed;
  Out.push_back(std::move(Entry));
}

void readStaged(const boost::json::value &Value, const std::string &Path,
                Problems &Found, std::vector<StagedWeights> &Out) {
  StagedWeights Entry;
  JsonObjectReader Reader(Value, Path, Found);
  Reader.required("weights", Entry.m_Weights.m_Text);
  Reader.array("chunks", [&](const boost::json::value &Each,
                             const std::string &ChunkPath) {
    boost::system::error_code Ec;
    const auto Index = Each.to_number<std::uint32_t>(Ec);
    if (Ec)
      Found.m_List.push_back(
          {ChunkPath, boost::json::serialize(Each), "the number of a chunk"});
    else
      Entry.m_Chunks.push_back(Index);
  });
  Out.push_back(std::move(Entry));
}

/// Reads the load. Unknown members are ignored, since engines may report more.
void readLoad(const boost::json::value &Status, Problems &Found,
              EngineStatus &Out) {
  const boost::json::object *Object = Status.if_object();
  const boost::json::value *Load =
      Object ? Object->if_contains("load") : nullptr;
  if (!Load)
    return;
  JsonObjectReader Reader(*Load, "load", Found);
  Reader.optional("running", Out.m_Running, 0, MaxNumber);
  Reader.optional("waiting", Out.m_Waiting, 0, MaxNumber);
}

} // namespace

const LoadedWeights *EngineStatus::active() const {
  for (const LoadedWeights &Each : m_Loaded)
    if (Each.m_Active)
      return &Each;
  return nullptr;
}

const LoadedWeights *EngineStatus::find(const WeightsId &Weights) const {
  for (const LoadedWeights &Each : m_Loaded)
    if (Each.m_Weights == Weights)
      return &Each;
  return nullptr;
}

Result<EngineStatus> parseEngineStatus(std::string_view Json) {
  BOOST_LEAF_AUTO(Value, parseJson(Json));
  Problems Found;
  EngineStatus Out;
  JsonObjectReader Reader(Value, "", Found);
  Reader.optional("slots", Out.m_Slots, 1, MaxNumber);
  Reader.optional("fence", Out.m_Fence.m_Value, 0,
                  std::numeric_limits<std::uint64_t>::max());
  Reader.array("loaded",
               [&](const boost::json::value &Each, const std::string &Path) {
                 readLoaded(Each, Path, Found, Out.m_Loaded);
               });
  Reader.array("staging",
               [&](const boost::json::value &Each, const std::string &Path) {
                 readStaged(Each, Path, Found, Out.m_Staging);
               });
  readLoad(Value, Found, Out);
  if (!Found.m_List.empty())
    return failWith(std::move(Found));
  return Out;
}

} // namespace deckpitch
