// Strongly typed identifiers and numbers.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace deckpitch {

/// A name with a type of its own for each kind of object.
///
///   InstanceId Id{"agent-7"};
template <typename Tag> struct Id {
  std::string m_Text;

  friend auto operator<=>(const Id &, const Id &) = default;
  bool empty() const { return m_Text.empty(); }
};

using InstanceId = Id<struct InstanceTag>;
using DataCentreId = Id<struct DataCentreTag>;
using PoolId = Id<struct PoolTag>;
using OrganisationId = Id<struct OrganisationTag>;
/// Names a weights object: "model@version" or "model+adapter@version".
using WeightsId = Id<struct WeightsTag>;

/// Identifies one run of a process. It increases with each restart under the
/// same instance id.
struct Incarnation {
  std::uint64_t m_Value = 0;
  friend auto operator<=>(const Incarnation &, const Incarnation &) = default;
};

/// A position in the platform's history of writes; comparable between objects.
struct Revision {
  std::uint64_t m_Value = 0;
  friend auto operator<=>(const Revision &, const Revision &) = default;
};

/// A number in each order to an upstream, by which an older order cannot
/// override a newer one.
struct FencingNumber {
  std::uint64_t m_Value = 0;
  friend auto operator<=>(const FencingNumber &,
                          const FencingNumber &) = default;
};

} // namespace deckpitch

template <typename Tag> struct std::hash<deckpitch::Id<Tag>> {
  std::size_t operator()(const deckpitch::Id<Tag> &Id) const noexcept {
    return std::hash<std::string>{}(Id.m_Text);
  }
};
