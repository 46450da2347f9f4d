#include "lib/retry/retry_budget.h"

#include <algorithm>

namespace applestand {

RetryBudget::RetryBudget(Options options)
    : m_options(options),
      m_tokens(std::min(options.initial, options.capacity)) {}

void RetryBudget::SetCapacity(double capacity) {
  m_options.capacity = capacity;
  m_tokens = std::min(m_tokens, capacity);
}

void RetryBudget::OnSuccess() {
  m_tokens =
      std::min(m_options.capacity, m_tokens + m_options.retries_per_success);
}

bool RetryBudget::TryTake() {
  if (m_tokens < 1) {
    return false;
  }
  m_tokens -= 1;
  return true;
}

}  // namespace applestand
