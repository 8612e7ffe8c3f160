// A common bound on the bytes that a process holds of many answers.
#pragma once

#include <algorithm>
#include <cstddef>

namespace deckpitch {

/// Bytes that the answers in progress may hold beyond their own allowances. Not
/// thread-safe. Must outlive the shares taken from it.
class ByteBudget {
public:
  explicit ByteBudget(std::size_t Total) : m_Total(Total) {}

  std::size_t used() const { return m_Used; }

private:
  friend class BudgetShare;

  std::size_t m_Total;
  std::size_t m_Used = 0;
};

/// Bounds of one answer, in bytes.
struct AnswerBounds {
  /// That each answer may hold whatever the others hold, so that large answers
  /// cannot end small ones.
  std::size_t m_Allowance;
  std::size_t m_Most; ///< that it may hold altogether

  friend bool operator==(const AnswerBounds &, const AnswerBounds &) = default;
};

/// The bytes that one answer holds, as far as they exceed its allowance.
class BudgetShare {
public:
  BudgetShare(ByteBudget &Budget, AnswerBounds Bounds)
      : m_Budget(Budget), m_Bounds(Bounds) {}
  ~BudgetShare() { m_Budget.m_Used -= m_Taken; }
  BudgetShare(const BudgetShare &) = delete;
  BudgetShare &operator=(const BudgetShare &) = delete;

  /// Sets how many bytes the answer holds now. Returns false, and changes
  /// nothing, if that exceeds its bounds or the budget.
  bool hold(std::size_t Bytes) {
    const std::size_t Wanted = Bytes - std::min(Bytes, m_Bounds.m_Allowance);
    const std::size_t Others = m_Budget.m_Used - m_Taken;
    if (Bytes > m_Bounds.m_Most || Others + Wanted > m_Budget.m_Total)
      return false;
    m_Budget.m_Used = Others + Wanted;
    m_Taken = Wanted;
    return true;
  }

private:
  ByteBudget &m_Budget;
  AnswerBounds m_Bounds;
  std::size_t m_Taken = 0;
};

} // namespace deckpitch
