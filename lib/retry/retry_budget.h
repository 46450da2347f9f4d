#ifndef LIB_RETRY_RETRY_BUDGET_H_
#define LIB_RETRY_RETRY_BUDGET_H_

#include "lib/base/ids.h"

namespace applestand {

/// Bounds the retries of one service to a share of its successful traffic, so
/// that retries do not multiply load where everything fails.
///
/// Pure. Thread safety: none; one event loop owns it. One per service and host.
class RetryBudget {
 public:
  struct Options {
    /// Retries earned by each whole answer.
    double share = 0.1;
    /// Most retries that can be saved up.
    double capacity = 10;
    /// Retries that a new budget holds, up to its capacity.
    double initial = 10;
  };

  explicit RetryBudget(Options options);

  /// A target answered a request in full.
  void OnSuccess();

  /// Takes one retry from the budget; false where none is left.
  [[nodiscard]] bool TryTake();

  /// Changes how many retries can be saved up.
  void SetCapacity(double capacity);

  double available() const { return m_tokens; }

 private:
  Options m_options;
  double m_tokens;
};

}  // namespace applestand

#endif  // LIB_RETRY_RETRY_BUDGET_H_
