// Which sends of one request may have run, and the evidence that none has.
#pragma once

#include <cstdint>
#include <optional>

namespace deckpitch {

/// Evidence that a request has not run and will not run. Only a SendRecord
/// gives it, so that no caller is told so without it.
class NotRunProof {
  friend class SendRecord;
  NotRunProof() = default;
};

/// The sends of one request. A send counts as run from its beginning, and until
/// one of two things is known: that nothing of it was written, or that its
/// instance rejected it. Sends may overlap.
class SendRecord {
public:
  /// Must be called before the first byte is written.
  void begin();
  /// Ends a send of which no byte was written.
  void endUnsent();
  /// Ends a send that its own instance answered as not run.
  void endRejected();

  /// Number of sends that reached an instance, or may have.
  std::uint32_t sends() const { return m_Sends; }
  /// Number of these that may have run.
  std::uint32_t runs() const { return m_Runs; }
  std::uint32_t rejections() const { return m_Sends - m_Runs; }
  /// Nothing while any send may have run.
  std::optional<NotRunProof> proofOfNotRun() const;

  friend bool operator==(const SendRecord &, const SendRecord &) = default;

private:
  std::uint32_t m_Sends = 0;
  std::uint32_t m_Runs = 0;
};

} // namespace deckpitch
