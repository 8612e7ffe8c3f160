// Weights of an engine stand-in: staged chunks, loaded versions and the active
// version.
#pragma once

#include "deckpitch/manifest.h"
#include "net/http.h"
#include "standins/chunk-pool.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace deckpitch::standins {

class EngineWeights {
public:
  /// Returns whether any running request uses the weights.
  using InUsePredicate = std::function<bool(const std::string &Weights)>;

  EngineWeights(std::uint32_t Slots, std::uint64_t StagingBytes,
                InUsePredicate IsRunning)
      : m_Slots(Slots), m_StagingLimitBytes(StagingBytes),
        m_IsRunning(std::move(IsRunning)) {}

  /// Handles requests under /v1/engine/staging/.
  net::HttpResponse staging(net::HttpRequest Request);
  net::HttpResponse load(const boost::json::object &Order);
  net::HttpResponse activate(const boost::json::object &Order);
  net::HttpResponse unload(const boost::json::object &Order);

  const std::string &active() const { return m_Active; }
  /// Returns the whole digest (hex) of the active weights, or an empty string
  /// if none are active.
  std::string activeDigest() const;
  /// Adds slots, loaded weights and staged chunks to an engine status.
  void describe(boost::json::object &Status) const;

private:
  struct Loaded {
    std::string m_Digest; ///< whole digest in hex
    bool m_IsAdapter = false;
  };

  net::HttpResponse putChunk(const std::string &Weights, std::uint32_t Index,
                             std::string Bytes);
  net::HttpResponse getChunk(const std::string &Weights,
                             std::uint32_t Index) const;
  void dropStaging(const std::string &Weights);
  std::uint32_t slotsUsed() const;

  std::uint32_t m_Slots;
  std::uint64_t m_StagingLimitBytes; ///< 0: unlimited
  InUsePredicate m_IsRunning;
  std::uint64_t m_StagedBytes = 0;
  std::map<std::string, std::map<std::uint32_t, StagedChunk>> m_Staging;
  std::map<std::string, Loaded> m_Loaded;
  std::string m_Active;
};

} // namespace deckpitch::standins
