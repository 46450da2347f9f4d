#ifndef LIB_HTTP_ATTEMPT_ID_H_
#define LIB_HTTP_ATTEMPT_ID_H_

#include <atomic>
#include <cstdint>
#include <vector>

#include "lib/base/ids.h"
#include "lib/http/message.h"
#include "lib/http/response_attribution.h"

namespace applestand {

/// Names one attempt to send a request to a server. Thread-compatible value
/// type.
using AttemptId = Id<struct AttemptTag>;

/// Header of a request that names its attempt, and of the response to it.
constexpr const char* kAttemptIdHeader = "Attempt-Id";

/// Returns whether a response with these headers belongs to the attempt `id`.
/// One that names several attempts belongs to none. Thread-safe.
ResponseOwner OwnerOf(const std::vector<HttpHeader>& headers,
                      const AttemptId& id);

/// Makes ids that no other attempt of the process has, also not of its earlier
/// incarnations. Thread-safe.
class AttemptIdGenerator {
 public:
  /// Precondition: `incarnation` is used for no other generator.
  explicit AttemptIdGenerator(Incarnation incarnation)
      : m_incarnation(incarnation) {}

  AttemptId Next();

 private:
  const Incarnation m_incarnation;
  std::atomic<uint64_t> m_last{0};
};

}  // namespace applestand

#endif  // LIB_HTTP_ATTEMPT_ID_H_
