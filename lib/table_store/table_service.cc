#include "lib/table_store/table_service.h"

namespace applestand {

const char* ToString(TableStatus status) {
  switch (status) {
    case TableStatus::kOk:
      return "ok";
    case TableStatus::kConflict:
      return "conflict";
    case TableStatus::kUnavailable:
      return "unavailable";
    case TableStatus::kUnknown:
      return "unknown";
  }
  return "unknown";
}

}  // namespace applestand
