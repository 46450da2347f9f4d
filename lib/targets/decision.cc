#include "lib/targets/decision.h"

namespace applestand {

const char* ToString(Refusal refusal) {
  switch (refusal) {
    case Refusal::kNotHome:
      return "not home to a target of the service";
    case Refusal::kNoUsableTarget:
      return "no usable target";
    case Refusal::kQueueFull:
      return "queue full";
    case Refusal::kDeadline:
      return "no slot before the deadline";
  }
  return "unknown";
}

}  // namespace applestand
