#include "lib/http/attempt_id.h"

#include <optional>
#include <string>

namespace applestand {

ResponseOwner OwnerOf(const std::vector<HttpHeader>& headers,
                      const AttemptId& id) {
  if (CountHeaders(headers, kAttemptIdHeader) == 0) {
    return ResponseOwner::kUnknown;
  }
  const std::optional<std::string> named =
      FindHeader(headers, kAttemptIdHeader);
  return named == id.value() ? ResponseOwner::kThisRequest
                             : ResponseOwner::kOtherRequest;
}

AttemptId AttemptIdGenerator::Next() {
  return AttemptId(std::to_string(m_incarnation.value()) + "-" +
                   std::to_string(++m_last));
}

}  // namespace applestand
