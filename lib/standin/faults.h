#ifndef LIB_STANDIN_FAULTS_H_
#define LIB_STANDIN_FAULTS_H_

#include <map>
#include <optional>
#include <string>

#include "lib/base/clock.h"
#include "lib/base/verdict.h"

namespace applestand {

/// How a service of the platform stand-in misbehaves.
enum class ServiceFault {
  kNone,
  /// Refuses with 503 before any effect.
  kDown,
  /// Waits before the effect, so that it may come after the caller gave up.
  kSlow,
  /// Waits between the effect and the answer.
  kSlowAnswer,
  /// Takes effect and closes the connection without an answer.
  kAnswerLost,
  /// Closes the connection without effect.
  kRequestLost,
  /// Readers see no change.
  kFrozen,
};

/// Wire form, for example "answer-lost".
const char* ToString(ServiceFault fault);

/// The faults in force, by name of the service. Not thread-safe.
class FaultPlan {
 public:
  /// Reads a command such as
  ///
  ///   {"table":"slow","objects":"down","slow_ms":800,"seconds":30}
  ///
  /// Every service named gets its fault until it is named again, or until
  /// `seconds` have passed. Services are "table", "objects", "hosts" and
  /// "measurements". False, with the reason and without effect, for anything
  /// else.
  [[nodiscard]] bool Apply(const std::string& body,
                           TimePoint now,
                           Reason& reason);

  ServiceFault Active(const std::string& service, TimePoint now) const;

  /// Wait of the slow faults of a service.
  Duration Delay(const std::string& service) const;

 private:
  struct Entry {
    ServiceFault fault = ServiceFault::kNone;
    Duration delay = Duration::zero();
    std::optional<TimePoint> until;
  };

  std::map<std::string, Entry> m_entries;
};

}  // namespace applestand

#endif  // LIB_STANDIN_FAULTS_H_
