#ifndef LIB_NODE_ATTEMPT_OUTCOME_H_
#define LIB_NODE_ATTEMPT_OUTCOME_H_

#include "lib/node/platform_adapter.h"
#include "lib/relay/http_client_pool.h"
#include "lib/retry/retry_state.h"
#include "lib/steering/target_selector.h"

namespace applestand {

/// Returns the outcome of an attempt, and sets the fields of `attempt` other
/// than the target. `metadata` is that of the response, if there was one.
/// `repeatable` tells whether the request may run more than once. Thread-safe.
AttemptOutcome ClassifyOutcome(const CallResult& result,
                               const ResponseMetadata& metadata,
                               bool repeatable,
                               AttemptResult& attempt);

}  // namespace applestand

#endif  // LIB_NODE_ATTEMPT_OUTCOME_H_
