#include "lib/targets/pool_decision.h"

namespace applestand {

const char* ToString(PoolRefusal refusal) {
  switch (refusal) {
    case PoolRefusal::kNotHomeHost:
      return "not home to a target of the service";
    case PoolRefusal::kNoUsableTarget:
      return "no usable target";
    case PoolRefusal::kQueueFull:
      return "queue full";
    case PoolRefusal::kDeadline:
      return "no slot before the deadline";
  }
  return "unknown";
}

}  // namespace applestand
