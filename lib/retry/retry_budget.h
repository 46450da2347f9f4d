#ifndef LIB_RETRY_RETRY_BUDGET_H_
#define LIB_RETRY_RETRY_BUDGET_H_

#include "lib/base/ids.h"

namespace applestand {

/// Token bucket that limits the retries of one service to a fraction of its
/// successful traffic, so that retries do not multiply the load if every
/// request fails. Each host has one per service.
///
/// Not thread-safe; owned by one event loop.
class RetryBudget {
 public:
  struct Options {
    /// Tokens added for each complete response; a retry costs one.
    double retries_per_success = 0.1;
    /// Maximum number of tokens.
    double capacity = 10;
    /// Tokens in a new budget, up to its capacity.
    double initial = 10;
  };

  explicit RetryBudget(Options options);

  /// Called when a target returned a complete response.
  void OnSuccess();

  /// Takes one token for a retry. Returns false if less than one is left.
  [[nodiscard]] bool TryTake();

  /// Sets the maximum number of tokens. Excess tokens are discarded.
  void SetCapacity(double capacity);

  double available() const { return m_tokens; }

 private:
  Options m_options;
  double m_tokens;
};

}  // namespace applestand

#endif  // LIB_RETRY_RETRY_BUDGET_H_
